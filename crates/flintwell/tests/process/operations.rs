//! The management API, the metrics, nodes excluded by operators, and successors at an inherited socket.

use crate::support::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{ChildStderr, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A directory for temporary files; removed when dropped.
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

/// A process with several threads stalls while the kernel grows its descriptor table, so the table must have its full size
/// before clients are served.
#[test]
fn descriptor_table_has_full_size_before_clients_are_served() {
    let (cache, origin) = (not_found_server(), not_found_server());
    let mut config = config(cache.addr, origin.addr);
    config["limits"] = json!({"sockets": 700});
    let proxy = Proxy::start(&config);
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("read /proc status");
    let table_size = status.lines().find_map(|line| line.strip_prefix("FDSize:")).expect("size");
    assert!(table_size.trim().parse::<usize>().expect("number") >= 700, "{table_size}");
}

#[test]
fn bytes_beyond_a_response_and_ends_of_attempts_are_counted_and_logged() {
    let origin = StubServer::start(|_, number| match number {
        0 => Action::RespondThenSend("value", Duration::from_millis(100), "more"),
        _ => Action::Respond(500, ""),
    });
    let (config, at) = with_management(config(not_found_server().addr, origin.addr));
    let mut log = None;
    let proxy = Proxy::start_with_log(&config, |lines| log = Some(lines));
    let mut log = log.expect("log");
    assert_eq!(proxy.client().request("once", "k1").status(), 200);
    let report = || serde_json::from_str::<Value>(&get(at, "/api/connections").1).expect("JSON");
    wait_until("the bytes are counted", || report()["excess"] == 1);
    assert_eq!(proxy.client().request("once", "k2").status(), 502);
    let counts = report();
    assert_eq!((&counts["attempts"]["served"], &counts["attempts"]["error"]), (&json!(1), &json!(1)));
    let (mut lines, mut line) = (String::new(), String::new());
    while !line.contains("fails") {
        line.clear();
        assert!(log.read_line(&mut line).expect("line") > 0, "the log ended: {lines}");
        lines += &line;
    }
    for part in ["o sent 4 bytes beyond response 1", "request k2: error at o", "request k2 fails: no further"]
    {
        assert!(lines.contains(part), "{part:?} is missing: {lines}");
    }
}

#[test]
fn management_calls_are_answered_and_invalid_ones_rejected() {
    let (config, at) = with_management(config(not_found_server().addr, not_found_server().addr));
    let proxy = Proxy::start(&config);
    wait_until_ready(at);
    assert_eq!(get(at, "/api/telemetry").0, 200);
    for path in ["/", "/api", "/api/ready/", "/api/Ready", "/health/ready", "/api/evict", "//api/ready"] {
        assert_eq!(get(at, path).0, 404, "{path}");
    }
    assert_eq!(post(at, "/api/ready", ""), 405);
    assert_eq!(get(at, "/api/exclude").0, 405);
    let oversized = node_body(&"x".repeat(10_000));
    for body in ["", "{", "[]", "\u{1}", "{\"who\":7}", "{\"who\":\"\"}", "{\"id\":\"c\"}", &oversized] {
        assert_eq!(post(at, "/api/exclude", body), 400, "{body}");
    }
    for (node, status) in [("c", 200), ("nobody", 404), ("o", 404), ("../c", 404)] {
        assert_eq!(post(at, "/api/exclude", &node_body(node)), status, "{node}");
        assert_eq!(post(at, "/api/include", &node_body(node)), status, "{node}");
    }
    let mut garbage = TcpStream::connect(at).expect("connect");
    garbage.write_all(b"\0\x01nonsense\r\n\r\n").expect("write");
    let _ = garbage.read_to_end(&mut Vec::new());
    assert_eq!(get(at, "/api/ready").0, 200, "still answers after garbage");
    proxy.signal("-TERM");
    wait_until("the process is no longer ready", || get(at, "/api/ready").0 == 503);
}

#[test]
fn incomplete_management_calls_do_not_block_others() {
    let (config, at) = with_management(config(not_found_server().addr, not_found_server().addr));
    let _proxy = Proxy::start(&config);
    let incomplete: Vec<TcpStream> = (0..64)
        .map(|n| {
            let mut stream = TcpStream::connect(at).expect("connect");
            stream
                .write_all(&b"POST /api/exclude HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"[..n % 50])
                .expect("write");
            stream
        })
        .collect();
    let (status, _, time) = raw_call(at, "GET /api/telemetry HTTP/1.1\r\nHost: m\r\n\r\n");
    assert!(status == 200 && time < Duration::from_secs(1), "{status} after {time:?}");
    drop(incomplete);
}

#[test]
fn management_calls_are_answered_in_time_under_load() {
    let cache = StubServer::start(|_, _| Action::Respond(200, "value"));
    let (config, at) = with_management(config(cache.addr, not_found_server().addr));
    let proxy = Proxy::start(&config);
    let addr = proxy.addr;
    let until = Instant::now() + Duration::from_secs(2);
    let load: Vec<_> = (0..32)
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
        let (status, _, time) = raw_call(at, "GET /api/telemetry HTTP/1.1\r\nHost: m\r\n\r\n");
        assert!(status == 200 && time < Duration::from_millis(500), "{status} after {time:?}");
    }
    load.into_iter().for_each(|client| client.join().expect("client thread"));
}

