//! The rollout controller: a state machine over the reports of the members. Its decisions are written to a journal
//! before any request is sent; everything else is derived from the members' reports. The controller can therefore be
//! killed and resumed at any point, and requests may be lost, duplicated or delayed.
//!
//! "New" members run the change, "old" members do not.

use crate::judge::{Judge, JudgeConfig, SLOW_QUANTILES, Sample, SamplePair, Verdict};
use crate::wire::{MemberCounters, Status, decode_histogram, new_latency_histogram};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const LOSS_WINDOW_MS: u64 = 3_000; // several steps of one second each
const MIN_WINDOW_REQUESTS: u64 = 60; // in the loss window; the loss rate of fewer requests is not meaningful
const LATENCY_WINDOW_MS: u64 = 5_000; // the current and the previous window of old members' latencies are used
const RECOVERIES_TO_UNDO: u32 = 2; // after so many recoveries on a trial revert, the change is to blame
const RECOVERY_FACTOR: f64 = 0.5; // of the limit for common losses; below it the old members have recovered
const EXPIRY_SLACK_MS: u64 = 2_000; // after the timeout; an unreachable member has reverted by then
const MIN_ROUNDS_PER_FLEET: usize = 24; // to change a whole fleet, so that the origin's reaction is seen meanwhile
const MAX_REFUSAL_INCREASE: f64 = 0.1; // of the origin's refusal rate over the baseline; above it the origin is full
const REFUSAL_WINDOW_MS: u64 = 1_000; // short, since more members change in the meantime
const MIN_WINDOW_ORIGIN_ATTEMPTS: u64 = 20; // in the refusal window; the rate of fewer attempts is not meaningful
const MIN_MEMORY_EXCESS_KB: u64 = 16_384; // over the old members; less is not a leak, whatever the ratio

/// The evidence on the current stage. It is stored beside the journal, so that a kill of the controller costs only what
/// came after the last write; without it the stage's evidence would start again, and so would its false-stop
/// probability.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    epoch: u64,
    #[serde(rename = "stages")]
    stages_begun: usize,
    judge: Judge,
    #[serde(rename = "base")]
    baseline_losses: (u64, u64),
    #[serde(rename = "base_room")]
    baseline_refusals: (u64, u64),
}

/// One proxy of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FleetMember {
    pub name: String,
    pub zone: String,
}

/// Durations and limits of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutConfig {
    /// Time before the first stage in which the baseline difference between the groups is measured.
    pub observe_ms: u64,
    /// Time between the change of a stage's last member and the start of judging.
    pub settle_ms: u64,
    /// Minimum time for which each stage is judged.
    pub watch_ms: u64,
    /// Minimum number of requests of the new members by which each stage is judged, as long as there are old members.
    pub min_requests: u64,
    /// An applied change is reverted by the member if no request arrives for this time.
    pub confirm_timeout_ms: u64,
    /// A member without a report for this time counts as unreachable.
    pub unreachable_after_ms: u64,
    /// If old and new are both worse for this time, the stage is reverted to see whether the old members recover.
    pub trial_revert_after_ms: u64,
    /// The increase of the share of lost requests that has to be detected.
    pub min_detectable_loss: f64,
    /// Upper bound of the probability of stopping a harmless change.
    pub max_false_stop_probability: f64,
    /// Increase of the old members' loss rate over the baseline above which old and new both count as worse.
    pub max_common_loss_increase: f64,
    /// Largest mean memory of the new members relative to the old ones.
    pub max_memory_ratio: f64,
    /// Set if the change restarts the process. As many old members then restart as well, and only those are compared
    /// with, so that both groups warm up alike.
    pub restart_controls: bool,
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    Observing,
    Rolling,
    Confirming,
    Done,
    Undoing,
    Undone,
}

/// The controller's decisions, written to disk before they are acted on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Journal {
    pub epoch: u64,
    pub phase: Phase,
    /// Number of stages begun.
    #[serde(rename = "stages")]
    pub stages_begun: usize,
    /// The last stage is reverted for a while, to see whether it causes the losses.
    #[serde(rename = "back")]
    pub stage_reverted: bool,
    /// The last stage that was reverted for this reason.
    #[serde(rename = "tried")]
    pub last_trial_stage: usize,
    /// How often the old members recovered during such a trial. One recovery may be chance: an unrelated fault may have
    /// ended at that moment.
    #[serde(rename = "recovered")]
    pub recoveries: u32,
    pub paused: bool,
    /// Why the rollout was undone.
    #[serde(rename = "why")]
    pub reason: String,
}

