//! Request handling from arrival to response, and the adapter to the decision module.

pub mod dispatcher;
pub mod front;
pub mod request;
pub mod watch;