#[test]
fn metrics_match_what_clients_and_nodes_received() {
    let cache = StubServer::start(|message, number| match number % 5 {
        0 => Action::Respond(404, ""),
        1 if message.start_line.contains("cancelled") => {
            Action::RespondAfter(Duration::from_millis(200), "value")
        }
        _ => Action::Respond(200, "value"),
    });
    // The last digit of its id decides how a write ends.
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
    let initial = metrics(at);
    assert_eq!((&initial["passed"], &initial["dropped"], &initial["bad_gateway"]), (&none, &none, &none));
    let mut statuses: BTreeMap<(&str, u16), u64> = BTreeMap::new();
    for n in 0..120 {
        let class = ["read", "once", "read"][n % 3];
        let status = proxy.client().request(class, &format!("a{n}")).status();
        *statuses.entry((class, status)).or_default() += 1;
        let mut cancelling = proxy.client();
        cancelling.send_request("read", &format!("cancelled{n}"));
        thread::sleep(Duration::from_millis(n as u64 % 3));
    }
    wait_until("no request in flight", || metrics(at)["in_progress"] == json!(0));
    let reported = metrics(at);
    for (class, status, name) in [
        ("once", 200, "passed"),
        ("once", 503, "dropped"),
        ("once", 502, "bad_gateway"),
        ("read", 503, "dropped"),
    ] {
        let count = reported[name][class].as_u64().expect("count");
        let received = statuses.get(&(class, status)).copied().unwrap_or(0);
        // Requests of clients that disconnected may be counted among the reads.
        assert!(
            count == received || class == "read" && count >= received,
            "{name} of {class}: {count} counted, {received} received"
        );
        assert!(class == "read" || received > 0, "no {status} for {class}");
    }
    let received = (cache.requests().len() + origin.requests().len()) as u64;
    let attempts = reported["upstream_tries"].as_u64().expect("count");
    assert!(attempts.abs_diff(received) <= 3, "{attempts} attempts counted, {received} received");
    assert_eq!((&reported["known_cache_nodes"], &reported["skipped_cache_nodes"]), (&json!(1), &json!(0)));
}

#[test]
fn request_is_in_progress_until_its_client_disconnects_and_counts_as_attempt_once_written() {
    let cache = StubServer::start(|_, _| Action::Hang);
    let (config, at) = with_management(config(cache.addr, not_found_server().addr));
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("read", "a");
    wait_until("the request is in progress", || metrics(at)["in_progress"] == json!(1));
    wait_until("the attempt is written", || metrics(at)["upstream_tries"] == json!(1));
    drop(client);
    wait_until("the request of a disconnected client is not in progress", || {
        metrics(at)["in_progress"] == json!(0)
    });
}

/// A configuration with two caches; the first is the home of some of the twenty keys that `read_all` reads.
fn two_caches(first: &StubServer, second: &StubServer) -> Value {
    let mut config = config(first.addr, not_found_server().addr);
    let servers = config["known"]["servers"].as_array_mut().expect("node list");
    servers.push(node_entry("c2", second.addr, "cache", "ready"));
    config
}

