//! Several real processes that speak to one another, with their words lost, doubled, late and cut between them.

use crate::rollout::{PROGRAM, Stand};
use crate::support::{config, get, run};
use flintwell_rig::datagrams::DatagramMode;
use flintwell_rig::days;
use flintwell_rig::fleet::FleetSpec;
use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

fn shape() -> FleetSpec {
    FleetSpec {
        proxies: 6,
        zones: vec!["a".into(), "b".into()],
        peer_messaging: true,
        ..FleetSpec::default()
    }
}

fn knows(at: SocketAddr) -> Value {
    serde_json::from_str(&get(at, "/api/fleet").1).expect("what it knows of the fleet")
}

/// How many others each of these takes as there.
fn there(staff: &[SocketAddr]) -> Vec<usize> {
    let alive = |told: Value| {
        let members = told["members"].as_array().expect("members").clone();
        members.iter().filter(|member| member["state"] == "alive").count()
    };
    staff.iter().map(|at| alive(knows(*at))).collect()
}

fn until(within: u64, what: &str, staff: &[SocketAddr], holds: impl Fn(&[usize]) -> bool) {
    let began = Instant::now();
    loop {
        let there = there(staff);
        if holds(&there) {
            return;
        }
        assert!(began.elapsed() < Duration::from_secs(within), "{what}: {there:?}");
        thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn a_fleet_finds_itself_loses_one_is_cut_in_halves_and_heals() {
    let mut stand = Stand::new(shape());
    let staff: Vec<SocketAddr> = stand.fleet().proxies.iter().map(|proxy| proxy.management).collect();
    until(30, "all know all", &staff, |there| there.iter().all(|&there| there == 5));
    let status = Command::new(PROGRAM).args(["fleet", "status", "--at", &staff[0].to_string()]).output();
    let told = String::from_utf8(status.expect("the program").stdout).expect("a text");
    assert!(told.contains("number 0: no limit known") && told.matches(" alive").count() == 5, "{told}");
    // Stands still, and accuses nobody when it wakes.
    let now = stand.fleet().backends.now_ms();
    stand.fleet().excuse(1, now - 1_500.0, f64::MAX);
    stand.fleet().proxies[1].process.pause();
    thread::sleep(Duration::from_secs(3));
    stand.fleet().proxies[1].process.resume();
    until(30, "it is taken back", &staff, |there| there.iter().all(|&there| there == 5));
    assert_eq!(knows(staff[1])["taken_as_gone"], 0);
    let until_ms = stand.fleet().backends.now_ms() + 500.0;
    stand.fleet().end_excuse(1, until_ms);
    // Killed, and back under its number.
    let now = stand.fleet().backends.now_ms();
    stand.fleet().excuse(2, now - 1_500.0, f64::MAX);
    stand.fleet().proxies[2].process.kill();
    let others: Vec<SocketAddr> = [0, 1, 3, 4, 5].map(|n| staff[n]).into();
    until(20, "one is gone", &others, |there| there.iter().all(|&there| there == 4));
    stand.fleet().proxies[2].process.spawn().expect("it starts");
    let until_ms = stand.fleet().backends.now_ms() + 500.0;
    stand.fleet().end_excuse(2, until_ms);
    until(30, "it is back", &staff, |there| there.iter().all(|&there| there == 5));
    // Halves that hear nothing of one another, then words that are lost and doubled.
    stand.fleet().set_datagram_mode("zone:a", "zone:b", DatagramMode::Cut);
    stand.fleet().set_datagram_mode("zone:b", "zone:a", DatagramMode::Cut);
    until(30, "halves", &staff, |there| there.iter().all(|&there| there == 2));
    stand.fleet().set_datagram_mode("*", "*", DatagramMode::Drop(0.2));
    until(45, "healed", &staff, |there| there.iter().all(|&there| there == 5));
    stand.nothing_lost();
}

#[test]
fn what_is_foreign_is_dropped_and_counted() {
    let mut stand = Stand::new(FleetSpec { proxies: 2, ..shape() });
    let staff: Vec<SocketAddr> = stand.fleet().proxies.iter().map(|proxy| proxy.management).collect();
    until(30, "both know both", &staff, |there| there == [1, 1]);
    let known = knows(staff[0])["members"][0]["addr"].as_str().expect("an address").to_owned();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    for datagram in [&b""[..], b"x", &[1; 100], &[7; 200], &[0; 400], &[255; 1_400]] {
        socket.send_to(datagram, &known).expect("sent");
    }
    let dropped = || knows(staff[1])["dropped"].clone();
    let began = Instant::now();
    while dropped()["malformed"].as_u64().unwrap_or(0) < 4 {
        assert!(began.elapsed() < Duration::from_secs(10), "{}", dropped());
        thread::sleep(Duration::from_millis(50));
    }
    let told = dropped();
    assert!(told["other_version"] == 1 && told["other_cluster"] == 1, "{told}");
    stand.nothing_lost();
}

#[test]
fn words_that_nobody_can_hear_are_one_line_and_no_start() {
    let good = config("127.0.0.1:1".parse().expect("one"), "127.0.0.1:2".parse().expect("one"));
    let words = json!({"cluster": "c", "listen": "127.0.0.1:7999", "peers": ["127.0.0.1:7998"]});
    let with = |key: &str, value: Value| {
        let mut words = words.clone();
        words[key] = value;
        words
    };
    for (words, why) in [
        (with("peers", json!([])), "nobody but this proxy"),
        (with("peers", json!(["127.0.0.1:7999"])), "nobody but this proxy"),
        (with("listen", json!("0.0.0.0:7999")), "an address to reach"),
        (with("cluster", json!("")), "cluster needs a name"),
        (with("key_file", json!("/nowhere/key")), "key_file /nowhere/key"),
        (with("keyfile", json!("k")), "unknown field `keyfile`"),
    ] {
        let mut told = good.clone();
        told["words"] = words;
        let (child, path) = run(&["check"], &told.to_string(), Stdio::piped(), None);
        let output = child.wait_with_output().expect("it ends");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.contains(why) && said.lines().count() == 1, "{said}");
        let _ = std::fs::remove_file(path);
    }
}

#[test]
fn days_of_several_faults_at_once_break_no_rule_and_leave_the_fleet_whole() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    for seed in [3, 4] {
        let folder = tempfile::tempdir().expect("a folder");
        let day = runtime.block_on(days::run_day(seed, &shape(), Path::new(PROGRAM), folder.path()));
        let day = day.expect("it was played");
        assert!(day.breaches.is_empty() && day.converged_after_s.is_some(), "seed {seed}: {day:#?}");
        assert!(day.served * 10 > day.requests * 7, "seed {seed}: {} of {}", day.served, day.requests);
    }
}
