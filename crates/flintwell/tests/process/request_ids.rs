//! Ids of open requests, and of unsafe requests that may have run, between processes of one proxy.

use crate::operations::TempDirectory;
use crate::support::*;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// Long enough for what a test does while requests are open at the origin.
const ORIGIN_TIME: Duration = Duration::from_millis(700);
/// Unsafe requests that fill the room that a process gives itself at its origin; one more is held.
const ORIGIN_ROOM: usize = 8;
/// Until a request that was written has been read and either sent or held.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// An origin, and the directory of two processes of one proxy. Each process has a client address of its own, so that a
/// test determines which one gets a request.
struct Upgrade {
    origin: StubServer,
    directory: TempDirectory,
}

impl Upgrade {
    fn new() -> Self {
        let origin = StubServer::start(|_, _| Action::RespondAfter(ORIGIN_TIME, "value"));
        Upgrade { origin, directory: TempDirectory::new() }
    }

    fn start_process(&self) -> Proxy {
        let mut config = config(not_found_server().addr, self.origin.addr);
        for class in config["settings"]["use_cases"].as_array_mut().expect("classes") {
            class["goal_time"] = 2.5.into();
            class["outer_limit"] = 6.0.into();
        }
        Proxy::start_in(&config, &self.directory.0)
    }

    /// Number of times that the origin got the request with this id.
    fn runs(&self, id: &str) -> usize {
        self.origin.requests().iter().filter(|request| request.header("x-request-id") == Some(id)).count()
    }
}

/// Sends a request without reading its response.
fn send(addr: SocketAddr, class: &str, id: &str) -> Client {
    let mut client = Client::connect(addr);
    send_on(&mut client, class, id);
    client
}

fn send_on(client: &mut Client, class: &str, id: &str) {
    let (method, body) = if class == "read" { ("GET", "") } else { ("PUT", "v") };
    client.send(&format!(
        "{method} /api/{id} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Deadline: 5.0\r\nIdempotency-Key: m-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
}

fn request(addr: SocketAddr, class: &str, id: &str) -> u16 {
    send(addr, class, id).read_response().expect("response").status()
}

/// Fills the room at the origin, so that the next request that needs the origin is held.
fn fill_origin(addr: SocketAddr) -> Vec<Client> {
    let fillers = (0..ORIGIN_ROOM).map(|n| send(addr, "once", &format!("filler-{n}"))).collect();
    thread::sleep(ARRIVAL_TIME);
    fillers
}

/// Guards against a second run of a held unsafe request, and against answering another client with its id, at an upgrade.
#[test]
fn id_of_a_request_that_one_process_holds_is_refused_by_the_other() {
    let upgrade = Upgrade::new();
    let old = upgrade.start_process();
    let fillers = fill_origin(old.addr);
    let mut held: Vec<_> = ["once", "write", "read"]
        .map(|class| (class, send(old.addr, class, &format!("held-{class}"))))
        .into();
    thread::sleep(ARRIVAL_TIME);
    let new = upgrade.start_process();
    for (class, _) in &held {
        let id = format!("held-{class}");
        assert_eq!(upgrade.runs(&id), 0, "{class} is held");
        assert_eq!(request(new.addr, class, &id), 409, "{class} is open at the old process");
    }
    for (class, client) in &mut held {
        assert_eq!(client.read_response().expect("response").status(), 200, "{class}");
        assert_eq!(upgrade.runs(&format!("held-{class}")), 1, "{class}");
    }
    drop(fillers);
}

/// Guards against the same between a process that starts later and one that was there before, in both directions.
#[test]
fn id_that_is_open_at_any_of_three_processes_is_refused_by_the_others() {
    let upgrade = Upgrade::new();
    let processes = [upgrade.start_process(), upgrade.start_process(), upgrade.start_process()];
    let mut open: Vec<_> =
        processes.iter().map(|process| send(process.addr, "read", &format!("id-{}", process.addr))).collect();
    thread::sleep(ARRIVAL_TIME);
    for process in &processes {
        for other in processes.iter().filter(|other| other.addr != process.addr) {
            assert_eq!(request(process.addr, "read", &format!("id-{}", other.addr)), 409);
        }
    }
    assert!(open.iter_mut().all(|client| client.read_response().expect("response").status() == 200));
    let id = format!("id-{}", processes[0].addr);
    assert_eq!(request(processes[1].addr, "read", &id), 200, "it is not open any more");
}

/// Guards against turning away a sound client whose request was held and given up by it with nothing run.
#[test]
fn client_that_left_with_nothing_run_is_served_by_the_other_process() {
    let upgrade = Upgrade::new();
    let (old, new) = (upgrade.start_process(), upgrade.start_process());
    let fillers = fill_origin(old.addr);
    let classes = ["once", "write", "read"];
    let held = classes.map(|class| send(old.addr, class, &format!("left-{class}")));
    thread::sleep(ARRIVAL_TIME);
    drop(held);
    let mut again = classes.map(|class| (class, send(new.addr, class, &format!("left-{class}"))));
    for (class, client) in &mut again {
        assert_eq!(client.read_response().expect("response").status(), 200, "{class}");
        assert_eq!(upgrade.runs(&format!("left-{class}")), 1, "{class}");
    }
    drop(fillers);
}

/// Guards against ids that a killed process leaves open for good, and against forgetting what it may have run.
#[test]
fn killed_process_leaves_no_id_open_and_its_unsafe_requests_do_not_run_again() {
    let upgrade = Upgrade::new();
    let (old, new) = (upgrade.start_process(), upgrade.start_process());
    let fillers = fill_origin(old.addr);
    let held = send(old.addr, "once", "held");
    thread::sleep(ARRIVAL_TIME);
    drop(old);
    assert_eq!(request(new.addr, "once", "held"), 200, "it has not run");
    assert_eq!(request(new.addr, "once", "filler-0"), 409, "it may have run");
    assert_eq!((upgrade.runs("held"), upgrade.runs("filler-0")), (1, 1));
    drop((held, fillers));
}

/// Guards against a second run where the id of a running unsafe request comes to a process that started later.
#[test]
fn unsafe_request_in_flight_is_refused_by_a_process_that_starts_later() {
    let upgrade = Upgrade::new();
    let old = upgrade.start_process();
    let mut running = send(old.addr, "once", "running");
    thread::sleep(ARRIVAL_TIME);
    let new = upgrade.start_process();
    assert_eq!(request(new.addr, "once", "running"), 409);
    assert_eq!(running.read_response().expect("response").status(), 200);
    assert_eq!(request(new.addr, "once", "running"), 409, "it has run");
    assert_eq!(upgrade.runs("running"), 1);
}

/// Guards against a second run after the processes of an upgrade have been killed and another one has been started.
#[test]
fn unsafe_request_of_an_upgrade_does_not_run_again_after_a_restart() {
    let upgrade = Upgrade::new();
    let (old, new) = (upgrade.start_process(), upgrade.start_process());
    assert_eq!(request(old.addr, "once", "ran"), 200);
    drop((old, new));
    let restarted = upgrade.start_process();
    assert_eq!(request(restarted.addr, "once", "ran"), 409);
    assert_eq!(upgrade.runs("ran"), 1);
}
