//! Is the new worse than the old? Both are compared in the same seconds and zone by zone, never with their own past.
//!
//! Each measure is a test by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
//! betting", JRSS B 2024): a wealth that starts at 1 and is multiplied, block by block, by 1 + stake * (difference -
//! margin). While the new is no worse than the margin its expected growth is at most none, whatever the blocks depend
//! on within themselves, so by Ville's inequality the chance that it ever reaches 1 / chance is at most `chance`, however
//! often it is looked at. The chance of a rollout is shared by its measures and stages.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const LEAST: u64 = 25; // requests on either side of a block; under it a share is a throw of the dice
const LEAST_CASE: u64 = 3; // the same of one class, which may be rare; its differences are not cut off, so few will do
const CLIP: f64 = 3.0; // times the loss to be found; what a block may weigh at most, so that one burst decides nothing
const MARGIN: f64 = 0.25; // of the loss; what the new may be worse by at no cost
const STAKE_MOST: f64 = 0.8; // of what would lose all on one block
const BEGINS: f64 = 2.0; // blocks that the first guess, a difference of the loss, counts for
/// Shares of the old ones' times so far; slower than such a time is slow. Fetches make the slow end their own: what slows
/// the quick ones shows in the middle only.
pub const SLOW_QUANTILES: [f64; 4] = [0.5, 0.8, 0.95, TAIL];
const TAIL: f64 = 0.99; // of the old ones' times; judged in blocks of its own, since a block of 25 holds none of it
const LEAST_TAIL: u64 = 200; // requests on either side of such a block: two are slower than the tail on the mean
const SLOW_TAIL: f64 = 3.0; // of a loss; a tail that twice as many fall into has one more of a hundred in it, and is found
const HAND_OFFS: f64 = 0.1; // of a loss; a request's attempts count so much, since one more in ten is much
const FETCHES: f64 = 0.1; // the same for its fetches
const SLOW: f64 = 0.2; // the same for its being slow; twice as many over a 95th percentile are 5 % of requests

const MEASURES: usize = 3 + SLOW_QUANTILES.len(); // of all requests; one more for each class

/// What a group of proxies counted within some time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    #[serde(rename = "accesses")]
    pub requests: u64,
    /// Turned back or failed, by class, and how many there were.
    #[serde(rename = "lost")]
    pub losses: BTreeMap<String, (u64, u64)>,
    #[serde(rename = "hand_offs")]
    pub attempts: u64,
    #[serde(rename = "fetches")]
    pub origin_attempts: u64,
    /// Requests slower than each of the limits that the judge tells.
    #[serde(rename = "slow")]
    pub slow_requests: [u64; SLOW_QUANTILES.len()],
}

impl Sample {
    pub fn add(&mut self, other: &Sample) {
        self.requests += other.requests;
        self.attempts += other.attempts;
        self.origin_attempts += other.origin_attempts;
        self.slow_requests.iter_mut().zip(other.slow_requests).for_each(|(sum, slow)| *sum += slow);
        for (case, (lost, all)) in &other.losses {
            let sum = self.losses.entry(case.clone()).or_default();
            *sum = (sum.0 + lost, sum.1 + all);
        }
    }
    /// The share of requests that were not served.
    pub fn loss_rate(&self) -> f64 {
        let (lost, all) = self.losses.values().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        share(lost, all)
    }
}

fn share(part: u64, all: u64) -> f64 {
    part as f64 / all.max(1) as f64
}

/// New and old in one zone and the same seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SamplePair {
    pub new: Sample,
    pub old: Sample,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JudgeConfig {
    /// The share of requests lost that has to be found.
    #[serde(rename = "loss")]
    pub min_detectable_loss: f64,
    /// Of stopping a rollout that is no worse, in all its stages.
    #[serde(rename = "chance")]
    pub max_false_stop_probability: f64,
    #[serde(rename = "stages")]
    pub stage_count: usize,
}

/// One measure's wealth.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Bet {
    wealth_log: f64,
    blocks: f64,
    sum: f64,
    squares: f64,
}

