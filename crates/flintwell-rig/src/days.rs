//! Days drawn by their seed: cuts, losses, pauses, kills, an origin with less room, a silent zone, several at a time.
//! Afterwards all is well again, and the fleet has to be whole.

use crate::datagrams::Post;
use crate::fleet::{Fleet, Shape};
use crate::plan::{Event, Plan, What, happens};
use crate::relay::Way;
use flintwell_standins::world::Fault;
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
pub struct Day {
    pub seed: u64,
    pub events: Vec<Event>,
    #[serde(rename = "accesses")]
    pub requests: usize,
    #[serde(rename = "honoured")]
    pub served: usize,
    pub breaches: Vec<crate::check::Breach>,
    /// From when all was well until each proxy knew all others, s; none if that was never so.
    pub whole_s: Option<f64>,
    /// Where it was never so: what each proxy said of the fleet at the end.
    pub apart: Vec<String>,
}

/// What goes wrong on this day, and when it is over.
pub fn drawn(seed: u64, zones: &[String], proxies: usize) -> Vec<Event> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    for _ in 0..chance.random_range(2..5) {
        let from = chance.random_range(FROM..LAST);
        let to = from + chance.random_range(1.0..LONGEST);
        let mut during = |begins: What, ends: What| {
            events.push(Event { at_s: from, what: begins });
            events.push(Event { at_s: to, what: ends });
        };
        let zone =
            |chance: &mut ChaCha8Rng| format!("zone:{}", zones.choose(chance).map_or("a", |zone| zone));
        let one = format!("n{}", chance.random_range(0..proxies));
        let words = |from: String, to: String, way| What::Words { from, to, way };
        match chance.random_range(0..8) {
            0 => {
                let (from, to) = (zone(&mut chance), zone(&mut chance));
                during(words(from.clone(), to.clone(), Post::Cut), words(from, to, Post::Passes));
            }
            1 => {
                let way = match chance.random_range(0..3) {
                    0 => Post::Loses(0.3),
                    1 => Post::Doubles(0.5),
                    _ => Post::Delays(800.0),
                };
                during(words("*".into(), "*".into(), way), words("*".into(), "*".into(), Post::Passes));
            }
            2 => {
                // Heard by nobody, and hears all.
                let all = || "*".to_owned();
                during(words(one.clone(), all(), Post::Cut), words(one, all(), Post::Passes));
            }
            3 => during(What::Pause { who: one.clone() }, What::GoOn { who: one }),
            4 => during(What::Kill { who: one.clone() }, What::Start { who: one, afresh: false }),
            5 => {
                let origin = || "origin".to_owned();
                during(
                    What::Node { who: origin(), fault: Fault::Full },
                    What::Node { who: origin(), fault: Fault::None },
                );
            }
            6 => {
                let (from, to) = ("*".to_owned(), zone(&mut chance));
                let path = |way| What::Path { from: from.clone(), to: to.clone(), way };
                during(path(Way::Cut), path(Way::Passes));
            }
            _ => {
                let (from, to) = (one, zone(&mut chance));
                let path = |way| What::Path { from: from.clone(), to: to.clone(), way };
                during(path(Way::Deaf), path(Way::Passes));
            }
        }
    }
    events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    events
}

pub async fn play(seed: u64, shape: &Shape, program: &Path, folder: &Path) -> Result<Day, String> {
    let events = drawn(seed, &shape.zones, shape.proxies);
    let plan = Plan { seed, time_s: LAST + LONGEST, fleet: shape.clone(), events };
    let mut fleet = Fleet::start(shape.clone(), program, folder).await?;
    let began = Instant::now();
    fleet.comes(seed, Duration::from_secs_f64(plan.time_s));
    for event in &plan.events {
        sleep_until((began + Duration::from_secs_f64(event.at_s)).into()).await;
        // One that is killed twice, or paused while it is dead, stays as it is.
        happens(&mut fleet, &event.what).await?;
    }
    // Whatever overlapped, all is well from here on.
    fleet.revives_all(PAUSE_SLACK)?;
    fleet.way("*", "*", Way::Passes);
    fleet.words("*", "*", Post::Passes);
    fleet.world.fault("origin", Fault::None);
    let well = Instant::now();
    fleet.gone().await;
    let mut whole_s = None;
    while whole_s.is_none() && well.elapsed() < WHOLE {
        if whole(&fleet).await {
            whole_s = Some(well.elapsed().as_secs_f64());
        } else {
            sleep(LOOK).await;
        }
    }
    let mut apart = Vec::new();
    if whole_s.is_none() {
        for (n, proxy) in fleet.proxies.iter().enumerate() {
            let told = knows(proxy.staff).await.map_or("no answer".to_owned(), |told| told.to_string());
            apart.push(format!("n{n} at {}: {told}", proxy.staff));
        }
    }
    let seen = fleet.book.all();
    Ok(Day {
        seed,
        events: plan.events,
        requests: seen.len(),
        served: seen.iter().filter(|seen| seen.status == Some(200)).count(),
        breaches: fleet.breaches(),
        whole_s,
        apart,
    })
}

/// What a proxy says that it knows of the fleet.
pub async fn knows(at: SocketAddr) -> Option<Value> {
    let called = flintwell_call::send_request(at, Method::GET, "/api/fleet", Default::default(), ANSWERS).await;
    serde_json::from_slice(&called.ok()?.1).ok()
}

/// Whether each proxy knows all others as there.
pub async fn whole(fleet: &Fleet) -> bool {
    for proxy in &fleet.proxies {
        let Some(told) = knows(proxy.staff).await else { return false };
        let there = |member: &&Value| member["state"] == "alive";
        let known = told["members"].as_array().map_or(0, |members| members.iter().filter(there).count());
        if known + 1 != fleet.proxies.len() {
            return false;
        }
    }
    true
}
