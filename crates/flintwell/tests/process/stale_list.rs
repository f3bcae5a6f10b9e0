//! A process acts on a node list only while it holds a valid lease for it, wherever the list came from.

use crate::support::*;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// For this long requests may be sent to a node that is known to drain.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Tolerance of the rule for the time on the socket.
const TOLERANCE: Duration = Duration::from_millis(50);

/// A draining cache, the origin, and a discovery that lists the drain but answers its first call only after a delay.
struct StubNodes {
    cache: StubServer,
    origin: StubServer,
    discovery: StubServer,
}

impl StubNodes {
    fn start(response_delay: Duration) -> StubNodes {
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
            false => Action::RespondAfter(response_delay, list),
        });
        StubNodes { cache, origin, discovery }
    }

    /// The configuration of a proxy whose list is older than the drain of the cache.
    fn config(&self, pushed: bool) -> Value {
        let mut config = config(self.cache.addr, self.origin.addr);
        config["discovery"] = json!(self.discovery.addr.to_string());
        config["settings"]["discovery"] = json!(if pushed { "pushed" } else { "on_request" });
        config["settings"]["guarantees"]["stop_sending_within"] = json!(DRAIN_GRACE.as_secs_f64());
        config
    }
}

/// Sends requests for this time, and counts how often the origin answered.
fn count_origin_responses(proxy: &Proxy, time: Duration) -> usize {
    let (start, mut client) = (Instant::now(), proxy.client());
    let mut served = 0;
    for request in 0.. {
        if start.elapsed() > time {
            break;
        }
        let response = client.request("read", &format!("k{request}"));
        assert!(matches!(response.status(), 200 | 503), "{}", response.start_line);
        served += usize::from(response.body == "fetched");
        thread::sleep(Duration::from_millis(20));
    }
    served
}

/// The configured list may be older than any lease, because the process was down meanwhile. Nodes that drained or left in
/// that time must not receive any request, from process start on.
#[test]
fn new_process_sends_nothing_by_its_configured_list_before_discovery_has_answered() {
    for pushed in [false, true] {
        let stubs = StubNodes::start(Duration::from_millis(1_500));
        let proxy = Proxy::start(&stubs.config(pushed));
        let served = count_origin_responses(&proxy, Duration::from_secs(3));
        assert_eq!(stubs.cache.requests().len(), 0, "pushed {pushed}: requests to the draining cache");
        assert!(served > 10, "pushed {pushed}: {served} requests served after discovery had answered");
    }
}

