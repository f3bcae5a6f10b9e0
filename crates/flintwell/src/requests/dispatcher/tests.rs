use super::*;
use crate::process::store::Store;
use crate::requests::open_ids::OpenIds;
use crate::requests::policy_host::Step;
use crate::requests::shadow::ShadowCounts;
use crate::requests::shared_ids::SharedIds;
use flintwell_core::interface::{AttemptStatus, IncomingRequest, NodeState};

fn dispatcher() -> Rc<Dispatcher> {
    dispatcher_with(None)
}

/// A dispatcher, with a shadow policy whose settings are overlaid with `other` if given.
fn dispatcher_with(other: Option<serde_json::Value>) -> Rc<Dispatcher> {
    let conf = serde_json::json!({"use_cases": [{"effect": "safe", "goal_time": 1.0}],
        "specifics": {"mode": "aside", "origin_kind": 1}, "limits": {"max_hand_offs": 4}});
    let settings = flintwell_settings::decode(&conf).expect("settings");
    let shadow = other.map(|other| {
        let other =
            flintwell_settings::decode(&flintwell_settings::merge_settings(conf, other)).expect("settings");
        Rc::new(ShadowPolicy::new(0, other, 1))
    });
    let (clock, store) = (Clock::start(), Store::open(None, "n").expect("no directory"));
    let open_ids = OpenIds::open(&store).expect("no file");
    let request_ids =
        RequestIds::new(move || clock.now(), open_ids, SharedIds::new(store, String::new()), Vec::new());
    Rc::new(Dispatcher::new(
        clock,
        settings,
        1,
        Pool::new(1, 8_192, 1, 1, Rc::default()),
        shadow,
        Rc::new(request_ids),
    ))
}

fn entry(node: &str, kind: u32, zone: u32) -> NodeEntry {
    let (node, state) = (node.into(), NodeState::Ready);
    NodeEntry { node, kind, zone, state, weight: 1.0, ..NodeEntry::default() }
}

/// Submits a read of this key and reports a miss if it was attempted at a cache. Returns the handle and the next step.
fn missed(dispatcher: &Rc<Dispatcher>, id: &str, key: &str) -> (RequestHandle, Option<Step>) {
    let (handle, step, _) = read(dispatcher, id, key);
    (handle, step)
}

/// Like `missed`; also returns the cache of the first attempt.
fn read(dispatcher: &Rc<Dispatcher>, id: &str, key: &str) -> (RequestHandle, Option<Step>, Option<NodeId>) {
    let mut first = None;
    let mut handle = dispatcher.open_handle(id.into()).expect("a handle");
    let (id, key) = (id.into(), Some(key.into()));
    let deadline = dispatcher.clock.now() + 1_000_000;
    handle.submit(IncomingRequest {
        id,
        class: 0,
        tenant: 0,
        key,
        deadline,
        expected_work: None,
        is_write: false,
    });
    if let Some(Step::Attempt { node, .. }) = handle.mailbox.step.take() {
        handle.attempt_started(&node);
        first = Some(node);
        handle.attempt_ended(AttemptStatus::Miss, 1_000, false);
    }
    let step = handle.mailbox.step.take();
    if let Some(Step::Attempt { node, .. }) = &step {
        handle.attempt_started(node);
    }
    (handle, step, first)
}

#[test]
fn a_policy_panic_keeps_timers_and_requests_alive() {
    let dispatcher = dispatcher();
    let handle = dispatcher.open_handle("a".into()).expect("a handle");
    assert!(!dispatcher.call_policy(|_| panic!("as a test"), |_| ()));
    handle.fail_unless(false);
    assert!(matches!(handle.mailbox.step.take(), Some(Step::Fail)));
    assert!(dispatcher.call_policy(|policy| policy.on_timer(0, 0), |_| ()));
    assert!(dispatcher.open_handle("a".into()).is_none(), "the id is still in flight");
}

