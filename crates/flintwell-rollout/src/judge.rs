//! Decides whether the changed members (new) do worse than the unchanged ones (old). Both are compared over the same
//! seconds and zone by zone, never with their own past.
//!
//! Each measure is a test by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
//! betting", JRSS B 2024): a wealth that starts at 1 is multiplied, block by block, by 1 + stake * (difference -
//! margin). While the new group is no worse than the margin, the wealth does not grow in expectation, whatever the
//! dependence within a block. By Ville's inequality the probability that it ever reaches 1 / p is then at most p,
//! however often it is checked. The false-stop probability of a rollout is divided among its measures and stages.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MIN_BLOCK_REQUESTS: u64 = 25; // on either side; the loss rate of a smaller block is mostly noise
const MIN_CLASS_BLOCK_REQUESTS: u64 = 3; // lower, since a class may be rare and its differences are not clipped
const CLIP_FACTOR: f64 = 3.0; // times the loss to detect; limits the weight of a block, so that no burst decides alone
const MARGIN_FACTOR: f64 = 0.25; // times the loss to detect; tolerated difference
const MAX_STAKE: f64 = 0.8; // relative to the stake that a single block could lose entirely
const PRIOR_BLOCKS: f64 = 2.0; // weight, in blocks, of the initial guess that the difference is the loss to detect
/// Quantiles of the old group's latencies; a request above such a latency counts as slow. Requests that reach the
/// origin dominate the tail by themselves, so a change that slows down the fast requests shows only at the median.
pub const SLOW_QUANTILES: [f64; 4] = [0.5, 0.8, 0.95, TAIL_QUANTILE];
const TAIL_QUANTILE: f64 = 0.99; // judged in blocks of its own, since a block of 25 requests usually has none above it
const MIN_TAIL_BLOCK_REQUESTS: u64 = 200; // on either side; two of them are above the tail quantile on average
const TAIL_WEIGHT: f64 = 3.0; // in lost requests; a doubled tail is 1 % more of all requests, and has to be detected
const ATTEMPT_WEIGHT: f64 = 0.1; // in lost requests; one more attempt per ten requests is already a large increase
const ORIGIN_ATTEMPT_WEIGHT: f64 = 0.1; // in lost requests, for the same reason
const SLOW_WEIGHT: f64 = 0.2; // in lost requests; twice as many above the 95th percentile are 5 % of all requests

const OVERALL_MEASURES: usize = 3 + SLOW_QUANTILES.len(); // over all requests; each class adds one

/// Counts of a group of proxies over some time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    #[serde(rename = "accesses")]
    pub requests: u64,
    /// By class: requests refused or failed, and all requests.
    #[serde(rename = "lost")]
    pub losses: BTreeMap<String, (u64, u64)>,
    #[serde(rename = "hand_offs")]
    pub attempts: u64,
    #[serde(rename = "fetches")]
    pub origin_attempts: u64,
    /// Requests above each threshold of `Judge::slow_thresholds`.
    #[serde(rename = "slow")]
    pub slow_requests: [u64; SLOW_QUANTILES.len()],
}

impl Sample {
    /// Adds the counts of another sample.
    pub fn add(&mut self, other: &Sample) {
        self.requests += other.requests;
        self.attempts += other.attempts;
        self.origin_attempts += other.origin_attempts;
        self.slow_requests.iter_mut().zip(other.slow_requests).for_each(|(sum, slow)| *sum += slow);
        for (class, (lost, all)) in &other.losses {
            let sum = self.losses.entry(class.clone()).or_default();
            *sum = (sum.0 + lost, sum.1 + all);
        }
    }
    /// The share of requests that were not served.
    pub fn loss_rate(&self) -> f64 {
        let (lost, all) = self.losses.values().fold((0, 0), |sum, class| (sum.0 + class.0, sum.1 + class.1));
        ratio(lost, all)
    }
}

fn ratio(part: u64, all: u64) -> f64 {
    part as f64 / all.max(1) as f64
}

/// Samples of the new and the old group in one zone over the same seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SamplePair {
    pub new: Sample,
    pub old: Sample,
}

/// Sensitivity and error bound of the judge.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JudgeConfig {
    /// The increase of the share of lost requests that has to be detected.
    #[serde(rename = "loss")]
    pub min_detectable_loss: f64,
    /// Upper bound, over all stages, of the probability of stopping a change that does no harm.
    #[serde(rename = "chance")]
    pub max_false_stop_probability: f64,
    /// Number of stages of the rollout.
    #[serde(rename = "stages")]
    pub stage_count: usize,
}

/// The wealth of one measure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Bet {
    #[serde(rename = "wealth_log")]
    log_wealth: f64,
    blocks: f64,
    /// Sum of the clipped differences.
    #[serde(rename = "sum")]
    difference_sum: f64,
    /// Sum of the squared deviations.
    #[serde(rename = "squares")]
    squared_deviations: f64,
}

