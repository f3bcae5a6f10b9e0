use super::*;
use serde_json::json;

fn stage_request(epoch: u64, settings: Value) -> StageRequest {
    StageRequest { protocol: PROTOCOL_VERSION, fleet: "f".into(), epoch, hash: hash(&settings), settings }
}

fn epoch_request(epoch: u64) -> EpochRequest {
    let hash = hash(&json!({ "v": epoch }));
    EpochRequest {
        protocol: PROTOCOL_VERSION,
        fleet: "f".into(),
        epoch,
        hash,
        confirm_timeout_ms: 1_000,
        stage: 0,
    }
}

fn stage(member: &mut Member, epoch: u64) -> Result<(), Refusal> {
    let transition = member.stage(&stage_request(epoch, json!({ "v": epoch })), |_, _| Ok(()))?;
    member.commit(transition);
    Ok(())
}

fn apply(member: &mut Member, now: u64, epoch: u64) -> Result<(), Refusal> {
    let transition = member.apply(now, &epoch_request(epoch))?;
    transition.into_iter().for_each(|transition| member.commit(transition));
    Ok(())
}

fn new_member() -> Member {
    Member::new("f", None, &json!({"v": 0}))
}

#[test]
fn unconfirmed_change_reverts_on_timeout_and_restart_and_confirmed_change_stays() {
    let mut member = new_member();
    stage(&mut member, 3).expect("staged");
    apply(&mut member, 100, 3).expect("applied");
    assert_eq!((member.active().epoch, member.tick(1_099)), (3, None));
    member.renew(1_000, &epoch_request(3)).expect("renewed");
    assert_eq!(member.tick(1_999), None);
    let restarted = Member::new("f", Some(member.record().clone()), &json!({"v": 0}));
    assert_eq!((restarted.active().epoch, restarted.record().fence), (0, 3));
    assert_eq!(member.tick(2_000).map(|record| record.active.epoch), Some(0));
    // The same change again, confirmed this time.
    stage(&mut member, 3).expect("staged again");
    apply(&mut member, 5_000, 3).expect("applied");
    let transition = member.confirm(&epoch_request(3)).expect("confirmed").expect("a transition");
    member.commit(transition);
    assert_eq!((member.tick(u64::MAX), member.active().epoch), (None, 3));
    let restarted = Member::new("f", Some(member.record().clone()), &json!({"v": 0}));
    assert_eq!(restarted.active().epoch, 3);
    let edited = Member::new("f", Some(member.record().clone()), &json!({"v": "by hand"}));
    assert_eq!((edited.active().epoch, edited.record().fence), (0, 3));
    assert_eq!(member.revert(&epoch_request(3)).map(|record| record.active.epoch), Ok(0), "reverted");
}

/// Guards against two concurrent controllers reverting, renewing or confirming each other's change.
#[test]
fn older_controller_is_refused_and_unconfirmed_change_is_not_replaced() {
    let mut member = new_member();
    stage(&mut member, 5).expect("staged");
    stage(&mut member, 6).expect("a newer epoch is staged");
    let fenced = Refusal::Fenced { epoch: 5, fence: 6 };
    assert_eq!(apply(&mut member, 0, 5), Err(fenced.clone()));
    assert_eq!(stage(&mut member, 5), Err(fenced.clone()));
    assert_eq!(member.revert(&epoch_request(5)), Err(fenced));
    apply(&mut member, 0, 6).expect("applied");
    assert_eq!(stage(&mut member, 7), Err(Refusal::ChangeInProgress(6)));
    let other = member.stage(&stage_request(6, json!({"v": "other"})), |_, _| Ok(()));
    assert!(other.is_err(), "one epoch with two contents");
    // A request with the same epoch for other content has no effect on the active change.
    let other_content = EpochRequest { hash: hash(&json!({"v": "other"})), ..epoch_request(6) };
    assert_eq!(member.renew(0, &other_content), Err(Refusal::NotActive(6)));
    assert_eq!(member.confirm(&other_content).err(), Some(Refusal::NotActive(6)));
    member.revert(&other_content).expect("nothing to revert");
    assert_eq!(member.active().epoch, 6);
}

#[test]
fn refused_requests_change_nothing() {
    let mut member = new_member();
    let before = member.clone();
    let valid = stage_request(1, json!({"v": 1}));
    let refusal =
        |request: StageRequest| member.stage(&request, |_, _| Err("no".into())).expect_err("refused");
    assert_eq!(refusal(StageRequest { fleet: "g".into(), ..valid.clone() }), Refusal::WrongFleet("g".into()));
    assert_eq!(refusal(StageRequest { protocol: 9, ..valid.clone() }), Refusal::UnsupportedProtocol(9));
    assert_eq!(refusal(StageRequest { hash: "00".into(), ..valid.clone() }), Refusal::HashMismatch);
    assert_eq!(refusal(valid), Refusal::InvalidSettings("no".into()));
    assert_eq!(apply(&mut member, 0, 1), Err(Refusal::NotStaged(1)));
    assert_eq!(member.confirm(&epoch_request(1)).err(), Some(Refusal::NotActive(1)));
    assert_eq!(member.renew(0, &epoch_request(1)), Err(Refusal::NotActive(1)));
    assert_eq!(member.revert(&epoch_request(0)), Err(Refusal::NoPrevious));
    for confirm_timeout_ms in [0, MAX_CONFIRM_TIMEOUT_MS + 1] {
        let out_of_range = EpochRequest { confirm_timeout_ms, ..epoch_request(1) };
        assert_eq!(member.apply(0, &out_of_range).err(), Some(Refusal::InvalidTimeout(confirm_timeout_ms)));
    }
    assert_eq!(member, before);
}
