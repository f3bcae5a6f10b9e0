//! A fleet before a discovery that takes calls in turn and has more callers than it can serve at once.

use crate::support::*;
use flintwell_rig::soak;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const TOLD: Duration = Duration::from_secs(6); // after discovery had a change and could be reached, it counts as told
const GRACE: Duration = Duration::from_millis(300); // for requests to a draining server from then on
const SLACK: Duration = Duration::from_millis(50); // of the rule on sockets

/// One fleet at a time, since each is some dozens of processes.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// What a discovery does with calls beyond what it can serve at once.
#[derive(Clone, Copy)]
struct Queue {
    /// It works on one call so long.
    each: Duration,
    /// A call that would have to wait for longer is refused.
    longest: Duration,
    /// Refused once it has waited so long, and worked on all the same; else at once and for nothing.
    spends: bool,
}

#[derive(Default)]
struct Told {
    version: u64,
    draining: Vec<String>,
    busy_until: Option<Instant>,
    calls: usize,
    /// Of each answer with the newest list: when it was written.
    answered: Vec<Instant>,
}

/// Discovery as a queue. A call on a connection that was answered before goes on with a watch and costs nothing.
struct Discovery {
    queue: Queue,
    servers: Vec<(String, SocketAddr, &'static str)>,
    told: Mutex<Told>,
    changed: Condvar,
    open: Mutex<Vec<TcpStream>>,
}

impl Discovery {
    fn start(queue: Queue, servers: Vec<(String, SocketAddr, &'static str)>) -> (Arc<Discovery>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let told = Mutex::new(Told { version: 1, ..Told::default() });
        let open = Mutex::default();
        let discovery = Arc::new(Discovery { queue, servers, told, changed: Condvar::new(), open });
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serving.open.lock().expect("no panic").push(stream.try_clone().expect("a clone"));
                let serving = serving.clone();
                thread::spawn(move || serving.converse(&stream));
            }
        });
        (discovery, addr)
    }

    fn converse(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        let mut watches = false;
        while let Some(message) = Message::read(&mut reader) {
            if !watches && !self.waits_its_turn() {
                let _ = writer.write_all(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                return;
            }
            watches = true;
            let text = self.answer(&message.first);
            let head = format!("HTTP/1.1 200 -\r\nContent-Length: {}\r\n\r\n", text.len());
            if writer.write_all((head + &text).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// False if the call is refused.
    fn waits_its_turn(&self) -> bool {
        let now = Instant::now();
        let (wait, taken) = {
            let mut told = self.told.lock().expect("no panic");
            told.calls += 1;
            let ends = told.busy_until.map_or(now, |busy| busy.max(now)) + self.queue.each;
            let taken = ends - now <= self.queue.longest;
            if taken || self.queue.spends {
                told.busy_until = Some(ends);
            }
            (ends - now, taken)
        };
        match (taken, self.queue.spends) {
            (true, _) => thread::sleep(wait),
            (false, true) => thread::sleep(self.queue.longest),
            (false, false) => {}
        }
        taken
    }

    fn answer(&self, line: &str) -> String {
        let number = |name: &str| {
            let text = line.split([' ', '?', '&']).find_map(|part| part.strip_prefix(name))?;
            text.parse::<u64>().ok()
        };
        let wait = Duration::from_millis(number("timeout_ms=").unwrap_or(0));
        let told = self.told.lock().expect("no panic");
        let nothing_new = |told: &mut Told| number("since=").is_some_and(|since| since >= told.version);
        let (mut told, _) = self.changed.wait_timeout_while(told, wait, nothing_new).expect("no panic");
        if nothing_new(&mut told) {
            return json!({"version": told.version, "full": false, "servers": []}).to_string();
        }
        if told.version > 1 {
            told.answered.push(Instant::now());
        }
        let state = |id: &String| if told.draining.contains(id) { "draining" } else { "ready" };
        let entries: Vec<Value> =
            self.servers.iter().map(|(id, addr, kind)| entry(id, *addr, kind, state(id))).collect();
        json!({"version": told.version, "full": true, "servers": entries}).to_string()
    }

    /// A server begins to drain.
    fn drains(&self, id: &str) -> Instant {
        let mut told = self.told.lock().expect("no panic");
        told.version += 1;
        told.draining.push(id.to_owned());
        self.changed.notify_all();
        Instant::now()
    }

    /// Resets every connection, so that all watches end.
    fn resets_all(&self) {
        for stream in self.open.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn told(&self) -> usize {
        self.told.lock().expect("no panic").answered.len()
    }
}

/// What became of a day of the fleet.
struct Day {
    /// Requests that reached the draining server after it counted as told and its grace was over, as seconds past that.
    late: Vec<f64>,
    told: usize,
    calls: usize,
}

/// So many proxies start as one; at `resets`, if given, all watches end; at `drains` a server begins to drain.
fn plays(fleet: usize, queue: Queue, resets: Option<Duration>, drains: Duration, ends: Duration) -> Day {
    let _alone = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let caches: Vec<Server> = (0..4).map(|_| Server::start(|_, _| Does::Answers(200, "value"))).collect();
    let origin = Server::start(|_, _| Does::Answers(200, "value"));
    let mut servers: Vec<(String, SocketAddr, &'static str)> =
        caches.iter().enumerate().map(|(n, cache)| (format!("c{n}"), cache.addr, "cache")).collect();
    servers.push(("o".into(), origin.addr, "origin"));
    let listed: Vec<Value> = servers.iter().map(|(id, addr, kind)| entry(id, *addr, kind, "ready")).collect();
    let (discovery, at) = Discovery::start(queue, servers);
    let proxies: Vec<Proxy> = (0..fleet)
        .map(|n| {
            let mut config = config(caches[0].addr, origin.addr);
            config["name"] = json!(format!("n{n}"));
            config["discovery"] = json!(at.to_string());
            config["seed"] = json!(format!("{n:016x}"));
            config["known"] = json!({"version": 1, "full": true, "servers": listed});
            config["settings"]["index"] = json!(n);
            config["settings"]["fleet_size"] = json!(fleet);
            config["settings"]["guarantees"]["stop_sending_within"] = json!(GRACE.as_secs_f64());
            Proxy::start(&config)
        })
        .collect();
    let start = Instant::now();
    let clients: Vec<_> = (0..fleet)
        .map(|n| {
            let addr = proxies[n].addr;
            thread::spawn(move || {
                let mut client = Client::at(addr);
                for request in 0.. {
                    if start.elapsed() > ends {
                        return;
                    }
                    client.ask("read", &format!("{n}-{request}"));
                    thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    if let Some(at) = resets {
        thread::sleep(at.saturating_sub(start.elapsed()));
        discovery.resets_all();
    }
    thread::sleep(drains.saturating_sub(start.elapsed()));
    let changed = discovery.drains("c0");
    let allowed = changed + TOLD + GRACE + SLACK;
    thread::sleep(allowed.saturating_duration_since(Instant::now()));
    let before = caches[0].heard().len();
    let mut late = Vec::new();
    while start.elapsed() < ends {
        thread::sleep(Duration::from_millis(10));
        let heard = caches[0].heard().len() - before;
        late.resize(heard, (Instant::now() - allowed).as_secs_f64());
    }
    clients.into_iter().for_each(|client| client.join().expect("no panic"));
    let calls = discovery.told.lock().expect("no panic").calls;
    Day { late, told: discovery.told(), calls }
}

#[test]
fn a_fleet_before_a_discovery_that_refuses_what_it_has_no_room_for_is_told_and_keeps_the_grace() {
    let fleet = 32;
    let each = Duration::from_millis(250);
    let queue = Queue { each, longest: Duration::from_secs(1), spends: false };
    let day = plays(fleet, queue, None, Duration::from_secs(7), Duration::from_secs(18));
    assert!(day.late.is_empty(), "{:.2?} s past; {} told, {} calls", day.late, day.told, day.calls);
    assert!(day.told >= fleet, "{} of {fleet} were told, {} calls", day.told, day.calls);
}

#[test]
fn a_fleet_whose_watches_are_all_reset_is_told_again_before_what_it_missed_counts() {
    let fleet = 24;
    let queue = Queue { each: Duration::from_millis(150), longest: Duration::from_secs(1), spends: false };
    let (resets, drains, ends) = (Duration::from_secs(7), Duration::from_secs(9), Duration::from_secs(18));
    let day = plays(fleet, queue, Some(resets), drains, ends);
    assert!(day.late.is_empty(), "{:.2?} s past; {} told, {} calls", day.late, day.told, day.calls);
    assert!(day.told >= fleet, "{} of {fleet} were told, {} calls", day.told, day.calls);
}

/// It spends its work on calls that it refuses, so it takes long to tell all; those not told stop sending meanwhile.
#[test]
fn a_fleet_before_a_discovery_that_works_on_what_it_refuses_calls_ever_more_rarely_and_sends_nothing_late() {
    let fleet = 24;
    let queue = Queue { each: Duration::from_millis(220), longest: Duration::from_millis(500), spends: true };
    let day = plays(fleet, queue, None, Duration::from_secs(8), Duration::from_secs(24));
    assert!(day.late.is_empty(), "{:.2?} s past; {} told, {} calls", day.late, day.told, day.calls);
    println!("{} told, {} calls", day.told, day.calls);
    assert!(day.calls < fleet * 9, "{} calls", day.calls);
}

/// Silences, resets, drains, restarts of one or most, planned stops and pauses that overlap, drawn by their seed;
/// `flintwell-rig soak` plays many.
#[test]
fn days_of_overlapping_faults_round_a_busy_discovery_break_no_rule() {
    let _alone = ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    for seed in 0..2 {
        let folder = tempfile::tempdir().expect("a folder");
        let day = runtime.block_on(soak::run_day(seed, 24, Path::new(PROGRAM), folder.path()));
        let day = day.expect("it was played");
        assert!(day.violations.is_empty(), "seed {seed}: {:#?}", day.violations);
        assert!(day.served * 10 > day.requests * 7, "seed {seed}: {} of {}", day.served, day.requests);
    }
}
