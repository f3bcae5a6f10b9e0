//! A third of the cache nodes, a zone, says nothing for ten seconds while the list says nothing either: attempts into
//! it, by size of the fleet, with words between proxies and without.
//! `cargo run --release -p flintwell-emulator --example silent`

use flintwell_emulator::scenario::{Fault, SimulationConfig};
use flintwell_emulator::simulation::simulate;

fn main() {
    println!(
        "proxies words seed  into it: 2 s, all, a proxy  in time: 2 s, rest | back in time: 1st s, 2nd s, 3rd s"
    );
    for proxies in [12usize, 48, 100, 300, 1_000] {
        for words in [false, true] {
            for seed in 1..=3 {
                let caches = (proxies / 6).max(2);
                let shape = SimulationConfig {
                    proxies,
                    peer_messaging: words,
                    seed,
                    caches_per_zone: caches,
                    origin_capacity: proxies * 4,
                    duration_s: 24,
                    ..SimulationConfig::default()
                };
                let faults = [
                    (8_000_000, Fault::SilentZone { zone: 1, silent: true }),
                    (18_000_000, Fault::SilentZone { zone: 1, silent: false }),
                ];
                let outcome = simulate(&shape, &faults);
                let share = |from, to| {
                    let sum = outcome.sum(from, to);
                    sum.served_within_target as f64 / sum.requests.max(1) as f64
                };
                let (first, all) =
                    (outcome.sum(8, 10).unanswered_attempts, outcome.sum(8, 18).unanswered_attempts);
                println!(
                    "{proxies:7} {words:5} {seed:4}  {first:7} {all:7} {:7.1}  {:7.3} {:7.3} | {:5.3} {:5.3} {:5.3} lost {} {}",
                    all as f64 / proxies as f64,
                    share(8, 10),
                    share(10, 18),
                    share(18, 19),
                    share(19, 20),
                    share(20, 21),
                    outcome.lost_requests,
                    outcome.duplicate_answers
                );
            }
        }
    }
}
