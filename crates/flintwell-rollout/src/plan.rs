//! Parser for the plan of a rollout, a TOML file. It reports all errors at once, each with its line.

use crate::controller::{FleetMember, RolloutConfig, interleave_zones};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

const MAX_MEMBERS: usize = 4_096; // proxies; far more than any fleet has

// Defaults of a plan. Durations are in seconds.
const DEFAULT_LOSS: f64 = 0.02; // share of requests
const DEFAULT_CHANCE: f64 = 0.01; // of stopping a harmless change, per rollout
const DEFAULT_OBSERVE_S: f64 = 5.0;
const DEFAULT_SETTLE_S: f64 = 1.0; // connections and coalesced requests of the old settings end within it
const DEFAULT_WATCH_S: f64 = 20.0;
const DEFAULT_REQUESTS: f64 = 10_000.0; // a loss of 2 % is detected within them 19 times out of 20
const DEFAULT_CONFIRM_TIMEOUT_S: f64 = 15.0; // several rounds of requests, and a restart of the controller
const DEFAULT_UNHEARD_S: f64 = 3.0;
const DEFAULT_DOUBT_S: f64 = 15.0;
const DEFAULT_BOTH_WORSE: f64 = 0.05; // share of requests
const DEFAULT_MEMORY: f64 = 1.5; // relative to the old group

/// A numeric key with its range and default.
struct NumberKey {
    key: &'static str,
    min: f64,
    max: f64,
    default: f64,
}

const fn number_key(key: &'static str, min: f64, max: f64, default: f64) -> NumberKey {
    NumberKey { key, min, max, default }
}

/// Durations, in seconds.
const TIME_KEYS: [NumberKey; 6] = [
    number_key("observe_s", 0.1, 3_600.0, DEFAULT_OBSERVE_S),
    number_key("settle_s", 0.0, 600.0, DEFAULT_SETTLE_S),
    number_key("watch_s", 0.1, 86_400.0, DEFAULT_WATCH_S),
    number_key("confirm_within_s", 1.0, 600.0, DEFAULT_CONFIRM_TIMEOUT_S),
    number_key("unheard_s", 0.2, 600.0, DEFAULT_UNHEARD_S),
    number_key("doubt_s", 0.5, 3_600.0, DEFAULT_DOUBT_S),
];
const LIMIT_KEYS: [NumberKey; 5] = [
    number_key("loss", 0.001, 0.5, DEFAULT_LOSS),
    number_key("chance", 1e-6, 0.2, DEFAULT_CHANCE),
    number_key("accesses", 500.0, 1e9, DEFAULT_REQUESTS),
    number_key("both_worse", 0.001, 1.0, DEFAULT_BOTH_WORSE),
    number_key("memory", 1.0, 100.0, DEFAULT_MEMORY),
];
const PLAN_KEYS: [&str; 8] = ["fleet", "what", "epoch", "settings", "stages", "times", "limits", "members"];
const MEMBER_KEYS: [&str; 3] = ["name", "zone", "at"];

/// A validated plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub fleet: String,
    /// Whether the plan updates the program, through supervisors; otherwise settings, through the proxies.
    pub is_program_update: bool,
    /// If not given, one above the highest epoch that any member knows.
    pub epoch: Option<u64>,
    /// JSON file merged over each member's active settings; a relative path is relative to the plan's folder.
    pub settings_file: String,
    /// Members in the order in which they change, with the addresses of their management APIs.
    pub members: Vec<(FleetMember, SocketAddr)>,
    /// The number of changed members after each stage.
    pub stages: Vec<usize>,
    pub config: RolloutConfig,
}

/// An error and its line.
struct PlanError {
    line: usize,
    message: String,
}

/// Reads values from a parsed plan and collects the errors.
struct Reader<'a> {
    text: &'a str,
    errors: Vec<PlanError>,
}

