//! The simulator's JSON protocol. Events are decoded by position, directly into policy calls, and actions are written
//! directly into the reply.

use flintwell_core::interface::{
    AttemptLimits, AttemptOutcome, AttemptStatus, Host, IncomingRequest, Key, ListUpdateKind, Micros,
    NodeEntry, NodeId, NodeState, RequestId,
};
use flintwell_core::policy::Policy;
use flintwell_settings::{decode, seconds_to_micros};
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

const WRITE_FLAG: u64 = 4; // bit of `marks`

// Known events; those that this host does not need are ignored without a warning.
const KNOWN_EVENTS: [&str; 10] = [
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

/// The host of one instance: writes the policy's actions into the shared reply.
struct SimHost {
    instance: u64,
    reply: Reply,
}

fn write_number(reply: &mut Vec<u8>, number: impl itoa::Integer) {
    reply.extend_from_slice(itoa::Buffer::new().format(number).as_bytes());
}

fn write_text(reply: &mut Vec<u8>, text: &str) {
    // Writing to a Vec cannot fail.
    let _ = serde_json::to_writer(&mut *reply, text);
}

/// Writes microseconds as seconds with six decimal places.
fn write_seconds(reply: &mut Vec<u8>, time: Micros) {
    if time < 0 {
        reply.push(b'-');
    }
    let time = time.unsigned_abs();
    write_number(reply, time / 1_000_000);
    reply.push(b'.');
    let fraction = time % 1_000_000;
    let mut digit = 100_000;
    while digit > 0 {
        reply.push(b'0' + (fraction / digit % 10) as u8);
        digit /= 10;
    }
}

impl SimHost {
    /// Writes one action: its name, the instance, and the values that `values` adds.
    fn write_action(&self, name: &str, values: impl FnOnce(&mut Vec<u8>)) {
        let mut reply = self.reply.borrow_mut();
        if reply.last() == Some(&b']') {
            reply.push(b',');
        }
        reply.extend_from_slice(b"[\"");
        reply.extend_from_slice(name.as_bytes());
        reply.extend_from_slice(b"\",");
        write_number(&mut reply, self.instance);
        values(&mut reply);
        reply.push(b']');
    }
}

impl Host for SimHost {
    fn start_attempt(&mut self, request: &RequestId, node: &NodeId, limits: AttemptLimits) {
        self.write_action("submit_to", |reply| {
            reply.push(b',');
            write_text(reply, request);
            reply.push(b',');
            write_seconds(reply, limits.timeout);
            reply.push(b',');
            write_text(reply, node);
        });
    }
    fn refuse_request(&mut self, request: &RequestId, retry_after: Micros) {
        self.write_action("shed", |reply| {
            reply.push(b',');
            write_text(reply, request);
            reply.push(b',');
            write_seconds(reply, retry_after);
        });
    }
    fn fail_request(&mut self, request: &RequestId) {
        self.write_action("fail", |reply| {
            reply.push(b',');
            write_text(reply, request);
        });
    }
    fn close_idle(&mut self, node: &NodeId) {
        self.write_action("release", |reply| {
            reply.push(b',');
            write_text(reply, node);
        });
    }
    fn set_timer(&mut self, label: u64, at: Micros) {
        self.write_action("set_timer", |reply| {
            reply.push(b',');
            write_number(reply, label);
            reply.push(b',');
            write_seconds(reply, at);
        });
    }
    fn subscribe_to_list(&mut self) {
        self.write_action("watch", |reply| reply.extend_from_slice(b",true"));
    }
}

/// Maps a status code of the protocol.
fn attempt_status(code: i64) -> AttemptStatus {
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
pub struct Instances {
    policies: HashMap<u64, Policy<SimHost>>,
    reply: Reply,
}

#[derive(Deserialize)]
struct Batch<'a> {
    clock: f64,
    #[serde(borrow)]
    events: &'a RawValue,
}

impl Instances {
    /// Processes one line of input and returns the reply.
    pub fn process_batch(&mut self, line: &[u8]) -> Result<Ref<'_, Vec<u8>>, serde_json::Error> {
        let batch: Batch = serde_json::from_slice(line)?;
        {
            let mut reply = self.reply.borrow_mut();
            reply.clear();
            reply.extend_from_slice(b"{\"actions\":[");
        }
        let mut events = serde_json::Deserializer::from_str(batch.events.get());
        EventsVisitor { instances: self, now: seconds_to_micros(batch.clock) }.deserialize(&mut events)?;
        self.reply.borrow_mut().extend_from_slice(b"]}\n");
        Ok(self.reply.borrow())
    }
}

struct EventsVisitor<'p> {
    instances: &'p mut Instances,
    now: Micros,
}

impl<'de> DeserializeSeed<'de> for EventsVisitor<'_> {
    type Value = ();
    fn deserialize<D: serde::Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EventsVisitor<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an array of events")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut events: A) -> Result<(), A::Error> {
        while events
            .next_element_seed(EventVisitor { instances: &mut *self.instances, now: self.now })?
            .is_some()
        {}
        Ok(())
    }
}

