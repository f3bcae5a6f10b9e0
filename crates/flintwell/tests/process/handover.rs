//! Handover of open responses from one process to its successor.

use crate::operations::{TempDirectory, inheriting, served_by};
use crate::streams::memory;
use crate::support::*;
use serde_json::{Value, json};
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::sync::LazyLock;
use std::thread;
use std::time::{Duration, Instant};
use tokio_seqpacket::ancillary::AncillaryMessageWriter;
use tokio_seqpacket::{UnixSeqpacket, UnixSeqpacketListener};

const LONG_BODY_BYTES: usize = 8 << 20;
const BLOCK_BYTES: usize = 65_536;

/// The long body. Blocks differ from one another and neighbouring bytes differ, so that a lost or repeated byte changes
/// the hash.
static BODY: LazyLock<Vec<u8>> = LazyLock::new(|| {
    let first: Vec<u8> = (0..BLOCK_BYTES).map(|n| (n ^ n >> 8) as u8).collect();
    let rotated = |n: usize| [&first[n * 7..], &first[..n * 7]].concat();
    (0..LONG_BODY_BYTES / BLOCK_BYTES).flat_map(rotated).collect()
});

fn send_with_length(mut to: &TcpStream) -> std::io::Result<()> {
    write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n")?;
    to.write_all(&BODY)
}

fn send_chunked(mut to: &TcpStream) -> std::io::Result<()> {
    write!(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    // Chunk boundaries that match no buffer size.
    for part in BODY.chunks(10_007) {
        write!(to, "{:X};n=1\r\n", part.len())?;
        to.write_all(part)?;
        write!(to, "\r\n")?;
    }
    write!(to, "0\r\nx-end: 1\r\n\r\n")
}

/// Status of a response, number and hash of its body bytes, and whether the body was complete by its framing.
type ReadResult = (u16, usize, u64, bool);

/// Requests a long response and reads it slowly. A 503 is retried, since many readers at once overload the nodes.
fn read_slowly(addr: SocketAddr, id: &str, pause: Duration) -> ReadResult {
    let mut attempts = (0..8).map(|n| {
        thread::sleep(Duration::from_millis(n * 50));
        read_once(addr, &format!("{id}-{n}"), pause)
    });
    attempts.find(|result| result.0 != 503).expect("response")
}

fn read_once(addr: SocketAddr, id: &str, pause: Duration) -> ReadResult {
    let mut client = Client::connect(addr);
    client.send_request("read", id);
    let from = &mut client.0;
    let (mut line, mut chunked, mut length, mut status) = (String::new(), false, 0, 0);
    while from.read_line(&mut line).is_ok_and(|bytes| bytes > 2) {
        status = if status == 0 { line[9..12].parse().expect("status") } else { status };
        let head = line.to_lowercase();
        chunked |= head.contains("chunked");
        length = head.strip_prefix("content-length: ").map_or(length, |n| n.trim().parse().expect("length"));
        line.clear();
    }
    let (mut hash, mut received, mut buffer) = (DefaultHasher::new(), 0, vec![0; BLOCK_BYTES]);
    let mut read_bytes = |from: &mut BufReader<TcpStream>, mut left: usize| {
        while left > 0 {
            let max = left.min(BLOCK_BYTES);
            let Some(bytes) = from.read(&mut buffer[..max]).ok().filter(|n| *n > 0) else { return false };
            hash.write(&buffer[..bytes]);
            (left, received) = (left - bytes, received + bytes);
            thread::sleep(pause.mul_f64(bytes as f64 / BLOCK_BYTES as f64));
        }
        true
    };
    let is_complete = if !chunked {
        read_bytes(from, length)
    } else {
        loop {
            line.clear();
            if from.read_line(&mut line).is_err() || !line.ends_with("\r\n") {
                break false;
            }
            let size = usize::from_str_radix(line.trim(), 16).expect("size");
            if size == 0 {
                break true;
            }
            if !read_bytes(from, size) || from.read_exact(&mut [0; 2]).is_err() {
                break false;
            }
        }
    };
    (status, received, hash.finish(), is_complete)
}

/// Hash of the first `length` bytes of the long body.
fn hash_of(length: usize) -> u64 {
    let mut hash = DefaultHasher::new();
    hash.write(&BODY[..length]);
    hash.finish()
}

/// A cache that sends the long body for some keys.
fn long_response_server() -> StubServer {
    StubServer::start(|message, _| match message.start_line.as_str() {
        line if line.contains("sized") => Action::Write(send_with_length),
        line if line.contains("chunks") => Action::Write(send_chunked),
        _ => Action::Respond(200, "value"),
    })
}

fn settings(cache: &StubServer) -> Value {
    let mut config = config(cache.addr, not_found_server().addr);
    config["limits"]["sockets"] = json!(1_024);
    config
}

/// Number of open descriptors of a process.
fn descriptors(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).map_or(0, Iterator::count)
}

