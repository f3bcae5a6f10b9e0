//! Plans of a run, read from TOML: the fleet, the seed and the faults with their times.

use crate::check::Breach;
use crate::datagrams::DatagramMode;
use crate::fleet::{Fleet, FleetSpec};
use crate::record::{TimelineEntry, merge_timeline};
use crate::relay::LinkMode;
use flintwell_standins::backends::{Disposition, Fault, NodeState};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

const RESTART_EXCUSE_MS: f64 = 500.0; // losses are excused this long after a restart or resume

/// A fleet, its load and the faults injected into it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub seed: u64,
    /// Duration of the load, s.
    pub time_s: f64,
    #[serde(default)]
    pub fleet: FleetSpec,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// An action at a time. `Fleet::matching_proxies`, `Fleet::matching_nodes` and `Fleet::set_link_mode` describe the names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    pub at_s: f64,
    #[serde(flatten)]
    pub action: Action,
}

/// A fault, its end, or another action on the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Sets the mode of the links from proxies to nodes, discovery or the management API.
    Path {
        from: String,
        to: String,
        #[serde(rename = "way")]
        mode: LinkMode,
    },
    /// Sets the mode of datagrams between proxies.
    #[serde(rename = "words")]
    Datagrams {
        from: String,
        to: String,
        #[serde(rename = "way")]
        mode: DatagramMode,
    },
    /// Silences the open watches of these proxies permanently; new connections to discovery work.
    #[serde(rename = "hush_watch")]
    SilenceWatches { who: String },
    /// Injects a fault into nodes.
    Node { who: String, fault: Fault },
    /// Publishes a state of nodes in the node list.
    List { who: String, state: NodeState },
    /// Restarts nodes empty and cold.
    #[serde(rename = "cold")]
    RestartCold { who: String },
    /// Kills proxies.
    Kill { who: String },
    /// Starts proxies that are not running.
    Start {
        who: String,
        /// Deletes the files that the proxy stored first.
        #[serde(default)]
        afresh: bool,
    },
    /// Sends SIGTERM, which begins a graceful shutdown; may be repeated.
    Terminate { who: String },
    /// Kills what is left after a graceful shutdown; requests without a response count as lost.
    End { who: String },
    /// Sends SIGHUP, which reloads the configuration.
    #[serde(rename = "hang_up")]
    Reload { who: String },
    /// Opens this many idle client connections to each proxy.
    #[serde(rename = "crowd")]
    OpenIdleConnections { who: String, connections: usize },
    /// Stops proxies with SIGSTOP.
    Pause { who: String },
    /// Continues paused proxies.
    #[serde(rename = "go_on")]
    Resume { who: String },
}

/// Counts of requests within one second of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SecondCounts {
    #[serde(rename = "accesses")]
    pub requests: usize,
    #[serde(rename = "honoured")]
    pub served: usize,
    #[serde(rename = "turned_back")]
    pub refused: usize,
    #[serde(rename = "broken_off")]
    pub failed: usize,
    pub unanswered: usize,
    #[serde(rename = "hand_offs")]
    pub attempts: usize,
    /// Requests served by the origin.
    pub fetches: usize,
    /// Requests rejected as overloaded by any node.
    #[serde(rename = "refused")]
    pub origin_refused: usize,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    pub seed: u64,
    pub seconds: Vec<SecondCounts>,
    pub breaches: Vec<Breach>,
    /// Written to a separate file.
    #[serde(skip)]
    pub timeline: Vec<TimelineEntry>,
}

impl Plan {
    /// Reads a plan; an error names the file and the line.
    pub fn read(file: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        toml::from_str(&text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            let line = text[..at.min(text.len())].matches('\n').count() + 1;
            format!("{}:{line}: {}", file.display(), error.message())
        })
    }

    /// Runs the plan with this program, in this folder.
    pub async fn run(&self, program: &Path, folder: &Path) -> Result<Outcome, String> {
        let mut fleet = Fleet::start(self.fleet.clone(), program, folder).await?;
        let started_at = Instant::now();
        let offset = fleet.backends.now_ms();
        fleet.start_clients(self.seed, Duration::from_secs_f64(self.time_s));
        let mut events = self.events.clone();
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        for event in &events {
            sleep_until((started_at + Duration::from_secs_f64(event.at_s.max(0.0))).into()).await;
            apply(&mut fleet, &event.action).await.map_err(|why| format!("at {} s: {why}", event.at_s))?;
        }
        fleet.join_clients().await;
        let timeline = merge_timeline(&fleet, &events, offset);
        Ok(Outcome {
            seed: self.seed,
            seconds: seconds(&fleet, offset),
            breaches: fleet.breaches(),
            timeline,
        })
    }
}

