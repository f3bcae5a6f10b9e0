//! Goodput against offered load, up to ten times what the origin can do: 24 proxies, half of the reads for new keys,
//! clients that come again up to three times. `cargo run --release -p flintwell-emulator --example goodput`

use flintwell_emulator::plan::Shape;
use flintwell_emulator::run::play;

const ROOM: usize = 24; // fetches at once of 0.12 s: two hundred a second

fn main() {
    println!("offered/what the origin does  words seed  in time a second  fetched  refused  refused");
    for times in [0.5, 1.0, 2.0, 5.0, 10.0] {
        for words in [false, true] {
            for seed in 1..=3 {
                let rate = times * ROOM as f64 / 0.12 / 24.0 * 2.0;
                let shape = Shape {
                    proxies: 24,
                    caches: 8,
                    cache_workers: 16,
                    origin_room: ROOM,
                    new_keys: 0.5,
                    rate,
                    again: 3,
                    words,
                    seed,
                    seconds: 16,
                    ..Shape::default()
                };
                let sum = play(&shape, &[]).sum(6, 16);
                let each = |part: u64| part as f64 / 10.0;
                println!(
                    "{times:28.1}  {words:5} {seed:4}  {:16.0} {:8.0} {:8.0} {:12.0}",
                    each(sum.in_time),
                    each(sum.fetched),
                    each(sum.origin_refused),
                    each(sum.refused)
                );
            }
        }
    }
}
