//! Requests, connections, discovery and planned stops.

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
fn a_miss_is_fetched_and_everything_goes_on_unchanged() {
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
    let waits: f64 = write.header("x-deadline").and_then(|wait| wait.parse().ok()).expect("deadline");
    assert!(waits > 0.3 && waits <= 0.6, "{waits}");
}

#[test]
fn what_may_have_run_once_is_neither_sent_again_nor_refused() {
    for does in [
        || Action::Close,
        || Action::SendRaw("nonsense\r\n\r\n"),
        || Action::Respond(500, ""),
        || Action::SendRaw("HTTP/1.1 200 -\r\nContent-Length: 9\r\n\r\n1"),
        || Action::SendRaw("HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
    ] {
        let origin = StubServer::start(move |_, _| does());
        let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
        assert_eq!(proxy.client().request("once", "k").status(), 502);
        assert_eq!(origin.requests().len(), 1);
    }
}

#[test]
fn what_never_ran_is_refused() {
    let full = StubServer::start(|_, _| Action::Respond(503, ""));
    for origin in [closed_address(), full.addr] {
        let proxy = Proxy::start(&config(not_found_server().addr, origin));
        let answer = proxy.client().request("once", "k");
        assert_eq!((answer.status(), answer.header("retry-after")), (503, Some("0.500")));
    }
}

#[test]
fn a_connection_closed_while_idle_costs_no_request() {
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
fn our_idle_connections_close_before_the_nodes_limit() {
    let origin = StubServer::start(|_, _| Action::Respond(200, "value"));
    let mut config = config(not_found_server().addr, origin.addr);
    config["settings"]["limits"]["keepalive"] = json!(1.5);
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    assert_eq!(client.request("once", "k").status(), 200);
    assert_eq!(client.request("once", "k2").status(), 200);
    assert_eq!(origin.closed(), 0, "both on one connection, kept");
    thread::sleep(Duration::from_millis(1_450));
    assert_eq!(origin.closed(), 1);
}

#[test]
fn a_silent_node_is_left_in_time_and_its_connection_closed() {
    let origin = StubServer::start(move |_, _| Action::Hang);
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let start = Instant::now();
    assert_eq!(proxy.client().request("once", "k").status(), 502);
    assert!(start.elapsed() < Duration::from_millis(900), "before the deadline");
    wait_until("closed", || origin.closed() == 1);
}

#[test]
fn clients_that_leave_take_their_attempts_along_and_leave_room_at_the_origin() {
    let origin = StubServer::start(|message, _| match message.start_line.contains("stays") {
        true => Action::Respond(200, "value"),
        false => Action::Hang,
    });
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    for n in 0..12 {
        let mut leaver = proxy.client();
        leaver.send_request("write", &format!("k{n}"));
        wait_until("sent", || origin.requests().len() == n + 1);
        let start = Instant::now();
        drop(leaver);
        wait_until("closed", || origin.closed() == n + 1);
        assert!(start.elapsed() < Duration::from_millis(400), "at once, not by the time-out");
    }
    assert_eq!(proxy.client().request("write", "stays").status(), 200);
}

#[test]
fn an_id_in_hand_is_not_taken_twice() {
    let origin = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(200), "value"));
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let mut first = proxy.client();
    first.send_request("write", "k");
    wait_until("sent", || origin.requests().len() == 1);
    assert_eq!(proxy.client().request("write", "k").status(), 409);
    assert_eq!(first.read_response().expect("response").status(), 200);
    assert_eq!(origin.requests().len(), 1);
}

