//! Checks the rules over the whole fleet from what clients, nodes and discovery recorded, without the code of the policy.

use flintwell_standins::backends::{
    DiscoveryCall, Disposition, ListChange, NodeRequest, NodeSpec, NodeState,
};
use flintwell_standins::clients::{ClientRequest, ResponseFailure};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

const SOCKET_SLACK_MS: f64 = 50.0; // sockets may add this to each limit (protocol page)
const BUSY_MACHINE_MS: f64 = 250.0; // delay that a machine busy with many processes may add
const SILENT_WATCH_DETECTION_MS: f64 = 6_000.0; // what a silent watch misses counts as known after this (protocol page)
const WATCH_END_SLACK_MS: f64 = 2_000.0; // the same after the long-poll time-out of the call, if that is later
const ACCEPT_AFTER_SHUTDOWN_MS: f64 = 400.0; // new connections arrive this long after SIGTERM (protocol page)
const COLD_BELOW_SHARE: f64 = 0.99; // a node with a smaller share of its workers is cold

/// How requests of a class may be repeated.
#[derive(Clone, Debug)]
pub struct RepeatRules {
    /// May be repeated at any node and any time.
    pub replayable: bool,
    /// Nodes that know its idempotency key deduplicate repeats within this time.
    pub dedup_window_ms: Option<f64>,
}

/// A violation of a rule.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Breach {
    pub rule: u8,
    pub at_ms: f64,
    pub what: String,
}

/// What a run recorded, and the limits that the rules apply.
pub struct Observations<'a> {
    pub client_requests: &'a [ClientRequest],
    pub node_requests: &'a [NodeRequest],
    pub list_changes: &'a [ListChange],
    pub discovery_calls: &'a [DiscoveryCall],
    /// Proxies whose open watches were silenced, when, and until when an earlier call may still have reached discovery.
    pub silenced_watches: &'a [(String, f64, f64)],
    /// Discovery pushes its list: a change counts as known immediately, whether or not a watch is open.
    pub push_discovery: bool,
    pub node_specs: &'a [NodeSpec],
    pub repeat_rules: &'a BTreeMap<String, RepeatRules>,
    /// Time from when a drain is known until no new request may be sent to the node.
    pub drain_grace_ms: f64,
    /// Window in which a cold node must not receive more than its capacity.
    pub cold_overload_window_s: f64,
    /// Proxies and times of injected faults in which requests may get no response.
    pub excused: &'a [(String, f64, f64)],
    /// Proxies with the time of SIGTERM and the time when they accepted clients again.
    pub shutdowns: &'a [(String, f64, f64)],
    /// Idle clients use up the descriptors: new connections may be closed unread.
    pub sockets_exhausted: bool,
    /// The proxy that sends requests of clients that keep no record.
    pub proxy_of_unrecorded: Option<&'a str>,
}

/// All violations, ordered by time.
pub fn check_rules(observations: &Observations) -> Vec<Breach> {
    let mut breaches = check_answers(observations);
    breaches.extend(check_deliveries(observations));
    breaches.extend(check_effects(observations));
    breaches.extend(check_drains(observations));
    breaches.extend(check_cold_nodes(observations));
    breaches.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    breaches
}

/// Rule 1: each request gets one final response before its deadline.
fn check_answers(observations: &Observations) -> Vec<Breach> {
    let excused = |request: &ClientRequest| {
        let end = request.at_ms + request.limit_ms + BUSY_MACHINE_MS;
        let overlaps = |(proxy, from, to): &(String, f64, f64)| {
            *proxy == request.proxy && request.at_ms < *to && end > *from
        };
        observations.excused.iter().any(overlaps)
    };
    // No violation: the proxy never read the request, and it did not have to accept connections then.
    let not_owed = |request: &&ClientRequest| {
        let ends = request.at_ms + request.took_ms;
        let down = |(proxy, from, to): &(String, f64, f64)| {
            *proxy == request.proxy
                && ends > from + ACCEPT_AFTER_SHUTDOWN_MS
                && request.at_ms < to + BUSY_MACHINE_MS
        };
        match request.failure {
            Some(ResponseFailure::NotConnected | ResponseFailure::Reset) => {
                observations.sockets_exhausted || observations.shutdowns.iter().any(down)
            }
            _ => false,
        }
    };
    let is_late = |request: &&ClientRequest| {
        request.status.is_none() || request.took_ms > request.limit_ms + SOCKET_SLACK_MS + BUSY_MACHINE_MS
    };
    let violating = observations
        .client_requests
        .iter()
        .filter(is_late)
        .filter(|request| !not_owed(request) && !excused(request));
    violating
        .map(|request| Breach {
            rule: 1,
            at_ms: request.at_ms,
            what: format!(
                "{} at {}: {:?} ({:?}) after {:.0} ms",
                request.id, request.proxy, request.status, request.failure, request.took_ms
            ),
        })
        .collect()
}

