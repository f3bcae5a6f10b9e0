//! The plan of a rollout, a TOML file. All that is wrong with it is told at once, each with its line.

use crate::controller::{FleetMember, RolloutConfig, interleave_zones};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

const MEMBERS_MOST: usize = 4_096; // proxies; far above any fleet
const LOSS: f64 = 0.02; // of requests; what has to be found where the plan says nothing
const CHANCE: f64 = 0.01; // of stopping a good change, a rollout
const OBSERVE: f64 = 5.0; // s
const SETTLE: f64 = 1.0; // s; connections and joins of the old settings end within it
const WATCH: f64 = 20.0; // s
const ACCESSES: f64 = 10_000.0; // requests; within them two in a hundred lost are found 19 times of 20
const WITHIN: f64 = 15.0; // s; several rounds of words, and a restart of the one who rolls out
const UNHEARD: f64 = 3.0; // s
const DOUBT: f64 = 15.0; // s
const BOTH: f64 = 0.05; // of requests
const MEMORY: f64 = 1.5; // times

/// A key with its least and most, and what holds where it is not given.
struct Number {
    key: &'static str,
    least: f64,
    most: f64,
    given: f64,
}

const fn number(key: &'static str, least: f64, most: f64, given: f64) -> Number {
    Number { key, least, most, given }
}

/// Times in seconds, as people write them.
const TIMES: [Number; 6] = [
    number("observe_s", 0.1, 3_600.0, OBSERVE),
    number("settle_s", 0.0, 600.0, SETTLE),
    number("watch_s", 0.1, 86_400.0, WATCH),
    number("confirm_within_s", 1.0, 600.0, WITHIN),
    number("unheard_s", 0.2, 600.0, UNHEARD),
    number("doubt_s", 0.5, 3_600.0, DOUBT),
];
const LIMITS: [Number; 5] = [
    number("loss", 0.001, 0.5, LOSS),
    number("chance", 1e-6, 0.2, CHANCE),
    number("accesses", 500.0, 1e9, ACCESSES),
    number("both_worse", 0.001, 1.0, BOTH),
    number("memory", 1.0, 100.0, MEMORY),
];
const KEYS: [&str; 8] = ["fleet", "what", "epoch", "settings", "stages", "times", "limits", "members"];
const MEMBER_KEYS: [&str; 3] = ["name", "zone", "at"];

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub fleet: String,
    /// Versions of the program, at supervisors; else settings, at proxies.
    pub is_program_update: bool,
    /// One above the highest that any member knows, where it is not given.
    pub epoch: Option<u64>,
    /// A JSON file, laid over each member's settings in force; beside the plan if it is not absolute.
    pub settings_file: String,
    /// Members in their turns, with their second addresses.
    pub members: Vec<(FleetMember, SocketAddr)>,
    /// How many have it after each stage.
    pub stages: Vec<usize>,
    pub config: RolloutConfig,
}

/// A problem and where it stands.
struct Found {
    line: usize,
    what: String,
}

struct Reader<'a> {
    text: &'a str,
    found: Vec<Found>,
}

