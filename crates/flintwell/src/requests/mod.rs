//! Request handling from arrival to response, and the adapter to the decision module.

pub mod dispatcher;
pub mod service;
pub mod request;
pub mod shadow;
