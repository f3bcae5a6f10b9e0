//! A deployment on loopback for trying out one proxy: discovery, three cache nodes and a slow origin. Prints each request
//! that reaches a node. `flintwell-rig try` runs a whole fleet with clients.

use flintwell_standins::backends::{Backends, NodeSpec};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

const DISCOVERY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8_500);
/// Port of the first node; the others have the following ports.
const FIRST_NODE_PORT: u16 = 8_101;
const CACHE_COUNT: u16 = 3;
/// Pause between two looks for new requests to print.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn node_settings(id: String, kind: &str, time_ms: f64) -> NodeSpec {
    let (zone, kind) = ("here".into(), kind.into());
    NodeSpec {
        id,
        zone,
        kind,
        cell: 0,
        workers: 8,
        queue: 32,
        time_ms,
        connections: 256,
        cold_share: 1.0,
        ramp_s: 0.0,
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> io::Result<()> {
    let world = Backends::new();
    for n in 0..CACHE_COUNT {
        let at = SocketAddr::new(DISCOVERY.ip(), FIRST_NODE_PORT + n);
        world.serve_node(node_settings(format!("cache-{n}"), "cache", 2.0), at, 0).await?;
    }
    let at = SocketAddr::new(DISCOVERY.ip(), FIRST_NODE_PORT + CACHE_COUNT);
    world.serve_node(node_settings("origin".into(), "origin", 120.0), at, 0).await?;
    world.serve_discovery(DISCOVERY, Default::default(), "n0").await?;
    println!("toy: discovery on {DISCOVERY}, {CACHE_COUNT} cache nodes, origin on {at}");
    let mut printed = 0;
    loop {
        let requests = world.node_requests();
        for request in &requests[printed..] {
            println!("toy: {}: {} {:?}", request.node, request.key, request.disposition);
        }
        printed = requests.len();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
