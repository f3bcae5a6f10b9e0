//! The one who rolls out: a state machine over what members say of themselves. What it has decided lies in a journal
//! before a word goes out; all else is worked out anew from the members' own words, so that it goes on after its end at
//! any point, and every word may be lost, doubled or late.

use crate::judge::{Judge, JudgeConfig, SLOW_QUANTILES, Sample, SamplePair, Verdict};
use crate::wire::{MemberCounters, Status, decode_histogram, new_latency_histogram};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const RECENT: u64 = 3_000; // ms; over which the old ones' losses are looked at, some steps of a second each
const TIMES: u64 = 5_000; // ms; a spell of the old ones' times, of which the last two count
const RECENT_LEAST: u64 = 60; // requests within it; under that a share says nothing
const SHOWN: u32 = 2; // recoveries at which harm that meets all counts as the change's doing
const RECOVERED: f64 = 0.5; // of the limit at which both count as worse; under it they are well again
const LATE: u64 = 2_000; // ms past its time after which a member that is not heard has gone back for sure
const TURNS: usize = 24; // rounds in which a whole fleet changes at the quickest, so that the origin's answer is seen between
const ROOM: f64 = 0.1; // of fetches refused, above what was refused while observed; from there the origin has no room
const ROOM_SEEN: u64 = 1_000; // ms; over which its refusals are looked at: longer, and more has changed meanwhile
const ROOM_LEAST: u64 = 20; // fetches within it; under that a share says nothing
const MEMORY_LEAST: u64 = 16_384; // kB more than the old ones; less is no leak, whatever the ratio

/// What a stage was judged by so far. Kept beside the journal, so that a kill costs what came since it was written and
/// no more; without it the stage's evidence would begin anew, and its chance of a false stop with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    epoch: u64,
    stages: usize,
    judge: Judge,
    base: (u64, u64),
    base_room: (u64, u64),
}

/// One proxy of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FleetMember {
    pub name: String,
    pub zone: String,
}

/// What a plan says of times and limits; times in ms.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutConfig {
    /// Watched with nothing changed, to know what the groups differ by anyway.
    pub observe_ms: u64,
    /// After a stage's last member has changed, before it is judged.
    pub settle_ms: u64,
    /// At least so long is each stage judged.
    pub watch_ms: u64,
    /// Requests of the new that each stage is judged by at least, where there are old ones beside.
    pub min_requests: u64,
    /// A change stays so long without our word.
    pub confirm_timeout_ms: u64,
    /// A member not heard for so long is unheard.
    pub unreachable_after_ms: u64,
    /// Both worse for so long: a stage goes back to see whether the old ones recover.
    pub trial_revert_after_ms: u64,
    pub min_detectable_loss: f64,
    pub max_false_stop_probability: f64,
    /// The old ones' losses, above those while observed, from which on both count as worse.
    pub max_common_loss_increase: f64,
    /// Times the old ones' memory.
    pub max_memory_ratio: f64,
    /// A change begins its process anew: so as many old ones do, and only those are compared with. What a fresh
    /// process has to learn is the same on both sides then.
    pub restart_controls: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    Observing,
    Rolling,
    Confirming,
    Done,
    Undoing,
    Undone,
}

/// What lies on disk before it is acted on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Journal {
    pub epoch: u64,
    pub phase: Phase,
    /// Stages begun.
    #[serde(rename = "stages")]
    pub stages_begun: usize,
    /// The last stage is back for a while, to see whether it is to blame.
    #[serde(rename = "back")]
    pub stage_reverted: bool,
    /// Of the stages so tried, the last one.
    #[serde(rename = "tried")]
    pub last_trial_stage: usize,
    /// How often the old ones recovered then. Once may be chance: what ailed them may have ended just then.
    #[serde(rename = "recovered")]
    pub recoveries: u32,
    pub paused: bool,
    #[serde(rename = "why")]
    pub reason: String,
}

impl Journal {
    pub fn new(epoch: u64) -> Self {
        Journal {
            epoch,
            phase: Phase::Observing,
            stages_begun: 0,
            stage_reverted: false,
            last_trial_stage: 0,
            recoveries: 0,
            paused: false,
            reason: String::new(),
        }
    }
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::Undone)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Command {
    Stage,
    Apply,
    Renew,
    Confirm,
    Revert,
    /// Begin anew with what you have.
    Restart,
}

