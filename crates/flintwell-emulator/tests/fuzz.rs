//! Datagrams of a real run, changed at random, at a member and all that hears its words: nothing panics, what is not
//! understood is counted, and no number that comes out of it is none. The corpus lies beside; `cargo test -p
//! flintwell-emulator --test fuzz -- --ignored` makes it anew. `FUZZ=100000` plays more.

use flintwell_membership::member::{MemberId, BufferedTransport, Member, Settings};
use flintwell_membership::datagram::{PayloadKind, DatagramCodec};
use flintwell_shared_limits::loans::UNITS_PER_MEMBER;
use flintwell_shared_limits::limit::{FetchCounts, ROUND_MS, SharedLimit, LimitMessage};
use flintwell_shared_probes::{ProbeCoordinator, ProbeMessage as Probed};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const FLEET: u32 = 8;
const PLAYED: u32 = 20_000; // changed datagrams in CI

fn addr(n: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7_000))
}

fn member(number: u32) -> Member {
    let id = MemberId { number, addr: addr(number), generation: 1 };
    let seeds = vec![addr(0)];
    Member::new(
        0,
        Settings { cluster: "c".into(), key: Vec::new(), id, seeds, fleet_size: FLEET, rng_seed: number.into() },
    )
}

/// What a member sent in one call, each within the limit.
fn sent(mail: BufferedTransport) -> Vec<(SocketAddr, Vec<u8>)> {
    assert!(mail.outgoing.iter().all(|(_, datagram)| datagram.len() <= 256));
    mail.outgoing
}

fn corpus() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus")
}

/// Every datagram of a small fleet's first seconds, with words of each kind.
fn run() -> Vec<Vec<u8>> {
    let mut members: Vec<Member> = (0..FLEET).map(member).collect();
    let mut shares: Vec<SharedLimit> = (0..FLEET).map(|n| SharedLimit::new(0, 1, FLEET, n.into())).collect();
    let mut probes: Vec<ProbeCoordinator> = (0..FLEET).map(|n| ProbeCoordinator::new(n, n.into())).collect();
    let mut all: Vec<Vec<u8>> = Vec::new();
    let mut flying: Vec<(SocketAddr, Vec<u8>)> = Vec::new();
    for now in (0..6_000).step_by(10) {
        for (to, datagram) in std::mem::take(&mut flying) {
            let n = (0..FLEET).find(|&n| addr(n) == to).expect("one of them") as usize;
            let mut mail = BufferedTransport::default();
            members[n].handle_datagram(now, &datagram, &mut mail);
            for (from, bytes) in std::mem::take(&mut mail.delivered) {
                if let Some(word) = Probed::decode(&bytes) {
                    probes[n].handle_message(now, from.number, &word);
                } else if let Some(answer) =
                    LimitMessage::decode(&bytes).and_then(|word| shares[n].handle_message(now, from.number, word))
                {
                    members[n].send_message(&from, &answer.encode(), &mut mail);
                }
            }
            flying.extend(sent(mail));
            all.push(datagram);
        }
        for n in 0..FLEET as usize {
            let mut mail = BufferedTransport::default();
            members[n].tick(now, &mut mail);
            if now % ROUND_MS == 0 {
                let others = members[n].peers();
                let numbers: Vec<u32> = others.iter().map(|other| other.number).collect();
                let busy = if n == 0 { now } else { now / 10 };
                let counted = FetchCounts { demanded: busy, accepted: now / 20, refused: now / 10 };
                let mut words: Vec<(u32, Vec<u8>)> = Vec::new();
                words.extend(
                    shares[n].run_round(now, counted, &numbers).into_iter().map(|(to, word)| (to, word.encode())),
                );
                let probed = probes[n].run_round(now, &["x", "y"], &numbers).1;
                words.extend(probed.into_iter().map(|(to, word)| (to, word.encode())));
                for (to, word) in words {
                    let to = others.iter().find(|other| other.number == to).expect("one it knows");
                    members[n].send_message(to, &word, &mut mail);
                }
            }
            flying.extend(sent(mail));
        }
    }
    all
}

