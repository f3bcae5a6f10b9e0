//! One fleet member: takes received datagrams and the time, sends datagrams and tracks which members are alive.

use crate::datagram::{MAX_BODY_BYTES, DropCounts, PayloadKind, DatagramCodec};
use foca::{Config, Foca, Identity, Notification, PostcardCodec, Runtime, State, Timer};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::time::Duration;

const PROBE_PERIOD: Duration = Duration::from_millis(500); // each member probes one peer per period
const PROBE_TIMEOUT: Duration = Duration::from_millis(200); // then indirect probes start
const INDIRECT_PROBES: usize = 3;
const SUSPICION_PERIODS: f64 = 2.0; // probe periods from suspicion to down, per doubling of the fleet size
const DOWN_RETENTION: Duration = Duration::from_secs(300); // keeps stale gossip from reviving a member that is down
const GOSSIP_PERIOD: Duration = Duration::from_millis(250);
const GOSSIP_FANOUT: usize = 2; // peers per gossip period
const ANNOUNCE_TO_DOWN_PERIOD: Duration = Duration::from_secs(5); // lets the fleet merge again after a network partition
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(3); // each asks one peer for its full member list
const SEED_ANNOUNCE_PERIOD_MS: u64 = 2_000; // between announcements to seeds that are not known to be alive
const MAX_TRANSMISSIONS: u8 = 8; // per membership update
const PAUSE_THRESHOLD_MS: u64 = 250; // a tick that is later than this counts as a pause of the process

/// Identity of one process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberId {
    /// Number of the member within the fleet.
    pub number: u32,
    /// Address at which the member receives datagrams.
    pub addr: SocketAddr,
    /// Grows with each start under this number, and when the member was wrongly declared down.
    #[serde(rename = "life")]
    pub generation: u64,
}

impl Identity for MemberId {
    type Addr = SocketAddr;
    fn renew(&self) -> Option<Self> {
        Some(MemberId { generation: self.generation + 1, ..self.clone() })
    }
    fn addr(&self) -> SocketAddr {
        self.addr
    }
    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.generation > other.generation
    }
}

/// Sends datagrams and delivers received messages to the host.
pub trait Transport {
    /// Sends one datagram; it may be lost.
    fn send(&mut self, to: SocketAddr, datagram: &[u8]);
    /// Delivers a message that a member sent with [`Member::tells`].
    fn deliver(&mut self, from: &MemberId, message: &[u8]);
}

/// Transport that buffers outgoing datagrams and delivered messages for a host that processes them after the call.
#[derive(Default)]
pub struct BufferedTransport {
    pub outgoing: Vec<(SocketAddr, Vec<u8>)>,
    pub delivered: Vec<(MemberId, Vec<u8>)>,
}

impl Transport for BufferedTransport {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        self.outgoing.push((to, datagram.to_vec()));
    }
    fn deliver(&mut self, from: &MemberId, message: &[u8]) {
        self.delivered.push((from.clone(), message.to_vec()));
    }
}

/// Settings of one member.
pub struct Settings {
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub cluster: String,
    /// Key of the authentication tag; empty for no authentication.
    pub key: Vec<u8>,
    /// Identity of this process.
    pub id: MemberId,
    /// Addresses of members to announce to until they are known to be alive.
    pub seeds: Vec<SocketAddr>,
    /// Size of the fleet; member numbers are below it.
    pub fleet_size: u32,
    /// Seed of the random number generator.
    pub rng_seed: u64,
}

type Protocol = Foca<MemberId, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>;

/// Actions that the protocol requests during one call.
#[derive(Default)]
struct ProtocolActions {
    sends: Vec<(MemberId, Vec<u8>)>,
    timers: Vec<(Duration, Timer<MemberId>)>,
    downs: u64,
}

impl Runtime<MemberId> for &mut ProtocolActions {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        self.downs += u64::from(matches!(notification, Notification::MemberDown(_)));
    }
    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }
    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// One member of the fleet; does no I/O and is driven by its host.
