//! A run as a TOML file: the fleet, the seed, and what goes wrong when.

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

const STANDS: f64 = 0.5; // s; after a restart until its losses are no longer excused

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub seed: u64,
    /// How long clients come, s.
    pub time_s: f64,
    #[serde(default)]
    pub fleet: FleetSpec,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Something that happens at a time; who and to whom by the names of `Fleet::named` and `Fleet::way`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    pub at_s: f64,
    #[serde(flatten)]
    pub action: Action,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    Path {
        from: String,
        to: String,
        #[serde(rename = "way")]
        mode: LinkMode,
    },
    /// Of datagrams from one proxy to another.
    #[serde(rename = "words")]
    Datagrams {
        from: String,
        to: String,
        #[serde(rename = "way")]
        mode: DatagramMode,
    },
    /// Its open watches fall silent for good; new connections to discovery are well.
    #[serde(rename = "hush_watch")]
    SilenceWatches {
        who: String,
    },
    Node {
        who: String,
        fault: Fault,
    },
    List {
        who: String,
        state: NodeState,
    },
    #[serde(rename = "cold")]
    RestartCold {
        who: String,
    },
    Kill {
        who: String,
    },
    Start {
        who: String,
        /// With none of the files that it has kept.
        #[serde(default)]
        afresh: bool,
    },
    /// A planned stop begins, or its signal comes once more.
    Terminate {
        who: String,
    },
    /// What is left of a planned stop is ended; what is not answered then is lost.
    End {
        who: String,
    },
    /// The configuration is read anew.
    #[serde(rename = "hang_up")]
    Reload {
        who: String,
    },
    /// So many clients connect to each, say nothing and stay.
    #[serde(rename = "crowd")]
    OpenIdleConnections {
        who: String,
        connections: usize,
    },
    Pause {
        who: String,
    },
    #[serde(rename = "go_on")]
    Resume {
        who: String,
    },
}

/// Requests within one second of the run.
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
    pub fetches: usize,
    #[serde(rename = "refused")]
    pub origin_refused: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    pub seed: u64,
    pub seconds: Vec<SecondCounts>,
    pub breaches: Vec<Breach>,
    /// Kept in a file of its own.
    #[serde(skip)]
    pub timeline: Vec<TimelineEntry>,
}

impl Plan {
    pub fn read(file: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        toml::from_str(&text).map_err(|error| {
            let at = error.span().map_or(0, |span| span.start);
            let line = text[..at.min(text.len())].matches('\n').count() + 1;
            format!("{}:{line}: {}", file.display(), error.message())
        })
    }

    pub async fn run(&self, program: &Path, folder: &Path) -> Result<Outcome, String> {
        let mut fleet = Fleet::start(self.fleet.clone(), program, folder).await?;
        let began = Instant::now();
        let offset = fleet.backends.now_ms();
        fleet.start_clients(self.seed, Duration::from_secs_f64(self.time_s));
        let mut events = self.events.clone();
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        for event in &events {
            sleep_until((began + Duration::from_secs_f64(event.at_s.max(0.0))).into()).await;
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

pub async fn apply(fleet: &mut Fleet, what: &Action) -> Result<(), String> {
    let now = fleet.backends.now_ms();
    let nobody = |who: &str| format!("nobody is named {who:?}");
    let proxies = |fleet: &Fleet, who: &str| match fleet.matching_proxies(who) {
        none if none.is_empty() => Err(nobody(who)),
        some => Ok(some),
    };
    let nodes = |fleet: &Fleet, who: &str| match fleet.matching_nodes(who) {
        none if none.is_empty() => Err(nobody(who)),
        some => Ok(some),
    };
    match what {
        Action::Path { from, to, mode } => {
            if fleet.set_link_mode(from, to, *mode) == 0 {
                return Err(format!("no path from {from:?} to {to:?}"));
            }
        }
        Action::Datagrams { from, to, mode } => {
            if fleet.set_datagram_mode(from, to, *mode) == 0 {
                return Err(format!("no words from {from:?} to {to:?}"));
            }
        }
        Action::SilenceWatches { who } => {
            if fleet.silence_watches(who) == 0 {
                return Err(nobody(who));
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
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.kill();
                fleet.excuse(n, now - 1_500.0, f64::MAX);
            }
        }
        Action::Terminate { who } => {
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.terminate();
                fleet.mark_down(n);
            }
        }
        Action::End { who } => {
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.kill();
            }
        }
        Action::Reload { who } => {
            proxies(fleet, who)?.into_iter().for_each(|n| fleet.proxies[n].process.reload());
        }
        Action::OpenIdleConnections { who, connections } => {
            for n in proxies(fleet, who)? {
                fleet.open_idle_connections(n, *connections).await;
            }
        }
        Action::Start { who, afresh } => {
            for n in proxies(fleet, who)? {
                // Of two who were to start it the first has.
                if !fleet.proxies[n].process.is_running() {
                    if *afresh {
                        fleet.proxies[n].process.delete_state();
                    }
                    fleet.proxies[n].process.spawn()?;
                }
                fleet.mark_up(n);
                let until = fleet.backends.now_ms() + STANDS * 1e3;
                fleet.end_excuse(n, until);
            }
        }
        Action::Pause { who } => {
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.pause();
                fleet.excuse(n, now - 1_500.0, f64::MAX);
            }
        }
        Action::Resume { who } => {
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.resume();
                let until = fleet.backends.now_ms() + STANDS * 1e3;
                fleet.end_excuse(n, until);
            }
        }
    }
    Ok(())
}

fn seconds(fleet: &Fleet, offset: f64) -> Vec<SecondCounts> {
    let mut seconds: Vec<SecondCounts> = Vec::new();
    let place = |at: f64| ((at - offset).max(0.0) / 1e3) as usize;
    let mut second = |at: f64, change: &dyn Fn(&mut SecondCounts)| {
        let n = place(at);
        if seconds.len() <= n {
            seconds.resize(n + 1, SecondCounts::default());
        }
        change(&mut seconds[n]);
    };
    for seen in fleet.request_log.entries() {
        second(seen.at_ms, &|second| {
            second.requests += 1;
            match seen.status {
                Some(200) => second.served += 1,
                Some(429 | 503) => second.refused += 1,
                Some(_) => second.failed += 1,
                None => second.unanswered += 1,
            }
        });
    }
    for took in fleet.backends.node_requests() {
        second(took.at_ms, &|second| {
            second.attempts += 1;
            second.fetches += usize::from(took.node == "origin" && took.disposition == Disposition::Served);
            second.origin_refused += usize::from(took.disposition == Disposition::TurnedAway);
        });
    }
    seconds
}

#[cfg(test)]
mod tests;
