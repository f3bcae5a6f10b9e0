//! Goodput against offered load, up to ten times what the origin can do: 24 proxies, half of the reads for new keys,
//! clients that come again up to three times. `cargo run --release -p flintwell-emulator --example goodput`

use flintwell_emulator::scenario::SimulationConfig;
use flintwell_emulator::simulation::simulate;

const ROOM: usize = 24; // fetches at once of 0.12 s: two hundred a second

fn main() {
    println!("offered/what the origin does  words seed  in time a second  fetched  refused  refused");
    for times in [0.5, 1.0, 2.0, 5.0, 10.0] {
        for words in [false, true] {
            for seed in 1..=3 {
                let rate = times * ROOM as f64 / 0.12 / 24.0 * 2.0;
                let shape = SimulationConfig {
                    proxies: 24,
                    caches_per_zone: 8,
                    cache_workers: 16,
                    origin_capacity: ROOM,
                    new_key_share: 0.5,
                    requests_per_second: rate,
                    max_retries: 3,
                    peer_messaging: words,
                    seed,
                    duration_s: 16,
                    ..SimulationConfig::default()
                };
                let sum = simulate(&shape, &[]).sum(6, 16);
                let each = |part: u64| part as f64 / 10.0;
                println!(
                    "{times:28.1}  {words:5} {seed:4}  {:16.0} {:8.0} {:8.0} {:12.0}",
                    each(sum.served_within_target),
                    each(sum.origin_fetches),
                    each(sum.origin_refusals),
                    each(sum.refused)
                );
            }
        }
    }
}
