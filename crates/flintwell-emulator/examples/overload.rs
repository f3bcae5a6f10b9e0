//! An origin loses four fifths of its capacity for ten seconds. Prints refusals per fetch by fleet size, with and without
//! peer messaging. The capacity scales with the fleet, from 20 to 4 concurrent fetches for 12 proxies; with the argument
//! `fixed` it falls to 6 for any fleet size. A number as argument is the largest fleet size.
//! `cargo run --release -p flintwell-emulator --example overload`

use flintwell_emulator::scenario::{Fault, SimulationConfig};
use flintwell_emulator::simulation::simulate;

fn main() {
    // The reduced capacity does not grow with the number of proxies.
    let is_capacity_fixed = std::env::args().any(|argument| argument == "fixed");
    let max_proxies: usize =
        std::env::args().filter_map(|argument| argument.parse().ok()).next().unwrap_or(1_000);
    println!(
        "proxies messaging seed  refused/fetched fetches/s  within target  refused | after recovery: 1st s, 2nd s, 3rd s | datagrams, bytes per proxy and second, excess units, lost, duplicates"
    );
    for proxies in [1usize, 12, 48, 100, 300, 1_000].into_iter().filter(|&proxies| proxies <= max_proxies) {
        for peer_messaging in [false, true] {
            for seed in 1..=3 {
                let caches_per_zone = (proxies / 6).max(2);
                let scale = proxies as f64 / 12.0;
                let scaled_capacity = |capacity: f64| (capacity * scale).ceil() as usize;
                let config = SimulationConfig {
                    proxies,
                    peer_messaging,
                    seed,
                    caches_per_zone,
                    origin_capacity: scaled_capacity(20.0),
                    duration_s: 24,
                    key_count: 2_000,
                    ..SimulationConfig::default()
                };
                let faults = [
                    (
                        8_000_000,
                        Fault::OriginCapacity(if is_capacity_fixed { 6 } else { scaled_capacity(4.0) }),
                    ),
                    (18_000_000, Fault::OriginCapacity(scaled_capacity(20.0))),
                ];
                let result = simulate(&config, &faults);
                let during = result.sum(10, 18);
                let share_within_target = |n: usize| {
                    let second = result.sum(n, n + 1);
                    second.served_within_target as f64 / second.requests.max(1) as f64
                };
                let total = result.sum(0, 24);
                println!(
                    "{proxies:7} {peer_messaging:9} {seed:4}  {:15.2} {:9.1}  {:13.3}  {:7} | {:5.3} {:5.3} {:5.3} | {:.1} {:.0} {} {} {}",
                    during.origin_refusals as f64 / during.origin_fetches.max(1) as f64,
                    during.origin_fetches as f64 / 8.0,
                    during.served_within_target as f64 / during.requests.max(1) as f64,
                    during.refused,
                    share_within_target(18),
                    share_within_target(19),
                    share_within_target(20),
                    total.datagrams_sent as f64 / 24.0 / proxies as f64,
                    total.bytes_sent as f64 / 24.0 / proxies as f64,
                    result.max_excess_units,
                    result.lost_requests,
                    result.duplicate_answers
                );
            }
        }
    }
}
