//! A run as a TOML file: the fleet, the seed, and what goes wrong when.

use crate::check::Breach;
use crate::datagrams::Post;
use crate::fleet::{Fleet, Shape};
use crate::record::{Line, timeline};
use crate::relay::Way;
use flintwell_standins::world::{Did, Fault, State};
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
    pub fleet: Shape,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Something that happens at a time; who and to whom by the names of `Fleet::named` and `Fleet::way`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    pub at_s: f64,
    #[serde(flatten)]
    pub what: What,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    Path {
        from: String,
        to: String,
        way: Way,
    },
    /// Of datagrams from one proxy to another.
    Words {
        from: String,
        to: String,
        way: Post,
    },
    /// Its open watches fall silent for good; new connections to discovery are well.
    HushWatch {
        who: String,
    },
    Node {
        who: String,
        fault: Fault,
    },
    List {
        who: String,
        state: State,
    },
    Cold {
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
    HangUp {
        who: String,
    },
    /// So many clients connect to each, say nothing and stay.
    Crowd {
        who: String,
        connections: usize,
    },
    Pause {
        who: String,
    },
    GoOn {
        who: String,
    },
}

/// Requests within one second of the run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
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
    pub seconds: Vec<Second>,
    pub breaches: Vec<Breach>,
    /// Kept in a file of its own.
    #[serde(skip)]
    pub timeline: Vec<Line>,
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
        let offset = fleet.world.now_ms();
        fleet.comes(self.seed, Duration::from_secs_f64(self.time_s));
        let mut events = self.events.clone();
        events.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        for event in &events {
            sleep_until((began + Duration::from_secs_f64(event.at_s.max(0.0))).into()).await;
            happens(&mut fleet, &event.what).await.map_err(|why| format!("at {} s: {why}", event.at_s))?;
        }
        fleet.gone().await;
        let timeline = timeline(&fleet, &events, offset);
        Ok(Outcome {
            seed: self.seed,
            seconds: seconds(&fleet, offset),
            breaches: fleet.breaches(),
            timeline,
        })
    }
}

pub async fn happens(fleet: &mut Fleet, what: &What) -> Result<(), String> {
    let now = fleet.world.now_ms();
    let nobody = |who: &str| format!("nobody is named {who:?}");
    let proxies = |fleet: &Fleet, who: &str| match fleet.named(who) {
        none if none.is_empty() => Err(nobody(who)),
        some => Ok(some),
    };
    let nodes = |fleet: &Fleet, who: &str| match fleet.nodes_named(who) {
        none if none.is_empty() => Err(nobody(who)),
        some => Ok(some),
    };
    match what {
        What::Path { from, to, way } => {
            if fleet.way(from, to, *way) == 0 {
                return Err(format!("no path from {from:?} to {to:?}"));
            }
        }
        What::Words { from, to, way } => {
            if fleet.words(from, to, *way) == 0 {
                return Err(format!("no words from {from:?} to {to:?}"));
            }
        }
        What::HushWatch { who } => {
            if fleet.hushes(who) == 0 {
                return Err(nobody(who));
            }
        }
        What::Node { who, fault } => nodes(fleet, who)?.iter().for_each(|id| {
            fleet.world.fault(id, *fault);
        }),
        What::List { who, state } => nodes(fleet, who)?.iter().for_each(|id| {
            fleet.world.lists(id, *state);
        }),
        What::Cold { who } => nodes(fleet, who)?.iter().for_each(|id| {
            fleet.world.restarts(id);
        }),
        What::Kill { who } => {
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.kills();
                fleet.excuses(n, now - 1_500.0, f64::MAX);
            }
        }
        What::Terminate { who } => {
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.terminates();
                fleet.goes_down(n);
            }
        }
        What::End { who } => {
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.kills();
            }
        }
        What::HangUp { who } => {
            proxies(fleet, who)?.into_iter().for_each(|n| fleet.proxies[n].process.hangs_up());
        }
        What::Crowd { who, connections } => {
            for n in proxies(fleet, who)? {
                fleet.crowds(n, *connections).await;
            }
        }
        What::Start { who, afresh } => {
            for n in proxies(fleet, who)? {
                // Of two who were to start it the first has.
                if !fleet.proxies[n].process.lives() {
                    if *afresh {
                        fleet.proxies[n].process.forgets();
                    }
                    fleet.proxies[n].process.starts()?;
                }
                fleet.comes_up(n);
                let until = fleet.world.now_ms() + STANDS * 1e3;
                fleet.excused_until(n, until);
            }
        }
        What::Pause { who } => {
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.pauses();
                fleet.excuses(n, now - 1_500.0, f64::MAX);
            }
        }
        What::GoOn { who } => {
            for n in proxies(fleet, who)? {
                fleet.proxies[n].process.goes_on();
                let until = fleet.world.now_ms() + STANDS * 1e3;
                fleet.excused_until(n, until);
            }
        }
    }
    Ok(())
}

fn seconds(fleet: &Fleet, offset: f64) -> Vec<Second> {
    let mut seconds: Vec<Second> = Vec::new();
    let place = |at: f64| ((at - offset).max(0.0) / 1e3) as usize;
    let mut second = |at: f64, change: &dyn Fn(&mut Second)| {
        let n = place(at);
        if seconds.len() <= n {
            seconds.resize(n + 1, Second::default());
        }
        change(&mut seconds[n]);
    };
    for seen in fleet.book.all() {
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
    for took in fleet.world.took() {
        second(took.at_ms, &|second| {
            second.attempts += 1;
            second.fetches += usize::from(took.node == "origin" && took.did == Did::Served);
            second.origin_refused += usize::from(took.did == Did::TurnedAway);
        });
    }
    seconds
}

#[cfg(test)]
mod tests;
