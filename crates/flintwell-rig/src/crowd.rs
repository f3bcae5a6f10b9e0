//! Crowds of bad clients of one proxy: many connections that write or read slowly, stop half way or send unusual requests. A
//! client whose connection ends comes back at once, so that a proxy that is restarted meets all of them together.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout_at};

const RETURN_DELAY: Duration = Duration::from_millis(20); // until a client connects again whose connection has ended
const REFUSED_DELAY: Duration = Duration::from_millis(250); // the same after a response that refused its request
const TRANSFER_INTERVAL: Duration = Duration::from_millis(100); // between parts of a slow transfer
const TRANSFER_PART_BYTES: usize = 7_000; // 70 KB/s
const RECEIVE_BUFFER_BYTES: u32 = 65_536; // of a client that reads slowly; its kernel holds little more
const LONG_BODY_BYTES: u64 = 8 << 20;
const LONG_RESPONSE_BYTES: u64 = 16 << 20;
const MIN_STALLED_BODY_BYTES: u64 = 200_000;
const FIELD_COUNTS: std::ops::RangeInclusive<u32> = 90..=1_800; // of a head with many short fields
const FIELDS_PER_PART: u32 = 50;
const FIELD_PART_INTERVAL: Duration = Duration::from_millis(50);
const SMALL_CHUNKS_PER_PART: usize = 100;
const SMALL_CHUNK_INTERVAL: Duration = Duration::from_millis(20);
const DEADLINE_S: f64 = 3.0; // the clients' deadline for the response
const MAX_HEAD_BYTES: usize = 16_384; // of a response

/// What a client of a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum CrowdKind {
    /// Writes a long body slowly.
    SlowWriter,
    /// Stops in the middle of a long body and stays.
    StalledWriter,
    /// Sends a head of many short fields, in parts.
    ManyFields,
    /// Reads a long response slowly.
    SlowReader,
    /// Reads a long response slowly that is sent in small chunks, without a length.
    SlowUnsizedReader,
    /// Writes a body without a length in chunks of a few bytes.
    SmallChunkWriter,
    /// Sends unsound requests at full speed, under ever new names.
    Unsound,
    /// Sends nothing.
    Silent,
}

impl CrowdKind {
    /// All kinds.
    pub const ALL: [CrowdKind; 8] = [
        CrowdKind::SlowWriter,
        CrowdKind::StalledWriter,
        CrowdKind::ManyFields,
        CrowdKind::SlowReader,
        CrowdKind::SlowUnsizedReader,
        CrowdKind::SmallChunkWriter,
        CrowdKind::Unsound,
        CrowdKind::Silent,
    ];
}

/// What the clients of a crowd have observed.
#[derive(Debug, Default)]
pub struct CrowdTally {
    /// Responses with status 200 whose head was received.
    pub served: AtomicU64,
    /// Responses with another status.
    pub refused: AtomicU64,
    /// Connections that were closed without a response, after a request or a part of one.
    pub unanswered: AtomicU64,
    /// Responses with status 200 that ended early, apart from those of a process that was killed.
    pub cut_off: AtomicU64,
    /// Number of times that the proxy was killed.
    kills: AtomicU64,
}

impl CrowdTally {
    /// The proxy is killed: responses in progress end early.
    pub fn on_kill(&self) {
        count(&self.kills);
    }

