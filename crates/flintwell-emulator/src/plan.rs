//! What a fleet is made of, what goes wrong when, and what came of it.

/// Times in us unless they say otherwise.
#[derive(Clone, Debug)]
pub struct Shape {
    pub proxies: usize,
    pub zones: u32,
    /// In each zone.
    pub caches: usize,
    pub cache_workers: usize,
    pub cache_queue: usize,
    pub cache_time: i64,
    /// Fetches at once; what comes beyond is refused.
    pub origin_room: usize,
    pub origin_time: i64,
    /// Requests a second at each proxy.
    pub rate: f64,
    pub keys: u64,
    /// The share of reads for a key that nobody asked for before.
    pub new_keys: f64,
    /// How often one that is refused comes again.
    pub again: u32,
    /// Proxies may speak to one another.
    pub words: bool,
    /// Share of datagrams lost; as many come twice.
    pub loss: f64,
    pub seconds: i64,
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            proxies: 12,
            zones: 3,
            caches: 4,
            cache_workers: 4,
            cache_queue: 16,
            cache_time: 4_000,
            origin_room: 40,
            origin_time: 120_000,
            rate: 50.0,
            keys: 200,
            new_keys: 0.1,
            again: 0,
            words: false,
            loss: 0.0,
            seconds: 20,
            seed: 1,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    OriginRoom(usize),
    /// Stands still for so long; what comes waits.
    Pause {
        proxy: usize,
        time: i64,
    },
    /// Ends, with all it has in hand, and begins anew at once with empty beliefs.
    Restart {
        proxy: usize,
    },
    /// No datagram passes between proxies under this number and the others.
    Cut {
        below: usize,
    },
    Heal,
    /// Cache nodes of this zone take requests and say nothing, or answer again.
    Silent {
        zone: u32,
        on: bool,
    },
    /// Requests a second at each proxy from now on; 0 at those at or above the number.
    Load {
        rate: f64,
        below: usize,
    },
    /// Tells others that hardly anything is taken and nearly all refused.
    Liar {
        proxy: usize,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Second {
    /// First asked for, without those that come again.
    pub fresh: u64,
    pub requests: u64,
    pub served: u64,
    pub in_time: u64,
    pub refused: u64,
    pub failed: u64,
    /// By the origin.
    pub fetched: u64,
    pub origin_refused: u64,
    /// Attempts to nodes that say nothing.
    pub unheard: u64,
    pub datagrams: u64,
    pub bytes: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub seconds: Vec<Second>,
    /// The most by which units in use were above those there are; 0 where the loans hold.
    pub excess: u32,
    /// Requests with no final answer, or a second one, but for those that a restart took.
    pub lost: u64,
    pub doubled: u64,
}

impl Outcome {
    /// Sums from one second to another.
    pub fn sum(&self, from: usize, to: usize) -> Second {
        let mut sum = Second::default();
        for one in self.seconds.iter().take(to).skip(from) {
            sum.fresh += one.fresh;
            sum.requests += one.requests;
            sum.served += one.served;
            sum.in_time += one.in_time;
            sum.refused += one.refused;
            sum.failed += one.failed;
            sum.fetched += one.fetched;
            sum.origin_refused += one.origin_refused;
            sum.unheard += one.unheard;
            sum.datagrams += one.datagrams;
            sum.bytes += one.bytes;
        }
        sum
    }
}
