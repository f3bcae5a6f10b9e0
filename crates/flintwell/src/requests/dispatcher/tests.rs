use super::*;
use crate::requests::shadow::Counts;
use flintwell_core::interface::NodeState;

fn dispatcher() -> Rc<Dispatcher> {
    dispatcher_with(None)
}

/// With a second module to watch, whose settings have these laid over.
fn dispatcher_with(other: Option<serde_json::Value>) -> Rc<Dispatcher> {
    let conf = serde_json::json!({"use_cases": [{"effect": "safe", "goal_time": 1.0}],
        "specifics": {"mode": "aside", "origin_kind": 1}, "limits": {"max_hand_offs": 4}});
    let settings = flintwell_settings::decode(&conf).expect("settings");
    let watch = other.map(|other| {
        let other =
            flintwell_settings::decode(&flintwell_settings::laid_over(conf, other)).expect("settings");
        Rc::new(ShadowPolicy::new(0, other, 1))
    });
    Rc::new(Dispatcher::new(Clock::start(), settings, 1, Pool::new(1, 1, 1), watch))
}

fn entry(node: &str, kind: u32, zone: u32) -> NodeEntry {
    let (node, standing) = (node.into(), NodeState::Ready);
    NodeEntry { node, kind, zone, state: standing, weight: 1.0, ..NodeEntry::default() }
}

/// A read of this key that has missed at the cache, if it came that far, and what the module says then.
fn missed(dispatcher: &Rc<Dispatcher>, id: &str, key: &str) -> (RequestHandle, Option<Step>) {
    let (handle, step, _) = read(dispatcher, id, key);
    (handle, step)
}

/// The same, with the cache that it went to.
fn read(dispatcher: &Rc<Dispatcher>, id: &str, key: &str) -> (RequestHandle, Option<Step>, Option<NodeId>) {
    let mut first = None;
    let mut handle = dispatcher.handle(id.into()).expect("a handle");
    let (id, key) = (id.into(), Some(key.into()));
    let deadline = dispatcher.clock.now() + 1_000_000;
    handle.arrives(IncomingRequest { id, class: 0, tenant: 0, key, deadline, expected_work: None, is_write: false });
    if let Some(Step::Attempt { node, .. }) = handle.place.next.take() {
        handle.sends(&node);
        first = Some(node);
        handle.ended(AttemptStatus::Miss, 1_000, false);
    }
    let step = handle.place.next.take();
    if let Some(Step::Attempt { node, .. }) = &step {
        handle.sends(node);
    }
    (handle, step, first)
}

#[test]
fn a_panic_in_a_call_ends_neither_the_timer_nor_the_requests() {
    let dispatcher = dispatcher();
    let handle = dispatcher.handle("a".into()).expect("a handle");
    assert!(!dispatcher.module(|_| panic!("as a test"), |_| ()));
    handle.or_fail(false);
    assert!(matches!(handle.place.next.take(), Some(Step::Fail)));
    assert!(dispatcher.module(|module| module.on_timer(0, 0), |_| ()));
    assert!(dispatcher.handle("a".into()).is_none(), "the id is in hand");
}

/// What the module that decides said of sixty reads, and what was counted beside it.
fn reads(other: Option<serde_json::Value>) -> (Vec<NodeId>, Option<Counts>) {
    let dispatcher = dispatcher_with(other);
    let far = [entry("far 1", 0, 1), entry("far 2", 0, 1)];
    let near = [entry("near 1", 0, 0), entry("near 2", 0, 0), entry("origin", 1, 0)];
    dispatcher.apply_list_update(ListUpdateKind::Snapshot, far.into_iter().chain(near).collect());
    let mut sent = Vec::new();
    for n in 0..60 {
        let (mut handle, step, first) = read(&dispatcher, &format!("a{n}"), &format!("k{n}"));
        assert!(matches!(step, Some(Step::Attempt { .. })), "fetched, whatever is watched");
        sent.push(first.expect("a cache"));
        handle.ended(AttemptStatus::Served, 1_000, false);
    }
    (sent, dispatcher.mailboxes.watch.as_ref().map(|watch| watch.counts()))
}

#[test]
fn watched_with_the_same_settings_nothing_is_counted() {
    let (_, counts) = reads(Some(serde_json::json!({})));
    assert_eq!(counts, Some(Counts { requests: 60, ..Counts::default() }));
}

#[test]
fn watched_with_other_settings_the_kind_is_counted_and_nothing_is_decided_otherwise() {
    let zones = serde_json::json!({"zones": ["a", "b"], "penalties": {"cross_zone": 0.1}});
    let ((alone, none), (watched, counts)) = (reads(None), reads(Some(zones)));
    assert!(none.is_none() && alone == watched, "the same attempts with it on and off");
    let counts = counts.expect("counts");
    let far = watched.iter().filter(|node| node.starts_with("far")).count() as u64;
    assert!(far > 10 && counts.another_cache == far, "{far}: {counts:?}");
    assert_eq!((counts.otherwise(), counts.requests), (far, 60));
    let (_, counts) = reads(Some(serde_json::json!({"limits": {"max_hand_offs": 1}})));
    let counts = counts.expect("counts");
    assert_eq!((counts.origin_or_cache, counts.otherwise()), (60, 60), "{counts:?}");
}

#[test]
fn a_panic_of_the_module_that_is_watched_touches_no_request() {
    let dispatcher = dispatcher_with(Some(serde_json::json!({})));
    let watch = dispatcher.mailboxes.watch.clone().expect("it");
    watch.fails();
    dispatcher.apply_list_update(ListUpdateKind::Snapshot, vec![entry("cache", 0, 0), entry("origin", 1, 0)]);
    assert!(matches!(missed(&dispatcher, "a", "k").1, Some(Step::Attempt { .. })));
    assert_eq!(watch.counts(), Counts::default());
}

#[test]
fn a_client_that_leaves_while_held_leaves_no_fetch_behind() {
    let dispatcher = dispatcher();
    dispatcher.apply_list_update(ListUpdateKind::Snapshot, vec![entry("cache", 0, 0), entry("origin", 1, 0)]);
    let (mut leader, step) = missed(&dispatcher, "leader", "k");
    assert!(matches!(step, Some(Step::Attempt { .. })));
    for n in 0..8 {
        assert!(missed(&dispatcher, &format!("held {n}"), "k").1.is_none(), "held, then dropped");
    }
    leader.ended(AttemptStatus::Error, 1_000, false);
    let others = ["a", "b", "c"].map(|key| missed(&dispatcher, key, key));
    assert!(others.iter().all(|(_, step)| matches!(step, Some(Step::Attempt { .. }))));
}

#[test]
fn a_step_told_to_one_whose_client_leaves_before_it_is_taken_leaves_nothing_out() {
    let dispatcher = dispatcher();
    dispatcher.apply_list_update(ListUpdateKind::Snapshot, vec![entry("cache", 0, 0), entry("origin", 1, 0)]);
    // Far more than may be out at the origin at once; each is told to go there and dropped before it takes its step.
    for n in 0..64 {
        let (mut leader, step) = missed(&dispatcher, &format!("leader {n}"), &format!("k{n}"));
        assert!(matches!(step, Some(Step::Attempt { .. })), "{n}: fetched");
        let (held, none) = missed(&dispatcher, &format!("held {n}"), &format!("k{n}"));
        assert!(none.is_none(), "held");
        leader.ended(AttemptStatus::InvalidResponse, 1_000, false);
        drop(leader);
        drop(held);
    }
}
