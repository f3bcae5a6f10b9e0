//! Fuzzing of the peer protocols: datagrams recorded from a fleet are mutated at random and passed to a member, its
//! shared limit and its probe coordinator. Nothing may panic, rejected datagrams must be counted, and the resulting rate
//! must stay finite and positive. The corpus is in `corpus/`; `cargo test -p flintwell-emulator --test fuzz -- --ignored`
//! regenerates it. The environment variable `FUZZ` sets the number of datagrams, e.g. `FUZZ=100000`.
//!
//! Byte 5 of a datagram is the kind of its body, 1 for a message; the body follows a header of 26 bytes.

use flintwell_membership::datagram::{DatagramCodec, PayloadKind};
use flintwell_membership::member::{BufferedTransport, Member, MemberId, Settings};
use flintwell_shared_limits::limit::{FetchCounts, LimitMessage, ROUND_MS, SharedLimit};
use flintwell_shared_limits::loans::UNITS_PER_MEMBER;
use flintwell_shared_probes::{ProbeCoordinator, ProbeMessage};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FLEET_SIZE: u32 = 8;
const DEFAULT_ITERATIONS: u32 = 20_000; // mutated datagrams, unless FUZZ is set

fn addr(n: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7_000))
}

fn new_member(number: u32) -> Member {
    let id = MemberId { number, addr: addr(number), generation: 1 };
    let seeds = vec![addr(0)];
    Member::new(
        0,
        Settings {
            cluster: "c".into(),
            key: Vec::new(),
            id,
            seeds,
            fleet_size: FLEET_SIZE,
            rng_seed: number.into(),
        },
    )
}

/// The datagrams that a member sent in one call; checks their size limit.
fn checked_outgoing(transport: BufferedTransport) -> Vec<(SocketAddr, Vec<u8>)> {
    assert!(transport.outgoing.iter().all(|(_, datagram)| datagram.len() <= 256));
    transport.outgoing
}

fn corpus_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus")
}

/// Records every datagram of a small fleet's first seconds, with messages of each kind.
fn record_datagrams() -> Vec<Vec<u8>> {
    let mut members: Vec<Member> = (0..FLEET_SIZE).map(new_member).collect();
    let mut limits: Vec<SharedLimit> =
        (0..FLEET_SIZE).map(|n| SharedLimit::new(0, 1, FLEET_SIZE, n.into())).collect();
    let mut probes: Vec<ProbeCoordinator> =
        (0..FLEET_SIZE).map(|n| ProbeCoordinator::new(n, n.into())).collect();
    let mut recorded: Vec<Vec<u8>> = Vec::new();
    let mut in_flight: Vec<(SocketAddr, Vec<u8>)> = Vec::new();
    for now in (0..6_000).step_by(10) {
        for (to, datagram) in std::mem::take(&mut in_flight) {
            let n = (0..FLEET_SIZE).find(|&n| addr(n) == to).expect("address of a member") as usize;
            let mut transport = BufferedTransport::default();
            members[n].handle_datagram(now, &datagram, &mut transport);
            for (from, bytes) in std::mem::take(&mut transport.delivered) {
                if let Some(message) = ProbeMessage::decode(&bytes) {
                    probes[n].handle_message(now, from.number, &message);
                } else if let Some(reply) = LimitMessage::decode(&bytes)
                    .and_then(|message| limits[n].handle_message(now, from.number, message))
                {
                    members[n].send_message(&from, &reply.encode(), &mut transport);
                }
            }
            in_flight.extend(checked_outgoing(transport));
            recorded.push(datagram);
        }
        for n in 0..FLEET_SIZE as usize {
            let mut transport = BufferedTransport::default();
            members[n].tick(now, &mut transport);
            if now % ROUND_MS == 0 {
                let peers = members[n].peers();
                let peer_numbers: Vec<u32> = peers.iter().map(|peer| peer.number).collect();
                let demanded = if n == 0 { now } else { now / 10 };
                let fetch_counts = FetchCounts { demanded, accepted: now / 20, refused: now / 10 };
                let mut messages: Vec<(u32, Vec<u8>)> = Vec::new();
                messages.extend(
                    limits[n]
                        .run_round(now, fetch_counts, &peer_numbers)
                        .into_iter()
                        .map(|(to, message)| (to, message.encode())),
                );
                let probe_messages = probes[n].run_round(now, &["x", "y"], &peer_numbers).1;
                messages.extend(probe_messages.into_iter().map(|(to, message)| (to, message.encode())));
                for (to, message) in messages {
                    let to = peers.iter().find(|peer| peer.number == to).expect("number of a peer");
                    members[n].send_message(to, &message, &mut transport);
                }
            }
            in_flight.extend(checked_outgoing(transport));
        }
    }
    recorded
}

