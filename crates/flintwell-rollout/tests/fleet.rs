//! Simulation of whole fleets in virtual time with the real members and the real controller. Requests are lost,
//! duplicated and delayed, the controller is killed between any two of its steps, members are killed and cut off, and
//! faults affect old and new members alike.

use flintwell_rollout::controller::{
    Command, Controller, Evidence, FleetMember, Journal, Phase, RolloutConfig, interleave_zones,
};
use flintwell_rollout::member::{Member, Record};
use flintwell_rollout::wire::{
    EpochRequest, MemberCounters, PROTOCOL_VERSION, RequestCounts, StageRequest, hash,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Binomial, Distribution};
use serde_json::{Value, json};
use std::collections::BTreeMap;

const ROUND_MS: u64 = 250;
const REQUESTS_PER_ROUND: u64 = 15; // per member
const EPOCH: u64 = 1;
const LAST_KILL_ROUND: u64 = 1_000; // the controller is not killed afterwards, so that it has to finish

/// Effects of the change, and faults during the rollout.
#[derive(Clone, Copy, Default)]
struct Scenario {
    /// Additional share of requests lost by members with the change; every member loses 1 %.
    loss_increase: f64,
    /// All members, old and new, lose requests once this many have the change.
    common_loss_from: Option<usize>,
    /// A member with the change ends after this time, in ms.
    crash_after_ms: Option<u64>,
    /// Additional origin attempts per request of members with the change.
    origin_attempt_increase: f64,
    /// Share of commands and reports between the controller and the members that are lost; as many commands are
    /// duplicated.
    message_loss: f64,
    /// Probability per round that the controller is killed; it is resumed some rounds later.
    controller_kills: f64,
    /// Whether a resumed controller restores the stage's evidence.
    restores_evidence: bool,
    /// Probability per round that some member is killed.
    member_kills: f64,
    /// Start and end, in ms, of a fault in which all members lose 30 % more of their requests.
    common_fault_ms: Option<(u64, u64)>,
    /// Additional origin attempts per request in the first ten seconds of a restarted process.
    warm_up_attempts: f64,
    /// Whether old members restart as controls.
    restart_controls: bool,
    /// Memory in kB that a member with the change leaks per second.
    leak_kb_per_s: u64,
    /// Origin attempts accepted per round; unlimited if none.
    origin_capacity: Option<u64>,
    /// Additional origin attempts per request in the first five seconds with the change, since moved keys are cold.
    moved_key_attempts: f64,
    /// Until when, in ms, a member is cut off from the controller, starting at 10 s.
    cut_until_ms: Option<u64>,
}

struct SimulatedMember {
    member: Member,
    stored_record: Option<Record>,
    restarted_for: Option<(u64, usize)>,
    started_ms: u64,
    changed_since: Option<u64>,
    counters: MemberCounters,
}

impl SimulatedMember {
    fn start_process(&mut self, now: u64) {
        self.started_ms = now + 1;
        self.counters = MemberCounters { started_ms: self.started_ms, ..MemberCounters::default() };
    }
}

struct Outcome {
    journal: Journal,
    /// The largest number of members that had the change at once.
    max_changed: usize,
    /// How often a member was unconfirmed with an expired timeout.
    expired_unconfirmed: usize,
    /// The most origin attempts refused in a round.
    max_refused: u64,
    /// Number of members by active epoch at the end.
    final_epochs: BTreeMap<u64, usize>,
    unconfirmed: usize,
    finished_at: u64,
}

fn config() -> RolloutConfig {
    RolloutConfig {
        observe_ms: 3_000,
        settle_ms: 500,
        watch_ms: 8_000,
        min_requests: 5_000,
        confirm_timeout_ms: 6_000,
        unreachable_after_ms: 2_000,
        trial_revert_after_ms: 5_000,
        min_detectable_loss: 0.02,
        max_false_stop_probability: 0.01,
        max_common_loss_increase: 0.05,
        max_memory_ratio: 1.5,
        restart_controls: false,
    }
}

fn configured_settings() -> Value {
    json!({"v": 0})
}

