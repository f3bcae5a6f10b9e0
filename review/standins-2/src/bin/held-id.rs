//! A single-use access is held at a process for room at the origin while its successor starts beside it; a bad client
//! sends the same id meanwhile. It must not run twice, nor may the bad client be served.

use standins_2::*;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMIT_S: f64 = 6.0;

fn main() {
    run_case(|case| {
        let record = &case.record;
        // The origin is slow: seven times the 200 ms of a write.
        let backends = Backends::start(record, 3, (ms(20), ms(200), ms(1_400)));
        let socket = TcpListener::bind("127.0.0.1:0").expect("the clients' socket");
        let clients = socket.local_addr().expect("its address");
        let folder = case.folder("tmp");
        let use_cases =
            [use_case("quote", "safe", 1.5, LIMIT_S), use_case("bind", "unsafe", 2.5, LIMIT_S)].join(",");
        let management = [free_address(), free_address()];
        let config = |n: usize| {
            let config = Config {
                name: "n0",
                listen: clients,
                management: Some(management[n]),
                discovery: backends.discovery,
                more: String::new(),
                use_cases: use_cases.clone(),
                index: 0,
                fleet_size: 1,
            };
            case.write(&format!("config-{n}.json"), &config.text())
        };
        let old = case.start_proxy("old", &config(0), &folder, Some(&socket));
        if !wait_until(Duration::from_secs(10), || is_ready(management[0])) {
            cannot_run("the first process is not ready");
        }
        thread::sleep(ms(1_500));
        let answers: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
        let began = Instant::now();
        let put = |id: String, wait: Duration| {
            let (answers, record) = (answers.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(wait);
                let request = client_request("PUT", &format!("k-{id}"), &id, "bind", LIMIT_S, "one policy\n");
                record.note(format!("client: PUT k-{id} id {id}"));
                let reply = Connection::open(clients).and_then(|mut it| it.exchange(&request, ms(7_000)));
                let reply = match reply {
                    Ok(Some(message)) => format!("{} {}", message.status(), message.text().trim()),
                    Ok(None) => "closed with no answer".into(),
                    Err(error) => error.to_string(),
                };
                record.note(format!("client: id {id}: {reply}"));
                lock(&answers).push((id, reply));
            })
        };
        // As many writes as the process has out at the origin at once, and the one that it holds.
        let mut threads: Vec<_> = (0..8).map(|n| put(format!("w{n}"), ms(0))).collect();
        threads.push(put("held".into(), ms(60)));
        thread::sleep(ms(120));
        let _new = case.trouble.then(|| case.start_proxy("new", &config(1), &folder, Some(&socket)));
        let is_new_ready = || !case.trouble || is_ready(management[1]);
        if !wait_until(ms(1_000), is_new_ready) {
            cannot_run("the second process is not ready in time");
        }
        record.say(format!("the second process is ready after {:.3} s", began.elapsed().as_secs_f64()));
        // The bad client: the same again as soon as it is turned away.
        let mut served = Vec::new();
        while began.elapsed() < ms(1_300) && served.is_empty() {
            let request = client_request("PUT", "k-held", "held", "bind", LIMIT_S, "one policy\n");
            let reply = Connection::open(clients).and_then(|mut it| it.exchange(&request, ms(7_000)));
            let reply = reply.ok().flatten();
            let status = reply.as_ref().map_or(0, Message::status);
            record.note(format!("bad client: id held: {status}"));
            if status == 200 {
                served
                    .push("a bad client was served with the id of another client's open request".to_owned());
            }
            thread::sleep(ms(15));
        }
        if case.trouble {
            old.signal("TERM");
        }
        threads.into_iter().for_each(|thread| drop(thread.join()));
        thread::sleep(ms(300));
        let runs: Vec<_> = backends.seen().into_iter().filter(|seen| seen.id == "held").collect();
        runs.iter().for_each(|run| record.say(format!("the origin ran {} at {:.3} s", run.id, run.at)));
        if lock(&answers).len() != 9 {
            cannot_run("answers are missing");
        }
        let mut broken = served;
        if runs.len() > 1 {
            broken.push(format!("the single-use access `held` ran {} times", runs.len()));
        }
        broken
    })
}