#[test]
fn a_malformed_request_gets_a_4xx_and_reaches_no_node() {
    let (cache, origin) = (not_found_server(), StubServer::start(|_, _| Action::Respond(200, "value")));
    let proxy = Proxy::start(&config(cache.addr, origin.addr));
    let good = "X-Request-Id: i\r\nX-Class: read\r\nX-Deadline: 1.0\r\n";
    let huge = format!("{good}Content-Length: 33554433\r\n\r\n{}", "x".repeat(70_000));
    for (method, rest, status) in [
        ("GET", "X-Class: read\r\nX-Deadline: 1.0\r\n\r\n", 400),
        ("GET", "X-Request-Id: i\r\nX-Class: no\r\nX-Deadline: 1.0\r\n\r\n", 400),
        ("GET", "X-Request-Id: i\r\nX-Class: read\r\n\r\n", 400),
        ("GET", "X-Request-Id: i\r\nX-Class: read\r\nX-Deadline: NaN\r\n\r\n", 400),
        ("GET", "X-Request-Id: i\r\nX-Class: read\r\nX-Deadline: -1\r\n\r\n", 400),
        ("GET", &format!("{good}X-Request-Id: j\r\n\r\n"), 400),
        // What hides another request in its body, either way round, and a length that is none.
        ("PUT", &format!("{good}Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /"), 400),
        ("PUT", &format!("{good}Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n0\r\n\r\nGET /"), 400),
        ("PUT", &format!("{good}Content-Length: -1\r\n\r\n"), 400),
        ("PUT", &format!("{good}Content-Length: 9\r\n\r\nshort"), 408),
        ("DELETE", &format!("{good}\r\n"), 405),
        ("PUT", &huge, 413),
        ("G\u{1}T", "\r\n", 400),
    ] {
        let mut client = proxy.client();
        // Past the limit the rest of a body is not read.
        let _ =
            client.0.get_mut().write_all(format!("{method} /api/k HTTP/1.1\r\nHost: h\r\n{rest}").as_bytes());
        assert_eq!(client.read_response().expect("response").status(), status, "{method} {rest:.60}");
        assert!(client.read_response().is_none(), "and closed: {method} {rest:.60}");
    }
    assert!(cache.requests().is_empty() && origin.requests().is_empty());
    assert_eq!(proxy.client().request("read", "k").status(), 200);
}

#[test]
fn clients_that_say_nothing_or_half_a_head_are_closed_soon_and_crowd_nobody_out() {
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
    assert_eq!(used.request("read", "k3").status(), 200, "what is used is kept");
    assert!(silent.iter_mut().all(|client| client.read_response().is_none()));
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
}

#[test]
fn clients_that_stay_after_an_request_are_closed_before_all_room_is_taken() {
    let mut config =
        config(not_found_server().addr, StubServer::start(|_, _| Action::Respond(200, "value")).addr);
    config["limits"]["sockets"] = json!(160);
    let proxy = Proxy::start(&config);
    // Room for 64, of which clients that hold a third of the descriptors never take 54.
    let mut stay: Vec<Client> = (0..50)
        .map(|n| {
            let mut client = proxy.client();
            assert_eq!(client.request("read", &format!("k{n}")).status(), 200);
            client
        })
        .collect();
    for client in &mut stay[..10] {
        let _ = client.0.get_mut().set_read_timeout(Some(Duration::from_millis(300)));
        assert!(client.read_response().is_none(), "closed");
    }
    assert_eq!(stay[49].request("read", "again").status(), 200, "the last is kept");
}