    fn kills(&self) -> u64 {
        self.kills.load(Ordering::Relaxed)
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// A crowd of clients of the proxy at one address; dropping it ends them.
pub struct Crowd {
    tasks: Vec<JoinHandle<()>>,
    pub tally: Arc<CrowdTally>,
}

impl Crowd {
    /// Starts `clients` clients, of each kind in turn.
    pub fn start(addr: SocketAddr, kinds: &[CrowdKind], clients: usize, seed: u64, until: Instant) -> Self {
        let tally = Arc::<CrowdTally>::default();
        let tasks = kinds.iter().cycle().take(clients).enumerate().map(|(number, &kind)| {
            let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(number as u64));
            let client =
                Client { addr, kind, number, requests: 0, is_refused: false, rng, tally: tally.clone() };
            tokio::spawn(client.run(until))
        });
        Crowd { tasks: tasks.collect(), tally }
    }

    /// Waits until all clients have ended.
    pub async fn join(&mut self) {
        for task in std::mem::take(&mut self.tasks) {
            let _ = task.await;
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// One client of a crowd.
struct Client {
    addr: SocketAddr,
    kind: CrowdKind,
    number: usize,
    requests: u64,
    /// Its last request was answered and not served.
    is_refused: bool,
    rng: ChaCha8Rng,
    tally: Arc<CrowdTally>,
}

impl Client {
    async fn run(mut self, until: Instant) {
        while Instant::now() < until {
            // An error is the end of a connection, which the tally has counted.
            self.is_refused = false;
            let _ = timeout_at(until.into(), self.connect_and_serve()).await;
            sleep(if self.is_refused { REFUSED_DELAY } else { RETURN_DELAY }).await;
        }
    }

    async fn connect_and_serve(&mut self) -> io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        if matches!(self.kind, CrowdKind::SlowReader | CrowdKind::SlowUnsizedReader) {
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        }
        let mut stream = socket.connect(self.addr).await?;
        stream.set_nodelay(true)?;
        self.requests += 1;
        match self.kind {
            CrowdKind::SlowWriter => self.write_slowly(&mut stream).await,
            CrowdKind::StalledWriter => self.stall(&mut stream).await,
            CrowdKind::ManyFields => self.send_many_fields(&mut stream).await,
            CrowdKind::SlowReader => self.read_slowly(&mut stream, "long").await,
            CrowdKind::SlowUnsizedReader => self.read_slowly(&mut stream, "unsized").await,
            CrowdKind::SmallChunkWriter => self.write_small_chunks(&mut stream).await,
            CrowdKind::Unsound => self.send_unsound(&mut stream).await,
            CrowdKind::Silent => stream.read(&mut [0]).await.map(|_| ()),
        }
    }

    fn id(&self) -> String {
        format!("crowd-{}-{}-{:x}", self.number, self.requests, self.addr.port())
    }

    /// The start of a request, without the end of its head.
    fn head(&self, method: &str, path: &str, class: &str) -> String {
        let id = self.id();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
             X-Deadline: {DEADLINE_S:.3}\r\nIdempotency-Key: m-{id}\r\n"
        )
    }

    /// Writes until the proxy answers or closes, then reads the response.
    async fn write_parts(
        &mut self,
        stream: &mut TcpStream,
        mut parts: impl FnMut(&mut ChaCha8Rng) -> Option<Vec<u8>>,
        interval: Duration,
    ) -> io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let rng = &mut self.rng;
        let write = async {
            while let Some(part) = parts(rng) {
                writer.write_all(&part).await?;
                sleep(interval).await;
            }
            std::future::pending::<io::Result<()>>().await
        };
        let tally = self.tally.clone();
        let read = async {
            let mut head = Vec::new();
            let status = read_head(&mut reader, &mut head).await;
            count(match status {
                Ok(200) => &tally.served,
                Ok(_) => &tally.refused,
                Err(_) => &tally.unanswered,
            });
            status
        };
        let status = tokio::select! {
            status = read => status?,
            // The proxy may have answered before it stopped reading.
            result = write => return result,
        };
        self.is_refused = status != 200;
        Ok(())
    }

    async fn write_slowly(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let head = self.head("PUT", &format!("/api/w{}", self.number), "write");
        stream.write_all(format!("{head}Content-Length: {LONG_BODY_BYTES}\r\n\r\n").as_bytes()).await?;
        let mut remaining = LONG_BODY_BYTES as usize;
        let part = move |_: &mut ChaCha8Rng| {
            let bytes = remaining.min(TRANSFER_PART_BYTES);
            remaining -= bytes;
            (bytes > 0).then(|| vec![b'w'; bytes])
        };
        self.write_parts(stream, part, TRANSFER_INTERVAL).await
    }

    async fn stall(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let length = self.rng.random_range(MIN_STALLED_BODY_BYTES..=LONG_BODY_BYTES);
        let head = self.head("PUT", &format!("/api/s{}", self.number), "write");
        stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n").as_bytes()).await?;
        let mut sent = false;
        let part = move |_: &mut ChaCha8Rng| {
            (!std::mem::replace(&mut sent, true)).then(|| vec![b's'; (length / 2) as usize])
        };
        self.write_parts(stream, part, Duration::ZERO).await
    }

    async fn send_many_fields(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let head = self.head("GET", &format!("/api/f{}", self.number), "read");
        stream.write_all(head.as_bytes()).await?;
        let fields = self.rng.random_range(FIELD_COUNTS);
        let mut sent = 0;
        let part = move |_: &mut ChaCha8Rng| {
            if sent > fields {
                return None;
            }
            let until = (sent + FIELDS_PER_PART).min(fields);
            let mut part: String = (sent..until).map(|n| format!("f{n}: 1\r\n")).collect();
            sent = until;
            if sent == fields {
                part += "\r\n";
                sent += 1;
            }
            Some(part.into_bytes())
        };
        self.write_parts(stream, part, FIELD_PART_INTERVAL).await
    }

    async fn write_small_chunks(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let head = self.head("PUT", &format!("/api/c{}", self.number), "write");
        stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).await?;
        let part = |rng: &mut ChaCha8Rng| {
            let chunk = |bytes: usize| format!("{bytes:x}\r\n{}\r\n", "c".repeat(bytes));
            let part: String = (0..SMALL_CHUNKS_PER_PART).map(|_| chunk(rng.random_range(1..=7))).collect();
            Some(part.into_bytes())
        };
        self.write_parts(stream, part, SMALL_CHUNK_INTERVAL).await
    }

