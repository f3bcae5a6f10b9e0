//! Is the new worse than the old? Both are compared in the same seconds and zone by zone, never with their own past.
//!
//! Each measure is a test by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
//! betting", JRSS B 2024): a wealth that starts at 1 and is multiplied, block by block, by 1 + stake * (difference -
//! margin). While the new is no worse than the margin its expected growth is at most none, whatever the blocks depend
//! on within themselves, so by Ville's inequality the chance that it ever reaches 1 / chance is at most `chance`, however
//! often it is looked at. The chance of a rollout is shared by its measures and stages.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const LEAST: u64 = 25; // accesses on either side of a block; under it a share is a throw of the dice
const LEAST_CASE: u64 = 3; // the same of one use case, which may be rare; its differences are not cut off, so few will do
const CLIP: f64 = 3.0; // times the loss to be found; what a block may weigh at most, so that one burst decides nothing
const MARGIN: f64 = 0.25; // of the loss; what the new may be worse by at no cost
const STAKE_MOST: f64 = 0.8; // of what would lose all on one block
const BEGINS: f64 = 2.0; // blocks that the first guess, a difference of the loss, counts for
/// Shares of the old ones' times so far; slower than such a time is slow. Fetches make the slow end their own: what slows
/// the quick ones shows in the middle only.
pub const SLOW_AT: [f64; 4] = [0.5, 0.8, 0.95, TAIL];
const TAIL: f64 = 0.99; // of the old ones' times; judged in blocks of its own, since a block of 25 holds none of it
const LEAST_TAIL: u64 = 200; // accesses on either side of such a block: two are slower than the tail on the mean
const SLOW_TAIL: f64 = 3.0; // of a loss; a tail that twice as many fall into has one more of a hundred in it, and is found
const HAND_OFFS: f64 = 0.1; // of a loss; an access's hand-offs count so much, since one more in ten is much
const FETCHES: f64 = 0.1; // the same for its fetches
const SLOW: f64 = 0.2; // the same for its being slow; twice as many over a 95th percentile are 5 % of accesses

const MEASURES: usize = 3 + SLOW_AT.len(); // of all accesses; one more for each use case

/// What a group of proxies counted within some time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub accesses: u64,
    /// Turned back or broken off, by use case, and how many there were.
    pub lost: BTreeMap<String, (u64, u64)>,
    pub hand_offs: u64,
    pub fetches: u64,
    /// Accesses slower than each of the limits that the judge tells.
    pub slow: [u64; SLOW_AT.len()],
}

impl Sample {
    pub fn add(&mut self, other: &Sample) {
        self.accesses += other.accesses;
        self.hand_offs += other.hand_offs;
        self.fetches += other.fetches;
        self.slow.iter_mut().zip(other.slow).for_each(|(sum, slow)| *sum += slow);
        for (case, (lost, all)) in &other.lost {
            let sum = self.lost.entry(case.clone()).or_default();
            *sum = (sum.0 + lost, sum.1 + all);
        }
    }
    /// The share of accesses that were not honoured.
    pub fn lost_share(&self) -> f64 {
        let (lost, all) = self.lost.values().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        share(lost, all)
    }
}

fn share(part: u64, all: u64) -> f64 {
    part as f64 / all.max(1) as f64
}

/// New and old in one zone and the same seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pair {
    pub new: Sample,
    pub old: Sample,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The share of accesses lost that has to be found.
    pub loss: f64,
    /// Of stopping a rollout that is no worse, in all its stages.
    pub chance: f64,
    pub stages: usize,
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
    /// No sign of harm, after so many accesses of the new ones.
    Quiet(u64),
    /// By which measure, and by how much on the mean.
    Worse(String, f64),
}

/// Judges one stage.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Judge {
    limits: Limits,
    /// Not judged yet: blocks that are still too small, by zone.
    open: BTreeMap<String, Pair>,
    /// The same of each use case: lost and all, of the new and the old.
    open_cases: BTreeMap<String, BTreeMap<String, [(u64, u64); 2]>>,
    /// The same of accesses slower than the tail's limit, by zone.
    open_tail: BTreeMap<String, [(u64, u64); 2]>,
    bets: BTreeMap<String, Bet>,
    /// What the groups differed by before anything was changed.
    before: BTreeMap<String, (f64, f64, f64)>,
    /// Of the new, in blocks that were judged.
    judged: u64,
    worse: Option<(String, f64)>,
}

