//! Decodes an instance's settings, for the module and for the hosts round it; what is not read is skipped.

pub mod node_list;

use flintwell_core::interface::{Class, DedupScope, Idempotency, Micros, Settings, WeightMode};
use serde_json::Value;

const LONGEST: Micros = 3_000_000; // us; where no class gives a deadline

pub fn seconds_to_micros(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

fn number(value: &Value, path: &str) -> Option<f64> {
    value.pointer(path).and_then(Value::as_f64)
}

fn text<'a>(value: &'a Value, path: &str) -> Option<&'a str> {
    value.pointer(path).and_then(Value::as_str)
}

fn flag(value: &Value, path: &str) -> bool {
    value.pointer(path).and_then(Value::as_bool).unwrap_or(false)
}

fn list<'a>(value: &'a Value, path: &str) -> &'a [Value] {
    value.pointer(path).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Places in a list of names, told by place or by name; none where nothing is told.
fn places(value: &Value, path: &str, names: &[Value]) -> Result<Option<Vec<u32>>, String> {
    let Some(told) = value.pointer(path).filter(|told| !told.is_null()) else { return Ok(None) };
    let place = |one: &Value| {
        let named = names.iter().position(|name| name == one);
        named.or(one.as_u64().and_then(|n| usize::try_from(n).ok()).filter(|&n| n < names.len()))
    };
    let wrong = || format!("settings: use_cases.{} is {told}; a list of known places is needed", &path[1..]);
    let all = told.as_array().ok_or_else(wrong)?.iter().map(|one| place(one).map(|n| n as u32));
    all.collect::<Option<_>>().map(Some).ok_or_else(wrong)
}

fn class(value: &Value, conf: &Value) -> Result<Class, String> {
    let span = |name: &str| number(value, name).map(seconds_to_micros);
    let need = |name: &str| span(name).ok_or_else(|| format!("settings: use_cases needs {}", &name[1..]));
    Ok(Class {
        // An effect or a group that is not known is taken for the strictest.
        idempotency: match text(value, "/effect") {
            Some("safe") => Idempotency::Safe,
            Some("keyed") => Idempotency::Keyed,
            _ => Idempotency::Unsafe,
        },
        dedup_scope: match text(value, "/group") {
            Some("all") => DedupScope::All,
            Some("zone") => DedupScope::Zone,
            _ => DedupScope::Cell,
        },
        dedup_window: span("/key_ttl").unwrap_or(0),
        latency_target: need("/goal_time")?,
        target_work_factor: number(value, "/aim_stretch").unwrap_or(0.0),
        late_worth: number(value, "/overdue_earnings").unwrap_or(0.0),
        kinds: places(value, BOUND[0].0, list(conf, BOUND[0].1))?,
        zones: places(value, BOUND[1].0, list(conf, BOUND[1].1))?,
    })
}

/// What a setting has to be, where it is given.
#[derive(Clone, Copy)]
enum Needed {
    /// A number within these, both included.
    Number(f64, f64),
    /// Seconds: none, or from what the clock can hold to a day.
    Span,
    Flag,
    /// One of these words.
    Word(&'static [&'static str]),
    List,
}

const SPAN: Needed = Needed::Span;
const SPAN_LEAST: f64 = 1e-6; // seconds; the clock's microsecond: less would count as none
const SPAN_MOST: f64 = 86_400.0; // seconds; a day
const COUNT: Needed = Needed::Number(0.0, 1e6); // far above any fleet, and any price in points

const ASK_LEAST: f64 = 0.5; // seconds; no call for the list is surely answered in less

/// Every setting that is read, beside names and what classes and tenants hold.
const CHECKED: [(&str, Needed); 24] = [
    ("/index", COUNT),
    ("/locality", COUNT),
    ("/fleet_size", Needed::Number(1.0, 1e6)),
    ("/zones", Needed::List),
    ("/flavors", Needed::List),
    ("/realms", Needed::List),
    ("/use_cases", Needed::List),
    ("/discovery", Needed::Word(&["pushed", "on_request"])),
    ("/weights", Needed::Word(&["off", "nominal", "rough", "live"])),
    ("/specifics/mode", Needed::Word(&["aside", "through"])),
    ("/specifics/origin_kind", Needed::Number(-1.0, 1e6)),
    ("/limits/max_hand_offs", Needed::Number(1.0, 1e4)),
    ("/limits/retry_after", Needed::Flag),
    ("/limits/max_retry_after", SPAN),
    ("/guarantees/ask_within", Needed::Number(ASK_LEAST, 86_400.0)),
    ("/guarantees/start_capacity", Needed::Number(0.0, 1.0)),
    ("/guarantees/tip_multiple", Needed::Number(0.0, 1e6)),
    ("/guarantees/ramp_time", SPAN),
    ("/guarantees/fall", SPAN),
    ("/guarantees/start_drift", SPAN),
    ("/guarantees/stop_sending_within", SPAN),
    ("/penalties/connection", COUNT),
    ("/penalties/handshake", COUNT),
    ("/penalties/cross_zone", COUNT),
];
const CHECKED_CASE: [(&str, Needed); 5] = [
    ("/goal_time", SPAN),
    ("/outer_limit", SPAN),
    ("/key_ttl", SPAN),
    ("/aim_stretch", COUNT),
    ("/overdue_earnings", Needed::Number(0.0, 1.0)),
];
/// What a class is bound to, and where its names stand.
const BOUND: [(&str, &str); 2] = [("/bound_to", "/flavors"), ("/zones_allowed", "/zones")];
const CHECKED_TENANT: (&str, Needed) = ("/quota_rps", Needed::Number(0.0, 1e9)); // requests a second

