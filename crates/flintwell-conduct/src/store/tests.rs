use super::*;
use flintwell_rollout::controller::Phase;
use serde_json::json;

#[test]
fn reopened_store_has_the_last_state_and_only_one_process_can_open_it() {
    let folder = std::env::temp_dir().join(format!("flintwell-rollout-store-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let mut store = RolloutStore::open(&folder).expect("open the store");
    assert_eq!(store.last_state, None);
    let mut journal = Journal::new(7);
    store.begin(&journal, &[("n0".into(), json!({"a": 1}))]).expect("begin");
    (journal.phase, journal.stages_begun) = (Phase::Rolling, 2);
    store.append(&journal).expect("append");
    assert!(RolloutStore::open(&folder).err().is_some_and(|why| why.contains("another process")));
    drop(store);
    let store = RolloutStore::open(&folder).expect("reopen the store");
    assert_eq!(store.last_state, Some(journal));
    assert_eq!(
        (store.member_settings("n0"), store.member_settings("n1").is_err()),
        (Ok(json!({"a": 1})), true)
    );
    submit_order(&folder, Order::Pause).expect("submit an order");
    assert_eq!((store.take_order(), store.take_order()), (Some(Order::Pause), None));
    drop(store);
    fs::remove_dir_all(&folder).expect("remove the folder");
}
