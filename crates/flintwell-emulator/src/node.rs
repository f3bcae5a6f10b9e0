//! A cache node or the origin: so many workers, a queue, and the values it holds.

use std::collections::HashSet;

pub(crate) struct Node {
    pub workers: usize,
    queue: usize,
    time: i64,
    /// When each worker is free.
    free: Vec<i64>,
    pub waiting: usize,
    /// Takes all and says nothing.
    pub silent: bool,
    pub values: HashSet<u64>,
}

impl Node {
    pub fn new(workers: usize, queue: usize, time: i64) -> Self {
        Node {
            workers,
            queue,
            time,
            free: vec![0; workers],
            waiting: 0,
            silent: false,
            values: HashSet::new(),
        }
    }

    /// When it will be done with one that comes now; none where it is full.
    pub fn takes(&mut self, now: i64) -> Option<i64> {
        if self.waiting >= self.workers + self.queue {
            return None;
        }
        self.free.resize(self.workers.max(self.free.len()), now);
        let most = self.workers.min(self.free.len());
        let next = self.free[..most].iter_mut().min()?;
        *next = (*next).max(now) + self.time;
        self.waiting += 1;
        Some(*next)
    }
}
