//! Estimates how many keys get another home cache when settings change, by running the policy with both settings.

use flintwell_core::interface::{
    AttemptLimits, AttemptOutcome, AttemptStatus, Host, IncomingRequest, Key, ListUpdateKind, Micros, NodeId,
    RequestId, Settings,
};
use flintwell_core::policy::Policy;
use flintwell_settings::node_list::NodeList;
use flintwell_settings::{decode, decode_network};
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;

/// Gives a share to within about two percentage points.
const SAMPLED_KEYS: usize = 2_000;
/// Between sampled requests; long enough that no cache looks busy.
const REQUEST_INTERVAL_US: Micros = 10_000;
/// Start of the simulated clock, later than the end of any slow start.
const START_US: Micros = 3_600_000_000;

/// Host that records the node of a request's first attempt.
struct FirstAttempt(Rc<RefCell<Option<NodeId>>>);

impl Host for FirstAttempt {
    fn start_attempt(&mut self, _: &RequestId, node: &NodeId, _: AttemptLimits) {
        self.0.borrow_mut().get_or_insert_with(|| node.clone());
    }
    fn refuse_request(&mut self, _: &RequestId, _: Micros) {}
    fn fail_request(&mut self, _: &RequestId) {}
    fn close_idle(&mut self, _: &NodeId) {}
    fn set_timer(&mut self, _: u64, _: Micros) {}
    fn subscribe_to_list(&mut self) {}
}

fn home_nodes(
    settings: Settings,
    class: usize,
    list: &NodeList,
    network: &flintwell_settings::NetworkSettings,
) -> Vec<Option<NodeId>> {
    let first = Rc::new(RefCell::new(None));
    let mut now = START_US;
    let mut policy = Policy::new(now, settings, 1, FirstAttempt(first.clone()));
    let entries = list.nodes.iter().map(|node| flintwell_core::interface::NodeEntry {
        // Ignores slow start, which diverts keys only for a while.
        started_at: 0,
        ..node.to_node_entry(network)
    });
    policy.on_list_update(now, ListUpdateKind::Snapshot, entries.collect());
    let home = |n: usize| {
        now += REQUEST_INTERVAL_US;
        first.replace(None);
        let id = RequestId::from(format!("a{n}"));
        let (key, deadline) = (Some(Key::from(format!("k{n}"))), now + 1_000_000);
        let request = IncomingRequest {
            id: id.clone(),
            class,
            tenant: 0,
            key,
            deadline,
            expected_work: None,
            is_write: false,
        };
        policy.on_request(now, request);
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
    (0..SAMPLED_KEYS).map(home).collect()
}

/// The share of keys, 0 to 1, that get another home cache under the new settings.
pub fn moved_key_share(old: &Value, new: &Value, list: &NodeList) -> Result<f64, String> {
    let homes = |settings: &Value| -> Result<_, String> {
        let decoded = decode(settings)?;
        let class = decoded
            .classes
            .iter()
            .position(|class| class.idempotency == flintwell_core::interface::Idempotency::Safe);
        Ok(home_nodes(decoded, class.unwrap_or(0), list, &decode_network(settings)?))
    };
    let (old, new) = (homes(old)?, homes(new)?);
    let moved = old.iter().zip(&new).filter(|(old, new)| old != new).count();
    Ok(moved as f64 / SAMPLED_KEYS as f64)
}

#[cfg(test)]
mod tests;
