//! Requests and responses, client and node connections, list updates, configuration and shutdown.

use crate::support::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn cache_miss_is_fetched_from_the_origin_and_requests_are_forwarded_unchanged() {
    let (cache, origin) = (not_found_server(), StubServer::start(|_, _| Action::Respond(200, "value")));
    let proxy = Proxy::start(&config(cache.addr, origin.addr));
    let mut client = proxy.client();
    let read = client.request("read", "k1");
    assert_eq!((read.status(), &*read.body), (200, "value"));
    assert_eq!(cache.requests()[0].start_line, "GET /api/k1?q=1 HTTP/1.1\r\n");
    assert_eq!(client.request("write", "k2").status(), 200);
    let write = origin.requests()[1].clone();
    assert_eq!((&*write.start_line, &*write.body), ("PUT /api/k2?q=1 HTTP/1.1\r\n", "v"));
    assert_eq!((write.header("x-request-id"), write.header("idempotency-key")), (Some("k2"), Some("m-k2")));
    let deadline: f64 = write.header("x-deadline").and_then(|value| value.parse().ok()).expect("deadline");
    assert!(deadline > 0.3 && deadline <= 0.6, "{deadline}");
}

#[test]
fn unsafe_request_that_may_have_run_is_neither_retried_nor_refused() {
    for action in [
        || Action::Close,
        || Action::SendRaw("nonsense\r\n\r\n"),
        || Action::Respond(500, ""),
        || Action::SendRaw("HTTP/1.1 200 -\r\nContent-Length: 9\r\n\r\n1"),
        || Action::SendRaw("HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
    ] {
        let origin = StubServer::start(move |_, _| action());
        let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
        assert_eq!(proxy.client().request("once", "k").status(), 502);
        assert_eq!(origin.requests().len(), 1);
    }
}

#[test]
fn unsafe_request_that_never_ran_is_refused() {
    let full = StubServer::start(|_, _| Action::Respond(503, ""));
    for origin in [closed_address(), full.addr] {
        let proxy = Proxy::start(&config(not_found_server().addr, origin));
        let response = proxy.client().request("once", "k");
        assert_eq!((response.status(), response.header("retry-after")), (503, Some("0.500")));
    }
}

#[test]
fn node_connection_closed_while_idle_fails_no_request() {
    let origin = StubServer::start(|_, _| Action::RespondAndClose("value"));
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let mut client = proxy.client();
    for id in ["k1", "k2", "k3"] {
        assert_eq!(client.request("once", id).status(), 200);
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(origin.requests().len(), 3);
}

#[test]
fn idle_node_connections_are_closed_before_the_keepalive_limit() {
    let origin = StubServer::start(|_, _| Action::Respond(200, "value"));
    let mut config = config(not_found_server().addr, origin.addr);
    config["settings"]["limits"]["keepalive"] = json!(1.5);
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    assert_eq!(client.request("once", "k").status(), 200);
    // A connection rests after an exchange.
    thread::sleep(Duration::from_millis(100));
    assert_eq!(client.request("once", "k2").status(), 200);
    assert_eq!(
        (origin.accepted(), origin.closed()),
        (1, 0),
        "both requests use one connection, which stays open"
    );
    thread::sleep(Duration::from_millis(1_450));
    assert_eq!(origin.closed(), 1);
}

#[test]
fn attempt_at_a_silent_node_times_out_and_its_connection_is_closed() {
    let origin = StubServer::start(move |_, _| Action::Hang);
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let start = Instant::now();
    assert_eq!(proxy.client().request("once", "k").status(), 502);
    assert!(start.elapsed() < Duration::from_millis(900), "before the deadline");
    wait_until("the connection is closed", || origin.closed() == 1);
}

#[test]
fn disconnecting_clients_cancel_their_attempts_and_free_their_slots_at_the_origin() {
    let origin = StubServer::start(|message, _| match message.start_line.contains("stays") {
        true => Action::Respond(200, "value"),
        false => Action::Hang,
    });
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    for n in 0..12 {
        let mut leaving = proxy.client();
        leaving.send_request("write", &format!("k{n}"));
        wait_until("the attempt is sent", || origin.requests().len() == n + 1);
        let start = Instant::now();
        drop(leaving);
        wait_until("the attempt is cancelled", || origin.closed() == n + 1);
        assert!(start.elapsed() < Duration::from_millis(400), "cancelled at once, not by the time-out");
    }
    assert_eq!(proxy.client().request("write", "stays").status(), 200);
}

#[test]
fn request_id_that_is_already_in_flight_is_rejected() {
    let origin = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(200), "value"));
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let mut first = proxy.client();
    first.send_request("write", "k");
    wait_until("the attempt is sent", || origin.requests().len() == 1);
    assert_eq!(proxy.client().request("write", "k").status(), 409);
    assert_eq!(first.read_response().expect("response").status(), 200);
    assert_eq!(origin.requests().len(), 1);
}

