//! Case: the origin takes some seconds to read on in the middle of a long body that the proxy passes on.

use review_standins::*;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const BODY_BYTES: usize = 24 << 20; // pages: up to 32 MB
const RECEIVE_BUFFER_BYTES: i32 = 65_536; // of a connection at the origin
const UNREAD_BYTES: usize = 5 << 20; // what the origin has not read when it pauses
const PAUSE: Duration = Duration::from_secs(5); // pages: peers take seconds to read
const WORK: Duration = Duration::from_millis(150); // pages: 100 to 190 ms for a `settings`
const DEADLINE: f64 = 1.5; // the use case's outer limit
const GRACE: f64 = 0.5; // an answer later than this after the client's time is lost
const REQUESTS: usize = 3;
const WAIT: Duration = Duration::from_secs(15);

fn main() {
    run_case(|case| {
        let (record, trouble) = (case.record.clone(), case.trouble);
        let origin = start_server_with_buffer(RECEIVE_BUFFER_BYTES, move |stream, number| {
            let Ok(copy) = stream.try_clone() else { return };
            let mut reader = BufReader::with_capacity(65_536, copy);
            while let Ok(Some(head)) = Head::read(&mut reader) {
                let id = head.field("x-request-id").to_owned();
                record.line(format!(
                    "origin, connection {number}: head of {id}, {} bytes to come, told to be done within {} s",
                    head.length(),
                    head.field("x-deadline")
                ));
                let mut has_paused = !trouble;
                let body = read_body(&head, &mut reader, |bytes| {
                    if !has_paused && bytes + UNREAD_BYTES >= head.length() {
                        has_paused = true;
                        record.line(format!("origin: {id}: {bytes} bytes read, pauses for {PAUSE:?}"));
                        thread::sleep(PAUSE);
                        record.line(format!("origin: {id}: reads on"));
                    }
                });
                let Ok(body) = body else { return record.line(format!("origin: {id}: connection ended in its body")) };
                thread::sleep(WORK);
                record.line(format!("origin: {id}: run, {} bytes", body.len()));
                if respond(&stream, 200, "", format!("stored {id}").as_bytes()).is_err() {
                    return;
                }
            }
        })?;
        let cache = start_server(|stream, _| {
            let Ok(copy) = stream.try_clone() else { return };
            let mut reader = BufReader::new(copy);
            while let Ok(Some(head)) = Head::read(&mut reader) {
                let _ = read_body(&head, &mut reader, |_| ());
                if respond(&stream, 404, "", b"").is_err() {
                    return;
                }
            }
        })?;
        let servers = [entry("s-1", cache, "single-core"), entry("s-0", origin, "origin")].join(",");
        let discovery = start_discovery(servers.clone())?;
        let log = case.folder.join("proxy.log");
        let proxy = Proxy::start(&case.root, discovery, &servers, &settings(PADANA), 64, &log)?;
        case.record.line(format!("proxy ready, process {}, memory limit 64 MB", proxy.child.id()));
        let mut lost = 0;
        for n in 0..REQUESTS {
            lost += usize::from(!send(&case.record, &proxy, n)?);
        }
        if trouble {
            // What the origin still gets for the client that has left.
            thread::sleep(PAUSE);
        }
        case.record.line(format!("{lost} of {REQUESTS} requests had no final answer in time"));
        Ok(lost > 0)
    })
}

/// Sends one request; whether it got its final answer in time.
fn send(record: &Record, proxy: &Proxy, n: usize) -> io::Result<bool> {
    let id = format!("{:016x}", 0x9b1f_03aa_5c7e_2d00_u64 + n as u64);
    let mut stream = TcpStream::connect(proxy.addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(WAIT))?;
    stream.set_write_timeout(Some(WAIT))?;
    record.line(format!("client: PUT {id}, {BODY_BYTES} bytes, X-Deadline {DEADLINE}"));
    write!(
        stream,
        "PUT /api/logger{n} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: settings\r\nX-Deadline: {DEADLINE}\r\n\
         Idempotency-Key: mark-{n}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )?;
    let piece = vec![b'0' + n as u8; 65_536];
    for _ in 0..BODY_BYTES / piece.len() {
        if let Err(error) = stream.write_all(&piece) {
            // An answer before the end of the body is an answer.
            record.line(format!("client: {id}: could not write its body: {error}"));
            break;
        }
    }
    let written = Instant::now();
    record.line(format!("client: {id}: last byte written"));
    if n == REQUESTS - 1 {
        // The last client leaves when its answer is overdue.
        stream.set_read_timeout(Some(Duration::from_secs_f64(DEADLINE + GRACE)))?;
    }
    let answer = Head::read(&mut BufReader::new(&stream));
    let took = written.elapsed().as_secs_f64();
    let in_time = took <= DEADLINE + GRACE;
    match answer {
        Ok(Some(head)) => record.line(format!(
            "client: {id}: answer {} after {took:.3} s, {}",
            head.status(),
            if in_time { "in time" } else { "LOST: later than its time and 0.5 s" }
        )),
        Ok(None) => {
            record.line(format!("client: {id}: LOST: closed with no answer after {took:.3} s"));
            return Ok(false);
        }
        Err(error) => {
            record.line(format!("client: {id}: LOST: no answer within {took:.3} s ({error})"));
            return Ok(false);
        }
    }
    Ok(in_time)
}