#[test]
fn hundreds_that_say_nothing_leave_room_for_those_that_ask() {
    let mut config =
        config(not_found_server().addr, StubServer::start(|_, _| Action::Respond(200, "value")).addr);
    config["limits"]["sockets"] = json!(96);
    let proxy = Proxy::start(&config);
    let addr = proxy.addr;
    let silent = thread::spawn(move || {
        // Sixty a second, in room for 32.
        (0..90)
            .map(|_| {
                thread::sleep(Duration::from_millis(16));
                TcpStream::connect(addr)
            })
            .collect::<Vec<_>>()
    });
    for n in 0..70 {
        let start = Instant::now();
        // Each on a connection of its own, half of them with a head in two parts.
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
fn clients_that_ask_once_and_stay_keep_nobody_waiting() {
    let mut config =
        config(not_found_server().addr, StubServer::start(|_, _| Action::Respond(200, "value")).addr);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    let start = Instant::now();
    let asked = (0..120).map(|n| {
        let (silent, mut client) = (proxy.client(), proxy.client());
        assert_eq!(client.request("read", &format!("k{n}")).status(), 200);
        (client, (n % 4 == 0).then_some(silent))
    });
    let stay: Vec<_> = asked.collect();
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    drop(stay);
}

#[test]
fn a_node_that_drains_by_the_list_gets_nothing_new_whatever_else_the_list_says() {
    let (cache, origin) = (
        StubServer::start(|_, _| Action::Respond(200, "kept")),
        StubServer::start(|_, _| Action::Respond(200, "fetched")),
    );
    let bad = r#"{"id":"x","addr":"nowhere","state":"ready"}"#;
    let drains = node_entry("c", cache.addr, "cache", "draining");
    let change: &'static str = format!(r#"{{"version":2,"full":false,"servers":[{bad},{drains}]}}"#).leak();
    let discovery = StubServer::start(move |_, number| match number {
        0 => Action::Respond(200, "no list"),
        1 => Action::Close,
        2 => Action::Respond(200, change),
        _ => Action::Hang,
    });
    let mut config = config(cache.addr, origin.addr);
    config["discovery"] = json!(discovery.addr.to_string());
    config["settings"]["discovery"] = json!("pushed");
    let proxy = Proxy::start(&config);
    wait_until("the watch goes on", || discovery.requests().len() == 4);
    assert!(discovery.requests()[3].start_line.contains("since=2&"), "from the version told last");
    assert_eq!(proxy.client().request("read", "k").body, "fetched");
    assert!(cache.requests().is_empty());
}

#[test]
fn a_list_older_than_the_one_told_brings_no_leaving_node_back() {
    let cache = not_found_server();
    let origin = StubServer::start(|_, _| Action::Respond(200, "fetched"));
    let line = |version, state| -> &'static str {
        let cache = node_entry("c", cache.addr, "cache", state);
        let origin = node_entry("o", origin.addr, "origin", "ready");
        format!(r#"{{"version":{version},"full":true,"servers":[{cache},{origin}]}}"#).leak()
    };
    let (told, older, anew) = (line(5, "draining"), line(4, "ready"), line(4, "draining"));
    let discovery = StubServer::start(move |_, number| match number {
        0 => Action::Respond(200, told),
        1 => Action::Respond(200, older),
        2 => Action::Respond(200, anew),
        _ => Action::Hang,
    });
    let mut config = config(cache.addr, origin.addr);
    config["discovery"] = json!(discovery.addr.to_string());
    config["settings"]["discovery"] = json!("pushed");
    let proxy = Proxy::start(&config);
    wait_until("asked for the whole, and watched on", || discovery.requests().len() == 4);
    let paths: Vec<_> = discovery.requests().iter().map(|call| call.start_line.contains("since=")).collect();
    assert_eq!(paths, [true, true, false, true], "an older one is not taken, the whole is asked for");
    assert_eq!(proxy.client().request("read", "k").body, "fetched");
    assert!(cache.requests().is_empty(), "nothing to the one that leaves");
}

#[test]
fn a_planned_stop_answers_all_it_took_and_all_that_come_meanwhile() {
    let origin = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(300), "value"));
    let mut proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let (mut taken, mut open) = (proxy.client(), proxy.client());
    taken.send_request("write", "k1");
    wait_until("sent", || origin.requests().len() == 1);
    proxy.signal("-TERM");
    thread::sleep(Duration::from_millis(150));
    let mut fresh = proxy.client();
    open.send_request("write", "k2");
    fresh.send_request("write", "k3");
    for client in [&mut taken, &mut open, &mut fresh] {
        let answer = client.read_response().expect("response");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    let start = Instant::now();
    assert!(proxy.child.wait().expect("exit status").success());
    assert!(start.elapsed() < Duration::from_millis(1_500));
}

#[test]
fn clients_idle_connections_leave_room_for_others_at_the_limit() {
    let origin = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(100), "value"));
    let mut config = config(not_found_server().addr, origin.addr);
    config["limits"]["sockets"] = json!(64);
    let proxy = Proxy::start(&config);
    // Far more than there is room for, idle; then as many at once, each answered in its turn.
    let started = |_| {
        let mut client = proxy.client();
        client.send("GET /api/k HTTP/1.1\r\nHost: h\r\n");
        client
    };
    let never_end: Vec<Client> = (0..16).map(started).collect();
    let idle = (0..40).map(|_| {
        let mut client = proxy.client();
        client.send("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        assert_eq!(client.read_response().expect("response").status(), 200);
        client
    });
    let idle: Vec<Client> = idle.collect();
    let start = Instant::now();
    let begin = |n| {
        let mut client = proxy.client();
        client.send_request("write", &format!("k{n}"));
        client
    };
    let busy: Vec<Client> = (0..24).map(begin).collect();
    for (n, mut client) in busy.into_iter().enumerate() {
        // As clients do where a connection's end crosses a request.
        let answer = client.read_response().or_else(|| begin(n).read_response()).expect("response");
        assert!([200, 503].contains(&answer.status()));
    }
    assert!(start.elapsed() < Duration::from_secs(4));
    drop((idle, never_end));
}