#[test]
fn malformed_request_gets_a_4xx_and_reaches_no_node() {
    let (cache, origin) = (not_found_server(), StubServer::start(|_, _| Action::Respond(200, "value")));
    let proxy = Proxy::start(&config(cache.addr, origin.addr));
    let valid = "X-Request-Id: i\r\nX-Class: read\r\nX-Deadline: 1.0\r\n";
    let oversized = format!("{valid}Content-Length: 33554433\r\n\r\n{}", "x".repeat(70_000));
    for (method, rest, status) in [
        ("GET", "X-Class: read\r\nX-Deadline: 1.0\r\n\r\n", 400),
        ("GET", "X-Request-Id: i\r\nX-Class: no\r\nX-Deadline: 1.0\r\n\r\n", 400),
        ("GET", "X-Request-Id: i\r\nX-Class: read\r\n\r\n", 400),
        ("GET", "X-Request-Id: i\r\nX-Class: read\r\nX-Deadline: NaN\r\n\r\n", 400),
        ("GET", "X-Request-Id: i\r\nX-Class: read\r\nX-Deadline: -1\r\n\r\n", 400),
        ("GET", &format!("{valid}X-Request-Id: j\r\n\r\n"), 400),
        // Request smuggling by two conflicting body lengths, in both orders, and an invalid length.
        (
            "PUT",
            &format!("{valid}Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /"),
            400,
        ),
        (
            "PUT",
            &format!("{valid}Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n0\r\n\r\nGET /"),
            400,
        ),
        ("PUT", &format!("{valid}Content-Length: -1\r\n\r\n"), 400),
        ("PUT", &format!("{valid}Content-Length: 9\r\n\r\nshort"), 408),
        ("DELETE", &format!("{valid}\r\n"), 405),
        ("PUT", &oversized, 413),
        ("G\u{1}T", "\r\n", 400),
    ] {
        let mut client = proxy.client();
        // The proxy stops reading a body over the limit, so the write may fail.
        let _ =
            client.0.get_mut().write_all(format!("{method} /api/k HTTP/1.1\r\nHost: h\r\n{rest}").as_bytes());
        assert_eq!(client.read_response().expect("response").status(), status, "{method} {rest:.60}");
        assert!(client.read_response().is_none(), "not closed: {method} {rest:.60}");
    }
    assert!(cache.requests().is_empty() && origin.requests().is_empty());
    assert_eq!(proxy.client().request("read", "k").status(), 200);
}

#[test]
fn silent_clients_are_closed_soon_and_do_not_block_others() {
    let mut config =
        config(not_found_server().addr, StubServer::start(|_, _| Action::Respond(200, "value")).addr);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    let (start, mut used) = (Instant::now(), proxy.client());
    assert_eq!(used.request("read", "k1").status(), 200);
    let mut silent: Vec<Client> = (0..60).map(|_| proxy.client()).collect();
    silent.iter_mut().step_by(2).for_each(|client| client.send("GET /api/k HTTP/1.1\r\nHost:"));
    assert_eq!(proxy.client().request("read", "k2").status(), 200);
    assert!(start.elapsed() < Duration::from_millis(2_500), "{:?}", start.elapsed());
    assert_eq!(used.request("read", "k3").status(), 200, "a used connection stays open");
    assert!(silent.iter_mut().all(|client| client.read_response().is_none()));
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
}

