//! Stand-ins for clients, servers, discovery and the platform, and the record of what was seen.
//! Standard library only; every address is a loopback address.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Writes `record.txt`: each line with the seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}\n", self.seconds(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// A message's head: its first line and its header fields in lower case.
pub struct Head {
    pub first_line: String,
    pub fields: BTreeMap<String, String>,
}

impl Head {
    /// Reads a head; none if the connection ended before it.
    pub fn read(from: &mut impl BufRead) -> io::Result<Option<Head>> {
        let mut first_line = String::new();
        if from.read_line(&mut first_line)? == 0 {
            return Ok(None);
        }
        let mut fields = BTreeMap::new();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                fields.insert(name.trim().to_lowercase(), value.trim().to_owned());
            }
        }
        Ok(Some(Head { first_line: first_line.trim_end().to_owned(), fields }))
    }
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
    pub fn length(&self) -> usize {
        self.field("content-length").parse().unwrap_or(0)
    }
    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").eq_ignore_ascii_case("chunked")
    }
    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a whole body by its length or its chunks; calls `progress` with the bytes read so far.
pub fn read_body(head: &Head, from: &mut impl BufRead, mut progress: impl FnMut(usize)) -> io::Result<Vec<u8>> {
    let (mut body, mut piece) = (Vec::new(), vec![0; 65_536]);
    if !head.is_chunked() {
        let length = head.length();
        while body.len() < length {
            let want = piece.len().min(length - body.len());
            let count = from.read(&mut piece[..want])?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&piece[..count]);
            progress(body.len());
        }
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let size = line.trim().split(';').next().unwrap_or("");
        let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        if size == 0 {
            from.read_exact(&mut chunk)?;
            return Ok(body);
        }
        from.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        progress(body.len());
    }
}

extern "C" {
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(descriptor: i32, command: i32, argument: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Like `start_server`, with a receive buffer of this size for each connection (SO_RCVBUF).
pub fn start_server_with_buffer(
    receive_bytes: i32,
    serve: impl Fn(TcpStream, u64) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    // SAFETY: the descriptor is open, and the value is an `int` of the length that is told (SOL_SOCKET, SO_RCVBUF).
    if unsafe { setsockopt(listener.as_raw_fd(), 1, 8, &receive_bytes, 4) } != 0 {
        return Err(io::Error::last_os_error());
    }
    serve_listener(listener, serve)
}

/// Lets the socket's close reset the connection (SO_LINGER with no time).
pub fn reset_at_close(stream: &TcpStream) {
    let linger: [i32; 2] = [1, 0];
    // SAFETY: the descriptor is open, and the value is a `struct linger` of two `int`s.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

/// A server on a free loopback port; each connection is served by `serve` on a thread of its own.
pub fn start_server(serve: impl Fn(TcpStream, u64) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    serve_listener(TcpListener::bind("127.0.0.1:0")?, serve)
}

fn serve_listener(
    listener: TcpListener,
    serve: impl Fn(TcpStream, u64) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let (addr, serve) = (listener.local_addr()?, Arc::new(serve));
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream, number as u64));
        }
    });
    Ok(addr)
}

/// Answers with a status, header lines (each with its line end) and a body with its length.
pub fn respond(mut to: &TcpStream, status: u16, fields: &str, body: &[u8]) -> io::Result<()> {
    let mut message = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    to.write_all(&message)
}

/// Discovery with a list that does not change: whole list, or a watch that ends without changes.
pub fn start_discovery(servers: String) -> io::Result<SocketAddr> {
    start_server(move |stream, _| {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let number = |name: &str| -> Option<u64> {
                let at = head.first_line.find(name)? + name.len();
                head.first_line[at..].split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
            };
            let body = match number("since=") {
                Some(since) if since >= 1 => {
                    thread::sleep(Duration::from_millis(number("timeout_ms=").unwrap_or(0).min(60_000)));
                    r#"{"version":1,"full":false,"servers":[]}"#.to_owned()
                }
                _ => format!(r#"{{"version":1,"full":true,"servers":[{servers}]}}"#),
            };
            if respond(&stream, 200, "Content-Type: application/json\r\n", body.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// An entry of discovery's list.
pub fn entry(id: &str, addr: SocketAddr, kind: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"milano","kind":"{kind}","cell":0,"state":"ready","weight":1.0,"started_ms":0}}"#
    )
}

/// A port that was free a moment ago.
pub fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The settings of a small deployment (padana-loggers, by the wire page's example), with its use cases as given.
pub fn settings(use_cases: &str) -> String {
    format!(
        r#"{{"clients":{{"marks_retry":false}},"discovery":"on_request","earnings_per":"work","family":"cache",
"flavors":["single-core","origin"],"fleet_size":1,
"goal":{{"whole":0.45,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.35}},
"guarantees":{{"ask_within":10.0,"fall":2.0,"grace_to_answer":0.02,"ramp_time":24.0,"start_capacity":0.2,"stop_sending_within":0.3,"tip_multiple":3.0}},
"index":0,
"limits":{{"cancelling":true,"cpu_us_per_request":0.0,"cpu_us_per_s":57579,"dial_timeout":0.25,"keepalive":10.0,"max_hand_offs":4,"max_open":23031,"max_retry_after":1.5,"max_streams":1,"parallel_tries":false,"peer_messages":true,"probes":true,"retry_after":true}},
"load_report":{{"fields":[],"how":"off"}},"locality":0,
"penalties":{{"connection":0.0,"cross_zone":0.03,"discovery":0.0,"handshake":0.02,"late_fail":0.08,"moves":0.0,"origin":0.0,"peer":0.008,"probe":0.01,"waste":0.031}},
"period":0.005,"realms":[],
"specifics":{{"mode":"aside","origin_fall":3.0,"origin_fall_multiple":2.5,"origin_kind":1}},
"stage":0,"surplus_earnings":0.1,"tiers":["logger-cache"],
"use_cases":[{use_cases}],"weights":"off","zones":["milano","torino","bologna"]}}"#
    )
}

/// The use cases of padana-loggers.
pub const PADANA: &str = r#"{"earnings":1.0,"effect":"safe","goal_time":0.6,"group":"all","key_ttl":5.0,"name":"reading","outer_limit":1.2,"overdue_earnings":0.0,"streamed":false},
{"earnings":2.0,"effect":"keyed","goal_time":0.6,"group":"all","key_ttl":3.0,"name":"settings","outer_limit":1.5,"overdue_earnings":0.0,"streamed":false}"#;

/// A proxy, started by the deploy file's `run` command.
pub struct Proxy {
    pub addr: SocketAddr,
    pub child: Child,
    folder: PathBuf,
    /// Its second address, which tells whether this process is ready.
    second: SocketAddr,
}

/// The deploy file's `run` command.
fn run_command(root: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).unwrap_or_default();
    let quoted = line.split_once('"').and_then(|(_, rest)| rest.rsplit_once('"')).map_or("", |(run, _)| run);
    Ok(quoted.replace("\\\"", "\"").replace("\\\\", "\\"))
}

