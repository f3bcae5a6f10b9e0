//! Validates and decodes the settings of a proxy, for the policy and for its hosts. Unknown settings are ignored.

pub mod node_list;

use flintwell_core::interface::{Class, DedupScope, Idempotency, Micros, Settings, WeightMode};
use serde_json::Value;

/// Used if no class sets a deadline.
const DEFAULT_MAX_DEADLINE_US: Micros = 3_000_000;

/// Converts seconds to microseconds, rounded to the nearest.
pub fn seconds_to_micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

fn number(value: &Value, path: &str) -> Option<f64> {
    value.pointer(path).and_then(Value::as_f64)
}

fn string<'a>(value: &'a Value, path: &str) -> Option<&'a str> {
    value.pointer(path).and_then(Value::as_str)
}

fn flag(value: &Value, path: &str) -> bool {
    value.pointer(path).and_then(Value::as_bool).unwrap_or(false)
}

fn list<'a>(value: &'a Value, path: &str) -> &'a [Value] {
    value.pointer(path).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Indices into a list of names, given as indices or as names; `None` if the setting is absent.
fn indices(value: &Value, path: &str, names: &[Value]) -> Result<Option<Vec<u32>>, String> {
    let Some(given) = value.pointer(path).filter(|given| !given.is_null()) else { return Ok(None) };
    let index = |entry: &Value| {
        let by_name = names.iter().position(|name| name == entry);
        by_name.or(entry.as_u64().and_then(|n| usize::try_from(n).ok()).filter(|&n| n < names.len()))
    };
    let invalid = || {
        format!("settings: use_cases.{} is {given}; expected a list of known names or indices", &path[1..])
    };
    let all = given.as_array().ok_or_else(invalid)?.iter().map(|entry| index(entry).map(|n| n as u32));
    all.collect::<Option<_>>().map(Some).ok_or_else(invalid)
}

/// How requests of a class may be repeated. Unknown values count as the strictest one.
fn idempotency(class: &Value) -> Idempotency {
    match string(class, "/effect") {
        Some("safe") => Idempotency::Safe,
        Some("keyed") => Idempotency::Keyed,
        _ => Idempotency::Unsafe,
    }
}

fn class(value: &Value, conf: &Value) -> Result<Class, String> {
    let duration = |path: &str| number(value, path).map(seconds_to_micros);
    let required = |path: &str| {
        duration(path).ok_or_else(|| format!("settings: use_cases has an entry without {}", &path[1..]))
    };
    Ok(Class {
        idempotency: idempotency(value),
        dedup_scope: match string(value, "/group") {
            Some("all") => DedupScope::All,
            Some("zone") => DedupScope::Zone,
            _ => DedupScope::Cell,
        },
        dedup_window: duration("/key_ttl").unwrap_or(0),
        latency_target: required("/goal_time")?,
        target_work_factor: number(value, "/aim_stretch").unwrap_or(0.0),
        late_worth: number(value, "/overdue_earnings").unwrap_or(0.0),
        kinds: indices(value, INDEX_LISTS[0].0, list(conf, INDEX_LISTS[0].1))?,
        zones: indices(value, INDEX_LISTS[1].0, list(conf, INDEX_LISTS[1].1))?,
    })
}

/// Constraint on the value of a setting, if the setting is present.
#[derive(Clone, Copy)]
enum Constraint {
    /// A number in this range, both bounds included.
    Range(f64, f64),
    /// Seconds: 0, or from one microsecond to one day.
    Duration,
    Bool,
    /// One of these strings.
    OneOf(&'static [&'static str]),
    List,
}

const DURATION: Constraint = Constraint::Duration;
/// Resolution of the clock; shorter durations would be rounded to 0.
const MIN_DURATION_S: f64 = 1e-6;
const MAX_DURATION_S: f64 = 86_400.0;
/// The limit is far above any size of a fleet and any penalty.
const NON_NEGATIVE: Constraint = Constraint::Range(0.0, 1e6);