impl Reader<'_> {
    /// Records an error at a byte offset of the text.
    fn error(&mut self, at: usize, message: impl Into<String>) {
        let newlines = self.text.as_bytes()[..at.min(self.text.len())].iter().filter(|&&byte| byte == b'\n');
        self.errors.push(PlanError { line: newlines.count() + 1, message: message.into() });
    }

    /// Reports each unknown key with the most similar known one.
    fn check_keys(&mut self, table: &DeTable<'_>, known: &[&str]) {
        for key in table.keys() {
            let name: &str = key.get_ref();
            if !known.contains(&name) {
                let nearest = known.iter().min_by_key(|known| distance(known, name)).copied().unwrap_or("");
                self.error(key.span().start, format!("unknown key {name:?}; the nearest is {nearest:?}"));
            }
        }
    }

    fn string(&mut self, table: &DeTable<'_>, key: &str, at: usize) -> String {
        match table.get(key) {
            Some(value) => match value.get_ref() {
                DeValue::String(text) if !text.is_empty() => return text.to_string(),
                _ => self.error(value.span().start, format!("{key} has to be a non-empty string")),
            },
            None => self.error(at, format!("{key} is missing")),
        }
        String::new()
    }

    fn number(&mut self, value: &Spanned<DeValue<'_>>) -> Option<f64> {
        match value.get_ref() {
            DeValue::Integer(number) => {
                i64::from_str_radix(number.as_str(), number.radix()).ok().map(|number| number as f64)
            }
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => None,
        }
    }

    /// The numbers of a section in the order of `known`, with the default for each that is missing.
    fn numbers<const N: usize>(
        &mut self,
        plan: &DeTable<'_>,
        section: &str,
        known: &[NumberKey; N],
    ) -> [f64; N] {
        let mut numbers = [0.0; N];
        known.iter().zip(&mut numbers).for_each(|(known, number)| *number = known.default);
        let Some(value) = plan.get(section) else { return numbers };
        let DeValue::Table(table) = value.get_ref() else {
            self.error(value.span().start, format!("{section} has to be a table"));
            return numbers;
        };
        let names: Vec<&str> = known.iter().map(|known| known.key).collect();
        self.check_keys(table, &names);
        for (known, number) in known.iter().zip(&mut numbers) {
            let Some(value) = table.get(known.key) else { continue };
            match self.number(value).filter(|number| (known.min..=known.max).contains(number)) {
                Some(valid) => *number = valid,
                None => {
                    let message =
                        format!("{} has to be a number from {} to {}", known.key, known.min, known.max);
                    self.error(value.span().start, message);
                }
            }
        }
        numbers
    }

    fn members(&mut self, plan: &DeTable<'_>) -> Vec<(FleetMember, SocketAddr)> {
        let Some(value) = plan.get("members") else {
            self.error(0, "[[members]] is missing");
            return Vec::new();
        };
        let DeValue::Array(entries) = value.get_ref() else {
            self.error(value.span().start, "members has to be an array of tables, [[members]]");
            return Vec::new();
        };
        if entries.is_empty() || entries.len() > MAX_MEMBERS {
            self.error(
                value.span().start,
                format!("{} members; the number has to be from 1 to {MAX_MEMBERS}", entries.len()),
            );
        }
        let (mut members, mut names, mut addrs) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        for entry in entries.iter() {
            let at = entry.span().start;
            let DeValue::Table(table) = entry.get_ref() else {
                self.error(at, "a member has to be a table");
                continue;
            };
            self.check_keys(table, &MEMBER_KEYS);
            let name = self.string(table, "name", at);
            let zone =
                if table.contains_key("zone") { self.string(table, "zone", at) } else { String::new() };
            let addr = self.string(table, "at", at);
            let line = table.get("at").map_or(at, |value| value.span().start);
            let parsed = addr.parse::<SocketAddr>();
            if let (Err(error), false) = (&parsed, addr.is_empty()) {
                self.error(line, format!("at = {addr:?}: {error}"));
            }
            if !name.is_empty() && !names.insert(name.clone()) {
                self.error(at, format!("member {name:?} is there twice"));
            }
            if parsed.is_ok_and(|addr| !addrs.insert(addr)) {
                self.error(line, format!("two members have the address {addr}"));
            }
            // A member with an invalid address was reported above; it still counts for the stages.
            members.push((
                FleetMember { name, zone },
                addr.parse().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
            ));
        }
        members
    }

    /// Each stage is "canary" (one member of each zone), a share like "10%" or a number of members. Each is larger
    /// than the one before, and the last is all members.
    fn stages(&mut self, plan: &DeTable<'_>, members: usize, zones: usize) -> Vec<usize> {
        let Some(value) = plan.get("stages") else {
            let default = [zones, (members / 10).max(zones + 1), (members * 3).div_ceil(10), members];
            let mut stages: Vec<usize> = default.into_iter().map(|count| count.min(members)).collect();
            stages.sort_unstable();
            stages.dedup();
            return stages;
        };
        let DeValue::Array(entries) = value.get_ref() else {
            self.error(value.span().start, r#"stages has to be an array like ["canary", "10%", "100%"]"#);
            return Vec::new();
        };
        let (mut stages, mut last_share): (Vec<usize>, f64) = (Vec::new(), 0.0);
        for entry in entries.iter() {
            let count = match entry.get_ref() {
                DeValue::String(text) if text == "canary" => Some(zones),
                DeValue::String(text) => {
                    let share = text.strip_suffix('%').and_then(|share| share.trim().parse::<f64>().ok());
                    let share = share.filter(|share| *share > 0.0 && *share <= 100.0);
                    let is_not_larger =
                        share.is_some_and(|share| share <= std::mem::replace(&mut last_share, share));
                    if is_not_larger {
                        self.error(entry.span().start, "a stage has to be larger than the one before");
                    }
                    share.map(|share| (share / 100.0 * members as f64).ceil() as usize)
                }
                _ => self.number(entry).map(|number| number as usize),
            };
            match count.filter(|&count| count > 0 && count <= members) {
                // In a small fleet a small share may be no more members than the canaries.
                Some(count) if matches!(entry.get_ref(), DeValue::String(_)) => {
                    if stages.last().is_none_or(|&last| count > last) {
                        stages.push(count);
                    }
                }
                Some(count) if stages.last().is_none_or(|&last| count > last) => stages.push(count),
                Some(_) => self.error(entry.span().start, "a stage has to be larger than the one before"),
                None => {
                    let message =
                        format!(r#"a stage is "canary", a share like "10%", or 1 to {members} members"#);
                    self.error(entry.span().start, message);
                }
            }
        }
        if members > 0 && stages.last() != Some(&members) {
            self.error(value.span().start, "the last stage has to be all members, \"100%\"");
        }
        stages
    }
}

/// A rough count of differing letters, enough to find a misspelt key.
fn distance(one: &str, other: &str) -> usize {
    let count = |a: &str, b: &str| a.chars().filter(|c| !b.contains(*c)).count();
    count(one, other) + count(other, one) + one.len().abs_diff(other.len())
}

impl Plan {
    /// Parses and validates a plan. On failure returns all errors, each as `FILE:LINE: message`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<String>> {
        let mut reader = Reader { text, errors: Vec::new() };
        let parsed = DeTable::parse(text);
        let plan = match &parsed {
            Ok(table) => table.get_ref(),
            Err(error) => {
                reader.error(error.span().map_or(0, |span| span.start), error.message().to_owned());
                return Err(format_errors(file, reader.errors));
            }
        };
        reader.check_keys(plan, &PLAN_KEYS);
        let (fleet, settings_file) = (reader.string(plan, "fleet", 0), reader.string(plan, "settings", 0));
        let is_program_update = match plan.get("what").map(|value| (value.get_ref(), value.span().start)) {
            None => Some(false),
            Some((DeValue::String(text), _)) if text == "settings" => Some(false),
            Some((DeValue::String(text), _)) if text == "programs" => Some(true),
            Some((_, at)) => {
                reader.error(at, r#"what has to be "settings" or "programs""#);
                None
            }
        };
        let epoch = plan.get("epoch").and_then(|value| {
            let number = reader.number(value).filter(|epoch| *epoch >= 1.0 && epoch.fract() == 0.0);
            number.is_none().then(|| reader.error(value.span().start, "epoch has to be a positive integer"));
            number.map(|epoch| epoch as u64)
        });
        let members = reader.members(plan);
        let fleet_members: Vec<FleetMember> = members.iter().map(|member| member.0.clone()).collect();
        let zones: BTreeSet<&str> = fleet_members.iter().map(|member| &*member.zone).collect();
        let stages = reader.stages(plan, members.len(), zones.len());
        let [observe, settle, watch, confirm_timeout, unheard, doubt] =
            reader.numbers(plan, "times", &TIME_KEYS);
        let [loss, chance, requests, both_worse, memory] = reader.numbers(plan, "limits", &LIMIT_KEYS);
        if unheard >= confirm_timeout {
            let at = plan.get("times").map_or(0, |value| value.span().start);
            reader.error(
                at,
                "unheard_s has to be under confirm_within_s, or a member reverts before it counts as unreachable",
            );
        }
        if !reader.errors.is_empty() {
            return Err(format_errors(file, reader.errors));
        }
        let ms = |seconds: f64| (seconds * 1e3).round() as u64;
        let ordered = interleave_zones(&fleet_members);
        let addr =
            |wanted: &FleetMember| members.iter().find(|member| member.0 == *wanted).map(|member| member.1);
        Ok(Plan {
            fleet,
            is_program_update: is_program_update.unwrap_or(false),
            epoch,
            settings_file,
            members: ordered
                .into_iter()
                .filter_map(|member| Some((member.clone(), addr(&member)?)))
                .collect(),
            stages,
            config: RolloutConfig {
                observe_ms: ms(observe),
                settle_ms: ms(settle),
                watch_ms: ms(watch),
                min_requests: requests as u64,
                confirm_timeout_ms: ms(confirm_timeout),
                unreachable_after_ms: ms(unheard),
                trial_revert_after_ms: ms(doubt),
                min_detectable_loss: loss,
                max_false_stop_probability: chance,
                max_common_loss_increase: both_worse,
                max_memory_ratio: memory,
                restart_controls: is_program_update == Some(true),
            },
        })
    }
}

fn format_errors(file: &str, mut errors: Vec<PlanError>) -> Vec<String> {
    errors.sort_by_key(|error| error.line);
    errors.into_iter().map(|error| format!("{file}:{}: {}", error.line, error.message)).collect()
}

#[cfg(test)]
mod tests;
