//! Rare moments: each bad order is forced, by stand-ins that wait for a signal.

use crate::support::*;
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn what_a_silent_watch_misses_is_in_hand_before_it_counts_as_told() {
    let (cache, origin) = (misses(), Server::start(|_, _| Does::Answers(200, "fetched")));
    let drains = entry("c", cache.addr, "cache", "draining");
    let change: &'static str = format!(r#"{{"version":2,"full":false,"servers":[{drains}]}}"#).leak();
    // The first watch never says a word; it is there as soon as anyone asks anew.
    for pushed in [false, true] {
        let discovery = Server::start(move |_, number| match number {
            1 => Does::Answers(200, change),
            _ => Does::Hangs,
        });
        let mut config = config(cache.addr, origin.addr);
        config["discovery"] = json!(discovery.addr.to_string());
        config["settings"]["discovery"] = json!(if pushed { "pushed" } else { "on_request" });
        let proxy = Proxy::start(&config);
        soon("watched", || discovery.heard().len() == 1);
        let changed = Instant::now();
        soon("asked anew, and watched on", || discovery.heard().len() == 3);
        assert!(changed.elapsed() < Duration::from_millis(4_500), "{:?}", changed.elapsed());
        assert_eq!(proxy.client().ask("read", "k").body, "fetched");
        assert!(cache.heard().is_empty(), "nothing to the one that leaves");
    }
}
