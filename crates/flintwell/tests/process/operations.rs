//! The second address, its figures, and nodes taken out by hand.

use crate::support::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ChildStderr, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A directory for temporary files, gone at the end.
pub struct TempDirectory(pub PathBuf);

impl TempDirectory {
    pub fn new() -> TempDirectory {
        static DIRECTORIES: AtomicUsize = AtomicUsize::new(0);
        let number = DIRECTORIES.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("flintwell-folder-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("create directory");
        TempDirectory(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Growing while it serves, with two threads, would stand it still.
#[test]
fn room_for_all_descriptors_is_made_before_it_serves() {
    let (cache, origin) = (not_found_server(), not_found_server());
    let mut config = config(cache.addr, origin.addr);
    config["limits"] = json!({"sockets": 700});
    let proxy = Proxy::start(&config);
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("read /proc status");
    let room = status.lines().find_map(|line| line.strip_prefix("FDSize:")).expect("size");
    assert!(room.trim().parse::<usize>().expect("number") >= 700, "{room}");
}

#[test]
fn each_call_has_its_answer_and_bad_ones_are_told_why() {
    let (config, at) = with_management(config(not_found_server().addr, not_found_server().addr));
    let proxy = Proxy::start(&config);
    wait_until_ready(at);
    assert_eq!(get(at, "/api/telemetry").0, 200);
    for path in ["/", "/api", "/api/ready/", "/api/Ready", "/health/ready", "/api/evict", "//api/ready"] {
        assert_eq!(get(at, path).0, 404, "{path}");
    }
    assert_eq!(post(at, "/api/ready", ""), 405);
    assert_eq!(get(at, "/api/exclude").0, 405);
    let long = node_body(&"x".repeat(10_000));
    for body in ["", "{", "[]", "\u{1}", "{\"who\":7}", "{\"who\":\"\"}", "{\"id\":\"c\"}", &long] {
        assert_eq!(post(at, "/api/exclude", body), 400, "{body}");
    }
    for (node, status) in [("c", 200), ("nobody", 404), ("o", 404), ("../c", 404)] {
        assert_eq!(post(at, "/api/exclude", &node_body(node)), status, "{node}");
        assert_eq!(post(at, "/api/include", &node_body(node)), status, "{node}");
    }
    let mut garbage = TcpStream::connect(at).expect("connect");
    garbage.write_all(b"\0\x01nonsense\r\n\r\n").expect("write");
    let _ = garbage.read_to_end(&mut Vec::new());
    assert_eq!(get(at, "/api/ready").0, 200, "it goes on");
    proxy.signal("-TERM");
    wait_until("no longer ready", || get(at, "/api/ready").0 == 503);
}

#[test]
fn callers_that_finish_no_call_keep_nobody_out() {
    let (config, at) = with_management(config(not_found_server().addr, not_found_server().addr));
    let _proxy = Proxy::start(&config);
    let silent: Vec<TcpStream> = (0..64)
        .map(|n| {
            let mut stream = TcpStream::connect(at).expect("connect");
            stream
                .write_all(&b"POST /api/exclude HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"[..n % 50])
                .expect("write");
            stream
        })
        .collect();
    let (status, _, after) = raw_call(at, "GET /api/telemetry HTTP/1.1\r\nHost: m\r\n\r\n");
    assert!(status == 200 && after < Duration::from_secs(1), "{status} after {after:?}");
    drop(silent);
}

#[test]
fn a_call_is_answered_in_time_while_the_core_is_busy() {
    let cache = StubServer::start(|_, _| Action::Respond(200, "value"));
    let (config, at) = with_management(config(cache.addr, not_found_server().addr));
    let proxy = Proxy::start(&config);
    let addr = proxy.addr;
    let until = Instant::now() + Duration::from_secs(2);
    let storm: Vec<_> = (0..32)
        .map(|thread| {
            thread::spawn(move || {
                let mut client = Client::connect(addr);
                let mut n = 0;
                while Instant::now() < until {
                    client.send_request("read", &format!("t{thread}-{n}"));
                    client.read_response().expect("response");
                    n += 1;
                }
            })
        })
        .collect();
    while Instant::now() < until {
        let (status, _, after) = raw_call(at, "GET /api/telemetry HTTP/1.1\r\nHost: m\r\n\r\n");
        assert!(status == 200 && after < Duration::from_millis(500), "{status} after {after:?}");
    }
    storm.into_iter().for_each(|client| client.join().expect("client thread"));
}

#[test]
fn the_figures_are_what_clients_and_nodes_saw() {
    let cache = StubServer::start(|message, number| match number % 5 {
        0 => Action::Respond(404, ""),
        1 if message.start_line.contains("cancelled") => {
            Action::RespondAfter(Duration::from_millis(200), "value")
        }
        _ => Action::Respond(200, "value"),
    });
    // A write always ends alike, by the last digit of its id.
    let origin = StubServer::start(|message, _| {
        match message.start_line.split('?').next().map_or(b'0', |k| k.as_bytes()[k.len() - 1]) {
            _ if message.start_line.starts_with("GET") => Action::Respond(200, "value"),
            b'0'..=b'2' => Action::Respond(503, ""),
            b'3'..=b'5' => Action::Close,
            _ => Action::Respond(200, "done"),
        }
    });
    let (config, at) = with_management(config(cache.addr, origin.addr));
    let proxy = Proxy::start(&config);
    let none = json!({"read": 0, "write": 0, "once": 0});
    let first = metrics(at);
    assert_eq!((&first["passed"], &first["dropped"], &first["bad_gateway"]), (&none, &none, &none));
    let mut seen: BTreeMap<(&str, u16), u64> = BTreeMap::new();
    for n in 0..120 {
        let case = ["read", "once", "read"][n % 3];
        let status = proxy.client().request(case, &format!("a{n}")).status();
        *seen.entry((case, status)).or_default() += 1;
        let mut leaves = proxy.client();
        leaves.send_request("read", &format!("cancelled{n}"));
        thread::sleep(Duration::from_millis(n as u64 % 3));
    }
    wait_until("none left", || metrics(at)["in_progress"] == json!(0));
    let told = metrics(at);
    for (case, status, name) in [
        ("once", 200, "passed"),
        ("once", 503, "dropped"),
        ("once", 502, "bad_gateway"),
        ("read", 503, "dropped"),
    ] {
        let count = told[name][case].as_u64().expect("count");
        let saw = seen.get(&(case, status)).copied().unwrap_or(0);
        // Clients that left may be counted among the reads.
        assert!(count == saw || case == "read" && count >= saw, "{name} of {case}: {count}, seen {saw}");
        assert!(case == "read" || saw > 0, "{case} {status} was met");
    }
    let heard = (cache.requests().len() + origin.requests().len()) as u64;
    let tries = told["upstream_tries"].as_u64().expect("count");
    assert!(tries.abs_diff(heard) <= 3, "{tries} told, {heard} heard");
    assert_eq!((&told["known_cache_nodes"], &told["skipped_cache_nodes"]), (&json!(1), &json!(0)));
}

#[test]
fn what_is_on_its_way_is_in_progress_and_not_yet_a_try_until_it_is_written() {
    let cache = StubServer::start(|_, _| Action::Hang);
    let (config, at) = with_management(config(cache.addr, not_found_server().addr));
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("read", "a");
    wait_until("in progress", || metrics(at)["in_progress"] == json!(1));
    wait_until("written", || metrics(at)["upstream_tries"] == json!(1));
    drop(client);
    wait_until("a client gone is not in progress", || metrics(at)["in_progress"] == json!(0));
}

/// Two caches, of which the first is the home of some of twenty keys.
fn two_caches(first: &StubServer, second: &StubServer) -> Value {
    let mut config = config(first.addr, not_found_server().addr);
    let servers = config["known"]["servers"].as_array_mut().expect("node list");
    servers.push(node_entry("c2", second.addr, "cache", "ready"));
    config
}

fn read_all(proxy: &Proxy, round: usize) {
    let mut client = proxy.client();
    for n in 0..20 {
        let words = format!(
            "GET /api/k{n} HTTP/1.1\r\nHost: o\r\nX-Request-Id: r{round}-{n}\r\nX-Class: read\r\nX-Deadline: 1\r\n\r\n"
        );
        client.send(&words);
        assert_eq!(client.read_response().expect("response").status(), 200);
    }
}

#[test]
fn a_node_taken_out_gets_nothing_until_it_is_put_back_whatever_is_listed_and_whoever_serves() {
    let answers = || StubServer::start(|_, _| Action::Respond(200, "value"));
    let (first, second) = (answers(), answers());
    let (mut config, at) = with_management(two_caches(&first, &second));
    // A discovery that tells the whole list anew all the time.
    let mut whole = config["known"].clone();
    whole["version"] = json!(2);
    let whole: &'static str = whole.to_string().leak();
    let discovery = StubServer::start(move |_, _| Action::RespondAfter(Duration::from_millis(50), whole));
    config["discovery"] = json!(discovery.addr.to_string());
    let directory = TempDirectory::new();
    let proxy = Proxy::start_in(&config, &directory.0);
    read_all(&proxy, 0);
    let before = first.requests().len();
    assert!(before > 0, "in use");
    assert_eq!(post(at, "/api/exclude", &node_body("c")), 200);
    assert_eq!(post(at, "/api/exclude", &node_body("c")), 200);
    wait_until("its idle connections closed", || first.closed() >= 1);
    wait_until("listed again and again", || discovery.requests().len() > 5);
    read_all(&proxy, 1);
    assert_eq!(first.requests().len(), before, "nothing while it is out");
    let told = metrics(at);
    assert_eq!((&told["known_cache_nodes"], &told["skipped_cache_nodes"]), (&json!(2), &json!(1)));
    drop(proxy);
    let next = Proxy::start_in(&config, &directory.0);
    read_all(&next, 2);
    assert_eq!(first.requests().len(), before, "out for the one that follows too");
    assert_eq!(post(at, "/api/include", &node_body("c")), 200, "two calls out need one back");
    let start = Instant::now();
    for round in 3.. {
        read_all(&next, round);
        if first.requests().len() > before {
            break;
        }
        assert!(start.elapsed() < Duration::from_secs(5), "in use again within 5 s");
    }
    assert_eq!(metrics(at)["skipped_cache_nodes"], json!(0));
}

#[test]
fn what_cannot_be_recorded_is_refused_and_changes_nothing() {
    let (first, second) = (not_found_server(), not_found_server());
    let (config, at) = with_management(two_caches(&first, &second));
    let directory = TempDirectory::new();
    let _proxy = Proxy::start_in(&config, &directory.0);
    wait_until_ready(at);
    std::fs::remove_dir_all(&directory.0).expect("remove directory");
    assert_eq!(post(at, "/api/exclude", &node_body("c")), 507);
    assert_eq!(metrics(at)["skipped_cache_nodes"], json!(0));
}

#[test]
fn a_torn_or_foreign_mark_counts_for_nothing() {
    let (first, second) = (not_found_server(), not_found_server());
    let (config, at) = with_management(two_caches(&first, &second));
    let directory = TempDirectory::new();
    let ours = directory.0.join("flintwell-n0");
    std::fs::create_dir_all(&ours).expect("create directory");
    for (file, text) in [
        ("out-c", "{\"who\":\"c\",\"out_"),
        ("out-c2", "{\"who\":\"c\",\"out_ms\":1,\"back_ms\":null}"),
        ("out-x", "\u{0}\u{1}"),
    ] {
        std::fs::write(ours.join(file), text).expect("write file");
    }
    let _proxy = Proxy::start_in(&config, &directory.0);
    wait_until_ready(at);
    assert_eq!(metrics(at)["skipped_cache_nodes"], json!(0));
    assert_eq!(post(at, "/api/exclude", &node_body("c")), 200);
    assert_eq!(metrics(at)["skipped_cache_nodes"], json!(1));
}

/// A process of a proxy whose clients' socket the platform holds.
pub fn inheriting(socket: &TcpListener, config: &Value, directory: &Path) -> (Proxy, BufReader<ChildStderr>) {
    let path = directory.join(format!("{}.json", config["mgmt"].as_str().unwrap_or("none")));
    std::fs::write(&path, config.to_string()).expect("write file");
    let held = socket.try_clone().expect("clone socket");
    let words =
        "exec 3<&0 </dev/null; export EDGE_LISTEN_FD=3 LISTEN_FDS=1 LISTEN_PID=$$; exec \"$0\" \"$@\"";
    let mut shell = Command::new("sh");
    shell.args(["-c", words, PROGRAM, "serve", "--config"]).arg(&path);
    shell.env("TMPDIR", directory).env_remove("EDGE_MGMT");
    shell.stdin(Stdio::from(OwnedFd::from(held))).stdout(Stdio::null()).stderr(Stdio::piped());
    let mut child = shell.spawn().expect("spawn flintwell");
    let log = BufReader::new(child.stderr.take().expect("stderr"));
    let addr = socket.local_addr().expect("local address");
    (Proxy { child, addr, config_path: path }, log)
}

pub fn served_by(socket: &TcpListener, config: &Value, directory: &Path) -> (Proxy, SocketAddr) {
    let (config, at) = with_management(config.clone());
    let (proxy, mut log) = inheriting(socket, &config, directory);
    thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    wait_until("ready", || TcpStream::connect(at).is_ok() && get(at, "/api/ready").0 == 200);
    (proxy, at)
}

/// Asks again and again, each request once more on a new connection if it crossed a closing or was refused;
/// what came.
fn asks_on(addr: SocketAddr, name: usize, done: &AtomicBool) -> BTreeMap<u16, usize> {
    let mut came = BTreeMap::new();
    let mut client = Client::connect(addr);
    for n in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        client.send_request("read", &format!("{name}-{n}"));
        let answer = client.read_response().filter(|answer| answer.status() != 503).or_else(|| {
            client = Client::connect(addr);
            client.send_request("read", &format!("{name}-{n}"));
            client.read_response()
        });
        let closes = answer.as_ref().is_none_or(|answer| answer.header("connection") == Some("close"));
        *came.entry(answer.map_or(0, |answer| answer.status())).or_default() += 1;
        // Some keep theirs, some come on a new one each time.
        if closes || name.is_multiple_of(3) {
            client = Client::connect(addr);
        }
        thread::sleep(Duration::from_millis(if name.is_multiple_of(4) { 150 } else { 2 }));
    }
    came
}

#[test]
fn two_versions_at_one_socket_answer_every_request_of_an_upgrade() {
    let cache = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(5), "value"));
    let config = config(cache.addr, not_found_server().addr);
    let (directory, socket) =
        (TempDirectory::new(), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let addr = socket.local_addr().expect("local address");
    let (mut old, _) = served_by(&socket, &config, &directory.0);
    let done = Arc::new(AtomicBool::new(false));
    let load: Vec<_> = (0..16)
        .map(|name| {
            let done = done.clone();
            thread::spawn(move || asks_on(addr, name, &done))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    for _ in 0..2 {
        let (new, _) = served_by(&socket, &config, &directory.0);
        old.signal("-TERM");
        thread::sleep(Duration::from_millis(1_900));
        let ended = old.child.try_wait().expect("query state");
        assert!(ended.is_some_and(|status| status.success()), "the old one has ended well: {ended:?}");
        old = new;
    }
    done.store(true, Ordering::Relaxed);
    let came: Vec<BTreeMap<u16, usize>> =
        load.into_iter().map(|one| one.join().expect("client thread")).collect();
    assert!(came.iter().all(|came| came.keys().eq([&200])), "{came:?}");
}

#[test]
fn with_its_successor_killed_the_old_one_goes_on_and_stops_as_ever() {
    let answers = || StubServer::start(|_, _| Action::Respond(200, "value"));
    let config = config(answers().addr, answers().addr);
    let (directory, socket) =
        (TempDirectory::new(), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let (old, at) = served_by(&socket, &config, &directory.0);
    let (new, there) = served_by(&socket, &config, &directory.0);
    assert_eq!(post(there, "/api/exclude", &node_body("c")), 200);
    wait_until("a call at either is in force at both", || metrics(at)["skipped_cache_nodes"] == json!(1));
    assert_eq!(post(at, "/api/include", &node_body("c")), 200);
    wait_until("back at both", || metrics(there)["skipped_cache_nodes"] == json!(0));
    drop(new);
    for n in 0..5 {
        assert_eq!(old.client().request("read", &format!("a{n}")).status(), 200);
    }
    old.signal("-TERM");
    wait_until("it stops", || get(at, "/api/ready").0 == 503);
    assert_eq!(old.client().request("read", "late").status(), 200, "clients still come for a while");
}

#[test]
fn a_successor_knows_the_list_that_was_told_meanwhile() {
    let (first, second) = (StubServer::start(|_, _| Action::Respond(200, "value")), not_found_server());
    let mut config = two_caches(&first, &second);
    // Of two caches one has gone since the configuration was written.
    let gone = r#"{"version":7,"full":false,"servers":[{"id":"c2","addr":"127.0.0.1:1","state":"gone"}]}"#;
    let discovery = StubServer::start(move |message, n| match n {
        0 => Action::Respond(200, gone),
        _ if message.start_line.contains("since=7") => Action::Hang,
        _ => Action::RespondUnchanged,
    });
    config["discovery"] = json!(discovery.addr.to_string());
    let (directory, socket) =
        (TempDirectory::new(), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let (old, at) = served_by(&socket, &config, &directory.0);
    wait_until("told", || metrics(at)["known_cache_nodes"] == json!(1));
    thread::sleep(Duration::from_millis(300));
    let (_new, there) = served_by(&socket, &config, &directory.0);
    assert_eq!(metrics(there)["known_cache_nodes"], json!(1));
    wait_until("it asks for what came since", || {
        discovery.requests().iter().any(|m| m.start_line.contains("since=7"))
    });
    drop(old);
    std::fs::write(directory.0.join("flintwell-n0/list"), "{\"version\":7,").expect("truncate list file");
    let (_third, third_at) = served_by(&socket, &config, &directory.0);
    assert_eq!(metrics(third_at)["known_cache_nodes"], json!(2), "the configuration's list");
}

#[test]
fn what_is_no_listening_socket_is_told_in_one_line() {
    let (directory, socket) =
        (TempDirectory::new(), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let stream = TcpStream::connect(socket.local_addr().expect("local address")).expect("connect");
    let not_listening = TcpListener::from(OwnedFd::from(stream));
    let (mut proxy, mut log) =
        inheriting(&not_listening, &config(closed_address(), closed_address()), &directory.0);
    let mut said = String::new();
    log.read_to_string(&mut said).expect("stderr");
    assert!(said.lines().count() == 1 && said.contains("EDGE_LISTEN_FD is 3"), "{said}");
    assert_eq!(proxy.child.wait().expect("exit status").code(), Some(1));
}
