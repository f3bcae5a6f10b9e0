//! Tests of the proxy as a process on loopback, between stub clients, nodes and discovery.

mod edge_cases;
mod floods;
mod handover;
mod long_writes;
mod memory;
mod operations;
mod overload;
mod peer_messaging;
mod plans;
mod request_ids;
mod rollout;
mod second_responses;
mod sockets;
mod stale_list;
mod streams;
mod supervise;
mod support;
