//! Words between proxies: the socket, the clock and the figures. Who is there and what each may ask of the origin is
//! decided by `flintwell-membership`, `flintwell-shared-limits` and the module.

use crate::process::clock::Clock;
use crate::process::config::Words as Config;
use crate::requests::dispatcher::Dispatcher;
use crate::say;
use crate::staff::counts::Counts;
use flintwell_core::interface::Micros;
use flintwell_membership::member::{self, Id, Member, Settings, Wire};
use flintwell_membership::seal::Dropped;
use flintwell_shared_limits::share::{self, Counted, ROUND, Share, Word};
use flintwell_shared_probes::{self as probes, Hint, Probes};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

const DATAGRAM: usize = 512; // bytes that are read of one; what is longer than any of ours shows by that
const AGAIN: Duration = Duration::from_millis(500); // before the address is tried again, which a former process may hold
const STEP: u64 = 5; // ms between looks at the time at least

/// What the second address tells, and `flintwell fleet status` shows.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Fleet {
    pub name: String,
    pub number: u32,
    /// The others, as far as they were heard of.
    pub members: Vec<member::Standing>,
    pub share: share::Standing,
    /// Caches silent to us, and who tries them.
    #[serde(default)]
    pub silent: Vec<probes::Standing>,
    pub dropped: Dropped,
    /// Members that were taken as gone since our start.
    pub taken_as_gone: u64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
}

pub struct Words {
    name: String,
    addr: SocketAddr,
    clock: Clock,
    member: RefCell<Member>,
    share: RefCell<Share>,
    probes: RefCell<Probes>,
    dispatcher: Rc<Dispatcher>,
    counts: Rc<Counts>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    next_round: Cell<u64>,
    left: Notify,
}

/// The wire of one call.
struct Sends<'a> {
    socket: &'a UdpSocket,
    heard: Vec<(Id, Vec<u8>)>,
}

impl Wire for Sends<'_> {
    fn sends(&mut self, to: SocketAddr, datagram: &[u8]) {
        // A full buffer loses it, as any path may.
        let _ = self.socket.try_send_to(datagram, to);
    }
    fn hears(&mut self, from: &Id, word: &[u8]) {
        self.heard.push((from.clone(), word.to_vec()));
    }
}

impl Words {
    pub fn new(
        config: Config,
        name: String,
        (number, fleet): (u32, u32),
        seed: u64,
        dispatcher: Rc<Dispatcher>,
        counts: Rc<Counts>,
    ) -> Self {
        let clock = dispatcher.clock;
        let now = ms(clock.now());
        let id = Id { number, addr: config.advertise, life: now };
        let settings =
            Settings { cluster: config.cluster, key: config.key, id, seeds: config.peers, fleet, seed };
        let mut share = Share::start(now, now, fleet, seed);
        Words {
            name,
            addr: config.listen,
            clock,
            member: RefCell::new(Member::start(now, settings)),
            next_round: Cell::new(now + share.first_round()),
            share: RefCell::new(share),
            probes: RefCell::new(Probes::new(number, seed)),
            dispatcher,
            counts,
            socket: RefCell::default(),
            left: Notify::new(),
        }
    }

    /// Speaks and hears for as long as we serve.
    pub async fn speak(&self) {
        let socket = self.open().await;
        let mut buffer = [0; DATAGRAM];
        let mut not_before = 0;
        loop {
            let due = self.member.borrow().due().min(self.next_round.get()).max(not_before);
            let at = self.clock.instant(due as Micros * 1_000);
            let mut wire = Sends { socket: &socket, heard: Vec::new() };
            tokio::select! {
                came = socket.recv_from(&mut buffer) => {
                    if let Ok((bytes, _)) = came {
                        self.member.borrow_mut().receives(self.now(), &buffer[..bytes], &mut wire);
                    }
                }
                () = sleep_until(at) => {}
                // Danger: held on to, the address would keep whoever takes our place from speaking.
                () = self.left.notified() => return,
            }
            let now = self.now();
            if now >= due {
                not_before = now + STEP;
                self.member.borrow_mut().tick(now, &mut wire);
            }
            if now >= self.next_round.get() {
                self.next_round.set(now + ROUND);
                self.round(now, &mut wire);
            }
            self.answers(now, &mut wire);
        }
    }