/// Submits sixty reads. Returns the caches they were sent to and the shadow policy's counts.
fn run_reads(other: Option<serde_json::Value>) -> (Vec<NodeId>, Option<ShadowCounts>) {
    let dispatcher = dispatcher_with(other);
    let far = [entry("far 1", 0, 1), entry("far 2", 0, 1)];
    let near = [entry("near 1", 0, 0), entry("near 2", 0, 0), entry("origin", 1, 0)];
    dispatcher.apply_list_update(ListUpdateKind::Snapshot, far.into_iter().chain(near).collect());
    let mut sent = Vec::new();
    for n in 0..60 {
        let (mut handle, step, first) = read(&dispatcher, &format!("a{n}"), &format!("k{n}"));
        assert!(matches!(step, Some(Step::Attempt { .. })), "fetched, with or without a shadow policy");
        sent.push(first.expect("a cache"));
        handle.attempt_ended(AttemptStatus::Served, 1_000, false);
    }
    (sent, dispatcher.host_state.shadow.as_ref().map(|shadow| shadow.counts()))
}

#[test]
fn shadow_with_the_same_settings_counts_no_difference() {
    let (_, counts) = run_reads(Some(serde_json::json!({})));
    assert_eq!(counts, Some(ShadowCounts { requests: 60, ..ShadowCounts::default() }));
}

#[test]
fn shadow_with_other_settings_counts_differences_by_kind_without_effect() {
    let zones = serde_json::json!({"zones": ["a", "b"], "penalties": {"cross_zone": 0.1}});
    let ((alone, none), (shadowed, counts)) = (run_reads(None), run_reads(Some(zones)));
    assert!(none.is_none() && alone == shadowed, "the same attempts with and without a shadow policy");
    let counts = counts.expect("counts");
    let far = shadowed.iter().filter(|node| node.starts_with("far")).count() as u64;
    assert!(far > 10 && counts.another_cache == far, "{far}: {counts:?}");
    assert_eq!((counts.differing(), counts.requests), (far, 60));
    let (_, counts) = run_reads(Some(serde_json::json!({"limits": {"max_hand_offs": 1}})));
    let counts = counts.expect("counts");
    assert_eq!((counts.origin_or_cache, counts.differing()), (60, 60), "{counts:?}");
}

#[test]
fn a_shadow_policy_panic_affects_no_request() {
    let dispatcher = dispatcher_with(Some(serde_json::json!({})));
    let shadow = dispatcher.host_state.shadow.clone().expect("a shadow policy");
    shadow.panic_once();
    dispatcher.apply_list_update(ListUpdateKind::Snapshot, vec![entry("cache", 0, 0), entry("origin", 1, 0)]);
    assert!(matches!(missed(&dispatcher, "a", "k").1, Some(Step::Attempt { .. })));
    assert_eq!(shadow.counts(), ShadowCounts::default());
}

#[test]
fn a_held_request_of_a_disconnected_client_leaves_no_fetch_in_flight() {
    let dispatcher = dispatcher();
    dispatcher.apply_list_update(ListUpdateKind::Snapshot, vec![entry("cache", 0, 0), entry("origin", 1, 0)]);
    let (mut leader, step) = missed(&dispatcher, "leader", "k");
    assert!(matches!(step, Some(Step::Attempt { .. })));
    for n in 0..8 {
        assert!(missed(&dispatcher, &format!("held {n}"), "k").1.is_none(), "held, then dropped");
    }
    leader.attempt_ended(AttemptStatus::Error, 1_000, false);
    let others = ["a", "b", "c"].map(|key| missed(&dispatcher, key, key));
    assert!(others.iter().all(|(_, step)| matches!(step, Some(Step::Attempt { .. }))));
}

#[test]
fn a_step_not_taken_before_its_request_is_dropped_leaves_no_attempt_in_flight() {
    let dispatcher = dispatcher();
    dispatcher.apply_list_update(ListUpdateKind::Snapshot, vec![entry("cache", 0, 0), entry("origin", 1, 0)]);
    // Far more than may be in flight at the origin at once; each is sent there and dropped before it takes its step.
    for n in 0..64 {
        let (mut leader, step) = missed(&dispatcher, &format!("leader {n}"), &format!("k{n}"));
        assert!(matches!(step, Some(Step::Attempt { .. })), "{n}: fetched");
        let (held, none) = missed(&dispatcher, &format!("held {n}"), &format!("k{n}"));
        assert!(none.is_none(), "held");
        leader.attempt_ended(AttemptStatus::InvalidResponse, 1_000, false);
        drop(leader);
        drop(held);
    }
}