/// Starts clients that each read a long response over some seconds.
fn start_readers(addr: SocketAddr, count: usize) -> Vec<thread::JoinHandle<ReadResult>> {
    let reader = |n: usize| {
        let id = format!("{}-{n}", if n.is_multiple_of(2) { "sized" } else { "chunks" });
        thread::spawn(move || read_slowly(addr, &id, Duration::from_millis(35)))
    };
    (0..count).map(reader).collect()
}

/// Asserts that each client received an unchanged prefix of the body; returns how many received all of it.
fn check_bodies(readers: Vec<thread::JoinHandle<ReadResult>>) -> usize {
    let mut complete = 0;
    for reader in readers {
        let (status, received, hash, is_complete) = reader.join().expect("client thread");
        assert!(
            status == 200 && received <= LONG_BODY_BYTES && (!is_complete || received == LONG_BODY_BYTES),
            "status {status}, {received} bytes"
        );
        assert_eq!(hash, hash_of(received), "bytes lost or repeated among {received}");
        complete += usize::from(is_complete);
    }
    complete
}

#[test]
fn open_responses_are_handed_over_to_the_successor() {
    let (cache, directory) = (long_response_server(), TempDirectory::new());
    let (config, socket) = (settings(&cache), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let addr = socket.local_addr().expect("local address");
    let (old, _) = served_by(&socket, &config, &directory.0);
    let slow = start_readers(addr, 66);
    let quick: Vec<_> = (0..134)
        .map(|n| {
            let until = Instant::now() + Duration::from_secs(3);
            thread::spawn(move || {
                (0..).take_while(|_| Instant::now() < until).fold(0, |failed, k| {
                    let is_answered = |addr| {
                        let mut client = Client::connect(addr);
                        client.send_request("read", &format!("q{n}-{k}"));
                        // A 503 counts as answered.
                        client.read_response().is_some_and(|response| matches!(response.status(), 200 | 503))
                    };
                    thread::sleep(Duration::from_millis(20));
                    failed + usize::from(!is_answered(addr) && !is_answered(addr))
                })
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    let (new, at) = served_by(&socket, &config, &directory.0);
    old.signal("-TERM");
    let max_descriptors = std::cell::Cell::new(0);
    // The old process ends once it has no open response left.
    let old = std::cell::RefCell::new(old);
    wait_until("all responses are handed over", || {
        max_descriptors.set(max_descriptors.get().max(descriptors(&old.borrow()) + descriptors(&new)));
        old.borrow_mut().child.try_wait().expect("query state").is_some_and(|status| status.success())
    });
    assert!(max_descriptors.get() <= 1_024, "both processes together stay within the limit");
    assert!(slow.iter().any(|reader| !reader.is_finished()), "clients still read after the handover");
    assert_eq!(check_bodies(slow), 66);
    assert_eq!(quick.into_iter().map(|client| client.join().expect("client thread")).sum::<usize>(), 0);
    wait_until("no request in flight", || metrics(at)["in_progress"] == json!(0));
    assert!(
        metrics(at)["passed"]["read"].as_u64().is_some_and(|passed| passed >= 60),
        "responses are counted by the process in which they end"
    );
}

/// Guards against serving another client under the id of a request whose response was handed over.
#[test]
fn id_of_a_response_that_was_handed_over_stays_open_at_the_successor() {
    let (cache, directory) = (long_response_server(), TempDirectory::new());
    let (config, socket) = (settings(&cache), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let addr = socket.local_addr().expect("local address");
    let (mut old, _) = served_by(&socket, &config, &directory.0);
    let slow = thread::spawn(move || read_once(addr, "sized", Duration::from_millis(35)));
    thread::sleep(Duration::from_millis(400));
    let (_new, _) = served_by(&socket, &config, &directory.0);
    old.signal("-TERM");
    assert!(old.child.wait().expect("exit status").success());
    assert!(!slow.is_finished(), "its client still reads");
    assert_eq!(read_once(addr, "sized", Duration::ZERO).0, 409);
    assert_eq!(check_bodies(vec![slow]), 1);
    assert_eq!(read_once(addr, "sized", Duration::ZERO).0, 200, "it is not open any more");
}

#[test]
fn slow_reader_does_not_keep_the_connection_to_its_node_busy() {
    let cache = long_response_server();
    let proxy = Proxy::start(&settings(&cache));
    for (n, id) in ["sized", "chunks"].into_iter().enumerate() {
        let (at, slow) = (proxy.addr, format!("{id}-slow"));
        let reader = thread::spawn(move || read_slowly(at, &slow, Duration::from_millis(15)));
        wait_until("the node has sent the whole response", || cache.closed() == n + 1);
        assert!(!reader.is_finished(), "its client still reads");
        assert_eq!(check_bodies(vec![reader]), 1);
    }
    // More responses than the memory for buffering holds.
    let mut config = settings(&cache);
    config["limits"]["memory_mb"] = json!(48);
    let proxy = Proxy::start(&config);
    let slow = start_readers(proxy.addr, 24);
    let samples_mb = (0..20).map(|_| {
        thread::sleep(Duration::from_millis(50));
        memory(&proxy)
    });
    assert!(samples_mb.max().is_some_and(|max_mb| max_mb < 48));
    assert_eq!(check_bodies(slow), 24);
}

#[test]
fn killing_either_process_during_handover_never_repeats_a_byte() {
    let kills = [(false, 1), (false, 6), (true, 1), (true, 6)];
    let runs =
        kills.map(|(kill_old, after_ms)| thread::spawn(move || kill_during_handover(kill_old, after_ms)));
    runs.into_iter().for_each(|run| run.join().expect("test thread"));
}

fn kill_during_handover(kill_old: bool, after_ms: u64) {
    let (cache, directory) = (long_response_server(), TempDirectory::new());
    let (config, socket) = (settings(&cache), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let (old, _) = served_by(&socket, &config, &directory.0);
    let slow = start_readers(socket.local_addr().expect("local address"), 24);
    thread::sleep(Duration::from_millis(400));
    let (new, _) = served_by(&socket, &config, &directory.0);
    old.signal("-TERM");
    thread::sleep(Duration::from_millis(after_ms));
    let (killed, survivor) = if kill_old { (old, new) } else { (new, old) };
    drop(killed);
    // Responses that the killed process owned are cut off, and their clients notice.
    let complete = check_bodies(slow);
    assert!(
        kill_old || complete > 0 || after_ms > 1,
        "{complete} complete with the successor killed after {after_ms} ms"
    );
    drop(survivor);
}

/// Starts a process, waits until it is ready, and collects its log until it ends.
fn start_logged(
    socket: &TcpListener,
    config: Value,
    directory: &Path,
) -> (Proxy, thread::JoinHandle<Vec<String>>) {
    let (config, at) = with_management(config);
    let (proxy, log) = inheriting(socket, &config, directory);
    let lines = thread::spawn(move || log.lines().map_while(Result::ok).collect());
    wait_until("the process is ready", || TcpStream::connect(at).is_ok() && get(at, "/api/ready").0 == 200);
    (proxy, lines)
}

/// Runs a future in a new runtime.
fn block_on<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build runtime").block_on(work)
}

/// Files that make the old process detect a successor: a locked state file, which must stay open, and the path of
/// the successor's handover socket. The file is locked under another name first, as a process does it: one that is found
/// unlocked is taken for that of a dead process and removed.
fn fake_successor(directory: &Path) -> (std::fs::File, PathBuf) {
    let (name, directory) = ("process-09999999999999999999-1", directory.join("flintwell-n0"));
    let temporary = directory.join("lock-1");
    let mut file = std::fs::File::create(&temporary).expect("write file");
    file.try_lock().expect("lock file");
    std::fs::rename(temporary, directory.join(name)).expect("rename file");
    file.write_all(b"serves").expect("write");
    (file, directory.join(format!("takes-{name}")))
}

#[test]
fn old_process_finishes_its_responses_when_the_successor_does_not_take_over() {
    for version in [None, Some("flintwell hand-over 2"), Some("")] {
        let (cache, directory) = (long_response_server(), TempDirectory::new());
        let (config, socket) = (settings(&cache), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
        let (old, lines) = start_logged(&socket, config, &directory.0);
        let slow = start_readers(socket.local_addr().expect("local address"), 6);
        thread::sleep(Duration::from_millis(300));
        let (_lock, path) = fake_successor(&directory.0);
        let successor = thread::spawn(move || {
            block_on(async move {
                let Some(version) = version else { return };
                let mut listener = UnixSeqpacketListener::bind(path).expect("bind handover socket");
                let predecessor = listener.accept().await.expect("predecessor connects");
                if !version.is_empty() {
                    predecessor.send(version.as_bytes()).await.expect("send message");
                }
                tokio::time::sleep(Duration::from_secs(2)).await;
            });
        });
        thread::sleep(Duration::from_millis(100));
        old.signal("-TERM");
        assert_eq!(check_bodies(slow), 6, "{version:?}");
        successor.join().expect("successor thread");
        drop(old);
        let lines = lines.join().expect("stderr");
        assert_eq!(lines.iter().filter(|line| line.contains("takes over no long")).count(), 1, "{lines:?}");
    }
}

#[test]
fn invalid_handover_offers_are_refused_with_one_log_line_each() {
    let (cache, directory) = (long_response_server(), TempDirectory::new());
    let (config, socket) = (settings(&cache), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let (proxy, lines) = start_logged(&socket, config, &directory.0);
    let entries =
        std::fs::read_dir(directory.0.join("flintwell-n0")).expect("read state directory").flatten();
    let socket_path =
        entries.map(|entry| entry.path()).find(|path| path.to_string_lossy().contains("takes-"));
    let socket_path = socket_path.expect("handover socket path");
    let (file, listening) = (std::fs::File::open("/proc/self/stat").expect("open file"), &socket);
    let peer = TcpStream::connect(cache.addr).expect("connect");
    let header = |unwritten: usize| {
        json!({"case": 0, "rest": null, "chunked": false, "open": true, "left": 0, "unwritten": unwritten, "kept": 0})
            .to_string()
            + "\n"
    };
    assert_eq!(proxy.client().request("read", "before").status(), 200);
    thread::sleep(Duration::from_millis(300));
    let before = descriptors(&proxy);
    block_on(async {
        let connect = async |hello: &[u8]| {
            let connection = UnixSeqpacket::connect(&socket_path).await.expect("connect to handover socket");
            connection.send(hello).await.expect("send message");
            let mut reply = [0; 64];
            let length = connection.recv(&mut reply).await.expect("receive reply").bytes_read();
            assert_eq!(&reply[..length], b"flintwell hand-over 1");
            connection
        };
        // A peer with another protocol version gets ours, and the connection is closed.
        let other = connect(b"flintwell hand-over 7").await;
        assert_eq!(other.recv(&mut [0; 16]).await.expect("end of stream").bytes_read(), 0);
        let connection = connect(b"flintwell hand-over 1").await;
        let offer = async |text: &[u8], sockets: &[std::os::fd::BorrowedFd<'_>]| {
            let mut ancillary = [0; 256];
            let mut ancillary = AncillaryMessageWriter::new(&mut ancillary);
            ancillary.add_fds(sockets.iter()).expect("room for descriptors");
            connection.send_with_ancillary(text, &mut ancillary).await.expect("send offer");
            let mut reply = [0; 16];
            let length = connection.recv(&mut reply).await.expect("receive reply").bytes_read();
            String::from_utf8_lossy(&reply[..length]).into_owned()
        };
        let (complete, truncated) = (header(0), header(9));
        let (peer, file, listening) = (peer.as_fd(), file.as_fd(), listening.as_fd());
        for (text, sockets) in [
            (&complete.as_bytes()[..20], &[peer][..]),
            (truncated.as_bytes(), &[peer][..]),
            (&vec![b'x'; 200_000][..], &[peer][..]),
            (b"{}\n", &[peer][..]),
            (complete.as_bytes(), &[peer, peer][..]),
            (complete.as_bytes(), &[file][..]),
            (complete.as_bytes(), &[listening][..]),
            (complete.as_bytes(), &[peer; 40][..]),
        ] {
            assert_eq!(offer(text, sockets).await, "refused", "{}", String::from_utf8_lossy(&text[..9]));
        }
        assert_eq!(
            offer(complete.as_bytes(), &[peer]).await,
            "taken",
            "a valid one is accepted after all these"
        );
    });
    wait_until("its descriptors are closed", || descriptors(&proxy) <= before + 1);
    assert_eq!(proxy.client().request("read", "after").status(), 200);
    // The log is written by a separate thread, which a kill would cut short.
    thread::sleep(Duration::from_millis(300));
    drop(proxy);
    let lines = lines.join().expect("stderr");
    let refused = |line: &&String| line.contains("was not taken over") || line.contains("another version");
    assert_eq!(lines.iter().filter(refused).count(), 9, "{lines:#?}");
}
