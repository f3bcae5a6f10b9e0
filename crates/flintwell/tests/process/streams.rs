//! Long responses and request bodies, slow peers, and message framing.

use crate::support::*;
use serde_json::{Value, json};
use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const LONG_BODY_BYTES: usize = 32 << 20;

/// Writes blocks of 64 KB; each byte of a block is the block's number modulo 256.
fn write_blocks(mut to: &TcpStream, bytes: usize) -> std::io::Result<()> {
    for block in 0..bytes / 65_536 {
        to.write_all(&[block as u8; 65_536])?;
    }
    Ok(())
}

fn send_long(mut to: &TcpStream) -> std::io::Result<()> {
    write!(to, "HTTP/1.1 200 -\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n")?;
    write_blocks(to, LONG_BODY_BYTES)
}

fn send_half(mut to: &TcpStream) -> std::io::Result<()> {
    write!(to, "HTTP/1.1 200 -\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n")?;
    write_blocks(to, LONG_BODY_BYTES / 2)
}

/// Sends a chunked response that ends with this text.
fn send_chunked(mut to: &TcpStream, end: &str) -> std::io::Result<()> {
    to.write_all(b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for _ in 0..20 {
        to.write_all(b"10000;x=y\r\n")?;
        write_blocks(to, 65_536)?;
        to.write_all(b"\r\n")?;
    }
    to.write_all(end.as_bytes())
}

/// Sends a chunked response over 1.6 s.
fn send_slowly(mut to: &TcpStream) -> std::io::Result<()> {
    to.write_all(b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for _ in 0..20 {
        to.write_all(b"1000\r\n")?;
        to.write_all(&[b'x'; 0x1000])?;
        to.write_all(b"\r\n")?;
        thread::sleep(Duration::from_millis(80));
    }
    to.write_all(b"0\r\n\r\n")
}

fn send_endlessly(mut to: &TcpStream) -> std::io::Result<()> {
    to.write_all(b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        to.write_all(b"10000\r\n")?;
        write_blocks(to, 65_536)?;
        to.write_all(b"\r\n")?;
    }
}

/// Reads the head of a response, in lower case, and leaves its body unread.
fn read_head(client: &mut Client) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(client.0.read_line(&mut head).expect("line") > 0, "{head}");
    }
    head.to_lowercase()
}