#[test]
fn a_bad_configuration_is_one_clear_line_and_a_failure() {
    let nowhere = closed_address();
    let good = config(nowhere, nowhere);
    let without = |path: &[&str]| {
        let mut bad = good.clone();
        let (last, way) = path.split_last().expect("path");
        let place = way.iter().fold(&mut bad, |place, name| &mut place[*name]);
        place.as_object_mut().expect("JSON object").remove(*last);
        bad.to_string()
    };
    let with = |path: &str, value: Value| {
        let (way, last) = path.rsplit_once('/').expect("path");
        let mut bad = good.clone();
        bad.pointer_mut(way).expect("parent object")[last] = value;
        bad.to_string()
    };
    for (bad, names) in [
        ("{".to_owned(), "EOF"),
        (without(&["listen"]), "listen"),
        (without(&["settings", "use_cases"]), "use_cases"),
        (without(&["settings", "limits", "dial_timeout"]), "limits.dial_timeout"),
        (good.to_string().replace("8c1f30d27a5be964", "seed?"), "seed"),
        (with("/settings/fleet_size", json!("one")), "fleet_size is \"one\""),
        (with("/watch_with", json!({"weights": "heavy"})), "watch_with: settings: weights"),
        (with("/watch_with", json!({"use_cases": [{"name": "read"}]})), "watch_with: settings: use_cases"),
    ] {
        for command in [&["check"][..], &["serve", "--config"]] {
            let (child, path) = run(command, &bad, Stdio::piped(), None);
            let done = child.wait_with_output().expect("exit status");
            std::fs::remove_file(path).expect("remove file");
            let said = String::from_utf8_lossy(&done.stderr);
            assert!(!done.status.success() && said.lines().count() == 1 && said.contains(names), "{said}");
        }
    }
    let (mut child, path) = run(&["check"], &good.to_string(), Stdio::null(), None);
    assert!(child.wait().expect("exit status").success());
    std::fs::remove_file(path).expect("remove file");
}

