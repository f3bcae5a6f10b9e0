//! Messages between proxies: the UDP socket, the timing and the status report. Membership, shares of the
//! origin's capacity and shared probes are decided by `flintwell-membership`, `flintwell-shared-limits`,
//! `flintwell-shared-probes` and the routing policy.

use crate::log_line;
use crate::management::metrics::Metrics;
use crate::process::clock::Clock;
use crate::process::config::PeerMessagingConfig as Config;
use crate::requests::dispatcher::Dispatcher;
use flintwell_core::interface::Micros;
use flintwell_membership::datagram::DropCounts;
use flintwell_membership::member::{self, Member, MemberId, Settings, Transport};
use flintwell_shared_limits::limit::{self, FetchCounts, LimitMessage, ROUND_MS, SharedLimit};
use flintwell_shared_probes::{self as probes, ProbeCoordinator, ProbeHint};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

const RECV_BUFFER_BYTES: usize = 512; // more than any valid datagram, so that longer ones are recognised
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(500); // an earlier process may still hold the address
const MIN_TICK_INTERVAL_MS: u64 = 5;

/// Status of the fleet as this proxy sees it: served by the management API, and printed by `flintwell
/// fleet status`.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct FleetStatus {
    pub name: String,
    pub number: u32,
    /// The other proxies that are known.
    pub members: Vec<member::MemberStatus>,
    pub share: limit::LimitStatus,
    /// Caches that do not answer this proxy, and which proxy probes each.
    #[serde(default)]
    pub silent: Vec<probes::ProbeStatus>,
    pub dropped: DropCounts,
    /// Members that were declared gone since this process started.
    pub taken_as_gone: u64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
}

/// Exchange of messages with the other proxies of the fleet.
pub struct PeerMessaging {
    name: String,
    addr: SocketAddr,
    clock: Clock,
    member: RefCell<Member>,
    share: RefCell<SharedLimit>,
    probes: RefCell<ProbeCoordinator>,
    dispatcher: Rc<Dispatcher>,
    metrics: Rc<Metrics>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    next_round_ms: Cell<u64>,
    stop: Notify,
}

/// Sends on the socket, and collects received messages until they are handled.
struct PeerWire<'a> {
    socket: &'a UdpSocket,
    received: Vec<(MemberId, Vec<u8>)>,
}

impl Transport for PeerWire<'_> {
    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        // A datagram that does not fit into the send buffer is lost, like one lost on the network.
        let _ = self.socket.try_send_to(datagram, to);
    }
    fn deliver(&mut self, from: &MemberId, message: &[u8]) {
        self.received.push((from.clone(), message.to_vec()));
    }
}

impl PeerMessaging {
    pub fn new(
        config: Config,
        name: String,
        (number, fleet): (u32, u32),
        seed: u64,
        dispatcher: Rc<Dispatcher>,
        metrics: Rc<Metrics>,
    ) -> Self {
        let clock = dispatcher.clock;
        let now = to_millis(clock.now());
        let id = MemberId { number, addr: config.advertise, generation: now };
        let settings = Settings {
            cluster: config.cluster,
            key: config.key,
            id,
            seeds: config.peers,
            fleet_size: fleet,
            rng_seed: seed,
        };
        let mut share = SharedLimit::new(now, now, fleet, seed);
        PeerMessaging {
            name,
            addr: config.listen,
            clock,
            member: RefCell::new(Member::new(now, settings)),
            next_round_ms: Cell::new(now + share.first_round_delay_ms()),
            share: RefCell::new(share),
            probes: RefCell::new(ProbeCoordinator::new(number, seed)),
            dispatcher,
            metrics,
            socket: RefCell::default(),
            stop: Notify::new(),
        }
    }

    /// Sends and receives until `leave` is called.
    pub async fn run(&self) {
        let socket = self.bind().await;
        let mut buffer = [0; RECV_BUFFER_BYTES];
        let mut next_tick_ms = 0;
        loop {
            let due = self.member.borrow().next_tick_at().min(self.next_round_ms.get()).max(next_tick_ms);
            let at = self.clock.instant_at(due as Micros * 1_000);
            let mut wire = PeerWire { socket: &socket, received: Vec::new() };
            tokio::select! {
                received = socket.recv_from(&mut buffer) => {
                    if let Ok((bytes, _)) = received {
                        self.member.borrow_mut().handle_datagram(self.now(), &buffer[..bytes], &mut wire);
                    }
                }
                () = sleep_until(at) => {}
                // Danger: if the socket stayed bound, a successor could not bind the address and would send
                // no messages.
                () = self.stop.notified() => return,
            }
            let now = self.now();
            if now >= due {
                next_tick_ms = now + MIN_TICK_INTERVAL_MS;
                self.member.borrow_mut().tick(now, &mut wire);
            }
            if now >= self.next_round_ms.get() {
                self.next_round_ms.set(now + ROUND_MS);
                self.run_round(now, &mut wire);
            }
            self.handle_received(now, &mut wire);
        }
    }

