//! Long answers handed from one version to the next, between two real processes.

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

const LONG: usize = 8 << 20;
const PIECE: usize = 65_536;

/// All of the long body; each piece differs from the others, and a byte from those around it.
static BODY: LazyLock<Vec<u8>> = LazyLock::new(|| {
    let first: Vec<u8> = (0..PIECE).map(|n| (n ^ n >> 8) as u8).collect();
    let turned = |n: usize| [&first[n * 7..], &first[..n * 7]].concat();
    (0..LONG / PIECE).flat_map(turned).collect()
});

fn told(mut to: &TcpStream) -> std::io::Result<()> {
    write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n")?;
    to.write_all(&BODY)
}

fn in_chunks(mut to: &TcpStream) -> std::io::Result<()> {
    write!(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    // Of a size that no buffer has.
    for part in BODY.chunks(10_007) {
        write!(to, "{:X};n=1\r\n", part.len())?;
        to.write_all(part)?;
        write!(to, "\r\n")?;
    }
    write!(to, "0\r\nx-end: 1\r\n\r\n")
}

/// Reads what comes slowly, where nodes are crowded at the second or third try: the status, the hash of the body, and whether it came whole by its framing.
fn reads(addr: SocketAddr, id: &str, pause: Duration) -> (u16, usize, u64, bool) {
    let mut tries = (0..8).map(|n| {
        thread::sleep(Duration::from_millis(n * 50));
        reads_once(addr, &format!("{id}-{n}"), pause)
    });
    tries.find(|read| read.0 != 503).expect("response")
}

fn reads_once(addr: SocketAddr, id: &str, pause: Duration) -> (u16, usize, u64, bool) {
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
    let (mut hash, mut came, mut buffer) = (DefaultHasher::new(), 0, vec![0; PIECE]);
    let mut take = |from: &mut BufReader<TcpStream>, mut left: usize| {
        while left > 0 {
            let most = left.min(PIECE);
            let Some(bytes) = from.read(&mut buffer[..most]).ok().filter(|n| *n > 0) else { return false };
            hash.write(&buffer[..bytes]);
            (left, came) = (left - bytes, came + bytes);
            thread::sleep(pause.mul_f64(bytes as f64 / PIECE as f64));
        }
        true
    };
    let whole = if !chunked {
        take(from, length)
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
            if !take(from, size) || from.read_exact(&mut [0; 2]).is_err() {
                break false;
            }
        }
    };
    (status, came, hash.finish(), whole)
}

fn hash_of(length: usize) -> u64 {
    let mut hash = DefaultHasher::new();
    hash.write(&BODY[..length]);
    hash.finish()
}

fn long_answers() -> StubServer {
    StubServer::start(|message, _| match message.start_line.as_str() {
        first if first.contains("told") => Action::Write(told),
        first if first.contains("chunks") => Action::Write(in_chunks),
        _ => Action::Respond(200, "value"),
    })
}

fn settings(cache: &StubServer) -> Value {
    let mut config = config(cache.addr, not_found_server().addr);
    config["limits"]["sockets"] = json!(1_024);
    config
}

fn descriptors(proxy: &Proxy) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", proxy.child.id())).map_or(0, Iterator::count)
}

/// Clients of which each reads a long answer for some seconds.
fn readers(addr: SocketAddr, count: usize) -> Vec<thread::JoinHandle<(u16, usize, u64, bool)>> {
    let reader = |n: usize| {
        let id = format!("{}-{n}", if n.is_multiple_of(2) { "told" } else { "chunks" });
        thread::spawn(move || reads(addr, &id, Duration::from_millis(35)))
    };
    (0..count).map(reader).collect()
}

/// What came is right as far as it goes; how many came whole.
fn right(readers: Vec<thread::JoinHandle<(u16, usize, u64, bool)>>) -> usize {
    let mut all_whole = 0;
    for reader in readers {
        let (status, came, hash, whole) = reader.join().expect("client thread");
        assert!(status == 200 && came <= LONG && (!whole || came == LONG), "{status}, {came}");
        assert_eq!(hash, hash_of(came), "no byte twice, none left out, of {came}");
        all_whole += usize::from(whole);
    }
    all_whole
}