pub struct Member {
    protocol: Protocol,
    seal: DatagramCodec,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    next_seed_announce_at: u64,
    /// Pending timers by time on the protocol's clock and by id.
    timers: BTreeMap<(u64, u64), Timer<MemberId>>,
    last_timer_id: u64,
    /// Sum of the pauses of this process; the protocol's clock excludes them.
    paused_ms: u64,
    /// Members declared down since the start.
    pub declared_down: u64,
    /// Datagrams sent since the start.
    pub datagrams_sent: u64,
    /// Bytes of datagrams sent since the start.
    pub bytes_sent: u64,
}

/// State of one known member, as the status endpoint shows it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Number of the member within the fleet.
    pub number: u32,
    /// Address at which the member receives datagrams.
    pub addr: String,
    /// `alive`, `suspect` or `gone`.
    pub state: String,
}

fn config(fleet: u32) -> Config {
    let non_zero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency, members| Some(foca::PeriodicParams { frequency, num_members: non_zero(members) });
    let mut config = Config::new_lan(NonZeroU32::new(fleet).unwrap_or(NonZeroU32::MIN));
    config.probe_period = PROBE_PERIOD;
    config.probe_rtt = PROBE_TIMEOUT;
    config.num_indirect_probes = non_zero(INDIRECT_PROBES);
    config.max_transmissions = NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN);
    config.suspect_to_down_after = PROBE_PERIOD.mul_f64(SUSPICION_PERIODS * f64::from(fleet.max(2)).log2());
    config.remove_down_after = Some(DOWN_RETENTION);
    config.max_packet_size = non_zero(MAX_BODY_BYTES);
    config.notify_down_members = true;
    config.periodic_gossip = periodic(GOSSIP_PERIOD, GOSSIP_FANOUT);
    config.periodic_announce = periodic(ANNOUNCE_PERIOD, 1);
    config.periodic_announce_to_down_members = periodic(ANNOUNCE_TO_DOWN_PERIOD, 1);
    config
}

