//! One zone, a third of the cache nodes, stops responding for ten seconds while the node list still shows it as ready.
//! Prints the attempts into that zone by fleet size, with and without peer messaging.
//! `cargo run --release -p flintwell-emulator --example silent_zone`

use flintwell_emulator::scenario::{Fault, SimulationConfig};
use flintwell_emulator::simulation::simulate;

fn main() {
    println!(
        "proxies messaging seed  attempts: first 2 s, all, per proxy  within target: first 2 s, rest | after recovery: 1st s, 2nd s, 3rd s"
    );
    for proxies in [12usize, 48, 100, 300, 1_000] {
        for peer_messaging in [false, true] {
            for seed in 1..=3 {
                let caches_per_zone = (proxies / 6).max(2);
                let config = SimulationConfig {
                    proxies,
                    peer_messaging,
                    seed,
                    caches_per_zone,
                    origin_capacity: proxies * 4,
                    duration_s: 24,
                    ..SimulationConfig::default()
                };
                let faults = [
                    (8_000_000, Fault::SilentZone { zone: 1, silent: true }),
                    (18_000_000, Fault::SilentZone { zone: 1, silent: false }),
                ];
                let result = simulate(&config, &faults);
                let share_within_target = |from, to| {
                    let sum = result.sum(from, to);
                    sum.served_within_target as f64 / sum.requests.max(1) as f64
                };
                let (first_two_s, all) =
                    (result.sum(8, 10).unanswered_attempts, result.sum(8, 18).unanswered_attempts);
                println!(
                    "{proxies:7} {peer_messaging:9} {seed:4}  {first_two_s:7} {all:7} {:7.1}  {:7.3} {:7.3} | {:5.3} {:5.3} {:5.3} lost {} duplicates {}",
                    all as f64 / proxies as f64,
                    share_within_target(8, 10),
                    share_within_target(10, 18),
                    share_within_target(18, 19),
                    share_within_target(19, 20),
                    share_within_target(20, 21),
                    result.lost_requests,
                    result.duplicate_answers
                );
            }
        }
    }
}