impl Judge {
    pub fn new(limits: Limits) -> Self {
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
    pub fn before(&mut self, zone: &str, pair: &Pair) {
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
    fn block(&mut self, zone: &str, pair: &Pair) -> Option<(u64, Vec<(String, f64)>)> {
        let open = self.open.entry(zone.into()).or_default();
        open.new.add(&pair.new);
        open.old.add(&pair.old);
        if open.new.accesses < LEAST || open.old.accesses < LEAST {
            return None;
        }
        let Pair { new, old } = std::mem::take(open);
        let scaled = |scale: f64, part: &dyn Fn(&Sample) -> u64| {
            scale * (share(part(&new), new.accesses) - share(part(&old), old.accesses))
        };
        let mut measures = vec![
            ("lost accesses".to_owned(), new.lost_share() - old.lost_share()),
            ("hand-offs an access".to_owned(), scaled(HAND_OFFS, &|sample| sample.hand_offs)),
            ("fetches an access".to_owned(), scaled(FETCHES, &|sample| sample.fetches)),
        ];
        for (n, quantile) in SLOW_AT.iter().enumerate().filter(|one| *one.1 < TAIL) {
            let name = format!("accesses slower than {:.0} % of the old", quantile * 100.0);
            measures.push((name, scaled(SLOW, &|sample| sample.slow[n])));
        }
        Some((new.accesses, measures))
    }

    /// New and old in one zone since the last call.
    pub fn takes(&mut self, zone: &str, pair: &Pair) {
        let Limits { loss, chance, stages } = self.limits;
        let mut measures: Vec<(String, f64, f64)> = Vec::new();
        if let Some((accesses, block)) = self.block(zone, pair) {
            self.judged += accesses;
            measures.extend(block.into_iter().map(|(name, difference)| (name, difference, CLIP * loss)));
        }
        let cases = self.cases(zone, pair);
        measures.extend(cases.into_iter().map(|(name, difference)| (name, difference, 1.0)));
        measures.extend(self.tail(zone, pair).map(|(name, difference)| (name, difference, CLIP * loss)));
        let all = MEASURES + pair.new.lost.len();
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

    /// A use case of its own may be harmed and hardly show among all, above all a rare one. Its blocks are small, and
    /// lopsided then: cut off on both sides alike they would lean to one, so they count as they are.
    fn cases(&mut self, zone: &str, pair: &Pair) -> Vec<(String, f64)> {
        let mut measures = Vec::new();
        for (case, &new) in &pair.new.lost {
            let old = pair.old.lost.get(case).copied().unwrap_or_default();
            let open = self.open_cases.entry(zone.into()).or_default().entry(case.clone()).or_default();
            for (open, more) in open.iter_mut().zip([new, old]) {
                *open = (open.0 + more.0, open.1 + more.1);
            }
            if open.iter().all(|one| one.1 >= LEAST_CASE) {
                let [new, old] = std::mem::take(open);
                let difference = share(new.0, new.1) - share(old.0, old.1);
                measures.push((format!("lost accesses of {case}"), difference));
            }
        }
        measures
    }

    /// The slowest of a hundred, in blocks that hold some of them.
    fn tail(&mut self, zone: &str, pair: &Pair) -> Option<(String, f64)> {
        let open = self.open_tail.entry(zone.into()).or_default();
        for (open, more) in open.iter_mut().zip([&pair.new, &pair.old]) {
            *open = (open.0 + more.slow[SLOW_AT.len() - 1], open.1 + more.accesses);
        }
        if open.iter().any(|one| one.1 < LEAST_TAIL) {
            return None;
        }
        let [new, old] = std::mem::take(open);
        let difference = SLOW_TAIL * (share(new.0, new.1) - share(old.0, old.1));
        Some((format!("accesses slower than {:.0} % of the old", TAIL * 100.0), difference))
    }

    /// The next stage: what was seen counts no more, what the groups differed by before does.
    pub fn begins_anew(&mut self) {
        self.bets.clear();
        self.open.clear();
        self.open_cases.clear();
        self.open_tail.clear();
        self.judged = 0;
    }

    pub fn verdict(&self) -> Verdict {
        match &self.worse {
            Some((name, by)) => Verdict::Worse(name.clone(), *by),
            None => Verdict::Quiet(self.judged),
        }
    }

    /// What takes longer than these is slow.
    pub fn slow_from(times: &hdrhistogram::Histogram<u64>) -> Option<[u64; SLOW_AT.len()]> {
        (times.len() >= LEAST).then(|| SLOW_AT.map(|quantile| times.value_at_quantile(quantile)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;
    use rand_distr::{Binomial, Distribution};

    const LIMITS: Limits = Limits { loss: 0.02, chance: 0.01, stages: 3 };

    /// Accesses of one second: of two use cases, one of them rare, lost at this rate.
    fn second(rng: &mut ChaCha8Rng, accesses: u64, lost: f64, rare: f64, fetches: f64) -> Sample {
        let mut of = |all: u64, rate: f64| Binomial::new(all, rate).expect("a rate").sample(rng);
        let writes = accesses / 5;
        let reads = accesses - writes;
        Sample {
            accesses,
            lost: BTreeMap::from([
                ("read".into(), (of(reads, lost), reads)),
                ("write".into(), (of(writes, rare), writes)),
            ]),
            hand_offs: accesses + of(accesses, 0.2),
            fetches: of(accesses, fetches),
            slow: [of(accesses, 0.5), of(accesses, 0.2), of(accesses, 0.05), of(accesses, 0.01)],
        }
    }

    /// After how many accesses of the new the judge stops, within three minutes of 150 a second; none if it does not.
    fn stops(seed: u64, mut play: impl FnMut(&mut ChaCha8Rng, u64) -> Pair) -> Option<u64> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut judge = Judge::new(LIMITS);
        (0..180).find_map(|at| {
            let pair = play(&mut rng, at);
            judge.takes("a", &pair);
            matches!(judge.verdict(), Verdict::Worse(..)).then_some(judge.judged)
        })
    }

    fn count(plays: u64, play: impl Fn(&mut ChaCha8Rng, u64) -> Pair + Copy) -> (usize, u64) {
        let mut stopped: Vec<u64> = (0..plays).filter_map(|seed| stops(seed, play)).collect();
        stopped.sort_unstable();
        (stopped.len(), stopped.get(stopped.len() * 19 / 20).copied().unwrap_or(0))
    }

    #[test]
    fn two_in_a_hundred_lost_are_found_within_a_stated_number_of_accesses() {
        let (found, most) = count(200, |rng, _| Pair {
            new: second(rng, 150, 0.03, 0.03, 0.1),
            old: second(rng, 1_000, 0.01, 0.01, 0.1),
        });
        assert!(found == 200 && most <= 10_000, "{found} of 200, 19 of 20 within {most}");
        // Of one use case only, a fifth of all accesses.
        let (found, most) = count(200, |rng, _| Pair {
            new: second(rng, 150, 0.0, 0.1, 0.1),
            old: second(rng, 1_000, 0.0, 0.0, 0.1),
        });
        assert!(found == 200 && most <= 10_000, "{found} of 200, 19 of 20 within {most}");
        // All of a use case that one in fifty is of: 20 lost in 1,000 accesses.
        let rare = |rng: &mut ChaCha8Rng, accesses: u64, lost: f64| {
            let mut sample = second(rng, accesses, 0.0, 0.0, 0.1);
            let few = Binomial::new(accesses, 0.02).expect("a rate").sample(rng);
            sample.lost.insert("once".into(), ((few as f64 * lost) as u64, few));
            sample
        };
        let (found, most) =
            count(200, |rng, _| Pair { new: rare(rng, 150, 1.0), old: rare(rng, 1_000, 0.0) });
        assert!(found == 200 && most <= 6_000, "{found} of 200, 19 of 20 within {most}");
        // Twice the fetches, nothing lost.
        let (found, most) = count(200, |rng, _| Pair {
            new: second(rng, 150, 0.0, 0.0, 0.5),
            old: second(rng, 1_000, 0.0, 0.0, 0.1),
        });
        assert!(found == 200 && most <= 10_000, "{found} of 200, 19 of 20 within {most}");
    }

    #[test]
    fn a_tail_that_three_times_as_many_fall_into_is_found() {
        let (found, most) = count(100, |rng, _| {
            let mut new = second(rng, 150, 0.0, 0.0, 0.1);
            new.slow[3] = Binomial::new(150, 0.033).expect("a rate").sample(rng);
            Pair { new, old: second(rng, 1_000, 0.0, 0.0, 0.1) }
        });
        assert!(found == 100 && most <= 10_000, "{found} of 100, 19 of 20 within {most}");
    }

    /// No worse than the old, through troubles that meet both alike in the same seconds, is no cause to stop.
    #[test]
    fn false_stops_are_rarer_than_stated_also_while_a_fault_meets_both() {
        let calm = |rng: &mut ChaCha8Rng, _| Pair {
            new: second(rng, 150, 0.02, 0.02, 0.1),
            old: second(rng, 1_000, 0.02, 0.02, 0.1),
        };
        let (stopped, _) = count(1_000, calm);
        assert!(stopped <= 10, "{stopped} of 1000 in calm");
        let fault = |rng: &mut ChaCha8Rng, at: u64| {
            // Each second is good or bad for all; within a bad one losses are many and differ by chance.
            let base = if at / 20 % 2 == 1 { rng.random_range(0.05..0.6) } else { 0.01 };
            let (new, old) = (rng.random_range(0.8..1.2), rng.random_range(0.95..1.05));
            let mut pair = Pair {
                new: second(rng, 150, base * new, base * new, 0.1 + base / 2.0),
                old: second(rng, 1_000, base * old, base * old, 0.1 + base / 2.0),
            };
            // What fails is slow before it does.
            for side in [&mut pair.new, &mut pair.old] {
                side.slow[3] = Binomial::new(side.accesses, base / 2.0).expect("a rate").sample(rng);
            }
            pair
        };
        let (stopped, _) = count(1_000, fault);
        assert!(stopped <= 10, "{stopped} of 1000 under a fault");
        // Against its own past, as it must not be judged, it would be stopped each time.
        let past = |rng: &mut ChaCha8Rng, at: u64| Pair {
            new: fault(rng, at).new,
            old: second(rng, 1_000, 0.01, 0.01, 0.1),
        };
        assert!(count(50, past).0 >= 45, "the fault is one that would show");
    }

    #[test]
    fn what_the_groups_differed_by_before_is_no_harm() {
        let unlike = |rng: &mut ChaCha8Rng, _: u64| Pair {
            new: second(rng, 150, 0.05, 0.05, 0.1),
            old: second(rng, 1_000, 0.01, 0.01, 0.1),
        };
        let judged = |seed: u64, watched: bool| {
            let (mut rng, mut judge) = (ChaCha8Rng::seed_from_u64(seed), Judge::new(LIMITS));
            for at in 0..30 {
                let pair = unlike(&mut rng, at);
                watched.then(|| judge.before("a", &pair));
            }
            (0..120).for_each(|at| judge.takes("a", &unlike(&mut rng, at)));
            matches!(judge.verdict(), Verdict::Worse(..))
        };
        let stopped = |watched| (0..100).filter(|&seed| judged(seed, watched)).count();
        assert!(stopped(true) <= 2 && stopped(false) >= 95, "{} and {}", stopped(true), stopped(false));
    }

    #[test]
    fn zones_are_not_mixed_and_too_few_accesses_say_nothing() {
        // The new are mostly in a zone that fails, the old mostly in one that does not.
        let mut judge = Judge::new(LIMITS);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for _ in 0..120 {
            let bad =
                Pair { new: second(&mut rng, 200, 0.5, 0.5, 0.1), old: second(&mut rng, 100, 0.5, 0.5, 0.1) };
            let good =
                Pair { new: second(&mut rng, 50, 0.0, 0.0, 0.1), old: second(&mut rng, 800, 0.0, 0.0, 0.1) };
            judge.takes("a", &bad);
            judge.takes("b", &good);
        }
        assert!(
            matches!(judge.verdict(), Verdict::Quiet(judged) if judged > 20_000),
            "{:?}",
            judge.verdict()
        );
        let mut judge = Judge::new(LIMITS);
        let alone = Pair { new: second(&mut rng, 500, 1.0, 1.0, 0.1), old: Sample::default() };
        (0..100).for_each(|_| judge.takes("a", &alone));
        assert_eq!(judge.verdict(), Verdict::Quiet(0), "with no old beside it nothing can be told");
    }
}
