//! Days drawn by their seed: cuts, losses, pauses, kills, an origin with less room, a silent zone, several at a time.
//! Afterwards all is well again, and the fleet has to be whole.

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

const FROM: f64 = 4.0; // s; by then a fleet has found itself
const LAST: f64 = 12.0; // s; the latest that something begins
const LONGEST: f64 = 5.0; // s; that it lasts
const PAUSE_SLACK: f64 = 500.0; // ms; after a paused process goes on, its clients' requests are still on their way
const WHOLE: Duration = Duration::from_secs(45); // for a fleet to find itself once all is well
const LOOK: Duration = Duration::from_millis(200); // between looks
const ANSWERS: Duration = Duration::from_secs(5); // for a proxy to say what it knows

#[derive(Clone, Debug, Serialize)]
pub struct DayResult {
    pub seed: u64,
    pub events: Vec<Event>,
    #[serde(rename = "accesses")]
    pub requests: usize,
    #[serde(rename = "honoured")]
    pub served: usize,
    pub breaches: Vec<crate::check::Breach>,
    /// From when all was well until each proxy knew all others, s; none if that was never so.
    #[serde(rename = "whole_s")]
    pub converged_after_s: Option<f64>,
    /// Where it was never so: what each proxy said of the fleet at the end.
    #[serde(rename = "apart")]
    pub final_statuses: Vec<String>,
}

/// What goes wrong on this day, and when it is over.
pub fn draw_events(seed: u64, zones: &[String], proxies: usize) -> Vec<Event> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    for _ in 0..chance.random_range(2..5) {
        let from = chance.random_range(FROM..LAST);
        let to = from + chance.random_range(1.0..LONGEST);
        let mut during = |begins: Action, ends: Action| {
            events.push(Event { at_s: from, action: begins });
            events.push(Event { at_s: to, action: ends });
        };
        let zone =
            |chance: &mut ChaCha8Rng| format!("zone:{}", zones.choose(chance).map_or("a", |zone| zone));
        let one = format!("n{}", chance.random_range(0..proxies));
        let words = |from: String, to: String, way| Action::Datagrams { from, to, mode: way };
        match chance.random_range(0..8) {
            0 => {
                let (from, to) = (zone(&mut chance), zone(&mut chance));
                during(
                    words(from.clone(), to.clone(), DatagramMode::Cut),
                    words(from, to, DatagramMode::Pass),
                );
            }
            1 => {
                let way = match chance.random_range(0..3) {
                    0 => DatagramMode::Drop(0.3),
                    1 => DatagramMode::Duplicate(0.5),
                    _ => DatagramMode::Delay(800.0),
                };
                during(words("*".into(), "*".into(), way), words("*".into(), "*".into(), DatagramMode::Pass));
            }
            2 => {
                // Heard by nobody, and hears all.
                let all = || "*".to_owned();
                during(words(one.clone(), all(), DatagramMode::Cut), words(one, all(), DatagramMode::Pass));
            }
            3 => during(Action::Pause { who: one.clone() }, Action::Resume { who: one }),
            4 => during(Action::Kill { who: one.clone() }, Action::Start { who: one, afresh: false }),
            5 => {
                let origin = || "origin".to_owned();
                during(
                    Action::Node { who: origin(), fault: Fault::Full },
                    Action::Node { who: origin(), fault: Fault::None },
                );
            }
            6 => {
                let (from, to) = ("*".to_owned(), zone(&mut chance));
                let path = |way| Action::Path { from: from.clone(), to: to.clone(), mode: way };
                during(path(LinkMode::Cut), path(LinkMode::Pass));
            }
            _ => {
                let (from, to) = (one, zone(&mut chance));
                let path = |way| Action::Path { from: from.clone(), to: to.clone(), mode: way };
                during(path(LinkMode::HoldResponses), path(LinkMode::Pass));
            }
        }
    }
    events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    events
}

pub async fn run_day(
    seed: u64,
    shape: &FleetSpec,
    program: &Path,
    folder: &Path,
) -> Result<DayResult, String> {
    let events = draw_events(seed, &shape.zones, shape.proxies);
    let plan = Plan { seed, time_s: LAST + LONGEST, fleet: shape.clone(), events };
    let mut fleet = Fleet::start(shape.clone(), program, folder).await?;
    let began = Instant::now();
    fleet.start_clients(seed, Duration::from_secs_f64(plan.time_s));
    for event in &plan.events {
        sleep_until((began + Duration::from_secs_f64(event.at_s)).into()).await;
        // One that is killed twice, or paused while it is dead, stays as it is.
        apply(&mut fleet, &event.action).await?;
    }
    // Whatever overlapped, all is well from here on.
    fleet.restore_all(PAUSE_SLACK)?;
    fleet.set_link_mode("*", "*", LinkMode::Pass);
    fleet.set_datagram_mode("*", "*", DatagramMode::Pass);
    fleet.backends.set_fault("origin", Fault::None);
    let well = Instant::now();
    fleet.join_clients().await;
    let mut whole_s = None;
    while whole_s.is_none() && well.elapsed() < WHOLE {
        if has_converged(&fleet).await {
            whole_s = Some(well.elapsed().as_secs_f64());
        } else {
            sleep(LOOK).await;
        }
    }
    let mut apart = Vec::new();
    if whole_s.is_none() {
        for (n, proxy) in fleet.proxies.iter().enumerate() {
            let told = fetch_fleet_status(proxy.management)
                .await
                .map_or("no answer".to_owned(), |told| told.to_string());
            apart.push(format!("n{n} at {}: {told}", proxy.management));
        }
    }
    let seen = fleet.request_log.entries();
    Ok(DayResult {
        seed,
        events: plan.events,
        requests: seen.len(),
        served: seen.iter().filter(|seen| seen.status == Some(200)).count(),
        breaches: fleet.breaches(),
        converged_after_s: whole_s,
        final_statuses: apart,
    })
}

/// What a proxy says that it knows of the fleet.
pub async fn fetch_fleet_status(at: SocketAddr) -> Option<Value> {
    let called =
        flintwell_call::send_request(at, Method::GET, "/api/fleet", Default::default(), ANSWERS).await;
    serde_json::from_slice(&called.ok()?.1).ok()
}

/// Whether each proxy knows all others as there.
pub async fn has_converged(fleet: &Fleet) -> bool {
    for proxy in &fleet.proxies {
        let Some(told) = fetch_fleet_status(proxy.management).await else { return false };
        let there = |member: &&Value| member["state"] == "alive";
        let known = told["members"].as_array().map_or(0, |members| members.iter().filter(there).count());
        if known + 1 != fleet.proxies.len() {
            return false;
        }
    }
    true
}
