//! Stub clients, nodes and discovery, and helpers that run the proxy between them.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_flintwell");

/// An HTTP/1.1 request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    /// All header lines, in lower case.
    pub headers: String,
    pub body: String,
}

impl Message {
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        from.read_line(&mut message.start_line).ok().filter(|bytes| *bytes > 0)?;
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
            if line == "\r\n" {
                break;
            }
            message.headers += &line.to_lowercase();
        }
        let length = message.header("content-length").map_or(0, |length| length.parse().expect("length"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("UTF-8");
        Some(message)
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("status")
    }
}

/// What a stub server does with a request.
pub enum Action {
    /// Sends a complete response with this status and body.
    Respond(u16, &'static str),
    /// Responds as discovery without changes since the version named in the call, after the call's timeout.
    RespondUnchanged,
    /// Responds and closes the connection without announcing it (no `Connection: close`).
    RespondAndClose(&'static str),
    /// Sends this text as it is.
    SendRaw(&'static str),
    Close,
    /// Sends nothing until the peer closes the connection.
    Hang,
    RespondAfter(Duration, &'static str),
    /// Responds, and sends further bytes after a delay.
    RespondThenSend(&'static str, Duration, &'static str),
    /// Runs this function on the socket, then closes it.
    Write(fn(&TcpStream) -> std::io::Result<()>),
}

/// A server on loopback whose behaviour a test defines; records the requests that it receives.
pub struct StubServer {
    pub addr: SocketAddr,
    pub requests: Arc<Mutex<Vec<Message>>>,
    /// Number of connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
    /// Number of connections closed so far.
    pub closed: Arc<AtomicUsize>,
}

impl StubServer {
    /// `handler` is called with each request and its index.
    pub fn start(handler: impl Fn(&Message, usize) -> Action + Send + Sync + 'static) -> StubServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind listener");
        let (addr, requests) = (listener.local_addr().expect("local address"), Arc::default());
        let (handler, received): (_, Arc<Mutex<Vec<Message>>>) = (Arc::new(handler), Arc::clone(&requests));
        let closed = Arc::<AtomicUsize>::default();
        let closed_count = closed.clone();
        let accepted = Arc::<AtomicUsize>::default();
        let accepted_count = accepted.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted_count.fetch_add(1, Ordering::Relaxed);
                let (handler, received, closed_count) =
                    (handler.clone(), received.clone(), closed_count.clone());
                thread::spawn(move || {
                    serve_connection(stream, &*handler, &received);
                    closed_count.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        StubServer { addr, requests, accepted, closed }
    }
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::Relaxed)
    }
    pub fn requests(&self) -> Vec<Message> {
        self.requests.lock().expect("not poisoned").clone()
    }
}

/// The value of a numeric query parameter (`name` includes the `=`) in a request line; 0 without it.
fn query_number(line: &str, name: &str) -> u64 {
    line.split([' ', '?', '&']).find_map(|part| part.strip_prefix(name)?.parse().ok()).unwrap_or(0)
}

pub fn serve_connection(
    stream: TcpStream,
    handler: &dyn Fn(&Message, usize) -> Action,
    received: &Mutex<Vec<Message>>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("clone socket"));
    let send = |text: String| (&stream).write_all(text.as_bytes());
    let response = |status: u16, body: &str| {
        let not_run = if status == 503 { "X-Not-Run: 1\r\n" } else { "" };
        format!("HTTP/1.1 {status} -\r\n{not_run}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    while let Some(message) = Message::read(&mut reader) {
        let index = {
            let mut received = received.lock().expect("not poisoned");
            received.push(message.clone());
            received.len() - 1
        };
        let result = match handler(&message, index) {
            Action::Respond(status, body) => send(response(status, body)),
            Action::RespondAndClose(body) => return drop(send(response(200, body))),
            Action::SendRaw(text) => send(text.to_owned()),
            Action::RespondUnchanged => {
                thread::sleep(Duration::from_millis(query_number(&message.start_line, "timeout_ms=")));
                let version = query_number(&message.start_line, "since=");
                send(response(200, &json!({"version": version, "full": false, "servers": []}).to_string()))
            }
            Action::Close => return,
            Action::Write(write) => return drop(write(&stream)),
            Action::Hang => return drop(reader.read(&mut [0])),
            Action::RespondAfter(time, body) => {
                thread::sleep(time);
                send(response(200, body))
            }
            Action::RespondThenSend(body, time, more) => send(response(200, body)).and_then(|()| {
                thread::sleep(time);
                send(more.to_owned())
            }),
        };
        if result.is_err() {
            return;
        }
    }
}

/// An entry of the node list.
pub fn node_entry(id: &str, addr: SocketAddr, kind: &str, state: &str) -> Value {
    json!({"id": id, "addr": addr.to_string(), "zone": "z", "kind": kind, "cell": 0, "state": state,
        "weight": 1.0, "started_ms": 0})
}

/// A request class of the settings.
pub fn use_case(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "key_ttl": 3.0, "goal_time": 0.6,
        "overdue_earnings": 0.0, "outer_limit": 1.0})
}

/// A configuration with one cache and the origin, and a discovery that never reports a change.
pub fn config(cache: SocketAddr, origin: SocketAddr) -> Value {
    let discovery = StubServer::start(|_, _| Action::RespondUnchanged);
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"version": 1, "full": true,
            "servers": [node_entry("c", cache, "cache", "ready"), node_entry("o", origin, "origin", "ready")]},
        "settings": {"index": 0, "fleet_size": 1, "locality": 0, "discovery": "on_request", "zones": ["z"],
            "flavors": ["cache", "origin"], "specifics": {"mode": "aside", "origin_kind": 1},
            "limits": {"max_hand_offs": 4, "dial_timeout": 0.25, "keepalive": 10.0, "retry_after": true,
                "max_retry_after": 1.5},
            "guarantees": {"ask_within": 10.0, "start_capacity": 0.2, "ramp_time": 5.0, "fall": 2.0},
            "use_cases": [use_case("read", "safe"), use_case("write", "keyed"), use_case("once", "unsafe")]}})
}