/// What was heard of a member last.
#[derive(Clone, Debug, Default)]
struct Heard {
    at: u64,
    status: Option<Status>,
    figures: Option<MemberCounters>,
    times: Option<Histogram<u64>>,
    /// Since its last word with the change in force.
    delta: Option<(bool, Sample)>,
    /// It runs the change, since this process's start.
    carried: Option<u64>,
    /// Its time is up at the latest then.
    until: u64,
    refused: Option<String>,
}

pub struct Controller {
    config: RolloutConfig,
    members: Vec<FleetMember>,
    /// Of what each member is to get. Danger: another's change may stand there under the same number.
    hashes: Vec<String>,
    /// How many members have the change after each stage; they come in the members' order.
    stages: Vec<usize>,
    journal: Journal,
    heard: Vec<Heard>,
    judge: Judge,
    /// When the phase was reached, or the stage as it is now by all its members, and they have settled.
    reached: Option<u64>,
    began: u64,
    /// Lost and all of the old ones, by when they were told.
    recent: Vec<(u64, u64, u64)>,
    base: (u64, u64),
    /// Refused by the origin and sent to it, of all members, by when they were told; and while observed.
    room: Vec<(u64, u64, u64)>,
    base_room: (u64, u64),
    /// Since when the stage waits for the origin's room.
    short_since: Option<u64>,
    worse_since: Option<u64>,
    /// Of the old ones, within this spell and the one before.
    old_times: [Histogram<u64>; 2],
    spell: u64,
    restarts: (u64, u64),
    hold: Option<String>,
}

/// Members in the order in which they change: one of each zone first, then zone by zone in turn.
pub fn interleave_zones(members: &[FleetMember]) -> Vec<FleetMember> {
    let mut zones: BTreeMap<&str, Vec<&FleetMember>> = BTreeMap::new();
    members.iter().for_each(|member| zones.entry(&member.zone).or_default().push(member));
    let most = zones.values().map(Vec::len).max().unwrap_or(0);
    let turn = |n: usize| zones.values().filter_map(move |zone| zone.get(n));
    (0..most).flat_map(turn).map(|place| (*place).clone()).collect()
}

impl Controller {
    /// `members` in their turns, with the hash of what each is to get; `journal` as it lies on disk.
    pub fn new(
        now: u64,
        config: RolloutConfig,
        members: Vec<(FleetMember, String)>,
        stages: Vec<usize>,
        journal: Journal,
    ) -> Self {
        let (members, hashes): (Vec<FleetMember>, Vec<String>) = members.into_iter().unzip();
        let judge = Judge::new(JudgeConfig {
            min_detectable_loss: config.min_detectable_loss,
            max_false_stop_probability: config.max_false_stop_probability,
            stage_count: stages.len(),
        });
        Controller {
            config,
            heard: vec![Heard::default(); members.len()],
            members,
            hashes,
            stages,
            journal,
            judge,
            reached: None,
            began: now,
            recent: Vec::new(),
            base: (0, 0),
            room: Vec::new(),
            base_room: (0, 0),
            short_since: None,
            worse_since: None,
            old_times: [new_latency_histogram(), new_latency_histogram()],
            spell: now,
            restarts: (0, 0),
            hold: None,
        }
    }

    pub fn journal(&self) -> &Journal {
        &self.journal
    }
    /// To be kept, where it may be asked for again.
    pub fn evidence(&self) -> Evidence {
        let Journal { epoch, stages_begun: stages, .. } = self.journal;
        let (judge, base, base_room) = (self.judge.clone(), self.base, self.base_room);
        Evidence { epoch, stages, judge, base, base_room }
    }
    /// What was kept by whoever rolled out before us. Of an earlier stage only what was observed still counts.
    pub fn restore_evidence(&mut self, kept: Evidence) {
        if kept.epoch != self.journal.epoch || self.journal.phase != Phase::Rolling {
            return;
        }
        (self.judge, self.base, self.base_room) = (kept.judge, kept.base, kept.base_room);
        if kept.stages != self.journal.stages_begun {
            self.judge.start_stage();
        }
    }
    /// Why it neither goes on nor back.
    pub fn hold_reason(&self) -> Option<&str> {
        self.hold.as_deref()
    }
    pub fn verdict(&self) -> Verdict {
        self.judge.verdict()
    }
    pub fn status(&self, n: usize) -> Option<&Status> {
        self.heard[n].status.as_ref()
    }
    pub fn refusal(&self, n: usize) -> Option<&str> {
        self.heard[n].refused.as_deref()
    }

