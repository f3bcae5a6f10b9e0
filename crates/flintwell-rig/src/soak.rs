//! Days of faults that overlap, drawn by their seed, round a discovery that has too many callers: all watches fall silent or
//! are reset, servers leave and come back cold, one proxy or most are killed, or told to end and killed as early as may be, and
//! started again after 0.1 to 20 s with the files that they kept or none, clients crowd, the origin has no room. Settings may tell
//! a larger fleet than there is. Judged by the checker, by the terms on drains, which hold for each proxy whatever became of its
//! calls, and by what the proxies count themselves.

use crate::fleet::{Fleet, FleetSpec};
use crate::plan::{Action, Event, apply};
use crate::relay::LinkMode;
use flintwell_standins::backends::{Fault, ListChange, NodeState};
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

const ROUND: Duration = Duration::from_secs(5); // in which discovery can take one call from each proxy
const QUEUE: Duration = Duration::from_secs(1); // the longest that a call waits for its turn; else it is refused
const FROM: f64 = 2.0; // s; the earliest that something begins
const LAST: f64 = 12.0; // s; the latest
const ENDS: f64 = 12.0; // s after the last event, so that what began last counts as told well before
const RESTART_LEAST: f64 = 0.1; // s; for which a process is gone
const RESTART_MOST: f64 = 20.0; // s
const MOST: f64 = 0.7; // of the proxies, where most are restarted
const KILLED_AFTER: f64 = 0.7; // s; from a planned stop's signal to SIGKILL, beyond the longest deadline
const STARTING: f64 = 2.0; // s; after a start until its process may be struck again
const STAGGER: f64 = 1.0; // s; over which a planned stop meets most of the proxies
const TOLD: f64 = 6_000.0; // ms; from when discovery had a change and could be reached
const GRACE: f64 = 300.0; // ms; of a drain, as the fleet has it
const SLACK: f64 = 300.0; // ms; of the rule on sockets, and what a machine busy with many processes adds
const PAUSE_SLACK: f64 = 500.0; // ms; after a paused process goes on, its clients' requests are still on their way
const READY: f64 = 10.0; // s; in which nine in ten restarted processes have to be ready
const LOOK: Duration = Duration::from_millis(50); // between looks whether one is ready
const ANSWERS: Duration = Duration::from_secs(5); // for a proxy to tell its counts
const CROWDED_SOCKETS: usize = 256; // descriptors of each proxy where clients crowd
const LIMITS: [f64; 3] = [0.3, 1.0, 3.0]; // s; the longest deadlines of a day's clients

/// What became of a day.
#[derive(Debug)]
pub struct DayResult {
    pub events: Vec<Event>,
    pub requests: usize,
    pub served: usize,
    /// How often a proxy's list grew too old to act on.
    pub lease_lapses: u64,
    /// How old the oldest list of a proxy is at the day's end, s.
    pub oldest_list_s: f64,
    /// The longest that a restarted process took to be ready, s.
    pub ready_s: f64,
    /// Each breach of a rule, in words.
    pub violations: Vec<String>,
}

/// What a proxy tells at `/api/violations`.
#[derive(Deserialize)]
struct Counts {
    list_lapses: u64,
    violations: BTreeMap<String, u64>,
}

/// What a proxy tells at `/api/list`, as far as it is looked at.
#[derive(Deserialize)]
struct List {
    age_s: Option<f64>,
}

/// What a day is like, beside what goes wrong on it.
struct Setting {
    shape: FleetSpec,
    crowded: bool,
}

impl Setting {
    fn drawn(seed: u64, proxies: usize) -> Self {
        // Another stream than the events' own.
        let mut chance = ChaCha8Rng::seed_from_u64(!seed);
        let zones = ["a", "b"].map(str::to_owned).into();
        let mut shape = FleetSpec { proxies, zones, ..FleetSpec::default() };
        shape.configured_fleet_size = [proxies, 300, 900][chance.random_range(0..3)];
        shape.max_deadline_s = LIMITS[chance.random_range(0..LIMITS.len())];
        shape.load.classes.iter_mut().for_each(|case| case.limit_s = shape.max_deadline_s);
        let crowded = chance.random_bool(0.25);
        if crowded {
            shape.sockets = CROWDED_SOCKETS;
        }
        Setting { shape, crowded }
    }
}