fn simulate(seed: u64, scenario: Scenario) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let members: Vec<FleetMember> =
        (0..24).map(|n| FleetMember { name: format!("n{n}"), zone: ["a", "b", "c"][n % 3].into() }).collect();
    let members = interleave_zones(&members);
    let stages = vec![3, 8, 24];
    let mut fleet: Vec<SimulatedMember> = members
        .iter()
        .map(|_| SimulatedMember {
            member: Member::new("f", None, &configured_settings()),
            stored_record: None,
            restarted_for: None,
            started_ms: 1,
            changed_since: None,
            counters: MemberCounters::default(),
        })
        .collect();
    let start_controller = |now, journal: &Journal| {
        let hash = hash(&json!({"v": 1}));
        let members = members.iter().map(|member| (member.clone(), hash.clone())).collect();
        Controller::new(
            now,
            RolloutConfig {
                restart_controls: scenario.restart_controls,
                settle_ms: if scenario.moved_key_attempts > 0.0 { 6_000 } else { 500 },
                ..config()
            },
            members,
            stages.clone(),
            journal.clone(),
        )
    };
    let mut stored_journal = Journal::new(EPOCH);
    let mut controller = Some(start_controller(0, &stored_journal));
    let (mut stored_evidence, mut max_refused) = (None, 0);
    let (mut rounds_until_resume, mut delayed): (u64, Vec<(usize, Command)>) = (0, Vec::new());
    let (mut max_changed, mut expired_unconfirmed, mut finished_at) = (0, 0, 0);
    // Long enough for every timeout to expire after the rollout has finished.
    for round in 0..2_400u64 {
        let now = round * ROUND_MS;
        // Members: timeouts, crashes and traffic.
        let changed_count = fleet.iter().filter(|one| one.member.active().epoch == EPOCH).count();
        max_changed = max_changed.max(changed_count);
        let has_common_fault = scenario.common_fault_ms.is_some_and(|(from, to)| (from..to).contains(&now));
        let (mut total_attempts, mut attempts_by_member) = (0, Vec::new());
        for one in &mut fleet {
            if let Some(record) = one.member.tick(now) {
                one.stored_record = Some(record);
            }
            let is_changed = one.member.active().epoch == EPOCH;
            one.changed_since = is_changed.then(|| one.changed_since.unwrap_or(now));
            let crashes = scenario
                .crash_after_ms
                .zip(one.changed_since)
                .is_some_and(|(after, since)| now >= since + after);
            if crashes || rng.random::<f64>() < scenario.member_kills / 24.0 {
                one.member = Member::new("f", one.stored_record.clone(), &configured_settings());
                one.changed_since = None;
                one.start_process(now);
            }
            let is_changed = one.member.active().epoch == EPOCH;
            let has_common_loss = scenario.common_loss_from.is_some_and(|from| changed_count >= from);
            let loss_rate = 0.01
                + if is_changed { scenario.loss_increase } else { 0.0 }
                + if has_common_fault || has_common_loss { 0.3 } else { 0.0 };
            let lost = Binomial::new(REQUESTS_PER_ROUND, loss_rate).expect("a rate").sample(&mut rng);
            let is_warming_up = now < one.started_ms + 10_000 && one.started_ms > 1;
            let changed_for = one.changed_since.map_or(u64::MAX, |since| now - since);
            let moved_key_attempts = if changed_for < 5_000 { scenario.moved_key_attempts } else { 0.0 };
            let origin_rate = 0.1
                + if is_changed { scenario.origin_attempt_increase } else { 0.0 }
                + if is_warming_up { scenario.warm_up_attempts } else { 0.0 }
                + moved_key_attempts;
            let counters = &mut one.counters;
            let counts = counters.classes.entry("read".into()).or_default();
            *counts = RequestCounts {
                served: counts.served + REQUESTS_PER_ROUND - lost,
                refused: counts.refused + lost,
                failed: 0,
            };
            counters.attempts += REQUESTS_PER_ROUND;
            let origin_attempts =
                Binomial::new(REQUESTS_PER_ROUND, origin_rate).expect("a rate").sample(&mut rng);
            counters.origin_attempts += origin_attempts;
            total_attempts += origin_attempts;
            attempts_by_member.push(origin_attempts);
            counters.memory_kb =
                5_000 + if is_changed { scenario.leak_kb_per_s * changed_for / 1_000 } else { 0 };
            let status = one.member.status(now, "", "", one.started_ms);
            expired_unconfirmed += usize::from(status.unconfirmed && status.remaining_ms == 0);
        }
        // The origin refuses attempts above its capacity, in proportion for each member.
        let refused = scenario.origin_capacity.map_or(0, |capacity| total_attempts.saturating_sub(capacity));
        max_refused = max_refused.max(refused);
        for (one, origin_attempts) in fleet.iter_mut().zip(attempts_by_member) {
            one.counters.origin_refusals += refused * origin_attempts / total_attempts.max(1);
        }
        // The controller.
        if controller.is_none() && rounds_until_resume == 0 && !stored_journal.is_finished() {
            controller = Some(start_controller(now, &stored_journal));
            let restored = stored_evidence.clone().filter(|_| scenario.restores_evidence);
            restored.into_iter().for_each(|evidence| {
                controller.iter_mut().for_each(|running| running.restore_evidence(Evidence::clone(&evidence)))
            });
        }
        rounds_until_resume = rounds_until_resume.saturating_sub(1);
        let Some(running) = &mut controller else { continue };
        let is_cut_off =
            |n: usize| n == 1 && now >= 10_000 && scenario.cut_until_ms.is_some_and(|until| now < until);
        for (n, one) in fleet.iter().enumerate() {
            if is_cut_off(n) || rng.random::<f64>() < scenario.message_loss {
                continue;
            }
            let mut status = one.member.status(now, &members[n].name, "1", one.started_ms);
            status.fleet = "f".into();
            status.restarted_for = one.restarted_for;
            let counters =
                MemberCounters { epoch: status.epoch, started_ms: one.started_ms, ..one.counters.clone() };
            running.on_report(now, n, status, Some(counters));
        }
        let commands = running.step(now);
        let stages_begun = running.journal().stages_begun;
        // The controller is killed before or after it writes its journal.
        if round < LAST_KILL_ROUND && rng.random::<f64>() < scenario.controller_kills {
            if rng.random::<bool>() {
                stored_journal = running.journal().clone();
            }
            (controller, rounds_until_resume) = (None, rng.random_range(1..40));
            continue;
        }
        stored_journal = running.journal().clone();
        stored_evidence = Some(running.evidence());
        if stored_journal.is_finished() {
            finished_at = now;
            controller = None;
            continue;
        }
        // Some commands are duplicated: they arrive again in the next round.
        let duplicated: Vec<(usize, Command)> =
            commands.iter().filter(|_| rng.random::<f64>() < scenario.message_loss).copied().collect();
        for (n, command) in delayed.drain(..).chain(commands) {
            if is_cut_off(n) || rng.random::<f64>() < scenario.message_loss {
                continue;
            }
            let one = &mut fleet[n];
            let settings = json!({"v": 1});
            let request = EpochRequest {
                protocol: PROTOCOL_VERSION,
                fleet: "f".into(),
                epoch: EPOCH,
                hash: hash(&settings),
                confirm_timeout_ms: config().confirm_timeout_ms,
                stage: 0,
            };
            let transition = match command {
                Command::Stage => {
                    let (fleet, hash) = ("f".into(), hash(&settings));
                    let request =
                        StageRequest { protocol: PROTOCOL_VERSION, fleet, epoch: EPOCH, hash, settings };
                    one.member.stage(&request, |_, _| Ok(())).ok()
                }
                Command::Apply => {
                    // A new program version starts a new process.
                    if scenario.warm_up_attempts > 0.0 && one.member.active().epoch != EPOCH {
                        one.start_process(now);
                    }
                    one.member.apply(now, &request).ok().flatten()
                }
                Command::Restart => {
                    one.restarted_for = Some((EPOCH, stages_begun));
                    one.start_process(now);
                    None
                }
                Command::Confirm => one.member.confirm(&request).ok().flatten(),
                Command::Renew => {
                    let _ = one.member.renew(now, &request);
                    None
                }
                Command::Revert => {
                    one.stored_record = one.member.revert(&request).ok().or(one.stored_record.take());
                    None
                }
            };
            if let Some(transition) = transition {
                one.stored_record = Some(transition.record.clone());
                one.member.commit(transition);
            }
        }
        delayed = duplicated;
    }
    let mut final_epochs = BTreeMap::new();
    fleet.iter().for_each(|one| *final_epochs.entry(one.member.active().epoch).or_default() += 1);
    let unconfirmed = fleet.iter().filter(|one| one.member.record().unconfirmed).count();
    Outcome {
        journal: stored_journal,
        max_changed,
        expired_unconfirmed,
        max_refused,
        final_epochs,
        unconfirmed,
        finished_at,
    }
}