impl Proxy {
    /// Starts it at an address of its own and waits until it is ready.
    pub fn start(
        root: &Path,
        discovery: SocketAddr,
        servers: &str,
        settings: &str,
        memory_mb: u32,
        log: &Path,
    ) -> io::Result<Proxy> {
        let addr = free_addr()?;
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), addr.port()));
        Proxy::start_in(root, &folder, addr, None, discovery, servers, settings, memory_mb, log)
    }

    /// Starts it with this folder, and with the clients' socket that the platform holds, if there is one. `$TMPDIR` lies
    /// in the folder and is the same for all processes that get this folder.
    #[allow(clippy::too_many_arguments)]
    pub fn start_in(
        root: &Path,
        folder: &Path,
        addr: SocketAddr,
        held: Option<&TcpListener>,
        discovery: SocketAddr,
        servers: &str,
        settings: &str,
        memory_mb: u32,
        log: &Path,
    ) -> io::Result<Proxy> {
        let folder = folder.to_owned();
        let scratch = folder.join("tmp");
        std::fs::create_dir_all(&scratch)?;
        let config = folder.join("config.json");
        let second = free_addr()?;
        std::fs::write(
            &config,
            format!(
                r#"{{"name":"n0","listen":"{addr}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":512}},
"known":{{"version":1,"full":true,"servers":[{servers}]}},"settings":{settings}}}"#
            ),
        )?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command(root)?)
            .current_dir(root)
            .env_remove("EDGE_LISTEN_FD")
            .env("EDGE_NAME", "n0")
            .env("EDGE_LISTEN", addr.to_string())
            .env("EDGE_DISCOVERY", discovery.to_string())
            .env("EDGE_CONFIG", &config)
            .env("EDGE_MGMT", second.to_string())
            .env("TMPDIR", &scratch)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log)?);
        let held = held.map(AsRawFd::as_raw_fd);
        if held.is_some() {
            command.env("EDGE_LISTEN_FD", "3");
        }
        // SAFETY: only calls that are allowed between fork and exec.
        unsafe {
            command.pre_exec(move || {
                // PR_SET_PDEATHSIG, SIGKILL: the proxy ends with this test, however that ends.
                let done = prctl(1, 9) == 0
                    && match held {
                        Some(3) => fcntl(3, 2, 0) == 0, // F_SETFD without FD_CLOEXEC
                        Some(held) => dup2(held, 3) == 3,
                        None => true,
                    };
                if done { Ok(()) } else { Err(io::Error::last_os_error()) }
            });
        }
        let child = command.spawn()?;
        let mut proxy = Proxy { addr, child, folder, second };
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            if proxy.child.try_wait()?.is_some() {
                return Err(io::Error::other("the proxy ended at its start"));
            }
            if proxy.is_ready() {
                return Ok(proxy);
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the proxy was not ready within 30 s"))
    }
    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(self.second)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n")?;
            Ok(Head::read(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }
    /// Leaves its folder to another process.
    pub fn leave_folder(&mut self) {
        self.folder = PathBuf::new();
    }
    /// Sends SIGTERM to the process that `run` started.
    pub fn terminate(&self) {
        // SAFETY: a plain system call, on a child that was not waited for yet.
        unsafe { kill(self.child.id() as i32, 15) };
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if self.folder != Path::new("") {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Arguments of a case: its folder, the repository's root, and whether the disruption is on.
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub trouble: bool,
    pub record: Record,
}

/// Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
pub fn run_case(case: impl FnOnce(&Case) -> io::Result<bool> + Send + 'static) -> ! {
    let mut args = std::env::args().skip(1).map(PathBuf::from);
    let (Some(root), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: CASE ROOT FOLDER");
        std::process::exit(2)
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = Record::create(&folder.join("record.txt")).and_then(|record| {
        let case_data = Case { root, folder, trouble, record: record.clone() };
        record.line(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
        let result = thread::spawn(move || case(&case_data)).join();
        let result = result.unwrap_or_else(|_| Err(io::Error::other("the case panicked")));
        match &result {
            Ok(true) => record.line("RULE BROKEN"),
            Ok(false) => record.line("rule held"),
            Err(error) => record.line(format!("could not run: {error}")),
        }
        result
    });
    std::process::exit(match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(error) => {
            eprintln!("could not run: {error}");
            2
        }
    })
}
