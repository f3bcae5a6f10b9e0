//! Stand-ins for clients, nodes and discovery, and the program run between them.

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

/// A message as it came or went: first line, headers, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub head: String,
    pub body: String,
}

impl Message {
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        from.read_line(&mut message.first).ok().filter(|bytes| *bytes > 0)?;
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
            if line == "\r\n" {
                break;
            }
            message.head += &line.to_lowercase();
        }
        let length = message.header("content-length").map_or(0, |length| length.parse().expect("a length"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("text");
        Some(message)
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status")
    }
}

/// What a server does with a message.
pub enum Does {
    Answers(u16, &'static str),
    /// As a discovery that has nothing newer than what the call names.
    HasNothingNew,
    /// Answers and closes without a word about it.
    AnswersAndCloses(&'static str),
    Says(&'static str),
    Closes,
    /// Nothing until the other side closes.
    Hangs,
    Waits(Duration, &'static str),
    /// Answers and says more after a while.
    AnswersAndAdds(&'static str, Duration, &'static str),
    /// What this writes, then closes.
    Writes(fn(&TcpStream) -> std::io::Result<()>),
}

pub struct Server {
    pub addr: SocketAddr,
    pub heard: Arc<Mutex<Vec<Message>>>,
    /// Connections that have come, and that have ended.
    pub begun: Arc<AtomicUsize>,
    pub ended: Arc<AtomicUsize>,
}

impl Server {
    /// `act` is given the message and its number.
    pub fn start(act: impl Fn(&Message, usize) -> Does + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (addr, heard) = (listener.local_addr().expect("an address"), Arc::default());
        let (act, noted): (_, Arc<Mutex<Vec<Message>>>) = (Arc::new(act), Arc::clone(&heard));
        let ended = Arc::<AtomicUsize>::default();
        let counted = ended.clone();
        let begun = Arc::<AtomicUsize>::default();
        let came = begun.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                came.fetch_add(1, Ordering::Relaxed);
                let (act, noted, counted) = (act.clone(), noted.clone(), counted.clone());
                thread::spawn(move || {
                    converse(stream, &*act, &noted);
                    counted.fetch_add(1, Ordering::Relaxed);
                });
            }
        });
        Server { addr, heard, begun, ended }
    }
    pub fn begun(&self) -> usize {
        self.begun.load(Ordering::Relaxed)
    }
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::Relaxed)
    }
    pub fn heard(&self) -> Vec<Message> {
        self.heard.lock().expect("no panic").clone()
    }
}

/// The number behind this name in a request's first line; 0 without it.
fn number_in(line: &str, name: &str) -> u64 {
    line.split([' ', '?', '&']).find_map(|part| part.strip_prefix(name)?.parse().ok()).unwrap_or(0)
}

pub fn converse(stream: TcpStream, act: &dyn Fn(&Message, usize) -> Does, noted: &Mutex<Vec<Message>>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    let say = |words: String| (&stream).write_all(words.as_bytes());
    let full = |status: u16, body: &str| {
        let not_run = if status == 503 { "X-Not-Run: 1\r\n" } else { "" };
        format!("HTTP/1.1 {status} -\r\n{not_run}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    while let Some(message) = Message::read(&mut reader) {
        let number = {
            let mut noted = noted.lock().expect("no panic");
            noted.push(message.clone());
            noted.len() - 1
        };
        let said = match act(&message, number) {
            Does::Answers(status, body) => say(full(status, body)),
            Does::AnswersAndCloses(body) => return drop(say(full(200, body))),
            Does::Says(words) => say(words.to_owned()),
            Does::HasNothingNew => {
                thread::sleep(Duration::from_millis(number_in(&message.first, "timeout_ms=")));
                let version = number_in(&message.first, "since=");
                say(full(200, &json!({"version": version, "full": false, "servers": []}).to_string()))
            }
            Does::Closes => return,
            Does::Writes(write) => return drop(write(&stream)),
            Does::Hangs => return drop(reader.read(&mut [0])),
            Does::Waits(time, body) => {
                thread::sleep(time);
                say(full(200, body))
            }
            Does::AnswersAndAdds(body, time, more) => say(full(200, body)).and_then(|()| {
                thread::sleep(time);
                say(more.to_owned())
            }),
        };
        if said.is_err() {
            return;
        }
    }
}

pub fn entry(id: &str, addr: SocketAddr, kind: &str, state: &str) -> Value {
    json!({"id": id, "addr": addr.to_string(), "zone": "z", "kind": kind, "cell": 0, "state": state,
        "weight": 1.0, "started_ms": 0})
}

pub fn case(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "group": "all", "key_ttl": 3.0, "goal_time": 0.6,
        "overdue_earnings": 0.0, "outer_limit": 1.0})
}

/// A configuration with one cache and the origin, and a discovery that never has anything new.
pub fn config(cache: SocketAddr, origin: SocketAddr) -> Value {
    let quiet = Server::start(|_, _| Does::HasNothingNew);
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": quiet.addr.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"version": 1, "full": true,
            "servers": [entry("c", cache, "cache", "ready"), entry("o", origin, "origin", "ready")]},
        "settings": {"index": 0, "fleet_size": 1, "locality": 0, "discovery": "on_request", "zones": ["z"],
            "flavors": ["cache", "origin"], "specifics": {"mode": "aside", "origin_kind": 1},
            "limits": {"max_hand_offs": 4, "dial_timeout": 0.25, "keepalive": 10.0, "retry_after": true,
                "max_retry_after": 1.5},
            "guarantees": {"ask_within": 10.0, "start_capacity": 0.2, "ramp_time": 5.0, "fall": 2.0},
            "use_cases": [case("read", "safe"), case("write", "keyed"), case("once", "unsafe")]}})
}