impl Journal {
    /// The journal of a rollout that has not changed anything yet.
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
    /// Whether the rollout is done or undone.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::Undone)
    }
}

/// Command for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Command {
    Stage,
    Apply,
    Renew,
    Confirm,
    Revert,
    /// Start a fresh process of the same version.
    Restart,
}

/// What is known of a member.
#[derive(Clone, Debug, Default)]
struct MemberState {
    last_seen: u64,
    status: Option<Status>,
    counters: Option<MemberCounters>,
    latencies: Option<Histogram<u64>>,
    /// Whether the member ran the change at its last report, and its counts since the report before.
    new_sample: Option<(bool, Sample)>,
    /// Start time of the process that runs the change; none if the member does not run it.
    changed_process: Option<u64>,
    /// When an unconfirmed change is reverted at the latest.
    expires_at: u64,
    refusal: Option<String>,
}

/// State machine of one rollout.
pub struct Controller {
    config: RolloutConfig,
    members: Vec<FleetMember>,
    /// Hash of each member's target settings. Without it, another controller's change with the same epoch would be
    /// taken for ours.
    target_hashes: Vec<String>,
    /// The number of changed members after each stage, in the members' order.
    stages: Vec<usize>,
    journal: Journal,
    member_states: Vec<MemberState>,
    judge: Judge,
    /// While observing: when all members became reachable. In a stage: when all its members have changed and settled,
    /// which may be in the future.
    measuring_since: Option<u64>,
    started_at: u64,
    /// Lost and all requests of the old members, with the time of the report.
    old_losses: Vec<(u64, u64, u64)>,
    baseline_losses: (u64, u64),
    /// Refused and all origin attempts of all members, with the time of the report.
    origin_refusals: Vec<(u64, u64, u64)>,
    baseline_refusals: (u64, u64),
    /// Since when the origin is too full for further changes.
    origin_full_since: Option<u64>,
    worse_since: Option<u64>,
    /// Latencies of the old members in the current and the previous window.
    old_latencies: [Histogram<u64>; 2],
    latency_window_start: u64,
    /// Process ends of new and of old members.
    process_ends: (u64, u64),
    hold_reason: Option<String>,
}

/// The order in which members change: one of each zone first, then the zones in rotation.
pub fn interleave_zones(members: &[FleetMember]) -> Vec<FleetMember> {
    let mut zones: BTreeMap<&str, Vec<&FleetMember>> = BTreeMap::new();
    members.iter().for_each(|member| zones.entry(&member.zone).or_default().push(member));
    let largest = zones.values().map(Vec::len).max().unwrap_or(0);
    let nth_of_each = |n: usize| zones.values().filter_map(move |zone| zone.get(n));
    (0..largest).flat_map(nth_of_each).map(|member| (*member).clone()).collect()
}

impl Controller {
    /// `members` are in the order in which they change, each with the hash of its target settings; `journal` is the
    /// one on disk.
    pub fn new(
        now: u64,
        config: RolloutConfig,
        members: Vec<(FleetMember, String)>,
        stages: Vec<usize>,
        journal: Journal,
    ) -> Self {
        let (members, target_hashes): (Vec<FleetMember>, Vec<String>) = members.into_iter().unzip();
        let judge = Judge::new(JudgeConfig {
            min_detectable_loss: config.min_detectable_loss,
            max_false_stop_probability: config.max_false_stop_probability,
            stage_count: stages.len(),
        });
        Controller {
            config,
            member_states: vec![MemberState::default(); members.len()],
            members,
            target_hashes,
            stages,
            journal,
            judge,
            measuring_since: None,
            started_at: now,
            old_losses: Vec::new(),
            baseline_losses: (0, 0),
            origin_refusals: Vec::new(),
            baseline_refusals: (0, 0),
            origin_full_since: None,
            worse_since: None,
            old_latencies: [new_latency_histogram(), new_latency_histogram()],
            latency_window_start: now,
            process_ends: (0, 0),
            hold_reason: None,
        }
    }