/// Discovery may take this long to answer a call for the list.
const MIN_LIST_REFRESH_INTERVAL_S: f64 = 0.5;

/// Constraints on all settings in use, except names and the entries of classes and tenants.
const CONSTRAINTS: [(&str, Constraint); 24] = [
    ("/index", NON_NEGATIVE),
    ("/locality", NON_NEGATIVE),
    ("/fleet_size", Constraint::Range(1.0, 1e6)),
    ("/zones", Constraint::List),
    ("/flavors", Constraint::List),
    ("/realms", Constraint::List),
    ("/use_cases", Constraint::List),
    ("/discovery", Constraint::OneOf(&["pushed", "on_request"])),
    ("/weights", Constraint::OneOf(&["off", "nominal", "rough", "live"])),
    ("/specifics/mode", Constraint::OneOf(&["aside", "through"])),
    ("/specifics/origin_kind", Constraint::Range(-1.0, 1e6)),
    ("/limits/max_hand_offs", Constraint::Range(1.0, 1e4)),
    ("/limits/retry_after", Constraint::Bool),
    ("/limits/max_retry_after", DURATION),
    ("/guarantees/ask_within", Constraint::Range(MIN_LIST_REFRESH_INTERVAL_S, 86_400.0)),
    ("/guarantees/start_capacity", Constraint::Range(0.0, 1.0)),
    ("/guarantees/tip_multiple", Constraint::Range(0.0, 1e6)),
    ("/guarantees/ramp_time", DURATION),
    ("/guarantees/fall", DURATION),
    ("/guarantees/start_drift", DURATION),
    ("/guarantees/stop_sending_within", DURATION),
    ("/penalties/connection", NON_NEGATIVE),
    ("/penalties/handshake", NON_NEGATIVE),
    ("/penalties/cross_zone", NON_NEGATIVE),
];
/// Constraints on the settings of a class.
const CLASS_CONSTRAINTS: [(&str, Constraint); 5] = [
    ("/goal_time", DURATION),
    ("/outer_limit", DURATION),
    ("/key_ttl", DURATION),
    ("/aim_stretch", NON_NEGATIVE),
    ("/overdue_earnings", Constraint::Range(0.0, 1.0)),
];
/// Settings of a class that refer to entries of a list, with the path of that list.
const INDEX_LISTS: [(&str, &str); 2] = [("/bound_to", "/flavors"), ("/zones_allowed", "/zones")];
/// Constraint on the settings of a tenant; in requests per second.
const TENANT_CONSTRAINT: (&str, Constraint) = ("/quota_rps", Constraint::Range(0.0, 1e9));

fn check_setting(conf: &Value, prefix: &str, (path, constraint): (&str, Constraint)) -> Result<(), String> {
    let Some(value) = conf.pointer(path).filter(|value| !value.is_null()) else { return Ok(()) };
    let (is_valid, expected) = match constraint {
        Constraint::Range(min, max) => {
            let in_range = value.as_f64().is_some_and(|number| (min..=max).contains(&number));
            (in_range, format!("a number from {min} to {max}"))
        }
        Constraint::Duration => {
            let in_range =
                |seconds: f64| seconds == 0.0 || (MIN_DURATION_S..=MAX_DURATION_S).contains(&seconds);
            let expected = format!("0, or seconds from {MIN_DURATION_S} to {MAX_DURATION_S}");
            (value.as_f64().is_some_and(in_range), expected)
        }
        Constraint::Bool => (value.is_boolean(), "true or false".into()),
        Constraint::OneOf(allowed) => (
            value.as_str().is_some_and(|word| allowed.contains(&word)),
            format!("one of {}", allowed.join(", ")),
        ),
        Constraint::List => (value.is_array(), "a list".into()),
    };
    let key = format!("{prefix}{}", path[1..].replace('/', "."));
    if is_valid { Ok(()) } else { Err(format!("settings: {key} is {value}; expected {expected}")) }
}

