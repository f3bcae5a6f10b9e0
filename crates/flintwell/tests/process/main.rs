//! The proxy as a process on loopback, between clients, nodes and a discovery that do as each test says.

mod handover;
mod operations;
mod overload;
mod plans;
mod rare;
mod rollout;
mod sockets;
mod stale_list;
mod streams;
mod supervise;
mod support;
mod words;
