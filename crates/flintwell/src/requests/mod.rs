//! Requests from their arrival to their answer, and the decision module that they meet.

pub mod dispatcher;
pub mod front;
pub mod request;
pub mod watch;