#[test]
fn oldest_idle_clients_are_closed_before_all_connections_are_in_use() {
    let mut config =
        config(not_found_server().addr, StubServer::start(|_, _| Action::Respond(200, "value")).addr);
    config["limits"]["sockets"] = json!(160);
    let proxy = Proxy::start(&config);
    // There is room for 64 clients. Idle ones are closed early, so that they never hold a third of the descriptors (54).
    let mut idle: Vec<Client> = (0..50)
        .map(|n| {
            let mut client = proxy.client();
            assert_eq!(client.request("read", &format!("k{n}")).status(), 200);
            client
        })
        .collect();
    for client in &mut idle[..10] {
        let _ = client.0.get_mut().set_read_timeout(Some(Duration::from_millis(300)));
        assert!(client.read_response().is_none(), "not closed");
    }
    assert_eq!(idle[49].request("read", "again").status(), 200, "the newest stays open");
}

#[test]
fn stream_of_silent_clients_does_not_delay_requests() {
    let mut config =
        config(not_found_server().addr, StubServer::start(|_, _| Action::Respond(200, "value")).addr);
    config["limits"]["sockets"] = json!(96);
    let proxy = Proxy::start(&config);
    let addr = proxy.addr;
    let silent = thread::spawn(move || {
        // 60 connections per second, with room for 32.
        (0..90)
            .map(|_| {
                thread::sleep(Duration::from_millis(16));
                TcpStream::connect(addr)
            })
            .collect::<Vec<_>>()
    });
    for n in 0..70 {
        let start = Instant::now();
        // Each on its own connection, half of them with the headers in two parts.
        let mut client = proxy.client();
        if n % 2 == 0 {
            client.send("GET /api/k HTTP/1.1\r\n");
            thread::sleep(Duration::from_millis(20));
            client.send(&format!("X-Request-Id: s{n}\r\nX-Class: read\r\nX-Deadline: 1\r\n\r\n"));
            assert_eq!(client.read_response().expect("response").status(), 200);
        } else {
            assert_eq!(client.request("read", &format!("k{n}")).status(), 200);
        }
        assert!(start.elapsed() < Duration::from_millis(500), "{n}: {:?}", start.elapsed());
    }
    assert_eq!(silent.join().expect("connecting thread").len(), 90);
}

#[test]
fn clients_that_stay_connected_after_one_request_do_not_delay_others() {
    let mut config =
        config(not_found_server().addr, StubServer::start(|_, _| Action::Respond(200, "value")).addr);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    let start = Instant::now();
    let clients = (0..120).map(|n| {
        let (silent, mut client) = (proxy.client(), proxy.client());
        assert_eq!(client.request("read", &format!("k{n}")).status(), 200);
        (client, (n % 4 == 0).then_some(silent))
    });
    let clients: Vec<_> = clients.collect();
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    drop(clients);
}

