//! The node list: discovery, its lease, operators' overrides, and messages between proxies.

pub mod calls;
pub mod discovery;
pub mod kept_list;
pub mod lease;
pub mod list_age;
pub mod list_status;
pub mod overrides;
pub mod registry;
pub mod words;