#[test]
fn long_answers_outlive_the_process_that_began_them() {
    let (cache, directory) = (long_answers(), TempDirectory::new());
    let (config, socket) = (settings(&cache), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let addr = socket.local_addr().expect("local address");
    let (old, _) = served_by(&socket, &config, &directory.0);
    let slow = readers(addr, 66);
    let quick: Vec<_> = (0..134)
        .map(|n| {
            let until = Instant::now() + Duration::from_secs(3);
            thread::spawn(move || {
                (0..).take_while(|_| Instant::now() < until).fold(0, |failed, k| {
                    let answers = |addr| {
                        let mut client = Client::connect(addr);
                        client.send_request("read", &format!("q{n}-{k}"));
                        // Turned back is answered.
                        client.read_response().is_some_and(|answer| matches!(answer.status(), 200 | 503))
                    };
                    thread::sleep(Duration::from_millis(20));
                    failed + usize::from(!answers(addr) && !answers(addr))
                })
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    let (new, at) = served_by(&socket, &config, &directory.0);
    old.signal("-TERM");
    let most = std::cell::Cell::new(0);
    // It ends once nothing is left with it.
    let old = std::cell::RefCell::new(old);
    wait_until("all are handed over", || {
        most.set(most.get().max(descriptors(&old.borrow()) + descriptors(&new)));
        old.borrow_mut().child.try_wait().expect("query state").is_some_and(|status| status.success())
    });
    assert!(most.get() <= 1_024, "both within the limit");
    assert!(slow.iter().any(|reader| !reader.is_finished()), "their clients read on");
    assert_eq!(right(slow), 66);
    assert_eq!(quick.into_iter().map(|one| one.join().expect("client thread")).sum::<usize>(), 0);
    wait_until("none in hand", || metrics(at)["in_progress"] == json!(0));
    assert!(
        metrics(at)["passed"]["read"].as_u64().is_some_and(|passed| passed >= 60),
        "counted where they end"
    );
}

#[test]
fn a_client_that_reads_slowly_holds_no_connection_to_its_node() {
    let cache = long_answers();
    let proxy = Proxy::start(&settings(&cache));
    for (n, id) in ["told", "chunks"].into_iter().enumerate() {
        let (at, slow) = (proxy.addr, format!("{id}-slow"));
        let reader = thread::spawn(move || reads(at, &slow, Duration::from_millis(15)));
        wait_until("the node has given all of it", || cache.closed() == n + 1);
        assert!(!reader.is_finished(), "its client reads on");
        assert_eq!(right(vec![reader]), 1);
    }
    // Of more than its part of the memory holds.
    let mut config = settings(&cache);
    config["limits"]["memory_mb"] = json!(48);
    let proxy = Proxy::start(&config);
    let slow = readers(proxy.addr, 24);
    let most = (0..20).map(|_| {
        thread::sleep(Duration::from_millis(50));
        memory(&proxy)
    });
    assert!(most.max().is_some_and(|most| most < 48));
    assert_eq!(right(slow), 24);
}

#[test]
fn whichever_process_is_killed_while_they_are_handed_over_no_byte_comes_twice() {
    let kills = [(false, 1), (false, 6), (true, 1), (true, 6)];
    let rounds = kills.map(|(kill_old, after)| thread::spawn(move || killed(kill_old, after)));
    rounds.into_iter().for_each(|round| round.join().expect("test thread"));
}

fn killed(kill_old: bool, after: u64) {
    let (cache, directory) = (long_answers(), TempDirectory::new());
    let (config, socket) = (settings(&cache), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let (old, _) = served_by(&socket, &config, &directory.0);
    let slow = readers(socket.local_addr().expect("local address"), 24);
    thread::sleep(Duration::from_millis(400));
    let (new, _) = served_by(&socket, &config, &directory.0);
    old.signal("-TERM");
    thread::sleep(Duration::from_millis(after));
    let (killed, left) = if kill_old { (old, new) } else { (new, old) };
    drop(killed);
    // What the killed one owned is cut off, and its clients see that.
    let whole = right(slow);
    assert!(kill_old || whole > 0 || after > 1, "{whole} whole with the successor killed after {after} ms");
    drop(left);
}

/// A process that is ready, and what it will have logged at its end.
fn logged(socket: &TcpListener, config: Value, directory: &Path) -> (Proxy, thread::JoinHandle<Vec<String>>) {
    let (config, at) = with_management(config);
    let (proxy, log) = inheriting(socket, &config, directory);
    let lines = thread::spawn(move || log.lines().map_while(Result::ok).collect());
    wait_until("ready", || TcpStream::connect(at).is_ok() && get(at, "/api/ready").0 == 200);
    (proxy, lines)
}

/// In a runtime of its own.
fn runs<T>(work: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build runtime").block_on(work)
}

/// A successor that only seems to be one.
fn seems_to_serve(directory: &Path) -> (std::fs::File, PathBuf) {
    let name = "process-09999999999999999999-1";
    let mut file = std::fs::File::create(directory.join("flintwell-n0").join(name)).expect("write file");
    file.try_lock().expect("lock file");
    file.write_all(b"serves").expect("write");
    (file, directory.join("flintwell-n0").join(format!("takes-{name}")))
}

#[test]
fn with_a_successor_that_does_not_take_over_the_old_one_goes_on_as_ever() {
    for version in [None, Some("flintwell hand-over 2"), Some("")] {
        let (cache, directory) = (long_answers(), TempDirectory::new());
        let (config, socket) = (settings(&cache), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
        let (old, lines) = logged(&socket, config, &directory.0);
        let slow = readers(socket.local_addr().expect("local address"), 6);
        thread::sleep(Duration::from_millis(300));
        let (_lock, path) = seems_to_serve(&directory.0);
        let successor = thread::spawn(move || {
            runs(async move {
                let Some(version) = version else { return };
                let mut listener = UnixSeqpacketListener::bind(path).expect("bind handover socket");
                let forerunner = listener.accept().await.expect("predecessor connects");
                if !version.is_empty() {
                    forerunner.send(version.as_bytes()).await.expect("send message");
                }
                tokio::time::sleep(Duration::from_secs(2)).await;
            });
        });
        thread::sleep(Duration::from_millis(100));
        old.signal("-TERM");
        assert_eq!(right(slow), 6, "{version:?}");
        successor.join().expect("successor thread");
        drop(old);
        let lines = lines.join().expect("stderr");
        assert_eq!(lines.iter().filter(|line| line.contains("takes over no long")).count(), 1, "{lines:?}");
    }
}

#[test]
fn what_is_no_hand_over_is_refused_with_a_line_and_nothing_else_is_harmed() {
    let (cache, directory) = (long_answers(), TempDirectory::new());
    let (config, socket) = (settings(&cache), TcpListener::bind("127.0.0.1:0").expect("bind listener"));
    let (proxy, lines) = logged(&socket, config, &directory.0);
    let named = std::fs::read_dir(directory.0.join("flintwell-n0")).expect("read state directory").flatten();
    let takes = named.map(|entry| entry.path()).find(|path| path.to_string_lossy().contains("takes-"));
    let takes = takes.expect("handover socket path");
    let (file, listening) = (std::fs::File::open("/proc/self/stat").expect("write file"), &socket);
    let peer = TcpStream::connect(cache.addr).expect("connect");
    let note = |unwritten: usize| {
        json!({"case": 0, "rest": null, "chunked": false, "open": true, "left": 0, "unwritten": unwritten, "kept": 0})
            .to_string()
            + "\n"
    };
    assert_eq!(proxy.client().request("read", "before").status(), 200);
    thread::sleep(Duration::from_millis(300));
    let before = descriptors(&proxy);
    runs(async {
        let meet = async |hello: &[u8]| {
            let meets = UnixSeqpacket::connect(&takes).await.expect("connect to handover socket");
            meets.send(hello).await.expect("send message");
            let mut word = [0; 64];
            let said = meets.recv(&mut word).await.expect("receive reply").bytes_read();
            assert_eq!(&word[..said], b"flintwell hand-over 1");
            meets
        };
        // Of another version: it hears ours, and nothing more.
        let other = meet(b"flintwell hand-over 7").await;
        assert_eq!(other.recv(&mut [0; 16]).await.expect("end of stream").bytes_read(), 0);
        let meets = meet(b"flintwell hand-over 1").await;
        let offer = async |words: &[u8], sockets: &[std::os::fd::BorrowedFd<'_>]| {
            let mut ancillary = [0; 256];
            let mut ancillary = AncillaryMessageWriter::new(&mut ancillary);
            ancillary.add_fds(sockets.iter()).expect("room for descriptors");
            meets.send_with_ancillary(words, &mut ancillary).await.expect("send datagram");
            let mut word = [0; 16];
            let said = meets.recv(&mut word).await.expect("receive reply").bytes_read();
            String::from_utf8_lossy(&word[..said]).into_owned()
        };
        let (whole, cut) = (note(0), note(9));
        let (peer, file, listening) = (peer.as_fd(), file.as_fd(), listening.as_fd());
        for (words, sockets) in [
            (&whole.as_bytes()[..20], &[peer][..]),
            (cut.as_bytes(), &[peer][..]),
            (&vec![b'x'; 200_000][..], &[peer][..]),
            (b"{}\n", &[peer][..]),
            (whole.as_bytes(), &[peer, peer][..]),
            (whole.as_bytes(), &[file][..]),
            (whole.as_bytes(), &[listening][..]),
            (whole.as_bytes(), &[peer; 40][..]),
        ] {
            assert_eq!(offer(words, sockets).await, "refused", "{}", String::from_utf8_lossy(&words[..9]));
        }
        assert_eq!(offer(whole.as_bytes(), &[peer]).await, "taken", "a good one after all these");
    });
    wait_until("its descriptors are closed", || descriptors(&proxy) <= before + 1);
    assert_eq!(proxy.client().request("read", "after").status(), 200);
    // Its log is written by a thread of its own, which a kill would cut short.
    thread::sleep(Duration::from_millis(300));
    drop(proxy);
    let lines = lines.join().expect("stderr");
    let refused = |line: &&String| line.contains("was not taken over") || line.contains("another version");
    assert_eq!(lines.iter().filter(refused).count(), 9, "{lines:#?}");
}
