//! Seen, and not a case (see REPORT.md): a planned restart while slow uploads are on their way. SIGTERM, then SIGKILL at the
//! pages' earliest.

use review_standins::*;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RATE: f64 = 64_000.0; // pages: a body at 64 kB a second
const PIECE: Duration = Duration::from_millis(25);
const DEADLINE: f64 = 1.5; // the longest outer limit of a use case
const KILL_AFTER: f64 = DEADLINE + 0.7; // pages: SIGKILL no sooner than the longest deadline and 0.7 s
const WORK: Duration = Duration::from_millis(190); // pages: 100 to 190 ms for a `settings`
const UPLOADS: usize = 24;
const FIRST_END: f64 = 1.0; // last bytes come from here on, after SIGTERM
const END_STEP: f64 = 0.05;
const LEAD: f64 = 0.4; // uploads begin so long before SIGTERM
const SURELY_BEFORE: f64 = 0.03; // a last byte later than this before SIGKILL is not judged

struct Upload {
    id: String,
    last_byte: Option<Instant>,
    answer: Option<u16>,
    end: Option<Instant>,
}

fn main() {
    run_case(|case| {
        let record = case.record.clone();
        let origin_record = record.clone();
        let origin = start_server(move |stream, _| {
            let Ok(copy) = stream.try_clone() else { return };
            let mut reader = BufReader::new(copy);
            while let Ok(Some(head)) = Head::read(&mut reader) {
                let id = head.field("x-request-id").to_owned();
                if read_body(&head, &mut reader, |_| ()).is_err() {
                    return;
                }
                origin_record.line(format!("origin: {id}: begins to run"));
                thread::sleep(WORK);
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
        let mut proxy = Proxy::start(&case.root, discovery, &servers, &settings(PADANA), 192, &log)?;
        record.line(format!("proxy ready, process {}", proxy.child.id()));
        thread::sleep(Duration::from_millis(1_500));
        let start = Instant::now();
        let uploads: Arc<Mutex<Vec<Upload>>> = Arc::default();
        let clients: Vec<_> = (0..UPLOADS)
            .map(|n| {
                let (uploads, addr, record) = (uploads.clone(), proxy.addr, record.clone());
                let seconds = LEAD + FIRST_END + n as f64 * END_STEP;
                thread::spawn(move || {
                    let result = upload(addr, n, seconds, start);
                    if let Err(error) = &result.1 {
                        record.line(format!("client: {}: connection ended: {error}", result.0.id));
                    }
                    uploads.lock().unwrap().push(result.0);
                })
            })
            .collect();
        sleep_until(start + Duration::from_secs_f64(LEAD));
        let mut killed_at = None;
        let told_at = Instant::now();
        if case.trouble {
            proxy.terminate();
            record.line("SIGTERM");
            sleep_until(told_at + Duration::from_secs_f64(KILL_AFTER));
            killed_at = Some(Instant::now());
            let was_running = proxy.child.try_wait()?.is_none();
            let _ = proxy.child.kill();
            let text = if was_running { "it still ran" } else { "it had ended by itself" };
            record.line(format!("SIGKILL, {KILL_AFTER} s after SIGTERM; {text}"));
        }
        for client in clients {
            let _ = client.join();
        }
        let mut uploads = std::mem::take(&mut *uploads.lock().unwrap());
        uploads.sort_by_key(|upload| upload.id.clone());
        let (mut lost, mut taken) = (0, 0);
        for upload in &uploads {
            let since = |at: Instant| at.duration_since(told_at).as_secs_f64();
            let was_taken = upload.last_byte.is_some_and(|at| {
                killed_at.is_none_or_after(at + Duration::from_secs_f64(SURELY_BEFORE))
            });
            // An answer may be late for many reasons; here only requests count that got none at all, or one later than
            // half a second after their time.
            let in_time = match (upload.answer, upload.last_byte, upload.end) {
                (Some(_), Some(last), Some(end)) => end.duration_since(last).as_secs_f64() <= DEADLINE + 0.5,
                (answer, ..) => answer.is_some(),
            };
            taken += usize::from(was_taken);
            let is_lost = was_taken && !in_time;
            lost += usize::from(is_lost);
            record.line(format!(
                "{}: last byte {}, answer {}, end {}{}",
                upload.id,
                upload.last_byte.map_or("not written".into(), |at| format!("{:+.3} s", since(at))),
                upload.answer.map_or("none".into(), |status| status.to_string()),
                upload.end.map_or("-".into(), |at| format!("{:+.3} s", since(at))),
                if is_lost { "  LOST" } else { "" }
            ));
        }
        record.line(format!("{lost} of {taken} requests taken before SIGKILL were lost (times from SIGTERM)"));
        Ok(lost > 0)
    })
}

trait KilledAt {
    fn is_none_or_after(&self, at: Instant) -> bool;
}

impl KilledAt for Option<Instant> {
    fn is_none_or_after(&self, at: Instant) -> bool {
        self.map_or(true, |killed| at < killed)
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// One upload at the pages' rate, whose last byte is written `seconds` after `start`.
fn upload(addr: SocketAddr, n: usize, seconds: f64, start: Instant) -> (Upload, io::Result<()>) {
    let mut upload =
        Upload { id: format!("{:016x}", 0x51d0_0000_0000_0000_u64 + n as u64), last_byte: None, answer: None, end: None };
    let result = (|| -> io::Result<()> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let body = vec![b'x'; (RATE * seconds) as usize];
        let head = format!(
            "PUT /api/logger{n} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {}\r\nX-Class: settings\r\n\
             X-Deadline: {DEADLINE}\r\nIdempotency-Key: mark-{n}\r\nContent-Length: {}\r\n\r\n",
            upload.id,
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        let pieces = (seconds / PIECE.as_secs_f64()).ceil() as usize;
        let size = body.len().div_ceil(pieces);
        for (number, piece) in body.chunks(size).enumerate() {
            sleep_until(start + PIECE.mul_f64((number + 1) as f64).min(Duration::from_secs_f64(seconds)));
            stream.write_all(piece)?;
        }
        upload.last_byte = Some(Instant::now());
        let mut reader = BufReader::new(stream);
        let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        read_body(&head, &mut reader, |_| ())?;
        upload.answer = Some(head.status());
        Ok(())
    })();
    upload.end = Some(Instant::now());
    (upload, result)
}
