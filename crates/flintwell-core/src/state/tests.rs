use super::*;

/// A removed node's record is reused for a new node after a while, and carries over no ejections.
#[test]
fn records_of_long_removed_nodes_are_reused_and_reset() {
    let (mut nodes, long) = (Nodes::default(), 1_000);
    for n in 1..=200 {
        let now = n * 400;
        let id: NodeId = format!("n{n}").into();
        let node = nodes.of(&id, now, long);
        assert!(node.strikes == 0 && node.id_hash == hash(&id));
        node.entry.node = id.clone();
        node.sent.add(now, long);
        node.strike(now, long, 1);
        assert_eq!(nodes.of(&id, now + 1, long).strikes, 1, "the record of a node in use stays");
    }
    assert!(nodes.len() <= 5 && nodes.by_id.len() == nodes.len(), "{} of 200", nodes.len());
}

/// With 8,192 slots, every one of a few hundred equal caches owns slots. The more caches, the more their shares
/// differ.
#[test]
fn each_of_a_few_hundred_caches_owns_slots_and_shares_stay_within_bounds() {
    for (caches, without, spread) in [(16, 0, 0.06), (200, 0, 0.16), (300, 0, 0.18), (1_024, 4, 0.36)] {
        let table = Slots::new(8_192, (0..caches).map(|n| (n, hash(&format!("server-{n}")), 32)));
        let mut parts = vec![0.0_f64; caches];
        table.holders.iter().filter(|n| **n != u16::MAX).for_each(|n| parts[usize::from(*n)] += 1.0);
        let mean = parts.iter().sum::<f64>() / caches as f64;
        let off = parts.iter().map(|part| (part / mean - 1.0).powi(2)).sum::<f64>() / caches as f64;
        let none = parts.iter().filter(|part| **part == 0.0).count();
        let most = parts.iter().fold(0.0_f64, |most, part| most.max(*part)) / mean;
        println!(
            "{caches} caches: {none} without slots, standard deviation {:.2}, largest share {most:.2} times the mean",
            off.sqrt()
        );
        assert!(none <= without && off.sqrt() < spread, "{caches} caches: {none} without slots, standard deviation {:.2}", off.sqrt());
    }
}