/// What goes wrong on a day, drawn.
struct Events {
    chance: ChaCha8Rng,
    proxies: usize,
    /// The longest that clients wait, s.
    limit: f64,
    /// Who is gone from when to when.
    gone: Vec<(String, f64, f64)>,
    all: Vec<Event>,
}

impl Events {
    fn add(&mut self, at_s: f64, what: Action) {
        self.all.push(Event { at_s, action: what });
    }

    /// One proxy, or most of them.
    fn some(&mut self) -> Vec<String> {
        let name = |n| format!("n{n}");
        if self.chance.random_bool(0.5) {
            return vec![name(self.chance.random_range(0..self.proxies))];
        }
        let most = (self.proxies as f64 * MOST) as usize;
        rand::seq::index::sample(&mut self.chance, self.proxies, most).into_iter().map(name).collect()
    }

    /// Whether a proxy lives in this time; it is gone in it from now on. Danger: the end of one stop would kill what was started
    /// after another one.
    fn takes(&mut self, who: &str, from: f64, to: f64) -> bool {
        let meets = |(gone, begins, ends): &(String, f64, f64)| gone == who && *begins <= to && *ends >= from;
        let free = !self.gone.iter().any(meets);
        if free {
            self.gone.push((who.to_owned(), from, to));
        }
        free
    }

    /// How long processes are gone: as often tenths of a second as many seconds.
    fn gone_for(&mut self) -> f64 {
        let logarithm = self.chance.random_range(RESTART_LEAST.ln()..RESTART_MOST.ln());
        logarithm.exp()
    }

    /// A server leaves, and is back, cold, under its id.
    fn server_leaves(&mut self, caches: &[String]) {
        let who = caches[self.chance.random_range(0..caches.len())].clone();
        let at = self.chance.random_range(FROM..LAST);
        let back = at + self.chance.random_range(2.0..15.0);
        let state = if self.chance.random() { NodeState::Draining } else { NodeState::Gone };
        self.add(at, Action::List { who: who.clone(), state });
        self.add(back, Action::RestartCold { who });
    }

    fn killed(&mut self, at: f64) {
        let (whom, gone, afresh) = (self.some(), self.gone_for(), self.chance.random());
        for who in whom {
            if !self.takes(&who, at, at + gone + STARTING) {
                continue;
            }
            self.add(at, Action::Kill { who: who.clone() });
            self.add(at + gone, Action::Start { who, afresh });
        }
    }

    /// A planned stop: signals in series, SIGKILL as early as it may come.
    fn stopped(&mut self, at: f64) {
        let (whom, gone, afresh) = (self.some(), self.gone_for(), self.chance.random());
        let stagger = if whom.len() > 1 { STAGGER } else { 0.0 };
        for who in whom {
            let at = at + stagger * self.chance.random::<f64>();
            let ends = at + self.limit + KILLED_AFTER;
            if !self.takes(&who, at, ends + gone + STARTING) {
                continue;
            }
            self.add(at, Action::Terminate { who: who.clone() });
            for _ in 0..self.chance.random_range(0..4) {
                let again = self.chance.random_range(at..ends);
                let hangs_up = self.chance.random();
                let who = who.clone();
                self.add(again, if hangs_up { Action::Reload { who } } else { Action::Terminate { who } });
            }
            self.add(ends, Action::End { who: who.clone() });
            self.add(ends + gone, Action::Start { who, afresh });
        }
    }