/// Resident memory of a process, in MB.
pub fn memory(proxy: &Proxy) -> usize {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("read /proc status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("line");
    line.trim().split(' ').next().and_then(|kb| kb.parse::<usize>().ok()).expect("number") / 1_024
}

/// A configuration whose cache responds with this function.
fn with_cache(respond: fn(&TcpStream) -> std::io::Result<()>) -> Value {
    config(StubServer::start(move |_, _| Action::Write(respond)).addr, not_found_server().addr)
}

#[test]
fn long_responses_start_at_once_and_slow_readers_need_little_memory() {
    let (mut config, at) = with_management(with_cache(send_long));
    // The read-ahead buffer is a part of this, too small for any of these responses.
    config["limits"]["memory_mb"] = json!(48);
    let proxy = Proxy::start(&config);
    let mut readers: Vec<Client> = (0..8).map(|_| proxy.client()).collect();
    let start = Instant::now();
    for (n, reader) in readers.iter_mut().enumerate() {
        reader.send_request("read", &format!("k{n}"));
    }
    for reader in &mut readers {
        assert!(read_head(reader).contains(&format!("content-length: {LONG_BODY_BYTES}")));
    }
    assert!(start.elapsed() < Duration::from_millis(900), "{:?}", start.elapsed());
    thread::sleep(Duration::from_millis(1_500));
    assert!(memory(&proxy) < 32, "{} MB with 256 MB in flight", memory(&proxy));
    assert_eq!(metrics(at)["in_progress"], json!(8), "responses are not cut off at their deadline");
    let threads: Vec<_> = readers
        .into_iter()
        .map(|mut reader| {
            thread::spawn(move || {
                let mut block = vec![0; 65_536];
                for n in 0..LONG_BODY_BYTES / 65_536 {
                    reader.0.read_exact(&mut block).expect("read block");
                    assert!(block.iter().all(|byte| *byte == n as u8), "block {n}");
                }
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("reader thread"));
    assert!(memory(&proxy) < 32, "{} MB", memory(&proxy));
    wait_until("all responses are counted", || metrics(at)["passed"]["read"] == json!(8));
    assert_eq!(metrics(at)["in_progress"], json!(0));
}

#[test]
fn slow_response_of_unknown_length_is_streamed() {
    let proxy = Proxy::start(&with_cache(send_slowly));
    let mut client = proxy.client();
    let start = Instant::now();
    client.send_request("read", "k");
    assert!(read_head(&mut client).contains("transfer-encoding: chunked"));
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    let mut received = Vec::new();
    client.0.get_mut().set_read_timeout(Some(Duration::from_millis(500))).expect("set read timeout");
    let _ = client.0.read_to_end(&mut received);
    assert!(received.ends_with(b"\r\n0\r\n\r\n") && received.len() > 20 * 0x1000, "{} bytes", received.len());
}

/// The attempt timeout of a cache may be shorter than the time for which a response of unknown length is held back, and
/// must not apply once the response has begun.
#[test]
fn response_that_has_begun_is_not_cut_off_by_the_attempt_timeout() {
    let cache = StubServer::start(|_, _| Action::Write(send_slowly));
    let (mut config, at) = with_management(config(cache.addr, not_found_server().addr));
    config["settings"]["use_cases"][0]["goal_time"] = json!(0.1);
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("read", "k");
    assert!(read_head(&mut client).starts_with("http/1.1 200"));
    client.0.get_mut().set_read_timeout(Some(Duration::from_millis(500))).expect("set read timeout");
    let mut received = Vec::new();
    let _ = client.0.read_to_end(&mut received);
    assert!(received.ends_with(b"\r\n0\r\n\r\n"), "{} bytes", received.len());
    assert_eq!((metrics(at)["passed"]["read"].clone(), cache.requests().len()), (json!(1), 1));
}

#[test]
fn request_whose_head_arrives_slowly_is_answered_during_shutdown() {
    let cache = StubServer::start(|_, _| Action::Respond(200, "value"));
    let mut proxy = Proxy::start(&config(cache.addr, not_found_server().addr));
    // One client on a new connection, one on a connection that has served a request.
    let (mut new, mut used) = (proxy.client(), proxy.client());
    assert_eq!(used.request("read", "first").status(), 200);
    for part in
        ["GET /api/k HTTP/1.1\r\nX-Reque", "st-Id: ", "X-Class: read\r\n", "X-Deadline: 1\r\n", "\r\n"]
    {
        for (client, id) in [(&mut new, "a\r\n"), (&mut used, "b\r\n")] {
            client.send(part);
            if part.ends_with("Id: ") {
                client.send(id);
            }
        }
        if part.starts_with("GET") {
            proxy.signal("-TERM");
        }
        thread::sleep(Duration::from_millis(300));
    }
    for client in [&mut new, &mut used] {
        let response = client.read_response().expect("response");
        assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    }
    assert!(proxy.child.wait().expect("exit status").success());
}

/// The connection counted as idle while it still buffered the last bytes of a response, and a shutdown closed it.
#[test]
fn end_of_a_slowly_read_response_is_not_lost_at_shutdown() {
    let (config, at) = with_management(with_cache(send_long));
    let mut proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("read", "k");
    read_head(&mut client);
    let (mut block, mut received) = (vec![0; 16_384], 0);
    // Until the node has sent all of it, and the proxy buffers what the kernel does not accept.
    while received < LONG_BODY_BYTES - (10 << 20) || metrics(at)["in_progress"] == json!(1) {
        client.0.read_exact(&mut block).expect("read block");
        received += block.len();
    }
    proxy.signal("-TERM");
    thread::sleep(Duration::from_millis(1_500));
    let mut rest = Vec::new();
    let _ = client.0.read_to_end(&mut rest);
    assert_eq!(received + rest.len(), LONG_BODY_BYTES);
    assert!(proxy.child.wait().expect("exit status").success());
}

#[test]
fn shutdown_waits_for_a_long_response_that_is_still_read() {
    let mut proxy = Proxy::start(&with_cache(send_long));
    let mut client = proxy.client();
    client.send_request("read", "k");
    read_head(&mut client);
    proxy.signal("-TERM");
    let mut block = vec![0; 4 << 20];
    for _ in 0..LONG_BODY_BYTES / block.len() {
        thread::sleep(Duration::from_millis(400));
        client.0.read_exact(&mut block).expect("rest of the response");
    }
    assert!(proxy.child.wait().expect("exit status").success());
}

#[test]
fn truncated_response_is_never_taken_for_complete() {
    let (config, at) = with_management(with_cache(send_half));
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("read", "k");
    assert!(read_head(&mut client).starts_with("http/1.1 200"));
    let mut received = Vec::new();
    let _ = client.0.read_to_end(&mut received);
    assert!(received.len() < LONG_BODY_BYTES, "the connection ends before the declared length");
    wait_until("the failure is counted", || metrics(at)["bad_gateway"]["read"] == json!(1));
    for (respond, is_complete) in [
        ((|to| send_chunked(to, "0\r\n\r\n")) as fn(&TcpStream) -> std::io::Result<()>, true),
        (|to| send_chunked(to, ""), false),
        (|to| send_chunked(to, "zz\r\n"), false),
        (send_endlessly, false),
    ] {
        let proxy = Proxy::start(&with_cache(respond));
        let mut client = proxy.client();
        client.send_request("read", "k");
        assert!(read_head(&mut client).contains("transfer-encoding: chunked"));
        let mut received = Vec::new();
        let _ = client.0.get_mut().set_read_timeout(Some(Duration::from_millis(700)));
        let _ = client.0.read_to_end(&mut received);
        assert_eq!(received.ends_with(b"\r\n0\r\n\r\n"), is_complete, "{} bytes", received.len());
        assert!(received.len() < LONG_BODY_BYTES + (1 << 20), "{} bytes", received.len());
    }
}

#[test]
fn response_with_an_oversized_content_length_is_retried_elsewhere() {
    let invalid =
        StubServer::start(|_, _| Action::SendRaw("HTTP/1.1 200 -\r\nContent-Length: 3000000000\r\n\r\nx"));
    let valid = StubServer::start(|_, _| Action::Respond(200, "value"));
    let proxy = Proxy::start(&config(invalid.addr, valid.addr));
    assert_eq!(proxy.client().request("read", "k").body, "value");
}

/// Sends the head of a write with these framing headers; the id is its key too.
fn send_write_head(client: &mut Client, id: &str, framing: &str) {
    client.send(&format!(
        "PUT http://origin.svc/api/{id}?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: once\r\n\
         X-Deadline: 1.0\r\n{framing}\r\n\r\n"
    ));
}

/// A proxy that may buffer 1 MB of request bodies, and its origin.
fn start_with_small_buffers(action: fn() -> Action) -> (Proxy, StubServer) {
    let origin = StubServer::start(move |_, _| action());
    let mut config = config(not_found_server().addr, origin.addr);
    config["limits"]["memory_mb"] = json!(4);
    (Proxy::start(&config), origin)
}

#[test]
fn slow_request_body_is_awaited_and_the_deadline_counts_from_its_last_byte() {
    let (proxy, origin) = start_with_small_buffers(|| Action::Respond(200, "done"));
    let mut client = proxy.client();
    send_write_head(&mut client, "slow", "Content-Length: 192000");
    for _ in 0..30 {
        thread::sleep(Duration::from_millis(100));
        client.send(&"x".repeat(6_400));
    }
    assert_eq!(client.read_response().expect("response").status(), 200);
    assert_eq!(origin.requests()[0].body.len(), 192_000);
    send_write_head(&mut client, "still", "Content-Length: 192000");
    let start = Instant::now();
    assert_eq!(client.read_response().expect("response").status(), 408);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

#[test]
fn request_bodies_beyond_the_buffer_memory_are_streamed() {
    let (proxy, origin) = start_with_small_buffers(|| Action::Respond(200, "done"));
    let writers: Vec<_> = (0..6)
        .map(|n| {
            let mut client = proxy.client();
            thread::spawn(move || {
                send_write_head(&mut client, &format!("long{n}"), &format!("Content-Length: {}", 8 << 20));
                for _ in 0..8 {
                    client.send(&n.to_string().repeat(1 << 20));
                    thread::sleep(Duration::from_millis(30));
                }
                client.read_response().expect("response").status()
            })
        })
        .collect();
    let statuses: Vec<u16> =
        writers.into_iter().map(|writer| writer.join().expect("writer thread")).collect();
    assert_eq!(statuses, [200; 6]);
    assert!(memory(&proxy) < 24, "{} MB with 48 MB sent", memory(&proxy));
    let requests = origin.requests();
    assert_eq!(requests.len(), 6);
    for message in requests {
        let first = message.body.bytes().next().expect("non-empty body");
        assert!(message.body.len() == 8 << 20 && message.body.bytes().all(|byte| byte == first));
    }
}

#[test]
fn streamed_request_body_has_one_attempt_and_is_refused_when_it_never_ran() {
    for (action, status) in [
        ((|| Action::Respond(503, "")) as fn() -> Action, 503),
        (|| Action::Respond(500, ""), 502),
        (|| Action::Close, 502),
    ] {
        let (proxy, origin) = start_with_small_buffers(action);
        let mut client = proxy.client();
        send_write_head(&mut client, "long", &format!("Content-Length: {}", 4 << 20));
        client.send(&"x".repeat(4 << 20));
        assert_eq!(client.read_response().expect("response").status(), status);
        assert_eq!(origin.requests().len(), 1);
    }
    let (proxy, origin) = start_with_small_buffers(|| Action::Respond(200, "done"));
    let mut client = proxy.client();
    send_write_head(&mut client, "half", &format!("Content-Length: {}", 4 << 20));
    client.send(&"x".repeat(2 << 20));
    assert_eq!(client.read_response().expect("response").status(), 408, "the body ends too late");
    let mut client = proxy.client();
    send_write_head(&mut client, "gone", &format!("Content-Length: {}", 4 << 20));
    client.send(&"x".repeat(2 << 20));
    // If the client disconnected before its attempt begins, there would be no connection to the origin at all.
    wait_until("the attempt has a connection", || origin.accepted() >= 2);
    drop(client);
    wait_until("the attempt's connection is closed", || origin.closed() >= 2);
    assert!(origin.requests().is_empty(), "an incomplete body is never taken for a complete one");
}

#[test]
fn chunked_request_bodies_are_accepted_and_framed_anew() {
    let (proxy, origin) = start_with_small_buffers(|| Action::Respond(200, "done"));
    let mut client = proxy.client();
    send_write_head(&mut client, "a", "Transfer-Encoding: chunked\r\nExpect: 100-continue");
    assert!(read_head(&mut client).starts_with("http/1.1 100"));
    client.send("5;ext=\"1\"\r\nhello\r\n");
    thread::sleep(Duration::from_millis(20));
    client.send("6\r\n world\r\n0\r\nTrailer: t\r\n\r\n");
    let response = client.read_response().expect("response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    let forwarded = origin.requests()[0].clone();
    assert_eq!((&*forwarded.start_line, &*forwarded.body), ("PUT /api/a?q=1 HTTP/1.1\r\n", "hello world"));
    assert_eq!(
        (forwarded.header("content-length"), forwarded.header("transfer-encoding")),
        (Some("11"), None)
    );
}

#[test]
fn content_length_beside_transfer_encoding_is_rejected_however_the_bytes_are_split() {
    let (proxy, origin) = start_with_small_buffers(|| Action::Respond(200, "done"));
    let smuggled =
        "0\r\n\r\nPUT /api/hidden HTTP/1.1\r\nX-Request-Id: h\r\nX-Class: once\r\nX-Deadline: 1\r\n\r\n";
    let both = format!(
        "PUT /api/b HTTP/1.1\r\nX-Request-Id: b\r\nX-Class: once\r\nX-Deadline: 1\r\ntransfer-encoding: chunked\r\n\
         CONTENT-length : 4\r\n\r\n{smuggled}"
    );
    let both = both.replace("length :", "length:");
    for split in (1..both.len()).step_by(7) {
        let mut client = proxy.client();
        if split % 2 == 0 {
            assert_eq!(client.request("read", &format!("first{split}")).status(), 200);
        }
        client.send(&both[..split]);
        thread::sleep(Duration::from_millis(1));
        let _ = client.0.get_mut().write_all(&both.as_bytes()[split..]);
        assert_eq!(client.read_response().expect("response").status(), 400, "split at {split}");
        assert!(client.read_response().is_none(), "not closed");
    }
    assert!(origin.requests().iter().all(|message| message.start_line.starts_with("GET /api/first")));
}