#[test]
fn it_starts_again_on_its_address_and_serves_by_the_kept_list_without_discovery() {
    let origin = StubServer::start(|_, _| Action::Respond(200, "value"));
    let mut config = config(not_found_server().addr, origin.addr);
    config["discovery"] = json!(closed_address().to_string());
    let mut first = Proxy::start(&config);
    // Once it is sure that discovery is down for more than a moment.
    wait_until("served", || first.client().request("read", "k0").status() == 200);
    let mut client = first.client();
    assert_eq!(client.request("read", "k1").status(), 200);
    config["listen"] = json!(first.addr.to_string());
    first.child.kill().and_then(|()| first.child.wait()).expect("exit status");
    let second = Proxy::start(&config);
    assert!(client.read_response().is_none(), "what was open is reset");
    wait_until("served again", || second.client().request("read", "k2").status() == 200);
}

#[test]
fn a_log_that_nobody_reads_harms_nothing() {
    let origin = StubServer::start(|_, _| Action::Respond(200, "value"));
    let discovery = StubServer::start(|_, number| match number {
        0..3 => Action::Respond(200, "no list"),
        _ => Action::RespondUnchanged,
    });
    let mut config = config(not_found_server().addr, origin.addr);
    config["discovery"] = json!(discovery.addr.to_string());
    config["settings"]["discovery"] = json!("pushed");
    let proxy = Proxy::start_with_log(&config, |_| {});
    wait_until("asked anew after each failure, each logged", || discovery.requests().len() >= 4);
    assert_eq!(proxy.client().request("read", "k").status(), 200);
}

#[test]
fn a_stalled_proxy_still_answers_by_the_deadline_of_what_came_meanwhile() {
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
fn an_answer_that_came_while_the_proxy_stalled_is_no_time_out() {
    let origin = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(200), "value"));
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    for n in 0..3 {
        let mut client = proxy.client();
        client.send_request("once", &format!("k{n}"));
        wait_until("sent", || origin.requests().len() == n + 1);
        proxy.signal("-STOP");
        thread::sleep(Duration::from_millis(700));
        proxy.signal("-CONT");
        assert_eq!(client.read_response().expect("response").status(), 200);
    }
}

#[test]
fn what_follows_an_answer_is_never_the_next_requests() {
    let copy = "HTTP/1.1 200 -\r\nContent-Length: 5\r\n\r\nwrong";
    let origin = StubServer::start(move |_, number| match number {
        0 => {
            Action::SendRaw("HTTP/1.1 102 -\r\n\r\nHTTP/1.1 200 -\r\nContent-Length: 5\r\n\r\nvaluenoise\r\n")
        }
        1 => Action::RespondThenSend("value", Duration::from_millis(200), copy),
        _ => Action::Respond(200, "value"),
    });
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let mut client = proxy.client();
    assert_eq!(client.request("once", "k1").body, "value");
    assert_eq!(client.request("once", "k2").body, "value");
    // Both the request and the copy wait for us; the request came first.
    proxy.signal("-STOP");
    thread::sleep(Duration::from_millis(50));
    client.send_request("once", "k3");
    thread::sleep(Duration::from_millis(300));
    proxy.signal("-CONT");
    assert_eq!(client.read_response().expect("response").body, "value");
}

#[test]
fn a_log_whose_reader_stands_still_holds_nothing_up() {
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
    wait_until("it listens", || TcpStream::connect(addr).is_ok());
    assert_eq!(proxy.client().request("read", "k").status(), 200);
}

#[test]
fn a_watch_that_does_not_wait_is_not_asked_without_a_pause() {
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
fn an_address_still_held_by_a_forerunner_is_waited_for() {
    let held = TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let mut config =
        config(not_found_server().addr, StubServer::start(|_, _| Action::Respond(200, "value")).addr);
    config["listen"] = json!(held.local_addr().expect("local address").to_string());
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(400));
        drop(held);
    });
    assert_eq!(Proxy::start(&config).client().request("read", "k").status(), 200);
}

