//! A client sends many requests at once on one connection. Each has to get its final answer by its own time and half a
//! second, counted from its last byte.

use standins_2::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMIT_S: f64 = 1.2;
const COUNT: usize = 16;

fn main() {
    run_case(|case| {
        let record = &case.record;
        let backends = Backends::start(record, 4, (ms(70), ms(200), ms(200)));
        let (listen, management) = (free_address(), free_address());
        let config = Config {
            name: "n0",
            listen,
            management: Some(management),
            discovery: backends.discovery,
            more: String::new(),
            use_cases: use_case("reading", "safe", 0.6, LIMIT_S),
            index: 0,
            fleet_size: 1,
        };
        let config = case.write("n0.json", &config.text());
        let _proxy = case.start_proxy("n0", &config, &case.folder("tmp"), None);
        if !wait_until(Duration::from_secs(10), || is_ready(management)) {
            cannot_run("the proxy is not ready");
        }
        thread::sleep(ms(500));
        let request = |n: usize| {
            client_request("GET", &format!("logger-{n}"), &format!("p{n}"), "reading", LIMIT_S, "")
        };
        // Answers with the time that each took.
        let answers: Arc<Mutex<Vec<(usize, f64, u16)>>> = Arc::default();
        if case.trouble {
            let mut all = Vec::new();
            (0..COUNT).for_each(|n| all.extend(request(n)));
            let mut open = Connection::open(listen).unwrap_or_else(|error| cannot_run(error.to_string()));
            open.stream.write_all(&all).unwrap_or_else(|error| cannot_run(error.to_string()));
            let sent = Instant::now();
            record.say(format!("client: {COUNT} requests sent at once on one connection"));
            for n in 0..COUNT {
                match open.exchange(b"", ms(8_000)) {
                    Ok(Some(message)) => {
                        record.note(format!("client: id p{n}: {}", message.status()));
                        lock(&answers).push((n, sent.elapsed().as_secs_f64(), message.status()));
                    }
                    other => {
                        record.note(format!("client: id p{n}: no answer: {other:?}"));
                        break;
                    }
                }
            }
        } else {
            let clients: Vec<_> = (0..COUNT)
                .map(|n| {
                    let (answers, record, request) = (answers.clone(), record.clone(), request(n));
                    thread::spawn(move || {
                        let sent = Instant::now();
                        let reply =
                            Connection::open(listen).and_then(|mut it| it.exchange(&request, ms(8_000)));
                        if let Ok(Some(message)) = reply {
                            record.note(format!("client: id p{n}: {}", message.status()));
                            lock(&answers).push((n, sent.elapsed().as_secs_f64(), message.status()));
                        }
                    })
                })
                .collect();
            clients.into_iter().for_each(|client| drop(client.join()));
        }
        let answers = lock(&answers).clone();
        for (n, took, status) in &answers {
            record.say(format!("p{n}: {status} after {took:.3} s"));
        }
        let mut broken = Vec::new();
        let late = answers.iter().filter(|answer| answer.1 > LIMIT_S + 0.5).count();
        if late > 0 {
            broken.push(format!(
                "{late} of {COUNT} got their answer later than half a second after their time"
            ));
        }
        if answers.len() < COUNT {
            broken.push(format!("{} of {COUNT} got no answer", COUNT - answers.len()));
        }
        broken
    })
}