/// Reads twenty keys.
fn read_all(proxy: &Proxy, round: usize) {
    let mut client = proxy.client();
    for n in 0..20 {
        let request = format!(
            "GET /api/k{n} HTTP/1.1\r\nHost: o\r\nX-Request-Id: r{round}-{n}\r\nX-Class: read\r\nX-Deadline: 1\r\n\r\n"
        );
        client.send(&request);
        assert_eq!(client.read_response().expect("response").status(), 200);
    }
}

#[test]
fn excluded_node_gets_no_requests_until_included_across_list_updates_and_restarts() {
    let ok_server = || StubServer::start(|_, _| Action::Respond(200, "value"));
    let (first, second) = (ok_server(), ok_server());
    let (mut config, at) = with_management(two_caches(&first, &second));
    // Discovery sends the complete list again and again.
    let mut full_list = config["known"].clone();
    full_list["version"] = json!(2);
    let full_list: &'static str = full_list.to_string().leak();
    let discovery = StubServer::start(move |_, _| Action::RespondAfter(Duration::from_millis(50), full_list));
    config["discovery"] = json!(discovery.addr.to_string());
    let directory = TempDirectory::new();
    let proxy = Proxy::start_in(&config, &directory.0);
    read_all(&proxy, 0);
    let before = first.requests().len();
    assert!(before > 0, "the node is in use");
    assert_eq!(post(at, "/api/exclude", &node_body("c")), 200);
    assert_eq!(post(at, "/api/exclude", &node_body("c")), 200);
    wait_until("its idle connections are closed", || first.closed() >= 1);
    wait_until("the node is listed again several times", || discovery.requests().len() > 5);
    read_all(&proxy, 1);
    assert_eq!(first.requests().len(), before, "no request while it is excluded");
    let reported = metrics(at);
    assert_eq!((&reported["known_cache_nodes"], &reported["skipped_cache_nodes"]), (&json!(2), &json!(1)));
    drop(proxy);
    let restarted = Proxy::start_in(&config, &directory.0);
    read_all(&restarted, 2);
    assert_eq!(first.requests().len(), before, "still excluded after a restart");
    assert_eq!(post(at, "/api/include", &node_body("c")), 200, "one include undoes two excludes");
    let start = Instant::now();
    for round in 3.. {
        read_all(&restarted, round);
        if first.requests().len() > before {
            break;
        }
        assert!(start.elapsed() < Duration::from_secs(5), "not in use again within 5 s");
    }
    assert_eq!(metrics(at)["skipped_cache_nodes"], json!(0));
}

#[test]
fn exclude_call_that_cannot_be_stored_is_rejected_without_effect() {
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
fn damaged_or_foreign_exclusion_files_are_ignored() {
    let (first, second) = (not_found_server(), not_found_server());
    let (config, at) = with_management(two_caches(&first, &second));
    let directory = TempDirectory::new();
    let state_directory = directory.0.join("flintwell-n0");
    std::fs::create_dir_all(&state_directory).expect("create directory");
    for (file, text) in [
        ("out-c", "{\"who\":\"c\",\"out_"),
        ("out-c2", "{\"who\":\"c\",\"out_ms\":1,\"back_ms\":null}"),
        ("out-x", "\u{0}\u{1}"),
    ] {
        std::fs::write(state_directory.join(file), text).expect("write file");
    }
    let _proxy = Proxy::start_in(&config, &directory.0);
    wait_until_ready(at);
    assert_eq!(metrics(at)["skipped_cache_nodes"], json!(0));
    assert_eq!(post(at, "/api/exclude", &node_body("c")), 200);
    assert_eq!(metrics(at)["skipped_cache_nodes"], json!(1));
}

/// Starts a process that inherits its client socket; returns it with its log.
pub fn inheriting(socket: &TcpListener, config: &Value, directory: &Path) -> (Proxy, BufReader<ChildStderr>) {
    let path = directory.join(format!("{}.json", config["mgmt"].as_str().unwrap_or("none")));
    std::fs::write(&path, config.to_string()).expect("write file");
    let inherited = socket.try_clone().expect("clone socket");
    let script =
        "exec 3<&0 </dev/null; export EDGE_LISTEN_FD=3 LISTEN_FDS=1 LISTEN_PID=$$; exec \"$0\" \"$@\"";
    let mut shell = Command::new("sh");
    shell.args(["-c", script, PROGRAM, "serve", "--config"]).arg(&path);
    shell.env("TMPDIR", directory).env_remove("EDGE_MGMT");
    shell.stdin(Stdio::from(OwnedFd::from(inherited))).stdout(Stdio::null()).stderr(Stdio::piped());
    let mut child = shell.spawn().expect("spawn flintwell");
    let log = BufReader::new(child.stderr.take().expect("stderr"));
    let addr = socket.local_addr().expect("local address");
    (Proxy { child, addr, config_path: path }, log)
}

/// Starts a process at an inherited socket and waits until it is ready; returns it with its management address.
pub fn served_by(socket: &TcpListener, config: &Value, directory: &Path) -> (Proxy, SocketAddr) {
    let (config, at) = with_management(config.clone());
    let (proxy, mut log) = inheriting(socket, &config, directory);
    thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    wait_until("the process is ready", || TcpStream::connect(at).is_ok() && get(at, "/api/ready").0 == 200);
    (proxy, at)
}

/// Sends requests until `done`, and repeats a request once on a new connection if the connection closed under it or it was
/// refused. Returns the number of responses by status; 0 stands for none.
fn send_until_done(addr: SocketAddr, name: usize, done: &AtomicBool) -> BTreeMap<u16, usize> {
    let mut statuses = BTreeMap::new();
    let mut client = Client::connect(addr);
    for n in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        client.send_request("read", &format!("{name}-{n}"));
        let response = client.read_response().filter(|response| response.status() != 503).or_else(|| {
            client = Client::connect(addr);
            client.send_request("read", &format!("{name}-{n}"));
            client.read_response()
        });
        let is_closed =
            response.as_ref().is_none_or(|response| response.header("connection") == Some("close"));
        *statuses.entry(response.map_or(0, |response| response.status())).or_default() += 1;
        // A third of the clients use a new connection for each request.
        if is_closed || name.is_multiple_of(3) {
            client = Client::connect(addr);
        }
        thread::sleep(Duration::from_millis(if name.is_multiple_of(4) { 150 } else { 2 }));
    }
    statuses
}

