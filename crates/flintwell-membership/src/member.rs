//! One member: hears datagrams and the time, sends datagrams, knows who is there.

use crate::seal::{BODY_MOST, Dropped, Kind, Seal};
use foca::{Config, Foca, Identity, Notification, PostcardCodec, Runtime, State, Timer};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(500); // in which each probes one other
const ANSWER: Duration = Duration::from_millis(200); // for its answer, before others are asked to try
const OTHERS: usize = 3; // asked to try
const SUSPECTED: f64 = 2.0; // periods a doubling of the fleet, from suspicion to being taken as gone
const GONE_FOR: Duration = Duration::from_secs(300); // that one taken as gone is remembered, so that no old word brings it back
const GOSSIP: Duration = Duration::from_millis(250); // between news to some others
const TOLD: usize = 2; // of those
const AGAIN: Duration = Duration::from_secs(5); // between words to one taken as gone: cuts heal
const ANNOUNCES: Duration = Duration::from_secs(3); // between askings of one other for all it knows
const SEEDS: u64 = 2_000; // ms between words to a seed that is not known as there
const SENT: u8 = 8; // times that a piece of news is told on
const LATE: u64 = 250; // ms past its time at which we have stood still

/// One process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    pub number: u32,
    pub addr: SocketAddr,
    /// Grows with each start under this number, and when it is wrongly taken as gone.
    pub life: u64,
}

impl Identity for Id {
    type Addr = SocketAddr;
    fn renew(&self) -> Option<Self> {
        Some(Id { life: self.life + 1, ..self.clone() })
    }
    fn addr(&self) -> SocketAddr {
        self.addr
    }
    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.life > other.life
    }
}

/// Where datagrams go, and words that come are heard.
pub trait Wire {
    fn sends(&mut self, to: SocketAddr, datagram: &[u8]);
    fn hears(&mut self, from: &Id, word: &[u8]);
}

/// A wire that keeps what goes out and what is heard, for a host that deals with it after the call.
#[derive(Default)]
pub struct Mail {
    pub sends: Vec<(SocketAddr, Vec<u8>)>,
    pub heard: Vec<(Id, Vec<u8>)>,
}

impl Wire for Mail {
    fn sends(&mut self, to: SocketAddr, datagram: &[u8]) {
        self.sends.push((to, datagram.to_vec()));
    }
    fn hears(&mut self, from: &Id, word: &[u8]) {
        self.heard.push((from.clone(), word.to_vec()));
    }
}

pub struct Settings {
    pub cluster: String,
    /// Of the keyed tag; empty for none.
    pub key: Vec<u8>,
    pub id: Id,
    pub seeds: Vec<SocketAddr>,
    /// Numbers run under this.
    pub fleet: u32,
    pub seed: u64,
}

type Protocol = Foca<Id, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>;

/// What the protocol asks for within one call.
#[derive(Default)]
struct Asked {
    sends: Vec<(Id, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Id>)>,
    downs: u64,
}

impl Runtime<Id> for &mut Asked {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        self.downs += u64::from(matches!(notification, Notification::MemberDown(_)));
    }
    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.sends.push((to, data.to_vec()));
    }
    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        self.timers.push((after, event));
    }
}

pub struct Member {
    protocol: Protocol,
    seal: Seal,
    seeds: Vec<SocketAddr>,
    next_seed: usize,
    seeds_due: u64,
    timers: BTreeMap<(u64, u64), Timer<Id>>,
    set: u64,
    /// ms that we stood still; the protocol's time does without them.
    stood: u64,
    /// Members taken as gone since the start.
    pub downs: u64,
    pub sent: u64,
    pub sent_bytes: u64,
}

/// What the staff and others may ask for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Standing {
    pub number: u32,
    pub addr: String,
    pub state: String,
}

fn config(fleet: u32) -> Config {
    let least = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency, members| Some(foca::PeriodicParams { frequency, num_members: least(members) });
    let mut config = Config::new_lan(NonZeroU32::new(fleet).unwrap_or(NonZeroU32::MIN));
    config.probe_period = PERIOD;
    config.probe_rtt = ANSWER;
    config.num_indirect_probes = least(OTHERS);
    config.max_transmissions = NonZeroU8::new(SENT).unwrap_or(NonZeroU8::MIN);
    config.suspect_to_down_after = PERIOD.mul_f64(SUSPECTED * f64::from(fleet.max(2)).log2());
    config.remove_down_after = Some(GONE_FOR);
    config.max_packet_size = least(BODY_MOST);
    config.notify_down_members = true;
    config.periodic_gossip = periodic(GOSSIP, TOLD);
    config.periodic_announce = periodic(ANNOUNCES, 1);
    config.periodic_announce_to_down_members = periodic(AGAIN, 1);
    config
}

