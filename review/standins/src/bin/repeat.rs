//! Case: a long write is reset after it has run, and its repeat reaches the origin slowly.

use review_standins::*;
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BODY_BYTES: usize = 8 << 20; // pages: up to 32 MB
const WINDOW: f64 = 2.0; // shorter than the site's 4 s, as the close-range days may have it
const MARGIN: f64 = 0.05; // on sockets each time limit is 50 ms longer
const GOAL: f64 = 2.5;
const DEADLINE: f64 = 6.0;
const WORK: f64 = 0.2; // pages: 140 to 260 ms
const SLOW_READ: f64 = 2.0; // pages: peers take seconds to read
const REQUESTS: usize = 4;
const RECEIVE_BUFFER_BYTES: i32 = 65_536;

#[derive(Default)]
struct Origin {
    /// When the origin first ran a request with this mark.
    first_run: HashMap<String, Instant>,
    runs: HashMap<String, u32>,
    attempts: HashMap<String, u32>,
    /// How long after the first attempt's last byte that of a repeat came.
    repeats: Vec<(String, f64)>,
}

fn main() {
    run_case(|case| {
        let state: Arc<Mutex<Origin>> = Arc::default();
        let (record, trouble, shared) = (case.record.clone(), case.trouble, state.clone());
        let origin = start_server_with_buffer(RECEIVE_BUFFER_BYTES, move |stream, _| {
            let Ok(copy) = stream.try_clone() else { return };
            let mut reader = BufReader::with_capacity(65_536, copy);
            while let Ok(Some(head)) = Head::read(&mut reader) {
                let (id, mark) = (head.field("x-request-id").to_owned(), head.field("idempotency-key").to_owned());
                let attempt = {
                    let mut state = shared.lock().unwrap();
                    let count = state.attempts.entry(id.clone()).or_default();
                    *count += 1;
                    *count
                };
                record.line(format!("origin: {id}: attempt {attempt} begins"));
                let (begun, length) = (Instant::now(), head.length());
                let body = read_body(&head, &mut reader, |bytes| {
                    if attempt > 1 {
                        let due = begun + Duration::from_secs_f64(SLOW_READ * bytes as f64 / length as f64);
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                    }
                });
                if body.is_err() {
                    return record.line(format!("origin: {id}: attempt {attempt} ended before its last byte"));
                }
                let now = Instant::now();
                let known = {
                    let mut state = shared.lock().unwrap();
                    let first = *state.first_run.entry(mark.clone()).or_insert(now);
                    let since = now.duration_since(first).as_secs_f64();
                    let is_known = attempt > 1 && since <= WINDOW + MARGIN;
                    if attempt > 1 {
                        state.repeats.push((id.clone(), since));
                    }
                    if !is_known {
                        *state.runs.entry(mark.clone()).or_default() += 1;
                    }
                    record.line(format!(
                        "origin: {id}: last byte of attempt {attempt}, {since:.3} s after that of the first: {}",
                        if is_known { "repeat dropped" } else { "RUN" }
                    ));
                    is_known
                };
                thread::sleep(Duration::from_secs_f64(if known { 0.0 } else { WORK }));
                if trouble && attempt == 1 {
                    record.line(format!("origin: {id}: connection reset after the request has run"));
                    return reset_at_close(&stream);
                }
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
        let use_cases = format!(
            r#"{{"earnings":1.0,"effect":"safe","goal_time":1.5,"group":"all","key_ttl":5.0,"name":"stock-check","outer_limit":6.0,"overdue_earnings":0.0,"streamed":false}},
{{"earnings":1.0,"effect":"keyed","goal_time":{GOAL},"group":"all","key_ttl":{WINDOW},"name":"place-order","outer_limit":{DEADLINE},"overdue_earnings":0.0,"streamed":false}}"#
        );
        let settings = settings(&use_cases).replace(r#""max_hand_offs":4"#, r#""max_hand_offs":3"#);
        let proxy = Proxy::start(&case.root, discovery, &servers, &settings, 64, &log)?;
        case.record.line(format!("proxy ready, process {}", proxy.child.id()));
        for n in 0..REQUESTS {
            send(&case.record, &proxy, n)?;
        }
        thread::sleep(Duration::from_secs(1));
        let state = state.lock().unwrap();
        let twice = state.runs.values().filter(|runs| **runs > 1).count();
        case.record.line(format!("{twice} of {REQUESTS} orders ran twice; window {WINDOW} s"));
        Ok(twice > 0)
    })
}

fn send(record: &Record, proxy: &Proxy, n: usize) -> io::Result<()> {
    let id = format!("{:016x}", 0x0bde_0000_0000_0000_u64 + n as u64);
    let mut stream = TcpStream::connect(proxy.addr)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    write!(
        stream,
        "PUT /api/branch{n} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: place-order\r\n\
         X-Deadline: {DEADLINE}\r\nIdempotency-Key: order-{n}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )?;
    stream.write_all(&vec![b'0'; BODY_BYTES])?;
    let written = Instant::now();
    let answer = Head::read(&mut BufReader::new(&stream))?;
    record.line(format!(
        "client: {id}: answer {} after {:.3} s",
        answer.map_or(0, |head| head.status()),
        written.elapsed().as_secs_f64()
    ));
    Ok(())
}