    async fn send_unsound(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let (number, addr, rng) = (self.number, self.addr, &mut self.rng);
        let mut discarded = vec![0; MAX_HEAD_BYTES];
        let write = async {
            loop {
                let id: u64 = rng.random();
                let text = match rng.random_range(0..4) {
                    0 => format!("GET /api/u{id} HTTP/1.1\r\nX-Request-Id: u{id}\r\nX-Class: no\r\n\r\n"),
                    1 => format!("GET /api/u{id} HTTP/1.1\r\nX-Class: read\r\nX-Deadline: x{number}\r\n\r\n"),
                    2 => format!(
                        "GET /api/{id} HTTP/1.1\r\nHost: {addr}\r\nX-Request-Id: u{id}\r\nX-Class: read\r\nX-Deadline: 1\r\n\r\n"
                    ),
                    _ => format!("BREW /{id} HTTP/9\r\n\r\n"),
                };
                writer.write_all(text.as_bytes()).await?;
            }
        };
        let read = async {
            while reader.read(&mut discarded).await? > 0 {}
            io::Result::Ok(())
        };
        tokio::select! {
            result = read => result,
            result = write => result,
        }
    }

    async fn read_slowly(&mut self, stream: &mut TcpStream, kind: &str) -> io::Result<()> {
        let kills_before = self.tally.kills();
        let path = format!("/api/{kind}-{LONG_RESPONSE_BYTES}-{}-{}", self.number, self.requests);
        stream.write_all(format!("{}\r\n", self.head("GET", &path, "read")).as_bytes()).await?;
        let mut body = Vec::new();
        let status = read_head(stream, &mut body).await.inspect_err(|_| count(&self.tally.unanswered))?;
        if status != 200 {
            count(&self.tally.refused);
            self.is_refused = true;
            return Ok(());
        }
        count(&self.tally.served);
        let (mut received, mut part) = (body.len() as u64, vec![0; TRANSFER_PART_BYTES]);
        while received < LONG_RESPONSE_BYTES {
            let bytes = stream.read(&mut part).await.unwrap_or(0);
            if bytes == 0 {
                if self.tally.kills() == kills_before {
                    count(&self.tally.cut_off);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            received += bytes as u64;
            sleep(TRANSFER_INTERVAL).await;
        }
        Ok(())
    }
}

/// Reads the head of a response: its status. What follows the head is left in `rest`.
async fn read_head(stream: &mut (impl AsyncReadExt + Unpin), rest: &mut Vec<u8>) -> io::Result<u16> {
    let mut buffer = Vec::new();
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let status =
                buffer.split(|byte| *byte == b' ').nth(1).and_then(|status| std::str::from_utf8(status).ok());
            *rest = buffer[end + 4..].to_vec();
            return status
                .and_then(|status| status.parse().ok())
                .ok_or_else(|| io::ErrorKind::InvalidData.into());
        }
        if buffer.len() > MAX_HEAD_BYTES || stream.read_buf(&mut buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
