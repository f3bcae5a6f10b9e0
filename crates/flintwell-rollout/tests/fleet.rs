//! Whole fleets in virtual time: the real members and the real conductor, words lost, doubled and late, whoever rolls
//! out killed between any two of its steps, members killed and cut off, troubles that meet old and new alike.

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

const TURN: u64 = 250; // ms a round
const RATE: u64 = 15; // requests a member and round
const EPOCH: u64 = 1;
const KILLED: u64 = 1_000; // rounds; then whoever rolls out lives, and has to come to an end

/// What the change does, and what happens beside it.
#[derive(Clone, Copy, Default)]
struct Day {
    /// Lost of a hundred requests of those that have the change, beside one of all.
    harm: f64,
    /// Lost by all, old and new, once so many members have it.
    together: Option<usize>,
    /// RequestCounts so long after it got the change, ms.
    crash: Option<u64>,
    /// Fetches a request more.
    fetches: f64,
    /// Words lost.
    loss: f64,
    /// The chance, a round, that whoever rolls out is killed, and stays away for some rounds.
    kills: f64,
    /// What a stage was judged by outlives a kill.
    recalls: bool,
    /// The chance, a round, that some member is killed.
    member_kills: f64,
    /// From and until when all lose a third of their requests, ms.
    fault: Option<(u64, u64)>,
    /// What a fresh process fetches more a request for its first ten seconds; and whether old ones begin anew beside.
    learns: f64,
    controls: bool,
    /// kB a second that those with the change take more.
    leaks: u64,
    /// Fetches that the origin takes a round, where it has a limit; and fetches a request that one with the change adds
    /// for its first five seconds, as its moved keys are cold.
    room: Option<u64>,
    moves: f64,
    /// Until when a member is cut off from whoever rolls out, from ten seconds on.
    cut: Option<u64>,
}

struct One {
    member: Member,
    disk: Option<Record>,
    again: Option<(u64, usize)>,
    started: u64,
    carried_since: Option<u64>,
    figures: MemberCounters,
}

impl One {
    fn fresh(&mut self, now: u64) {
        self.started = now + 1;
        self.figures = MemberCounters { started_ms: self.started, ..MemberCounters::default() };
    }
}

struct Play {
    journal: Journal,
    /// The most that had the change at once.
    most: usize,
    lost_past_time: usize,
    /// Fetches refused in the worst round.
    refused: u64,
    ends: BTreeMap<u64, usize>,
    unconfirmed: usize,
    ended_at: u64,
}

