//! Long request bodies to nodes that read them slowly, pause, or reset the connection.

use crate::support::*;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A request without an answer this long after its client's time is lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
const RECEIVE_BUFFER_BYTES: usize = 65_536; // of a connection at a slow origin
const PIECE_BYTES: usize = 65_536; // written or read at once

/// What a slow origin has received of one request.
#[derive(Clone, Debug, Default)]
struct Arrival {
    /// The time limit that it was told, in seconds.
    deadline: f64,
    /// When its last byte was read; none if the connection ended before.
    whole_at: Option<Instant>,
    /// When the connection ended in the body.
    broken_at: Option<Instant>,
}

/// How a slow origin reads the next piece of a body: called with the number of the request, from 0, and the bytes read
/// and expected.
type Pace = dyn Fn(usize, usize, usize) + Send + Sync;

/// What a slow origin does after a whole request: answers it, or resets the connection.
type Answers = dyn Fn(usize) -> bool + Send + Sync;

/// An origin with a small receive buffer that reads bodies at a given pace.
struct SlowOrigin {
    addr: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl SlowOrigin {
    fn start(
        pace: impl Fn(usize, usize, usize) + Send + Sync + 'static,
        answers: impl Fn(usize) -> bool + Send + Sync + 'static,
    ) -> SlowOrigin {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("set receive buffer");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind");
        socket.listen(128).expect("listen");
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().expect("local address");
        let arrivals = Arc::<Mutex<Vec<Arrival>>>::default();
        let (shared, pace, answers): (_, Arc<Pace>, Arc<Answers>) =
            (arrivals.clone(), Arc::new(pace), Arc::new(answers));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, pace, answers) = (shared.clone(), pace.clone(), answers.clone());
                thread::spawn(move || serve(&stream, &shared, &*pace, &*answers));
            }
        });
        SlowOrigin { addr, arrivals }
    }

    fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("not poisoned").clone()
    }
}

fn serve(mut stream: &TcpStream, arrivals: &Mutex<Vec<Arrival>>, pace: &Pace, answers: &Answers) {
    let mut reader = BufReader::new(stream);
    while let Some(head) = read_head(&mut reader) {
        let number = {
            let mut arrivals = arrivals.lock().expect("not poisoned");
            let deadline = head.header("x-deadline").and_then(|value| value.parse().ok()).expect("deadline");
            arrivals.push(Arrival { deadline, ..Arrival::default() });
            arrivals.len() - 1
        };
        let is_whole = read_body(&head, &mut reader, |read, expected| pace(number, read, expected));
        let now = Instant::now();
        let arrival = &mut arrivals.lock().expect("not poisoned")[number];
        if !is_whole {
            arrival.broken_at = Some(now);
            return;
        }
        arrival.whole_at = Some(now);
        if !answers(number) {
            let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
            return;
        }
        if stream.write_all(b"HTTP/1.1 200 -\r\nContent-Length: 4\r\n\r\ndone").is_err() {
            return;
        }
    }
}

/// Reads the head of a request.
fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.start_line).ok().filter(|bytes| *bytes > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        if line == "\r\n" {
            return Some(message);
        }
        message.headers += &line.to_lowercase();
    }
}

/// Reads a body with a length or in chunks; `pace` is called before each piece with the bytes read and expected (0 if that
/// is unknown). Whether the body came whole.
fn read_body(head: &Message, reader: &mut impl BufRead, pace: impl Fn(usize, usize)) -> bool {
    let length = head.header("content-length").map(|length| length.parse::<usize>().expect("length"));
    let (mut read, mut piece) = (0, vec![0; PIECE_BYTES]);
    let mut read_bytes = |reader: &mut dyn BufRead, count: usize| {
        let end = read + count;
        while read < end {
            pace(read, length.unwrap_or(0));
            let next = piece.len().min(end - read);
            match reader.read(&mut piece[..next]) {
                Ok(bytes) if bytes > 0 => read += bytes,
                _ => return false,
            }
        }
        true
    };
    if let Some(length) = length {
        return read_bytes(reader, length);
    }
    loop {
        let mut line = String::new();
        if !reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
            return false;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return false };
        let is_read = size == 0 || read_bytes(reader, size);
        if !is_read || !reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
}

/// How a client frames its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

/// What a client saw of its long write.
struct Outcome {
    /// How long the client would wait.
    timeout: Duration,
    /// Status of the answer; none if there was none.
    status: Option<u16>,
    /// When the client had written its last byte; none if it could not.
    written_at: Option<Instant>,
    answered_at: Instant,
}

impl Outcome {
    /// Time from the client's last byte to the answer; zero if the answer came before it.
    fn waited(&self) -> Duration {
        self.written_at.map_or(Duration::ZERO, |written| self.answered_at.saturating_duration_since(written))
    }