/// Validates settings; the error names the first setting that is invalid or contradicts another. Unknown settings are
/// ignored. Danger: without the check, a value of the wrong type would count as missing and the proxy would run with
/// the default in its place.
pub fn check(conf: &Value) -> Result<(), String> {
    CONSTRAINTS.into_iter().try_for_each(|constraint| check_setting(conf, "", constraint))?;
    for (number, class) in list(conf, "/use_cases").iter().enumerate() {
        let prefix = format!("use_cases.{number}.");
        CLASS_CONSTRAINTS.into_iter().try_for_each(|constraint| check_setting(class, &prefix, constraint))?;
        for (path, names) in INDEX_LISTS {
            indices(class, path, list(conf, names))?;
        }
    }
    for (number, tenant) in list(conf, "/realms").iter().enumerate() {
        check_setting(tenant, &format!("realms.{number}."), TENANT_CONSTRAINT)?;
    }
    for (path, names) in [("/locality", "/zones"), ("/specifics/origin_kind", "/flavors")] {
        let (index, count) = (number(conf, path).unwrap_or(0.0), list(conf, names).len());
        if count > 0 && index >= count as f64 {
            let key = path[1..].replace('/', ".");
            return Err(format!("settings: {key} is {index}, but {} has {count} entries", &names[1..]));
        }
    }
    Ok(())
}

/// Settings that are read only at the start of a proxy, so that a change needs a restart.
const STARTUP_ONLY: [&str; 4] = ["/discovery", "/specifics", "/limits/dial_timeout", "/limits/keepalive"];
/// Lists whose entries are referred to by index, with the path of the name within an entry.
const INDEXED_LISTS: [(&str, &str); 4] =
    [("/use_cases", "/name"), ("/realms", "/name"), ("/zones", ""), ("/flavors", "")];

/// Validates a change of a running proxy's settings; fails if the change is invalid or needs a restart.
pub fn check_change(old: &Value, new: &Value) -> Result<(), String> {
    check(new)?;
    decode(new)?;
    decode_network(new)?;
    let key = |path: &str| path[1..].replace('/', ".");
    if let Some(path) = STARTUP_ONLY.into_iter().find(|path| old.pointer(path) != new.pointer(path)) {
        return Err(format!("settings: {} can't change without a restart", key(path)));
    }
    for (path, name) in INDEXED_LISTS {
        // Danger: if an index changed its meaning, a request decoded under the old names would be handled as of
        // another class, tenant, zone or kind under the new ones.
        let same_name = |(old, new): (&Value, &Value)| old.pointer(name) == new.pointer(name);
        let (old, new) = (list(old, path), list(new, path));
        if new.len() < old.len() || !old.iter().zip(new).all(same_name) {
            return Err(format!("settings: {} may only grow at its end without a restart", key(path)));
        }
    }
    Ok(())
}

/// Merges `changes` into settings: objects key by key, other values replaced.
pub fn merge_settings(settings: Value, changes: Value) -> Value {
    match (settings, changes) {
        (Value::Object(mut settings), Value::Object(changes)) => {
            for (key, value) in changes {
                let old = settings.remove(&key).unwrap_or(Value::Null);
                settings.insert(key, merge_settings(old, value));
            }
            Value::Object(settings)
        }
        (_, changes) => changes,
    }
}

