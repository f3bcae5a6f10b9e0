//! Configuration, faults and results of a simulation.

/// Configuration of one simulation run.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub proxies: usize,
    pub zones: u32,
    pub caches_per_zone: usize,
    pub cache_workers: usize,
    /// Requests that a cache queues while all its workers are busy.
    pub cache_queue_capacity: usize,
    pub cache_service_time_us: i64,
    /// Concurrent fetches; the origin refuses further ones.
    pub origin_capacity: usize,
    pub origin_service_time_us: i64,
    /// Mean arrival rate of new requests at each proxy.
    pub requests_per_second: f64,
    /// Number of keys that the other requests draw from, by a Zipf distribution.
    pub key_count: u64,
    /// Share of new requests for a key that has not been requested before.
    pub new_key_share: f64,
    /// How often a client retries a refused request.
    pub max_retries: u32,
    /// Whether proxies exchange membership, limit and probe messages.
    pub peer_messaging: bool,
    /// Share of datagrams lost; the same share of the others is duplicated.
    pub datagram_loss: f64,
    /// Simulated time during which clients send requests.
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

/// A fault, a change of load, or the end of a fault.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The origin serves this many fetches at once from now on.
    OriginCapacity(usize),
    /// The process is suspended; its events are delayed until the end of the pause.
    Pause { proxy: usize, duration_us: i64 },
    /// The process ends, loses its requests in flight and restarts at once without any learned state.
    Restart { proxy: usize },
    /// Datagrams between proxies numbered below `split_at` and the others are dropped.
    Partition { split_at: usize },
    /// Ends the partition.
    HealPartition,
    /// The cache nodes of this zone accept requests without answering (`silent`), or answer again.
    SilentZone { zone: u32, silent: bool },
    /// The arrival rate at the first `loaded_proxies` proxies from now on; the others get no new requests.
    RequestRate { requests_per_second: f64, loaded_proxies: usize },
    /// The proxy reports to its peers that the origin accepts almost nothing and refuses nearly everything.
    FalseReports { proxy: usize },
}

/// Counts for one second of virtual time.
#[derive(Clone, Debug, Default)]
pub struct SecondStats {
    /// Requests without retries.
    pub new_requests: u64,
    /// Requests including retries.
    pub requests: u64,
    /// Requests answered with a value.
    pub served: u64,
    /// Served within the latency target.
    pub served_within_target: u64,
    /// Requests answered with a refusal, including those that are retried.
    pub refused: u64,
    /// Requests answered with a failure.
    pub failed: u64,
    /// Fetches that the origin accepted.
    pub origin_fetches: u64,
    /// Fetches that the origin refused because it was full.
    pub origin_refusals: u64,
    /// Attempts that arrived at a silent node.
    pub unanswered_attempts: u64,
    /// Datagrams sent between proxies, including those that are lost.
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct SimulationResult {
    pub per_second: Vec<SecondStats>,
    /// The largest number of units in use beyond those that exist; 0 while the loan protocol holds.
    pub max_excess_units: u32,
    /// Requests without a final answer, except those lost in a restart.
    pub lost_requests: u64,
    /// Final answers beyond the first of a request, except for requests lost in a restart.
    pub duplicate_answers: u64,
}

impl SimulationResult {
    /// Sums the counts from second `from` up to, but not including, second `to`.
    pub fn sum(&self, from: usize, to: usize) -> SecondStats {
        let mut total = SecondStats::default();
        for second in self.per_second.iter().take(to).skip(from) {
            total.new_requests += second.new_requests;
            total.requests += second.requests;
            total.served += second.served;
            total.served_within_target += second.served_within_target;
            total.refused += second.refused;
            total.failed += second.failed;
            total.origin_fetches += second.origin_fetches;
            total.origin_refusals += second.origin_refusals;
            total.unanswered_attempts += second.unanswered_attempts;
            total.datagrams_sent += second.datagrams_sent;
            total.bytes_sent += second.bytes_sent;
        }
        total
    }
}