    /// Danger: on a hand-over a former process speaks there still; the fleet must not hear two under one number.
    async fn open(&self) -> Rc<UdpSocket> {
        // Ours, where this starts again.
        drop(self.socket.take());
        let mut told = false;
        loop {
            match UdpSocket::bind(self.addr).await {
                Ok(socket) => {
                    let socket = Rc::new(socket);
                    self.socket.replace(Some(socket.clone()));
                    return socket;
                }
                Err(error) => {
                    if !std::mem::replace(&mut told, true) {
                        let held = error.kind() == io::ErrorKind::AddrInUse;
                        let why = if held { "held by another process".into() } else { error.to_string() };
                        say!("words at {}: {why}; tried again", self.addr);
                    }
                }
            }
            sleep(AGAIN).await;
        }
    }

    fn now(&self) -> u64 {
        ms(self.clock.now())
    }

    fn round(&self, now: u64, wire: &mut Sends) {
        let (mut share, mut member) = (self.share.borrow_mut(), self.member.borrow_mut());
        let wanted = self.dispatcher.set_origin_fetch_rate(share.rate(now));
        let (fetches, refused) = (self.counts.fetches.get(), self.counts.refused.get());
        let counted = Counted { wanted, taken: fetches.saturating_sub(refused), refused };
        let others = member.others();
        let numbers: Vec<u32> = others.iter().map(|other| other.number).collect();
        let silent = self.dispatcher.silent_caches();
        let names: Vec<&str> = silent.iter().map(|node| &**node).collect();
        let (hints, probed) = self.probes.borrow_mut().round(now, &names, &numbers);
        for (node, hint) in hints {
            let time = match hint {
                Hint::Leave(ms) => ms as Micros * 1_000,
                Hint::Try => 0,
            };
            self.dispatcher.defer_probe(&silent[node], time);
        }
        let probed = probed.into_iter().map(|(to, word)| (to, word.encode()));
        let shared = share.round(now, counted, &numbers).into_iter().map(|(to, word)| (to, word.encode()));
        for (to, word) in shared.chain(probed) {
            if let Some(to) = others.iter().find(|other| other.number == to) {
                member.tells(to, &word, wire);
            }
        }
    }

    fn answers(&self, now: u64, wire: &mut Sends) {
        for (from, bytes) in std::mem::take(&mut wire.heard) {
            if let Some(word) = probes::Word::decode(&bytes) {
                self.probes.borrow_mut().hears(now, from.number, &word);
                continue;
            }
            let answer =
                Word::decode(&bytes).and_then(|word| self.share.borrow_mut().hears(now, from.number, word));
            if let Some(word) = answer {
                self.member.borrow_mut().tells(&from, &word.encode(), wire);
            }
        }
    }

    /// We go: others need not find out.
    pub fn leave(&self) {
        if let Some(socket) = self.socket.take() {
            let mut wire = Sends { socket: &socket, heard: Vec::new() };
            self.member.borrow_mut().leaves(self.now(), &mut wire);
            self.left.notify_one();
        }
    }

    pub fn fleet(&self) -> Fleet {
        let member = self.member.borrow();
        let silent = self.dispatcher.silent_caches();
        let names: Vec<&str> = silent.iter().map(|node| &**node).collect();
        let others: Vec<u32> = member.others().iter().map(|other| other.number).collect();
        Fleet {
            name: self.name.clone(),
            number: member.id().number,
            members: member.standings(),
            share: self.share.borrow().standing(self.now()),
            silent: self.probes.borrow().standing(&names, &others),
            dropped: member.dropped(),
            taken_as_gone: member.downs,
            datagrams_sent: member.sent,
            bytes_sent: member.sent_bytes,
        }
    }
}

fn ms(at: Micros) -> u64 {
    (at / 1_000).max(0) as u64
}