#[test]
fn a_new_configuration_moves_the_watch_and_keeps_the_requests() {
    let (cache, origin) = (
        not_found_server(),
        StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(300), "value")),
    );
    let drains = node_entry("o", origin.addr, "origin", "draining");
    let list: &'static str = format!(r#"{{"version":1,"full":true,"servers":[{drains}]}}"#).leak();
    let moved = StubServer::start(
        move |_, number| if number == 0 { Action::Respond(200, list) } else { Action::Hang },
    );
    let mut config = config(cache.addr, origin.addr);
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("once", "k1");
    wait_until("sent", || origin.requests().len() == 1);
    std::fs::write(&proxy.config_path, "{").expect("write file");
    proxy.signal("-HUP");
    config["discovery"] = json!(moved.addr.to_string());
    thread::sleep(Duration::from_millis(100));
    std::fs::write(&proxy.config_path, config.to_string()).expect("write file");
    proxy.signal("-HUP");
    wait_until("watched there", || moved.requests().len() == 2);
    let asked: Vec<String> = moved.requests().into_iter().map(|message| message.start_line).collect();
    assert!(!asked[0].contains("since") && asked[1].contains("since=1&"), "{asked:?}");
    assert_eq!(client.read_response().expect("response").status(), 200, "what was in hand is answered");
    assert_eq!(client.request("once", "k2").status(), 503, "by the list told there, on the old connection");
}

/// A message with some of its bytes replaced, doubled or cut off.
fn garbled(chance: &mut ChaCha8Rng, message: &str) -> Vec<u8> {
    let mut bytes = message.as_bytes().to_vec();
    for _ in 0..chance.random_range(1..6) {
        let place = chance.random_range(0..bytes.len());
        match chance.random_range(0..3) {
            0 => bytes[place] = chance.random(),
            1 => bytes.extend_from_within(place..),
            _ => bytes.truncate(place.max(1)),
        }
    }
    bytes
}

#[test]
fn garbled_messages_from_clients_and_nodes_harm_nothing() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Cache: hit\r\n\r\nvalue";
    let origin = StubServer::start(move |message, number| {
        let mut chance = ChaCha8Rng::seed_from_u64(number as u64);
        match message.start_line.contains("last") {
            true => Action::Respond(200, "value"),
            false => {
                Action::SendRaw(String::from_utf8_lossy(&garbled(&mut chance, answer)).into_owned().leak())
            }
        }
    });
    let proxy = Proxy::start(&config(not_found_server().addr, origin.addr));
    let mut chance = ChaCha8Rng::seed_from_u64(7);
    let request = "PUT /api/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: i\r\nX-Class: write\r\nX-Deadline: 0.3\r\n\
                  X-Cost-Hint: 70000\r\nContent-Length: 1\r\n\r\nv";
    for _ in 0..300 {
        let mut client = proxy.client();
        let _ = client.0.get_mut().write_all(&garbled(&mut chance, request));
    }
    for n in 0..20 {
        let status = proxy.client().request("once", &format!("k{n}")).status();
        assert!([200, 502, 503].contains(&status), "{status}");
    }
    let done =
        || proxy.client().request("write", &format!("last{}", origin.requests().len())).status() == 200;
    wait_until("served again once the origin speaks clearly", done);
}

#[test]
fn a_bound_class_goes_to_no_other_kind_or_zone_also_when_its_own_are_down() {
    let (other, own) = (not_found_server(), StubServer::start(|_, _| Action::Respond(200, "own")));
    let origin = StubServer::start(|_, _| Action::Respond(200, "origin"));
    for down in [false, true] {
        let mut config = config(other.addr, origin.addr);
        let at = if down { closed_address() } else { own.addr };
        let mut far = node_entry("far", other.addr, "m2", "ready");
        far["zone"] = json!("y");
        config["known"]["servers"] = json!([
            node_entry("a", other.addr, "m1", "ready"),
            far,
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
            let answer = proxy.client().request("read", &format!("k{n}"));
            assert_eq!((answer.status(), answer.body.as_str()), (200, if down { "origin" } else { "own" }));
        }
        assert!(other.requests().is_empty(), "{:?}", other.requests());
    }
}