#[test]
fn draining_node_gets_no_new_requests_even_if_the_update_has_invalid_entries() {
    let (cache, origin) = (
        StubServer::start(|_, _| Action::Respond(200, "kept")),
        StubServer::start(|_, _| Action::Respond(200, "fetched")),
    );
    let invalid = r#"{"id":"x","addr":"nowhere","state":"ready"}"#;
    let draining = node_entry("c", cache.addr, "cache", "draining");
    let update: &'static str =
        format!(r#"{{"version":2,"full":false,"servers":[{invalid},{draining}]}}"#).leak();
    let discovery = StubServer::start(move |_, number| match number {
        0 => Action::Respond(200, "no list"),
        1 => Action::Close,
        2 => Action::Respond(200, update),
        _ => Action::Hang,
    });
    let mut config = config(cache.addr, origin.addr);
    config["discovery"] = json!(discovery.addr.to_string());
    config["settings"]["discovery"] = json!("pushed");
    let proxy = Proxy::start(&config);
    wait_until("the watch continues after the update", || discovery.requests().len() == 4);
    assert!(discovery.requests()[3].start_line.contains("since=2&"), "not from the latest version");
    assert_eq!(proxy.client().request("read", "k").body, "fetched");
    assert!(cache.requests().is_empty());
}

#[test]
fn older_list_does_not_bring_a_draining_node_back() {
    let cache = not_found_server();
    let origin = StubServer::start(|_, _| Action::Respond(200, "fetched"));
    let list = |version, state| -> &'static str {
        let cache = node_entry("c", cache.addr, "cache", state);
        let origin = node_entry("o", origin.addr, "origin", "ready");
        format!(r#"{{"version":{version},"full":true,"servers":[{cache},{origin}]}}"#).leak()
    };
    let (latest, older, full) = (list(5, "draining"), list(4, "ready"), list(4, "draining"));
    let discovery = StubServer::start(move |_, number| match number {
        0 => Action::Respond(200, latest),
        1 => Action::Respond(200, older),
        2 => Action::Respond(200, full),
        _ => Action::Hang,
    });
    let mut config = config(cache.addr, origin.addr);
    config["discovery"] = json!(discovery.addr.to_string());
    config["settings"]["discovery"] = json!("pushed");
    let proxy = Proxy::start(&config);
    wait_until("the full list is requested and the watch continues", || discovery.requests().len() == 4);
    let has_version: Vec<_> =
        discovery.requests().iter().map(|call| call.start_line.contains("since=")).collect();
    assert_eq!(has_version, [true, true, false, true], "an older list makes the proxy request the full list");
    assert_eq!(proxy.client().request("read", "k").body, "fetched");
    assert!(cache.requests().is_empty(), "no request to the draining node");
}

#[test]
fn shutdown_answers_requests_in_flight_and_those_that_arrive_meanwhile() {
    let origin = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(300), "value"));
    let mut proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let (mut pending, mut idle) = (proxy.client(), proxy.client());
    pending.send_request("write", "k1");
    wait_until("the attempt is sent", || origin.requests().len() == 1);
    proxy.signal("-TERM");
    thread::sleep(Duration::from_millis(150));
    let mut new = proxy.client();
    idle.send_request("write", "k2");
    new.send_request("write", "k3");
    for client in [&mut pending, &mut idle, &mut new] {
        let response = client.read_response().expect("response");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    }
    let start = Instant::now();
    assert!(proxy.child.wait().expect("exit status").success());
    assert!(start.elapsed() < Duration::from_millis(1_500));
}

#[test]
fn idle_client_connections_make_room_for_new_ones_at_the_limit() {
    let origin = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(100), "value"));
    let mut config = config(not_found_server().addr, origin.addr);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    // Far more idle or incomplete connections than there is room for, then 24 requests at once.
    let incomplete = |_| {
        let mut client = proxy.client();
        client.send("GET /api/k HTTP/1.1\r\nHost: h\r\n");
        client
    };
    let incomplete: Vec<Client> = (0..16).map(incomplete).collect();
    let idle = (0..40).map(|_| {
        let mut client = proxy.client();
        client.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(client.read_response().expect("response").status(), 200);
        client
    });
    let idle: Vec<Client> = idle.collect();
    let start = Instant::now();
    let start_request = |n| {
        let mut client = proxy.client();
        client.send_request("write", &format!("k{n}"));
        client
    };
    let busy: Vec<Client> = (0..24).map(start_request).collect();
    for (n, mut client) in busy.into_iter().enumerate() {
        // Clients repeat a request when the connection was closed under it.
        let response = client.read_response().or_else(|| start_request(n).read_response()).expect("response");
        assert!([200, 503].contains(&response.status()));
    }
    assert!(start.elapsed() < Duration::from_secs(4));
    drop((idle, incomplete));
}

