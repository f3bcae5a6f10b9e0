//! Trials of one proxy with a small memory limit and a crowd of bad clients, beside usual clients and through a series of
//! kills. Judged by the memory and the end of each process, and by the rules for the usual clients.

use crate::crowd::{Crowd, CrowdKind};
use crate::fleet::{Caches, Fleet, FleetSpec};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

const BYTES_PER_MB: u64 = 1 << 20;
const USUAL_RATE: f64 = 100.0; // requests of usual clients per second
const CACHES: usize = 8;
const NODE_WORKERS: usize = 64; // the nodes are no bottleneck
const NODE_CONNECTIONS: usize = 2_048; // the same
const FIRST_KILL_S: f64 = 3.0; // the crowd has come by then
const DOWNTIME_S: f64 = 1.0; // from SIGKILL to the next start
const LIFE_S: std::ops::Range<f64> = 0.4..0.7; // between a start and the next SIGKILL of a series
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const RESTART_EXCUSE_MS: f64 = 500.0; // losses are excused this long after a restart
const DEADLINE_S: f64 = 3.0; // of usual requests; the longest of the protocol page
const MAX_LOG_LINES: usize = 100; // of a result
const TIME_SLACK_MS: f64 = 500.0; // a response later than this after its deadline is lost

/// The conditions of a trial.
#[derive(Clone, Debug)]
pub struct CrowdTrial {
    pub seed: u64,
    pub kinds: Vec<CrowdKind>,
    pub clients: usize,
    pub memory_mb: u64,
    pub sockets: usize,
    /// How often the proxy is killed and started again, one after the other.
    pub kills: usize,
    /// How long the last process is observed, s.
    pub observe_s: f64,
}

/// What a trial has shown.
#[derive(Debug)]
pub struct CrowdResult {
    /// The most memory that any of the processes has used.
    pub peak_bytes: u64,
    /// The same without pages of files, whose number depends on how the program was built.
    pub peak_anonymous_bytes: u64,
    pub memory_limit_bytes: u64,
    /// Exit statuses of processes that ended by themselves.
    pub unexpected_ends: Vec<String>,
    /// Requests of usual clients, without those that a kill excuses.
    pub usual_requests: usize,
    pub usual_served: usize,
    /// Usual requests without a response in time.
    pub usual_lost: usize,
    /// The 99th percentile of the response times of served usual requests, ms.
    pub usual_p99_ms: f64,
    pub crowd_served: u64,
    pub crowd_refused: u64,
    pub crowd_unanswered: u64,
    /// Responses that a slow reader was still receiving when they ended early, not by a kill.
    pub crowd_cut_off: u64,
    /// Descriptions of broken rules.
    pub breaches: Vec<String>,
    /// The last lines of the log of all processes.
    pub log: Vec<String>,
}

impl CrowdResult {
    /// Whether every process stayed within its limit and none ended by itself.
    pub fn is_within_limits(&self) -> bool {
        self.peak_bytes <= self.memory_limit_bytes && self.unexpected_ends.is_empty()
    }

    /// Whether, besides, no rule was broken and no response that its client was still reading was cut off.
    pub fn keeps_all(&self) -> bool {
        self.is_within_limits() && self.breaches.is_empty() && self.crowd_cut_off == 0
    }
}

impl CrowdTrial {
    /// The conditions of a drawn trial: kinds, numbers, limits and kills.
    pub fn draw(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let sockets = [256, 512, 1_024][rng.random_range(0..3)];
        let kinds = match rng.random_range(0..3) {
            0 => vec![CrowdKind::SlowReader],
            1 => vec![CrowdKind::ALL[rng.random_range(0..CrowdKind::ALL.len())]],
            _ => {
                let count = rng.random_range(2..=4);
                (0..count).map(|_| CrowdKind::ALL[rng.random_range(0..CrowdKind::ALL.len())]).collect()
            }
        };
        CrowdTrial {
            seed,
            kinds,
            clients: sockets * rng.random_range(30..=40) / 100,
            memory_mb: 32,
            sockets,
            kills: rng.random_range(0..=3),
            observe_s: 8.0,
        }
    }