fn rules() -> RolloutConfig {
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

fn configured() -> Value {
    json!({"v": 0})
}

fn play(seed: u64, day: Day) -> Play {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let places: Vec<FleetMember> =
        (0..24).map(|n| FleetMember { name: format!("n{n}"), zone: ["a", "b", "c"][n % 3].into() }).collect();
    let places = interleave_zones(&places);
    let stages = vec![3, 8, 24];
    let mut fleet: Vec<One> = places
        .iter()
        .map(|_| One {
            member: Member::new("f", None, &configured()),
            disk: None,
            again: None,
            started: 1,
            carried_since: None,
            figures: MemberCounters::default(),
        })
        .collect();
    let begin = |now, journal: &Journal| {
        let hash = hash(&json!({"v": 1}));
        let members = places.iter().map(|place| (place.clone(), hash.clone())).collect();
        Controller::new(
            now,
            RolloutConfig {
                restart_controls: day.controls,
                settle_ms: if day.moves > 0.0 { 6_000 } else { 500 },
                ..rules()
            },
            members,
            stages.clone(),
            journal.clone(),
        )
    };
    let mut disk = Journal::new(EPOCH);
    let mut conductor = Some(begin(0, &disk));
    let (mut kept, mut worst) = (None, 0);
    let (mut away, mut late): (u64, Vec<(usize, Command)>) = (0, Vec::new());
    let (mut most, mut lost_past_time, mut ended_at) = (0, 0, 0);
    // Long enough for every time to run out once it is over.
    for round in 0..2_400u64 {
        let now = round * TURN;
        // Members: time, crashes, traffic.
        let having = fleet.iter().filter(|one| one.member.active().epoch == EPOCH).count();
        most = most.max(having);
        let fault = day.fault.is_some_and(|(from, to)| (from..to).contains(&now));
        let (mut asked, mut fetched) = (0, Vec::new());
        for one in &mut fleet {
            if let Some(record) = one.member.tick(now) {
                one.disk = Some(record);
            }
            let new = one.member.active().epoch == EPOCH;
            one.carried_since = new.then(|| one.carried_since.unwrap_or(now));
            let due = day.crash.zip(one.carried_since).is_some_and(|(after, since)| now >= since + after);
            if due || rng.random::<f64>() < day.member_kills / 24.0 {
                one.member = Member::new("f", one.disk.clone(), &configured());
                one.carried_since = None;
                one.fresh(now);
            }
            let new = one.member.active().epoch == EPOCH;
            let together = day.together.is_some_and(|most| having >= most);
            let rate = 0.01 + if new { day.harm } else { 0.0 } + if fault || together { 0.3 } else { 0.0 };
            let lost = Binomial::new(RATE, rate).expect("a rate").sample(&mut rng);
            let fresh = now < one.started + 10_000 && one.started > 1;
            let since = one.carried_since.map_or(u64::MAX, |since| now - since);
            let moved = if since < 5_000 { day.moves } else { 0.0 };
            let fetches =
                0.1 + if new { day.fetches } else { 0.0 } + if fresh { day.learns } else { 0.0 } + moved;
            let figures = &mut one.figures;
            let ends = figures.classes.entry("read".into()).or_default();
            *ends =
                RequestCounts { served: ends.served + RATE - lost, refused: ends.refused + lost, failed: 0 };
            figures.attempts += RATE;
            let fetches = Binomial::new(RATE, fetches).expect("a rate").sample(&mut rng);
            figures.origin_attempts += fetches;
            asked += fetches;
            fetched.push(fetches);
            figures.memory_kb = 5_000 + if new { day.leaks * since / 1_000 } else { 0 };
            let status = one.member.status(now, "", "", one.started);
            lost_past_time += usize::from(status.unconfirmed && status.remaining_ms == 0);
        }
        // The origin refuses what is over its room, of each member its part.
        let refused = day.room.map_or(0, |room| asked.saturating_sub(room));
        worst = worst.max(refused);
        for (one, fetches) in fleet.iter_mut().zip(fetched) {
            one.figures.origin_refusals += refused * fetches / asked.max(1);
        }
        // Whoever rolls out.
        if conductor.is_none() && away == 0 && !disk.is_finished() {
            conductor = Some(begin(now, &disk));
            let recalled = kept.clone().filter(|_| day.recalls);
            recalled.into_iter().for_each(|kept| {
                conductor.iter_mut().for_each(|running| running.restore_evidence(Evidence::clone(&kept)))
            });
        }
        away = away.saturating_sub(1);
        let Some(running) = &mut conductor else { continue };
        let cut = |n: usize| n == 1 && now >= 10_000 && day.cut.is_some_and(|until| now < until);
        for (n, one) in fleet.iter().enumerate() {
            if cut(n) || rng.random::<f64>() < day.loss {
                continue;
            }
            let mut status = one.member.status(now, &places[n].name, "1", one.started);
            status.fleet = "f".into();
            status.restarted_for = one.again;
            let figures =
                MemberCounters { epoch: status.epoch, started_ms: one.started, ..one.figures.clone() };
            running.on_report(now, n, status, Some(figures));
        }
        let words = running.step(now);
        let stage_now = running.journal().stages_begun;
        // Killed before, between or after its write and its words.
        if round < KILLED && rng.random::<f64>() < day.kills {
            if rng.random::<bool>() {
                disk = running.journal().clone();
            }
            (conductor, away) = (None, rng.random_range(1..40));
            continue;
        }
        disk = running.journal().clone();
        kept = Some(running.evidence());
        if disk.is_finished() {
            ended_at = now;
            conductor = None;
            continue;
        }
        // What came late of the round before comes again now.
        let doubled: Vec<(usize, Command)> =
            words.iter().filter(|_| rng.random::<f64>() < day.loss).copied().collect();
        for (n, word) in late.drain(..).chain(words) {
            if cut(n) || rng.random::<f64>() < day.loss {
                continue;
            }
            let one = &mut fleet[n];
            let settings = json!({"v": 1});
            let named = EpochRequest {
                protocol: PROTOCOL_VERSION,
                fleet: "f".into(),
                epoch: EPOCH,
                hash: hash(&settings),
                confirm_timeout_ms: rules().confirm_timeout_ms,
                stage: 0,
            };
            let step = match word {
                Command::Stage => {
                    let (fleet, hash) = ("f".into(), hash(&settings));
                    let stage =
                        StageRequest { protocol: PROTOCOL_VERSION, fleet, epoch: EPOCH, hash, settings };
                    one.member.stage(&stage, |_, _| Ok(())).ok()
                }
                Command::Apply => {
                    // A version begins its process anew.
                    if day.learns > 0.0 && one.member.active().epoch != EPOCH {
                        one.fresh(now);
                    }
                    one.member.apply(now, &named).ok().flatten()
                }
                Command::Restart => {
                    one.again = Some((EPOCH, stage_now));
                    one.fresh(now);
                    None
                }
                Command::Confirm => one.member.confirm(&named).ok().flatten(),
                Command::Renew => {
                    let _ = one.member.renew(now, &named);
                    None
                }
                Command::Revert => {
                    one.disk = one.member.revert(&named).ok().or(one.disk.take());
                    None
                }
            };
            if let Some(step) = step {
                one.disk = Some(step.record.clone());
                one.member.commit(step);
            }
        }
        late = doubled;
    }
    let mut ends = BTreeMap::new();
    fleet.iter().for_each(|one| *ends.entry(one.member.active().epoch).or_default() += 1);
    let unconfirmed = fleet.iter().filter(|one| one.member.record().unconfirmed).count();
    Play { journal: disk, most, lost_past_time, refused: worst, ends, unconfirmed, ended_at }
}

/// What has to hold however a rollout went.
fn whole(seed: u64, play: &Play) {
    assert_eq!(play.lost_past_time, 0, "seed {seed}: unconfirmed past its time");
    assert_eq!(
        (play.ends.len(), play.unconfirmed),
        (1, 0),
        "seed {seed}: {:?} {:?}",
        play.ends,
        play.journal
    );
    assert!(play.journal.is_finished(), "seed {seed}: {:?}", play.journal);
    let epoch = if play.journal.phase == Phase::Done { EPOCH } else { 0 };
    assert!(play.ends.contains_key(&epoch), "seed {seed}: {:?} {:?}", play.ends, play.journal);
}

#[test]
fn good_changes_reach_all_through_lost_words_kills_and_a_fault_that_meets_all() {
    for seed in 0..40 {
        let fault = (seed % 2 == 1).then_some((14_000, 24_000));
        let cut = (seed % 4 == 2).then_some(25_000);
        let day = Day { loss: 0.1, kills: 0.003, fault, cut, ..Day::default() };
        let play = play(seed, day);
        whole(seed, &play);
        assert_eq!(play.journal.phase, Phase::Done, "seed {seed}: {}", play.journal.reason);
    }
}

#[test]
fn bad_changes_go_no_further_than_the_stage_that_shows_them() {
    let bad = [
        Day { harm: 0.05, ..Day::default() },
        Day { harm: 0.5, ..Day::default() },
        Day { fetches: 0.5, ..Day::default() },
        Day { crash: Some(3_000), ..Day::default() },
    ];
    for seed in 0..40 {
        let fault = (seed % 3 == 1).then_some((6_000, 12_000));
        let day = Day { loss: 0.1, fault, ..bad[seed as usize % bad.len()] };
        let play = play(seed, day);
        whole(seed, &play);
        assert_eq!((play.journal.phase, play.most), (Phase::Undone, 3), "seed {seed}: {:?}", play.journal);
    }
}

#[test]
fn harm_that_meets_all_once_some_have_it_is_found_by_taking_the_stage_back() {
    for seed in 0..20 {
        let play = play(seed, Day { together: Some(8), loss: 0.05, ..Day::default() });
        whole(seed, &play);
        assert_eq!((play.journal.phase, play.most), (Phase::Undone, 8), "seed {seed}: {:?}", play.journal);
        assert!(play.journal.reason.contains("worse together"), "{}", play.journal.reason);
    }
}

#[test]
fn a_hundred_kills_of_one_who_rolls_out_and_fifty_of_members_leave_one_epoch_active() {
    let mut ended = 0;
    for seed in 0..30 {
        let play = play(seed, Day { loss: 0.1, kills: 0.02, member_kills: 0.004, ..Day::default() });
        whole(seed, &play);
        ended += usize::from(play.ended_at > 0);
    }
    assert!(ended >= 28, "{ended} of 30 ended with whoever rolls out alive");
}

#[test]
fn what_a_fresh_process_has_to_learn_is_no_harm_of_its_version() {
    let day = |controls| Day { learns: 0.3, controls, loss: 0.05, ..Day::default() };
    let ended =
        |controls| (0..10).filter(|&seed| play(seed, day(controls)).journal.phase == Phase::Done).count();
    assert_eq!(
        (ended(true), ended(false)),
        (10, 0),
        "beside fresh ones of the old version, and beside old ones"
    );
    for seed in 0..10 {
        let play = play(seed, Day { fetches: 0.5, ..day(true) });
        whole(seed, &play);
        assert_eq!((play.journal.phase, play.most), (Phase::Undone, 3), "seed {seed}: {:?}", play.journal);
    }
}

#[test]
fn a_version_that_leaks_is_undone_at_the_canaries() {
    for seed in 0..10 {
        let play = play(seed, Day { leaks: 4_000, loss: 0.05, ..Day::default() });
        whole(seed, &play);
        assert_eq!((play.journal.phase, play.most), (Phase::Undone, 3), "seed {seed}: {:?}", play.journal);
        assert!(play.journal.reason.contains("memory"), "{}", play.journal.reason);
    }
}

/// 24 members ask for 36 fetches a round; each that changes adds half a request' worth of fetches for five seconds.
#[test]
fn a_change_that_moves_homes_goes_at_the_pace_of_the_origins_room() {
    for seed in 0..10 {
        let day = Day { moves: 0.5, ..Day::default() };
        let free = play(seed, Day { room: Some(1_000), ..day });
        let tight = play(seed, Day { room: Some(70), ..day });
        whole(seed, &tight);
        assert_eq!(
            (free.journal.phase, tight.journal.phase),
            (Phase::Done, Phase::Done),
            "seed {seed}: {} {}; {}",
            free.journal.reason,
            free.most,
            tight.journal.reason
        );
        // All sixteen of the last stage at once would ask for 36 + 16 * 7.5, and 86 of those would be refused.
        assert!(tight.refused <= 60 && tight.ended_at > free.ended_at, "{} refused", tight.refused);
    }
}

/// Killed every few seconds, no one of them sees enough; together they do.
#[test]
fn what_a_stage_was_judged_by_outlives_whoever_rolls_out() {
    let day = |recalls| Day { harm: 0.05, kills: 0.06, recalls, ..Day::default() };
    let undone = |recalls| {
        let took = (0..20).map(|seed| play(seed, day(recalls)));
        let mut took: Vec<u64> =
            took.filter(|one| one.journal.phase == Phase::Undone).map(|one| one.ended_at).collect();
        took.sort_unstable();
        (took.len(), took.get(took.len() / 2).copied())
    };
    let (kept, forgotten) = (undone(true), undone(false));
    assert_eq!(kept.0, 20, "{kept:?}");
    assert!(kept.1 < forgotten.1, "{kept:?} and {forgotten:?}");
}