#[test]
fn invalid_configuration_is_rejected_with_one_line() {
    let unused = closed_address();
    let valid = config(unused, unused);
    let without = |path: &[&str]| {
        let mut invalid = valid.clone();
        let (last, parents) = path.split_last().expect("path");
        let parent = parents.iter().fold(&mut invalid, |value, name| &mut value[*name]);
        parent.as_object_mut().expect("JSON object").remove(*last);
        invalid.to_string()
    };
    let with = |path: &str, value: Value| {
        let (parent, last) = path.rsplit_once('/').expect("path");
        let mut invalid = valid.clone();
        invalid.pointer_mut(parent).expect("parent object")[last] = value;
        invalid.to_string()
    };
    for (text, expected) in [
        ("{".to_owned(), "EOF"),
        (without(&["listen"]), "listen"),
        (without(&["settings", "use_cases"]), "use_cases"),
        (without(&["settings", "limits", "dial_timeout"]), "limits.dial_timeout"),
        (valid.to_string().replace("8c1f30d27a5be964", "seed?"), "seed"),
        (with("/settings/fleet_size", json!("one")), "fleet_size is \"one\""),
        (with("/watch_with", json!({"weights": "heavy"})), "watch_with: settings: weights"),
        (with("/watch_with", json!({"use_cases": [{"name": "read"}]})), "watch_with: settings: use_cases"),
    ] {
        for command in [&["check"][..], &["serve", "--config"]] {
            let (child, path) = run(command, &text, Stdio::piped(), None);
            let output = child.wait_with_output().expect("exit status");
            std::fs::remove_file(path).expect("remove file");
            let message = String::from_utf8_lossy(&output.stderr);
            assert!(
                !output.status.success() && message.lines().count() == 1 && message.contains(expected),
                "{message}"
            );
        }
    }
    let (mut child, path) = run(&["check"], &valid.to_string(), Stdio::null(), None);
    assert!(child.wait().expect("exit status").success());
    std::fs::remove_file(path).expect("remove file");
}

#[test]
fn restarted_proxy_serves_on_the_same_address_by_its_configured_list_without_discovery() {
    let origin = StubServer::start(|_, _| Action::Respond(200, "value"));
    let mut config = config(not_found_server().addr, origin.addr);
    config["discovery"] = json!(closed_address().to_string());
    let mut first = Proxy::start(&config);
    // Requests are served once discovery has been unreachable for long enough.
    wait_until("the first process serves", || first.client().request("read", "k0").status() == 200);
    let mut client = first.client();
    assert_eq!(client.request("read", "k1").status(), 200);
    config["listen"] = json!(first.addr.to_string());
    first.child.kill().and_then(|()| first.child.wait()).expect("exit status");
    let second = Proxy::start(&config);
    assert!(client.read_response().is_none(), "open connections are closed");
    wait_until("the restarted process serves", || second.client().request("read", "k2").status() == 200);
}

#[test]
fn closed_log_pipe_does_not_stop_the_proxy() {
    let origin = StubServer::start(|_, _| Action::Respond(200, "value"));
    let discovery = StubServer::start(|_, number| match number {
        0..3 => Action::Respond(200, "no list"),
        _ => Action::RespondUnchanged,
    });
    let mut config = config(not_found_server().addr, origin.addr);
    config["discovery"] = json!(discovery.addr.to_string());
    config["settings"]["discovery"] = json!("pushed");
    let proxy = Proxy::start_with_log(&config, |_| {});
    wait_until("each failed call is logged and repeated", || discovery.requests().len() >= 4);
    assert_eq!(proxy.client().request("read", "k").status(), 200);
}

#[test]
fn request_that_arrived_during_a_stall_is_answered_by_its_deadline() {
    let origin = StubServer::start(|_, _| Action::Hang);
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let mut client = proxy.client();
    thread::sleep(Duration::from_millis(100));
    proxy.signal("-STOP");
    let start = Instant::now();
    client.send_request("once", "k");
    thread::sleep(Duration::from_millis(700));
    proxy.signal("-CONT");
    assert_eq!(client.read_response().expect("response").status(), 502);
    assert!(start.elapsed() < Duration::from_millis(1_150), "{:?}", start.elapsed());
}

