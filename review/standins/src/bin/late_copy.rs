//! Seen in part two, and not a case (see REPORT.md): some cache nodes send a second copy of a long answer some milliseconds
//! late. LATE_MS sets how late; 40 if it is not set.

use review_standins::*;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ANSWER_BYTES: usize = 100_000; // pages: up to 32 MB; over 64 KiB it is passed on as it comes
const WORK: Duration = Duration::from_millis(60); // pages: 48 to 86 ms for a `reading`
const CLIENTS: usize = 4;
const SECONDS: f64 = 12.0;

/// The body that a node makes for a request: it names the request in each of its lines.
fn body_for(id: &str) -> Vec<u8> {
    format!("{id}\n").bytes().cycle().take(ANSWER_BYTES).collect()
}

fn main() {
    run_case(|case| {
        let late = std::env::var("LATE_MS").ok().and_then(|ms| ms.parse().ok()).unwrap_or(40);
        let (record, trouble) = (case.record.clone(), case.trouble);
        record.line(format!("second copies come {late} ms late"));
        let count = Arc::new(Mutex::new(0_u32));
        let node = |name: &'static str| {
            let (record, count) = (record.clone(), count.clone());
            move |stream: TcpStream, number: u64| {
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Ok(Some(head)) = Head::read(&mut reader) {
                    let id = head.field("x-request-id").to_owned();
                    if read_body(&head, &mut reader, |_| ()).is_err() {
                        return;
                    }
                    record.line(format!("{name}, connection {number}: {id} begins to run"));
                    thread::sleep(WORK);
                    let body = body_for(&id);
                    if respond(&stream, 200, "", &body).is_err() {
                        return;
                    }
                    let number_of_answer = {
                        let mut count = count.lock().unwrap();
                        *count += 1;
                        *count
                    };
                    if trouble && number_of_answer % 8 == 0 {
                        let Ok(to) = stream.try_clone() else { return };
                        let (record, id) = (record.clone(), id.clone());
                        thread::spawn(move || {
                            thread::sleep(Duration::from_millis(late));
                            record.line(format!("{name}, connection {number}: second copy of the answer to {id}"));
                            let _ = respond(&to, 200, "", &body_for(&id));
                        });
                    }
                }
            }
        };
        let caches = [start_server(node("s-1"))?, start_server(node("s-2"))?];
        let origin = start_server(node("s-0"))?;
        let servers = [
            entry("s-1", caches[0], "single-core"),
            entry("s-2", caches[1], "single-core"),
            entry("s-0", origin, "origin"),
        ]
        .join(",");
        let discovery = start_discovery(servers.clone())?;
        let log = case.folder.join("proxy.log");
        let proxy = Proxy::start(&case.root, discovery, &servers, &settings(PADANA), 192, &log)?;
        let addr = proxy.addr;
        let totals: Arc<Mutex<(u32, u32)>> = Arc::default();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (record, totals) = (case.record.clone(), totals.clone());
                thread::spawn(move || {
                    if let Err(error) = run_client(client, addr, &record, &totals) {
                        record.line(format!("client {client}: {error}"));
                    }
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
        let (served, foreign) = *totals.lock().unwrap();
        case.record.line(format!("{foreign} of {served} clients' 200 answers were made for another request"));
        Ok(foreign > 0)
    })
}

fn run_client(client: usize, addr: SocketAddr, record: &Record, totals: &Mutex<(u32, u32)>) -> io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed().as_secs_f64() < SECONDS {
        number += 1;
        let id = format!("{:016x}", ((client as u64 + 1) << 40) + number);
        write!(
            stream,
            "GET /api/logger{client} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: reading\r\nX-Deadline: 1.2\r\n\r\n"
        )?;
        let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = read_body(&head, &mut reader, |_| ())?;
        let mut totals = totals.lock().unwrap();
        if head.status() == 200 {
            totals.0 += 1;
            if body != body_for(&id) {
                totals.1 += 1;
                let other = String::from_utf8_lossy(&body[..body.len().min(16)]).into_owned();
                record.line(format!("client: {id}: 200 with the answer made for {other}: FOREIGN"));
            }
        }
        drop(totals);
        thread::sleep(Duration::from_millis(10 + 7 * (number % 9)));
    }
    Ok(())
}
