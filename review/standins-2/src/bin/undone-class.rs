//! A change that adds a use case is taken back while clients still send accesses of it. What may not run twice must
//! not run twice, whichever settings are in force when its last byte comes.

use standins_2::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMIT_S: f64 = 2.0;
const MAX_ORDERS: usize = 8;
const BODY: &str = "one order to the presses, not to be carried out twice\n";

fn main() {
    run_case(|case| {
        let record = &case.record;
        let backends = Backends::start(record, 4, (ms(100), ms(150), ms(150)));
        let old_cases = use_case("proof-view", "safe", 0.5, 1.5);
        let new_cases = [old_cases.clone(), use_case("press-release", "unsafe", 1.0, LIMIT_S)].join(",");
        let (listen, management) = (free_address(), free_address());
        let config = Config {
            name: "n0",
            listen,
            management: Some(management),
            discovery: backends.discovery,
            more: format!(
                r#", "rollout": {{ "fleet": "padana", "state": "{}" }}"#,
                case.folder("state").display()
            ),
            use_cases: old_cases,
            index: 0,
            fleet_size: 1,
        };
        let config = case.write("n0.json", &config.text());
        let _proxy = case.start_proxy("n0", &config, &case.folder("tmp"), None);
        if !wait_until(Duration::from_secs(10), || is_ready(management)) {
            cannot_run("the proxy is not ready");
        }
        case.write("new-settings.json", &format!("{{\"use_cases\": [{new_cases}]}}\n"));
        let plan = case.write(
            "plan.toml",
            &format!(
                "fleet = \"padana\"\nsettings = \"new-settings.json\"\nstages = [\"100%\"]\n\
                 [times]\nobserve_s = 1\nsettle_s = 1\nwatch_s = 20\nconfirm_within_s = 15\n\
                 [[members]]\nname = \"n0\"\nzone = \"here\"\nat = \"{management}\"\n"
            ),
        );
        let epoch = || {
            let reply = call(management, "GET", "/api/rollout/status", "").ok();
            reply.and_then(|reply| json_number(&reply.1, "epoch"))
        };
        // Usual reads all the while, one after the other on a connection of each client.
        let stop = Arc::new(AtomicBool::new(false));
        let mut readers = Vec::new();
        for reader in 0..8 {
            let (record, stop) = (record.clone(), stop.clone());
            readers.push(thread::spawn(move || {
                let mut connection: Option<Connection> = None;
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("read-{reader}-{count}");
                    let request = client_request(
                        "GET",
                        &format!("key-{}", reader * 3 + count % 3),
                        &id,
                        "proof-view",
                        1.5,
                        "",
                    );
                    let open = connection.take().or_else(|| Connection::open(listen).ok());
                    if let Some(mut open) = open
                        && let Ok(Some(message)) = open.exchange(&request, ms(2_500))
                    {
                        record.note(format!("reader {reader}: id {id}: {}", message.status()));
                        connection = Some(open).filter(|_| message.header("connection") != "close");
                    }
                    thread::sleep(ms(10));
                }
            }));
        }
        let command = format!("exec target/release/flintwell rollout start {}", plan.display());
        let mut rollout = case.start("rollout", &command, &[], None);
        if !wait_until(Duration::from_secs(10), || epoch() == Some(1)) {
            cannot_run("the change was not rolled out");
        }
        thread::sleep(ms(1_000));
        // The orders: a client writes the head and half of the body, and the rest 0.7 s later.
        let answers: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
        let send_order = |number: usize| {
            let (record, answers) = (record.clone(), answers.clone());
            lock(&backends.broken_off).insert(format!("order-key-{number}"));
            thread::spawn(move || {
                let id = format!("order-{number}");
                let request = client_request(
                    "PUT",
                    &format!("order-key-{number}"),
                    &id,
                    "press-release",
                    LIMIT_S,
                    BODY,
                );
                let (first, rest) = request.split_at(request.len() - BODY.len() / 2);
                let sent = Connection::open(listen).and_then(|mut open| {
                    open.stream.write_all(first)?;
                    record.note(format!("client: id {id}: head and half of the body written"));
                    thread::sleep(ms(700));
                    record.note(format!("client: id {id}: the rest is written"));
                    open.exchange(rest, ms(3_000))
                });
                let outcome = match sent {
                    Ok(Some(message)) => message.status().to_string(),
                    Ok(None) => "closed with no answer".into(),
                    Err(error) => error.to_string(),
                };
                record.note(format!("client: id {id}: {outcome}"));
                lock(&answers).insert(id, outcome);
            })
        };
        let began = Instant::now();
        let mut clients = Vec::new();
        if case.trouble {
            let command = format!("exec target/release/flintwell rollout abort {}", plan.display());
            let mut abort = case.start("abort", &command, &[], None);
            record.say(format!("abort: {:?}", abort.wait(Duration::from_secs(5))));
        }
        while began.elapsed() < ms(1_500) && clients.len() < MAX_ORDERS {
            clients.push(send_order(clients.len()));
            thread::sleep(ms(60));
            if case.trouble && epoch() == Some(0) {
                break;
            }
        }
        if case.trouble {
            wait_until(ms(500), || epoch() == Some(0));
        }
        record.say(format!("epoch in force now: {:?}, {} orders begun", epoch(), clients.len()));
        if case.trouble && epoch() != Some(0) {
            cannot_run("the change was not taken back in time");
        }
        clients.into_iter().for_each(|client| drop(client.join()));
        thread::sleep(ms(2_500));
        if case.trouble {
            record.say(format!("the rollout ended with {:?}", rollout.wait(Duration::from_secs(10))));
        }
        stop.store(true, Ordering::Relaxed);
        readers.into_iter().for_each(|reader| drop(reader.join()));
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for seen in backends.seen() {
            if seen.id.starts_with("order-") {
                *runs.entry(seen.id).or_default() += 1;
            }
        }
        let answers = lock(&answers);
        if runs.is_empty() {
            cannot_run("no order reached the origin");
        }
        let mut broken = Vec::new();
        for (id, answer) in answers.iter() {
            let count = runs.get(id).copied().unwrap_or(0);
            record.say(format!("{id}: run {count} times, answered {answer}"));
            if count > 1 {
                broken.push(format!("the single-use access {id} ran {count} times"));
            }
            if count > 0 && (answer == "503" || answer == "429") {
                broken.push(format!("the single-use access {id} has run and was turned back as harmless"));
            }
        }
        broken
    })
}
