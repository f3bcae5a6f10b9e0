//! The rules over the whole fleet, from what clients saw, what nodes took and what discovery told. Knows nothing of the
//! module.

use flintwell_standins::backends::{
    DiscoveryCall, Disposition, ListChange, NodeRequest, NodeSpec, NodeState,
};
use flintwell_standins::clients::{ClientRequest, ResponseFailure};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

const SLACK: f64 = 50.0; // ms; what sockets add to each limit, by the protocol page
const BREATH: f64 = 250.0; // ms; what a machine that is busy with many processes adds in a test
const SILENT: f64 = 6_000.0; // ms; after a watch fell silent what it misses counts as told, by the protocol page
const WAITED: f64 = 2_000.0; // ms; the same after the wait of a call, where that is later
const DOOR: f64 = 400.0; // ms; after a proxy is told to end new connections go on coming for so long, by the protocol page
const COLD: f64 = 0.99; // share of its workers; under it a node is cold

/// How a class may be repeated, as far as the checker needs it.
#[derive(Clone, Debug)]
pub struct RepeatRules {
    /// Anywhere, any time.
    pub replayable: bool,
    /// By its mark, wherever the mark is known, for so long.
    pub dedup_window_ms: Option<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Breach {
    pub rule: u8,
    pub at_ms: f64,
    pub what: String,
}

pub struct Observations<'a> {
    pub client_requests: &'a [ClientRequest],
    pub node_requests: &'a [NodeRequest],
    pub list_changes: &'a [ListChange],
    pub discovery_calls: &'a [DiscoveryCall],
    /// Proxies whose open watch fell silent, when, and until when a call of before may still have reached discovery.
    pub silenced_watches: &'a [(String, f64, f64)],
    /// What discovery has counts as told, whether or not anybody watches.
    pub push_discovery: bool,
    pub node_specs: &'a [NodeSpec],
    pub repeat_rules: &'a BTreeMap<String, RepeatRules>,
    /// From when an entry is told until nothing new may go there.
    pub drain_grace_ms: f64,
    /// Within which a cold node falls if more comes than it bears.
    pub cold_overload_window_s: f64,
    /// Paths or processes that we stopped ourselves: requests in these times may get no answer.
    pub excused: &'a [(String, f64, f64)],
    /// When a proxy was told to end, and when a process of its own took clients again.
    pub shutdowns: &'a [(String, f64, f64)],
    /// Idle clients fill the descriptors: new connections may be shut unread.
    pub sockets_exhausted: bool,
}

/// Every breach, by time.
pub fn check_rules(evidence: &Observations) -> Vec<Breach> {
    let mut breaches = answers(evidence);
    breaches.extend(effects(evidence));
    breaches.extend(drains(evidence));
    breaches.extend(cold(evidence));
    breaches.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    breaches
}

/// Rule 1: one final answer before the deadline.
fn answers(evidence: &Observations) -> Vec<Breach> {
    let excused = |seen: &ClientRequest| {
        let end = seen.at_ms + seen.limit_ms + BREATH;
        let meets =
            |(proxy, from, to): &(String, f64, f64)| *proxy == seen.proxy && seen.at_ms < *to && end > *from;
        evidence.excused.iter().any(meets)
    };
    // A request that the proxy never read is no loss where nobody was owed a connection.
    let not_taken = |seen: &&ClientRequest| {
        let ends = seen.at_ms + seen.took_ms;
        let down = |(proxy, from, to): &(String, f64, f64)| {
            *proxy == seen.proxy && ends > from + DOOR && seen.at_ms < to + BREATH
        };
        match seen.failure {
            Some(ResponseFailure::NotConnected | ResponseFailure::Reset) => {
                evidence.sockets_exhausted || evidence.shutdowns.iter().any(down)
            }
            _ => false,
        }
    };
    let late = |seen: &&ClientRequest| seen.status.is_none() || seen.took_ms > seen.limit_ms + SLACK + BREATH;
    let wrong =
        evidence.client_requests.iter().filter(late).filter(|seen| !not_taken(seen) && !excused(seen));
    wrong
        .map(|seen| Breach {
            rule: 1,
            at_ms: seen.at_ms,
            what: format!(
                "{} at {}: {:?} ({:?}) after {:.0} ms",
                seen.id, seen.proxy, seen.status, seen.failure, seen.took_ms
            ),
        })
        .collect()
}

/// Rule 2: no effect twice, and nothing that ran is told as harmless to try again.
fn effects(evidence: &Observations) -> Vec<Breach> {
    let mut runs: HashMap<&str, Vec<&NodeRequest>> = HashMap::new();
    for took in evidence.node_requests {
        if matches!(took.disposition, Disposition::Served | Disposition::Error | Disposition::Nothing) {
            runs.entry(&took.id).or_default().push(took);
        }
    }
    let mut breaches = Vec::new();
    for seen in evidence.client_requests {
        let (Some(ran), Some(repeats)) = (runs.get(&*seen.id), evidence.repeat_rules.get(&seen.class)) else {
            continue;
        };
        if repeats.replayable {
            continue;
        }
        let first = ran.iter().map(|took| took.at_ms).fold(f64::MAX, f64::min);
        let far =
            ran.iter().any(|took| repeats.dedup_window_ms.is_none_or(|memory| took.at_ms > first + memory));
        if ran.len() > 1 && far {
            let nodes: Vec<&str> = ran.iter().map(|took| &*took.node).collect();
            breaches.push(Breach { rule: 2, at_ms: first, what: format!("{} ran at {nodes:?}", seen.id) });
        }
        let harmless = repeats.dedup_window_ms.is_some();
        if matches!(seen.status, Some(429 | 503)) && !harmless {
            let what = format!("{} refused though it may have run", seen.id);
            breaches.push(Breach { rule: 2, at_ms: first, what });
        }
    }
    breaches
}