/// Checks what has to hold after every rollout: it has finished, and all members have the same confirmed epoch.
fn check_consistency(seed: u64, outcome: &Outcome) {
    assert_eq!(outcome.expired_unconfirmed, 0, "seed {seed}: unconfirmed after its timeout");
    assert_eq!(
        (outcome.final_epochs.len(), outcome.unconfirmed),
        (1, 0),
        "seed {seed}: {:?} {:?}",
        outcome.final_epochs,
        outcome.journal
    );
    assert!(outcome.journal.is_finished(), "seed {seed}: {:?}", outcome.journal);
    let epoch = if outcome.journal.phase == Phase::Done { EPOCH } else { 0 };
    assert!(
        outcome.final_epochs.contains_key(&epoch),
        "seed {seed}: {:?} {:?}",
        outcome.final_epochs,
        outcome.journal
    );
}

#[test]
fn good_change_completes_despite_message_loss_kills_and_a_common_fault() {
    for seed in 0..40 {
        let common_fault_ms = (seed % 2 == 1).then_some((14_000, 24_000));
        let cut_until_ms = (seed % 4 == 2).then_some(25_000);
        let scenario = Scenario {
            message_loss: 0.1,
            controller_kills: 0.003,
            common_fault_ms,
            cut_until_ms,
            ..Scenario::default()
        };
        let outcome = simulate(seed, scenario);
        check_consistency(seed, &outcome);
        assert_eq!(outcome.journal.phase, Phase::Done, "seed {seed}: {}", outcome.journal.reason);
    }
}