/// Nobody reads its log, but it is taken.
fn read_on(mut log: BufReader<ChildStderr>) {
    thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
}

pub struct Proxy {
    pub child: Child,
    pub addr: SocketAddr,
    /// Its configuration, until it ends.
    pub file: std::path::PathBuf,
}

/// Runs the program on a configuration of this text.
/// `folder` is where it may keep files.
pub fn run(command: &[&str], config: &str, log: Stdio, folder: Option<&Path>) -> (Child, std::path::PathBuf) {
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    let number = RUNS.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("flintwell-test-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).expect("a file");
    let mut program = Command::new(PROGRAM);
    program.args(command).arg(&path).stdout(Stdio::null()).stderr(log);
    program.env_remove("TMPDIR").env_remove("EDGE_MGMT");
    if let Some(folder) = folder {
        program.env("TMPDIR", folder);
    }
    (program.spawn().expect("the program"), path)
}

impl Proxy {
    pub fn start(config: &Value) -> Proxy {
        Proxy::launch(config, None, read_on)
    }
    pub fn start_in(config: &Value, folder: &Path) -> Proxy {
        Proxy::launch(config, Some(folder), read_on)
    }
    pub fn start_with(config: &Value, keep: impl FnOnce(BufReader<ChildStderr>)) -> Proxy {
        Proxy::launch(config, None, keep)
    }
    fn launch(config: &Value, folder: Option<&Path>, keep: impl FnOnce(BufReader<ChildStderr>)) -> Proxy {
        let (mut child, path) = run(&["serve", "--config"], &config.to_string(), Stdio::piped(), folder);
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let mut line = String::new();
        while !line.contains(" serves on ") {
            line.clear();
            assert!(log.read_line(&mut line).expect("a line") > 0, "it ended");
        }
        let addr = line.trim().rsplit(' ').next().and_then(|addr| addr.parse().ok()).expect("its address");
        keep(log);
        Proxy { child, addr, file: path }
    }
    pub fn client(&self) -> Client {
        Client::at(self.addr)
    }
    pub fn signal(&self, signal: &str) {
        let done = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(done.expect("kill").success());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn at(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a limit");
        Client(BufReader::new(stream))
    }
    pub fn send(&mut self, words: &str) {
        self.0.get_mut().write_all(words.as_bytes()).expect("to write");
    }
    pub fn read(&mut self) -> Option<Message> {
        Message::read(&mut self.0)
    }
    /// A request of this class; the id is its key too.
    pub fn begin(&mut self, case: &str, id: &str) {
        let (method, body) = if case == "read" { ("GET", "") } else { ("PUT", "v") };
        self.send(&format!(
            "{method} /api/{id}?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: {case}\r\n\
             X-Deadline: 1.0\r\nIdempotency-Key: m-{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }
    pub fn ask(&mut self, case: &str, id: &str) -> Message {
        self.begin(case, id);
        self.read().expect("an answer")
    }
}

/// Waits until it holds, for some seconds.
pub fn soon(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < Duration::from_secs(5), "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}

pub fn misses() -> Server {
    Server::start(|_, _| Does::Answers(404, ""))
}

/// A loopback address that no other test uses. A port that was picked by binding and then released can be given to
/// another test's server before this test is over.
fn unique_address(port: u16) -> SocketAddr {
    static ADDRESSES: AtomicUsize = AtomicUsize::new(1);
    let (process, number) = (std::process::id(), ADDRESSES.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from(([127, 64 + (process >> 8 & 63) as u8, process as u8, number as u8], port))
}

/// An address at which nothing listens.
pub fn closed() -> SocketAddr {
    unique_address(9_700)
}

/// What the second address says to these words, and after how long.
pub fn says(at: SocketAddr, words: &str) -> (u16, String, Duration) {
    let start = Instant::now();
    let mut call = TcpStream::connect(at).expect("a connection");
    call.set_read_timeout(Some(Duration::from_secs(5))).expect("a limit");
    call.write_all(words.as_bytes()).expect("written");
    let mut said = String::new();
    call.read_to_string(&mut said).expect("an answer and a close");
    let status = said.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status");
    let body = said.split_once("\r\n\r\n").expect("a head").1.trim().to_owned();
    (status, body, start.elapsed())
}

pub fn get(at: SocketAddr, path: &str) -> (u16, String) {
    let (status, body, _) = says(at, &format!("GET {path} HTTP/1.1\r\nHost: m\r\n\r\n"));
    (status, body)
}

/// Waits until the process has a list that it may act on.
pub fn is_ready(at: SocketAddr) {
    soon("ready", || get(at, "/api/ready").0 == 200);
}

pub fn post(at: SocketAddr, path: &str, body: &str) -> u16 {
    let length = body.len();
    says(at, &format!("POST {path} HTTP/1.1\r\nHost: m\r\nContent-Length: {length}\r\n\r\n{body}")).0
}

pub fn who(node: &str) -> String {
    json!({ "who": node }).to_string()
}

pub fn figures(at: SocketAddr) -> Value {
    serde_json::from_str(&get(at, "/api/telemetry").1).expect("JSON")
}

/// With a second address, and where that is.
pub fn managed(mut config: Value) -> (Value, SocketAddr) {
    let at = unique_address(9_600);
    config["mgmt"] = json!(at.to_string());
    (config, at)
}
