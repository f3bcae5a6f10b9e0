use super::*;
use serde_json::json;

#[test]
fn class_restrictions_accept_names_and_indices() {
    let conf = json!({"zones": ["a", "b"], "flavors": ["m1", "m2", "origin"], "use_cases": [
        {"goal_time": 1, "bound_to": ["m2"], "zones_allowed": [1, "a"]}, {"goal_time": 1, "bound_to": []},
        {"goal_time": 1}]});
    let classes = decode(&conf).expect("settings").classes;
    assert_eq!((&classes[0].kinds, &classes[0].zones), (&Some(vec![1]), &Some(vec![1, 0])));
    assert_eq!(
        (&classes[1].kinds, &classes[2].kinds),
        (&Some(vec![]), &None),
        "an empty restriction, and none"
    );
}

#[test]
fn change_is_rejected_if_it_needs_a_restart_or_renumbers_names() {
    let old = json!({"zones": ["a"], "specifics": {"mode": "aside"}, "use_cases": [{"name": "r", "goal_time": 1}],
        "limits": {"dial_timeout": 0.2, "keepalive": 5.0, "max_hand_offs": 4}});
    let check_with = |change: Value| check_change(&old, &merge_settings(old.clone(), change));
    let added = json!([{"name": "r", "goal_time": 2}, {"name": "w", "goal_time": 1}]);
    assert_eq!(
        check_with(json!({"zones": ["a", "b"], "limits": {"max_hand_offs": 2}, "use_cases": added})),
        Ok(())
    );
    for (change, key) in [
        (json!({"specifics": {"mode": "through"}}), "specifics"),
        (json!({"limits": {"keepalive": 9.0}}), "limits.keepalive"),
        (json!({"zones": ["b", "a"]}), "zones may only grow"),
        (json!({"use_cases": [{"name": "w", "goal_time": 1}]}), "use_cases may only grow"),
        (json!({"use_cases": []}), "use_cases"),
        (json!({"limits": {"max_hand_offs": "2"}}), "limits.max_hand_offs"),
    ] {
        let error = check_with(change).expect_err("rejected");
        assert!(error.contains(key), "{error}");
    }
}

#[test]
fn error_names_the_invalid_setting_and_unknown_settings_are_ignored() {
    let valid = json!({"fleet_size": 500, "weights": "live", "penalties": {"cross_zone": 0.1}, "new": [1],
        "zones": ["a", "b"], "locality": 1, "use_cases": [{"goal_time": 0.4, "effect": "unheard of"}]});
    assert_eq!(check(&valid), Ok(()));
    for (change, key) in [
        (json!({"fleet_size": "500"}), "fleet_size"),
        (json!({"fleet_size": 0}), "fleet_size"),
        (json!({"weights": "heavy"}), "weights"),
        (json!({"guarantees": {"ask_within": 0.1}}), "guarantees.ask_within"),
        (json!({"guarantees": {"stop_sending_within": -1}}), "guarantees.stop_sending_within"),
        (json!({"guarantees": {"stop_sending_within": 1e-9}}), "guarantees.stop_sending_within"),
        (json!({"guarantees": {"tip_multiple": -1}}), "guarantees.tip_multiple"),
        (json!({"use_cases": [{"goal_time": 1, "key_ttl": 1e-7}]}), "use_cases.0.key_ttl"),
        (json!({"penalties": {"cross_zone": -0.1}}), "penalties.cross_zone"),
        (json!({"limits": {"retry_after": 1}}), "limits.retry_after"),
        (json!({"locality": 2}), "locality is 2, but zones has 2"),
        (json!({"use_cases": [{"goal_time": 1, "zones_allowed": ["c"]}]}), "use_cases.zones_allowed"),
        (json!({"use_cases": [{"goal_time": 1, "zones_allowed": "a"}]}), "use_cases.zones_allowed"),
        (json!({"use_cases": [{"goal_time": 1, "bound_to": [0]}]}), "use_cases.bound_to"),
        (json!({"use_cases": [{"goal_time": "soon"}]}), "use_cases.0.goal_time"),
        (json!({"realms": [{"quota_rps": null}, {"quota_rps": []}]}), "realms.1.quota_rps"),
    ] {
        let error = check(&merge_settings(valid.clone(), change)).expect_err("rejected");
        assert!(error.contains(key) && !error.contains('\n'), "{error}");
    }
}