    /// The staff's words.
    pub fn set_paused(&mut self, paused: bool) {
        self.journal.paused = paused;
    }
    pub fn undo(&mut self, why: &str) {
        if !matches!(self.journal.phase, Phase::Undone | Phase::Undoing) {
            (self.journal.phase, self.journal.reason) = (Phase::Undoing, why.into());
        }
    }

    /// How many members should have the change now.
    fn wanted(&self) -> usize {
        match self.journal.phase {
            Phase::Observing | Phase::Undoing | Phase::Undone => 0,
            Phase::Rolling => {
                let stages = self.journal.stages_begun - usize::from(self.journal.stage_reverted);
                if stages == 0 { 0 } else { self.stages[stages - 1] }
            }
            Phase::Confirming | Phase::Done => self.members.len(),
        }
    }

    /// The old ones that begin anew beside this stage's new: the next in turn, as many as there are new, or the rest.
    fn controls(&self) -> std::ops::Range<usize> {
        let wanted = self.wanted();
        let rolling = self.journal.phase == Phase::Rolling && self.config.restart_controls;
        wanted..if rolling { (2 * wanted).min(self.members.len()) } else { wanted }
    }

    /// Whether a control has begun anew for this stage.
    fn again(&self, n: usize) -> bool {
        let for_us = (self.journal.epoch, self.journal.stages_begun);
        self.heard[n].status.as_ref().is_some_and(|status| status.restarted_for == Some(for_us))
    }

    fn has(&self, n: usize) -> bool {
        self.heard[n].status.as_ref().is_some_and(|status| self.ours(n, status))
    }

    fn ours(&self, n: usize, status: &Status) -> bool {
        (status.epoch, &status.hash) == (self.journal.epoch, &self.hashes[n])
    }

    fn unheard(&self, now: u64, n: usize) -> bool {
        now > self.heard[n].at.max(self.began) + self.config.unreachable_after_ms
            || self.heard[n].status.is_none()
    }

    /// A member's own word on where it stands and what it counted.
    pub fn on_report(&mut self, now: u64, n: usize, status: Status, figures: Option<MemberCounters>) {
        let ours = self.ours(n, &status);
        let wanted = self.wanted();
        let heard = &mut self.heard[n];
        heard.at = now;
        // Danger: what failed for an earlier change is still told, and is no word on ours.
        if status.staged == Some(self.journal.epoch) {
            heard.refused = status.apply_error.clone().or(heard.refused.take());
        }
        heard.until = if ours && status.unconfirmed { now + status.remaining_ms } else { 0 };
        // Danger: one that ended with the change in force comes back without it, and would be given it again for ever.
        match heard.carried {
            Some(started) if status.started_ms != started => {
                // One that goes back on our word may begin anew for that.
                self.restarts.0 += u64::from(n < wanted);
            }
            _ => {
                // One that began anew on our word has not ended.
                let known = heard.status.as_ref().map(|status| (status.started_ms, status.restarted_for));
                let other = known.is_some_and(|(known, again)| {
                    known != status.started_ms && again == status.restarted_for
                });
                self.restarts.1 += u64::from(other && !ours);
            }
        }
        heard.carried = ours.then_some(status.started_ms);
        let times = figures.as_ref().and_then(|figures| decode_histogram(&figures.latencies));
        let last = heard.figures.take();
        let same = |last: &MemberCounters, new: &MemberCounters| {
            (last.started_ms, last.epoch) == (new.started_ms, new.epoch) && new.epoch == status.epoch
        };
        if let (Some(last), Some(new)) = (last, figures.as_ref())
            && same(&last, new)
        {
            // Danger: times of a cold start would stay among them, and what is slow now would look quick beside.
            if now >= self.spell + TIMES {
                self.spell = now;
                self.old_times.swap(0, 1);
                self.old_times[0].reset();
            }
            let [current, before] = &self.old_times;
            let mut both = before.clone();
            let _ = both.add(current);
            let slow_from = Judge::slow_thresholds(&both);
            let mut passed = times.clone();
            if let (Some(passed), Some(before)) = (&mut passed, &heard.times) {
                // One that can't be taken off was of another process.
                let _ = passed.subtract(before);
            }
            let of = |told: fn(&MemberCounters) -> u64| told(new).saturating_sub(told(&last));
            self.room.push((now, of(|told| told.origin_refusals), of(|told| told.origin_attempts)));
            let sample = between(&last, new, passed.as_ref(), slow_from);
            if !ours {
                // Bounds are alike, or it would not have been read.
                let _ = passed.map(|passed| self.old_times[0].add(&passed));
                let lost = sample.losses.values().map(|one| one.0).sum();
                self.recent.push((now, lost, sample.requests));
            }
            heard.delta = Some((ours, sample));
        }
        (heard.status, heard.figures, heard.times) = (Some(status), figures, times);
    }