#[test]
fn response_that_arrived_during_a_stall_is_not_timed_out() {
    let origin = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(200), "value"));
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    for n in 0..3 {
        let mut client = proxy.client();
        client.send_request("once", &format!("k{n}"));
        wait_until("the attempt is sent", || origin.requests().len() == n + 1);
        proxy.signal("-STOP");
        thread::sleep(Duration::from_millis(700));
        proxy.signal("-CONT");
        assert_eq!(client.read_response().expect("response").status(), 200);
    }
}

#[test]
fn extra_bytes_after_a_response_are_never_taken_for_the_next_response() {
    let extra_response = "HTTP/1.1 200 -\r\nContent-Length: 5\r\n\r\nwrong";
    let origin = StubServer::start(move |_, number| match number {
        0 => {
            Action::SendRaw("HTTP/1.1 102 -\r\n\r\nHTTP/1.1 200 -\r\nContent-Length: 5\r\n\r\nvaluenoise\r\n")
        }
        1 => Action::RespondThenSend("value", Duration::from_millis(200), extra_response),
        _ => Action::Respond(200, "value"),
    });
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let mut client = proxy.client();
    assert_eq!(client.request("once", "k1").body, "value");
    assert_eq!(client.request("once", "k2").body, "value");
    // The request and the extra response both wait for the stopped process; the request came first.
    proxy.signal("-STOP");
    thread::sleep(Duration::from_millis(50));
    client.send_request("once", "k3");
    thread::sleep(Duration::from_millis(300));
    proxy.signal("-CONT");
    assert_eq!(client.read_response().expect("response").body, "value");
}

#[test]
fn full_log_pipe_does_not_block_the_proxy() {
    let origin = StubServer::start(|_, _| Action::Respond(200, "value"));
    let mut config = config(not_found_server().addr, origin.addr);
    let addr = closed_address();
    config["listen"] = json!(addr.to_string());
    let (mut log, _reader) = UnixStream::pair().expect("socket pair");
    log.set_nonblocking(true).expect("set non-blocking mode");
    while log.write(&[b'.'; 4_096]).is_ok() {}
    log.set_nonblocking(false).expect("set non-blocking mode");
    let (child, path) =
        run(&["serve", "--config"], &config.to_string(), Stdio::from(OwnedFd::from(log)), None);
    let proxy = Proxy { child, addr, config_path: path };
    wait_until("the proxy listens", || TcpStream::connect(addr).is_ok());
    assert_eq!(proxy.client().request("read", "k").status(), 200);
}

#[test]
fn discovery_that_answers_at_once_is_not_polled_in_a_tight_loop() {
    let discovery =
        StubServer::start(|_, _| Action::Respond(200, r#"{"version":1,"full":false,"servers":[]}"#));
    let mut config = config(not_found_server().addr, closed_address());
    config["discovery"] = json!(discovery.addr.to_string());
    let _proxy = Proxy::start(&config);
    thread::sleep(Duration::from_millis(1_000));
    let calls = discovery.requests().len();
    assert!((2..=12).contains(&calls), "{calls} calls in a second");
}

#[test]
fn proxy_waits_for_an_address_that_its_predecessor_still_holds() {
    let predecessor = TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let mut config =
        config(not_found_server().addr, StubServer::start(|_, _| Action::Respond(200, "value")).addr);
    config["listen"] = json!(predecessor.local_addr().expect("local address").to_string());
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(400));
        drop(predecessor);
    });
    assert_eq!(Proxy::start(&config).client().request("read", "k").status(), 200);
}

