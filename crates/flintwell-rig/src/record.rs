//! The files of a run: the plan with the seed used, a merged timeline and the figures.

use crate::fleet::Fleet;
use crate::plan::{Event, Outcome, Plan, SecondCounts};
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;

const PLAN_FILE: &str = "plan.toml";
const TIMELINE_FILE: &str = "timeline.jsonl";
const OUTCOME_FILE: &str = "outcome.json";

/// A line of the timeline; times in ms since the clients started.
#[derive(Clone, Debug, Serialize)]
pub struct TimelineEntry {
    pub at_ms: f64,
    /// `fault`, `list`, `client`, `node` or `log`.
    #[serde(rename = "by")]
    pub source: &'static str,
    /// The proxy, node or other party concerned.
    #[serde(rename = "who")]
    pub subject: String,
    #[serde(rename = "what")]
    pub text: String,
}

/// All recorded events in the order of time; `offset` is the start of the clients.
pub fn merge_timeline(fleet: &Fleet, events: &[Event], offset: f64) -> Vec<TimelineEntry> {
    let mut lines = Vec::new();
    let mut add = |at_ms: f64, by, who: &str, what| {
        lines.push(TimelineEntry { at_ms, source: by, subject: who.into(), text: what })
    };
    for event in events {
        let what = serde_json::to_string(&event.action).unwrap_or_default();
        add(event.at_s * 1e3, "fault", "rig", what);
    }
    for change in fleet.backends.list_changes() {
        add(change.at_ms - offset, "list", &change.node, change.state.as_str().into());
    }
    for request in fleet.request_log.entries() {
        let status = request.status.map_or("no answer".into(), |status| status.to_string());
        let what = format!("{} {}: {status} after {:.1} ms", request.class, request.id, request.took_ms);
        add(request.at_ms - offset, "client", &request.proxy, what);
    }
    for request in fleet.backends.node_requests() {
        let what = format!(
            "{} {}: {:?}, warmth {:.2}",
            request.id, request.key, request.disposition, request.warmth
        );
        add(request.at_ms - offset, "node", &request.node, what);
    }
    for proxy in &fleet.proxies {
        for (at, text) in proxy.process.timestamped_log() {
            add(fleet.backends.to_ms(at) - offset, "log", &proxy.process.name, text);
        }
    }
    lines.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    lines
}

/// Writes the files of a run to `folder`, which is created.
pub fn write_run(folder: &Path, plan: &Plan, outcome: &Outcome) -> Result<(), String> {
    let error_at = |error: &dyn std::fmt::Display| format!("{}: {error}", folder.display());
    std::fs::create_dir_all(folder).map_err(|e| error_at(&e))?;
    let mut lines = String::new();
    for entry in &outcome.timeline {
        let text = serde_json::to_string(entry).map_err(|e| error_at(&e))?;
        // Writing to a string cannot fail.
        let _ = writeln!(lines, "{text}");
    }
    let plan = toml::to_string(plan).map_err(|e| error_at(&e))?;
    let figures = serde_json::to_string_pretty(outcome).map_err(|e| error_at(&e))?;
    for (file, text) in [(PLAN_FILE, plan), (TIMELINE_FILE, lines), (OUTCOME_FILE, figures)] {
        std::fs::write(folder.join(file), text).map_err(|e| error_at(&e))?;
    }
    Ok(())
}

/// Reads the plan and the outcome from the files of a run.
pub fn read_run(folder: &Path) -> Result<(Plan, Outcome), String> {
    let plan = Plan::read(&folder.join(PLAN_FILE))?;
    let file = folder.join(OUTCOME_FILE);
    let error_at = |error: &dyn std::fmt::Display| format!("{}: {error}", file.display());
    let text = std::fs::read(&file).map_err(|e| error_at(&e))?;
    Ok((plan, serde_json::from_slice(&text).map_err(|e| error_at(&e))?))
}

/// Totals of a run, to compare two runs of a plan.
pub fn totals(outcome: &Outcome) -> [(&'static str, usize); 8] {
    let total = |part: fn(&SecondCounts) -> usize| outcome.seconds.iter().map(part).sum();
    [
        ("accesses", total(|second| second.requests)),
        ("honoured", total(|second| second.served)),
        ("turned back", total(|second| second.refused)),
        ("broken off", total(|second| second.failed)),
        ("unanswered", total(|second| second.unanswered)),
        ("hand-offs", total(|second| second.attempts)),
        ("fetches", total(|second| second.fetches)),
        ("refused", total(|second| second.origin_refused)),
    ]
}
