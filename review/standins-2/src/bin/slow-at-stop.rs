//! A planned restart while some clients write their requests slowly. What the proxy reads and forwards after SIGTERM has
//! to be answered before SIGKILL, which comes at the page's earliest.

use standins_2::*;
use std::collections::HashSet;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const READ_LIMIT_S: f64 = 1.2;
const LONGEST_LIMIT_S: f64 = 1.5;
const CLIENTS: u64 = 24;

fn main() {
    run_case(|case| {
        let record = &case.record;
        // Work of the deployment: 48 to 86 ms a read, 100 to 190 ms a write.
        let backends = Backends::start(record, 4, (ms(70), ms(150), ms(150)));
        let (listen, management) = (free_address(), free_address());
        let config = Config {
            name: "n0",
            listen,
            management: Some(management),
            discovery: backends.discovery,
            more: String::new(),
            use_cases: [
                use_case("reading", "safe", 0.6, READ_LIMIT_S),
                use_case("settings", "keyed", 0.6, LONGEST_LIMIT_S),
            ]
            .join(","),
            index: 0,
            fleet_size: 1,
        };
        let config = case.write("n0.json", &config.text());
        let mut proxy = case.start_proxy("n0", &config, &case.folder("tmp"), None);
        if !wait_until(Duration::from_secs(10), || is_ready(management)) {
            cannot_run("the proxy is not ready");
        }
        thread::sleep(ms(500));
        // Each client writes the first half of its request 0.1 s before SIGTERM, and the rest at a time of its own.
        let stop_at = Instant::now() + ms(300);
        let answered: Arc<Mutex<HashSet<String>>> = Arc::default();
        let written: Arc<Mutex<HashSet<String>>> = Arc::default();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let (record, answered, written) = (record.clone(), answered.clone(), written.clone());
                thread::spawn(move || {
                    let id = format!("slow-{n}");
                    let request =
                        client_request("GET", &format!("logger-{n}"), &id, "reading", READ_LIMIT_S, "");
                    let (first, rest) = request.split_at(request.len() / 2);
                    thread::sleep((stop_at - ms(100)).saturating_duration_since(Instant::now()));
                    let Ok(mut open) = Connection::open(listen) else { return };
                    if open.stream.write_all(first).is_err() {
                        return;
                    }
                    thread::sleep((stop_at + ms(800 + 57 * n)).saturating_duration_since(Instant::now()));
                    if open.stream.write_all(rest).is_err() {
                        return;
                    }
                    record.note(format!("client: id {id}: last byte written"));
                    lock(&written).insert(id.clone());
                    let outcome = open.exchange(b"", ms(3_000));
                    record.note(format!(
                        "client: id {id}: {:?}",
                        outcome.as_ref().map(|it| it.as_ref().map(Message::status))
                    ));
                    if matches!(outcome, Ok(Some(_))) {
                        lock(&answered).insert(id);
                    }
                })
            })
            .collect();
        thread::sleep(stop_at.saturating_duration_since(Instant::now()));
        if case.trouble {
            proxy.signal("TERM");
            let kill_at = stop_at + Duration::from_secs_f64(LONGEST_LIMIT_S + 0.7);
            while Instant::now() < kill_at && proxy.ended().is_none() {
                thread::sleep(ms(2));
            }
            record.say(format!("ended before SIGKILL: {}", proxy.ended().is_some()));
            proxy.signal("KILL");
        }
        clients.into_iter().for_each(|client| drop(client.join()));
        let forwarded: HashSet<String> = backends.seen().into_iter().map(|seen| seen.id).collect();
        let (answered, written) = (lock(&answered), lock(&written));
        record.say(format!(
            "{} written whole, {} forwarded, {} answered",
            written.len(),
            forwarded.len(),
            answered.len()
        ));
        let mut lost: Vec<&String> = forwarded.iter().filter(|id| !answered.contains(*id)).collect();
        lost.sort();
        match lost.is_empty() {
            true => Vec::new(),
            false => vec![format!("{} accesses were read, forwarded and not answered: {lost:?}", lost.len())],
        }
    })
}