impl Bet {
    fn new(loss: f64, clip: f64) -> Self {
        Bet {
            log_wealth: 0.0,
            blocks: PRIOR_BLOCKS,
            difference_sum: PRIOR_BLOCKS * loss,
            squared_deviations: PRIOR_BLOCKS * clip * clip / 4.0,
        }
    }

    /// The stake depends on earlier blocks only, never on this one: the error bound holds only then.
    fn add_block(&mut self, difference: f64, margin: f64, clip: f64) {
        let gain = difference.clamp(-clip, clip) - margin;
        let mean = self.difference_sum / self.blocks - margin;
        let variance = self.squared_deviations / self.blocks;
        let stake = (mean / (variance + mean * mean).max(1e-12)).clamp(0.0, MAX_STAKE / (clip + margin));
        self.log_wealth += (stake * gain).ln_1p();
        self.blocks += 1.0;
        self.difference_sum += gain + margin;
        let deviation = gain - mean;
        self.squared_deviations += deviation * deviation;
    }
}

/// Result of the comparison so far.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// No sign of harm; the number of requests of the new group that were judged.
    NoHarmFound(u64),
    /// The measure that shows harm, and its mean difference.
    Worse(String, f64),
}

/// Compares the two groups during one stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Judge {
    #[serde(rename = "limits")]
    config: JudgeConfig,
    /// Blocks that are still too small to be judged, by zone.
    #[serde(rename = "open")]
    pending_blocks: BTreeMap<String, SamplePair>,
    /// The same by zone and class: lost and all requests of the new and the old group.
    #[serde(rename = "open_cases")]
    pending_class_blocks: BTreeMap<String, BTreeMap<String, [(u64, u64); 2]>>,
    /// The same by zone, for requests above the tail threshold.
    #[serde(rename = "open_tail")]
    pending_tail_blocks: BTreeMap<String, [(u64, u64); 2]>,
    bets: BTreeMap<String, Bet>,
    /// By measure: count, sum and sum of squares of the differences seen before the change.
    #[serde(rename = "before")]
    baseline: BTreeMap<String, (f64, f64, f64)>,
    /// Requests of the new group in judged blocks.
    #[serde(rename = "judged")]
    judged_requests: u64,
    worse: Option<(String, f64)>,
}

impl Judge {
    /// A judge without any evidence.
    pub fn new(config: JudgeConfig) -> Self {
        Judge {
            config,
            pending_blocks: BTreeMap::new(),
            pending_class_blocks: BTreeMap::new(),
            pending_tail_blocks: BTreeMap::new(),
            bets: BTreeMap::new(),
            baseline: BTreeMap::new(),
            judged_requests: 0,
            worse: None,
        }
    }

    /// Records how the groups differ before the change; this difference is not counted as harm later.
    pub fn record_baseline(&mut self, zone: &str, pair: &SamplePair) {
        let overall = self.overall_differences(zone, pair).into_iter().flat_map(|block| block.1);
        let classes = self.class_differences(zone, pair);
        for (name, difference) in overall.chain(classes).chain(self.tail_difference(zone, pair)) {
            let (count, sum, squares) = self.baseline.entry(name).or_default();
            *count += 1.0;
            *sum += difference;
            *squares += difference * difference;
        }
    }

    /// How much worse the new group was before the change: the mean difference plus its standard error.
    fn baseline_difference(&self, name: &str) -> f64 {
        let Some((count, sum, squares)) = self.baseline.get(name).filter(|baseline| baseline.0 >= 3.0) else {
            return 0.0;
        };
        let mean = sum / count;
        let standard_error = ((squares / count - mean * mean).max(0.0) / count).sqrt();
        (mean + standard_error).max(0.0)
    }

    /// Once a zone's block is large enough on both sides: the requests of the new group and the difference of each
    /// measure. The names of measures are stored in the evidence.
    fn overall_differences(&mut self, zone: &str, pair: &SamplePair) -> Option<(u64, Vec<(String, f64)>)> {
        let pending = self.pending_blocks.entry(zone.into()).or_default();
        pending.new.add(&pair.new);
        pending.old.add(&pair.old);
        if pending.new.requests < MIN_BLOCK_REQUESTS || pending.old.requests < MIN_BLOCK_REQUESTS {
            return None;
        }
        let SamplePair { new, old } = std::mem::take(pending);
        let weighted = |weight: f64, part: &dyn Fn(&Sample) -> u64| {
            weight * (ratio(part(&new), new.requests) - ratio(part(&old), old.requests))
        };
        let mut measures = vec![
            ("lost requests".to_owned(), new.loss_rate() - old.loss_rate()),
            ("attempts a request".to_owned(), weighted(ATTEMPT_WEIGHT, &|sample| sample.attempts)),
            (
                "fetches an access".to_owned(),
                weighted(ORIGIN_ATTEMPT_WEIGHT, &|sample| sample.origin_attempts),
            ),
        ];
        for (n, quantile) in
            SLOW_QUANTILES.iter().enumerate().filter(|(_, quantile)| **quantile < TAIL_QUANTILE)
        {
            let name = format!("requests slower than {:.0} % of the old", quantile * 100.0);
            measures.push((name, weighted(SLOW_WEIGHT, &|sample| sample.slow_requests[n])));
        }
        Some((new.requests, measures))
    }

