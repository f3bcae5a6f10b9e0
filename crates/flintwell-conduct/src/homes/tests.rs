use super::*;
use flintwell_settings::merge_settings;
use serde_json::json;

#[test]
fn zones_that_come_to_count_move_keys_and_a_limit_moves_none() {
    let server = |n: usize| {
        let zone = if n.is_multiple_of(2) { "a" } else { "b" };
        json!({"id": format!("c{n}"), "addr": "127.0.0.1:1", "zone": zone, "kind": "cache", "state": "ready"})
    };
    let list = json!({"version": 1, "full": true, "servers": (0..8).map(server).collect::<Vec<_>>()});
    let listing: NodeList = serde_json::from_value(list).expect("a list");
    let old = json!({"fleet_size": 12, "zones": ["a", "b"], "flavors": ["cache", "origin"],
        "specifics": {"mode": "aside", "origin_kind": 1},
        "limits": {"max_hand_offs": 4, "dial_timeout": 0.2, "keepalive": 5.0},
        "use_cases": [{"name": "read", "effect": "safe", "group": "all", "goal_time": 0.6}]});
    let with = |over| moved(&old, &merge_settings(old.clone(), over), &listing).expect("a share");
    assert_eq!(with(json!({"limits": {"max_hand_offs": 2}})), 0.0);
    let zoned = with(json!({"penalties": {"cross_zone": 0.5}}));
    assert!((0.35..0.65).contains(&zoned), "half of the homes lie in the other zone: {zoned}");
}
