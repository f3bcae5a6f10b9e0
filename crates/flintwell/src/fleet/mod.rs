//! The node list: discovery, its lease, operators' overrides, and messages between proxies.

pub mod discovery;
pub mod discovery_calls;
pub mod lease;
pub mod list_age;
pub mod list_status;
pub mod list_store;
pub mod overrides;
pub mod peer_messaging;
pub mod registry;