/// Applies an action to a fleet.
pub async fn apply(fleet: &mut Fleet, action: &Action) -> Result<(), String> {
    let now = fleet.backends.now_ms();
    let no_match = |who: &str| format!("no proxy or node matches {who:?}");
    let proxies = |fleet: &Fleet, who: &str| match fleet.matching_proxies(who) {
        none if none.is_empty() => Err(no_match(who)),
        some => Ok(some),
    };
    let running_proxies = |fleet: &mut Fleet, who: &str| -> Result<Vec<usize>, String> {
        let mut running = proxies(fleet, who)?;
        running.retain(|&index| fleet.proxies[index].process.is_running());
        Ok(running)
    };
    let nodes = |fleet: &Fleet, who: &str| match fleet.matching_nodes(who) {
        none if none.is_empty() => Err(no_match(who)),
        some => Ok(some),
    };
    match action {
        Action::Path { from, to, mode } => {
            if fleet.set_link_mode(from, to, *mode) == 0 {
                return Err(format!("no path from {from:?} to {to:?}"));
            }
        }
        Action::Datagrams { from, to, mode } => {
            if fleet.set_datagram_mode(from, to, *mode) == 0 {
                return Err(format!("no proxies match from {from:?} to {to:?}"));
            }
        }
        Action::SilenceWatches { who } => {
            if fleet.silence_watches(who) == 0 {
                return Err(no_match(who));
            }
        }
        Action::Node { who, fault } => nodes(fleet, who)?.iter().for_each(|id| {
            fleet.backends.set_fault(id, *fault);
        }),
        Action::List { who, state } => nodes(fleet, who)?.iter().for_each(|id| {
            fleet.backends.set_list_state(id, *state);
        }),
        Action::RestartCold { who } => nodes(fleet, who)?.iter().for_each(|id| {
            fleet.backends.restart_node(id);
        }),
        Action::Kill { who } => {
            for index in proxies(fleet, who)? {
                fleet.proxies[index].process.kill();
                fleet.excuse(index, now - 1_500.0, f64::MAX);
            }
        }
        Action::Terminate { who } => {
            for index in proxies(fleet, who)? {
                fleet.proxies[index].process.terminate();
                fleet.mark_down(index);
            }
        }
        Action::End { who } => {
            for index in proxies(fleet, who)? {
                fleet.proxies[index].process.kill();
            }
        }
        Action::Reload { who } => {
            proxies(fleet, who)?.into_iter().for_each(|index| fleet.proxies[index].process.reload());
        }
        Action::OpenIdleConnections { who, connections } => {
            for index in proxies(fleet, who)? {
                fleet.open_idle_connections(index, *connections).await;
            }
        }
        Action::Start { who, afresh } => {
            for index in proxies(fleet, who)? {
                // It may be running already if two events start it.
                if !fleet.proxies[index].process.is_running() {
                    if *afresh {
                        fleet.proxies[index].process.delete_state();
                    }
                    fleet.proxies[index].process.spawn()?;
                }
                fleet.mark_up(index);
                let until = fleet.backends.now_ms() + RESTART_EXCUSE_MS;
                fleet.end_excuse(index, until);
            }
        }
        Action::Pause { who } => {
            for index in running_proxies(fleet, who)? {
                fleet.proxies[index].process.pause();
                fleet.excuse(index, now - 1_500.0, f64::MAX);
            }
        }
        Action::Resume { who } => {
            // Danger: the excuse of a process that was killed would end here.
            for index in running_proxies(fleet, who)? {
                fleet.proxies[index].process.resume();
                let until = fleet.backends.now_ms() + RESTART_EXCUSE_MS;
                fleet.end_excuse(index, until);
            }
        }
    }
    Ok(())
}

/// The counts of each second of a run.
fn seconds(fleet: &Fleet, offset: f64) -> Vec<SecondCounts> {
    let mut seconds: Vec<SecondCounts> = Vec::new();
    let second_of = |at: f64| ((at - offset).max(0.0) / 1e3) as usize;
    let mut second = |at: f64, update: &dyn Fn(&mut SecondCounts)| {
        let index = second_of(at);
        if seconds.len() <= index {
            seconds.resize(index + 1, SecondCounts::default());
        }
        update(&mut seconds[index]);
    };
    for request in fleet.request_log.entries() {
        second(request.at_ms, &|second| {
            second.requests += 1;
            match request.status {
                Some(200) => second.served += 1,
                Some(429 | 503) => second.refused += 1,
                Some(_) => second.failed += 1,
                None => second.unanswered += 1,
            }
        });
    }
    for request in fleet.backends.node_requests() {
        second(request.at_ms, &|second| {
            second.attempts += 1;
            second.fetches +=
                usize::from(request.node == "origin" && request.disposition == Disposition::Served);
            second.origin_refused += usize::from(request.disposition == Disposition::TurnedAway);
        });
    }
    seconds
}

#[cfg(test)]
mod tests;
