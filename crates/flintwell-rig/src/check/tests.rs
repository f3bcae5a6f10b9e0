use super::*;

fn seen(id: &str, case: &str, status: Option<u16>, took_ms: f64) -> Seen {
    Seen {
        id: id.into(),
        proxy: "n0".into(),
        case: case.into(),
        write: false,
        at_ms: 0.0,
        limit_ms: 1_000.0,
        took_ms,
        status,
        missing: None,
        stay_away_ms: 0.0,
    }
}

fn took(id: &str, node: &str, at_ms: f64, did: Did, warmth: f64) -> Took {
    let (id, node) = (id.into(), node.into());
    Took { at_ms, node, id, key: String::new(), mark: String::new(), write: true, did, warmth }
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
        took("twice", "a", 5.0, Did::Served, 1.0),
        took("twice", "b", 6.0, Did::Error, 1.0),
        took("again", "a", 5.0, Did::Served, 1.0),
        took("again", "b", 6.0, Did::Served, 1.0),
        took("told", "a", 7.0, Did::Nothing, 1.0),
        took("drained", "a", 2_000.0, Did::Served, 1.0),
        took("drained", "a", 4_000.0, Did::Served, 1.0),
    ];
    all.extend((0..40).map(|n| took("cold", "b", 100.0 + f64::from(n), Did::Missed, 0.2)));
    let made = |id: &str| Made {
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
    let change = |at_ms, state| Change { at_ms, version: at_ms as u64, node: "a".into(), state };
    let (replayable, keyed) = (|replayable| Repeats { replayable, memory_ms: None }, Some(300.0));
    let breaches = judge(&Evidence {
        seen: &seen,
        took: &all,
        changes: &[change(1_000.0, State::Draining), change(3_000.0, State::Ready)],
        calls: &[],
        hushed: &[],
        pushed: false,
        made: &[made("a"), made("b")],
        repeats: &BTreeMap::from([
            ("read".into(), replayable(true)),
            ("once".into(), replayable(false)),
            ("keyed".into(), Repeats { replayable: false, memory_ms: keyed }),
        ]),
        grace_ms: 300.0,
        fall_s: 1.0,
        excused: &[],
        down: &[],
        crowded: false,
    });
    let found = |rule: u8, what: &str| breaches.iter().any(|one| one.rule == rule && one.what.contains(what));
    assert!(found(1, "lost") && found(1, "late") && found(2, "twice ran") && found(2, "told refused"));
    assert!(found(3, "drained to a 1000 ms") && found(4, "b: 2"), "{breaches:#?}");
    assert_eq!(breaches.iter().filter(|one| one.rule != 4).count(), 5, "{breaches:#?}");
}