/// When a change counts as told to a proxy.
fn told(evidence: &Observations, proxy: &str, change: &ListChange) -> f64 {
    let mut calls = evidence.discovery_calls.iter().filter(|call| call.proxy == proxy).peekable();
    if calls.peek().is_none() {
        return change.at_ms;
    }
    let silent =
        evidence.silenced_watches.iter().filter(|(who, ..)| who == proxy).filter_map(|&(_, at, reach)| {
            let open = |call: &&DiscoveryCall| {
                call.at_ms <= reach && call.answered.is_none_or(|(then, _)| then > at)
            };
            let call = evidence.discovery_calls.iter().rfind(|call| call.proxy == proxy && open(call))?;
            Some((at, call, (at + SILENT).max(call.at_ms + call.wait_ms + WAITED)))
        });
    let silent: Vec<_> = silent.collect();
    let heard = |call: &DiscoveryCall| !silent.iter().any(|(_, lost, _)| std::ptr::eq(*lost, call));
    let written = |call: &DiscoveryCall| call.answered.filter(|(_, version)| *version >= change.version);
    let answered = calls.filter(|call| heard(call)).filter_map(written).map(|(at, _)| at);
    let answered = answered.fold(f64::MAX, f64::min);
    // What is missed counts all the same; with no watch that is lost, what is pushed counts at once. A watch is no longer
    // missed once a later call was answered: that one told all until then, and what comes next is no loss of the silent one.
    let mine = || evidence.discovery_calls.iter().filter(|call| call.proxy == proxy);
    let renewed = |from: f64| {
        let later = mine().filter(|call| call.at_ms > from && heard(call)).filter_map(|call| call.answered);
        later.filter(|(_, version)| *version > 0).map(|(at, _)| at).fold(f64::MAX, f64::min)
    };
    let missed = silent
        .iter()
        .find(|(from, _, to)| (*from..to.min(renewed(*from))).contains(&change.at_ms))
        .map(|(_, _, to)| *to);
    answered.min(missed.unwrap_or(if evidence.push_discovery { change.at_ms } else { f64::MAX }))
}

/// Rule 3: nothing new to a node that was told as draining or gone, past the grace.
fn drains(evidence: &Observations) -> Vec<Breach> {
    let proxies: HashMap<&str, &str> =
        evidence.client_requests.iter().map(|seen| (&*seen.id, &*seen.proxy)).collect();
    let mut breaches = Vec::new();
    let mut out: BTreeMap<&str, (&ListChange, f64)> = BTreeMap::new();
    let mut spans: Vec<(&str, &ListChange, f64)> = Vec::new();
    for change in evidence.list_changes {
        match change.state {
            NodeState::Ready => {
                let span = out.remove(&*change.node);
                spans.extend(span.map(|(from, _)| (&*change.node, from, change.at_ms)));
            }
            _ => drop(out.entry(&change.node).or_insert((change, f64::MAX))),
        }
    }
    spans.extend(out.into_iter().map(|(node, (from, to))| (node, from, to)));
    for took in evidence.node_requests {
        let proxy = proxies.get(&*took.id).copied().unwrap_or_default();
        let past = |(node, from, to): &&(&str, &ListChange, f64)| {
            let least = from.at_ms + evidence.drain_grace_ms + SLACK + BREATH;
            *node == took.node && took.at_ms > least && took.at_ms < *to
        };
        for (_, change, _) in spans.iter().filter(past) {
            let from = told(evidence, proxy, change);
            if took.at_ms > from + evidence.drain_grace_ms + SLACK + BREATH {
                let what =
                    format!("{} to {} {:.0} ms after its drain", took.id, took.node, took.at_ms - from);
                breaches.push(Breach { rule: 3, at_ms: took.at_ms, what });
            }
        }
    }
    breaches
}

/// Rule 4: no cold node pushed over. It bears what its workers, as warm as it is, can do within the time of a fall.
fn cold(evidence: &Observations) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for made in evidence.node_specs {
        let mut window: std::collections::VecDeque<&NodeRequest> = Default::default();
        let mut told = HashSet::new();
        for took in evidence.node_requests.iter().filter(|took| took.node == made.id && took.warmth < COLD) {
            window.push_back(took);
            let from = took.at_ms - evidence.cold_overload_window_s * 1e3;
            while window.front().is_some_and(|first| first.at_ms < from) {
                window.pop_front();
            }
            let bears =
                made.workers as f64 * took.warmth * 1e3 / made.time_ms * evidence.cold_overload_window_s;
            if window.len() as f64 > bears + made.queue as f64 && told.insert((took.at_ms / 1e3) as u64) {
                let what = format!(
                    "{}: {} requests in {} s, it bears {bears:.0}",
                    made.id,
                    window.len(),
                    evidence.cold_overload_window_s
                );
                breaches.push(Breach { rule: 4, at_ms: took.at_ms, what });
            }
        }
    }
    breaches
}

#[cfg(test)]
mod tests;