    fn fault(&mut self) {
        let at = self.chance.random_range(FROM..LAST);
        let ends = at + self.chance.random_range(0.2..3.0);
        let who = format!("n{}", self.chance.random_range(0..self.proxies));
        let all = || "*".to_owned();
        let discovery = |way| Action::Path { from: all(), to: "discovery".into(), mode: way };
        let origin = |fault| Action::Node { who: "origin".into(), fault };
        let (begins, over) = match self.chance.random_range(0..9) {
            0 => (Action::SilenceWatches { who: all() }, None),
            1 => (discovery(LinkMode::Reset), Some(discovery(LinkMode::Pass))),
            2 | 3 => return self.killed(at),
            4 | 5 => return self.stopped(at),
            6 => (Action::Pause { who: who.clone() }, Some(Action::Resume { who })),
            7 => (origin(Fault::Full), Some(origin(Fault::None))),
            _ => (discovery(LinkMode::Delay(150.0)), Some(discovery(LinkMode::Pass))),
        };
        self.add(at, begins);
        over.into_iter().for_each(|what| self.add(ends, what));
    }
}

/// What goes wrong on this day, by time.
fn drawn(seed: u64, setting: &Setting, caches: &[String]) -> Vec<Event> {
    let FleetSpec { proxies, max_deadline_s: outer_limit_s, .. } = setting.shape;
    let chance = ChaCha8Rng::seed_from_u64(seed);
    let mut events = Events { chance, proxies, limit: outer_limit_s, gone: Vec::new(), all: Vec::new() };
    for _ in 0..events.chance.random_range(1..4) {
        events.server_leaves(caches);
    }
    for _ in 0..events.chance.random_range(2..6) {
        events.fault();
    }
    if setting.crowded {
        let who = format!("n{}", events.chance.random_range(0..proxies));
        events.add(FROM, Action::OpenIdleConnections { who, connections: 2 * CROWDED_SOCKETS });
    }
    events.all.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    events.all
}

/// Plays one day with so many proxies.
pub async fn run_day(seed: u64, proxies: usize, program: &Path, folder: &Path) -> Result<DayResult, String> {
    let setting = Setting::drawn(seed, proxies);
    let mut fleet = Fleet::start(setting.shape.clone(), program, folder).await?;
    fleet.backends.limit_call_queue(ROUND / u32::try_from(proxies).unwrap_or(u32::MAX), QUEUE);
    let began = Instant::now();
    let events = drawn(seed, &setting, &fleet.matching_nodes("caches"));
    let last = events.last().map_or(LAST, |event| event.at_s.max(LAST));
    fleet.start_clients(seed, Duration::from_secs_f64(last + ENDS));
    let mut starts = Vec::new();
    for event in &events {
        sleep_until((began + Duration::from_secs_f64(event.at_s)).into()).await;
        apply(&mut fleet, &event.action).await?;
        if let Action::Start { who, .. } = &event.action {
            let struck = began + Duration::from_secs_f64(struck_next(&events, who, event.at_s));
            let listens = fleet.matching_proxies(who).into_iter().map(|n| fleet.proxies[n].listen);
            starts.extend(listens.map(|listen| tokio::spawn(ready_after(listen, struck))));
        }
    }
    fleet.restore_all(PAUSE_SLACK)?;
    fleet.join_clients().await;
    let mut broken: Vec<String> =
        fleet.breaches().iter().map(|breach| format!("rule {}: {}", breach.rule, breach.what)).collect();
    broken.extend(late(&fleet));
    let mut ready = Vec::new();
    for start in starts {
        ready.extend(start.await.unwrap_or(Some(f64::MAX)));
    }
    let in_time = ready.iter().filter(|after| **after <= READY).count();
    if in_time * 10 < ready.len() * 9 {
        broken.push(format!("{in_time} of {} restarted processes were ready in {READY} s", ready.len()));
    }
    let (mut lapses, mut list_ages) = (0, Vec::new());
    for proxy in &fleet.proxies {
        let name = &proxy.process.name;
        let (counts, list) =
            (asked(proxy.management, "/api/violations"), asked(proxy.management, "/api/list"));
        let (Some(counts), Some(list)): (Option<Counts>, Option<List>) = (counts.await, list.await) else {
            broken.push(format!("{name} does not tell its counts"));
            continue;
        };
        lapses += counts.list_lapses;
        let counted = counts.violations.iter().filter(|(_, count)| **count > 0);
        broken.extend(counted.map(|(rule, count)| format!("{name} counts {count} {rule}")));
        list_ages.extend(list.age_s);
    }
    let seen = fleet.request_log.entries();
    let served = seen.iter().filter(|seen| seen.status == Some(200)).count();
    let oldest_list_s = list_ages.into_iter().fold(0.0, f64::max);
    let ready_s = ready.into_iter().fold(0.0, f64::max);
    Ok(DayResult {
        events,
        requests: seen.len(),
        served,
        lease_lapses: lapses,
        oldest_list_s,
        ready_s,
        violations: broken,
    })
}