#[test]
#[ignore = "overwrites the corpus"]
fn regenerate_corpus() {
    let recorded = record_datagrams();
    std::fs::create_dir_all(corpus_dir()).expect("create corpus directory");
    // One datagram of each kind and length covers the formats.
    let mut selected: std::collections::BTreeMap<(u8, usize), Vec<u8>> = Default::default();
    for datagram in recorded {
        selected.entry((datagram[5], datagram.len())).or_insert(datagram);
    }
    for ((kind, length), datagram) in selected {
        std::fs::write(corpus_dir().join(format!("{kind}-{length:03}")), datagram).expect("write datagram");
    }
}

#[test]
fn mutated_datagrams_are_decoded_or_dropped_without_panic() {
    let mut files: Vec<PathBuf> = std::fs::read_dir(corpus_dir())
        .expect("read corpus directory")
        .flatten()
        .map(|entry| entry.path())
        .collect();
    files.sort();
    let corpus: Vec<Vec<u8>> = files.iter().map(|file| std::fs::read(file).expect("read datagram")).collect();
    assert!(corpus.len() > 20, "corpus has {} datagrams", corpus.len());
    let iterations =
        std::env::var("FUZZ").ok().and_then(|value| value.parse().ok()).unwrap_or(DEFAULT_ITERATIONS);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut member, mut limit, mut probes) =
        (new_member(0), SharedLimit::new(0, 1, FLEET_SIZE, 1), ProbeCoordinator::new(0, 1));
    let mut codecs: Vec<DatagramCodec> =
        (0..FLEET_SIZE).map(|n| DatagramCodec::new("c", b"", FLEET_SIZE, n, 1)).collect();
    let mut decoded = 0;
    for n in 0..u64::from(iterations) {
        let now = 10_000 + n * 5;
        let mut datagram = corpus[rng.random_range(0..corpus.len())].clone();
        for _ in 0..rng.random_range(0..4) {
            let at = rng.random_range(0..datagram.len().max(1));
            match rng.random_range(0..4) {
                0 => datagram.iter_mut().skip(at).take(1).for_each(|byte| *byte ^= 1 << (n % 8)),
                1 => datagram.truncate(at),
                2 => datagram.extend(corpus[(n as usize) % corpus.len()].iter().skip(at)),
                _ => datagram
                    .iter_mut()
                    .skip(at)
                    .take(1)
                    .for_each(|byte| *byte = [0, 1, 127, 255][n as usize % 4]),
            }
        }
        // Every second datagram is sealed again with a valid header, so that the decoders of its body are reached.
        if n % 2 == 0 && datagram.len() > 26 {
            let kind = if datagram[5] == 1 { PayloadKind::Message } else { PayloadKind::Membership };
            let from = rng.random_range(1..FLEET_SIZE) as usize;
            datagram = codecs[from].seal(kind, &datagram[26..]).unwrap_or(datagram);
        }
        let mut transport = BufferedTransport::default();
        member.handle_datagram(now, &datagram, &mut transport);
        // The member may not deliver a message if a mutated datagram made its sender unknown, so the body is also
        // passed to the decoders directly.
        let mut messages: Vec<Vec<u8>> = transport.delivered.drain(..).map(|message| message.1).collect();
        if datagram.len() > 26 && datagram[5] == 1 {
            messages.push(datagram[26..].to_vec());
        }
        for bytes in messages {
            let from = rng.random_range(1..FLEET_SIZE);
            if let Some(message) = ProbeMessage::decode(&bytes) {
                probes.handle_message(now, from, &message);
                decoded += 1;
            } else if let Some(message) = LimitMessage::decode(&bytes) {
                limit.handle_message(now, from, message);
                decoded += 1;
            }
        }
        if n % 50 == 0 {
            member.tick(now, &mut transport);
            let peer_numbers: Vec<u32> = member.peers().iter().map(|peer| peer.number).collect();
            limit.run_round(now, FetchCounts { demanded: n, accepted: n / 3, refused: n / 2 }, &peer_numbers);
            probes.run_round(now, &["x"], &peer_numbers);
            let rate = limit.rate(now);
            assert!(rate.is_none_or(|rate| rate.is_finite() && rate > 0.0), "{rate:?}");
            assert!(limit.usable_units(now) <= FLEET_SIZE * UNITS_PER_MEMBER);
        }
        checked_outgoing(transport);
    }
    let dropped = member.dropped();
    assert!(
        decoded > iterations / 100 && dropped.malformed > 0 && dropped.replayed > 0,
        "{decoded} messages decoded, {dropped:?}"
    );
}
