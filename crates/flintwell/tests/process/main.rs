//! Tests of the proxy as a process on loopback, between stub clients, nodes and discovery.

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