fn check_one(conf: &Value, place: &str, (path, needed): (&str, Needed)) -> Result<(), String> {
    let Some(value) = conf.pointer(path).filter(|value| !value.is_null()) else { return Ok(()) };
    let (well, words) = match needed {
        Needed::Number(least, most) => {
            let within = value.as_f64().is_some_and(|number| (least..=most).contains(&number));
            (within, format!("a number from {least} to {most}"))
        }
        Needed::Span => {
            let held = |span: f64| span == 0.0 || (SPAN_LEAST..=SPAN_MOST).contains(&span);
            (value.as_f64().is_some_and(held), format!("0, or seconds from {SPAN_LEAST} to {SPAN_MOST}"))
        }
        Needed::Flag => (value.is_boolean(), "true or false".into()),
        Needed::Word(words) => {
            (value.as_str().is_some_and(|word| words.contains(&word)), format!("one of {}", words.join(", ")))
        }
        Needed::List => (value.is_array(), "a list".into()),
    };
    let key = format!("{place}{}", path[1..].replace('/', "."));
    if well { Ok(()) } else { Err(format!("settings: {key} is {value}; {words} is needed")) }
}

/// Danger: a value of the wrong type was taken for a missing one, and the proxy ran with another in its place.
/// Says of the first that is wrong, or that contradicts another, which and why; what is not read is skipped.
pub fn check(conf: &Value) -> Result<(), String> {
    CHECKED.into_iter().try_for_each(|one| check_one(conf, "", one))?;
    for (number, case) in list(conf, "/use_cases").iter().enumerate() {
        let place = format!("use_cases.{number}.");
        CHECKED_CASE.into_iter().try_for_each(|one| check_one(case, &place, one))?;
        for (bound, names) in BOUND {
            places(case, bound, list(conf, names))?;
        }
    }
    for (number, tenant) in list(conf, "/realms").iter().enumerate() {
        check_one(tenant, &format!("realms.{number}."), CHECKED_TENANT)?;
    }
    for (path, names) in [("/locality", "/zones"), ("/specifics/origin_kind", "/flavors")] {
        let (place, count) = (number(conf, path).unwrap_or(0.0), list(conf, names).len());
        if count > 0 && place >= count as f64 {
            let key = path[1..].replace('/', ".");
            return Err(format!("settings: {key} is {place}, but {} has {count} entries", &names[1..]));
        }
    }
    Ok(())
}

/// What the parts of a running proxy are built on; a change of it needs a restart.
const FIXED: [&str; 4] = ["/discovery", "/specifics", "/limits/dial_timeout", "/limits/keepalive"];
/// Lists whose entries are known by their place, and where the name of one stands.
const NAMED: [(&str, &str); 4] =
    [("/use_cases", "/name"), ("/realms", "/name"), ("/zones", ""), ("/flavors", "")];

/// Whether a proxy that runs on these settings can go on with others, and if not, why.
pub fn check_change(old: &Value, new: &Value) -> Result<(), String> {
    check(new)?;
    decode(new)?;
    decode_network(new)?;
    let told = |path: &str| path[1..].replace('/', ".");
    if let Some(path) = FIXED.into_iter().find(|path| old.pointer(path) != new.pointer(path)) {
        return Err(format!("settings: {} can't change without a restart", told(path)));
    }
    for (path, name) in NAMED {
        // Danger: a request is decoded under the old names and decided on under the new ones.
        let kept = |(old, new): (&Value, &Value)| old.pointer(name) == new.pointer(name);
        let (old, new) = (list(old, path), list(new, path));
        if new.len() < old.len() || !old.iter().zip(new).all(kept) {
            return Err(format!("settings: {} may grow at its end only without a restart", told(path)));
        }
    }
    Ok(())
}