    /// Checks that the request got its final answer in time; returns its status.
    fn status_in_time(&self) -> u16 {
        let waited = self.waited();
        assert!(waited <= self.timeout + ANSWER_GRACE, "answer {:?} after {waited:?}", self.status);
        self.status.expect("a final answer")
    }
}

/// A long write.
#[derive(Clone, Copy)]
struct LongWrite {
    class: &'static str,
    bytes: usize,
    framing: Framing,
    timeout: Duration,
}

impl LongWrite {
    fn new(class: &'static str, bytes: usize) -> LongWrite {
        LongWrite { class, bytes, framing: Framing::Length, timeout: CLIENT_TIMEOUT }
    }

    /// Writes the request in a single go.
    fn send(&self, client: &mut Client) -> std::io::Result<()> {
        static REQUESTS: AtomicUsize = AtomicUsize::new(0);
        let id = REQUESTS.fetch_add(1, Ordering::Relaxed);
        let LongWrite { class, bytes, framing, timeout } = self;
        let header = match framing {
            Framing::Length => format!("Content-Length: {bytes}"),
            Framing::Chunks => "Transfer-Encoding: chunked".to_owned(),
        };
        client.send(&format!(
            "PUT /api/key HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline: {}\r\n\
             Idempotency-Key: m-{id}\r\n{header}\r\n\r\n",
            timeout.as_secs_f64()
        ));
        write_body(client.0.get_mut(), *bytes, *framing)
    }

    /// Writes the request in a single go, and then reads the answer.
    fn run(&self, proxy: &Proxy) -> Outcome {
        let mut client = proxy.client();
        let written_at = self.send(&mut client).is_ok().then(Instant::now);
        let status = client.read_response().map(|response| response.status());
        Outcome { timeout: self.timeout, status, written_at, answered_at: Instant::now() }
    }
}

fn write_body(stream: &mut TcpStream, bytes: usize, framing: Framing) -> std::io::Result<()> {
    let piece = vec![b'x'; PIECE_BYTES];
    for _ in 0..bytes / PIECE_BYTES {
        match framing {
            Framing::Length => stream.write_all(&piece)?,
            Framing::Chunks => {
                write!(stream, "{PIECE_BYTES:x}\r\n")?;
                stream.write_all(&piece)?;
                stream.write_all(b"\r\n")?;
            }
        }
    }
    if framing == Framing::Chunks { stream.write_all(b"0\r\n\r\n") } else { Ok(()) }
}

/// A configuration with this origin and this memory limit; request bodies may use a quarter of it.
fn config_with(origin: &SlowOrigin, memory_mb: u64) -> Value {
    let mut config = config(not_found_server().addr, origin.addr);
    config["limits"]["memory_mb"] = json!(memory_mb);
    config
}

/// A pace that stops once, after this many bytes, for `pause`.
fn pausing_after(bytes: usize, pause: Duration) -> impl Fn(usize, usize, usize) + Send + Sync {
    let has_paused = Mutex::new(false);
    move |_, read, _| {
        if read >= bytes && !std::mem::replace(&mut *has_paused.lock().expect("not poisoned"), true) {
            thread::sleep(pause);
        }
    }
}

/// The client's last byte lay unread while its node paused, and the answer came after the pause.
#[test]
fn client_of_a_streamed_write_is_answered_in_time_while_the_node_pauses() {
    for framing in [Framing::Length, Framing::Chunks] {
        // The rest of the body fits into the buffers of the proxy and the kernel, so that the client can finish.
        let origin = SlowOrigin::start(pausing_after(5 << 20, Duration::from_secs(4)), |_| true);
        let proxy = Proxy::start(&config_with(&origin, 32));
        let outcome = LongWrite { framing, ..LongWrite::new("once", 12 << 20) }.run(&proxy);
        assert!(outcome.written_at.is_some(), "{framing:?}: the client could write all");
        assert_ne!(outcome.status_in_time(), 200, "{framing:?}");
    }
}

/// With the buffer memory used up, an answer to a client that may have finished its body was due and never came.
#[test]
fn client_is_answered_in_time_where_no_memory_is_left_to_see_its_last_byte() {
    for (framing, bytes) in
        [(Framing::Length, 3 << 20), (Framing::Chunks, 3 << 20), (Framing::Chunks, 24 << 20)]
    {
        let origin = SlowOrigin::start(pausing_after(1 << 20, Duration::from_secs(30)), |_| true);
        let proxy = Proxy::start(&config_with(&origin, 4));
        let begun_at = Instant::now();
        let outcome = LongWrite { framing, ..LongWrite::new("once", bytes) }.run(&proxy);
        assert_ne!(outcome.status_in_time(), 200, "{framing:?}, {bytes} bytes");
        let took = outcome.answered_at - begun_at;
        assert!(took < Duration::from_secs(3), "{framing:?}, {bytes} bytes: {took:?}");
    }
}

