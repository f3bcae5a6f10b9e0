//! A new version ends by itself shortly after it took over, while the old process still takes in a slow client's body.
//! The version before has to be put back at once, and accesses that come then have to be answered.

use standins_2::*;
use std::fs;
use std::io::Write;
use std::os::unix::fs::PermissionsExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMIT_S: f64 = 1.2;
const UPLOAD_BYTES: usize = 2_560_000;
const RATE_BYTES_PER_S: usize = 64_000;

fn main() {
    run_case(|case| {
        let record = &case.record;
        let backends = Backends::start(record, 4, (ms(20), ms(60), ms(60)));
        let (listen, control) = (free_address(), free_address());
        let management = [free_address(), free_address()];
        let config = Config {
            name: "n0",
            listen,
            management: None,
            discovery: backends.discovery,
            more: String::new(),
            use_cases: [use_case("reading", "safe", 0.6, LIMIT_S), use_case("batch", "safe", 0.6, LIMIT_S)]
                .join(","),
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
        // A version that ends by itself two seconds after its start.
        let version = case.write(
            "version.sh",
            &format!(
                "#!/bin/sh\nsh -c 'LISTEN_PID=$$ exec \"$0\" \"$@\"' {} \"$@\" &\nsleep 2\nkill -9 $!\nexit 9\n",
                program.display()
            ),
        );
        fs::set_permissions(&version, fs::Permissions::from_mode(0o755)).expect("permissions");
        case.write("new-program.json", &format!("{{\"program\": \"{}\"}}\n", version.display()));
        let plan = case.write(
            "plan.toml",
            &format!(
                "fleet = \"padana\"\nwhat = \"programs\"\nsettings = \"new-program.json\"\nstages = [\"100%\"]\n\
                 [times]\nobserve_s = 1\nsettle_s = 0.5\nwatch_s = 10\nconfirm_within_s = 15\n\
                 [[members]]\nname = \"n0\"\nzone = \"here\"\nat = \"{control}\"\n"
            ),
        );
        let stop = Arc::new(AtomicBool::new(false));
        // With the disruption, a client sends a long body at 64 kB/s.
        let uploader = case.trouble.then(|| {
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                let body = "x".repeat(UPLOAD_BYTES);
                let request = client_request("PUT", "batch-1", "upload", "batch", LIMIT_S, &body);
                let Ok(mut open) = Connection::open(listen) else { return };
                record.note("client: PUT batch-1 id upload begins");
                for part in request.chunks(RATE_BYTES_PER_S / 10) {
                    if stop.load(Ordering::Relaxed) || open.stream.write_all(part).is_err() {
                        record.note("client: id upload: the connection ended, or the case did");
                        return;
                    }
                    thread::sleep(ms(100));
                }
                let reply = open.exchange(b"", ms(3_000)).ok().flatten();
                record.note(format!("client: id upload: {:?}", reply.map(|message| message.status())));
            })
        });
        thread::sleep(ms(1_500));
        // Each 100 ms a client comes on a new connection: when it came, and whether it was answered in time.
        let accesses: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
        let (feed_stop, feed_accesses, feed_record) = (stop.clone(), accesses.clone(), record.clone());
        let feed = thread::spawn(move || {
            let mut clients = Vec::new();
            let mut count = 0;
            while !feed_stop.load(Ordering::Relaxed) {
                count += 1;
                let (record, accesses) = (feed_record.clone(), feed_accesses.clone());
                clients.push(thread::spawn(move || {
                    let id = format!("r{count}");
                    let request =
                        client_request("GET", &format!("key-{}", count % 9), &id, "reading", LIMIT_S, "");
                    let came = Instant::now();
                    let reply = Connection::open(listen).and_then(|mut it| it.exchange(&request, ms(1_700)));
                    let outcome = match &reply {
                        Ok(Some(message)) => message.status().to_string(),
                        Ok(None) => "closed with no answer".into(),
                        Err(error) => format!("no answer: {error}"),
                    };
                    record.note(format!("client: id {id}: {outcome}"));
                    lock(&accesses).push((came, matches!(reply, Ok(Some(_)))));
                }));
                thread::sleep(ms(100));
            }
            clients.into_iter().for_each(|client| drop(client.join()));
        });
        let command = format!("exec target/release/flintwell rollout start {}", plan.display());
        let mut rollout = case.start("rollout", &command, &[], None);
        let log = || fs::read_to_string(case.temp.join("supervisor.log")).unwrap_or_default();
        if !wait_until(Duration::from_secs(15), || log().contains("exited")) {
            cannot_run("the new version did not end");
        }
        let ended = Instant::now();
        record.say("the new version has ended");
        thread::sleep(Duration::from_secs(20));
        stop.store(true, Ordering::Relaxed);
        let _ = feed.join();
        uploader.into_iter().for_each(|uploader| drop(uploader.join()));
        record.say(format!("the rollout ended with {:?}", rollout.wait(Duration::from_secs(15))));
        let mut all = lock(&accesses).clone();
        all.sort();
        // A second is left for putting the version before back: a process is ready within 0.2 s here.
        let after: Vec<&(Instant, bool)> = all.iter().filter(|access| access.0 > ended + ms(1_000)).collect();
        let lost: Vec<f64> =
            after.iter().filter(|access| !access.1).map(|access| (access.0 - ended).as_secs_f64()).collect();
        record.say(format!(
            "{} accesses came later than 1 s after that, {} got no answer",
            after.len(),
            lost.len()
        ));
        match (lost.first(), lost.last()) {
            (Some(first), Some(last)) => vec![format!(
                "{} of {} accesses that came {first:.1} to {last:.1} s after the version's end got no answer in their time",
                lost.len(),
                after.len()
            )],
            _ => Vec::new(),
        }
    })
}
