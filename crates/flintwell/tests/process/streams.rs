//! Long answers and bodies, slow peers, and all forms of a message.

use crate::support::*;
use serde_json::{Value, json};
use std::io::{BufRead, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const LONG: usize = 32 << 20;

/// Writes so many bytes, each the number of its block.
fn write_blocks(mut to: &TcpStream, bytes: usize) -> std::io::Result<()> {
    for block in 0..bytes / 65_536 {
        to.write_all(&[block as u8; 65_536])?;
    }
    Ok(())
}

fn long(mut to: &TcpStream) -> std::io::Result<()> {
    write!(to, "HTTP/1.1 200 -\r\nContent-Length: {LONG}\r\n\r\n")?;
    write_blocks(to, LONG)
}

fn cut_off(mut to: &TcpStream) -> std::io::Result<()> {
    write!(to, "HTTP/1.1 200 -\r\nContent-Length: {LONG}\r\n\r\n")?;
    write_blocks(to, LONG / 2)
}

fn chunked(mut to: &TcpStream, end: &str) -> std::io::Result<()> {
    to.write_all(b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for _ in 0..20 {
        to.write_all(b"10000;x=y\r\n")?;
        write_blocks(to, 65_536)?;
        to.write_all(b"\r\n")?;
    }
    to.write_all(end.as_bytes())
}

fn slowly(mut to: &TcpStream) -> std::io::Result<()> {
    to.write_all(b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for _ in 0..20 {
        to.write_all(b"1000\r\n")?;
        to.write_all(&[b'x'; 0x1000])?;
        to.write_all(b"\r\n")?;
        thread::sleep(Duration::from_millis(80));
    }
    to.write_all(b"0\r\n\r\n")
}

fn endless(mut to: &TcpStream) -> std::io::Result<()> {
    to.write_all(b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        to.write_all(b"10000\r\n")?;
        write_blocks(to, 65_536)?;
        to.write_all(b"\r\n")?;
    }
}

/// The head of an answer, whose body is not read.
fn head(client: &mut Client) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(client.0.read_line(&mut head).expect("line") > 0, "{head}");
    }
    head.to_lowercase()
}

/// Memory of a process, in MB.
pub fn memory(proxy: &Proxy) -> usize {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("read /proc status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("line");
    line.trim().split(' ').next().and_then(|kb| kb.parse::<usize>().ok()).expect("number") / 1_024
}

fn with_cache(act: fn(&TcpStream) -> std::io::Result<()>) -> Value {
    config(StubServer::start(move |_, _| Action::Write(act)).addr, not_found_server().addr)
}

#[test]
fn long_answers_begin_at_once_and_slow_readers_cost_little_memory() {
    let (mut config, at) = with_management(with_cache(long));
    // What is read ahead has a part of this, in which none of them fits.
    config["limits"]["memory_mb"] = json!(48);
    let proxy = Proxy::start(&config);
    let mut readers: Vec<Client> = (0..8).map(|_| proxy.client()).collect();
    let start = Instant::now();
    for (n, reader) in readers.iter_mut().enumerate() {
        reader.send_request("read", &format!("k{n}"));
    }
    for reader in &mut readers {
        assert!(head(reader).contains(&format!("content-length: {LONG}")));
    }
    assert!(start.elapsed() < Duration::from_millis(900), "{:?}", start.elapsed());
    thread::sleep(Duration::from_millis(1_500));
    assert!(memory(&proxy) < 32, "{} MB with 256 MB on the way", memory(&proxy));
    assert_eq!(metrics(at)["in_progress"], json!(8), "past their deadline, and not cut off");
    let reading: Vec<_> = readers
        .into_iter()
        .map(|mut reader| {
            thread::spawn(move || {
                let mut block = vec![0; 65_536];
                for n in 0..LONG / 65_536 {
                    reader.0.read_exact(&mut block).expect("read block");
                    assert!(block.iter().all(|byte| *byte == n as u8), "block {n}");
                }
            })
        })
        .collect();
    reading.into_iter().for_each(|reader| reader.join().expect("reader thread"));
    assert!(memory(&proxy) < 32, "{} MB", memory(&proxy));
    wait_until("all passed", || metrics(at)["passed"]["read"] == json!(8));
    assert_eq!(metrics(at)["in_progress"], json!(0));
}

#[test]
fn an_answer_of_no_told_length_that_comes_slowly_is_passed_on() {
    let proxy = Proxy::start(&with_cache(slowly));
    let mut client = proxy.client();
    let start = Instant::now();
    client.send_request("read", "k");
    assert!(head(&mut client).contains("transfer-encoding: chunked"));
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    let mut came = Vec::new();
    client.0.get_mut().set_read_timeout(Some(Duration::from_millis(500))).expect("set read timeout");
    let _ = client.0.read_to_end(&mut came);
    assert!(came.ends_with(b"\r\n0\r\n\r\n") && came.len() > 20 * 0x1000, "{} bytes", came.len());
}

/// Patience with a cache may be shorter than the moment for which such an answer is held.
#[test]
fn an_answer_that_has_begun_is_not_cut_off_by_patience() {
    let cache = StubServer::start(|_, _| Action::Write(slowly));
    let (mut config, at) = with_management(config(cache.addr, not_found_server().addr));
    config["settings"]["use_cases"][0]["goal_time"] = json!(0.1);
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("read", "k");
    assert!(head(&mut client).starts_with("http/1.1 200"));
    client.0.get_mut().set_read_timeout(Some(Duration::from_millis(500))).expect("set read timeout");
    let mut came = Vec::new();
    let _ = client.0.read_to_end(&mut came);
    assert!(came.ends_with(b"\r\n0\r\n\r\n"), "{} bytes", came.len());
    assert_eq!((metrics(at)["passed"]["read"].clone(), cache.requests().len()), (json!(1), 1));
}

#[test]
fn a_head_that_comes_slowly_is_answered_though_we_stop() {
    let cache = StubServer::start(|_, _| Action::Respond(200, "value"));
    let mut proxy = Proxy::start(&config(cache.addr, not_found_server().addr));
    // One on a new connection, one on a used one.
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
        let answer = client.read_response().expect("response");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    }
    assert!(proxy.child.wait().expect("exit status").success());
}

/// Its last bytes stood in the connection's hands while it counted as idle, and a stop closed it.
#[test]
fn the_end_of_an_answer_that_is_read_slowly_is_not_lost_at_a_stop() {
    let (config, at) = with_management(with_cache(long));
    let mut proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("read", "k");
    head(&mut client);
    let (mut block, mut came) = (vec![0; 16_384], 0);
    // Until all has come from its node, and what the kernel does not take stands in our hands.
    while came < LONG - (10 << 20) || metrics(at)["in_progress"] == json!(1) {
        client.0.read_exact(&mut block).expect("read block");
        came += block.len();
    }
    proxy.signal("-TERM");
    thread::sleep(Duration::from_millis(1_500));
    let mut rest = Vec::new();
    let _ = client.0.read_to_end(&mut rest);
    assert_eq!(came + rest.len(), LONG);
    assert!(proxy.child.wait().expect("exit status").success());
}

#[test]
fn a_planned_stop_waits_for_a_long_answer_that_is_still_read() {
    let mut proxy = Proxy::start(&with_cache(long));
    let mut client = proxy.client();
    client.send_request("read", "k");
    head(&mut client);
    proxy.signal("-TERM");
    let mut block = vec![0; 4 << 20];
    for _ in 0..LONG / block.len() {
        thread::sleep(Duration::from_millis(400));
        client.0.read_exact(&mut block).expect("rest of the response");
    }
    assert!(proxy.child.wait().expect("exit status").success());
}

#[test]
fn an_answer_broken_half_way_is_never_taken_for_whole() {
    let (config, at) = with_management(with_cache(cut_off));
    let proxy = Proxy::start(&config);
    let mut client = proxy.client();
    client.send_request("read", "k");
    assert!(head(&mut client).starts_with("http/1.1 200"));
    let mut came = Vec::new();
    let _ = client.0.read_to_end(&mut came);
    assert!(came.len() < LONG, "the connection ends before the length");
    wait_until("counted", || metrics(at)["bad_gateway"]["read"] == json!(1));
    for (act, whole) in [
        ((|to| chunked(to, "0\r\n\r\n")) as fn(&TcpStream) -> std::io::Result<()>, true),
        (|to| chunked(to, ""), false),
        (|to| chunked(to, "zz\r\n"), false),
        (endless, false),
    ] {
        let proxy = Proxy::start(&with_cache(act));
        let mut client = proxy.client();
        client.send_request("read", "k");
        assert!(head(&mut client).contains("transfer-encoding: chunked"));
        let mut came = Vec::new();
        let _ = client.0.get_mut().set_read_timeout(Some(Duration::from_millis(700)));
        let _ = client.0.read_to_end(&mut came);
        assert_eq!(came.ends_with(b"\r\n0\r\n\r\n"), whole, "{} bytes", came.len());
        assert!(came.len() < LONG + (1 << 20), "{} bytes", came.len());
    }
}

#[test]
fn an_answer_said_to_be_longer_than_any_is_tried_elsewhere() {
    let spoilt =
        StubServer::start(|_, _| Action::SendRaw("HTTP/1.1 200 -\r\nContent-Length: 3000000000\r\n\r\nx"));
    let good = StubServer::start(|_, _| Action::Respond(200, "value"));
    let proxy = Proxy::start(&config(spoilt.addr, good.addr));
    assert_eq!(proxy.client().request("read", "k").body, "value");
}

/// A write of a body that comes as this has it, the id being its key too.
fn write(client: &mut Client, id: &str, framing: &str) {
    client.send(&format!(
        "PUT http://origin.svc/api/{id}?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: once\r\n\
         X-Deadline: 1.0\r\n{framing}\r\n\r\n"
    ));
}

/// A proxy that may keep 1 MB of bodies, and its origin.
fn small(answers: fn() -> Action) -> (Proxy, StubServer) {
    let origin = StubServer::start(move |_, _| answers());
    let mut config = config(not_found_server().addr, origin.addr);
    config["limits"]["memory_mb"] = json!(4);
    (Proxy::start(&config), origin)
}

#[test]
fn a_slow_body_is_waited_for_and_counts_from_its_last_byte() {
    let (proxy, origin) = small(|| Action::Respond(200, "done"));
    let mut client = proxy.client();
    write(&mut client, "slow", "Content-Length: 192000");
    for _ in 0..30 {
        thread::sleep(Duration::from_millis(100));
        client.send(&"x".repeat(6_400));
    }
    assert_eq!(client.read_response().expect("response").status(), 200);
    assert_eq!(origin.requests()[0].body.len(), 192_000);
    write(&mut client, "still", "Content-Length: 192000");
    let start = Instant::now();
    assert_eq!(client.read_response().expect("response").status(), 408);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

#[test]
fn bodies_beyond_the_memory_for_them_are_passed_on_as_they_come() {
    let (proxy, origin) = small(|| Action::Respond(200, "done"));
    let writers: Vec<_> = (0..6)
        .map(|n| {
            let mut client = proxy.client();
            thread::spawn(move || {
                write(&mut client, &format!("long{n}"), &format!("Content-Length: {}", 8 << 20));
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
    let heard = origin.requests();
    assert_eq!(heard.len(), 6);
    for message in heard {
        let first = message.body.bytes().next().expect("non-empty body");
        assert!(message.body.len() == 8 << 20 && message.body.bytes().all(|byte| byte == first));
    }
}

#[test]
fn a_body_that_is_passed_on_has_one_attempt_and_is_refused_when_it_never_ran() {
    for (answers, status) in [
        ((|| Action::Respond(503, "")) as fn() -> Action, 503),
        (|| Action::Respond(500, ""), 502),
        (|| Action::Close, 502),
    ] {
        let (proxy, origin) = small(answers);
        let mut client = proxy.client();
        write(&mut client, "long", &format!("Content-Length: {}", 4 << 20));
        client.send(&"x".repeat(4 << 20));
        assert_eq!(client.read_response().expect("response").status(), status);
        assert_eq!(origin.requests().len(), 1);
    }
    let (proxy, origin) = small(|| Action::Respond(200, "done"));
    let mut client = proxy.client();
    write(&mut client, "half", &format!("Content-Length: {}", 4 << 20));
    client.send(&"x".repeat(2 << 20));
    assert_eq!(client.read_response().expect("response").status(), 408, "it ends late");
    let mut client = proxy.client();
    write(&mut client, "gone", &format!("Content-Length: {}", 4 << 20));
    client.send(&"x".repeat(2 << 20));
    // One whose client leaves before its attempt begins has no connection at all.
    wait_until("its connection came", || origin.accepted() >= 2);
    drop(client);
    wait_until("its connection closed", || origin.closed() >= 2);
    assert!(origin.requests().is_empty(), "no half of a body passes for a whole one");
}

#[test]
fn chunked_bodies_are_taken_and_what_goes_on_is_framed_by_us() {
    let (proxy, origin) = small(|| Action::Respond(200, "done"));
    let mut client = proxy.client();
    write(&mut client, "a", "Transfer-Encoding: chunked\r\nExpect: 100-continue");
    assert!(head(&mut client).starts_with("http/1.1 100"));
    client.send("5;ext=\"1\"\r\nhello\r\n");
    thread::sleep(Duration::from_millis(20));
    client.send("6\r\n world\r\n0\r\nTrailer: t\r\n\r\n");
    let answer = client.read_response().expect("response");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let heard = origin.requests()[0].clone();
    assert_eq!((&*heard.start_line, &*heard.body), ("PUT /api/a?q=1 HTTP/1.1\r\n", "hello world"));
    assert_eq!((heard.header("content-length"), heard.header("transfer-encoding")), (Some("11"), None));
}

#[test]
fn a_length_beside_a_transfer_encoding_is_refused_however_it_is_cut() {
    let (proxy, origin) = small(|| Action::Respond(200, "done"));
    let hidden =
        "0\r\n\r\nPUT /api/hidden HTTP/1.1\r\nX-Request-Id: h\r\nX-Class: once\r\nX-Deadline: 1\r\n\r\n";
    let both = format!(
        "PUT /api/b HTTP/1.1\r\nX-Request-Id: b\r\nX-Class: once\r\nX-Deadline: 1\r\ntransfer-encoding: chunked\r\n\
         CONTENT-length : 4\r\n\r\n{hidden}"
    );
    let both = both.replace("length :", "length:");
    for cut in (1..both.len()).step_by(7) {
        let mut client = proxy.client();
        if cut % 2 == 0 {
            assert_eq!(client.request("read", &format!("first{cut}")).status(), 200);
        }
        client.send(&both[..cut]);
        thread::sleep(Duration::from_millis(1));
        let _ = client.0.get_mut().write_all(&both.as_bytes()[cut..]);
        assert_eq!(client.read_response().expect("response").status(), 400, "cut at {cut}");
        assert!(client.read_response().is_none(), "and closed");
    }
    assert!(origin.requests().iter().all(|message| message.start_line.starts_with("GET /api/first")));
}
