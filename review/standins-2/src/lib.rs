//! Stand-ins for the cases of the second review: discovery, cache nodes and an origin in threads of the driver,
//! clients, and the processes under test, which are started by the deploy file's commands. The standard library only.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio, exit};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Ends the case with 2.
pub fn cannot_run(why: impl AsRef<str>) -> ! {
    panic!("cannot run: {}", why.as_ref())
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The log of a case, `record.txt` in its folder. Each line begins with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    pub began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.began.elapsed().as_secs_f64(), line.as_ref());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
    /// Notes a line and prints it.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.note(line);
    }
}

/// What a case has: its record, a temporary folder, the repository's root, and whether there is a disruption.
pub struct Case {
    pub record: Record,
    pub temp: PathBuf,
    pub root: PathBuf,
    pub trouble: bool,
}

/// Runs a case, which returns what broke the rule; ends with 1 for that, 0 if it held, 2 if the case could not run.
pub fn run_case(case: impl FnOnce(&Case) -> Vec<String>) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let root = folder.join("../..").canonicalize().expect("root of the repository");
    let file = fs::File::create(folder.join("record.txt")).expect("record");
    let record = Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) };
    let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
    let temp = std::env::temp_dir().join(format!("review-2-{}-{stamp}", std::process::id()));
    fs::create_dir_all(&temp).expect("temporary folder");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(format!("disruption: {}", if trouble { "yes" } else { "no" }));
    let case_data = Case { record: record.clone(), temp: temp.clone(), root, trouble };
    let result = catch_unwind(AssertUnwindSafe(|| case(&case_data)));
    for name in fs::read_dir(&temp).into_iter().flatten().flatten() {
        let name = name.path();
        if name.extension().is_some_and(|extension| extension == "log") {
            let text = fs::read_to_string(&name).unwrap_or_default();
            record.note(format!("--- {}\n{text}---", name.file_name().unwrap_or_default().to_string_lossy()));
        }
    }
    let _ = fs::remove_dir_all(&temp);
    match result {
        Err(_) => {
            record.say("the case could not run");
            exit(2)
        }
        Ok(broken) if broken.is_empty() => {
            record.say("the rule held");
            exit(0)
        }
        Ok(broken) => {
            broken.iter().for_each(|line| record.say(format!("BROKEN: {line}")));
            exit(1)
        }
    }
}

/// An address that is free now. The host is of this run alone, so that runs side by side don't take each other's.
pub fn free_address() -> SocketAddr {
    let id = std::process::id();
    let host = Ipv4Addr::new(127, 100 + (id >> 16) as u8 % 100, (id >> 8) as u8, (id % 250) as u8 + 1);
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// Waits until this is so; `false` if it is not within the limit.
pub fn wait_until(limit: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !is_so() {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(ms(10));
    }
    true
}

// ---- HTTP ----

/// A message as read: first line, headers in small letters, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
    /// Second word of the first line: a request's path, or a response's status.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message. `Ok(None)`: the peer closed before its first byte.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    let mut chunk = [0; 16_384];
    let end = loop {
        if let Some(end) = rest.windows(4).position(|part| part == b"\r\n\r\n") {
            break end;
        }
        let bytes = read_some(stream, &mut chunk)?;
        if bytes == 0 {
            return if rest.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
        rest.extend_from_slice(&chunk[..bytes]);
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message { first_line: lines.next().unwrap_or("").into(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while rest.len() < end + 4 + length {
        let bytes = read_some(stream, &mut chunk)?;
        if bytes == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&chunk[..bytes]);
    }
    message.body = rest[end + 4..end + 4 + length].to_vec();
    rest.drain(..end + 4 + length);
    Ok(Some(message))
}

fn read_some(stream: &mut TcpStream, chunk: &mut [u8]) -> std::io::Result<usize> {
    loop {
        match stream.read(chunk) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// A connection of a client.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
    pub requests: usize,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(2_000))?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, rest: Vec::new(), requests: 0 })
    }
    /// Sends a request and reads its response; `Ok(None)` if the connection was closed with no byte of one.
    pub fn exchange(&mut self, request: &[u8], limit: Duration) -> std::io::Result<Option<Message>> {
        self.requests += 1;
        self.stream.set_read_timeout(Some(limit))?;
        self.stream.write_all(request)?;
        read_message(&mut self.stream, &mut self.rest)
    }
}