    /// Where a member stands after a word, as its answer says.
    pub fn on_status(&mut self, now: u64, n: usize, status: Status) {
        let ours = self.ours(n, &status);
        let heard = &mut self.heard[n];
        // An end of its process is told by `hears` alone.
        if heard.status.as_ref().is_some_and(|known| known.started_ms == status.started_ms) {
            heard.carried = ours.then_some(status.started_ms);
            heard.until = if ours && status.unconfirmed { now + status.remaining_ms } else { 0 };
            (heard.at, heard.status) = (now, Some(status));
        }
    }

    /// What a member would not do.
    pub fn on_refusal(&mut self, n: usize, why: String) {
        self.heard[n].refused = Some(why);
    }

    /// Looks at all, decides, and says what each member is to be told. The journal has to lie on disk before that.
    pub fn step(&mut self, now: u64) -> Vec<(usize, Command)> {
        self.judges(now);
        let before = (self.journal.phase, self.journal.stages_begun);
        self.decides(now);
        if (self.journal.phase, self.journal.stages_begun) != before {
            (self.reached, self.worse_since, self.short_since) = (None, None, None);
        }
        self.words(now)
    }

    /// New beside old, zone by zone, in what all told since the last look.
    fn judges(&mut self, now: u64) {
        let mut zones: BTreeMap<&str, SamplePair> = BTreeMap::new();
        let carriers = match self.journal.phase {
            // As it will be at the first stage.
            Phase::Observing => self.stages.first().copied().unwrap_or(0),
            _ => 0,
        };
        let controls = self.controls();
        // Danger: a change that itself leaves the origin no room would wait half-way for ever, and never be judged.
        let waits = self.short_since.is_some_and(|since| now >= since + self.config.settle_ms);
        // Danger: judged while it settles, what every change costs at first would be held against this one.
        let judged = self.reached.is_some_and(|settled| now >= settled) || waits;
        for (n, heard) in self.heard.iter_mut().enumerate() {
            let Some((ours, sample)) = heard.delta.take() else { continue };
            if !controls.is_empty() && !ours && !controls.contains(&n) {
                continue;
            }
            let pair = zones.entry(&self.members[n].zone).or_default();
            let side = if ours || n < carriers { &mut pair.new } else { &mut pair.old };
            side.add(&sample);
        }
        for (zone, pair) in zones {
            match self.journal.phase {
                Phase::Observing => self.judge.record_baseline(zone, &pair),
                Phase::Rolling if judged => self.judge.compare(zone, &pair),
                _ => {}
            }
        }
    }

    /// The old ones' lost and all within the last seconds.
    fn lately(&mut self, now: u64) -> (u64, u64) {
        self.recent.retain(|told| told.0 + RECENT > now);
        self.recent.iter().fold((0, 0), |sum, told| (sum.0 + told.1, sum.1 + told.2))
    }

    /// Why nothing more is begun: the origin refuses more than it did while observed.
    fn short(&mut self, now: u64) -> Option<String> {
        let (refused, all) = self.origin(now);
        let base = self.base_room.0 as f64 / self.base_room.1.max(1) as f64;
        let short = all >= ROOM_LEAST && refused as f64 > (base + ROOM) * all as f64;
        self.short_since = short.then(|| self.short_since.unwrap_or(now));
        short.then(|| format!("the origin refuses {refused} of {all} fetches; going on when it has room"))
    }

    /// Refused by the origin and sent to it within the last second.
    fn origin(&mut self, now: u64) -> (u64, u64) {
        self.room.retain(|told| told.0 + ROOM_SEEN > now);
        self.room.iter().fold((0, 0), |sum, told| (sum.0 + told.1, sum.1 + told.2))
    }

    /// Whether the old ones are worse than while observed, too; none where too little is heard of them.
    fn old_worse(&mut self, now: u64) -> Option<bool> {
        let (lost, all) = self.lately(now);
        let base = self.base.0 as f64 / self.base.1.max(1) as f64;
        let factor = if self.journal.stage_reverted { RECOVERED } else { 1.0 };
        (all >= RECENT_LEAST)
            .then(|| lost as f64 / all as f64 > base + self.config.max_common_loss_increase * factor)
    }

