//! A change that was rolled out is undone while one member says nothing for some seconds. Once `undo` tells that it is
//! undone, no member may keep the change.

use standins_2::*;
use std::thread;
use std::time::Duration;

const LIMIT_S: f64 = 1.2;

fn main() {
    run_case(|case| {
        let record = &case.record;
        let backends = Backends::start(record, 3, (ms(10), ms(30), ms(30)));
        let old_cases = use_case("reading", "safe", 0.6, LIMIT_S);
        let new_cases = [old_cases.clone(), use_case("report", "safe", 0.6, LIMIT_S)].join(",");
        let members: Vec<_> = (0..4).map(|_| (free_address(), free_address())).collect();
        let mut proxies = Vec::new();
        for (n, (listen, management)) in members.iter().enumerate() {
            let state = case.folder(&format!("state-{n}"));
            let name = format!("n{n}");
            let config = Config {
                name: &name,
                listen: *listen,
                management: Some(*management),
                discovery: backends.discovery,
                more: format!(r#", "rollout": {{ "fleet": "padana", "state": "{}" }}"#, state.display()),
                use_cases: old_cases.clone(),
                index: n,
                fleet_size: 4,
            };
            let config = case.write(&format!("{name}.json"), &config.text());
            proxies.push(case.start_proxy(&name, &config, &case.folder(&format!("tmp-{n}")), None));
        }
        if !wait_until(Duration::from_secs(10), || members.iter().all(|member| is_ready(member.1))) {
            cannot_run("the proxies are not ready");
        }
        case.write("new-settings.json", &format!("{{\"use_cases\": [{new_cases}]}}\n"));
        let listed: String = (members.iter().enumerate())
            .map(|(n, member)| {
                format!("[[members]]\nname = \"n{n}\"\nzone = \"here\"\nat = \"{}\"\n", member.1)
            })
            .collect();
        let plan = case.write(
            "plan.toml",
            &format!(
                "fleet = \"padana\"\nsettings = \"new-settings.json\"\nstages = [\"100%\"]\n\
                 [times]\nobserve_s = 1\nsettle_s = 1\nwatch_s = 2\nconfirm_within_s = 15\n{listed}"
            ),
        );
        // What a client sees: whether the use case of the change is known at each proxy.
        let knows_report = || -> Vec<bool> {
            let status = |n: usize, at| {
                let request = client_request("GET", "logger-1", &format!("p{n}"), "report", LIMIT_S, "");
                let reply = Connection::open(at).and_then(|mut it| it.exchange(&request, ms(1_700)));
                reply.ok().flatten().map_or(0, |message| message.status())
            };
            let all: Vec<u16> = members.iter().enumerate().map(|(n, member)| status(n, member.0)).collect();
            record.say(format!("clients' accesses of the new use case: {all:?}"));
            all.into_iter().map(|status| status != 400).collect()
        };
        let epochs = || -> Vec<Option<u64>> {
            let status = |at| call(at, "GET", "/api/rollout/status", "").ok();
            let all: Vec<_> = (members.iter())
                .map(|member| status(member.1).and_then(|reply| json_number(&reply.1, "epoch")))
                .collect();
            record.say(format!("epochs in force: {all:?}"));
            all
        };
        let rollout = |word: &str, name: &str| {
            let command = format!("exec target/release/flintwell rollout {word} {}", plan.display());
            let mut process = case.start(name, &command, &[], None);
            let code = process.wait(Duration::from_secs(40));
            record.say(format!("rollout {word} ended with {code:?}"));
            code
        };
        if rollout("start", "start") != Some(0) || epochs().iter().any(|epoch| *epoch != Some(1)) {
            cannot_run("the change was not rolled out");
        }
        if knows_report() != [true; 4] {
            cannot_run("the change is not seen by clients");
        }
        if case.trouble {
            // The member is cut off for five seconds.
            proxies[3].signal("STOP");
            let id = proxies[3].id();
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(ms(5_000));
                record.say("n3: SIGCONT");
                let _ =
                    std::process::Command::new("/bin/sh").args(["-c", &format!("kill -CONT {id}")]).status();
            });
        }
        let code = rollout("undo", "undo");
        // Longer than the cut, and than a member keeps what nobody confirms.
        thread::sleep(Duration::from_secs(25));
        let (epochs, known) = (epochs(), knows_report());
        if code != Some(1) {
            // It says that it is not undone.
            return Vec::new();
        }
        let mut broken = Vec::new();
        for n in 0..4 {
            if epochs[n] == Some(1) || known[n] {
                broken.push(format!("`undo` told that all is undone, and n{n} keeps the change"));
            }
        }
        if !broken.is_empty() {
            let code = rollout("undo", "undo-again");
            record.say(format!("a second `undo`: {code:?}"));
        }
        broken
    })
}