impl Member {
    /// `now` in ms on any clock that does not leap.
    pub fn start(now: u64, settings: Settings) -> Self {
        let Settings { cluster, key, id, seeds, fleet, seed } = settings;
        let seal = Seal::new(&cluster, &key, fleet, id.number, id.life);
        let seeds = seeds.into_iter().filter(|seed| *seed != id.addr).collect();
        let protocol = Foca::new(id, config(fleet), ChaCha8Rng::seed_from_u64(seed), PostcardCodec);
        Member {
            protocol,
            seal,
            seeds,
            next_seed: seed as usize,
            seeds_due: now,
            timers: BTreeMap::new(),
            set: 0,
            stood: 0,
            downs: 0,
            sent: 0,
            sent_bytes: 0,
        }
    }

    /// The next time to call `tick`.
    pub fn due(&self) -> u64 {
        let timer = self.timers.first_key_value().map_or(u64::MAX, |(key, _)| key.0 + self.stood);
        timer.min(self.seeds_due)
    }

    pub fn tick(&mut self, now: u64, wire: &mut impl Wire) {
        // Danger: one that stood still would take all others as silent at once, and tell it to the fleet.
        let late = now.saturating_sub(self.due());
        if late > LATE {
            self.stood += late;
        }
        while let Some((&(at, set), _)) = self.timers.first_key_value() {
            if at + self.stood > now {
                break;
            }
            let Some(timer) = self.timers.remove(&(at, set)) else { break };
            self.does(now, wire, |protocol, asked| {
                // What is out of date is dropped there.
                let _ = protocol.handle_timer(timer, asked);
            });
        }
        if now >= self.seeds_due {
            self.seeds_due = now + SEEDS;
            // Danger: a fleet that starts at once may begin as two that each know some, and never hear of one another.
            let known: Vec<SocketAddr> = self.protocol.iter_members().map(|one| one.id().addr).collect();
            let unknown: Vec<SocketAddr> =
                self.seeds.iter().filter(|seed| !known.contains(seed)).copied().collect();
            if !unknown.is_empty() {
                self.next_seed = (self.next_seed + 1) % unknown.len();
                let addr = unknown[self.next_seed];
                // Its number and life are not known, and not needed to ask it.
                let seed = Id { number: u32::MAX, addr, life: 0 };
                self.does(now, wire, |protocol, asked| drop(protocol.announce(seed, asked)));
            }
        }
    }

    pub fn receives(&mut self, now: u64, datagram: &[u8], wire: &mut impl Wire) {
        let Some(opened) = self.seal.open(now, datagram) else { return };
        match opened.kind {
            Kind::Word => match self.protocol.iter_members().find(|one| one.id().number == opened.from) {
                Some(from) => wire.hears(&from.id().clone(), opened.body),
                None => self.seal.dropped.unknown += 1,
            },
            Kind::Membership => {
                let mut wrong = false;
                self.does(now, wire, |protocol, asked| {
                    wrong = matches!(
                        protocol.handle_data(opened.body, asked),
                        Err(foca::Error::MalformedPacket | foca::Error::Decode(_) | foca::Error::DataTooBig)
                    );
                });
                self.seal.dropped.malformed += u64::from(wrong);
            }
        }
    }

    /// A word of another subsystem to one member; may be lost, doubled or late.
    pub fn tells(&mut self, to: &Id, word: &[u8], wire: &mut impl Wire) {
        self.posts(to.addr, Kind::Word, word, wire);
    }

    fn posts(&mut self, to: SocketAddr, kind: Kind, body: &[u8], wire: &mut impl Wire) {
        if let Some(datagram) = self.seal.close(kind, body) {
            (self.sent, self.sent_bytes) = (self.sent + 1, self.sent_bytes + datagram.len() as u64);
            wire.sends(to, &datagram);
        }
    }

    /// Tells others that we go.
    pub fn leaves(&mut self, now: u64, wire: &mut impl Wire) {
        self.does(now, wire, |protocol, asked| drop(protocol.leave_cluster(asked)));
    }

    pub fn id(&self) -> &Id {
        self.protocol.identity()
    }
    /// The others that are there, by number.
    pub fn others(&self) -> Vec<Id> {
        let mut others: Vec<Id> = self.protocol.iter_members().map(|one| one.id().clone()).collect();
        others.sort_by_key(|id| id.number);
        others
    }
    pub fn dropped(&self) -> Dropped {
        self.seal.dropped
    }
    pub fn standings(&self) -> Vec<Standing> {
        let state = |state: State| match state {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Down => "gone",
        };
        let told = self.protocol.iter_membership_state();
        let mut all: Vec<Standing> = told
            .map(|one| Standing {
                number: one.id().number,
                addr: one.id().addr.to_string(),
                state: state(one.state()).into(),
            })
            .collect();
        all.sort_by_key(|one| one.number);
        all
    }

    fn does(&mut self, now: u64, wire: &mut impl Wire, what: impl FnOnce(&mut Protocol, &mut Asked)) {
        let mut asked = Asked::default();
        what(&mut self.protocol, &mut asked);
        self.downs += asked.downs;
        for (after, timer) in asked.timers {
            self.set += 1;
            let at = now.saturating_sub(self.stood) + after.as_millis() as u64;
            self.timers.insert((at, self.set), timer);
        }
        for (to, body) in asked.sends {
            self.posts(to.addr, Kind::Membership, &body, wire);
        }
    }
}