/// Decodes the settings of the policy.
pub fn decode(conf: &Value) -> Result<Settings, String> {
    let duration = |path: &str| number(conf, path).map_or(0, seconds_to_micros);
    Ok(Settings {
        classes: list(conf, "/use_cases").iter().map(|entry| class(entry, conf)).collect::<Result<_, _>>()?,
        tenant_quotas_rps: list(conf, "/realms")
            .iter()
            .map(|tenant| number(tenant, "/quota_rps").unwrap_or(f64::MAX))
            .collect(),
        cache_aside: string(conf, "/specifics/mode") == Some("aside"),
        origin_kind: number(conf, "/specifics/origin_kind").filter(|&k| k >= 0.0).map(|k| k as u32),
        proxy_index: number(conf, "/index").unwrap_or(0.0) as u32,
        zone: number(conf, "/locality").unwrap_or(0.0) as u32,
        zone_count: list(conf, "/zones").len() as u32,
        cross_zone_cost: number(conf, "/penalties/cross_zone").unwrap_or(0.0),
        fleet_size: number(conf, "/fleet_size").unwrap_or(1.0) as u32,
        max_attempts: number(conf, "/limits/max_hand_offs").unwrap_or(1.0) as usize,
        max_retry_after: if flag(conf, "/limits/retry_after") {
            duration("/limits/max_retry_after")
        } else {
            0
        },
        list_on_request: string(conf, "/discovery") == Some("on_request"),
        max_list_refresh_interval: number(conf, "/guarantees/ask_within")
            .map_or(10_000_000, seconds_to_micros),
        weight_mode: match string(conf, "/weights") {
            Some("nominal" | "rough") => WeightMode::Declared,
            Some("live") => WeightMode::Live,
            _ => WeightMode::None,
        },
        start_capacity: number(conf, "/guarantees/start_capacity").unwrap_or(1.0),
        ramp_time: duration("/guarantees/ramp_time"),
        max_start_time_error: duration("/guarantees/start_drift"),
        connection_cost: match number(conf, "/penalties/connection").unwrap_or(0.0) {
            // The setting is the price of a hundred open connections.
            open if open > 0.0 => {
                open / 100.0 / number(conf, "/penalties/handshake").unwrap_or(0.0).max(open / 1e3)
            }
            _ => 0.0,
        },
        cold_overload_window: duration("/guarantees/fall"),
        dial_timeout: duration("/limits/dial_timeout"),
    })
}

/// Settings that a proxy needs besides the policy's: names as used in headers and node lists, and time limits.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    pub classes: Vec<String>,
    /// How requests may be repeated, by class.
    pub idempotency: Vec<Idempotency>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Time limit for opening a connection.
    pub dial_timeout: Micros,
    /// Cache nodes close connections that have been idle for this long.
    pub idle_timeout: Micros,
    /// Time from the notice of a drain until no new request may be sent to the node.
    pub drain_grace: Micros,
    /// The longest deadline of any class.
    pub max_deadline: Micros,
}

/// Decodes the settings that the policy does not use.
pub fn decode_network(conf: &Value) -> Result<NetworkSettings, String> {
    let names = |path: &str, name: &str| -> Vec<String> {
        list(conf, path).iter().map(|entry| string(entry, name).unwrap_or_default().to_owned()).collect()
    };
    let required = |path: &str| {
        let duration = number(conf, path).filter(|&seconds| seconds > 0.0).map(seconds_to_micros);
        duration
            .ok_or_else(|| format!("settings: {} is missing or not positive", &path[1..].replace('/', ".")))
    };
    let classes = names("/use_cases", "/name");
    if classes.is_empty() || classes.iter().any(String::is_empty) {
        return Err("settings: use_cases is empty or has an entry without a name".into());
    }
    Ok(NetworkSettings {
        classes,
        idempotency: list(conf, "/use_cases").iter().map(idempotency).collect(),
        tenants: names("/realms", "/name"),
        zones: names("/zones", ""),
        kinds: names("/flavors", ""),
        dial_timeout: required("/limits/dial_timeout")?,
        idle_timeout: required("/limits/keepalive")?,
        drain_grace: number(conf, "/guarantees/stop_sending_within").map_or(0, seconds_to_micros),
        max_deadline: list(conf, "/use_cases")
            .iter()
            .filter_map(|class| number(class, "/outer_limit"))
            .map(seconds_to_micros)
            .max()
            .unwrap_or(DEFAULT_MAX_DEADLINE_US),
    })
}

#[cfg(test)]
mod tests;
