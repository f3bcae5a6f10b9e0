//! A toy deployment on loopback to try one flintwell with: discovery, three cache nodes and a slow origin, told as they
//! are asked. A whole fleet with clients is `flintwell-rig try`.

use flintwell_standins::backends::{Backends, NodeSpec};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

const DISCOVERY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8_500);
const FIRST_NODE: u16 = 8_101; // its port; the others follow
const CACHES: u16 = 3;
const LOOK: Duration = Duration::from_millis(20); // between looks at what the nodes took

fn made(id: String, kind: &str, time_ms: f64) -> NodeSpec {
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
    for n in 0..CACHES {
        let at = SocketAddr::new(DISCOVERY.ip(), FIRST_NODE + n);
        world.serve_node(made(format!("cache-{n}"), "cache", 2.0), at, 0).await?;
    }
    let at = SocketAddr::new(DISCOVERY.ip(), FIRST_NODE + CACHES);
    world.serve_node(made("origin".into(), "origin", 120.0), at, 0).await?;
    world.serve_discovery(DISCOVERY, Default::default(), "n0").await?;
    println!("toy: discovery on {DISCOVERY}, {CACHES} cache nodes, origin on {at}");
    let mut told = 0;
    loop {
        let took = world.node_requests();
        for one in &took[told..] {
            println!("toy: {}: {} {:?}", one.node, one.key, one.disposition);
        }
        told = took.len();
        tokio::time::sleep(LOOK).await;
    }
}
