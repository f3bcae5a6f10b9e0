//! The node list: discovery, its lease, operators' overrides, and messages between proxies.

pub mod discovery_calls;
pub mod discovery;
pub mod list_store;
pub mod lease;
pub mod list_age;
pub mod list_status;
pub mod overrides;
pub mod registry;
pub mod peer_messaging;