impl Member {
    /// Creates a member. `now` is in ms, like all times here, on a monotonic clock with any origin.
    pub fn new(now: u64, settings: Settings) -> Self {
        let Settings { cluster, key, id, seeds, fleet_size: fleet, rng_seed: seed } = settings;
        let seal = DatagramCodec::new(&cluster, &key, fleet, id.number, id.generation);
        let seeds = seeds.into_iter().filter(|seed| *seed != id.addr).collect();
        let protocol = Foca::new(id, config(fleet), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        Member {
            protocol,
            seal,
            seeds,
            next_seed: seed as usize,
            next_seed_announce_at: now,
            timers: BTreeMap::new(),
            last_timer_id: 0,
            paused_ms: 0,
            declared_down: 0,
            datagrams_sent: 0,
            bytes_sent: 0,
        }
    }

    /// Time at which [`Member::tick`] must be called next.
    pub fn next_tick_at(&self) -> u64 {
        let timer = self.timers.first_key_value().map_or(u64::MAX, |(key, _)| key.0 + self.paused_ms);
        timer.min(self.next_seed_announce_at)
    }

    /// Runs the timers that have expired and announces this member to a seed that is not known to be alive.
    pub fn tick(&mut self, now: u64, transport: &mut impl Transport) {
        // Danger: after a pause of this process, all pending probes would time out at once, and it would gossip that all
        // other members are suspect. The pause is therefore excluded from the protocol's clock.
        let late = now.saturating_sub(self.next_tick_at());
        if late > PAUSE_THRESHOLD_MS {
            self.paused_ms += late;
        }
        while let Some((&(at, timer_id), _)) = self.timers.first_key_value() {
            if at + self.paused_ms > now {
                break;
            }
            let Some(timer) = self.timers.remove(&(at, timer_id)) else { break };
            self.run_protocol(now, transport, |protocol, actions| {
                // Outdated timers are ignored by the protocol.
                let _ = protocol.handle_timer(timer, actions);
            });
        }
        if now >= self.next_seed_announce_at {
            self.next_seed_announce_at = now + SEED_ANNOUNCE_PERIOD_MS;
            // Danger: when all members start together, two groups may form whose members know only their own group, and
            // gossip never joins them. Announcing to unknown seeds does.
            let known: Vec<SocketAddr> = self.protocol.iter_members().map(|one| one.id().addr).collect();
            let unknown: Vec<SocketAddr> =
                self.seeds.iter().filter(|seed| !known.contains(seed)).copied().collect();
            if !unknown.is_empty() {
                self.next_seed = (self.next_seed + 1) % unknown.len();
                let addr = unknown[self.next_seed];
                // The seed's number and incarnation are unknown; an announcement needs only its address.
                let seed = MemberId { number: u32::MAX, addr, generation: 0 };
                self.run_protocol(now, transport, |protocol, actions| drop(protocol.announce(seed, actions)));
            }
        }
    }

    /// Processes one received datagram.
    pub fn handle_datagram(&mut self, now: u64, datagram: &[u8], transport: &mut impl Transport) {
        let Some(opened) = self.seal.open(now, datagram) else { return };
        match opened.kind {
            PayloadKind::Message => match self.protocol.iter_members().find(|one| one.id().number == opened.from) {
                Some(from) => transport.deliver(&from.id().clone(), opened.body),
                None => self.seal.dropped.unknown += 1,
            },
            PayloadKind::Membership => {
                let mut is_malformed = false;
                self.run_protocol(now, transport, |protocol, actions| {
                    is_malformed = matches!(
                        protocol.handle_data(opened.body, actions),
                        Err(foca::Error::MalformedPacket | foca::Error::Decode(_) | foca::Error::DataTooBig)
                    );
                });
                self.seal.dropped.malformed += u64::from(is_malformed);
            }
        }
    }

    /// Sends a message of another subsystem to one member. Delivery is best effort: it may be lost, duplicated or late.
    pub fn send_message(&mut self, to: &MemberId, message: &[u8], transport: &mut impl Transport) {
        self.send_datagram(to.addr, PayloadKind::Message, message, transport);
    }

    fn send_datagram(&mut self, to: SocketAddr, kind: PayloadKind, body: &[u8], transport: &mut impl Transport) {
        if let Some(datagram) = self.seal.seal(kind, body) {
            (self.datagrams_sent, self.bytes_sent) = (self.datagrams_sent + 1, self.bytes_sent + datagram.len() as u64);
            transport.send(to, &datagram);
        }
    }

    /// Announces to the other members that this one leaves.
    pub fn leave(&mut self, now: u64, transport: &mut impl Transport) {
        self.run_protocol(now, transport, |protocol, actions| drop(protocol.leave_cluster(actions)));
    }

    /// Identity of this member.
    pub fn id(&self) -> &MemberId {
        self.protocol.identity()
    }

    /// The other members that are alive or suspect, by number.
    pub fn peers(&self) -> Vec<MemberId> {
        let mut others: Vec<MemberId> = self.protocol.iter_members().map(|one| one.id().clone()).collect();
        others.sort_by_key(|id| id.number);
        others
    }

    /// Received datagrams that were dropped, by cause.
    pub fn dropped(&self) -> DropCounts {
        self.seal.dropped
    }

    /// State of each known member, by number.
    pub fn member_statuses(&self) -> Vec<MemberStatus> {
        let state = |state: State| match state {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Down => "gone",
        };
        let members = self.protocol.iter_membership_state();
        let mut all: Vec<MemberStatus> = members
            .map(|one| MemberStatus {
                number: one.id().number,
                addr: one.id().addr.to_string(),
                state: state(one.state()).into(),
            })
            .collect();
        all.sort_by_key(|one| one.number);
        all
    }

    /// Calls the protocol, then sends what it asked to send and sets the timers it asked for.
    fn run_protocol(&mut self, now: u64, transport: &mut impl Transport, call: impl FnOnce(&mut Protocol, &mut ProtocolActions)) {
        let mut actions = ProtocolActions::default();
        call(&mut self.protocol, &mut actions);
        self.declared_down += actions.downs;
        for (after, timer) in actions.timers {
            self.last_timer_id += 1;
            let at = now.saturating_sub(self.paused_ms) + after.as_millis() as u64;
            self.timers.insert((at, self.last_timer_id), timer);
        }
        for (to, body) in actions.sends {
            self.send_datagram(to.addr, PayloadKind::Membership, &body, transport);
        }
    }
}