/// A client that can't have finished its body was not to be turned away because its node paused.
#[test]
fn streamed_write_is_served_after_a_pause_while_its_client_is_still_sending() {
    let origin = SlowOrigin::start(pausing_after(1 << 20, Duration::from_secs(3)), |_| true);
    let proxy = Proxy::start(&config_with(&origin, 4));
    let outcome = LongWrite::new("once", 32 << 20).run(&proxy);
    assert_eq!(outcome.status_in_time(), 200);
}

/// A node was told 702 s, and its answer was passed on long after the client's time.
#[test]
fn streamed_write_of_a_class_with_late_worth_ends_with_its_client_s_time() {
    let origin = SlowOrigin::start(
        |_, _, _| (),
        |_| {
            thread::sleep(Duration::from_secs(4));
            true
        },
    );
    let mut config = config_with(&origin, 4);
    config["settings"]["use_cases"][2]["overdue_earnings"] = json!(0.25);
    let proxy = Proxy::start(&config);
    let outcome = LongWrite::new("once", 4 << 20).run(&proxy);
    assert_ne!(outcome.status_in_time(), 200);
    assert!(origin.arrivals()[0].deadline <= CLIENT_TIMEOUT.as_secs_f64(), "{:?}", origin.arrivals());
}

/// Time for which nodes drop repeats of a keyed write.
const WINDOW: Duration = Duration::from_millis(1_000);
/// Tolerance of the window on sockets.
const WINDOW_TOLERANCE: Duration = Duration::from_millis(50);

/// A configuration whose keyed class has `WINDOW` and time for a repeat after it.
fn config_with_window(origin: &SlowOrigin) -> Value {
    let mut config = config_with(origin, 64);
    let class = &mut config["settings"]["use_cases"][1];
    (class["key_ttl"], class["goal_time"], class["outer_limit"]) =
        (json!(WINDOW.as_secs_f64()), json!(3.0), json!(5.0));
    config
}

/// A keyed write whose first attempt is reset after it has run, and whose repeat is read at this pace, called with the
/// bytes read. Returns the status of the answer, and how long after the first attempt's last byte the repeat's came.
fn repeat_long_write(bytes: usize, pace: impl Fn(usize) + Send + Sync + 'static) -> (u16, Option<Duration>) {
    let pace_of_repeat = move |number, read, _| {
        if number > 0 {
            pace(read);
        }
    };
    let origin = SlowOrigin::start(pace_of_repeat, |number| number > 0);
    let proxy = Proxy::start(&config_with_window(&origin));
    let write = LongWrite { timeout: Duration::from_secs(5), ..LongWrite::new("write", bytes) };
    let status = write.run(&proxy).status_in_time();
    // For what may still be on its way to the origin.
    thread::sleep(2 * WINDOW);
    let arrivals = origin.arrivals();
    let first = arrivals[0].whole_at.expect("the first attempt came whole");
    let repeat = arrivals.get(1).and_then(|repeat| repeat.whole_at);
    (status, repeat.map(|repeat| repeat - first))
}

