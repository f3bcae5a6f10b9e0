//! What a run leaves in a folder: its plan with the seed it had, one merged timeline, its figures; and a play of the
//! same plan beside them.

use crate::fleet::Fleet;
use crate::plan::{Event, Outcome, Plan, SecondCounts};
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

const PLAN: &str = "plan.toml"; // file names
const TIMELINE: &str = "timeline.jsonl";
const OUTCOME: &str = "outcome.json";

/// One line of the timeline; times in ms since the clients came.
#[derive(Clone, Debug, Serialize)]
pub struct TimelineEntry {
    pub at_ms: f64,
    /// What tells it: `fault`, `list`, `client`, `node` or `log`.
    #[serde(rename = "by")]
    pub source: &'static str,
    #[serde(rename = "who")]
    pub subject: String,
    #[serde(rename = "what")]
    pub text: String,
}

/// All that was seen anywhere, in the order of time.
pub fn merge_timeline(fleet: &Fleet, events: &[Event], offset: f64) -> Vec<TimelineEntry> {
    let mut lines = Vec::new();
    let mut line = |at_ms: f64, by, who: &str, what| {
        lines.push(TimelineEntry { at_ms, source: by, subject: who.into(), text: what })
    };
    for event in events {
        let what = serde_json::to_string(&event.action).unwrap_or_default();
        line(event.at_s * 1e3, "fault", "rig", what);
    }
    for change in fleet.backends.list_changes() {
        line(change.at_ms - offset, "list", &change.node, change.state.as_str().into());
    }
    for seen in fleet.request_log.entries() {
        let status = seen.status.map_or("no answer".into(), |status| status.to_string());
        let what = format!("{} {}: {status} after {:.1} ms", seen.class, seen.id, seen.took_ms);
        line(seen.at_ms - offset, "client", &seen.proxy, what);
    }
    for took in fleet.backends.node_requests() {
        let what = format!("{} {}: {:?}, warmth {:.2}", took.id, took.key, took.disposition, took.warmth);
        line(took.at_ms - offset, "node", &took.node, what);
    }
    for proxy in &fleet.proxies {
        for (at, text) in proxy.process.timestamped_log() {
            line(fleet.backends.to_ms(at) - offset, "log", &proxy.process.name, text);
        }
    }
    lines.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    lines
}

/// Leaves all of it in `folder`, which is made.
pub fn write_run(folder: &Path, plan: &Plan, outcome: &Outcome) -> Result<(), String> {
    let told = |error: &dyn std::fmt::Display| format!("{}: {error}", folder.display());
    std::fs::create_dir_all(folder).map_err(|e| told(&e))?;
    let mut lines = String::new();
    for line in &outcome.timeline {
        let text = serde_json::to_string(line).map_err(|e| told(&e))?;
        // Into a text it cannot fail.
        let _ = writeln!(lines, "{text}");
    }
    let plan = toml::to_string(plan).map_err(|e| told(&e))?;
    let figures = serde_json::to_string_pretty(outcome).map_err(|e| told(&e))?;
    for (file, text) in [(PLAN, plan), (TIMELINE, lines), (OUTCOME, figures)] {
        std::fs::write(folder.join(file), text).map_err(|e| told(&e))?;
    }
    Ok(())
}

/// The plan that a folder holds, with what came of it.
pub fn read_run(folder: &Path) -> Result<(Plan, Outcome), String> {
    let plan = Plan::read(&folder.join(PLAN))?;
    let file = folder.join(OUTCOME);
    let told = |error: &dyn std::fmt::Display| format!("{}: {error}", file.display());
    let text = std::fs::read(&file).map_err(|e| told(&e))?;
    Ok((plan, serde_json::from_slice(&text).map_err(|e| told(&e))?))
}

/// Sums over a run, for two plays side by side.
pub fn totals(outcome: &Outcome) -> [(&'static str, usize); 8] {
    let of = |part: fn(&SecondCounts) -> usize| outcome.seconds.iter().map(part).sum();
    [
        ("accesses", of(|second| second.requests)),
        ("honoured", of(|second| second.served)),
        ("turned back", of(|second| second.refused)),
        ("broken off", of(|second| second.failed)),
        ("unanswered", of(|second| second.unanswered)),
        ("hand-offs", of(|second| second.attempts)),
        ("fetches", of(|second| second.fetches)),
        ("refused", of(|second| second.origin_refused)),
    ]
}
