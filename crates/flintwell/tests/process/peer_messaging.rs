//! Peer messaging between real processes, with datagrams lost, duplicated, delayed and cut off.

use crate::rollout::{PROGRAM, TestFleet};
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

/// The fleet as this proxy sees it.
fn fleet_status(at: SocketAddr) -> Value {
    serde_json::from_str(&get(at, "/api/fleet").1).expect("valid JSON")
}

/// The number of peers that each of these proxies considers alive.
fn alive_counts(management: &[SocketAddr]) -> Vec<usize> {
    let alive = |status: Value| {
        let members = status["members"].as_array().expect("member list").clone();
        members.iter().filter(|member| member["state"] == "alive").count()
    };
    management.iter().map(|at| alive(fleet_status(*at))).collect()
}

/// Waits until the condition holds for the numbers of peers that are considered alive.
fn wait_for_alive_counts(
    within_s: u64,
    what: &str,
    management: &[SocketAddr],
    condition: impl Fn(&[usize]) -> bool,
) {
    let start = Instant::now();
    loop {
        let counts = alive_counts(management);
        if condition(&counts) {
            return;
        }
        assert!(start.elapsed() < Duration::from_secs(within_s), "{what}: {counts:?}");
        thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn fleet_detects_a_paused_and_a_killed_proxy_and_recovers_from_a_partition() {
    let mut fleet = TestFleet::new(shape());
    let management: Vec<SocketAddr> = fleet.rig().proxies.iter().map(|proxy| proxy.management).collect();
    wait_for_alive_counts(30, "each proxy sees all others", &management, |counts| {
        counts.iter().all(|&count| count == 5)
    });
    let status = Command::new(PROGRAM).args(["fleet", "status", "--at", &management[0].to_string()]).output();
    let output = String::from_utf8(status.expect("spawn flintwell").stdout).expect("UTF-8");
    assert!(output.contains("number 0: no limit known") && output.matches(" alive").count() == 5, "{output}");
    // A paused process must not declare its peers down when it continues.
    let now = fleet.rig().backends.now_ms();
    fleet.rig().excuse(1, now - 1_500.0, f64::MAX);
    fleet.rig().proxies[1].process.pause();
    thread::sleep(Duration::from_secs(3));
    fleet.rig().proxies[1].process.resume();
    wait_for_alive_counts(30, "the paused proxy is alive again", &management, |counts| {
        counts.iter().all(|&count| count == 5)
    });
    assert_eq!(fleet_status(management[1])["taken_as_gone"], 0);
    let until_ms = fleet.rig().backends.now_ms() + 500.0;
    fleet.rig().end_excuse(1, until_ms);
    // Killed, and restarted under the same number.
    let now = fleet.rig().backends.now_ms();
    fleet.rig().excuse(2, now - 1_500.0, f64::MAX);
    fleet.rig().proxies[2].process.kill();
    let others: Vec<SocketAddr> = [0, 1, 3, 4, 5].map(|n| management[n]).into();
    wait_for_alive_counts(20, "the killed proxy is gone", &others, |counts| {
        counts.iter().all(|&count| count == 4)
    });
    fleet.rig().proxies[2].process.spawn().expect("start proxy");
    let until_ms = fleet.rig().backends.now_ms() + 500.0;
    fleet.rig().end_excuse(2, until_ms);
    wait_for_alive_counts(30, "the restarted proxy is alive", &management, |counts| {
        counts.iter().all(|&count| count == 5)
    });
    // A partition between the zones, then datagrams that are lost.
    fleet.rig().set_datagram_mode("zone:a", "zone:b", DatagramMode::Cut);
    fleet.rig().set_datagram_mode("zone:b", "zone:a", DatagramMode::Cut);
    wait_for_alive_counts(30, "each zone sees only itself", &management, |counts| {
        counts.iter().all(|&count| count == 2)
    });
    fleet.rig().set_datagram_mode("*", "*", DatagramMode::Drop(0.2));
    wait_for_alive_counts(45, "the partition has healed", &management, |counts| {
        counts.iter().all(|&count| count == 5)
    });
    fleet.assert_no_violations();
}

#[test]
fn malformed_and_foreign_datagrams_are_dropped_and_counted() {
    let mut fleet = TestFleet::new(FleetSpec { proxies: 2, ..shape() });
    let management: Vec<SocketAddr> = fleet.rig().proxies.iter().map(|proxy| proxy.management).collect();
    wait_for_alive_counts(30, "both see each other", &management, |counts| counts == [1, 1]);
    let peer_address =
        fleet_status(management[0])["members"][0]["addr"].as_str().expect("peer address").to_owned();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind socket");
    for datagram in [&b""[..], b"x", &[1; 100], &[7; 200], &[0; 400], &[255; 1_400]] {
        socket.send_to(datagram, &peer_address).expect("send datagram");
    }
    let dropped = || fleet_status(management[1])["dropped"].clone();
    let start = Instant::now();
    while dropped()["malformed"].as_u64().unwrap_or(0) < 4 {
        assert!(start.elapsed() < Duration::from_secs(10), "{}", dropped());
        thread::sleep(Duration::from_millis(50));
    }
    let counts = dropped();
    assert!(counts["other_version"] == 1 && counts["other_cluster"] == 1, "{counts}");
    fleet.assert_no_violations();
}

#[test]
fn unusable_peer_messaging_settings_are_rejected_with_one_line() {
    let valid =
        config("127.0.0.1:1".parse().expect("valid address"), "127.0.0.1:2".parse().expect("valid address"));
    let messaging = json!({"cluster": "c", "listen": "127.0.0.1:7999", "peers": ["127.0.0.1:7998"]});
    let with = |key: &str, value: Value| {
        let mut messaging = messaging.clone();
        messaging[key] = value;
        messaging
    };
    for (messaging, reason) in [
        (with("peers", json!([])), "nobody but this proxy"),
        (with("peers", json!(["127.0.0.1:7999"])), "nobody but this proxy"),
        (with("listen", json!("0.0.0.0:7999")), "an address to reach"),
        (with("cluster", json!("")), "cluster needs a name"),
        (with("key_file", json!("/nowhere/key")), "key_file /nowhere/key"),
        (with("keyfile", json!("k")), "unknown field `keyfile`"),
    ] {
        let mut config = valid.clone();
        config["words"] = messaging;
        let (child, path) = run(&["check"], &config.to_string(), Stdio::piped(), None);
        let output = child.wait_with_output().expect("exit status");
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && message.contains(reason) && message.lines().count() == 1,
            "{message}"
        );
        let _ = std::fs::remove_file(path);
    }
}

#[test]
fn overlapping_faults_violate_no_rule_and_all_proxies_see_each_other_afterwards() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("build runtime");
    for seed in [3, 4] {
        let directory = tempfile::tempdir().expect("create directory");
        let day = runtime.block_on(days::run_day(seed, &shape(), Path::new(PROGRAM), directory.path()));
        let day = day.expect("run scenario");
        assert!(day.breaches.is_empty() && day.converged_after_s.is_some(), "seed {seed}: {day:#?}");
        assert!(
            day.served * 10 > day.requests * 7,
            "seed {seed}: {} of {} requests served",
            day.served,
            day.requests
        );
    }
}
