use super::*;

#[test]
fn nodes_gone_for_long_leave_no_record_and_no_trace() {
    let (mut nodes, long) = (Nodes::default(), 1_000);
    for n in 1..=200 {
        let now = n * 400;
        let id: NodeId = format!("n{n}").into();
        let node = nodes.of(&id, now, long);
        assert!(node.strikes == 0 && node.id_hash == hash(&id));
        node.entry.node = id.clone();
        node.sent.add(now, long);
        node.strike(now, long, 1);
        assert_eq!(nodes.of(&id, now + 1, long).strikes, 1, "known while it is there");
    }
    assert!(nodes.len() <= 5 && nodes.by_id.len() == nodes.len(), "{} of 200", nodes.len());
}
