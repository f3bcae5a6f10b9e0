//! Days of faults that overlap, drawn by their seed, round a discovery that has too many callers: all watches fall silent or
//! are reset, servers drain and come back cold, proxies are killed or paused, the origin has no room. Judged by the checker, by
//! the terms on drains, which hold for each proxy whatever became of its calls, and by what the proxies count themselves.

use crate::fleet::{Fleet, Shape};
use crate::plan::{Event, What, happens};
use crate::relay::Way;
use flintwell_standins::world::{Fault, State};
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

const ROUND: Duration = Duration::from_secs(5); // in which discovery can take one call from each proxy
const QUEUE: Duration = Duration::from_secs(1); // the longest that a call waits for its turn; else it is refused
const FROM: f64 = 2.0; // s; the earliest that something begins
const LAST: f64 = 12.0; // s; the latest
const ENDS: f64 = 24.0; // s; so that what began last counts as told well before
const TOLD: f64 = 6_000.0; // ms; from when discovery had a change and could be reached
const GRACE: f64 = 300.0; // ms; of a drain, as the fleet has it
const SLACK: f64 = 300.0; // ms; of the rule on sockets, and what a machine busy with many processes adds
const PAUSE_SLACK: f64 = 500.0; // ms; after a paused process goes on, its clients' requests are still on their way
const ANSWERS: Duration = Duration::from_secs(5); // for a proxy to tell its counts

/// What became of a day.
#[derive(Debug)]
pub struct Day {
    pub events: Vec<Event>,
    pub requests: usize,
    pub served: usize,
    /// How often a proxy's list grew too old to act on.
    pub lapses: u64,
    /// Each breach of a rule, in words.
    pub broken: Vec<String>,
}

/// What a proxy tells at `/api/violations`.
#[derive(Deserialize)]
struct Told {
    list_lapses: u64,
    violations: BTreeMap<String, u64>,
}

/// What goes wrong on this day.
fn drawn(seed: u64, proxies: usize, caches: &[String]) -> Vec<Event> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Vec::new();
    // One server leaves in any case, and is back, cold, under its id.
    for _ in 0..chance.random_range(1..3) {
        let who = caches[chance.random_range(0..caches.len())].clone();
        let at_s = chance.random_range(FROM..LAST);
        let back_s = at_s + chance.random_range(2.0..9.0);
        events.push(Event { at_s, what: What::List { who: who.clone(), state: State::Draining } });
        events.push(Event { at_s: back_s, what: What::Cold { who } });
    }
    for _ in 0..chance.random_range(2..6) {
        let from = chance.random_range(FROM..LAST);
        let lasts = chance.random_range(0.2..3.0);
        let one = format!("n{}", chance.random_range(0..proxies));
        let all = || "*".to_owned();
        let discovery = |way| What::Path { from: all(), to: "discovery".into(), way };
        let origin = |fault| What::Node { who: "origin".into(), fault };
        let (begins, ends) = match chance.random_range(0..6) {
            0 => (What::HushWatch { who: all() }, None),
            1 => (discovery(Way::Resets), Some(discovery(Way::Passes))),
            2 => (What::Kill { who: one.clone() }, Some(What::Start { who: one })),
            3 => (What::Pause { who: one.clone() }, Some(What::GoOn { who: one })),
            4 => (origin(Fault::Full), Some(origin(Fault::None))),
            _ => (discovery(Way::Delays(150.0)), Some(discovery(Way::Passes))),
        };
        events.push(Event { at_s: from, what: begins });
        events.extend(ends.map(|what| Event { at_s: from + lasts, what }));
    }
    events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    events
}

/// Plays one day with so many proxies.
pub async fn play(seed: u64, proxies: usize, program: &Path, folder: &Path) -> Result<Day, String> {
    let zones = ["a", "b"].map(str::to_owned).into();
    let shape = Shape { proxies, zones, ..Shape::default() };
    let mut fleet = Fleet::start(shape, program, folder).await?;
    fleet.world.overloads(ROUND / u32::try_from(proxies).unwrap_or(u32::MAX), QUEUE);
    let began = Instant::now();
    fleet.comes(seed, Duration::from_secs_f64(ENDS));
    let events = drawn(seed, proxies, &fleet.nodes_named("caches"));
    for event in &events {
        sleep_until((began + Duration::from_secs_f64(event.at_s)).into()).await;
        happens(&mut fleet, &event.what)?;
    }
    for n in 0..proxies {
        fleet.proxies[n].process.goes_on();
        if !fleet.proxies[n].process.lives() {
            fleet.proxies[n].process.starts()?;
        }
        fleet.excused_until(n, fleet.world.now_ms() + PAUSE_SLACK);
    }
    fleet.gone().await;
    let mut broken: Vec<String> =
        fleet.breaches().iter().map(|breach| format!("rule {}: {}", breach.rule, breach.what)).collect();
    broken.extend(late(&fleet));
    let mut lapses = 0;
    for proxy in &fleet.proxies {
        let name = &proxy.process.name;
        let called =
            flintwell_call::call(proxy.staff, Method::GET, "/api/violations", Default::default(), ANSWERS);
        let told = called.await.ok().and_then(|(_, text)| serde_json::from_slice::<Told>(&text).ok());
        let Some(told) = told else {
            broken.push(format!("{name} does not tell its counts"));
            continue;
        };
        lapses += told.list_lapses;
        let counted = told.violations.iter().filter(|(_, count)| **count > 0);
        broken.extend(counted.map(|(rule, count)| format!("{name} counts {count} {rule}")));
    }
    let seen = fleet.book.all();
    let served = seen.iter().filter(|seen| seen.status == Some(200)).count();
    Ok(Day { events, requests: seen.len(), served, lapses, broken })
}

/// Requests that reached a server later than its drain counts as told to whoever could reach discovery.
fn late(fleet: &Fleet) -> Vec<String> {
    let proxies: HashMap<String, String> =
        fleet.book.all().into_iter().map(|seen| (seen.id, seen.proxy)).collect();
    let changes = fleet.world.changes();
    let mut late = Vec::new();
    for took in fleet.world.took() {
        // The last that discovery said of it so long ago that it counts.
        let allowed = TOLD + GRACE + SLACK;
        let mut known = changes.iter().filter(|change| change.node == took.node && change.at_ms < took.at_ms);
        let leaves = known.next_back().filter(|change| change.state != State::Ready);
        if let Some(change) = leaves.filter(|change| took.at_ms - change.at_ms > allowed) {
            let proxy = proxies.get(&took.id).map_or("?", |proxy| proxy);
            let since = took.at_ms - change.at_ms;
            late.push(format!("{proxy} sent {} to {} {since:.0} ms after its drain", took.id, took.node));
        }
    }
    late
}