/// 32 processes whose settings give a fleet size of 300. A quarter is killed, a node drains, and the killed processes
/// restart with the same configuration.
#[test]
fn restarted_processes_send_nothing_to_a_node_that_drained_while_they_were_down() {
    let (processes, fleet_size) = (32, 300);
    let has_drained = Arc::new(AtomicBool::new(false));
    let caches: Vec<StubServer> =
        (0..4).map(|_| StubServer::start(|_, _| Action::Respond(200, "kept"))).collect();
    let origin = StubServer::start(|_, _| Action::Respond(200, "fetched"));
    let list = |version: u64, first_state: &str| -> &'static str {
        let mut servers: Vec<Value> = caches
            .iter()
            .enumerate()
            .map(|(n, cache)| {
                node_entry(&format!("c{n}"), cache.addr, "cache", if n == 0 { first_state } else { "ready" })
            })
            .collect();
        servers.push(node_entry("o", origin.addr, "origin", "ready"));
        json!({"version": version, "full": true, "servers": servers}).to_string().leak()
    };
    let (before, after) = (list(1, "ready"), list(2, "draining"));
    let drained = has_drained.clone();
    let discovery = StubServer::start(move |message, _| {
        let has = |version: &str| message.start_line.contains(&format!("since={version}&"));
        match drained.load(Ordering::SeqCst) {
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
        config["settings"]["index"] = json!(n * fleet_size / processes);
        config["settings"]["fleet_size"] = json!(fleet_size);
        config["settings"]["guarantees"]["stop_sending_within"] = json!(DRAIN_GRACE.as_secs_f64());
        config
    };
    let mut proxies: Vec<Proxy> = (0..processes).map(|n| Proxy::start(&config(n))).collect();
    thread::sleep(Duration::from_secs(1));
    proxies.truncate(processes - processes / 4);
    has_drained.store(true, Ordering::SeqCst);
    let allowed_until = Instant::now() + Duration::from_secs(6) + DRAIN_GRACE + TOLERANCE;
    thread::sleep(Duration::from_secs(5));
    let restarted: Vec<Proxy> =
        (processes - processes / 4..processes).map(|n| Proxy::start(&config(n))).collect();
    let late_count = Arc::new(Mutex::new(0));
    thread::scope(|scope| {
        for (n, proxy) in restarted.iter().enumerate() {
            let (late_count, cache) = (late_count.clone(), &caches[0]);
            scope.spawn(move || {
                let mut client = proxy.client();
                for request in 0..300 {
                    let is_late = Instant::now() > allowed_until;
                    let id = format!("late-{n}-{request}");
                    client.request("read", &id);
                    let was_received =
                        || cache.requests().iter().any(|message| message.header("x-request-id") == Some(&id));
                    if is_late && was_received() {
                        *late_count.lock().expect("not poisoned") += 1;
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
    let late = *late_count.lock().expect("not poisoned");
    assert_eq!(late, 0, "requests of restarted processes to the node that drained while they were down");
}

/// A list that an earlier process stored is used at once, and only for the rest of its lease: a restart renews no lease.
#[test]
fn stored_list_is_used_at_once_for_the_rest_of_its_lease() {
    let directory = tempfile::tempdir().expect("create directory");
    let (cache, origin) = (StubServer::start(|_, _| Action::Respond(200, "kept")), not_found_server());
    let silent = Arc::new(AtomicBool::new(false));
    let is_silent = silent.clone();
    let discovery = StubServer::start(move |_, _| match is_silent.load(Ordering::SeqCst) {
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
    let stopped_at = Instant::now();
    let second = Proxy::start_in(&config, directory.path());
    assert_eq!(second.client().request("read", "k1").body, "kept", "while the stored lease is valid");
    thread::sleep(Duration::from_millis(6_200).saturating_sub(stopped_at.elapsed()));
    assert_eq!(second.client().request("read", "k2").status(), 503, "the lease has expired");
    drop(second);
    let third = Proxy::start_in(&config, directory.path());
    assert_eq!(third.client().request("read", "k3").status(), 503, "a start renews no lease");
}

#[test]
fn reloading_the_configuration_renews_no_lease() {
    let (cache, origin) = (StubServer::start(|_, _| Action::Respond(200, "kept")), not_found_server());
    let silent = StubServer::start(|_, _| Action::Hang);
    let mut config = config(cache.addr, origin.addr);
    let discovery =
        StubServer::start(|_, number| if number == 0 { Action::RespondUnchanged } else { Action::Hang });
    config["discovery"] = json!(discovery.addr.to_string());
    let proxy = Proxy::start(&config);
    assert_eq!(proxy.client().request("read", "k0").body, "kept");
    let confirmed_at = Instant::now();
    thread::sleep(Duration::from_secs(3));
    config["discovery"] = json!(silent.addr.to_string());
    std::fs::write(&proxy.config_path, config.to_string()).expect("write");
    proxy.signal("-HUP");
    wait_until("the new discovery is called", || !silent.requests().is_empty());
    assert_eq!(proxy.client().request("read", "k1").body, "kept");
    thread::sleep(Duration::from_millis(6_100).saturating_sub(confirmed_at.elapsed()));
    assert_eq!(proxy.client().request("read", "k2").status(), 503);
}

/// A process reports ready once it can serve, and otherwise after a limited time, so that a restart does not block.
#[test]
fn new_process_is_ready_once_it_has_a_list_or_a_startup_timeout_is_over() {
    let (cache, origin) = (not_found_server(), not_found_server());
    let slow = StubServer::start(|_, number| match number {
        0 => Action::RespondAfter(Duration::from_secs(1), r#"{"version":1,"full":false,"servers":[]}"#),
        _ => Action::RespondUnchanged,
    });
    let silent = StubServer::start(|_, _| Action::Hang);
    for (discovery, min_ms, max_ms) in [(slow.addr, 900, 2_000), (silent.addr, 4_500, 6_000)] {
        let mut config = config(cache.addr, origin.addr);
        config["discovery"] = json!(discovery.to_string());
        let (config, at) = with_management(config);
        let start = Instant::now();
        let proxy = Proxy::start(&config);
        let mut probe = proxy.client();
        let mut is_ready = || {
            probe.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            probe.read_response().expect("response").status() == 200
        };
        while !is_ready() {
            assert!(start.elapsed() < Duration::from_secs(20), "never ready");
            thread::sleep(Duration::from_millis(20));
        }
        let took_ms = start.elapsed().as_millis();
        assert!((min_ms..max_ms).contains(&took_ms), "ready after {took_ms} ms");
        assert_eq!(get(at, "/api/ready").0, 200);
    }
}
