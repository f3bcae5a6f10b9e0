//! `flintwell fleet status`: the fleet as one proxy sees it, as text or JSON.

use crate::fleet::peer_messaging::FleetStatus;
use clap::Subcommand;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(5); // allows for a busy proxy

/// Subcommands of `flintwell fleet`.
#[derive(Subcommand)]
pub enum Command {
    /// Show the other proxies as seen by one proxy, and its share of the origin's rate limit
    Status {
        /// Management address of the proxy
        #[arg(long)]
        at: SocketAddr,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
}

/// Runs the subcommand and prints its result.
pub fn run(command: &Command) -> Result<(), String> {
    let Command::Status { at, json } = command;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let call = flintwell_call::send_request(*at, Method::GET, "/api/fleet", Default::default(), CALL_TIMEOUT);
    let (status, text) = runtime.block_on(call).map_err(|why| format!("{at}: {why}"))?;
    if status != StatusCode::OK {
        return Err(format!("{at}: messages between proxies are not configured there ({status})"));
    }
    if *json {
        print!("{}", String::from_utf8_lossy(&text));
        return Ok(());
    }
    let fleet: FleetStatus = serde_json::from_slice(&text).map_err(|e| format!("{at}: {e}"))?;
    print!("{}", render(&fleet));
    Ok(())
}

fn render(fleet: &FleetStatus) -> String {
    let FleetStatus { name, number, members, share, dropped, .. } = fleet;
    let rate = share.rate.map_or("no limit known".into(), |rate| format!("{rate:.1} fetches a second"));
    let mut text = format!(
        "{name}, number {number}: {rate}, {} rate units, {} of them borrowed\n",
        share.units, share.borrowed
    );
    text += &format!(
        "fleet average per proxy and second: {:.1} origin fetches, {:.1} refused\n",
        share.accepted, share.refused
    );
    for member in members {
        text += &format!("  {:5} {:22} {}\n", member.number, member.addr, member.state);
    }
    for node in &fleet.silent {
        let who = if node.is_prober { "probed by this proxy" } else { "probed by other proxies" };
        text +=
            &format!("  {} does not respond, nor to {} other proxies; {who}\n", node.node, node.witnesses);
    }
    let count = |what: &str, count: u64| if count > 0 { format!(" {what} {count}") } else { String::new() };
    let causes = [
        count("malformed", dropped.malformed),
        count("other version", dropped.other_version),
        count("other cluster", dropped.other_cluster),
        count("unsigned", dropped.unsigned),
        count("replayed", dropped.replayed),
        count("over the sender's rate limit", dropped.flooded),
        count("unknown sender", dropped.unknown),
    ];
    text + &format!(
        "sent {} datagrams, {} bytes; dropped{}\n",
        fleet.datagrams_sent,
        fleet.bytes_sent,
        Some(causes.concat()).filter(|causes| !causes.is_empty()).unwrap_or(" none".into())
    )
}
