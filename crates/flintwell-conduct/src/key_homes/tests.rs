use super::*;
use flintwell_settings::merge_settings;
use serde_json::json;

#[test]
fn cross_zone_penalty_moves_half_of_the_keys_and_an_attempt_limit_moves_none() {
    let node = |n: usize| {
        let zone = if n.is_multiple_of(2) { "a" } else { "b" };
        json!({"id": format!("c{n}"), "addr": "127.0.0.1:1", "zone": zone, "kind": "cache", "state": "ready"})
    };
    let list = json!({"version": 1, "full": true, "servers": (0..8).map(node).collect::<Vec<_>>()});
    let list: NodeList = serde_json::from_value(list).expect("node list");
    let old = json!({"fleet_size": 12, "zones": ["a", "b"], "flavors": ["cache", "origin"],
        "specifics": {"mode": "aside", "origin_kind": 1},
        "limits": {"max_hand_offs": 4, "dial_timeout": 0.2, "keepalive": 5.0},
        "use_cases": [{"name": "read", "effect": "safe", "group": "all", "goal_time": 0.6}]});
    let share = |change| {
        moved_key_share(&old, &merge_settings(old.clone(), change), &list).expect("share of moved keys")
    };
    assert_eq!(share(json!({"limits": {"max_hand_offs": 2}})), 0.0);
    let zoned = share(json!({"penalties": {"cross_zone": 0.5}}));
    assert!((0.35..0.65).contains(&zoned), "half of the homes are in the other zone: {zoned}");
}