/// Rule 1: nobody is served a response that was made for another request. No fault excuses that.
fn check_deliveries(observations: &Observations) -> Vec<Breach> {
    let misdelivered = observations.client_requests.iter().filter(|request| request.misdelivered);
    misdelivered
        .map(|request| Breach {
            rule: 1,
            at_ms: request.at_ms,
            what: format!("{} at {} was served the response to another request", request.id, request.proxy),
        })
        .collect()
}

/// Rule 2: no request takes effect twice, and none that may have run is refused as safe to retry.
fn check_effects(observations: &Observations) -> Vec<Breach> {
    let mut executions: HashMap<&str, Vec<&NodeRequest>> = HashMap::new();
    for node_request in observations.node_requests {
        if matches!(node_request.disposition, Disposition::Served | Disposition::Error | Disposition::Nothing)
        {
            executions.entry(&node_request.id).or_default().push(node_request);
        }
    }
    let mut breaches = Vec::new();
    for request in observations.client_requests {
        let (Some(executed), Some(repeats)) =
            (executions.get(&*request.id), observations.repeat_rules.get(&request.class))
        else {
            continue;
        };
        if repeats.replayable {
            continue;
        }
        let first = executed.iter().map(|node_request| node_request.at_ms).fold(f64::MAX, f64::min);
        let outside_window = executed.iter().any(|node_request| {
            repeats.dedup_window_ms.is_none_or(|window| node_request.at_ms > first + window)
        });
        if executed.len() > 1 && outside_window {
            let nodes: Vec<&str> = executed.iter().map(|node_request| &*node_request.node).collect();
            breaches.push(Breach { rule: 2, at_ms: first, what: format!("{} ran at {nodes:?}", request.id) });
        }
        let deduplicated = repeats.dedup_window_ms.is_some();
        if matches!(request.status, Some(429 | 503)) && !deduplicated {
            let what = format!("{} refused although it may have run", request.id);
            breaches.push(Breach { rule: 2, at_ms: first, what });
        }
    }
    breaches
}

/// When a proxy must know a change of the node list, in ms; `f64::MAX` if it need not.
fn list_known_at(observations: &Observations, proxy: &str, change: &ListChange) -> f64 {
    let mut calls = observations.discovery_calls.iter().filter(|call| call.proxy == proxy).peekable();
    if calls.peek().is_none() {
        return change.at_ms;
    }
    let silent = observations.silenced_watches.iter().filter(|(who, ..)| who == proxy).filter_map(
        |&(_, at, reached_until)| {
            let was_open = |call: &&DiscoveryCall| {
                call.at_ms <= reached_until && call.answered.is_none_or(|(then, _)| then > at)
            };
            let call =
                observations.discovery_calls.iter().rfind(|call| call.proxy == proxy && was_open(call))?;
            Some((
                at,
                call,
                (at + SILENT_WATCH_DETECTION_MS).max(call.at_ms + call.wait_ms + WATCH_END_SLACK_MS),
            ))
        },
    );
    let silent: Vec<_> = silent.collect();
    let is_received =
        |call: &DiscoveryCall| !silent.iter().any(|(_, silenced_call, _)| std::ptr::eq(*silenced_call, call));
    let has_change = |call: &DiscoveryCall| call.answered.filter(|(_, version)| *version >= change.version);
    let received_at = calls.filter(|call| is_received(call)).filter_map(has_change).map(|(at, _)| at);
    let received_at = received_at.fold(f64::MAX, f64::min);
    // A change that a silenced watch misses counts as known after the detection time. Without a silenced watch, a pushed change
    // counts at once. A later call that was answered ends the silence: its response had everything up to then, and changes
    // after it are not missed because of the silenced watch.
    let proxy_calls = || observations.discovery_calls.iter().filter(|call| call.proxy == proxy);
    let renewed_after = |from: f64| {
        let later = proxy_calls()
            .filter(|call| call.at_ms > from && is_received(call))
            .filter_map(|call| call.answered);
        later.filter(|(_, version)| *version > 0).map(|(at, _)| at).fold(f64::MAX, f64::min)
    };
    let missed_at = silent
        .iter()
        .find(|(from, _, to)| (*from..to.min(renewed_after(*from))).contains(&change.at_ms))
        .map(|(_, _, to)| *to);
    received_at.min(missed_at.unwrap_or(if observations.push_discovery { change.at_ms } else { f64::MAX }))
}