/// What a proxy tells at this path; none if that can't be had.
async fn asked<T: for<'de> Deserialize<'de>>(staff: SocketAddr, path: &str) -> Option<T> {
    let (_, text) =
        flintwell_call::send_request(staff, Method::GET, path, Default::default(), ANSWERS).await.ok()?;
    serde_json::from_slice(&text).ok()
}

/// When this proxy is killed, told to end or paused next after `from_s`; far beyond the day's end if it is not.
fn struck_next(events: &[Event], who: &str, from_s: f64) -> f64 {
    let strikes = |what: &Action| match what {
        Action::Kill { who: struck } | Action::Terminate { who: struck } | Action::Pause { who: struck } => {
            struck == who
        }
        _ => false,
    };
    let next = events.iter().find(|event| event.at_s > from_s && strikes(&event.action));
    next.map_or(from_s + 10.0 * RESTART_MOST, |event| event.at_s)
}

/// How long a process that was just started took to be ready, s; none if it was struck at `struck` before it was.
async fn ready_after(listen: SocketAddr, struck: Instant) -> Option<f64> {
    let began = Instant::now();
    while Instant::now() < struck && began.elapsed().as_secs_f64() <= READY * 2.0 {
        let called =
            flintwell_call::send_request(listen, Method::GET, "/health/ready", Default::default(), ANSWERS)
                .await;
        if called.is_ok_and(|(status, _)| status == 200) {
            return Some(began.elapsed().as_secs_f64());
        }
        sleep(LOOK).await;
    }
    (Instant::now() < struck).then(|| began.elapsed().as_secs_f64())
}

/// Requests that reached a server later than its end counts as told to whoever could reach discovery. Danger: one that is back
/// has left all the same for a process that was told neither.
fn late(fleet: &Fleet) -> Vec<String> {
    let proxies: HashMap<String, String> =
        fleet.request_log.entries().into_iter().map(|seen| (seen.id, seen.proxy)).collect();
    let (changes, calls) = (fleet.backends.list_changes(), fleet.backends.discovery_calls());
    let mut answers: HashMap<&str, Vec<(f64, u64)>> = HashMap::new();
    for call in &calls {
        answers.entry(&call.proxy).or_default().extend(call.answered);
    }
    let mut late = Vec::new();
    for took in fleet.backends.node_requests() {
        let proxy = proxies.get(&took.id).map_or("?", |proxy| proxy);
        let told = |change: &ListChange| {
            let answered = answers.get(proxy).into_iter().flatten();
            change.at_ms + TOLD <= took.at_ms
                || answered.into_iter().any(|(at, version)| *at <= took.at_ms && *version >= change.version)
        };
        let mine = || changes.iter().filter(|change| change.node == took.node && change.at_ms < took.at_ms);
        let back = mine().rfind(|change| change.state == NodeState::Ready && told(change));
        // The last that counts of it so long ago that its grace is over.
        let allowed = TOLD + GRACE + SLACK;
        let leaves =
            mine().rfind(|change| change.state != NodeState::Ready && took.at_ms - change.at_ms > allowed);
        let Some(left) = leaves.filter(|left| back.is_none_or(|back| back.at_ms < left.at_ms)) else {
            continue;
        };
        let since = took.at_ms - left.at_ms;
        late.push(format!("{proxy} sent {} to {} {since:.0} ms after its end", took.id, took.node));
    }
    late
}