#[test]
fn bad_change_is_undone_at_the_canaries() {
    let bad = [
        Scenario { loss_increase: 0.05, ..Scenario::default() },
        Scenario { loss_increase: 0.5, ..Scenario::default() },
        Scenario { origin_attempt_increase: 0.5, ..Scenario::default() },
        Scenario { crash_after_ms: Some(3_000), ..Scenario::default() },
    ];
    for seed in 0..40 {
        let common_fault_ms = (seed % 3 == 1).then_some((6_000, 12_000));
        let scenario = Scenario { message_loss: 0.1, common_fault_ms, ..bad[seed as usize % bad.len()] };
        let outcome = simulate(seed, scenario);
        check_consistency(seed, &outcome);
        assert_eq!(
            (outcome.journal.phase, outcome.max_changed),
            (Phase::Undone, 3),
            "seed {seed}: {:?}",
            outcome.journal
        );
    }
}

/// Harm that affects old and new members alike does not show in a comparison; it is found by reverting the last stage.
#[test]
fn harm_to_all_members_is_found_by_reverting_the_stage() {
    for seed in 0..20 {
        let scenario = Scenario { common_loss_from: Some(8), message_loss: 0.05, ..Scenario::default() };
        let outcome = simulate(seed, scenario);
        check_consistency(seed, &outcome);
        assert_eq!(
            (outcome.journal.phase, outcome.max_changed),
            (Phase::Undone, 8),
            "seed {seed}: {:?}",
            outcome.journal
        );
        assert!(outcome.journal.reason.contains("worse together"), "{}", outcome.journal.reason);
    }
}