#[test]
fn every_request_is_answered_during_upgrades_at_one_socket() {
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
            thread::spawn(move || send_until_done(addr, name, &done))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    for _ in 0..2 {
        let (new, _) = served_by(&socket, &config, &directory.0);
        old.signal("-TERM");
        thread::sleep(Duration::from_millis(1_900));
        let exit_status = old.child.try_wait().expect("query state");
        assert!(
            exit_status.is_some_and(|status| status.success()),
            "the old process has ended without an error: {exit_status:?}"
        );
        old = new;
    }
    done.store(true, Ordering::Relaxed);
    let statuses: Vec<BTreeMap<u16, usize>> =
        load.into_iter().map(|client| client.join().expect("client thread")).collect();
    assert!(statuses.iter().all(|statuses| statuses.keys().eq([&200])), "{statuses:?}");
}

#[test]
fn old_process_keeps_serving_and_shuts_down_normally_after_its_successor_was_killed() {
    let ok_server = || StubServer::start(|_, _| Action::Respond(200, "value"));
    let config = config(ok_server().addr, ok_server().addr);
    let (directory, socket) =
        (TempDirectory::new(), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let (old, at) = served_by(&socket, &config, &directory.0);
    let (new, new_at) = served_by(&socket, &config, &directory.0);
    assert_eq!(post(new_at, "/api/exclude", &node_body("c")), 200);
    wait_until("an exclude call takes effect in both processes", || {
        metrics(at)["skipped_cache_nodes"] == json!(1)
    });
    assert_eq!(post(at, "/api/include", &node_body("c")), 200);
    wait_until("included again in both processes", || metrics(new_at)["skipped_cache_nodes"] == json!(0));
    drop(new);
    for n in 0..5 {
        assert_eq!(old.client().request("read", &format!("a{n}")).status(), 200);
    }
    old.signal("-TERM");
    wait_until("shutdown has begun", || get(at, "/api/ready").0 == 503);
    assert_eq!(
        old.client().request("read", "late").status(),
        200,
        "late clients are still served for a while"
    );
}

#[test]
fn successor_starts_with_the_latest_stored_list() {
    let (first, second) = (StubServer::start(|_, _| Action::Respond(200, "value")), not_found_server());
    let mut config = two_caches(&first, &second);
    // One of two caches has left since the configuration was written.
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
    wait_until("the update is applied", || metrics(at)["known_cache_nodes"] == json!(1));
    thread::sleep(Duration::from_millis(300));
    let (_new, new_at) = served_by(&socket, &config, &directory.0);
    assert_eq!(metrics(new_at)["known_cache_nodes"], json!(1));
    wait_until("it asks for changes since that version", || {
        discovery.requests().iter().any(|m| m.start_line.contains("since=7"))
    });
    drop(old);
    std::fs::write(directory.0.join("flintwell-n0/list"), "{\"version\":7,").expect("truncate list file");
    let (_third, third_at) = served_by(&socket, &config, &directory.0);
    assert_eq!(metrics(third_at)["known_cache_nodes"], json!(2), "falls back to the configured list");
}

#[test]
fn inherited_descriptor_that_is_not_listening_is_rejected_with_one_line() {
    let (directory, socket) =
        (TempDirectory::new(), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let stream = TcpStream::connect(socket.local_addr().expect("local address")).expect("connect");
    let not_listening = TcpListener::from(OwnedFd::from(stream));
    let (mut proxy, mut log) =
        inheriting(&not_listening, &config(closed_address(), closed_address()), &directory.0);
    let mut lines = String::new();
    log.read_to_string(&mut lines).expect("stderr");
    assert!(lines.lines().count() == 1 && lines.contains("EDGE_LISTEN_FD is 3"), "{lines}");
    assert_eq!(proxy.child.wait().expect("exit status").code(), Some(1));
}

#[test]
fn unsafe_request_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_twice() {
    let origin = StubServer::start(|_, _| Action::RespondAfter(Duration::from_millis(300), "value"));
    let (config, directory) = (config(not_found_server().addr, origin.addr), TempDirectory::new());
    let socket = TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let addr = socket.local_addr().expect("local address");
    let (old, _) = served_by(&socket, &config, &directory.0);
    let leave = |id: &str| {
        let before = origin.requests().len();
        let mut client = Client::connect(addr);
        client.send_request("once", id);
        wait_until("the request has reached the origin", || origin.requests().len() > before);
    };
    leave("before");
    let (_new, _) = served_by(&socket, &config, &directory.0);
    // Either process may get these; each is sent to whichever accepts.
    let again =
        |id: &str| (0..8).map(|_| Client::connect(addr).request("once", id).status()).collect::<Vec<_>>();
    leave("during");
    assert_eq!((again("before"), again("during")), (vec![409; 8], vec![409; 8]));
    old.signal("-TERM");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(Client::connect(addr).request("once", "during").status(), 409, "at the new process");
    assert_eq!(origin.requests().len(), 2, "one run of each request");
    assert_eq!(Client::connect(addr).request("once", "after").status(), 200);
}

/// Guards against a process that goes on taking clients from a socket that another one serves, and turns them away or keeps
/// them from it for as long as they come.
#[test]
fn process_that_stops_leaves_the_socket_to_an_older_one() {
    let cache = StubServer::start(|_, _| Action::Respond(200, "value"));
    let (config, directory) = (config(cache.addr, not_found_server().addr), TempDirectory::new());
    let socket = TcpListener::bind("127.0.0.1:0").expect("bind listener");
    let addr = socket.local_addr().expect("local address");
    let (_old, _) = served_by(&socket, &config, &directory.0);
    let (new, _) = served_by(&socket, &config, &directory.0);
    let is_ended = Arc::<AtomicBool>::default();
    let clients: Vec<_> = (0..20)
        .map(|n| {
            let is_ended = is_ended.clone();
            thread::spawn(move || {
                let ids = (0..).take_while(|_| !is_ended.load(Ordering::Relaxed));
                let unanswered = ids.filter(|k| {
                    let mut client = Client::connect(addr);
                    thread::sleep(Duration::from_millis(10));
                    client.send_request("read", &format!("new-{n}-{k}"));
                    client.read_response().is_none()
                });
                unanswered.count()
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    new.signal("-TERM");
    let new = std::cell::RefCell::new(new);
    let has_exited = || new.borrow_mut().child.try_wait().expect("query state").is_some();
    wait_until("it stops although clients come", has_exited);
    thread::sleep(Duration::from_millis(300));
    is_ended.store(true, Ordering::Relaxed);
    let unanswered: usize = clients.into_iter().map(|client| client.join().expect("client thread")).sum();
    assert_eq!(unanswered, 0, "requests without an answer");
}
