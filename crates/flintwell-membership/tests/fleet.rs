//! Fleets in virtual time over a simulated network that loses, duplicates and delays datagrams and can be
//! partitioned.

use flintwell_membership::member::{Member, MemberId, Settings, Transport};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A datagram in flight: sender, destination and bytes.
type Flight = (usize, SocketAddr, Vec<u8>);

struct MemberTransport<'a> {
    from: usize,
    flights: &'a mut Vec<Flight>,
    delivered: &'a mut usize,
}

impl Transport for MemberTransport<'_> {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        assert!(datagram.len() <= 256, "{} bytes", datagram.len());
        self.flights.push((self.from, to, datagram.to_vec()));
    }
    fn deliver(&mut self, _: &MemberId, _: &[u8]) {
        *self.delivered += 1;
    }
}

/// A simulated network and its members.
struct Network {
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
    delivered: usize,
}

fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7_000))
}

fn member_index(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[2]) * 250 + usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Network {
    fn new(seed: u64, count: usize, loss: f64) -> Self {
        let mut network = Network {
            now: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: Vec::new(),
            size: count as u32,
            paused: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            count: 0,
            loss,
            is_cut: Box::new(|_, _| false),
            delivered: 0,
        };
        for n in 0..count {
            network.members.push(None);
            network.start_member(n, 1);
        }
        network
    }

    /// Starts or restarts member `n`.
    fn start_member(&mut self, n: usize, generation: u64) {
        let settings = Settings {
            cluster: "c".into(),
            key: b"key".to_vec(),
            id: MemberId { number: n as u32, addr: addr(n), generation },
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
                let mut transport =
                    MemberTransport { from: n, flights: &mut flights, delivered: &mut self.delivered };
                if let Some(member) =
                    self.members[n].as_mut().filter(|member| !paused && member.next_tick_at() <= self.now)
                {
                    member.tick(self.now, &mut transport);
                }
            }
            while let Some((&key, _)) = self.in_flight.first_key_value().filter(|(key, _)| key.0 <= self.now)
            {
                let Some((_, to, datagram)) = self.in_flight.remove(&key) else { break };
                let n = member_index(to);
                if self.paused.get(&n).is_some_and(|&until| self.now < until) {
                    // The datagram waits in the socket buffer.
                    self.in_flight.insert((self.paused[&n], key.1), (0, to, datagram));
                    continue;
                }
                let mut transport =
                    MemberTransport { from: n, flights: &mut flights, delivered: &mut self.delivered };
                if let Some(member) = self.members.get_mut(n).and_then(Option::as_mut) {
                    member.handle_datagram(self.now, &datagram, &mut transport);
                }
            }
            for (from, to, datagram) in flights {
                if (self.is_cut)(from, member_index(to)) || self.rng.random::<f64>() < self.loss {
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
    fn known_peers(&self) -> Vec<usize> {
        self.members.iter().flatten().map(|member| member.peers().len()).collect()
    }
    fn is_converged(&self) -> bool {
        let running = self.members.iter().flatten().count();
        self.known_peers().iter().all(|&count| count == running - 1)
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
    let mut network = Network::new(1, 24, 0.05);
    let took_ms = network.run_until_converged(30_000);
    assert!(took_ms < 20_000, "converged after {took_ms} ms");
    network.run(60_000);
    assert!(
        network.is_converged() && network.downs() == 0,
        "{} members declared down by lost datagrams alone",
        network.downs()
    );
    network.members[5] = None;
    let took_ms = network.run_until_converged(60_000);
    assert!((1_000..20_000).contains(&took_ms), "{took_ms} ms until all declared it down");
    network.start_member(5, 2);
    let took_ms = network.run_until_converged(60_000);
    assert!(took_ms < 15_000, "{took_ms} ms until all accepted it again");
    let (now, mut flights) = (network.now, Vec::new());
    let mut transport = MemberTransport { from: 7, flights: &mut flights, delivered: &mut network.delivered };
    let leaving = network.members[7].as_mut().expect("there");
    let to = leaving.peers()[0].clone();
    leaving.send_message(&to, b"message", &mut transport);
    leaving.leave(now, &mut transport);
    network.members[7] = None;
    for flight in flights {
        network.count += 1;
        network.in_flight.insert((now + 5, network.count), flight);
    }
    let took_ms = network.run_until_converged(20_000);
    assert!(
        took_ms < 4_000 && network.delivered == 1,
        "{took_ms} ms after it announced that it leaves, {} messages delivered",
        network.delivered
    );
}

#[test]
fn a_partition_heals_and_a_paused_member_declares_no_member_down() {
    let mut network = Network::new(2, 16, 0.02);
    network.run_until_converged(30_000);
    let downs = network.downs();
    // When it is paused it suspects a member, whose refutation waits unread in the socket buffer.
    network.is_cut = Box::new(|from, to| from == 3 || to == 3);
    network.run(1_200);
    network.is_cut = Box::new(|_, _| false);
    network.paused.insert(3, network.now + 6_000);
    network.run(6_500);
    let declared_down = network.members[3].as_ref().map(|member| member.declared_down);
    assert_eq!(declared_down, Some(0), "it declared others down when it resumed");
    network.run_until_converged(40_000);
    assert!(network.is_converged(), "{:?}", network.known_peers());
    assert!(network.downs() - downs <= 16, "no member but the paused one was declared down");
    network.is_cut = Box::new(|from, to| (from < 8) != (to < 8));
    network.run(40_000);
    assert_eq!(network.known_peers(), vec![7; 16], "each half knows its own members only");
    network.is_cut = Box::new(|_, _| false);
    let took_ms = network.run_until_converged(60_000);
    assert!(took_ms < 40_000, "{took_ms} ms until the halves merged");
    // One-way partition: datagrams from one member to half of the fleet are lost; that half still learns of
    // it through the members that both reach.
    network.is_cut = Box::new(|from, to| from == 4 && to < 8);
    network.run(30_000);
    network.is_cut = Box::new(|_, _| false);
    assert!(network.run_until_converged(60_000) < 60_000, "{:?}", network.known_peers());
}

/// The send rate of a member does not grow with the fleet, and a crash is detected within seconds.
#[test]
fn send_rate_per_member_is_independent_of_fleet_size() {
    let mut rates_per_member = Vec::new();
    for count in [12, 48, 128] {
        let mut network = Network::new(3, count, 0.0);
        let took_ms = network.run_until_converged(120_000);
        println!("{count}: converged after {took_ms} ms");
        assert!(network.is_converged(), "{count}: {:?}", network.known_peers());
        let sum = |network: &Network| {
            network
                .members
                .iter()
                .flatten()
                .fold((0, 0), |sum, one| (sum.0 + one.datagrams_sent, sum.1 + one.bytes_sent))
        };
        let before = sum(&network);
        network.run(10_000);
        let after = sum(&network);
        let per_member = |part: u64| part as f64 / 10.0 / count as f64;
        rates_per_member.push((per_member(after.0 - before.0), per_member(after.1 - before.1)));
        let killed = BTreeSet::from([count / 2]);
        killed.iter().for_each(|&n| network.members[n] = None);
        let took_ms = network.run_until_converged(90_000);
        println!(
            "{count}: {:.1} datagrams, {:.0} bytes per second and member; crash known to all after {took_ms} ms",
            rates_per_member[rates_per_member.len() - 1].0,
            rates_per_member[rates_per_member.len() - 1].1
        );
        assert!(took_ms < 45_000, "{took_ms}");
    }
    assert!(
        rates_per_member[2].0 < rates_per_member[0].0 * 1.3 && rates_per_member[2].0 < 30.0,
        "{rates_per_member:?}"
    );
}

/// Two groups that each know only their own members from the start can merge only through the seeds.
#[test]
fn two_groups_formed_at_the_start_merge_through_the_seeds() {
    let mut network = Network::new(4, 6, 0.0);
    network.is_cut = Box::new(|from, to| (from == 1 || from == 5) != (to == 1 || to == 5));
    network.run(1_500);
    network.is_cut = Box::new(|_, _| false);
    assert!(
        network.known_peers().iter().any(|&known_peers| known_peers > 0),
        "the groups have formed: {:?}",
        network.known_peers()
    );
    let took_ms = network.run_until_converged(20_000);
    assert!(took_ms < 10_000, "{took_ms} ms, {:?}", network.known_peers());
}
