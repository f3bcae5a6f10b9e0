//! The simulator's JSON protocol. Events are decoded by position, directly into module calls, and actions are written
//! directly into the reply.

use flintwell_core::interface::{
    IncomingRequest, AttemptStatus, NodeEntry, Host, Key, ListUpdateKind, Micros, NodeId, AttemptOutcome, RequestId, NodeState,
};
use flintwell_core::policy::Policy;
use flintwell_settings::{decode, micros};
use serde::Deserialize;
use serde::de::{DeserializeSeed, Error, IgnoredAny, SeqAccess, Visitor};
use serde_json::Value;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;

const WRITE_MARK: u64 = 4; // bit of `marks`
/// Names of the known events. Events of the same protocol that this host does not need are listed and ignored.
const EVENTS: [&str; 10] = [
    "begin",
    "shutdown",
    "targets",
    "incoming",
    "answer",
    "begun",
    "sampled",
    "datagram",
    "timeout_fired",
    "vanished",
];

type Reply = Rc<RefCell<Vec<u8>>>;

/// The host of one instance: writes the module's actions into the shared reply.
struct SimHost {
    instance: u64,
    reply: Reply,
}

fn push_number(reply: &mut Vec<u8>, number: impl itoa::Integer) {
    reply.extend_from_slice(itoa::Buffer::new().format(number).as_bytes());
}

fn push_text(reply: &mut Vec<u8>, text: &str) {
    // Writing to a Vec cannot fail.
    let _ = serde_json::to_writer(&mut *reply, text);
}

/// Writes microseconds as seconds with six decimal places.
fn push_seconds(reply: &mut Vec<u8>, time: Micros) {
    if time < 0 {
        reply.push(b'-');
    }
    let time = time.unsigned_abs();
    push_number(reply, time / 1_000_000);
    reply.push(b'.');
    let places = time % 1_000_000;
    let mut digit = 100_000;
    while digit > 0 {
        reply.push(b'0' + (places / digit % 10) as u8);
        digit /= 10;
    }
}

impl SimHost {
    /// Writes one action: its name, the instance, and the values that `rest` adds.
    fn act(&self, name: &str, rest: impl FnOnce(&mut Vec<u8>)) {
        let mut reply = self.reply.borrow_mut();
        if reply.last() == Some(&b']') {
            reply.push(b',');
        }
        reply.extend_from_slice(b"[\"");
        reply.extend_from_slice(name.as_bytes());
        reply.extend_from_slice(b"\",");
        push_number(&mut reply, self.instance);
        rest(&mut reply);
        reply.push(b']');
    }
}

impl Host for SimHost {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, allow_for: Micros) {
        self.act("submit_to", |r| {
            r.push(b',');
            push_text(r, request);
            r.push(b',');
            push_seconds(r, allow_for);
            r.push(b',');
            push_text(r, node);
        });
    }
    fn refuse(&mut self, request: &RequestId, stay_away: Micros) {
        self.act("shed", |r| {
            r.push(b',');
            push_text(r, request);
            r.push(b',');
            push_seconds(r, stay_away);
        });
    }
    fn fail(&mut self, request: &RequestId) {
        self.act("fail", |r| {
            r.push(b',');
            push_text(r, request);
        });
    }
    fn close_idle(&mut self, node: &NodeId) {
        self.act("release", |r| {
            r.push(b',');
            push_text(r, node);
        });
    }
    fn set_timer(&mut self, label: u64, at: Micros) {
        self.act("set_timer", |r| {
            r.push(b',');
            push_number(r, label);
            r.push(b',');
            push_seconds(r, at);
        });
    }
    fn subscribe_to_list(&mut self) {
        self.act("watch", |r| r.extend_from_slice(b",true"));
    }
}

