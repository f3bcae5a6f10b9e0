//! A supervised proxy gets a new configuration and SIGHUP. It must not end, and clients must be served on.

use standins_2::*;
use std::thread;
use std::time::Duration;

const LIMIT_S: f64 = 1.2;

fn main() {
    run_case(|case| {
        let record = &case.record;
        let backends = Backends::start(record, 4, (ms(20), ms(60), ms(60)));
        let (listen, control) = (free_address(), free_address());
        let management = [free_address(), free_address()];
        let config = |discovery| {
            let config = Config {
                name: "n0",
                listen,
                management: None,
                discovery,
                more: String::new(),
                use_cases: use_case("reading", "safe", 0.6, LIMIT_S),
                index: 0,
                fleet_size: 1,
            };
            case.write("n0.json", &config.text())
        };
        let file = config(backends.discovery);
        let supervise = case.write(
            "supervise.toml",
            &format!(
                "name = \"n0\"\nfleet = \"padana\"\nstate = \"{}\"\nlisten = \"{listen}\"\ncontrol = \"{control}\"\n\
                 management = [\"{}\", \"{}\"]\nprogram = \"target/release/flintwell\"\nconfig = \"{}\"\n\
                 ready_within_s = 6\n",
                case.folder("state").display(),
                management[0],
                management[1],
                file.display()
            ),
        );
        let command = format!("exec target/release/flintwell supervise --config {}", supervise.display());
        let mut supervisor = case.start("supervisor", &command, &[], None);
        if !wait_until(Duration::from_secs(10), || is_ready(management[0])) {
            cannot_run("the supervised process is not ready");
        }
        let mut served = [0, 0];
        let mut unanswered = 0;
        for round in 0..60 {
            let request = client_request("GET", "logger-7", &format!("r{round}"), "reading", LIMIT_S, "");
            let reply = Connection::open(listen).and_then(|mut it| it.exchange(&request, ms(1_700)));
            let outcome = match &reply {
                Ok(Some(message)) => message.status().to_string(),
                Ok(None) => "closed".into(),
                Err(error) => error.to_string(),
            };
            record.note(format!("client: id r{round}: {outcome}"));
            let is_served = matches!(&reply, Ok(Some(message)) if message.status() == 200);
            served[usize::from(round >= 20)] += usize::from(is_served);
            unanswered += usize::from(!matches!(reply, Ok(Some(_))));
            if round == 19 && case.trouble {
                config(backends.second_discovery());
                supervisor.signal("HUP");
            }
            thread::sleep(ms(100));
        }
        let ended = supervisor.ended();
        record.say(format!(
            "served {} of 20 before, {} of 40 after, {unanswered} with no answer",
            served[0], served[1]
        ));
        if served[0] < 20 {
            cannot_run("not served before");
        }
        let mut broken = Vec::new();
        if let Some(status) = ended {
            broken.push(format!(
                "the program ended on SIGHUP: {status}; {} of 40 requests served after",
                served[1]
            ));
        }
        broken
    })
}