#[test]
fn reload_switches_discovery_and_keeps_requests_in_flight() {
    let (cache, origin) = (
        not_found_server(),
        StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(300), "value")),
    );
    let draining = node_entry("o", origin.addr, "origin", "draining");
    let list: &'static str = format!(r#"{{"version":1,"full":true,"servers":[{draining}]}}"#).leak();
    let new_discovery =
        StubServer::start(
            move |_, number| if number == 0 { Action::Respond(200, list) } else { Action::Hang },
        );
    let mut config = config(cache.addr, origin.addr);
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("once", "k1");
    wait_until("the attempt is sent", || origin.requests().len() == 1);
    std::fs::write(&proxy.config_path, "{").expect("write file");
    proxy.signal("-HUP");
    config["discovery"] = json!(new_discovery.addr.to_string());
    thread::sleep(Duration::from_millis(100));
    std::fs::write(&proxy.config_path, config.to_string()).expect("write file");
    proxy.signal("-HUP");
    wait_until("the new discovery is watched", || new_discovery.requests().len() == 2);
    let calls: Vec<String> = new_discovery.requests().into_iter().map(|message| message.start_line).collect();
    assert!(!calls[0].contains("since") && calls[1].contains("since=1&"), "{calls:?}");
    assert_eq!(client.read_response().expect("response").status(), 200, "requests in flight are answered");
    assert_eq!(
        client.request("once", "k2").status(),
        503,
        "the list of the new discovery applies to open client connections"
    );
}

/// Replaces, repeats or cuts off random bytes of a message.
fn garble(rng: &mut ChaCha8Rng, message: &str) -> Vec<u8> {
    let mut bytes = message.as_bytes().to_vec();
    for _ in 0..rng.random_range(1..6) {
        let position = rng.random_range(0..bytes.len());
        match rng.random_range(0..3) {
            0 => bytes[position] = rng.random(),
            1 => bytes.extend_from_within(position..),
            _ => bytes.truncate(position.max(1)),
        }
    }
    bytes
}

#[test]
fn garbled_messages_from_clients_and_nodes_do_not_stop_the_proxy() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Cache: hit\r\n\r\nvalue";
    let origin = StubServer::start(move |message, number| {
        let mut rng = ChaCha8Rng::seed_from_u64(number as u64);
        match message.start_line.contains("last") {
            true => Action::Respond(200, "value"),
            false => {
                Action::SendRaw(String::from_utf8_lossy(&garble(&mut rng, response)).into_owned().leak())
            }
        }
    });
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let request = "PUT /api/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\nX-Class: write\r\nX-Deadline: 0.3\r\n\
                  X-Cost-Hint: 70000\r\nContent-Length: 1\r\n\r\nv";
    for _ in 0..300 {
        let mut client = proxy.client();
        let _ = client.0.get_mut().write_all(&garble(&mut rng, request));
    }
    for n in 0..20 {
        let status = proxy.client().request("once", &format!("k{n}")).status();
        assert!([200, 502, 503].contains(&status), "{status}");
    }
    let is_served =
        || proxy.client().request("write", &format!("last{}", origin.requests().len())).status() == 200;
    wait_until("served once the origin sends valid responses", is_served);
}

#[test]
fn class_bound_to_a_kind_and_zone_is_sent_to_no_other_cache_even_when_its_own_are_down() {
    let (foreign, own) = (not_found_server(), StubServer::start(|_, _| Action::Respond(200, "own")));
    let origin = StubServer::start(|_, _| Action::Respond(200, "origin"));
    for own_is_down in [false, true] {
        let mut config = config(foreign.addr, origin.addr);
        let at = if own_is_down { closed_address() } else { own.addr };
        let mut other_zone = node_entry("far", foreign.addr, "m2", "ready");
        other_zone["zone"] = json!("y");
        config["known"]["servers"] = json!([
            node_entry("a", foreign.addr, "m1", "ready"),
            other_zone,
            node_entry("b", at, "m2", "ready"),
            node_entry("o", origin.addr, "origin", "ready")
        ]);
        let settings = &mut config["settings"];
        settings["flavors"] = json!(["m1", "m2", "origin"]);
        settings["zones"] = json!(["z", "y"]);
        settings["specifics"]["origin_kind"] = json!(2);
        settings["use_cases"][0]["bound_to"] = json!(["m2"]);
        settings["use_cases"][0]["zones_allowed"] = json!(["z"]);
        let proxy = Proxy::start(&config);
        for n in 0..20 {
            let response = proxy.client().request("read", &format!("k{n}"));
            assert_eq!(
                (response.status(), response.body.as_str()),
                (200, if own_is_down { "origin" } else { "own" })
            );
        }
        assert!(foreign.requests().is_empty(), "{:?}", foreign.requests());
    }
}