struct EventVisitor<'p> {
    instances: &'p mut Instances,
    now: Micros,
}

impl<'de> DeserializeSeed<'de> for EventVisitor<'_> {
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
    fn optional<T: Deserialize<'de>>(&mut self, field: &str) -> Result<Option<T>, A::Error> {
        let value = self.seq.next_element::<Option<T>>();
        value
            .map(Option::flatten)
            .map_err(|e| A::Error::custom(format!("event {}: {field}: {e}", self.event)))
    }
    fn required<T: Deserialize<'de>>(&mut self, field: &str) -> Result<T, A::Error> {
        let event = self.event;
        self.optional(field)?.ok_or_else(|| A::Error::custom(format!("event {event}: {field} is missing")))
    }
    fn id(&mut self, field: &str) -> Result<Arc<str>, A::Error> {
        Ok(self.required::<Text>(field)?.0.into())
    }
    fn time(&mut self, field: &str) -> Result<Micros, A::Error> {
        Ok(seconds_to_micros(self.required(field)?))
    }
}

/// Text, borrowed if it contains no escapes.
#[derive(Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

impl<'de> Visitor<'de> for EventVisitor<'_> {
    type Value = ();
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an event: an array with its name and its values")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let name = seq.next_element::<Text>()?.ok_or_else(|| A::Error::custom("event without a name"))?.0;
        if !KNOWN_EVENTS.contains(&&*name) {
            eprintln!("flintwell-simhost: unknown event '{name}' skipped");
            while seq.next_element::<IgnoredAny>()?.is_some() {}
            return Ok(());
        }
        let now = self.now;
        let mut fields = Fields { event: &name, seq };
        let instance: u64 = fields.required("i")?;
        let mut policy = self.instances.policies.get_mut(&instance);
        match &*name {
            "begin" => {
                let seed = fields.required("rng_seed")?;
                let conf: Value = fields.required("conf")?;
                let settings = decode(&conf).map_err(|e| A::Error::custom(format!("event begin: {e}")))?;
                let host = SimHost { instance, reply: self.instances.reply.clone() };
                self.instances.policies.insert(instance, Policy::new(now, settings, seed, host));
            }
            "shutdown" => {
                self.instances.policies.remove(&instance);
            }
            "incoming" => {
                let request = IncomingRequest {
                    id: fields.id("msg_id")?,
                    class: fields.required("qos")?,
                    tenant: fields.optional("org")?.unwrap_or(0),
                    key: fields.optional::<Text>("item")?.map(|t| Key::from(t.0)),
                    deadline: fields.time("deadline")?,
                    expected_work: fields.optional("cost_guess")?.map(seconds_to_micros),
                    is_write: {
                        fields.optional::<IgnoredAny>("size")?;
                        fields.optional::<u64>("marks")?.unwrap_or(0) & WRITE_FLAG != 0
                    },
                };
                if let Some(policy) = policy.as_mut() {
                    policy.on_request(now, request);
                }
            }
            "answer" => {
                let (id, attempt_index) = (fields.id("msg_id")?, fields.required("send_no")?);
                let node = fields.id("node")?;
                let outcome = AttemptOutcome {
                    attempt_index,
                    status: attempt_status(fields.required("ending")?),
                    latency: fields.time("wait_time")?,
                    request_finished: fields.required("settled")?,
                    first_on_connection: false,
                };
                if let Some(policy) = policy.as_mut() {
                    policy.on_attempt_outcome(now, &id, &node, outcome);
                }
            }
            "targets" => {
                let kind = match &*fields.required::<Text>("how")?.0 {
                    "Partial" => ListUpdateKind::Delta,
                    "Complete" => ListUpdateKind::Snapshot,
                    "Persisted" => ListUpdateKind::Restored,
                    "Error" => ListUpdateKind::Failed,
                    other => return Err(A::Error::custom(format!("event targets: how: unknown '{other}'"))),
                };
                let _version = fields.optional::<IgnoredAny>("stamp")?;
                let items = fields.optional::<Vec<ListEntry>>("items")?.unwrap_or_default();
                if let Some(policy) = policy.as_mut() {
                    policy.on_list_update(now, kind, items.into_iter().map(ListEntry::into_entry).collect());
                }
            }
            "timeout_fired" => {
                let label = fields.required("label")?;
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
struct ListEntry<'a>(
    #[serde(borrow)] Cow<'a, str>,
    #[serde(default)] Option<u32>,
    #[serde(default)] Option<u32>,
    #[serde(default)] Option<u32>,
    #[serde(default, borrow)] Option<Cow<'a, str>>,
    #[serde(default)] Option<f64>,
    #[serde(default)] Option<f64>,
);

impl ListEntry<'_> {
    fn into_entry(self) -> NodeEntry {
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
            started_at: self.6.map_or(0, seconds_to_micros),
        }
    }
}