impl Bet {
    fn new(loss: f64, clip: f64) -> Self {
        Bet { wealth_log: 0.0, blocks: BEGINS, sum: BEGINS * loss, squares: BEGINS * clip * clip / 4.0 }
    }

    /// The stake is chosen by what came before, never by the block itself: that is what makes the bound hold.
    fn takes(&mut self, difference: f64, margin: f64, clip: f64) {
        let gain = difference.clamp(-clip, clip) - margin;
        let mean = self.sum / self.blocks - margin;
        let spread = self.squares / self.blocks;
        let stake = (mean / (spread + mean * mean).max(1e-12)).clamp(0.0, STAKE_MOST / (clip + margin));
        self.wealth_log += (stake * gain).ln_1p();
        self.blocks += 1.0;
        self.sum += gain + margin;
        let off = gain - mean;
        self.squares += off * off;
    }
}

/// What the judge says.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// No sign of harm, after so many requests of the new ones.
    NoHarmFound(u64),
    /// By which measure, and by how much on the mean.
    Worse(String, f64),
}

/// Judges one stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Judge {
    limits: JudgeConfig,
    /// Not judged yet: blocks that are still too small, by zone.
    open: BTreeMap<String, SamplePair>,
    /// The same of each class: lost and all, of the new and the old.
    open_cases: BTreeMap<String, BTreeMap<String, [(u64, u64); 2]>>,
    /// The same of requests slower than the tail's limit, by zone.
    open_tail: BTreeMap<String, [(u64, u64); 2]>,
    bets: BTreeMap<String, Bet>,
    /// What the groups differed by before anything was changed.
    before: BTreeMap<String, (f64, f64, f64)>,
    /// Of the new, in blocks that were judged.
    judged: u64,
    worse: Option<(String, f64)>,
}

impl Judge {
    pub fn new(limits: JudgeConfig) -> Self {
        Judge {
            limits,
            open: BTreeMap::new(),
            open_cases: BTreeMap::new(),
            open_tail: BTreeMap::new(),
            bets: BTreeMap::new(),
            before: BTreeMap::new(),
            judged: 0,
            worse: None,
        }
    }

    /// The groups as they were before the new had anything new: what they differ by then is no harm of the change.
    pub fn record_baseline(&mut self, zone: &str, pair: &SamplePair) {
        let whole = self.block(zone, pair).into_iter().flat_map(|block| block.1);
        for (name, difference) in whole.chain(self.cases(zone, pair)).chain(self.tail(zone, pair)) {
            let (count, sum, squares) = self.before.entry(name).or_default();
            *count += 1.0;
            *sum += difference;
            *squares += difference * difference;
        }
    }

    /// How much worse the new were before the change, with the doubt of that mean.
    fn handicap(&self, name: &str) -> f64 {
        let Some((count, sum, squares)) = self.before.get(name).filter(|before| before.0 >= 3.0) else {
            return 0.0;
        };
        let mean = sum / count;
        let doubt = ((squares / count - mean * mean).max(0.0) / count).sqrt();
        (mean + doubt).max(0.0)
    }

    /// A zone's block, once both sides are large enough: each measure's difference in shares.
    fn block(&mut self, zone: &str, pair: &SamplePair) -> Option<(u64, Vec<(String, f64)>)> {
        let open = self.open.entry(zone.into()).or_default();
        open.new.add(&pair.new);
        open.old.add(&pair.old);
        if open.new.requests < LEAST || open.old.requests < LEAST {
            return None;
        }
        let SamplePair { new, old } = std::mem::take(open);
        let scaled = |scale: f64, part: &dyn Fn(&Sample) -> u64| {
            scale * (share(part(&new), new.requests) - share(part(&old), old.requests))
        };
        let mut measures = vec![
            ("lost requests".to_owned(), new.loss_rate() - old.loss_rate()),
            ("attempts a request".to_owned(), scaled(HAND_OFFS, &|sample| sample.attempts)),
            ("fetches an access".to_owned(), scaled(FETCHES, &|sample| sample.origin_attempts)),
        ];
        for (n, quantile) in SLOW_QUANTILES.iter().enumerate().filter(|one| *one.1 < TAIL) {
            let name = format!("requests slower than {:.0} % of the old", quantile * 100.0);
            measures.push((name, scaled(SLOW, &|sample| sample.slow_requests[n])));
        }
        Some((new.requests, measures))
    }