/// A request of a client to a proxy.
pub fn client_request(method: &str, key: &str, id: &str, class: &str, deadline: f64, body: &str) -> Vec<u8> {
    let length = if method == "PUT" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!(
        "{method} /api/{key} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Deadline: {deadline:.3}\r\n{length}\r\n{body}"
    )
    .into_bytes()
}

/// One call on a connection of its own: status and body.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<(u16, String)> {
    let mut connection = Connection::open(address)?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: staff\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let message = connection.exchange(text.as_bytes(), ms(1_500))?.ok_or(ErrorKind::UnexpectedEof)?;
    Ok((message.status(), message.text()))
}

pub fn is_ready(management: SocketAddr) -> bool {
    call(management, "GET", "/api/ready", "").is_ok_and(|reply| reply.0 == 200)
}

/// A number in a flat JSON text, e.g. a status.
pub fn json_number(text: &str, key: &str) -> Option<u64> {
    let rest = text.split_once(&format!("\"{key}\":"))?.1;
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

// ---- discovery, cache nodes and origin ----

/// A request as a node got it.
#[derive(Clone, Debug)]
pub struct NodeRequest {
    pub at: f64,
    pub node: String,
    pub id: String,
    pub method: String,
    pub key: String,
}

#[derive(Default)]
struct Stored {
    /// Copies by cache node and key.
    copies: HashMap<(String, String), Vec<u8>>,
    /// Cache nodes that missed, by request id.
    missed: HashMap<String, Vec<String>>,
    values: HashMap<String, Vec<u8>>,
    /// Times of a write and of other work, by node.
    seen: Vec<NodeRequest>,
}

struct Listed {
    version: u64,
    servers: String,
}

/// Discovery, cache nodes and the origin of a deployment.
#[derive(Clone)]
pub struct Backends {
    record: Record,
    stored: Arc<Mutex<Stored>>,
    listed: Arc<(Mutex<Listed>, Condvar)>,
    /// Work of a read at a cache node, and of a read or a write at the origin.
    pub times: Arc<Mutex<(Duration, Duration, Duration)>>,
    /// Keys for whose first write the origin closes the connection instead of an answer, after the work.
    pub broken_off: Arc<Mutex<HashSet<String>>>,
    pub discovery: SocketAddr,
}

impl Backends {
    pub fn start(record: &Record, caches: usize, times: (Duration, Duration, Duration)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery");
        let discovery = listener.local_addr().expect("its address");
        let listed = Arc::new((Mutex::new(Listed { version: 1, servers: String::new() }), Condvar::new()));
        let backends = Backends {
            record: record.clone(),
            stored: Arc::default(),
            listed,
            times: Arc::new(Mutex::new(times)),
            broken_off: Arc::default(),
            discovery,
        };
        let names = (0..caches).map(|n| format!("cache-{n}")).chain(["origin".to_owned()]);
        let servers: Vec<String> = names
            .map(|name| {
                let kind = if name == "origin" { "origin" } else { "cache" };
                let listener = TcpListener::bind("127.0.0.1:0").expect("node");
                let address = listener.local_addr().expect("its address");
                let (own, node) = (backends.clone(), name.clone());
                serve(listener, move |message| own.node_reply(&node, &message));
                format!(
                    r#"{{"id":"{name}","addr":"{address}","zone":"here","kind":"{kind}","cell":0,"state":"ready","weight":1.0,"started_ms":0}}"#
                )
            })
            .collect();
        lock(&backends.listed.0).servers = servers.join(",");
        backends.serve_discovery(listener);
        backends
    }

    /// A further address of the same discovery.
    pub fn second_discovery(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("discovery");
        let address = listener.local_addr().expect("its address");
        self.serve_discovery(listener);
        address
    }

    fn serve_discovery(&self, listener: TcpListener) {
        let own = self.clone();
        serve(listener, move |message| Some(own.list_reply(&message)));
    }

    fn list_reply(&self, message: &Message) -> Vec<u8> {
        let number = |name: &str| -> Option<u64> {
            let query = message.target().split_once('?')?.1;
            query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (mutex, changed) = &*self.listed;
        let mut listed = lock(mutex);
        if let Some(since) = number("since") {
            let until = Instant::now() + ms(number("timeout_ms").unwrap_or(0).min(60_000));
            while listed.version <= since {
                let now = Instant::now();
                if now >= until {
                    let version = listed.version;
                    return response(200, &format!(r#"{{"version":{version},"full":false,"servers":[]}}"#));
                }
                listed = changed.wait_timeout(listed, until - now).unwrap_or_else(|p| p.into_inner()).0;
            }
        }
        response(
            200,
            &format!(r#"{{"version":{},"full":true,"servers":[{}]}}"#, listed.version, listed.servers),
        )
    }

    fn node_reply(&self, node: &str, message: &Message) -> Option<Vec<u8>> {
        let id = message.header("x-request-id").to_owned();
        if id.is_empty() {
            return Some(response(404, ""));
        }
        let key = message.target().rsplit('/').next().unwrap_or("").to_owned();
        let is_write = message.method() == "PUT";
        let at = self.record.began.elapsed().as_secs_f64();
        self.record.note(format!("{node}: {} {key} id {id} begins", message.method()));
        let (read, fetch, write) = *lock(&self.times);
        lock(&self.stored).seen.push(NodeRequest {
            at,
            node: node.into(),
            id: id.clone(),
            method: message.method().into(),
            key: key.clone(),
        });
        thread::sleep(match (node == "origin", is_write) {
            (false, _) => read,
            (true, false) => fetch,
            (true, true) => write,
        });
        let mut stored = lock(&self.stored);
        if node != "origin" {
            if let Some(copy) = stored.copies.get(&(node.to_owned(), key)).filter(|_| !is_write) {
                return Some(response(200, &String::from_utf8_lossy(copy)));
            }
            stored.missed.entry(id).or_default().push(node.into());
            return Some(response(404, ""));
        }
        if is_write && lock(&self.broken_off).remove(&key) {
            self.record
                .note(format!("{node}: PUT {key} id {id} has run, its connection ends with no answer"));
            return None;
        }
        if is_write {
            stored.values.insert(key.clone(), message.body.clone());
            stored.copies.retain(|copy, _| copy.1 != key);
            return Some(response(200, &format!("written {key} by {id}\n")));
        }
        let value =
            stored.values.get(&key).cloned().unwrap_or_else(|| format!("value of {key}\n").into_bytes());
        for cache in stored.missed.remove(&id).unwrap_or_default() {
            stored.copies.insert((cache, key.clone()), value.clone());
        }
        Some(response(200, &String::from_utf8_lossy(&value)))
    }

    /// All requests that nodes got.
    pub fn seen(&self) -> Vec<NodeRequest> {
        lock(&self.stored).seen.clone()
    }
}

fn response(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Serves each connection in a thread; no reply closes the connection.
pub fn serve(listener: TcpListener, reply: impl Fn(Message) -> Option<Vec<u8>> + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let reply = reply.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Ok(Some(message)) = read_message(&mut stream, &mut rest) {
                    let Some(text) = reply(message) else { return };
                    if stream.write_all(&text).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

// ---- processes under test ----

/// A process that this driver started; it is killed when this is dropped.
pub struct Process {
    child: Child,
    name: String,
    record: Record,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }
    pub fn signal(&self, signal: &str) {
        self.record.say(format!("{}: SIG{signal}", self.name));
        signal_process(self.id(), signal);
    }
    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
    /// Waits for its end: its exit code.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let mut status = None;
        wait_until(limit, || {
            status = self.ended();
            status.is_some()
        });
        status.and_then(|status| status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        signal_process(self.id(), "CONT");
        if self.name.starts_with("supervisor") && self.ended().is_none() {
            // Its process ends with it.
            signal_process(self.id(), "TERM");
            wait_until(ms(6_000), || self.ended().is_some());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn signal_process(id: u32, signal: &str) {
    let command = format!("kill -{signal} {id} 2>/dev/null");
    let _ = Command::new("/bin/sh").args(["-c", &command]).status();
}

/// The command `run` of the deploy file.
pub fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("its command");
    line.trim().trim_matches('"').replace("\\\"", "\"")
}

impl Case {
    /// Starts a command of a shell from the root, with a log file in the temporary folder.
    pub fn start(
        &self,
        name: &str,
        command: &str,
        env: &[(&str, String)],
        socket: Option<&TcpListener>,
    ) -> Process {
        let log = fs::File::create(self.temp.join(format!("{name}.log"))).expect("log");
        let stdin = match socket {
            Some(socket) => Stdio::from(OwnedFd::from(socket.try_clone().expect("the clients' socket"))),
            None => Stdio::null(),
        };
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", command]).current_dir(&self.root).stdin(stdin);
        shell.stdout(log.try_clone().expect("log")).stderr(log);
        for variable in ["EDGE_LISTEN_FD", "EDGE_MGMT", "EDGE_CONFIG", "LISTEN_FDS", "LISTEN_PID", "TMPDIR"] {
            shell.env_remove(variable);
        }
        shell.envs(env.iter().map(|(key, value)| (*key, value)));
        let child = shell.spawn().unwrap_or_else(|error| cannot_run(format!("{name}: {error}")));
        self.record.say(format!("started {name} as process {}", child.id()));
        Process { child, name: name.into(), record: self.record.clone() }
    }

    /// Starts a proxy by the deploy file's command. With `socket` the platform holds the clients' socket.
    pub fn start_proxy(
        &self,
        name: &str,
        config: &Path,
        folder: &Path,
        socket: Option<&TcpListener>,
    ) -> Process {
        let mut env =
            vec![("EDGE_CONFIG", config.display().to_string()), ("TMPDIR", folder.display().to_string())];
        let mut command = run_command(&self.root);
        if socket.is_some() {
            env.push(("EDGE_LISTEN_FD", "3".into()));
            command = format!("exec 3<&0 </dev/null; {command}");
        }
        self.start(name, &command, &env, socket)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.temp.join(name);
        let temporary = self.temp.join(format!("{name}.new"));
        fs::write(&temporary, text).and_then(|()| fs::rename(&temporary, &file)).expect("write a file");
        file
    }

    pub fn folder(&self, name: &str) -> PathBuf {
        let folder = self.temp.join(name);
        fs::create_dir_all(&folder).expect("folder");
        folder
    }
}

/// A configuration of a proxy.
pub struct Config<'a> {
    pub name: &'a str,
    pub listen: SocketAddr,
    pub management: Option<SocketAddr>,
    pub discovery: SocketAddr,
    /// Further sections, each with a comma before it.
    pub more: String,
    pub use_cases: String,
    pub index: usize,
    pub fleet_size: usize,
}

impl Config<'_> {
    pub fn text(&self) -> String {
        let Config { name, listen, management, discovery, more, use_cases, index, fleet_size } = self;
        let management = management.map_or(String::new(), |at| format!(r#""mgmt": "{at}","#));
        format!(
            r#"{{
  "name": "{name}", "listen": "{listen}", {management} "discovery": "{discovery}", "seed": "8c1f30d27a5be96{index:x}",
  "limits": {{ "cores": 1.0, "memory_mb": 192, "sockets": 1024 }},
  "known": {{ "version": 0, "full": true, "servers": [] }},
  "settings": {{
    "index": {index}, "fleet_size": {fleet_size}, "locality": 0, "discovery": "on_request", "weights": "off",
    "zones": ["here"], "flavors": ["cache", "origin"], "realms": [],
    "specifics": {{ "mode": "aside", "origin_kind": 1 }},
    "limits": {{ "max_hand_offs": 4, "dial_timeout": 0.25, "keepalive": 10.0, "retry_after": true, "max_retry_after": 1.5 }},
    "guarantees": {{ "ask_within": 10.0, "start_capacity": 0.2, "ramp_time": 5.0, "fall": 2.0, "tip_multiple": 3.0,
      "stop_sending_within": 0.3, "grace_to_answer": 0.02 }},
    "penalties": {{ "connection": 0.0, "handshake": 0.02 }},
    "use_cases": [{use_cases}]
  }}{more}
}}"#
        )
    }
}

/// A use case of the settings.
pub fn use_case(name: &str, effect: &str, goal: f64, limit: f64) -> String {
    format!(
        r#"{{ "name": "{name}", "effect": "{effect}", "group": "all", "key_ttl": 3.0, "goal_time": {goal}, "outer_limit": {limit}, "overdue_earnings": 0.0, "earnings": 1.0, "streamed": false }}"#
    )
}
