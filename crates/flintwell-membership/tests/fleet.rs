//! Fleets in virtual time over a simulated network that loses, duplicates and delays datagrams and can be partitioned.

use flintwell_membership::member::{MemberId, Member, Settings, Transport};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A datagram in flight: sender, destination and bytes.
type Flight = (usize, SocketAddr, Vec<u8>);

struct MemberTransport<'a> {
    from: usize,
    flights: &'a mut Vec<Flight>,
    heard: &'a mut usize,
}

impl Transport for MemberTransport<'_> {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        assert!(datagram.len() <= 256, "{} bytes", datagram.len());
        self.flights.push((self.from, to, datagram.to_vec()));
    }
    fn deliver(&mut self, _: &MemberId, _: &[u8]) {
        *self.heard += 1;
    }
}

/// A simulated network and its members.
struct Net {
    now: u64,
    rng: ChaCha8Rng,
    members: Vec<Option<Member>>,
    size: u32,
    /// Members that are paused, and until when.
    paused: BTreeMap<usize, u64>,
    in_flight: BTreeMap<(u64, u64), Flight>,
    count: u64,
    loss: f64,
    /// Whether datagrams from the first member to the second are lost.
    is_cut: Box<dyn Fn(usize, usize) -> bool>,
    heard: usize,
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7_000))
}

fn number(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[2]) * 250 + usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Net {
    fn new(seed: u64, count: usize, loss: f64) -> Self {
        let mut net = Net {
            now: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: Vec::new(),
            size: count as u32,
            paused: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            count: 0,
            loss,
            is_cut: Box::new(|_, _| false),
            heard: 0,
        };
        for n in 0..count {
            net.members.push(None);
            net.start_member(n, 1);
        }
        net
    }

    /// Starts or restarts member `n`.
    fn start_member(&mut self, n: usize, life: u64) {
        let settings = Settings {
            cluster: "c".into(),
            key: b"key".to_vec(),
            id: MemberId { number: n as u32, addr: addr(n), generation: life },
            seeds: (0..3).map(addr).collect(),
            fleet_size: self.size,
            rng_seed: self.rng.random(),
        };
        self.members[n] = Some(Member::new(self.now, settings));
    }

    /// Runs the network in steps of 20 ms.
    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += 20;
            let mut flights = Vec::new();
            // A member that resumes runs its timers before it reads the datagrams that wait: the worse order.
            for n in 0..self.members.len() {
                let paused = self.paused.get(&n).is_some_and(|&until| self.now < until);
                let mut out = MemberTransport { from: n, flights: &mut flights, heard: &mut self.heard };
                if let Some(member) =
                    self.members[n].as_mut().filter(|member| !paused && member.next_tick_at() <= self.now)
                {
                    member.tick(self.now, &mut out);
                }
            }
            while let Some((&key, _)) = self.in_flight.first_key_value().filter(|(key, _)| key.0 <= self.now)
            {
                let Some((_, to, datagram)) = self.in_flight.remove(&key) else { break };
                let n = number(to);
                if self.paused.get(&n).is_some_and(|&until| self.now < until) {
                    // The datagram waits in the socket buffer.
                    self.in_flight.insert((self.paused[&n], key.1), (0, to, datagram));
                    continue;
                }
                let mut out = MemberTransport { from: n, flights: &mut flights, heard: &mut self.heard };
                if let Some(member) = self.members.get_mut(n).and_then(Option::as_mut) {
                    member.handle_datagram(self.now, &datagram, &mut out);
                }
            }
            for (from, to, datagram) in flights {
                if (self.is_cut)(from, number(to)) || self.rng.random::<f64>() < self.loss {
                    continue;
                }
                let copies = 1 + usize::from(self.rng.random::<f64>() < self.loss);
                for _ in 0..copies {
                    self.count += 1;
                    let at = self.now + self.rng.random_range(1..15);
                    self.in_flight.insert((at, self.count), (from, to, datagram.clone()));
                }
            }
        }
    }

    /// For each running member, how many others it knows.
    fn known(&self) -> Vec<usize> {
        self.members.iter().flatten().map(|member| member.peers().len()).collect()
    }
    fn is_converged(&self) -> bool {
        let there = self.members.iter().flatten().count();
        self.known().iter().all(|&known| known == there - 1)
    }
    fn downs(&self) -> u64 {
        self.members.iter().flatten().map(|member| member.declared_down).sum()
    }
    /// Runs until every running member knows all others; returns the time taken.
    fn run_until_converged(&mut self, max_ms: u64) -> u64 {
        let started_at = self.now;
        while !self.is_converged() && self.now < started_at + max_ms {
            self.run(100);
        }
        self.now - started_at
    }
}