#[test]
#[ignore = "writes the corpus"]
fn makes_the_corpus() {
    let all = run();
    std::fs::create_dir_all(corpus()).expect("a folder");
    // Some of each length and kind: few tell as much as all.
    let mut kept: std::collections::BTreeMap<(u8, usize), Vec<u8>> = Default::default();
    for one in all {
        kept.entry((one[5], one.len())).or_insert(one);
    }
    for ((kind, length), datagram) in kept {
        std::fs::write(corpus().join(format!("{kind}-{length:03}")), datagram).expect("written");
    }
}

#[test]
fn changed_datagrams_are_dropped_or_understood_and_never_a_panic() {
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(corpus()).expect("a corpus").flatten().map(|one| one.path()).collect();
    files.sort();
    let known: Vec<Vec<u8>> = files.iter().map(|file| std::fs::read(file).expect("a datagram")).collect();
    assert!(known.len() > 20, "{} datagrams", known.len());
    let played = std::env::var("FUZZ").ok().and_then(|told| told.parse().ok()).unwrap_or(PLAYED);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut one, mut share, mut probes) = (member(0), SharedLimit::new(0, 1, FLEET, 1), ProbeCoordinator::new(0, 1));
    let mut seals: Vec<DatagramCodec> = (0..FLEET).map(|n| DatagramCodec::new("c", b"", FLEET, n, 1)).collect();
    let mut understood = 0;
    for n in 0..u64::from(played) {
        let now = 10_000 + n * 5;
        let mut datagram = known[rng.random_range(0..known.len())].clone();
        for _ in 0..rng.random_range(0..4) {
            let at = rng.random_range(0..datagram.len().max(1));
            match rng.random_range(0..4) {
                0 => datagram.iter_mut().skip(at).take(1).for_each(|byte| *byte ^= 1 << (n % 8)),
                1 => datagram.truncate(at),
                2 => datagram.extend(known[(n as usize) % known.len()].iter().skip(at)),
                _ => datagram
                    .iter_mut()
                    .skip(at)
                    .take(1)
                    .for_each(|byte| *byte = [0, 1, 127, 255][n as usize % 4]),
            }
        }
        // Half of them in a seal that is right, so that what lies under it is reached.
        if n % 2 == 0 && datagram.len() > 26 {
            let kind = if datagram[5] == 1 { PayloadKind::Message } else { PayloadKind::Membership };
            let from = rng.random_range(1..FLEET) as usize;
            datagram = seals[from].seal(kind, &datagram[26..]).unwrap_or(datagram);
        }
        let mut mail = BufferedTransport::default();
        one.handle_datagram(now, &datagram, &mut mail);
        // Whoever sends it may be unknown by now, after what was changed; its word is heard all the same.
        let mut heard: Vec<Vec<u8>> = mail.delivered.drain(..).map(|one| one.1).collect();
        if datagram.len() > 26 && datagram[5] == 1 {
            heard.push(datagram[26..].to_vec());
        }
        for bytes in heard {
            let from = rng.random_range(1..FLEET);
            if let Some(word) = Probed::decode(&bytes) {
                probes.handle_message(now, from, &word);
                understood += 1;
            } else if let Some(word) = LimitMessage::decode(&bytes) {
                share.handle_message(now, from, word);
                understood += 1;
            }
        }
        if n % 50 == 0 {
            one.tick(now, &mut mail);
            let numbers: Vec<u32> = one.peers().iter().map(|other| other.number).collect();
            share.run_round(now, FetchCounts { demanded: n, accepted: n / 3, refused: n / 2 }, &numbers);
            probes.run_round(now, &["x"], &numbers);
            let rate = share.rate(now);
            assert!(rate.is_none_or(|rate| rate.is_finite() && rate > 0.0), "{rate:?}");
            assert!(share.usable_units(now) <= FLEET * UNITS_PER_MEMBER);
        }
        sent(mail);
    }
    let dropped = one.dropped();
    assert!(
        understood > played / 100 && dropped.malformed > 0 && dropped.replayed > 0,
        "{understood}, {dropped:?}"
    );
}