/// Rule 3: no new request to a node that is known as draining or gone, after the drain grace.
fn check_drains(observations: &Observations) -> Vec<Breach> {
    let proxies: HashMap<&str, &str> =
        observations.client_requests.iter().map(|request| (&*request.id, &*request.proxy)).collect();
    let mut breaches = Vec::new();
    let mut excluded: BTreeMap<&str, (&ListChange, f64)> = BTreeMap::new();
    let mut intervals: Vec<(&str, &ListChange, f64)> = Vec::new();
    for change in observations.list_changes {
        match change.state {
            NodeState::Ready => {
                let span = excluded.remove(&*change.node);
                intervals.extend(span.map(|(from, _)| (&*change.node, from, change.at_ms)));
            }
            _ => drop(excluded.entry(&change.node).or_insert((change, f64::MAX))),
        }
    }
    intervals.extend(excluded.into_iter().map(|(node, (from, to))| (node, from, to)));
    for node_request in observations.node_requests {
        let recorded = proxies.get(&*node_request.id).copied();
        let proxy = recorded.or(observations.proxy_of_unrecorded).unwrap_or_default();
        let in_interval = |(node, from, to): &&(&str, &ListChange, f64)| {
            let earliest = from.at_ms + observations.drain_grace_ms + SOCKET_SLACK_MS + BUSY_MACHINE_MS;
            *node == node_request.node && node_request.at_ms > earliest && node_request.at_ms < *to
        };
        for (_, change, _) in intervals.iter().filter(in_interval) {
            let from = list_known_at(observations, proxy, change);
            if node_request.at_ms > from + observations.drain_grace_ms + SOCKET_SLACK_MS + BUSY_MACHINE_MS {
                let what = format!(
                    "{} to {} {:.0} ms after its drain",
                    node_request.id,
                    node_request.node,
                    node_request.at_ms - from
                );
                breaches.push(Breach { rule: 3, at_ms: node_request.at_ms, what });
            }
        }
    }
    breaches
}

/// Rule 4: no cold node is overloaded. Its capacity in the window is what its available workers can process.
fn check_cold_nodes(observations: &Observations) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for spec in observations.node_specs {
        let mut window: std::collections::VecDeque<&NodeRequest> = Default::default();
        let mut reported = HashSet::new();
        for node_request in observations
            .node_requests
            .iter()
            .filter(|node_request| node_request.node == spec.id && node_request.warmth < COLD_BELOW_SHARE)
        {
            window.push_back(node_request);
            let from = node_request.at_ms - observations.cold_overload_window_s * 1e3;
            while window.front().is_some_and(|first| first.at_ms < from) {
                window.pop_front();
            }
            let capacity = spec.workers as f64 * node_request.warmth * 1e3 / spec.time_ms
                * observations.cold_overload_window_s;
            if window.len() as f64 > capacity + spec.queue as f64
                && reported.insert((node_request.at_ms / 1e3) as u64)
            {
                let what = format!(
                    "{}: {} requests in {} s, capacity {capacity:.0}",
                    spec.id,
                    window.len(),
                    observations.cold_overload_window_s
                );
                breaches.push(Breach { rule: 4, at_ms: node_request.at_ms, what });
            }
        }
    }
    breaches
}

#[cfg(test)]
mod tests;