/// The settings with what `over` holds laid over them, objects key by key.
pub fn merge_settings(settings: Value, over: Value) -> Value {
    match (settings, over) {
        (Value::Object(mut settings), Value::Object(over)) => {
            for (key, value) in over {
                let under = settings.remove(&key).unwrap_or(Value::Null);
                settings.insert(key, merge_settings(under, value));
            }
            Value::Object(settings)
        }
        (_, over) => over,
    }
}

pub fn decode(conf: &Value) -> Result<Settings, String> {
    let span = |path: &str| number(conf, path).map_or(0, seconds_to_micros);
    Ok(Settings {
        classes: list(conf, "/use_cases").iter().map(|case| class(case, conf)).collect::<Result<_, _>>()?,
        quotas: list(conf, "/realms").iter().map(|r| number(r, "/quota_rps").unwrap_or(f64::MAX)).collect(),
        cache_aside: text(conf, "/specifics/mode") == Some("aside"),
        origin_kind: number(conf, "/specifics/origin_kind").filter(|&k| k >= 0.0).map(|k| k as u32),
        proxy_index: number(conf, "/index").unwrap_or(0.0) as u32,
        zone: number(conf, "/locality").unwrap_or(0.0) as u32,
        zone_count: list(conf, "/zones").len() as u32,
        cross_zone_cost: number(conf, "/penalties/cross_zone").unwrap_or(0.0),
        fleet_size: number(conf, "/fleet_size").unwrap_or(1.0) as u32,
        max_attempts: number(conf, "/limits/max_hand_offs").unwrap_or(1.0) as usize,
        max_retry_after: if flag(conf, "/limits/retry_after") { span("/limits/max_retry_after") } else { 0 },
        list_on_request: text(conf, "/discovery") == Some("on_request"),
        max_list_refresh_interval: number(conf, "/guarantees/ask_within")
            .map_or(10_000_000, seconds_to_micros),
        weight_mode: match text(conf, "/weights") {
            Some("nominal" | "rough") => WeightMode::Declared,
            Some("live") => WeightMode::Live,
            _ => WeightMode::None,
        },
        start_capacity: number(conf, "/guarantees/start_capacity").unwrap_or(1.0),
        ramp_time: span("/guarantees/ramp_time"),
        max_start_time_error: span("/guarantees/start_drift"),
        connection_cost: match number(conf, "/penalties/connection").unwrap_or(0.0) {
            // Priced by the hundred.
            open if open > 0.0 => {
                open / 100.0 / number(conf, "/penalties/handshake").unwrap_or(0.0).max(open / 1e3)
            }
            _ => 0.0,
        },
        cold_overload_window: span("/guarantees/fall"),
        dial_timeout: span("/limits/dial_timeout"),
    })
}

/// What a proxy on sockets needs beside the module: names as they stand in headers and lists, and the
/// figures of connections.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// A connection that is not up by then counts as failed.
    pub dial_timeout: Micros,
    /// A cache node closes a connection that has been idle for this long.
    pub idle_timeout: Micros,
    /// From when a drain counts as told until nothing new may go there.
    pub drain_grace: Micros,
    /// The longest time in which a client waits for one answer.
    pub max_deadline: Micros,
}

pub fn decode_network(conf: &Value) -> Result<NetworkSettings, String> {
    let names = |path: &str, name: &str| -> Vec<String> {
        list(conf, path).iter().map(|entry| text(entry, name).unwrap_or_default().to_owned()).collect()
    };
    let need = |path: &str| {
        let span = number(conf, path).filter(|&span| span > 0.0).map(seconds_to_micros);
        span.ok_or_else(|| format!("settings: {} is missing or not above 0", &path[1..].replace('/', ".")))
    };
    let classes = names("/use_cases", "/name");
    if classes.is_empty() || classes.iter().any(String::is_empty) {
        return Err("settings: use_cases is empty, or one has no name".into());
    }
    Ok(NetworkSettings {
        classes,
        tenants: names("/realms", "/name"),
        zones: names("/zones", ""),
        kinds: names("/flavors", ""),
        dial_timeout: need("/limits/dial_timeout")?,
        idle_timeout: need("/limits/keepalive")?,
        drain_grace: number(conf, "/guarantees/stop_sending_within").map_or(0, seconds_to_micros),
        max_deadline: list(conf, "/use_cases")
            .iter()
            .filter_map(|case| number(case, "/outer_limit"))
            .map(seconds_to_micros)
            .max()
            .unwrap_or(LONGEST),
    })
}

#[cfg(test)]
mod tests;