    fn decides(&mut self, now: u64) {
        self.hold = None;
        match self.journal.phase {
            Phase::Observing => self.observes(now),
            Phase::Rolling => self.rolls(now),
            Phase::Confirming => {
                let done = |n: usize| {
                    let told = self.heard[n].status.as_ref();
                    self.has(n) && told.is_some_and(|status| !status.unconfirmed)
                };
                if (0..self.members.len()).all(done) {
                    self.journal.phase = Phase::Done;
                } else {
                    self.hold = self.names(now, "not heard").or(self.refusals());
                }
            }
            Phase::Undoing => {
                // One not heard has gone back by itself once its time is up.
                let back = |n: usize| match self.unheard(now, n) {
                    true => now > self.heard[n].until.max(self.heard[n].at) + LATE && self.heard[n].until > 0,
                    false => !self.has(n),
                };
                if (0..self.members.len()).all(|n| back(n) || self.heard[n].status.is_none()) {
                    self.journal.phase = Phase::Undone;
                } else {
                    self.hold = self.names(now, "not heard");
                }
            }
            Phase::Done | Phase::Undone => {}
        }
    }

    fn observes(&mut self, now: u64) {
        self.hold = self.names(now, "not heard").or(self.paused());
        if self.hold.is_some() {
            // Nothing is known of those; the time counts anew.
            (self.reached, self.base) = (None, (0, 0));
            return;
        }
        let since = *self.reached.get_or_insert(now);
        if now >= since + self.config.observe_ms {
            let lately = self.lately(now);
            (self.base, self.base_room) = (lately, self.origin(now));
            (self.journal.phase, self.journal.stages_begun) = (Phase::Rolling, 1);
        }
    }

    fn rolls(&mut self, now: u64) {
        if let Verdict::Worse(measure, by) = self.judge.verdict() {
            return self.undo(&format!("the new are worse: {measure}, by {:.1} %", by * 100.0));
        }
        let wanted = self.wanted();
        let (new, old) = self.restarts;
        if new * (self.members.len() - wanted).max(1) as u64 > old * wanted.max(1) as u64 {
            return self.undo(&format!("{new} of the new ended and {old} of the old"));
        }
        if let Some(why) = self.leaks() {
            return self.undo(&why);
        }
        if let Some(refused) = self.refusals() {
            return self.undo(&refused);
        }
        match self.old_worse(now) {
            Some(true) => {
                let since = *self.worse_since.get_or_insert(now);
                self.hold = Some("old and new are both worse than before".into());
                if self.journal.stage_reverted && now >= since + 2 * self.config.trial_revert_after_ms {
                    // They do not recover without it: it is not to blame.
                    (self.journal.stage_reverted, self.journal.recoveries, self.worse_since) =
                        (false, 0, None);
                } else if !self.journal.stage_reverted
                    && (self.journal.last_trial_stage < self.journal.stages_begun
                        || self.journal.recoveries > 0)
                    && now >= since + self.config.trial_revert_after_ms
                {
                    (self.journal.stage_reverted, self.journal.last_trial_stage) =
                        (true, self.journal.stages_begun);
                }
                return;
            }
            Some(false) if self.journal.stage_reverted => {
                self.journal.recoveries += 1;
                if self.journal.recoveries >= SHOWN {
                    return self.undo("worse together: the old recovered each time the last stage went back");
                }
                // Forward once more: only what comes again with the change is its doing.
                self.journal.stage_reverted = false;
                (self.reached, self.worse_since) = (None, None);
                self.judge.start_stage();
            }
            Some(false) => self.worse_since = None,
            None => {}
        }
        let ready = (0..wanted).all(|n| self.has(n)) && self.controls().all(|n| self.again(n));
        self.hold = self.names(now, "not heard").or(self.paused());
        if self.hold.is_some() {
            return;
        }
        let short = self.short(now);
        if !ready {
            self.hold = short;
            return;
        }
        let since = *self.reached.get_or_insert(now + self.config.settle_ms);
        let beside = wanted < self.members.len();
        match self.judge.verdict() {
            _ if now < since + self.config.watch_ms => {}
            Verdict::NoHarmFound(judged) if beside && judged < self.config.min_requests => {
                self.hold =
                    Some(format!("too few requests of the new: {judged} of {}", self.config.min_requests));
            }
            _ if self.journal.stages_begun < self.stages.len() => {
                if short.is_some() {
                    self.hold = short;
                    return;
                }
                (self.journal.stages_begun, self.journal.recoveries) = (self.journal.stages_begun + 1, 0);
                self.judge.start_stage();
            }
            _ => self.journal.phase = Phase::Confirming,
        }
    }

