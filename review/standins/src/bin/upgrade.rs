//! Case: a new version under load, and a second one 9 s later, while long answers are on their way.
//! UPGRADES=1 leaves the second one out; WITHOUT_LENGTH=1 adds answers that end with their node's connection.

use review_standins::*;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DEADLINE: f64 = 1.5; // the longest outer limit of a use case
const KILL_AFTER: f64 = DEADLINE + 0.7; // pages: SIGKILL after the longest deadline and 0.7 s
const ANSWER_BYTES: usize = 1 << 20; // pages: up to 32 MB
/// Seconds in which an answer is written, with one upgrade and with two. Pages: peers take seconds to write.
const ANSWER_TIME: [f64; 2] = [8.0, 14.0];
/// Seconds from one upgrade's begin to the next's; the users' bench has 9 to 10.
const UPGRADE_INTERVAL: f64 = 9.0;
const PIECES: usize = 200;
const EACH: usize = 4; // answers of each framing

fn framing(key: &str) -> &str {
    key.split('-').next().unwrap_or("")
}

fn content(key: &str) -> Vec<u8> {
    key.bytes().cycle().take(ANSWER_BYTES).collect()
}

/// Answers with a long value, in pieces, framed as the key says.
fn serve_node(stream: TcpStream, record: &Record, name: &str, answer_time: f64) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(head)) = Head::read(&mut reader) {
        let path = head.first_line.split(' ').nth(1).unwrap_or("").to_owned();
        let key = path.rsplit('/').next().unwrap_or("").to_owned();
        let start = match framing(&key) {
            "length" => format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n"),
            "chunked" => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            _ => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
        };
        let send = || -> io::Result<()> {
            let mut to = &stream;
            to.write_all(start.as_bytes())?;
            for piece in content(&key).chunks(ANSWER_BYTES.div_ceil(PIECES)) {
                if framing(&key) == "chunked" {
                    to.write_all(format!("{:x}\r\n", piece.len()).as_bytes())?;
                    to.write_all(piece)?;
                    to.write_all(b"\r\n")?;
                } else {
                    to.write_all(piece)?;
                }
                thread::sleep(Duration::from_secs_f64(answer_time / PIECES as f64));
            }
            if framing(&key) == "chunked" {
                to.write_all(b"0\r\n\r\n")?;
            }
            Ok(())
        };
        match send() {
            Ok(()) => record.line(format!("{name}: {key}: answer written whole")),
            Err(error) => return record.line(format!("{name}: {key}: could not write its answer: {error}")),
        }
        if framing(&key) == "none" {
            return;
        }
    }
}

fn main() {
    run_case(|case| {
        let record = case.record.clone();
        let is_set = |name: &str| std::env::var(name).is_ok_and(|value| value == "1");
        let upgrades = if is_set("UPGRADES") { 1 } else { 2 };
        let forms: &[&str] =
            if is_set("WITHOUT_LENGTH") { &["length", "chunked", "none"] } else { &["length", "chunked"] };
        let answer_time = ANSWER_TIME[upgrades - 1];
        let node_record = record.clone();
        let cache = start_server(move |stream, _| serve_node(stream, &node_record, "s-1", answer_time))?;
        let origin_record = record.clone();
        let origin = start_server(move |stream, _| serve_node(stream, &origin_record, "s-0", answer_time))?;
        let servers = [entry("s-1", cache, "single-core"), entry("s-0", origin, "origin")].join(",");
        let discovery = start_discovery(servers.clone())?;
        let held = TcpListener::bind("127.0.0.1:0")?;
        let addr = held.local_addr()?;
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), addr.port()));
        let start = |log: &str| {
            let (log, settings) = (case.folder.join(log), settings(PADANA));
            Proxy::start_in(&case.root, &folder, addr, Some(&held), discovery, &servers, &settings, 64, &log)
        };
        let mut old = start("old.log")?;
        record.line(format!("old process {} is ready", old.child.id()));
        thread::sleep(Duration::from_millis(1_000));
        let broken: Arc<Mutex<Vec<String>>> = Arc::default();
        let mut clients = Vec::new();
        for n in 0..EACH {
            for &form in forms {
                let (record, broken) = (record.clone(), broken.clone());
                clients.push(thread::spawn(move || {
                    let key = format!("{form}-{n}");
                    let begun = Instant::now();
                    let (result, is_broken) = match fetch(addr, &key) {
                        Ok(Some(body)) if body == content(&key) => ("200, whole".to_owned(), false),
                        Ok(Some(body)) => (format!("200, WRONG: {} bytes as a whole answer", body.len()), true),
                        Ok(None) => ("no 200: refused or failed".to_owned(), false),
                        Err(error) => (format!("CUT OFF: {error}"), true),
                    };
                    record.line(format!("client: {key}: {result}, after {:.2} s", begun.elapsed().as_secs_f64()));
                    if is_broken {
                        broken.lock().unwrap().push(key);
                    }
                }));
            }
        }
        thread::sleep(Duration::from_millis(700));
        for number in 1..=upgrades {
            if !case.trouble {
                break;
            }
            let begun = Instant::now();
            let new = start(&format!("new-{number}.log"))?;
            record.line(format!("upgrade {number}: process {} says that it is ready; SIGTERM to the old one", new.child.id()));
            let told_at = Instant::now();
            old.terminate();
            while told_at.elapsed().as_secs_f64() < KILL_AFTER && old.child.try_wait()?.is_none() {
                thread::sleep(Duration::from_millis(10));
            }
            if old.child.try_wait()?.is_none() {
                record.line(format!("SIGKILL to the old process, {KILL_AFTER} s after SIGTERM"));
                old.child.kill()?;
                old.child.wait()?;
            } else {
                record.line(format!("the old process ended {:.2} s after SIGTERM", told_at.elapsed().as_secs_f64()));
            }
            // The processes share their folder, which goes with the last one.
            old.leave_folder();
            old = new;
            if number < upgrades {
                thread::sleep(Duration::from_secs_f64(UPGRADE_INTERVAL).saturating_sub(begun.elapsed()));
            }
        }
        for client in clients {
            let _ = client.join();
        }
        let broken = broken.lock().unwrap();
        record.line(format!("{} of {} answers were cut off: {}", broken.len(), forms.len() * EACH, broken.join(" ")));
        Ok(!broken.is_empty())
    })
}

/// Reads a value; none if the answer is no 200.
fn fetch(addr: SocketAddr, key: &str) -> io::Result<Option<Vec<u8>>> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let id = key.bytes().fold(0x77_u64, |id, byte| id.wrapping_mul(1_000_003) ^ u64::from(byte));
    write!(
        stream,
        "GET /api/{key} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id:016x}\r\nX-Class: reading\r\nX-Deadline: 1.2\r\n\r\n"
    )?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Ok(None);
    }
    if !head.is_chunked() && head.field("content-length").is_empty() {
        let mut body = Vec::new();
        reader.read_to_end(&mut body)?;
        return Ok(Some(body));
    }
    let mut got = 0;
    let body = read_body(&head, &mut reader, |bytes| got = bytes);
    body.map(Some).map_err(|error| io::Error::other(format!("{got} of {ANSWER_BYTES} bytes, then: {error}")))
}