/// The ending that a status code of the protocol stands for.
fn ending(code: i64) -> AttemptStatus {
    match code {
        200 => AttemptStatus::Served,
        502 => AttemptStatus::Error,
        429 => AttemptStatus::Full,
        408 => AttemptStatus::TimedOut,
        521 => AttemptStatus::ConnectFailed,
        520 => AttemptStatus::Reset,
        444 => AttemptStatus::Cancelled,
        409 => AttemptStatus::NotSent,
        204 => AttemptStatus::Miss,
        _ => AttemptStatus::Unknown,
    }
}

/// All instances that this process hosts; they share only the reply buffer.
#[derive(Default)]
pub struct Proxies {
    running: HashMap<u64, Policy<SimHost>>,
    reply: Reply,
}

#[derive(Deserialize)]
struct Batch<'a> {
    clock: f64,
    #[serde(borrow)]
    events: &'a RawValue,
}

impl Proxies {
    /// Processes one line of input and returns the reply.
    pub fn batch(&mut self, line: &[u8]) -> Result<Ref<'_, Vec<u8>>, serde_json::Error> {
        let batch: Batch = serde_json::from_slice(line)?;
        {
            let mut reply = self.reply.borrow_mut();
            reply.clear();
            reply.extend_from_slice(b"{\"actions\":[");
        }
        let mut events = serde_json::Deserializer::from_str(batch.events.get());
        Events { proxies: self, now: micros(batch.clock) }.deserialize(&mut events)?;
        self.reply.borrow_mut().extend_from_slice(b"]}\n");
        Ok(self.reply.borrow())
    }
}

struct Events<'p> {
    proxies: &'p mut Proxies,
    now: Micros,
}

impl<'de> DeserializeSeed<'de> for Events<'_> {
    type Value = ();
    fn deserialize<D: serde::Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Events<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an array of events")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut events: A) -> Result<(), A::Error> {
        while events.next_element_seed(Event { proxies: &mut *self.proxies, now: self.now })?.is_some() {}
        Ok(())
    }
}

struct Event<'p> {
    proxies: &'p mut Proxies,
    now: Micros,
}

impl<'de> DeserializeSeed<'de> for Event<'_> {
    type Value = ();
    fn deserialize<D: serde::Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_seq(self)
    }
}

/// Reads the values of one event by position.
struct Fields<'n, A> {
    event: &'n str,
    seq: A,
}

impl<'de, A: SeqAccess<'de>> Fields<'_, A> {
    fn maybe<T: Deserialize<'de>>(&mut self, field: &str) -> Result<Option<T>, A::Error> {
        let value = self.seq.next_element::<Option<T>>();
        value
            .map(Option::flatten)
            .map_err(|e| A::Error::custom(format!("event {}: {field}: {e}", self.event)))
    }
    fn need<T: Deserialize<'de>>(&mut self, field: &str) -> Result<T, A::Error> {
        let event = self.event;
        self.maybe(field)?.ok_or_else(|| A::Error::custom(format!("event {event}: {field} is missing")))
    }
    fn id(&mut self, field: &str) -> Result<Arc<str>, A::Error> {
        Ok(self.need::<Text>(field)?.0.into())
    }
    fn time(&mut self, field: &str) -> Result<Micros, A::Error> {
        Ok(micros(self.need(field)?))
    }
}

/// Text, borrowed if it contains no escapes.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

