use super::*;

fn seen(id: &str, case: &str, status: Option<u16>, took_ms: f64) -> ClientRequest {
    ClientRequest {
        id: id.into(),
        proxy: "n0".into(),
        class: case.into(),
        write: false,
        at_ms: 0.0,
        limit_ms: 1_000.0,
        took_ms,
        status,
        failure: None,
        retry_after_ms: 0.0,
    }
}

fn took(id: &str, node: &str, at_ms: f64, did: Disposition, warmth: f64) -> NodeRequest {
    let (id, node) = (id.into(), node.into());
    NodeRequest {
        at_ms,
        node,
        id,
        key: String::new(),
        idempotency_key: String::new(),
        write: true,
        disposition: did,
        warmth,
    }
}

#[test]
fn each_rule_is_found_broken_where_it_is_and_only_there() {
    let seen = [
        seen("well", "read", Some(200), 900.0),
        seen("lost", "read", None, 1_500.0),
        seen("late", "read", Some(503), 1_400.0),
        seen("twice", "once", Some(502), 10.0),
        seen("again", "keyed", Some(200), 10.0),
        seen("told", "once", Some(503), 10.0),
    ];
    let mut all = vec![
        took("twice", "a", 5.0, Disposition::Served, 1.0),
        took("twice", "b", 6.0, Disposition::Error, 1.0),
        took("again", "a", 5.0, Disposition::Served, 1.0),
        took("again", "b", 6.0, Disposition::Served, 1.0),
        took("told", "a", 7.0, Disposition::Nothing, 1.0),
        took("drained", "a", 2_000.0, Disposition::Served, 1.0),
        took("drained", "a", 4_000.0, Disposition::Served, 1.0),
    ];
    all.extend((0..40).map(|n| took("cold", "b", 100.0 + f64::from(n), Disposition::Missed, 0.2)));
    let made = |id: &str| NodeSpec {
        id: id.into(),
        zone: String::new(),
        kind: "cache".into(),
        cell: 0,
        workers: 2,
        queue: 2,
        time_ms: 20.0,
        connections: 10,
        cold_share: 0.2,
        ramp_s: 5.0,
    };
    let change = |at_ms, state| ListChange { at_ms, version: at_ms as u64, node: "a".into(), state };
    let (replayable, keyed) = (|replayable| RepeatRules { replayable, dedup_window_ms: None }, Some(300.0));
    let breaches = check_rules(&Observations {
        client_requests: &seen,
        node_requests: &all,
        list_changes: &[change(1_000.0, NodeState::Draining), change(3_000.0, NodeState::Ready)],
        discovery_calls: &[],
        silenced_watches: &[],
        push_discovery: false,
        node_specs: &[made("a"), made("b")],
        repeat_rules: &BTreeMap::from([
            ("read".into(), replayable(true)),
            ("once".into(), replayable(false)),
            ("keyed".into(), RepeatRules { replayable: false, dedup_window_ms: keyed }),
        ]),
        drain_grace_ms: 300.0,
        cold_overload_window_s: 1.0,
        excused: &[],
        shutdowns: &[],
        sockets_exhausted: false,
    });
    let found = |rule: u8, what: &str| breaches.iter().any(|one| one.rule == rule && one.what.contains(what));
    assert!(found(1, "lost") && found(1, "late") && found(2, "twice ran") && found(2, "told refused"));
    assert!(found(3, "drained to a 1000 ms") && found(4, "b: 2"), "{breaches:#?}");
    assert_eq!(breaches.iter().filter(|one| one.rule != 4).count(), 5, "{breaches:#?}");
}
