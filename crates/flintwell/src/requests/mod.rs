//! Request handling from arrival to response, and the adapter to the policy (`flintwell-core`) that decides on
//! them.

pub mod dispatcher;
pub mod id_hash;
pub mod open_ids;
pub mod policy_host;
pub mod request;
pub mod request_handle;
pub mod request_ids;
pub mod service;
pub mod shadow;
pub mod shared_ids;
pub mod used_ids;