#[test]
fn frequent_kills_of_controller_and_members_leave_one_epoch_active() {
    let mut finished = 0;
    for seed in 0..30 {
        let scenario = Scenario {
            message_loss: 0.1,
            controller_kills: 0.02,
            member_kills: 0.004,
            ..Scenario::default()
        };
        let outcome = simulate(seed, scenario);
        check_consistency(seed, &outcome);
        finished += usize::from(outcome.finished_at > 0);
    }
    assert!(finished >= 28, "{finished} of 30 were finished by a running controller");
}

/// Guards against judging a new version by the warm-up of its process: compared with old members that did not restart,
/// every good version would be undone.
#[test]
fn process_warm_up_is_not_counted_as_harm() {
    let scenario = |restart_controls| Scenario {
        warm_up_attempts: 0.3,
        restart_controls,
        message_loss: 0.05,
        ..Scenario::default()
    };
    let done = |restart_controls| {
        let is_done = |&seed: &u64| simulate(seed, scenario(restart_controls)).journal.phase == Phase::Done;
        (0..10).filter(is_done).count()
    };
    assert_eq!((done(true), done(false)), (10, 0), "with restarted controls, and without");
    for seed in 0..10 {
        let outcome = simulate(seed, Scenario { origin_attempt_increase: 0.5, ..scenario(true) });
        check_consistency(seed, &outcome);
        assert_eq!(
            (outcome.journal.phase, outcome.max_changed),
            (Phase::Undone, 3),
            "seed {seed}: {:?}",
            outcome.journal
        );
    }
}

#[test]
fn memory_leak_is_undone_at_the_canaries() {
    for seed in 0..10 {
        let scenario = Scenario { leak_kb_per_s: 4_000, message_loss: 0.05, ..Scenario::default() };
        let outcome = simulate(seed, scenario);
        check_consistency(seed, &outcome);
        assert_eq!(
            (outcome.journal.phase, outcome.max_changed),
            (Phase::Undone, 3),
            "seed {seed}: {:?}",
            outcome.journal
        );
        assert!(outcome.journal.reason.contains("memory"), "{}", outcome.journal.reason);
    }
}

/// 24 members send 36 origin attempts per round. Each member that changes adds an attempt for every second request for
/// five seconds, since its moved keys are cold.
#[test]
fn change_that_moves_keys_is_paced_by_the_origin_capacity() {
    for seed in 0..10 {
        let scenario = Scenario { moved_key_attempts: 0.5, ..Scenario::default() };
        let ample = simulate(seed, Scenario { origin_capacity: Some(1_000), ..scenario });
        let tight = simulate(seed, Scenario { origin_capacity: Some(70), ..scenario });
        check_consistency(seed, &tight);
        assert_eq!(
            (ample.journal.phase, tight.journal.phase),
            (Phase::Done, Phase::Done),
            "seed {seed}: {} {}; {}",
            ample.journal.reason,
            ample.max_changed,
            tight.journal.reason
        );
        // All 16 members of the last stage at once would need 36 + 16 * 7.5 attempts, of which 86 would be refused.
        assert!(
            tight.max_refused <= 60 && tight.finished_at > ample.finished_at,
            "{} refused",
            tight.max_refused
        );
    }
}

/// A controller that is killed every few seconds sees too little by itself; with the stored evidence it decides sooner.
#[test]
fn evidence_outlives_the_controller() {
    let scenario = |restores_evidence| Scenario {
        loss_increase: 0.05,
        controller_kills: 0.06,
        restores_evidence,
        ..Scenario::default()
    };
    let undone = |restores_evidence| {
        let outcomes = (0..20).map(|seed| simulate(seed, scenario(restores_evidence)));
        let undone = outcomes.filter(|outcome| outcome.journal.phase == Phase::Undone);
        let mut times: Vec<u64> = undone.map(|outcome| outcome.finished_at).collect();
        times.sort_unstable();
        (times.len(), times.get(times.len() / 2).copied())
    };
    let (restored, lost) = (undone(true), undone(false));
    assert_eq!(restored.0, 20, "{restored:?}");
    assert!(restored.1 < lost.1, "{restored:?} and {lost:?}");
}