impl<'de> Visitor<'de> for Event<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an event: an array with its name and its values")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let name = seq.next_element::<Text>()?.ok_or_else(|| A::Error::custom("event without a name"))?.0;
        if !EVENTS.contains(&&*name) {
            eprintln!("flintwell-simhost: unknown event '{name}' skipped");
            while seq.next_element::<IgnoredAny>()?.is_some() {}
            return Ok(());
        }
        let now = self.now;
        let mut fields = Fields { event: &name, seq };
        let instance: u64 = fields.need("i")?;
        let mut policy = self.proxies.running.get_mut(&instance);
        match &*name {
            "begin" => {
                let seed = fields.need("rng_seed")?;
                let conf: Value = fields.need("conf")?;
                let settings = decode(&conf).map_err(|e| A::Error::custom(format!("event begin: {e}")))?;
                let host = SimHost { instance, reply: self.proxies.reply.clone() };
                self.proxies.running.insert(instance, Policy::new(now, settings, seed, host));
            }
            "shutdown" => {
                self.proxies.running.remove(&instance);
            }
            "incoming" => {
                let arrival = IncomingRequest {
                    id: fields.id("msg_id")?,
                    class: fields.need("qos")?,
                    tenant: fields.maybe("org")?.unwrap_or(0),
                    key: fields.maybe::<Text>("item")?.map(|t| Key::from(t.0)),
                    deadline: fields.time("deadline")?,
                    expected_work: fields.maybe("cost_guess")?.map(micros),
                    is_write: {
                        fields.maybe::<IgnoredAny>("size")?;
                        fields.maybe::<u64>("marks")?.unwrap_or(0) & WRITE_MARK != 0
                    },
                };
                if let Some(policy) = policy.as_mut() {
                    policy.on_request(now, arrival);
                }
            }
            "answer" => {
                let (id, number) = (fields.id("msg_id")?, fields.need("send_no")?);
                let node = fields.id("node")?;
                let outcome = AttemptOutcome {
                    attempt_index: number,
                    status: ending(fields.need("ending")?),
                    latency: fields.time("wait_time")?,
                    request_finished: fields.need("settled")?,
                    first_on_connection: false,
                };
                if let Some(policy) = policy.as_mut() {
                    policy.on_attempt_outcome(now, &id, &node, outcome);
                }
            }
            "targets" => {
                let kind = match &*fields.need::<Text>("how")?.0 {
                    "Partial" => ListUpdateKind::Delta,
                    "Complete" => ListUpdateKind::Snapshot,
                    "Persisted" => ListUpdateKind::Restored,
                    "Error" => ListUpdateKind::Failed,
                    other => return Err(A::Error::custom(format!("event targets: how: unknown '{other}'"))),
                };
                let _version = fields.maybe::<IgnoredAny>("stamp")?;
                let items = fields.maybe::<Vec<Item>>("items")?.unwrap_or_default();
                if let Some(policy) = policy.as_mut() {
                    policy.on_list_update(now, kind, items.into_iter().map(Item::entry).collect());
                }
            }
            "timeout_fired" => {
                let label = fields.need("label")?;
                if let Some(policy) = policy.as_mut() {
                    policy.on_timer(now, label);
                }
            }
            // A response that has begun needs no more decisions, like a request whose client is gone.
            "vanished" | "begun" => {
                let id = fields.id("msg_id")?;
                if let Some(policy) = policy.as_mut() {
                    policy.on_request_closed(now, &id);
                }
            }
            _ => {}
        }
        while fields.seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }
}

/// One entry of a list: an array, in which all values after the id may be null or absent.
#[derive(Deserialize)]
struct Item<'a>(
    #[serde(borrow)] Cow<'a, str>,
    #[serde(default)] Option<u32>,
    #[serde(default)] Option<u32>,
    #[serde(default)] Option<u32>,
    #[serde(default, borrow)] Option<Cow<'a, str>>,
    #[serde(default)] Option<f64>,
    #[serde(default)] Option<f64>,
);

impl Item<'_> {
    fn entry(self) -> NodeEntry {
        NodeEntry {
            node: self.0.into(),
            zone: self.1.unwrap_or(0),
            kind: self.2.unwrap_or(0),
            cell: self.3.unwrap_or(0),
            // An unknown state counts as draining, so that no new requests are sent to the node.
            state: match self.4.as_deref() {
                Some("Ready") => NodeState::Ready,
                Some("Gone") => NodeState::Gone,
                _ => NodeState::Draining,
            },
            weight: self.5.unwrap_or(1.0),
            started_at: self.6.map_or(0, micros),
        }
    }
}
