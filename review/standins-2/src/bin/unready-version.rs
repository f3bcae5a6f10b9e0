//! A new version of the program under a supervisor takes clients at the shared socket and never says that it is ready,
//! since it does not open its second address. What it has taken must be answered when it is given up.

use standins_2::*;
use std::collections::HashSet;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LIMIT_S: f64 = 1.2;

/// One client: requests one after the other, on a connection that it keeps.
fn client(
    number: usize,
    at: std::net::SocketAddr,
    record: Record,
    stop: Arc<AtomicBool>,
    unanswered: Arc<Mutex<Vec<String>>>,
) {
    let mut connection: Option<Connection> = None;
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        if connection.is_none() {
            connection = Connection::open(at).ok();
        }
        let Some(open) = connection.as_mut() else {
            thread::sleep(ms(20));
            continue;
        };
        count += 1;
        let id = format!("c{number}-{count}");
        let request = client_request("GET", &format!("logger-{}", number % 40), &id, "reading", LIMIT_S, "");
        let reply = open.exchange(&request, ms(1_700));
        let is_last = match &reply {
            Ok(Some(message)) => {
                record.note(format!("client {number}: id {id}: {}", message.status()));
                message.header("connection") == "close"
            }
            _ => {
                record.note(format!("client {number}: id {id}: no answer: {:?}", reply.err()));
                lock(&unanswered).push(id);
                true
            }
        };
        if is_last {
            connection = None;
        }
        thread::sleep(ms(30));
    }
}

fn main() {
    run_case(|case| {
        let record = &case.record;
        let backends = Backends::start(record, 4, (ms(70), ms(200), ms(200)));
        let (listen, control) = (free_address(), free_address());
        let management = [free_address(), free_address()];
        let config = Config {
            name: "n0",
            listen,
            management: None,
            discovery: backends.discovery,
            more: String::new(),
            use_cases: use_case("reading", "safe", 0.6, LIMIT_S),
            index: 0,
            fleet_size: 1,
        };
        let config = case.write("n0.json", &config.text());
        let program = case.root.join("target/release/flintwell");
        let supervise = case.write(
            "supervise.toml",
            &format!(
                "name = \"n0\"\nfleet = \"padana\"\nstate = \"{}\"\nlisten = \"{listen}\"\ncontrol = \"{control}\"\n\
                 management = [\"{}\", \"{}\"]\nprogram = \"{}\"\nconfig = \"{}\"\nready_within_s = 6\n",
                case.folder("state").display(),
                management[0],
                management[1],
                program.display(),
                config.display()
            ),
        );
        let command = format!("exec target/release/flintwell supervise --config {}", supervise.display());
        let _supervisor = case.start("supervisor", &command, &[], None);
        if !wait_until(Duration::from_secs(10), || is_ready(management[0])) {
            cannot_run("the supervised process is not ready");
        }
        // The bad version does not open its second address; else it is the same program.
        let forget = if case.trouble { "unset EDGE_MGMT; " } else { "" };
        let version =
            case.write("version.sh", &format!("#!/bin/sh\n{forget}exec {} \"$@\"\n", program.display()));
        fs::set_permissions(&version, fs::Permissions::from_mode(0o755)).expect("permissions");
        case.write("new-program.json", &format!("{{\"program\": \"{}\"}}\n", version.display()));
        let plan = case.write(
            "plan.toml",
            &format!(
                "fleet = \"padana\"\nwhat = \"programs\"\nsettings = \"new-program.json\"\nstages = [\"100%\"]\n\
                 [times]\nobserve_s = 1\nsettle_s = 0.5\nwatch_s = 3\nconfirm_within_s = 15\n\
                 [[members]]\nname = \"n0\"\nzone = \"here\"\nat = \"{control}\"\n"
            ),
        );
        let (stop, unanswered) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<String>>>::default());
        let mut threads = Vec::new();
        let mut more_clients = |count: usize| {
            for _ in 0..count {
                let (record, stop, unanswered) = (record.clone(), stop.clone(), unanswered.clone());
                let number = threads.len();
                threads.push(thread::spawn(move || client(number, listen, record, stop, unanswered)));
                thread::sleep(ms(100));
            }
        };
        more_clients(10);
        let command = format!("exec target/release/flintwell rollout start {}", plan.display());
        let mut rollout = case.start("rollout", &command, &[], None);
        more_clients(40);
        let code = rollout.wait(Duration::from_secs(40));
        record.say(format!("the rollout ended with {code:?}"));
        more_clients(5);
        stop.store(true, Ordering::Relaxed);
        threads.into_iter().for_each(|thread| drop(thread.join()));
        if code != Some(if case.trouble { 1 } else { 0 }) {
            cannot_run("the rollout did not end as meant");
        }
        // Only what a proxy had surely read: a cache node or the origin got it.
        let forwarded: HashSet<String> = backends.seen().into_iter().map(|seen| seen.id).collect();
        let unanswered = lock(&unanswered).clone();
        let lost: Vec<&String> = unanswered.iter().filter(|id| forwarded.contains(*id)).collect();
        record.say(format!("{} ids forwarded, {} without an answer", forwarded.len(), unanswered.len()));
        match lost.is_empty() {
            true => Vec::new(),
            false => {
                vec![format!("{} accesses were taken and forwarded and got no answer: {lost:?}", lost.len())]
            }
        }
    })
}
