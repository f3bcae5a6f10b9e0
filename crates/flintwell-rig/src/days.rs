//! Randomized fault tests ("days"), determined by a seed: link cuts, datagram loss, pauses, kills, an overloaded origin and
//! a silent zone, several at a time. Afterwards all faults end and the membership of the fleet has to converge.

use crate::datagrams::DatagramMode;
use crate::fleet::{Fleet, FleetSpec};
use crate::plan::{Action, Event, Plan, apply};
use crate::relay::LinkMode;
use flintwell_standins::backends::Fault;
use hyper::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

const FIRST_FAULT_S: f64 = 4.0; // the fleet has formed by then
const LAST_FAULT_S: f64 = 12.0; // latest start of a fault
const MAX_FAULT_S: f64 = 5.0; // longest duration of a fault
const RESUME_EXCUSE_MS: f64 = 500.0; // requests that arrived during a pause are still in flight after it
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(45); // for the fleet to converge after the last fault
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const STATUS_TIMEOUT: Duration = Duration::from_secs(5); // for a proxy's fleet status

/// Result of one day.
#[derive(Clone, Debug, Serialize)]
pub struct DayResult {
    pub seed: u64,
    pub events: Vec<Event>,
    #[serde(rename = "accesses")]
    pub requests: usize,
    #[serde(rename = "honoured")]
    pub served: usize,
    pub breaches: Vec<crate::check::Breach>,
    /// Time from the end of all faults until each proxy listed all others as alive, s; none if that did not happen.
    #[serde(rename = "whole_s")]
    pub converged_after_s: Option<f64>,
    /// The fleet status of each proxy at the end, if the fleet did not converge.
    #[serde(rename = "apart")]
    pub final_statuses: Vec<String>,
}

/// Draws the faults of a day and their ends.
pub fn draw_events(seed: u64, zones: &[String], proxies: usize) -> Vec<Event> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    for _ in 0..rng.random_range(2..5) {
        let from = rng.random_range(FIRST_FAULT_S..LAST_FAULT_S);
        let to = from + rng.random_range(1.0..MAX_FAULT_S);
        let mut add_fault = |start: Action, end: Action| {
            events.push(Event { at_s: from, action: start });
            events.push(Event { at_s: to, action: end });
        };
        let zone = |rng: &mut ChaCha8Rng| format!("zone:{}", zones.choose(rng).map_or("a", |zone| zone));
        let proxy = format!("n{}", rng.random_range(0..proxies));
        let datagrams = |from: String, to: String, mode| Action::Datagrams { from, to, mode };
        match rng.random_range(0..8) {
            0 => {
                let (from, to) = (zone(&mut rng), zone(&mut rng));
                add_fault(
                    datagrams(from.clone(), to.clone(), DatagramMode::Cut),
                    datagrams(from, to, DatagramMode::Pass),
                );
            }
            1 => {
                let mode = match rng.random_range(0..3) {
                    0 => DatagramMode::Drop(0.3),
                    1 => DatagramMode::Duplicate(0.5),
                    _ => DatagramMode::Delay(800.0),
                };
                add_fault(
                    datagrams("*".into(), "*".into(), mode),
                    datagrams("*".into(), "*".into(), DatagramMode::Pass),
                );
            }
            2 => {
                // One-way loss: no other proxy receives its datagrams, it receives all of theirs.
                let all = || "*".to_owned();
                add_fault(
                    datagrams(proxy.clone(), all(), DatagramMode::Cut),
                    datagrams(proxy, all(), DatagramMode::Pass),
                );
            }
            3 => add_fault(Action::Pause { who: proxy.clone() }, Action::Resume { who: proxy }),
            4 => add_fault(Action::Kill { who: proxy.clone() }, Action::Start { who: proxy, afresh: false }),
            5 => {
                let origin = || "origin".to_owned();
                add_fault(
                    Action::Node { who: origin(), fault: Fault::Full },
                    Action::Node { who: origin(), fault: Fault::None },
                );
            }
            6 => {
                let (from, to) = ("*".to_owned(), zone(&mut rng));
                let path = |mode| Action::Path { from: from.clone(), to: to.clone(), mode };
                add_fault(path(LinkMode::Cut), path(LinkMode::Pass));
            }
            _ => {
                let (from, to) = (proxy, zone(&mut rng));
                let path = |mode| Action::Path { from: from.clone(), to: to.clone(), mode };
                add_fault(path(LinkMode::HoldResponses), path(LinkMode::Pass));
            }
        }
    }
    events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    events
}

/// Runs one day on a new fleet.
pub async fn run_day(
    seed: u64,
    spec: &FleetSpec,
    program: &Path,
    folder: &Path,
) -> Result<DayResult, String> {
    let events = draw_events(seed, &spec.zones, spec.proxies);
    let plan = Plan { seed, time_s: LAST_FAULT_S + MAX_FAULT_S, fleet: spec.clone(), events };
    let mut fleet = Fleet::start(spec.clone(), program, folder).await?;
    let started_at = Instant::now();
    fleet.start_clients(seed, Duration::from_secs_f64(plan.time_s));
    for event in &plan.events {
        sleep_until((started_at + Duration::from_secs_f64(event.at_s)).into()).await;
        // Killing or pausing a proxy that is not running has no effect.
        apply(&mut fleet, &event.action).await?;
    }
    // Ends all faults, also those that overlapped.
    fleet.restore_all(RESUME_EXCUSE_MS)?;
    fleet.set_link_mode("*", "*", LinkMode::Pass);
    fleet.set_datagram_mode("*", "*", DatagramMode::Pass);
    fleet.backends.set_fault("origin", Fault::None);
    let restored_at = Instant::now();
    fleet.join_clients().await;
    let mut converged_after_s = None;
    while converged_after_s.is_none() && restored_at.elapsed() < CONVERGENCE_TIMEOUT {
        if has_converged(&fleet).await {
            converged_after_s = Some(restored_at.elapsed().as_secs_f64());
        } else {
            sleep(POLL_INTERVAL).await;
        }
    }
    let mut final_statuses = Vec::new();
    if converged_after_s.is_none() {
        for (n, proxy) in fleet.proxies.iter().enumerate() {
            let status = fetch_fleet_status(proxy.management)
                .await
                .map_or("no answer".to_owned(), |status| status.to_string());
            final_statuses.push(format!("n{n} at {}: {status}", proxy.management));
        }
    }
    let requests = fleet.request_log.entries();
    Ok(DayResult {
        seed,
        events: plan.events,
        requests: requests.len(),
        served: requests.iter().filter(|request| request.status == Some(200)).count(),
        breaches: fleet.breaches(),
        converged_after_s,
        final_statuses,
    })
}

/// Requests the fleet status of a proxy.
pub async fn fetch_fleet_status(at: SocketAddr) -> Option<Value> {
    let called =
        flintwell_call::send_request(at, Method::GET, "/api/fleet", Default::default(), STATUS_TIMEOUT).await;
    serde_json::from_slice(&called.ok()?.1).ok()
}

/// Whether each proxy lists all others as alive.
pub async fn has_converged(fleet: &Fleet) -> bool {
    for proxy in &fleet.proxies {
        let Some(status) = fetch_fleet_status(proxy.management).await else { return false };
        let is_alive = |member: &&Value| member["state"] == "alive";
        let alive_count =
            status["members"].as_array().map_or(0, |members| members.iter().filter(is_alive).count());
        if alive_count + 1 != fleet.proxies.len() {
            return false;
        }
    }
    true
}