    fn leaks(&self) -> Option<String> {
        let mean = |ours: bool| {
            let told = |n: &usize| self.has(*n) == ours;
            let of = (0..self.members.len()).filter(told).filter_map(|n| self.heard[n].figures.as_ref());
            let (sum, count) = of.fold((0, 0), |sum, figures| (sum.0 + figures.memory_kb, sum.1 + 1));
            (count > 0).then(|| sum / count)
        };
        let (new, old) = (mean(true)?, mean(false)?);
        let much = new as f64 > old as f64 * self.config.max_memory_ratio && new > old + MEMORY_LEAST;
        much.then(|| format!("the new take {new} kB of memory, the old {old} kB"))
    }

    fn paused(&self) -> Option<String> {
        self.journal.paused.then(|| "paused".into())
    }

    fn refusals(&self) -> Option<String> {
        let told = self.heard.iter().zip(&self.members);
        let mut told = told.filter_map(|(heard, member)| Some((&member.name, heard.refused.as_ref()?)));
        told.next().map(|(name, why)| format!("{name} refuses: {why}"))
    }

    fn names(&self, now: u64, what: &str) -> Option<String> {
        let named = (0..self.members.len()).filter(|&n| self.unheard(now, n));
        let names: Vec<&str> = named.map(|n| &*self.members[n].name).collect();
        (!names.is_empty()).then(|| format!("{what}: {}", names.join(", ")))
    }

    /// What brings each member one step nearer to where it should be. Who is not heard gets its word too: it may be
    /// only the way back that is cut.
    fn words(&mut self, now: u64) -> Vec<(usize, Command)> {
        let wanted = self.wanted();
        let (mut words, mut applied) = (Vec::new(), 0);
        let pace = self.members.len().div_ceil(TURNS);
        for n in 0..self.members.len() {
            let Some(status) = &self.heard[n].status else { continue };
            let (epoch, heard) = (self.journal.epoch, &self.heard[n]);
            let word = match (self.journal.phase, self.ours(n, status)) {
                (Phase::Observing | Phase::Done | Phase::Undone, _) => None,
                (Phase::Confirming, true) => status.unconfirmed.then_some(Command::Confirm),
                (_, true) if n < wanted => Some(Command::Renew),
                (_, true) => Some(Command::Revert),
                (_, false) if self.controls().contains(&n) && !self.again(n) => Some(Command::Restart),
                (_, false) if n >= wanted => None,
                // Danger: nothing new is begun while it is held, nor given again to one that may have ended of it.
                (Phase::Rolling, false) if self.hold.is_some() || heard.refused.is_some() => None,
                // Danger: a stage of hundreds at once would ask the origin for all their moved keys before it can refuse.
                (Phase::Rolling, false) if status.staged == Some(epoch) && applied >= pace => None,
                (_, false) if status.staged == Some(epoch) => Some(Command::Apply),
                (_, false) => Some(Command::Stage),
            };
            if let Some(word) = word {
                applied += usize::from(word == Command::Apply);
                if matches!(word, Command::Apply | Command::Renew) {
                    self.heard[n].until = now + self.config.confirm_timeout_ms;
                }
                words.push((n, word));
            }
        }
        words
    }
}

/// What a member counted between two of its words.
fn between(
    last: &MemberCounters,
    new: &MemberCounters,
    passed: Option<&Histogram<u64>>,
    slow_from: Option<[u64; SLOW_QUANTILES.len()]>,
) -> Sample {
    let mut sample = Sample {
        attempts: new.attempts.saturating_sub(last.attempts),
        origin_attempts: new.origin_attempts.saturating_sub(last.origin_attempts),
        slow_requests: slow_from.zip(passed).map_or([0; SLOW_QUANTILES.len()], |(from, passed)| {
            from.map(|from| passed.len() - passed.count_between(0, from).min(passed.len()))
        }),
        ..Sample::default()
    };
    for (case, ends) in &new.classes {
        let before = last.classes.get(case).copied().unwrap_or_default();
        let all = ends.total().saturating_sub(before.total());
        let served = ends.served.saturating_sub(before.served);
        sample.requests += all;
        sample.losses.insert(case.clone(), (all.saturating_sub(served), all));
    }
    sample
}
