//! Which cache a key goes to first, under settings: asked of the decision module itself.

use flintwell_core::interface::{
    AttemptOutcome, AttemptStatus, Host, IncomingRequest, Key, ListUpdateKind, Micros, NodeId, RequestId,
    Settings,
};
use flintwell_core::policy::Policy;
use flintwell_settings::node_list::NodeList;
use flintwell_settings::{decode, decode_network};
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;

const KEYS: usize = 2_000; // sampled; a share is known to some two in a hundred
const APART: Micros = 10_000; // us between sampled requests; no cache looks busy
const LONG_AGO: Micros = 3_600_000_000; // us; past every ramp

struct First(Rc<RefCell<Option<NodeId>>>);

impl Host for First {
    fn start_attempt(&mut self, _: &RequestId, node: &NodeId, _: Micros) {
        self.0.borrow_mut().get_or_insert_with(|| node.clone());
    }
    fn refuse(&mut self, _: &RequestId, _: Micros) {}
    fn fail(&mut self, _: &RequestId) {}
    fn close_idle(&mut self, _: &NodeId) {}
    fn set_timer(&mut self, _: u64, _: Micros) {}
    fn subscribe_to_list(&mut self) {}
}

fn homes(
    settings: Settings,
    case: usize,
    listing: &NodeList,
    network: &flintwell_settings::NetworkSettings,
) -> Vec<Option<NodeId>> {
    let first = Rc::new(RefCell::new(None));
    let mut now = LONG_AGO;
    let mut policy = Policy::new(now, settings, 1, First(first.clone()));
    let entries = listing.nodes.iter().map(|line| flintwell_core::interface::NodeEntry {
        // Where keys belong, not what is cold today.
        started_at: 0,
        ..line.to_node_entry(network)
    });
    policy.on_list_update(now, ListUpdateKind::Snapshot, entries.collect());
    let home = |n: usize| {
        now += APART;
        first.replace(None);
        let id = RequestId::from(format!("a{n}"));
        let (key, deadline) = (Some(Key::from(format!("k{n}"))), now + 1_000_000);
        let arrival = IncomingRequest {
            id: id.clone(),
            class: case,
            tenant: 0,
            key,
            deadline,
            expected_work: None,
            is_write: false,
        };
        policy.on_request(now, arrival);
        let node = first.borrow().clone();
        if let Some(node) = &node {
            let outcome = AttemptOutcome {
                attempt_index: 0,
                status: AttemptStatus::Served,
                latency: 1_000,
                request_finished: true,
                first_on_connection: false,
            };
            policy.on_attempt_outcome(now + 1_000, &id, node, outcome);
        }
        node
    };
    (0..KEYS).map(home).collect()
}

/// The share of keys that go to another cache first.
pub fn moved(old: &Value, new: &Value, listing: &NodeList) -> Result<f64, String> {
    let of = |settings: &Value| -> Result<_, String> {
        let decoded = decode(settings)?;
        let case = decoded
            .classes
            .iter()
            .position(|case| case.idempotency == flintwell_core::interface::Idempotency::Safe);
        Ok(homes(decoded, case.unwrap_or(0), listing, &decode_network(settings)?))
    };
    let (old, new) = (of(old)?, of(new)?);
    let moved = old.iter().zip(&new).filter(|(old, new)| old != new).count();
    Ok(moved as f64 / KEYS as f64)
}

#[cfg(test)]
mod tests;