    /// Compares the groups in one zone over the time since the last call.
    pub fn compare(&mut self, zone: &str, pair: &SamplePair) {
        let JudgeConfig { min_detectable_loss, max_false_stop_probability, stage_count } = self.config;
        let clip = CLIP_FACTOR * min_detectable_loss;
        let mut measures: Vec<(String, f64, f64)> = Vec::new();
        if let Some((requests, block)) = self.overall_differences(zone, pair) {
            self.judged_requests += requests;
            measures.extend(block.into_iter().map(|(name, difference)| (name, difference, clip)));
        }
        let classes = self.class_differences(zone, pair);
        measures.extend(classes.into_iter().map(|(name, difference)| (name, difference, 1.0)));
        measures.extend(self.tail_difference(zone, pair).map(|(name, difference)| (name, difference, clip)));
        let measure_count = OVERALL_MEASURES + pair.new.losses.len();
        let log_threshold = ((measure_count * stage_count.max(1)) as f64 / max_false_stop_probability).ln();
        for (name, difference, clip) in measures {
            let margin = MARGIN_FACTOR * min_detectable_loss + self.baseline_difference(&name);
            let bet = self.bets.entry(name.clone()).or_insert_with(|| Bet::new(min_detectable_loss, clip));
            bet.add_block(difference, margin, clip + margin);
            if bet.log_wealth >= log_threshold && self.worse.is_none() {
                self.worse = Some((name, bet.difference_sum / bet.blocks));
            }
        }
    }

    /// Loss differences by class: harm to a single class, above all a rare one, hardly shows among all requests. The
    /// blocks are small and their differences skewed; clipping at the same value on both sides would bias them, so they
    /// are not clipped.
    fn class_differences(&mut self, zone: &str, pair: &SamplePair) -> Vec<(String, f64)> {
        let mut measures = Vec::new();
        for (class, &new) in &pair.new.losses {
            let old = pair.old.losses.get(class).copied().unwrap_or_default();
            let zone_blocks = self.pending_class_blocks.entry(zone.into()).or_default();
            let pending = zone_blocks.entry(class.clone()).or_default();
            for (sum, added) in pending.iter_mut().zip([new, old]) {
                *sum = (sum.0 + added.0, sum.1 + added.1);
            }
            if pending.iter().all(|side| side.1 >= MIN_CLASS_BLOCK_REQUESTS) {
                let [new, old] = std::mem::take(pending);
                let difference = ratio(new.0, new.1) - ratio(old.0, old.1);
                measures.push((format!("lost requests of {class}"), difference));
            }
        }
        measures
    }

    /// Difference in the slowest hundredth of requests, in blocks large enough to contain some of them.
    fn tail_difference(&mut self, zone: &str, pair: &SamplePair) -> Option<(String, f64)> {
        let pending = self.pending_tail_blocks.entry(zone.into()).or_default();
        for (sum, added) in pending.iter_mut().zip([&pair.new, &pair.old]) {
            *sum = (sum.0 + added.slow_requests[SLOW_QUANTILES.len() - 1], sum.1 + added.requests);
        }
        if pending.iter().any(|side| side.1 < MIN_TAIL_BLOCK_REQUESTS) {
            return None;
        }
        let [new, old] = std::mem::take(pending);
        let difference = TAIL_WEIGHT * (ratio(new.0, new.1) - ratio(old.0, old.1));
        Some((format!("requests slower than {:.0} % of the old", TAIL_QUANTILE * 100.0), difference))
    }

    /// Discards the evidence of the previous stage. The baseline is kept.
    pub fn start_stage(&mut self) {
        self.bets.clear();
        self.pending_blocks.clear();
        self.pending_class_blocks.clear();
        self.pending_tail_blocks.clear();
        self.judged_requests = 0;
    }

    /// The verdict on the current stage.
    pub fn verdict(&self) -> Verdict {
        match &self.worse {
            Some((name, by)) => Verdict::Worse(name.clone(), *by),
            None => Verdict::NoHarmFound(self.judged_requests),
        }
    }

    /// The latencies at `SLOW_QUANTILES`; none if too few requests were recorded.
    pub fn slow_thresholds(latencies: &hdrhistogram::Histogram<u64>) -> Option<[u64; SLOW_QUANTILES.len()]> {
        (latencies.len() >= MIN_BLOCK_REQUESTS)
            .then(|| SLOW_QUANTILES.map(|quantile| latencies.value_at_quantile(quantile)))
    }
}

#[cfg(test)]
mod tests;