/// A repeat that was read slowly ended after the window, and the write ran twice.
#[test]
fn repeat_of_a_long_write_does_not_end_after_the_window_for_repeats() {
    let bytes = 8 << 20;
    // Evenly over 1.5 s; and fast, with a pause over the window's end before the last part of the body.
    let begun_at = Mutex::new(None);
    let evenly = move |read: usize| {
        let begun_at = *begun_at.lock().expect("not poisoned").get_or_insert_with(Instant::now);
        let due = begun_at + Duration::from_millis(1_500).mul_f64(read as f64 / bytes as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    };
    let pause = pausing_after(bytes - (1 << 20), 2 * WINDOW);
    let with_a_pause = move |read| pause(1, read, bytes);
    for (status, repeat_after) in [repeat_long_write(bytes, evenly), repeat_long_write(bytes, with_a_pause)] {
        let in_window = repeat_after.is_none_or(|after| after <= WINDOW + WINDOW_TOLERANCE);
        assert!(in_window, "the repeat's last byte came {repeat_after:?} after the first attempt's");
        assert_eq!(status, 502, "no refusal, which would invite a retry after the window");
    }
}

/// A repeat that is through within the window has to be served.
#[test]
fn repeat_of_a_long_write_within_the_window_is_served() {
    let bytes = 8 << 20;
    let (status, repeat_after) = repeat_long_write(bytes, move |read| {
        if read > 0 && read % (1 << 20) == 0 {
            thread::sleep(Duration::from_millis(50));
        }
    });
    assert_eq!(status, 200);
    assert!(repeat_after.is_some());
}

/// The kernel went on sending what was queued of a write that had been given up, and the node ran it after the answer.
#[test]
fn write_that_was_given_up_does_not_come_whole_to_its_node_afterwards() {
    for class in ["write", "once"] {
        let origin = SlowOrigin::start(pausing_after(6 << 20, Duration::from_millis(1_800)), |_| true);
        let proxy = Proxy::start(&config_with(&origin, 64));
        let outcome = LongWrite::new(class, 8 << 20).run(&proxy);
        assert_eq!(outcome.status_in_time(), 503, "{class}: it did not run, and does not run later");
        thread::sleep(Duration::from_millis(2_500));
        assert!(origin.arrivals()[0].whole_at.is_none(), "{class}: {:?}", origin.arrivals());
    }
}

/// A node got the rest of a long write, and ran it, long after the client had closed its connection.
#[test]
fn long_write_of_a_client_that_has_left_does_not_come_whole_to_its_node() {
    let origin = SlowOrigin::start(pausing_after(6 << 20, Duration::from_millis(1_200)), |_| true);
    let proxy = Proxy::start(&config_with_window(&origin));
    let mut client = proxy.client();
    let write = LongWrite { timeout: Duration::from_secs(5), ..LongWrite::new("write", 8 << 20) };
    write.send(&mut client).expect("write all");
    thread::sleep(Duration::from_millis(300));
    drop(client);
    thread::sleep(Duration::from_millis(1_800));
    assert!(origin.arrivals()[0].whole_at.is_none(), "{:?}", origin.arrivals());
}

/// A node that took a long write piece by piece held its client beyond its time, and ran the write after the answer.
#[test]
fn long_write_to_a_node_that_reads_at_a_trickle_is_answered_in_time_and_does_not_run_later() {
    let (bytes, slow_bytes) = (8 << 20, 768 << 10);
    for (slow_from, memory_mb) in [(0, 64), (bytes / 2, 64), (bytes - slow_bytes, 64), (0, 8), (bytes / 2, 8)]
    {
        let trickle = move |_, read: usize, _| {
            if (slow_from..slow_from + slow_bytes).contains(&read) {
                thread::sleep(Duration::from_millis(150));
            }
        };
        let origin = SlowOrigin::start(trickle, |_| true);
        let proxy = Proxy::start(&config_with(&origin, memory_mb));
        let status = LongWrite::new("once", bytes).run(&proxy).status_in_time();
        thread::sleep(Duration::from_millis(1_800));
        let has_run = origin.arrivals()[0].whole_at.is_some();
        let case = format!("slow from byte {slow_from}, {memory_mb} MB");
        assert_eq!(status, if has_run { 200 } else { 503 }, "{case}");
        // With little memory the client is still sending while the node is slow, and its time does not run.
        assert!(!has_run || memory_mb < 64, "{case}");
    }
}

/// Clients whose writes share the buffer memory, some of them while the process stops, were not answered in time.
#[test]
fn clients_of_several_streamed_writes_are_answered_in_time_during_a_shutdown() {
    let origin = SlowOrigin::start(
        |_, read, _| thread::sleep(Duration::from_secs(if read >= 2 << 20 { 30 } else { 0 })),
        |_| true,
    );
    let proxy = Proxy::start(&config_with(&origin, 32));
    thread::scope(|scope| {
        for framing in [Framing::Length, Framing::Chunks, Framing::Length, Framing::Chunks] {
            let proxy = &proxy;
            scope.spawn(move || {
                let write = LongWrite { framing, ..LongWrite::new("once", 12 << 20) };
                assert_ne!(write.run(proxy).status_in_time(), 200, "{framing:?}");
            });
        }
        thread::sleep(Duration::from_millis(300));
        proxy.signal("-TERM");
    });
}

/// A node that took nothing more of a write could hold its client, which can't finish, for more than eleven minutes.
#[test]
fn node_that_takes_nothing_more_of_a_streamed_write_is_given_up() {
    let origin = SlowOrigin::start(pausing_after(1 << 20, Duration::from_secs(60)), |_| true);
    let proxy = Proxy::start(&config_with(&origin, 4));
    let begun_at = Instant::now();
    let outcome = LongWrite::new("once", 32 << 20).run(&proxy);
    assert_eq!(outcome.status_in_time(), 503);
    let took = outcome.answered_at - begun_at;
    assert!(took > Duration::from_secs(9) && took < Duration::from_secs(12), "{took:?}");
}