    /// Binds the socket, and retries until the address is free. Danger: during a handover the earlier
    /// process still sends from this address; two processes sending at once would appear to the fleet as two
    /// members with the same number.
    async fn bind(&self) -> Rc<UdpSocket> {
        // The previous socket of this process, if the loop was restarted.
        drop(self.socket.take());
        let mut is_logged = false;
        loop {
            match UdpSocket::bind(self.addr).await {
                Ok(socket) => {
                    let socket = Rc::new(socket);
                    self.socket.replace(Some(socket.clone()));
                    return socket;
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_logged, true) {
                        let in_use = error.kind() == io::ErrorKind::AddrInUse;
                        let why = if in_use { "in use by another process".into() } else { error.to_string() };
                        log_line!("cannot bind {} for peer messaging, will retry: {why}", self.addr);
                    }
                }
            }
            sleep(BIND_RETRY_INTERVAL).await;
        }
    }

    fn now(&self) -> u64 {
        to_millis(self.clock.now())
    }

    /// Announces this proxy's demand and its probes, and applies the hints of others.
    fn run_round(&self, now: u64, wire: &mut PeerWire) {
        let (mut share, mut member) = (self.share.borrow_mut(), self.member.borrow_mut());
        let demanded = self.dispatcher.set_origin_fetch_rate(share.rate(now));
        let (attempts, refused) = (self.metrics.origin_attempts.get(), self.metrics.origin_refusals.get());
        let counts = FetchCounts { demanded, accepted: attempts.saturating_sub(refused), refused };
        let peers = member.peers();
        let numbers: Vec<u32> = peers.iter().map(|peer| peer.number).collect();
        let silent = self.dispatcher.silent_caches();
        let names: Vec<&str> = silent.iter().map(|node| &**node).collect();
        let (hints, probed) = self.probes.borrow_mut().run_round(now, &names, &numbers);
        for (node, hint) in hints {
            let time = match hint {
                ProbeHint::SkipFor(ms) => ms as Micros * 1_000,
                ProbeHint::ProbeNow => 0,
            };
            self.dispatcher.defer_probe(&silent[node], time);
        }
        let probed = probed.into_iter().map(|(to, message)| (to, message.encode()));
        let shared =
            share.run_round(now, counts, &numbers).into_iter().map(|(to, message)| (to, message.encode()));
        for (to, message) in shared.chain(probed) {
            if let Some(to) = peers.iter().find(|peer| peer.number == to) {
                member.send_message(to, &message, wire);
            }
        }
    }

    /// Processes received messages, and answers those about shared limits.
    fn handle_received(&self, now: u64, wire: &mut PeerWire) {
        for (from, bytes) in std::mem::take(&mut wire.received) {
            if let Some(message) = probes::ProbeMessage::decode(&bytes) {
                self.probes.borrow_mut().handle_message(now, from.number, &message);
                continue;
            }
            let reply = LimitMessage::decode(&bytes)
                .and_then(|message| self.share.borrow_mut().handle_message(now, from.number, message));
            if let Some(message) = reply {
                self.member.borrow_mut().send_message(&from, &message.encode(), wire);
            }
        }
    }

    /// Announces that this proxy leaves, so that the others need not detect it, and closes the socket.
    pub fn leave(&self) {
        if let Some(socket) = self.socket.take() {
            let mut wire = PeerWire { socket: &socket, received: Vec::new() };
            self.member.borrow_mut().leave(self.now(), &mut wire);
            self.stop.notify_one();
        }
    }

    /// The current status of the fleet.
    pub fn status(&self) -> FleetStatus {
        let member = self.member.borrow();
        let silent = self.dispatcher.silent_caches();
        let names: Vec<&str> = silent.iter().map(|node| &**node).collect();
        let peers: Vec<u32> = member.peers().iter().map(|peer| peer.number).collect();
        FleetStatus {
            name: self.name.clone(),
            number: member.id().number,
            members: member.member_statuses(),
            share: self.share.borrow().status(self.now()),
            silent: self.probes.borrow().statuses(&names, &peers),
            dropped: member.dropped(),
            taken_as_gone: member.declared_down,
            datagrams_sent: member.datagrams_sent,
            bytes_sent: member.bytes_sent,
        }
    }
}

fn to_millis(at: Micros) -> u64 {
    (at / 1_000).max(0) as u64
}
