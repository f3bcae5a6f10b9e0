//! Goodput against offered load, up to ten times the origin's capacity: 24 proxies, half of the requests for new keys,
//! clients that retry up to three times. `cargo run --release -p flintwell-emulator --example goodput`

use flintwell_emulator::scenario::SimulationConfig;
use flintwell_emulator::simulation::simulate;

const ORIGIN_CAPACITY: usize = 24; // concurrent fetches of 0.12 s each: 200 fetches per second

fn main() {
    println!(
        "offered load/origin capacity  messaging seed  within target/s  fetches/s  origin refusals/s  refused/s"
    );
    for load_factor in [0.5, 1.0, 2.0, 5.0, 10.0] {
        for peer_messaging in [false, true] {
            for seed in 1..=3 {
                let requests_per_second = load_factor * ORIGIN_CAPACITY as f64 / 0.12 / 24.0 * 2.0;
                let config = SimulationConfig {
                    proxies: 24,
                    caches_per_zone: 8,
                    cache_workers: 16,
                    origin_capacity: ORIGIN_CAPACITY,
                    new_key_share: 0.5,
                    requests_per_second,
                    max_retries: 3,
                    peer_messaging,
                    seed,
                    duration_s: 16,
                    ..SimulationConfig::default()
                };
                let total = simulate(&config, &[]).sum(6, 16);
                let per_second = |count: u64| count as f64 / 10.0;
                println!(
                    "{load_factor:28.1}  {peer_messaging:9} {seed:4}  {:15.0}  {:9.0}  {:17.0}  {:9.0}",
                    per_second(total.served_within_target),
                    per_second(total.origin_fetches),
                    per_second(total.origin_refusals),
                    per_second(total.refused)
                );
            }
        }
    }
}