    /// The journal to keep on disk.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }
    /// The evidence to store for a controller that resumes this rollout.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            epoch: self.journal.epoch,
            stages_begun: self.journal.stages_begun,
            judge: self.judge.clone(),
            baseline_losses: self.baseline_losses,
            baseline_refusals: self.baseline_refusals,
        }
    }
    /// Restores the evidence of an earlier controller. If it is of an earlier stage, only the baseline counts.
    pub fn restore_evidence(&mut self, stored: Evidence) {
        if stored.epoch != self.journal.epoch || self.journal.phase != Phase::Rolling {
            return;
        }
        self.judge = stored.judge;
        (self.baseline_losses, self.baseline_refusals) = (stored.baseline_losses, stored.baseline_refusals);
        if stored.stages_begun != self.journal.stages_begun {
            self.judge.start_stage();
        }
    }
    /// Why the rollout is waiting; none if it is not.
    pub fn hold_reason(&self) -> Option<&str> {
        self.hold_reason.as_deref()
    }
    /// The verdict on the current stage.
    pub fn verdict(&self) -> Verdict {
        self.judge.verdict()
    }
    /// The last status of a member.
    pub fn status(&self, n: usize) -> Option<&Status> {
        self.member_states[n].status.as_ref()
    }
    /// Why a member refused the change.
    pub fn refusal(&self, n: usize) -> Option<&str> {
        self.member_states[n].refusal.as_deref()
    }

    /// Pauses or resumes the rollout.
    pub fn set_paused(&mut self, paused: bool) {
        self.journal.paused = paused;
    }
    /// Starts to revert all members.
    pub fn undo(&mut self, reason: &str) {
        if !matches!(self.journal.phase, Phase::Undone | Phase::Undoing) {
            (self.journal.phase, self.journal.reason) = (Phase::Undoing, reason.into());
        }
    }

    /// How many members should have the change now.
    fn target_count(&self) -> usize {
        match self.journal.phase {
            Phase::Observing | Phase::Undoing | Phase::Undone => 0,
            Phase::Rolling => {
                let stages = self.journal.stages_begun - usize::from(self.journal.stage_reverted);
                if stages == 0 { 0 } else { self.stages[stages - 1] }
            }
            Phase::Confirming | Phase::Done => self.members.len(),
        }
    }

    /// Old members that restart as controls of this stage: the next in order, as many as there are new ones, or the
    /// rest.
    fn controls(&self) -> std::ops::Range<usize> {
        let target = self.target_count();
        let has_controls = self.journal.phase == Phase::Rolling && self.config.restart_controls;
        target..if has_controls { (2 * target).min(self.members.len()) } else { target }
    }

    /// Whether a control has restarted for this stage.
    fn has_restarted(&self, n: usize) -> bool {
        let current_stage = (self.journal.epoch, self.journal.stages_begun);
        let status = self.member_states[n].status.as_ref();
        status.is_some_and(|status| status.restarted_for == Some(current_stage))
    }

    fn has_change(&self, n: usize) -> bool {
        self.member_states[n].status.as_ref().is_some_and(|status| self.is_target(n, status))
    }

    /// Whether this status shows the change of this rollout as active.
    fn is_target(&self, n: usize, status: &Status) -> bool {
        (status.epoch, &status.hash) == (self.journal.epoch, &self.target_hashes[n])
    }

    fn is_unreachable(&self, now: u64, n: usize) -> bool {
        let state = &self.member_states[n];
        now > state.last_seen.max(self.started_at) + self.config.unreachable_after_ms
            || state.status.is_none()
    }

    /// Handles a member's report: its status and counters.
    pub fn on_report(&mut self, now: u64, n: usize, status: Status, counters: Option<MemberCounters>) {
        let has_change = self.is_target(n, &status);
        let target = self.target_count();
        let state = &mut self.member_states[n];
        state.last_seen = now;
        // An error of an earlier change is still reported; it must not count as a refusal of this one.
        if status.staged == Some(self.journal.epoch) {
            state.refusal = status.apply_error.clone().or(state.refusal.take());
        }
        state.expires_at = if has_change && status.unconfirmed { now + status.remaining_ms } else { 0 };
        // A process that ends with the change active comes back without it. Unless such ends are counted, the member
        // would be given the change again for ever.
        match state.changed_process {
            Some(started) if status.started_ms != started => {
                // A member that is being reverted may restart for that, which does not count.
                self.process_ends.0 += u64::from(n < target);
            }
            _ => {
                // A restart that was requested is not a process end.
                let known = state.status.as_ref().map(|status| (status.started_ms, status.restarted_for));
                let ended = known.is_some_and(|(started, restarted_for)| {
                    started != status.started_ms && restarted_for == status.restarted_for
                });
                self.process_ends.1 += u64::from(ended && !has_change);
            }
        }
        state.changed_process = has_change.then_some(status.started_ms);
        let latencies = counters.as_ref().and_then(|counters| decode_histogram(&counters.latencies));
        let last = state.counters.take();
        let is_same_run = |last: &MemberCounters, new: &MemberCounters| {
            (last.started_ms, last.epoch) == (new.started_ms, new.epoch) && new.epoch == status.epoch
        };
        if let (Some(last), Some(new)) = (last, counters.as_ref())
            && is_same_run(&last, new)
        {
            // Old windows are discarded: latencies of a cold start would otherwise stay in the histogram, and slow
            // requests would look fast in comparison.
            if now >= self.latency_window_start + LATENCY_WINDOW_MS {
                self.latency_window_start = now;
                self.old_latencies.swap(0, 1);
                self.old_latencies[0].reset();
            }
            let [current, previous] = &self.old_latencies;
            let mut both = previous.clone();
            let _ = both.add(current);
            let slow_thresholds = Judge::slow_thresholds(&both);
            let mut recent = latencies.clone();
            if let (Some(recent), Some(before)) = (&mut recent, &state.latencies) {
                // The subtraction fails only if the earlier histogram is of another process.
                let _ = recent.subtract(before);
            }
            let increase = |count: fn(&MemberCounters) -> u64| count(new).saturating_sub(count(&last));
            self.origin_refusals.push((
                now,
                increase(|counters| counters.origin_refusals),
                increase(|counters| counters.origin_attempts),
            ));
            let sample = sample_between(&last, new, recent.as_ref(), slow_thresholds);
            if !has_change {
                // Cannot fail: histograms with other bounds are not decoded.
                let _ = recent.map(|recent| self.old_latencies[0].add(&recent));
                let lost = sample.losses.values().map(|class| class.0).sum();
                self.old_losses.push((now, lost, sample.requests));
            }
            state.new_sample = Some((has_change, sample));
        }
        (state.status, state.counters, state.latencies) = (Some(status), counters, latencies);
    }

    /// Handles the status in the response to a command.
    pub fn on_status(&mut self, now: u64, n: usize, status: Status) {
        let has_change = self.is_target(n, &status);
        let state = &mut self.member_states[n];
        // The status of a restarted process is left to `on_report`, which counts process ends.
        if state.status.as_ref().is_some_and(|known| known.started_ms == status.started_ms) {
            state.changed_process = has_change.then_some(status.started_ms);
            state.expires_at = if has_change && status.unconfirmed { now + status.remaining_ms } else { 0 };
            (state.last_seen, state.status) = (now, Some(status));
        }
    }

    /// Handles a member's refusal of a command.
    pub fn on_refusal(&mut self, n: usize, reason: String) {
        self.member_states[n].refusal = Some(reason);
    }

    /// Evaluates the reports, decides, and returns the commands for the members. The journal has to be on disk before
    /// they are sent.
    pub fn step(&mut self, now: u64) -> Vec<(usize, Command)> {
        self.judge_samples(now);
        let before = (self.journal.phase, self.journal.stages_begun);
        self.decide(now);
        if (self.journal.phase, self.journal.stages_begun) != before {
            (self.measuring_since, self.worse_since, self.origin_full_since) = (None, None, None);
        }
        self.commands(now)
    }

    /// Passes the samples reported since the last step to the judge, zone by zone.
    fn judge_samples(&mut self, now: u64) {
        let mut zones: BTreeMap<&str, SamplePair> = BTreeMap::new();
        let future_canaries = match self.journal.phase {
            // The baseline compares the groups of the first stage.
            Phase::Observing => self.stages.first().copied().unwrap_or(0),
            _ => 0,
        };
        let controls = self.controls();
        // A change that itself fills the origin would otherwise wait halfway for ever and never be judged.
        let is_held_by_origin =
            self.origin_full_since.is_some_and(|since| now >= since + self.config.settle_ms);
        // Nothing is judged while the stage settles: the initial cost of any change would count as harm of this one.
        let is_judging = self.measuring_since.is_some_and(|since| now >= since) || is_held_by_origin;
        for (n, state) in self.member_states.iter_mut().enumerate() {
            let Some((has_change, sample)) = state.new_sample.take() else { continue };
            if !controls.is_empty() && !has_change && !controls.contains(&n) {
                continue;
            }
            let pair = zones.entry(&self.members[n].zone).or_default();
            let side = if has_change || n < future_canaries { &mut pair.new } else { &mut pair.old };
            side.add(&sample);
        }
        for (zone, pair) in zones {
            match self.journal.phase {
                Phase::Observing => self.judge.record_baseline(zone, &pair),
                Phase::Rolling if is_judging => self.judge.compare(zone, &pair),
                _ => {}
            }
        }
    }

    /// Lost and all requests of the old members within the loss window.
    fn recent_old_losses(&mut self, now: u64) -> (u64, u64) {
        self.old_losses.retain(|entry| entry.0 + LOSS_WINDOW_MS > now);
        self.old_losses.iter().fold((0, 0), |sum, entry| (sum.0 + entry.1, sum.1 + entry.2))
    }

    /// Why no further member is changed: the origin refuses more than during the baseline.
    fn check_origin_capacity(&mut self, now: u64) -> Option<String> {
        let (refused, all) = self.recent_origin_refusals(now);
        let baseline = self.baseline_refusals.0 as f64 / self.baseline_refusals.1.max(1) as f64;
        let is_full = all >= MIN_WINDOW_ORIGIN_ATTEMPTS
            && refused as f64 > (baseline + MAX_REFUSAL_INCREASE) * all as f64;
        self.origin_full_since = is_full.then(|| self.origin_full_since.unwrap_or(now));
        is_full
            .then(|| format!("the origin refuses {refused} of {all} attempts; waiting until it has capacity"))
    }

    /// Refused and all origin attempts within the refusal window.
    fn recent_origin_refusals(&mut self, now: u64) -> (u64, u64) {
        self.origin_refusals.retain(|entry| entry.0 + REFUSAL_WINDOW_MS > now);
        self.origin_refusals.iter().fold((0, 0), |sum, entry| (sum.0 + entry.1, sum.1 + entry.2))
    }

    /// Whether the old members lose more than during the baseline; none if there are too few requests to decide.
    fn are_old_members_worse(&mut self, now: u64) -> Option<bool> {
        let (lost, all) = self.recent_old_losses(now);
        let baseline = self.baseline_losses.0 as f64 / self.baseline_losses.1.max(1) as f64;
        let factor = if self.journal.stage_reverted { RECOVERY_FACTOR } else { 1.0 };
        let limit = baseline + self.config.max_common_loss_increase * factor;
        (all >= MIN_WINDOW_REQUESTS).then(|| lost as f64 / all as f64 > limit)
    }

    fn decide(&mut self, now: u64) {
        self.hold_reason = None;
        match self.journal.phase {
            Phase::Observing => self.observe_baseline(now),
            Phase::Rolling => self.advance(now),
            Phase::Confirming => {
                let is_confirmed = |n: usize| {
                    let status = self.member_states[n].status.as_ref();
                    self.has_change(n) && status.is_some_and(|status| !status.unconfirmed)
                };
                if (0..self.members.len()).all(is_confirmed) {
                    self.journal.phase = Phase::Done;
                } else {
                    self.hold_reason = self.unreachable_members(now).or(self.first_refusal());
                }
            }
            Phase::Undoing => {
                // An unreachable member has reverted by itself once its timeout has expired.
                let is_reverted = |n: usize| {
                    let state = &self.member_states[n];
                    match self.is_unreachable(now, n) {
                        true => {
                            now > state.expires_at.max(state.last_seen) + EXPIRY_SLACK_MS
                                && state.expires_at > 0
                        }
                        false => !self.has_change(n),
                    }
                };
                if (0..self.members.len()).all(|n| is_reverted(n) || self.member_states[n].status.is_none()) {
                    self.journal.phase = Phase::Undone;
                } else {
                    self.hold_reason = self.unreachable_members(now);
                }
            }
            Phase::Done | Phase::Undone => {}
        }
    }

    fn observe_baseline(&mut self, now: u64) {
        self.hold_reason = self.unreachable_members(now).or(self.pause_reason());
        if self.hold_reason.is_some() {
            // The baseline lacks some members; it starts again.
            (self.measuring_since, self.baseline_losses) = (None, (0, 0));
            return;
        }
        let since = *self.measuring_since.get_or_insert(now);
        if now >= since + self.config.observe_ms {
            self.baseline_losses = self.recent_old_losses(now);
            self.baseline_refusals = self.recent_origin_refusals(now);
            (self.journal.phase, self.journal.stages_begun) = (Phase::Rolling, 1);
        }
    }

    /// Undoes the rollout on signs of harm; otherwise holds it or proceeds to the next stage.
    fn advance(&mut self, now: u64) {
        if let Verdict::Worse(measure, by) = self.judge.verdict() {
            return self.undo(&format!("the new are worse: {measure}, by {:.1} %", by * 100.0));
        }
        let target = self.target_count();
        let (new, old) = self.process_ends;
        if new * (self.members.len() - target).max(1) as u64 > old * target.max(1) as u64 {
            return self.undo(&format!("{new} of the new ended and {old} of the old"));
        }
        if let Some(reason) = self.memory_excess() {
            return self.undo(&reason);
        }
        if let Some(reason) = self.first_refusal() {
            return self.undo(&reason);
        }
        match self.are_old_members_worse(now) {
            Some(true) => {
                let since = *self.worse_since.get_or_insert(now);
                self.hold_reason = Some("old and new are both worse than before".into());
                if self.journal.stage_reverted && now >= since + 2 * self.config.trial_revert_after_ms {
                    // No recovery without the stage, so it is not the cause.
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
                if self.journal.recoveries >= RECOVERIES_TO_UNDO {
                    return self
                        .undo("worse together: the old recovered each time the last stage was reverted");
                }
                // The stage is applied again: only losses that come back with it are caused by it.
                self.journal.stage_reverted = false;
                (self.measuring_since, self.worse_since) = (None, None);
                self.judge.start_stage();
            }
            Some(false) => self.worse_since = None,
            None => {}
        }
        let is_stage_complete =
            (0..target).all(|n| self.has_change(n)) && self.controls().all(|n| self.has_restarted(n));
        self.hold_reason = self.unreachable_members(now).or(self.pause_reason());
        if self.hold_reason.is_some() {
            return;
        }
        let origin_full = self.check_origin_capacity(now);
        if !is_stage_complete {
            self.hold_reason = origin_full;
            return;
        }
        let since = *self.measuring_since.get_or_insert(now + self.config.settle_ms);
        let has_old_members = target < self.members.len();
        match self.judge.verdict() {
            _ if now < since + self.config.watch_ms => {}
            Verdict::NoHarmFound(judged) if has_old_members && judged < self.config.min_requests => {
                let needed = self.config.min_requests;
                self.hold_reason = Some(format!("too few requests of the new: {judged} of {needed}"));
            }
            _ if self.journal.stages_begun < self.stages.len() => {
                if origin_full.is_some() {
                    self.hold_reason = origin_full;
                    return;
                }
                (self.journal.stages_begun, self.journal.recoveries) = (self.journal.stages_begun + 1, 0);
                self.judge.start_stage();
            }
            _ => self.journal.phase = Phase::Confirming,
        }
    }

    /// A message if the new members use too much memory compared with the old ones.
    fn memory_excess(&self) -> Option<String> {
        let mean = |has_change: bool| {
            let in_group = |n: &usize| self.has_change(*n) == has_change;
            let group = (0..self.members.len()).filter(in_group);
            let counters = group.filter_map(|n| self.member_states[n].counters.as_ref());
            let (sum, count) = counters.fold((0, 0), |sum, counters| (sum.0 + counters.memory_kb, sum.1 + 1));
            (count > 0).then(|| sum / count)
        };
        let (new, old) = (mean(true)?, mean(false)?);
        let is_excessive =
            new as f64 > old as f64 * self.config.max_memory_ratio && new > old + MIN_MEMORY_EXCESS_KB;
        is_excessive.then(|| format!("the new use {new} kB of memory, the old {old} kB"))
    }

    fn pause_reason(&self) -> Option<String> {
        self.journal.paused.then(|| "paused".into())
    }

    fn first_refusal(&self) -> Option<String> {
        let states = self.member_states.iter().zip(&self.members);
        let mut refusals = states.filter_map(|(state, member)| Some((&member.name, state.refusal.as_ref()?)));
        refusals.next().map(|(name, reason)| format!("{name} refuses: {reason}"))
    }

    /// A message that names the unreachable members.
    fn unreachable_members(&self, now: u64) -> Option<String> {
        let unreachable = (0..self.members.len()).filter(|&n| self.is_unreachable(now, n));
        let names: Vec<&str> = unreachable.map(|n| &*self.members[n].name).collect();
        (!names.is_empty()).then(|| format!("not heard: {}", names.join(", ")))
    }

    /// The commands that bring each member one step closer to its target. Unreachable members are included: possibly
    /// only their responses are lost.
    fn commands(&mut self, now: u64) -> Vec<(usize, Command)> {
        let target = self.target_count();
        let (mut commands, mut applied) = (Vec::new(), 0);
        let max_applied = self.members.len().div_ceil(MIN_ROUNDS_PER_FLEET);
        for n in 0..self.members.len() {
            let Some(status) = &self.member_states[n].status else { continue };
            let (epoch, state) = (self.journal.epoch, &self.member_states[n]);
            let command = match (self.journal.phase, self.is_target(n, status)) {
                (Phase::Observing | Phase::Done | Phase::Undone, _) => None,
                (Phase::Confirming, true) => status.unconfirmed.then_some(Command::Confirm),
                (_, true) if n < target => Some(Command::Renew),
                (_, true) => Some(Command::Revert),
                (_, false) if self.controls().contains(&n) && !self.has_restarted(n) => {
                    Some(Command::Restart)
                }
                (_, false) if n >= target => None,
                // No member is changed during a hold. A member whose process may have ended because of the change must
                // not be given it again.
                (Phase::Rolling, false) if self.hold_reason.is_some() || state.refusal.is_some() => None,
                // Hundreds of members changing at once would request all their moved keys from the origin before its
                // refusals are seen.
                (Phase::Rolling, false) if status.staged == Some(epoch) && applied >= max_applied => None,
                (_, false) if status.staged == Some(epoch) => Some(Command::Apply),
                (_, false) => Some(Command::Stage),
            };
            if let Some(command) = command {
                applied += usize::from(command == Command::Apply);
                if matches!(command, Command::Apply | Command::Renew) {
                    self.member_states[n].expires_at = now + self.config.confirm_timeout_ms;
                }
                commands.push((n, command));
            }
        }
        commands
    }
}

/// A member's counts between two of its reports.
fn sample_between(
    last: &MemberCounters,
    new: &MemberCounters,
    latencies: Option<&Histogram<u64>>,
    slow_thresholds: Option<[u64; SLOW_QUANTILES.len()]>,
) -> Sample {
    let mut sample = Sample {
        attempts: new.attempts.saturating_sub(last.attempts),
        origin_attempts: new.origin_attempts.saturating_sub(last.origin_attempts),
        slow_requests: slow_thresholds.zip(latencies).map_or(
            [0; SLOW_QUANTILES.len()],
            |(thresholds, latencies)| {
                thresholds.map(|threshold| {
                    latencies.len() - latencies.count_between(0, threshold).min(latencies.len())
                })
            },
        ),
        ..Sample::default()
    };
    for (class, counts) in &new.classes {
        let before = last.classes.get(class).copied().unwrap_or_default();
        let all = counts.total().saturating_sub(before.total());
        let served = counts.served.saturating_sub(before.served);
        sample.requests += all;
        sample.losses.insert(class.clone(), (all.saturating_sub(served), all));
    }
    sample
}
