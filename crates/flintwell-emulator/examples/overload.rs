//! An origin whose room falls from 40 to 6 for ten seconds: refused for one fetched, by size of the fleet, with words
//! between proxies and without. `cargo run --release -p flintwell-emulator --example overload`

use flintwell_emulator::scenario::{Fault, SimulationConfig};
use flintwell_emulator::simulation::simulate;

fn main() {
    // Fixed: the same weak origin behind ever more proxies.
    let fixed = std::env::args().any(|argument| argument == "fixed");
    let most: usize = std::env::args().filter_map(|argument| argument.parse().ok()).next().unwrap_or(1_000);
    println!(
        "proxies words seed  refused/fetched fetched/s  in time  refused | after: 1st s   2nd s   3rd s | datagrams, bytes a proxy and second, excess"
    );
    for proxies in [1usize, 12, 48, 100, 300, 1_000].into_iter().filter(|&proxies| proxies <= most) {
        for words in [false, true] {
            for seed in 1..=3 {
                let caches = (proxies / 6).max(2);
                let scale = proxies as f64 / 12.0;
                let room = |room: f64| (room * scale).ceil() as usize;
                let shape = SimulationConfig {
                    proxies,
                    peer_messaging: words,
                    seed,
                    caches_per_zone: caches,
                    origin_capacity: room(20.0),
                    duration_s: 24,
                    key_count: 2_000,
                    ..SimulationConfig::default()
                };
                let faults = [
                    (8_000_000, Fault::OriginCapacity(if fixed { 6 } else { room(4.0) })),
                    (18_000_000, Fault::OriginCapacity(room(20.0))),
                ];
                let outcome = simulate(&shape, &faults);
                let during = outcome.sum(10, 18);
                let share = |n: usize| {
                    let one = outcome.sum(n, n + 1);
                    one.served_within_target as f64 / one.requests.max(1) as f64
                };
                let all = outcome.sum(0, 24);
                println!(
                    "{proxies:7} {words:5} {seed:4}  {:15.2} {:9.1}  {:7.3}  {:11} | {:5.3} {:5.3} {:5.3} | {:.1} {:.0} {} {} {}",
                    during.origin_refusals as f64 / during.origin_fetches.max(1) as f64,
                    during.origin_fetches as f64 / 8.0,
                    during.served_within_target as f64 / during.requests.max(1) as f64,
                    during.refused,
                    share(18),
                    share(19),
                    share(20),
                    all.datagrams_sent as f64 / 24.0 / proxies as f64,
                    all.bytes_sent as f64 / 24.0 / proxies as f64,
                    outcome.max_excess_units,
                    outcome.lost_requests,
                    outcome.duplicate_answers
                );
            }
        }
    }
}