#[test]
fn a_fleet_converges_detects_a_crash_and_accepts_the_restarted_member_under_its_number() {
    let mut net = Net::new(1, 24, 0.05);
    let took_ms = net.run_until_converged(30_000);
    assert!(took_ms < 20_000, "converged after {took_ms} ms");
    net.run(60_000);
    assert!(net.is_converged() && net.downs() == 0, "{} members declared down by lost datagrams alone", net.downs());
    net.members[5] = None;
    let took_ms = net.run_until_converged(60_000);
    assert!((1_000..20_000).contains(&took_ms), "{took_ms} ms until all declared it down");
    net.start_member(5, 2);
    let took_ms = net.run_until_converged(60_000);
    assert!(took_ms < 15_000, "{took_ms} ms until all accepted it again");
    let (now, mut flights) = (net.now, Vec::new());
    let mut out = MemberTransport { from: 7, flights: &mut flights, heard: &mut net.heard };
    let seven = net.members[7].as_mut().expect("there");
    let to = seven.peers()[0].clone();
    seven.send_message(&to, b"message", &mut out);
    seven.leave(now, &mut out);
    net.members[7] = None;
    for flight in flights {
        net.count += 1;
        net.in_flight.insert((now + 5, net.count), flight);
    }
    let took_ms = net.run_until_converged(20_000);
    assert!(took_ms < 4_000 && net.heard == 1, "{took_ms} ms after it announced that it leaves, {} messages delivered", net.heard);
}

#[test]
fn a_partition_heals_and_a_paused_member_declares_nobody_down() {
    let mut net = Net::new(2, 16, 0.02);
    net.run_until_converged(30_000);
    let downs = net.downs();
    // When it is paused it suspects a member, whose refutation waits unread in the socket buffer.
    net.is_cut = Box::new(|from, to| from == 3 || to == 3);
    net.run(1_200);
    net.is_cut = Box::new(|_, _| false);
    net.paused.insert(3, net.now + 6_000);
    net.run(6_500);
    let declared_down = net.members[3].as_ref().map(|member| member.declared_down);
    assert_eq!(declared_down, Some(0), "it declared others down when it resumed");
    net.run_until_converged(40_000);
    assert!(net.is_converged(), "{:?}", net.known());
    assert!(net.downs() - downs <= 16, "nobody but the paused member was declared down");
    net.is_cut = Box::new(|from, to| (from < 8) != (to < 8));
    net.run(40_000);
    assert_eq!(net.known(), vec![7; 16], "each half knows its own members only");
    net.is_cut = Box::new(|_, _| false);
    let took_ms = net.run_until_converged(60_000);
    assert!(took_ms < 40_000, "{took_ms} ms until the halves merged");
    // One-way partition: datagrams from one member to half of the fleet are lost; that half still learns of it through
    // the members that both reach.
    net.is_cut = Box::new(|from, to| from == 4 && to < 8);
    net.run(30_000);
    net.is_cut = Box::new(|_, _| false);
    assert!(net.run_until_converged(60_000) < 60_000, "{:?}", net.known());
}

/// The send rate of a member does not grow with the fleet, and a crash is detected within seconds.
#[test]
fn send_rate_per_member_is_independent_of_fleet_size() {
    let mut rates = Vec::new();
    for count in [12, 48, 128] {
        let mut net = Net::new(3, count, 0.0);
        let took_ms = net.run_until_converged(120_000);
        println!("{count}: converged after {took_ms} ms");
        assert!(net.is_converged(), "{count}: {:?}", net.known());
        let sum = |net: &Net| {
            net.members.iter().flatten().fold((0, 0), |sum, one| (sum.0 + one.datagrams_sent, sum.1 + one.bytes_sent))
        };
        let before = sum(&net);
        net.run(10_000);
        let after = sum(&net);
        let each = |part: u64| part as f64 / 10.0 / count as f64;
        rates.push((each(after.0 - before.0), each(after.1 - before.1)));
        let killed = BTreeSet::from([count / 2]);
        killed.iter().for_each(|&n| net.members[n] = None);
        let took_ms = net.run_until_converged(90_000);
        println!(
            "{count}: {:.1} datagrams, {:.0} bytes per second and member; crash known to all after {took_ms} ms",
            rates[rates.len() - 1].0,
            rates[rates.len() - 1].1
        );
        assert!(took_ms < 45_000, "{took_ms}");
    }
    assert!(rates[2].0 < rates[0].0 * 1.3 && rates[2].0 < 30.0, "{rates:?}");
}

/// Two groups that each know only their own members from the start can merge only through the seeds.
#[test]
fn two_groups_formed_at_the_start_merge_through_the_seeds() {
    let mut net = Net::new(4, 6, 0.0);
    net.is_cut = Box::new(|from, to| (from == 1 || from == 5) != (to == 1 || to == 5));
    net.run(1_500);
    net.is_cut = Box::new(|_, _| false);
    assert!(net.known().iter().any(|&known| known > 0), "the groups have formed: {:?}", net.known());
    let took_ms = net.run_until_converged(20_000);
    assert!(took_ms < 10_000, "{took_ms} ms, {:?}", net.known());
}
