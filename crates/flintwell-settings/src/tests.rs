use super::*;
use serde_json::json;

#[test]
fn a_class_is_bound_by_names_or_by_places() {
    let conf = json!({"zones": ["a", "b"], "flavors": ["m1", "m2", "origin"], "use_cases": [
        {"goal_time": 1, "bound_to": ["m2"], "zones_allowed": [1, "a"]}, {"goal_time": 1, "bound_to": []},
        {"goal_time": 1}]});
    let cases = decode(&conf).expect("settings").classes;
    assert_eq!((&cases[0].kinds, &cases[0].zones), (&Some(vec![1]), &Some(vec![1, 0])));
    assert_eq!((&cases[1].kinds, &cases[2].kinds), (&Some(vec![]), &None), "bound to none, and not bound");
}

#[test]
fn what_a_running_proxy_is_built_on_cannot_change_and_names_keep_their_places() {
    let old = json!({"zones": ["a"], "specifics": {"mode": "aside"}, "use_cases": [{"name": "r", "goal_time": 1}],
        "limits": {"dial_timeout": 0.2, "keepalive": 5.0, "max_hand_offs": 4}});
    let changed = |over: Value| check_change(&old, &merge_settings(old.clone(), over));
    let more = json!([{"name": "r", "goal_time": 2}, {"name": "w", "goal_time": 1}]);
    assert_eq!(
        changed(json!({"zones": ["a", "b"], "limits": {"max_hand_offs": 2}, "use_cases": more})),
        Ok(())
    );
    for (over, key) in [
        (json!({"specifics": {"mode": "through"}}), "specifics"),
        (json!({"limits": {"keepalive": 9.0}}), "limits.keepalive"),
        (json!({"zones": ["b", "a"]}), "zones may grow"),
        (json!({"use_cases": [{"name": "w", "goal_time": 1}]}), "use_cases may grow"),
        (json!({"use_cases": []}), "use_cases"),
        (json!({"limits": {"max_hand_offs": "2"}}), "limits.max_hand_offs"),
    ] {
        let why = changed(over).expect_err("refused");
        assert!(why.contains(key), "{why}");
    }
}

#[test]
fn a_setting_of_the_wrong_type_or_out_of_range_is_named_and_an_unknown_one_is_skipped() {
    let well = json!({"fleet_size": 500, "weights": "live", "penalties": {"cross_zone": 0.1}, "new": [1],
        "zones": ["a", "b"], "locality": 1, "use_cases": [{"goal_time": 0.4, "effect": "unheard of"}]});
    assert_eq!(check(&well), Ok(()));
    for (over, key) in [
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
        let wrong = check(&merge_settings(well.clone(), over)).expect_err("one line");
        assert!(wrong.contains(key) && !wrong.contains('\n'), "{wrong}");
    }
}