impl Reader<'_> {
    fn says(&mut self, at: usize, what: impl Into<String>) {
        let line = self.text.as_bytes()[..at.min(self.text.len())].iter().filter(|&&byte| byte == b'\n');
        self.found.push(Found { line: line.count() + 1, what: what.into() });
    }

    /// Every key that is not known, with the nearest that is.
    fn keys(&mut self, table: &DeTable<'_>, known: &[&str]) {
        for key in table.keys() {
            let name: &str = key.get_ref();
            if !known.contains(&name) {
                let nearest = known.iter().min_by_key(|one| distance(one, name)).copied().unwrap_or("");
                self.says(key.span().start, format!("unknown key {name:?}; the nearest is {nearest:?}"));
            }
        }
    }

    fn text_of(&mut self, table: &DeTable<'_>, key: &str, at: usize) -> String {
        match table.get(key) {
            Some(value) => match value.get_ref() {
                DeValue::String(text) if !text.is_empty() => return text.to_string(),
                _ => self.says(value.span().start, format!("{key} has to be a text that is not empty")),
            },
            None => self.says(at, format!("{key} is missing")),
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

    /// All numbers of a section, in the order of `known`.
    fn numbers<const N: usize>(
        &mut self,
        plan: &DeTable<'_>,
        section: &str,
        known: &[Number; N],
    ) -> [f64; N] {
        let mut numbers = [0.0; N];
        known.iter().zip(&mut numbers).for_each(|(one, number)| *number = one.given);
        let Some(value) = plan.get(section) else { return numbers };
        let DeValue::Table(table) = value.get_ref() else {
            self.says(value.span().start, format!("{section} has to be a section"));
            return numbers;
        };
        let names: Vec<&str> = known.iter().map(|one| one.key).collect();
        self.keys(table, &names);
        for (one, number) in known.iter().zip(&mut numbers) {
            let Some(value) = table.get(one.key) else { continue };
            match self.number(value).filter(|told| (one.least..=one.most).contains(told)) {
                Some(told) => *number = told,
                None => {
                    let span = format!("{} has to be a number from {} to {}", one.key, one.least, one.most);
                    self.says(value.span().start, span);
                }
            }
        }
        numbers
    }

    fn members(&mut self, plan: &DeTable<'_>) -> Vec<(FleetMember, SocketAddr)> {
        let Some(value) = plan.get("members") else {
            self.says(0, "no [[members]]");
            return Vec::new();
        };
        let DeValue::Array(entries) = value.get_ref() else {
            self.says(value.span().start, "members has to be written as [[members]]");
            return Vec::new();
        };
        if entries.is_empty() || entries.len() > MEMBERS_MOST {
            self.says(
                value.span().start,
                format!("{} members; 1 to {MEMBERS_MOST} are needed", entries.len()),
            );
        }
        let (mut members, mut names, mut places) = (Vec::new(), BTreeSet::new(), BTreeSet::new());
        for entry in entries.iter() {
            let at = entry.span().start;
            let DeValue::Table(table) = entry.get_ref() else {
                self.says(at, "a member has to be a section");
                continue;
            };
            self.keys(table, &MEMBER_KEYS);
            let name = self.text_of(table, "name", at);
            let zone =
                if table.contains_key("zone") { self.text_of(table, "zone", at) } else { String::new() };
            let addr = self.text_of(table, "at", at);
            let line = table.get("at").map_or(at, |value| value.span().start);
            let read = addr.parse::<SocketAddr>();
            if let (Err(error), false) = (&read, addr.is_empty()) {
                self.says(line, format!("at = {addr:?}: {error}"));
            }
            if !name.is_empty() && !names.insert(name.clone()) {
                self.says(at, format!("member {name:?} is there twice"));
            }
            if read.is_ok_and(|addr| !places.insert(addr)) {
                self.says(line, format!("two members at {addr}"));
            }
            // One without a known address is told of above, and counts for the stages.
            members.push((
                FleetMember { name, zone },
                addr.parse().unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
            ));
        }
        members
    }

    /// "canary" (one of each zone), "10%" or a number of members; each more than the one before, the last all.
    fn stages(&mut self, plan: &DeTable<'_>, members: usize, zones: usize) -> Vec<usize> {
        let Some(value) = plan.get("stages") else {
            let usual = [zones, (members / 10).max(zones + 1), (members * 3).div_ceil(10), members];
            let mut stages: Vec<usize> = usual.into_iter().map(|count| count.min(members)).collect();
            stages.sort_unstable();
            stages.dedup();
            return stages;
        };
        let DeValue::Array(entries) = value.get_ref() else {
            self.says(value.span().start, r#"stages has to be a list like ["canary", "10%", "100%"]"#);
            return Vec::new();
        };
        let (mut stages, mut last_share): (Vec<usize>, f64) = (Vec::new(), 0.0);
        for entry in entries.iter() {
            let count = match entry.get_ref() {
                DeValue::String(word) if word == "canary" => Some(zones),
                DeValue::String(word) => {
                    let share = word.strip_suffix('%').and_then(|share| share.trim().parse::<f64>().ok());
                    let share = share.filter(|share| *share > 0.0 && *share <= 100.0);
                    let falls = share.is_some_and(|share| share <= std::mem::replace(&mut last_share, share));
                    if falls {
                        self.says(entry.span().start, "a stage has to be larger than the one before");
                    }
                    share.map(|share| (share / 100.0 * members as f64).ceil() as usize)
                }
                _ => self.number(entry).map(|number| number as usize),
            };
            match count.filter(|&count| count > 0 && count <= members) {
                // In a small fleet a few in a hundred may be no more than one of each zone.
                Some(count) if matches!(entry.get_ref(), DeValue::String(_)) => {
                    if stages.last().is_none_or(|&last| count > last) {
                        stages.push(count);
                    }
                }
                Some(count) if stages.last().is_none_or(|&last| count > last) => stages.push(count),
                Some(_) => self.says(entry.span().start, "a stage has to be larger than the one before"),
                None => {
                    let known =
                        format!(r#"a stage is "canary", a share like "10%", or 1 to {members} members"#);
                    self.says(entry.span().start, known);
                }
            }
        }
        if members > 0 && stages.last() != Some(&members) {
            self.says(value.span().start, "the last stage has to be all members, \"100%\"");
        }
        stages
    }
}

/// How many letters differ, roughly: enough to find a slip of the pen.
fn distance(one: &str, other: &str) -> usize {
    let count = |a: &str, b: &str| a.chars().filter(|c| !b.contains(*c)).count();
    count(one, other) + count(other, one) + one.len().abs_diff(other.len())
}

impl Plan {
    /// Or all that is wrong with it, each as `FILE:LINE: what`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<String>> {
        let mut reader = Reader { text, found: Vec::new() };
        let parsed = DeTable::parse(text);
        let plan = match &parsed {
            Ok(table) => table.get_ref(),
            Err(error) => {
                reader.says(error.span().map_or(0, |span| span.start), error.message().to_owned());
                return Err(told(file, reader.found));
            }
        };
        reader.keys(plan, &KEYS);
        let (fleet, settings) = (reader.text_of(plan, "fleet", 0), reader.text_of(plan, "settings", 0));
        let what = match plan.get("what").map(|value| (value.get_ref(), value.span().start)) {
            None => Some(false),
            Some((DeValue::String(word), _)) if word == "settings" => Some(false),
            Some((DeValue::String(word), _)) if word == "programs" => Some(true),
            Some((_, at)) => {
                reader.says(at, r#"what is "settings" or "programs""#);
                None
            }
        };
        let epoch = plan.get("epoch").and_then(|value| {
            let told = reader.number(value).filter(|epoch| *epoch >= 1.0 && epoch.fract() == 0.0);
            told.is_none().then(|| reader.says(value.span().start, "epoch has to be a whole number above 0"));
            told.map(|epoch| epoch as u64)
        });
        let members = reader.members(plan);
        let places: Vec<FleetMember> = members.iter().map(|member| member.0.clone()).collect();
        let zones: BTreeSet<&str> = places.iter().map(|place| &*place.zone).collect();
        let stages = reader.stages(plan, members.len(), zones.len());
        let [observe, settle, watch, within, unheard, doubt] = reader.numbers(plan, "times", &TIMES);
        let [loss, chance, requests, both, memory] = reader.numbers(plan, "limits", &LIMITS);
        if unheard >= within {
            let at = plan.get("times").map_or(0, |value| value.span().start);
            reader.says(
                at,
                "unheard_s has to be under confirm_within_s, or a member goes back before it is missed",
            );
        }
        if !reader.found.is_empty() {
            return Err(told(file, reader.found));
        }
        let ms = |seconds: f64| (seconds * 1e3).round() as u64;
        let turns = interleave_zones(&places);
        let at =
            |place: &FleetMember| members.iter().find(|member| member.0 == *place).map(|member| member.1);
        Ok(Plan {
            fleet,
            is_program_update: what.unwrap_or(false),
            epoch,
            settings_file: settings,
            members: turns.into_iter().filter_map(|place| Some((place.clone(), at(&place)?))).collect(),
            stages,
            config: RolloutConfig {
                observe_ms: ms(observe),
                settle_ms: ms(settle),
                watch_ms: ms(watch),
                min_requests: requests as u64,
                confirm_timeout_ms: ms(within),
                unreachable_after_ms: ms(unheard),
                trial_revert_after_ms: ms(doubt),
                min_detectable_loss: loss,
                max_false_stop_probability: chance,
                max_common_loss_increase: both,
                max_memory_ratio: memory,
                restart_controls: what == Some(true),
            },
        })
    }
}

fn told(file: &str, mut found: Vec<Found>) -> Vec<String> {
    found.sort_by_key(|one| one.line);
    found.into_iter().map(|one| format!("{file}:{}: {}", one.line, one.what)).collect()
}

#[cfg(test)]
mod tests;
