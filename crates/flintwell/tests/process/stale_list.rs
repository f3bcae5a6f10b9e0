//! A process acts on a server list only for as long as somebody vouches for it, however the process came by the list.

use crate::support::*;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const GRACE: Duration = Duration::from_millis(300); // for requests to a draining server
const SLACK: Duration = Duration::from_millis(50); // of the rule on sockets

/// A cache that has left, an origin, and a discovery that knows of it but answers its first call only after a while.
struct World {
    cache: Server,
    origin: Server,
    discovery: Server,
}

impl World {
    fn start(answers_after: Duration) -> World {
        let (cache, origin) = (
            Server::start(|_, _| Does::Answers(200, "kept")),
            Server::start(|_, _| Does::Answers(200, "fetched")),
        );
        let list: &'static str = json!({"version": 9, "full": true, "servers": [
            entry("c", cache.addr, "cache", "draining"), entry("o", origin.addr, "origin", "ready")]})
        .to_string()
        .leak();
        let discovery = Server::start(move |message, _| match message.first.contains("since=9&") {
            true => Does::Waits(Duration::from_secs(2), r#"{"version":9,"full":false,"servers":[]}"#),
            false => Does::Waits(answers_after, list),
        });
        World { cache, origin, discovery }
    }

    /// The configuration of a proxy that had its list before the cache left.
    fn config(&self, pushed: bool) -> Value {
        let mut config = config(self.cache.addr, self.origin.addr);
        config["discovery"] = json!(self.discovery.addr.to_string());
        config["settings"]["discovery"] = json!(if pushed { "pushed" } else { "on_request" });
        config["settings"]["guarantees"]["stop_sending_within"] = json!(GRACE.as_secs_f64());
        config
    }
}

/// Asks until `ends`, and counts how often the origin answered.
fn served(proxy: &Proxy, ends: Duration) -> usize {
    let (start, mut client) = (Instant::now(), proxy.client());
    let mut served = 0;
    for request in 0.. {
        if start.elapsed() > ends {
            break;
        }
        let answer = client.ask("read", &format!("k{request}"));
        assert!(matches!(answer.status(), 200 | 503), "{}", answer.first);
        served += usize::from(answer.body == "fetched");
        thread::sleep(Duration::from_millis(20));
    }
    served
}

/// What it was given may be older than any lease: the process was dead meanwhile. What left then counts from its first moment.
#[test]
fn a_new_process_sends_nothing_by_the_list_it_was_given_before_discovery_has_answered() {
    for pushed in [false, true] {
        let world = World::start(Duration::from_millis(1_500));
        let proxy = Proxy::start(&world.config(pushed));
        let served = served(&proxy, Duration::from_secs(3));
        assert_eq!(world.cache.heard().len(), 0, "pushed {pushed}: sent to the cache that had left");
        assert!(served > 10, "pushed {pushed}: {served} served once discovery had answered");
    }
}

/// A fleet of 32 processes whose settings tell 300; a quarter is killed, a server leaves, and the killed ones are started
/// again with the configuration they had.
#[test]
fn restarted_processes_of_a_large_fleet_send_nothing_to_a_server_that_left_while_they_were_dead() {
    let (fleet, told_fleet) = (32, 300);
    let left = Arc::new(AtomicBool::new(false));
    let caches: Vec<Server> = (0..4).map(|_| Server::start(|_, _| Does::Answers(200, "kept"))).collect();
    let origin = Server::start(|_, _| Does::Answers(200, "fetched"));
    let list = |version: u64, first: &str| -> &'static str {
        let mut servers: Vec<Value> = caches
            .iter()
            .enumerate()
            .map(|(n, cache)| {
                entry(&format!("c{n}"), cache.addr, "cache", if n == 0 { first } else { "ready" })
            })
            .collect();
        servers.push(entry("o", origin.addr, "origin", "ready"));
        json!({"version": version, "full": true, "servers": servers}).to_string().leak()
    };
    let (before, after) = (list(1, "ready"), list(2, "draining"));
    let leaves = left.clone();
    let discovery = Server::start(move |message, _| {
        let has = |version: &str| message.first.contains(&format!("since={version}&"));
        match leaves.load(Ordering::SeqCst) {
            false if has("1") => {
                Does::Waits(Duration::from_millis(300), r#"{"version":1,"full":false,"servers":[]}"#)
            }
            false => Does::Answers(200, before),
            true if has("2") => {
                Does::Waits(Duration::from_millis(300), r#"{"version":2,"full":false,"servers":[]}"#)
            }
            true => Does::Answers(200, after),
        }
    });
    let config = |n: usize| {
        let mut config = config(caches[0].addr, origin.addr);
        config["name"] = json!(format!("n{n}"));
        config["discovery"] = json!(discovery.addr.to_string());
        config["seed"] = json!(format!("{n:016x}"));
        config["known"] = serde_json::from_str(before).expect("JSON");
        config["settings"]["index"] = json!(n * told_fleet / fleet);
        config["settings"]["fleet_size"] = json!(told_fleet);
        config["settings"]["guarantees"]["stop_sending_within"] = json!(GRACE.as_secs_f64());
        config
    };
    let mut proxies: Vec<Proxy> = (0..fleet).map(|n| Proxy::start(&config(n))).collect();
    thread::sleep(Duration::from_secs(1));
    proxies.truncate(fleet - fleet / 4);
    left.store(true, Ordering::SeqCst);
    let allowed = Instant::now() + Duration::from_secs(6) + GRACE + SLACK;
    thread::sleep(Duration::from_secs(5));
    let restarted: Vec<Proxy> = (fleet - fleet / 4..fleet).map(|n| Proxy::start(&config(n))).collect();
    let heard_late = Arc::new(Mutex::new(0));
    thread::scope(|scope| {
        for (n, proxy) in restarted.iter().enumerate() {
            let (heard_late, cache) = (heard_late.clone(), &caches[0]);
            scope.spawn(move || {
                let mut client = proxy.client();
                for request in 0..300 {
                    let late = Instant::now() > allowed;
                    let id = format!("late-{n}-{request}");
                    client.ask("read", &id);
                    let heard =
                        || cache.heard().iter().any(|message| message.header("x-request-id") == Some(&id));
                    if late && heard() {
                        *heard_late.lock().expect("no panic") += 1;
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    let late = *heard_late.lock().expect("no panic");
    assert_eq!(late, 0, "requests to the server that had left, by processes younger than its end");
}
