//! What a fleet is made of, what goes wrong when, and what came of it.

/// Times in us unless they say otherwise.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub proxies: usize,
    pub zones: u32,
    /// In each zone.
    pub caches_per_zone: usize,
    pub cache_workers: usize,
    pub cache_queue_capacity: usize,
    pub cache_service_time_us: i64,
    /// Fetches at once; what comes beyond is refused.
    pub origin_capacity: usize,
    pub origin_service_time_us: i64,
    /// Requests a second at each proxy.
    pub requests_per_second: f64,
    pub key_count: u64,
    /// The share of reads for a key that nobody asked for before.
    pub new_key_share: f64,
    /// How often one that is refused comes again.
    pub max_retries: u32,
    /// Proxies may speak to one another.
    pub peer_messaging: bool,
    /// Share of datagrams lost; as many come twice.
    pub datagram_loss: f64,
    pub duration_s: i64,
    pub seed: u64,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        SimulationConfig {
            proxies: 12,
            zones: 3,
            caches_per_zone: 4,
            cache_workers: 4,
            cache_queue_capacity: 16,
            cache_service_time_us: 4_000,
            origin_capacity: 40,
            origin_service_time_us: 120_000,
            requests_per_second: 50.0,
            key_count: 200,
            new_key_share: 0.1,
            max_retries: 0,
            peer_messaging: false,
            datagram_loss: 0.0,
            duration_s: 20,
            seed: 1,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    OriginCapacity(usize),
    /// Stands still for so long; what comes waits.
    Pause {
        proxy: usize,
        duration_us: i64,
    },
    /// Ends, with all it has in hand, and begins anew at once with empty beliefs.
    Restart {
        proxy: usize,
    },
    /// No datagram passes between proxies under this number and the others.
    Partition {
        split_at: usize,
    },
    HealPartition,
    /// Cache nodes of this zone take requests and say nothing, or answer again.
    SilentZone {
        zone: u32,
        silent: bool,
    },
    /// Requests a second at each proxy from now on; 0 at those at or above the number.
    RequestRate {
        requests_per_second: f64,
        loaded_proxies: usize,
    },
    /// Tells others that hardly anything is taken and nearly all refused.
    FalseReports {
        proxy: usize,
    },
}

#[derive(Clone, Debug, Default)]
pub struct SecondStats {
    /// First asked for, without those that come again.
    pub new_requests: u64,
    pub requests: u64,
    pub served: u64,
    pub served_within_target: u64,
    pub refused: u64,
    pub failed: u64,
    /// By the origin.
    pub origin_fetches: u64,
    pub origin_refusals: u64,
    /// Attempts to nodes that say nothing.
    pub unanswered_attempts: u64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
}

#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    pub per_second: Vec<SecondStats>,
    /// The most by which units in use were above those there are; 0 where the loans hold.
    pub max_excess_units: u32,
    /// Requests with no final answer, or a second one, but for those that a restart took.
    pub lost_requests: u64,
    pub duplicate_answers: u64,
}

impl SimulationResult {
    /// Sums from one second to another.
    pub fn sum(&self, from: usize, to: usize) -> SecondStats {
        let mut sum = SecondStats::default();
        for one in self.per_second.iter().take(to).skip(from) {
            sum.new_requests += one.new_requests;
            sum.requests += one.requests;
            sum.served += one.served;
            sum.served_within_target += one.served_within_target;
            sum.refused += one.refused;
            sum.failed += one.failed;
            sum.origin_fetches += one.origin_fetches;
            sum.origin_refusals += one.origin_refusals;
            sum.unanswered_attempts += one.unanswered_attempts;
            sum.datagrams_sent += one.datagrams_sent;
            sum.bytes_sent += one.bytes_sent;
        }
        sum
    }
}
