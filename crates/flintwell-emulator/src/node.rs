//! A simulated cache node or origin: a fixed number of workers, a bounded queue and the cached values.

use std::collections::HashSet;

pub(crate) struct Node {
    pub workers: usize,
    queue_capacity: usize,
    service_time_us: i64,
    /// The time at which each worker becomes free.
    worker_free_at: Vec<i64>,
    /// Requests in service or queued.
    pub in_flight: usize,
    /// Accepts requests but never answers.
    pub silent: bool,
    pub cached_keys: HashSet<u64>,
}

impl Node {
    pub fn new(workers: usize, queue_capacity: usize, service_time_us: i64) -> Self {
        Node {
            workers,
            queue_capacity,
            service_time_us,
            worker_free_at: vec![0; workers],
            in_flight: 0,
            silent: false,
            cached_keys: HashSet::new(),
        }
    }

    /// Admits a request that arrives now. Returns its completion time, or `None` if the node is full.
    pub fn accept(&mut self, now: i64) -> Option<i64> {
        if self.in_flight >= self.workers + self.queue_capacity {
            return None;
        }
        self.worker_free_at.resize(self.workers.max(self.worker_free_at.len()), now);
        let active = self.workers.min(self.worker_free_at.len());
        let completion = self.worker_free_at[..active].iter_mut().min()?;
        *completion = (*completion).max(now) + self.service_time_us;
        self.in_flight += 1;
        Some(*completion)
    }
}