/// Discards the log, so that the pipe never fills up.
fn discard_log(mut log: BufReader<ChildStderr>) {
    thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
}

/// A running proxy process; killed when dropped.
pub struct Proxy {
    pub child: Child,
    pub addr: SocketAddr,
    /// Its configuration file; removed when the process is dropped.
    pub config_path: std::path::PathBuf,
}

/// Runs a command of the program on a configuration of this text. `directory` is where it may store files.
pub fn run(
    command: &[&str],
    config: &str,
    log: Stdio,
    directory: Option<&Path>,
) -> (Child, std::path::PathBuf) {
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    let number = RUNS.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("flintwell-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).expect("write file");
    let mut program = Command::new(PROGRAM);
    program.args(command).arg(&path).stdout(Stdio::null()).stderr(log);
    program.env_remove("TMPDIR").env_remove("EDGE_MGMT");
    if let Some(directory) = directory {
        program.env("TMPDIR", directory);
    }
    (program.spawn().expect("spawn flintwell"), path)
}

impl Proxy {
    pub fn start(config: &Value) -> Proxy {
        Proxy::launch(config, None, discard_log)
    }
    pub fn start_in(config: &Value, directory: &Path) -> Proxy {
        Proxy::launch(config, Some(directory), discard_log)
    }
    /// Starts a proxy whose log `handle_log` gets, from the line after the start-up line on.
    pub fn start_with_log(config: &Value, handle_log: impl FnOnce(BufReader<ChildStderr>)) -> Proxy {
        Proxy::launch(config, None, handle_log)
    }
    fn launch(
        config: &Value,
        directory: Option<&Path>,
        handle_log: impl FnOnce(BufReader<ChildStderr>),
    ) -> Proxy {
        let (mut child, path) = run(&["serve", "--config"], &config.to_string(), Stdio::piped(), directory);
        let mut log = BufReader::new(child.stderr.take().expect("stderr"));
        let mut line = String::new();
        while !line.contains(" serves on ") {
            line.clear();
            assert!(log.read_line(&mut line).expect("line") > 0, "the process ended before it served");
        }
        let addr = line.trim().rsplit(' ').next().and_then(|addr| addr.parse().ok()).expect("listen address");
        handle_log(log);
        Proxy { child, addr, config_path: path }
    }
    pub fn client(&self) -> Client {
        Client::connect(self.addr)
    }
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(status.expect("run kill").success());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// A client connection to a proxy.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn connect(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).expect("connect");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set read timeout");
        Client(BufReader::new(stream))
    }
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("write");
    }
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }
    /// Sends a request of this class; the id is its key too.
    pub fn send_request(&mut self, class: &str, id: &str) {
        let (method, body) = if class == "read" { ("GET", "") } else { ("PUT", "v") };
        self.send(&format!(
            "{method} /api/{id}?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
             X-Deadline: 1.0\r\nIdempotency-Key: m-{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }
    /// Sends a request of this class and reads its response.
    pub fn request(&mut self, class: &str, id: &str) -> Message {
        self.send_request(class, id);
        self.read_response().expect("response")
    }
}

/// Waits up to 5 s until `condition` is true; panics with `what` otherwise.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < Duration::from_secs(5), "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A server that answers everything 404, as a cache does on a miss.
pub fn not_found_server() -> StubServer {
    StubServer::start(|_, _| Action::Respond(404, ""))
}

/// A loopback address that no other test uses. A port that was picked by binding and then released could be assigned
/// to another test's server while this test runs.
fn unique_address(port: u16) -> SocketAddr {
    static ADDRESSES: AtomicUsize = AtomicUsize::new(1);
    let (process, number) = (std::process::id(), ADDRESSES.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from(([127, 64 + (process >> 8 & 63) as u8, process as u8, number as u8], port))
}

/// An address on which nothing listens.
pub fn closed_address() -> SocketAddr {
    unique_address(9_700)
}

/// Sends a request of this text to the management API: status and body of its response, and the time it took.
pub fn raw_call(at: SocketAddr, request: &str) -> (u16, String, Duration) {
    let start = Instant::now();
    let mut call = TcpStream::connect(at).expect("connect");
    call.set_read_timeout(Some(Duration::from_secs(5))).expect("set read timeout");
    call.write_all(request.as_bytes()).expect("write");
    let mut response = String::new();
    call.read_to_string(&mut response).expect("response and end of stream");
    let status = response.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("status");
    let body = response.split_once("\r\n\r\n").expect("end of headers").1.trim().to_owned();
    (status, body, start.elapsed())
}

pub fn get(at: SocketAddr, path: &str) -> (u16, String) {
    let (status, body, _) = raw_call(at, &format!("GET {path} HTTP/1.1\r\nHost: m\r\n\r\n"));
    (status, body)
}

/// Waits until the process has a node list under a valid lease.
pub fn wait_until_ready(at: SocketAddr) {
    wait_until("the process is ready", || get(at, "/api/ready").0 == 200);
}

pub fn post(at: SocketAddr, path: &str, body: &str) -> u16 {
    let length = body.len();
    raw_call(at, &format!("POST {path} HTTP/1.1\r\nHost: m\r\nContent-Length: {length}\r\n\r\n{body}")).0
}

/// The body of an exclude or include call.
pub fn node_body(node: &str) -> String {
    json!({ "who": node }).to_string()
}

/// The metrics as the management API reports them.
pub fn metrics(at: SocketAddr) -> Value {
    serde_json::from_str(&get(at, "/api/telemetry").1).expect("valid JSON")
}

/// Adds a management API to a configuration; also returns its address.
pub fn with_management(mut config: Value) -> (Value, SocketAddr) {
    let at = unique_address(9_600);
    config["mgmt"] = json!(at.to_string());
    (config, at)
}
