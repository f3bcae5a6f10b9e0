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
    cache: StubServer,
    origin: StubServer,
    discovery: StubServer,
}

impl World {
    fn start(answers_after: Duration) -> World {
        let (cache, origin) = (
            StubServer::start(|_, _| Action::Respond(200, "kept")),
            StubServer::start(|_, _| Action::Respond(200, "fetched")),
        );
        let list: &'static str = json!({"version": 9, "full": true, "servers": [
            node_entry("c", cache.addr, "cache", "draining"), node_entry("o", origin.addr, "origin", "ready")]})
        .to_string()
        .leak();
        let discovery = StubServer::start(move |message, _| match message.start_line.contains("since=9&") {
            true => {
                Action::RespondAfter(Duration::from_secs(2), r#"{"version":9,"full":false,"servers":[]}"#)
            }
            false => Action::RespondAfter(answers_after, list),
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
        let answer = client.request("read", &format!("k{request}"));
        assert!(matches!(answer.status(), 200 | 503), "{}", answer.start_line);
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
        assert_eq!(world.cache.requests().len(), 0, "pushed {pushed}: sent to the cache that had left");
        assert!(served > 10, "pushed {pushed}: {served} served once discovery had answered");
    }
}

/// A fleet of 32 processes whose settings tell 300; a quarter is killed, a server leaves, and the killed ones are started
/// again with the configuration they had.
#[test]
fn restarted_processes_of_a_large_fleet_send_nothing_to_a_server_that_left_while_they_were_dead() {
    let (fleet, told_fleet) = (32, 300);
    let left = Arc::new(AtomicBool::new(false));
    let caches: Vec<StubServer> =
        (0..4).map(|_| StubServer::start(|_, _| Action::Respond(200, "kept"))).collect();
    let origin = StubServer::start(|_, _| Action::Respond(200, "fetched"));
    let list = |version: u64, first: &str| -> &'static str {
        let mut servers: Vec<Value> = caches
            .iter()
            .enumerate()
            .map(|(n, cache)| {
                node_entry(&format!("c{n}"), cache.addr, "cache", if n == 0 { first } else { "ready" })
            })
            .collect();
        servers.push(node_entry("o", origin.addr, "origin", "ready"));
        json!({"version": version, "full": true, "servers": servers}).to_string().leak()
    };
    let (before, after) = (list(1, "ready"), list(2, "draining"));
    let leaves = left.clone();
    let discovery = StubServer::start(move |message, _| {
        let has = |version: &str| message.start_line.contains(&format!("since={version}&"));
        match leaves.load(Ordering::SeqCst) {
            false if has("1") => {
                Action::RespondAfter(Duration::from_millis(300), r#"{"version":1,"full":false,"servers":[]}"#)
            }
            false => Action::Respond(200, before),
            true if has("2") => {
                Action::RespondAfter(Duration::from_millis(300), r#"{"version":2,"full":false,"servers":[]}"#)
            }
            true => Action::Respond(200, after),
        }
    });
    let config = |n: usize| {
        let mut config = config(caches[0].addr, origin.addr);
        config["name"] = json!(format!("n{n}"));
        config["discovery"] = json!(discovery.addr.to_string());
        config["seed"] = json!(format!("{n:016x}"));
        config["known"] = serde_json::from_str(before).expect("valid JSON");
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
                    client.request("read", &id);
                    let heard =
                        || cache.requests().iter().any(|message| message.header("x-request-id") == Some(&id));
                    if late && heard() {
                        *heard_late.lock().expect("not poisoned") += 1;
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    let late = *heard_late.lock().expect("not poisoned");
    assert_eq!(late, 0, "requests to the server that had left, by processes younger than its end");
}

/// What an earlier process of this proxy left, with its age, is acted on at once, and for no longer than its age allows.
#[test]
fn a_list_left_by_an_earlier_process_serves_at_once_for_what_is_left_of_its_time() {
    let directory = tempfile::tempdir().expect("create directory");
    let (cache, origin) = (StubServer::start(|_, _| Action::Respond(200, "kept")), not_found_server());
    let silent = Arc::new(AtomicBool::new(false));
    let falls_silent = silent.clone();
    let discovery = StubServer::start(move |_, _| match falls_silent.load(Ordering::SeqCst) {
        true => Action::Hang,
        false => Action::RespondUnchanged,
    });
    let mut config = config(cache.addr, origin.addr);
    config["discovery"] = json!(discovery.addr.to_string());
    let first = Proxy::start_in(&config, directory.path());
    assert_eq!(first.client().request("read", "k0").body, "kept");
    thread::sleep(Duration::from_millis(500));
    silent.store(true, Ordering::SeqCst);
    drop(first);
    let dead = Instant::now();
    let second = Proxy::start_in(&config, directory.path());
    assert_eq!(second.client().request("read", "k1").body, "kept", "while what it may lack does not count");
    thread::sleep(Duration::from_millis(6_200).saturating_sub(dead.elapsed()));
    assert_eq!(second.client().request("read", "k2").status(), 503, "older than any lease");
    drop(second);
    let third = Proxy::start_in(&config, directory.path());
    assert_eq!(third.client().request("read", "k3").status(), 503, "a start makes no list younger");
}

#[test]
fn a_new_configuration_makes_no_list_younger() {
    let (cache, origin) = (StubServer::start(|_, _| Action::Respond(200, "kept")), not_found_server());
    let silent = StubServer::start(|_, _| Action::Hang);
    let mut config = config(cache.addr, origin.addr);
    let discovery =
        StubServer::start(|_, number| if number == 0 { Action::RespondUnchanged } else { Action::Hang });
    config["discovery"] = json!(discovery.addr.to_string());
    let proxy = Proxy::start(&config);
    assert_eq!(proxy.client().request("read", "k0").body, "kept");
    let confirmed = Instant::now();
    thread::sleep(Duration::from_secs(3));
    config["discovery"] = json!(silent.addr.to_string());
    std::fs::write(&proxy.config_path, config.to_string()).expect("write");
    proxy.signal("-HUP");
    wait_until("asked at the new place", || !silent.requests().is_empty());
    assert_eq!(proxy.client().request("read", "k1").body, "kept");
    thread::sleep(Duration::from_millis(6_100).saturating_sub(confirmed.elapsed()));
    assert_eq!(proxy.client().request("read", "k2").status(), 503);
}

/// Clients are told to come once they can be served, and in any case soon enough for whoever waits for a restart.
#[test]
fn a_new_process_is_ready_once_it_has_a_list_or_has_waited_for_some_seconds() {
    let (cache, origin) = (not_found_server(), not_found_server());
    let slow = StubServer::start(|_, number| match number {
        0 => Action::RespondAfter(Duration::from_secs(1), r#"{"version":1,"full":false,"servers":[]}"#),
        _ => Action::RespondUnchanged,
    });
    let silent = StubServer::start(|_, _| Action::Hang);
    for (discovery, from, to) in [(slow.addr, 900, 2_000), (silent.addr, 4_500, 6_000)] {
        let mut config = config(cache.addr, origin.addr);
        config["discovery"] = json!(discovery.to_string());
        let (config, at) = with_management(config);
        let start = Instant::now();
        let proxy = Proxy::start(&config);
        let mut probe = proxy.client();
        let mut ready = || {
            probe.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            probe.read_response().expect("response").status() == 200
        };
        while !ready() {
            assert!(start.elapsed() < Duration::from_secs(20), "never ready");
            thread::sleep(Duration::from_millis(20));
        }
        let took = start.elapsed().as_millis();
        assert!((from..to).contains(&took), "ready after {took} ms");
        assert_eq!(get(at, "/api/ready").0, 200);
    }
}