    /// Runs the trial with `program`, with its files in `folder`.
    pub async fn run(&self, program: &Path, folder: &Path) -> Result<CrowdResult, String> {
        let mut spec = FleetSpec {
            proxies: 1,
            sockets: self.sockets,
            enforce_sockets: true,
            memory_mb: self.memory_mb,
            caches: Caches {
                count: CACHES,
                workers: NODE_WORKERS,
                connections: NODE_CONNECTIONS,
                cold_share: 1.0,
                ramp_s: 0.0,
                ..Caches::default()
            },
            ..FleetSpec::default()
        };
        spec.load.rate = USUAL_RATE;
        spec.origin.max_concurrent_fetches = NODE_WORKERS;
        spec.max_deadline_s = DEADLINE_S;
        spec.load.classes.iter_mut().for_each(|class| class.limit_s = DEADLINE_S);
        let mut fleet = Fleet::start(spec, program, folder).await?;
        let mut rng = ChaCha8Rng::seed_from_u64(!self.seed);
        let lives: Vec<f64> = (1..self.kills).map(|_| rng.random_range(LIFE_S)).collect();
        let series_s: f64 = if self.kills == 0 {
            0.0
        } else {
            FIRST_KILL_S + lives.iter().sum::<f64>() + DOWNTIME_S * self.kills as f64
        };
        let start = Instant::now();
        let end = start + Duration::from_secs_f64(series_s + self.observe_s);
        fleet.start_clients(self.seed, end - start);
        let addr = fleet.proxies[0].listen;
        fleet.proxy_of_unrecorded = Some(fleet.proxies[0].process.name.clone());
        let mut crowd = Crowd::start(addr, &self.kinds, self.clients, self.seed, end);
        let mut kill_at = start + Duration::from_secs_f64(FIRST_KILL_S);
        for kill in 0..self.kills {
            sleep_until(kill_at.into()).await;
            let now = fleet.backends.now_ms();
            crowd.tally.on_kill();
            fleet.proxies[0].process.kill();
            fleet.excuse(0, now - 1_500.0, f64::MAX);
            sleep(Duration::from_secs_f64(DOWNTIME_S)).await;
            fleet.proxies[0].process.spawn()?;
            let until = fleet.backends.now_ms() + RESTART_EXCUSE_MS;
            fleet.end_excuse(0, until);
            kill_at = Instant::now() + Duration::from_secs_f64(lives.get(kill).copied().unwrap_or(0.0));
        }
        while Instant::now() < end {
            fleet.proxies[0].process.inspect();
            sleep(SAMPLE_INTERVAL).await;
        }
        // Their connections end with the time of the trial, not with the proxy's doing.
        let cut_off = crowd.tally.cut_off.load(Ordering::Relaxed);
        crowd.join().await;
        fleet.join_clients().await;
        Ok(self.judge(&mut fleet, &crowd, cut_off))
    }

    fn judge(&self, fleet: &mut Fleet, crowd: &Crowd, crowd_cut_off: u64) -> CrowdResult {
        let process = &mut fleet.proxies[0].process;
        process.inspect();
        let (peak_bytes, peak_anonymous_bytes) = (process.peak_bytes(), process.peak_anonymous_bytes());
        let unexpected_ends = process.unexpected_ends().to_vec();
        let entries = fleet.request_log.entries();
        let usual: Vec<_> = entries.iter().filter(|request| !fleet.is_excused(request)).collect();
        let mut times: Vec<f64> = usual
            .iter()
            .filter(|request| request.status == Some(200))
            .map(|request| request.took_ms)
            .collect();
        times.sort_by(f64::total_cmp);
        let lost = usual
            .iter()
            .filter(|request| request.status.is_none() || request.took_ms > request.limit_ms + TIME_SLACK_MS);
        let tally = &crowd.tally;
        CrowdResult {
            peak_bytes,
            peak_anonymous_bytes,
            memory_limit_bytes: self.memory_mb * BYTES_PER_MB,
            unexpected_ends,
            usual_requests: usual.len(),
            usual_served: times.len(),
            usual_lost: lost.count(),
            usual_p99_ms: times.get(times.len().saturating_sub(1) * 99 / 100).copied().unwrap_or(0.0),
            crowd_served: tally.served.load(Ordering::Relaxed),
            crowd_refused: tally.refused.load(Ordering::Relaxed),
            crowd_unanswered: tally.unanswered.load(Ordering::Relaxed),
            crowd_cut_off,
            breaches: fleet
                .breaches()
                .iter()
                .map(|breach| format!("rule {}: {}", breach.rule, breach.what))
                .collect(),
            log: last_lines(&fleet.proxies[0].process.log()),
        }
    }
}

fn last_lines(log: &[String]) -> Vec<String> {
    log[log.len().saturating_sub(MAX_LOG_LINES)..].to_vec()
}