    /// New and old in one zone since the last call.
    pub fn compare(&mut self, zone: &str, pair: &SamplePair) {
        let JudgeConfig {
            min_detectable_loss: loss,
            max_false_stop_probability: chance,
            stage_count: stages,
        } = self.limits;
        let mut measures: Vec<(String, f64, f64)> = Vec::new();
        if let Some((requests, block)) = self.block(zone, pair) {
            self.judged += requests;
            measures.extend(block.into_iter().map(|(name, difference)| (name, difference, CLIP * loss)));
        }
        let cases = self.cases(zone, pair);
        measures.extend(cases.into_iter().map(|(name, difference)| (name, difference, 1.0)));
        measures.extend(self.tail(zone, pair).map(|(name, difference)| (name, difference, CLIP * loss)));
        let all = MEASURES + pair.new.losses.len();
        let enough = ((all * stages.max(1)) as f64 / chance).ln();
        for (name, difference, clip) in measures {
            let margin = MARGIN * loss + self.handicap(&name);
            let bet = self.bets.entry(name.clone()).or_insert_with(|| Bet::new(loss, clip));
            bet.takes(difference, margin, clip + margin);
            if bet.wealth_log >= enough && self.worse.is_none() {
                self.worse = Some((name, bet.sum / bet.blocks));
            }
        }
    }

    /// A class of its own may be harmed and hardly show among all, above all a rare one. Its blocks are small, and
    /// lopsided then: cut off on both sides alike they would lean to one, so they count as they are.
    fn cases(&mut self, zone: &str, pair: &SamplePair) -> Vec<(String, f64)> {
        let mut measures = Vec::new();
        for (case, &new) in &pair.new.losses {
            let old = pair.old.losses.get(case).copied().unwrap_or_default();
            let open = self.open_cases.entry(zone.into()).or_default().entry(case.clone()).or_default();
            for (open, more) in open.iter_mut().zip([new, old]) {
                *open = (open.0 + more.0, open.1 + more.1);
            }
            if open.iter().all(|one| one.1 >= LEAST_CASE) {
                let [new, old] = std::mem::take(open);
                let difference = share(new.0, new.1) - share(old.0, old.1);
                measures.push((format!("lost requests of {case}"), difference));
            }
        }
        measures
    }

    /// The slowest of a hundred, in blocks that hold some of them.
    fn tail(&mut self, zone: &str, pair: &SamplePair) -> Option<(String, f64)> {
        let open = self.open_tail.entry(zone.into()).or_default();
        for (open, more) in open.iter_mut().zip([&pair.new, &pair.old]) {
            *open = (open.0 + more.slow_requests[SLOW_QUANTILES.len() - 1], open.1 + more.requests);
        }
        if open.iter().any(|one| one.1 < LEAST_TAIL) {
            return None;
        }
        let [new, old] = std::mem::take(open);
        let difference = SLOW_TAIL * (share(new.0, new.1) - share(old.0, old.1));
        Some((format!("requests slower than {:.0} % of the old", TAIL * 100.0), difference))
    }

    /// The next stage: what was seen counts no more, what the groups differed by before does.
    pub fn start_stage(&mut self) {
        self.bets.clear();
        self.open.clear();
        self.open_cases.clear();
        self.open_tail.clear();
        self.judged = 0;
    }

    pub fn verdict(&self) -> Verdict {
        match &self.worse {
            Some((name, by)) => Verdict::Worse(name.clone(), *by),
            None => Verdict::NoHarmFound(self.judged),
        }
    }

    /// What takes longer than these is slow.
    pub fn slow_thresholds(times: &hdrhistogram::Histogram<u64>) -> Option<[u64; SLOW_QUANTILES.len()]> {
        (times.len() >= LEAST).then(|| SLOW_QUANTILES.map(|quantile| times.value_at_quantile(quantile)))
    }
}

#[cfg(test)]
mod tests;
