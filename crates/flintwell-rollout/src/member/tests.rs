use super::*;
use serde_json::json;

fn stage(epoch: u64, settings: Value) -> StageRequest {
    StageRequest { protocol: PROTOCOL_VERSION, fleet: "f".into(), epoch, hash: hash(&settings), settings }
}

fn named(epoch: u64) -> EpochRequest {
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

fn staged(member: &mut Member, epoch: u64) -> Result<(), Refusal> {
    let step = member.stage(&stage(epoch, json!({ "v": epoch })), |_, _| Ok(()))?;
    member.commit(step);
    Ok(())
}

fn applied(member: &mut Member, now: u64, epoch: u64) -> Result<(), Refusal> {
    let step = member.apply(now, &named(epoch))?;
    step.into_iter().for_each(|step| member.commit(step));
    Ok(())
}

fn fresh() -> Member {
    Member::new("f", None, &json!({"v": 0}))
}

#[test]
fn unconfirmed_it_goes_back_when_its_time_is_up_and_at_a_start_and_confirmed_it_stays() {
    let mut member = fresh();
    staged(&mut member, 3).expect("staged");
    applied(&mut member, 100, 3).expect("applied");
    assert_eq!((member.active().epoch, member.tick(1_099)), (3, None));
    member.renew(1_000, &named(3)).expect("renewed");
    assert_eq!(member.tick(1_999), None);
    let restarted = Member::new("f", Some(member.record().clone()), &json!({"v": 0}));
    assert_eq!((restarted.active().epoch, restarted.record().fence), (0, 3));
    assert_eq!(member.tick(2_000).map(|record| record.active.epoch), Some(0));
    // The same once more, confirmed.
    staged(&mut member, 3).expect("the same again");
    applied(&mut member, 5_000, 3).expect("applied");
    let step = member.confirm(&named(3)).expect("confirmed").expect("a step");
    member.commit(step);
    assert_eq!((member.tick(u64::MAX), member.active().epoch), (None, 3));
    let restarted = Member::new("f", Some(member.record().clone()), &json!({"v": 0}));
    assert_eq!(restarted.active().epoch, 3);
    let by_hand = Member::new("f", Some(member.record().clone()), &json!({"v": "by hand"}));
    assert_eq!((by_hand.active().epoch, by_hand.record().fence), (0, 3));
    assert_eq!(member.revert(&named(3)).map(|record| record.active.epoch), Ok(0), "an undo");
}

#[test]
fn of_two_who_roll_out_the_older_is_refused_everywhere_and_neither_takes_over_what_is_watched() {
    let mut member = fresh();
    staged(&mut member, 5).expect("staged");
    staged(&mut member, 6).expect("a younger one");
    let fenced = Refusal::Fenced { epoch: 5, fence: 6 };
    assert_eq!(applied(&mut member, 0, 5), Err(fenced.clone()));
    assert_eq!(staged(&mut member, 5), Err(fenced.clone()));
    assert_eq!(member.revert(&named(5)), Err(fenced));
    applied(&mut member, 0, 6).expect("applied");
    assert_eq!(staged(&mut member, 7), Err(Refusal::ChangeInProgress(6)));
    let other = member.stage(&stage(6, json!({"v": "other"})), |_, _| Ok(()));
    assert!(other.is_err(), "one epoch, two contents");
    // Whoever came to the same number for another content has no say over ours.
    let theirs = EpochRequest { hash: hash(&json!({"v": "other"})), ..named(6) };
    assert_eq!(member.renew(0, &theirs), Err(Refusal::NotActive(6)));
    assert_eq!(member.confirm(&theirs).err(), Some(Refusal::NotActive(6)));
    member.revert(&theirs).expect("nothing of theirs is here");
    assert_eq!(member.active().epoch, 6);
}

#[test]
fn what_is_foreign_wrong_or_out_of_turn_changes_nothing() {
    let mut member = fresh();
    let before = member.clone();
    let well = stage(1, json!({"v": 1}));
    let refused = |stage: StageRequest| member.stage(&stage, |_, _| Err("no".into())).expect_err("refused");
    assert_eq!(refused(StageRequest { fleet: "g".into(), ..well.clone() }), Refusal::WrongFleet("g".into()));
    assert_eq!(refused(StageRequest { protocol: 9, ..well.clone() }), Refusal::UnsupportedProtocol(9));
    assert_eq!(refused(StageRequest { hash: "00".into(), ..well.clone() }), Refusal::HashMismatch);
    assert_eq!(refused(well), Refusal::InvalidSettings("no".into()));
    assert_eq!(applied(&mut member, 0, 1), Err(Refusal::NotStaged(1)));
    assert_eq!(member.confirm(&named(1)).err(), Some(Refusal::NotActive(1)));
    assert_eq!(member.renew(0, &named(1)), Err(Refusal::NotActive(1)));
    assert_eq!(member.revert(&named(0)), Err(Refusal::NoPrevious));
    for confirm_timeout_ms in [0, MAX_CONFIRM_TIMEOUT_MS + 1] {
        let long = EpochRequest { confirm_timeout_ms, ..named(1) };
        assert_eq!(member.apply(0, &long).err(), Some(Refusal::InvalidTimeout(confirm_timeout_ms)));
    }
    assert_eq!(member, before);
}
