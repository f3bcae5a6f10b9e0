use super::*;
use proptest::prelude::*;

fn seal(number: u32, life: u64, key: &[u8]) -> DatagramCodec {
    DatagramCodec::new("c", key, 8, number, life)
}

#[test]
fn foreign_truncated_altered_and_replayed_datagrams_are_dropped_and_counted() {
    let (mut ours, mut other) = (seal(0, 5, b"key"), seal(1, 7, b"key"));
    let datagram = other.seal(PayloadKind::Message, b"hello").expect("short enough");
    let opened = ours.open(0, &datagram).expect("ours");
    assert_eq!((opened.kind, opened.from, opened.life, opened.body), (PayloadKind::Message, 1, 7, &b"hello"[..]));
    assert!(ours.open(0, &datagram).is_none(), "a replay");
    let datagrams: Vec<_> = (0..70).map(|n| other.seal(PayloadKind::Message, &[n]).expect("short")).collect();
    assert!(ours.open(0, &datagrams[69]).is_some() && ours.open(0, &datagrams[30]).is_some(), "reordered within the replay window");
    assert!(ours.open(0, &datagrams[30]).is_none() && ours.open(0, &datagrams[2]).is_none(), "a duplicate, and one too old for the window");
    let mut changed = datagrams[40].clone();
    changed[28] ^= 1;
    assert!(ours.open(0, &changed).is_none() && ours.open(0, &datagram[..datagram.len() - 1]).is_none());
    assert!(
        ours.open(0, &seal(1, 6, b"key").seal(PayloadKind::Message, b"").expect("short")).is_none(),
        "an earlier incarnation"
    );
    assert!(ours.open(0, &seal(1, 9, b"other").seal(PayloadKind::Message, b"").expect("short")).is_none());
    assert!(ours.open(0, &seal(1, 9, b"").seal(PayloadKind::Message, b"").expect("short")).is_none());
    assert!(ours.open(0, &DatagramCodec::new("d", b"key", 8, 1, 9).seal(PayloadKind::Message, b"").expect("short")).is_none());
    assert!(ours.open(0, &DatagramCodec::new("c", b"key", 99, 9, 9).seal(PayloadKind::Message, b"").expect("short")).is_none());
    let mut other_version = datagrams[41].clone();
    other_version[0] = 2;
    assert!(ours.open(0, &other_version).is_none() && ours.open(0, &[1; 300]).is_none());
    assert!(other.seal(PayloadKind::Message, &[0; MAX_BODY_BYTES + 1]).is_none());
    let dropped = DropCounts {
        malformed: 2,
        other_version: 1,
        other_cluster: 1,
        unsigned: 3,
        replayed: 4,
        flooded: 0,
        unknown: 1,
    };
    assert_eq!(ours.dropped, dropped);
}

#[test]
fn a_flooding_sender_is_rate_limited() {
    let (mut ours, mut other) = (seal(0, 1, b""), seal(1, 1, b""));
    let mut accepted = 0;
    for ms in 0..10_000 {
        let datagram = other.seal(PayloadKind::Membership, &[0; 100]).expect("short");
        accepted += u64::from(ours.open(ms, &datagram).is_some());
    }
    assert!((600..=MAX_BURST + 600).contains(&accepted), "{accepted} of 10000 datagrams accepted in ten seconds");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]
    #[test]
    fn random_bytes_are_rejected_when_a_key_is_set(datagram in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut ours = seal(0, 1, b"key");
        prop_assert!(ours.open(0, &datagram).is_none());
        let mut open = seal(0, 1, b"");
        let _ = open.open(0, &datagram);
    }
}
