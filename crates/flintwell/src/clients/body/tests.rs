use super::*;

#[test]
fn what_is_kept_stays_within_the_budget_whatever_the_pieces_are() {
    let budget = BufferBudget::new(200_000);
    let mut kept = BodyBuffer::new(budget.clone());
    for _ in 0..100_000 {
        assert!(kept.push(&mut Bytes::from_static(b"x"), Some(100_000)));
    }
    assert!(kept.held >= 100_000 && budget.0.get() == 200_000 - kept.held, "{}", kept.held);
    kept.seal();
    assert_eq!(kept.blocks.iter().map(|block| block.0.len()).sum::<usize>(), 100_000);
    let left = std::iter::from_fn(|| kept.pop()).map(|block| block.len()).sum::<usize>();
    assert_eq!((left, budget.0.get()), (100_000, 200_000), "popped blocks are returned to the budget");
    let mut kept = BodyBuffer::new(budget.clone());
    assert!(kept.push(&mut Bytes::from(vec![0; 100_000]), Some(100_000)));
    let mut other = BodyBuffer::new(budget.clone());
    let mut data = Bytes::from(vec![0; 150_000]);
    assert!(!other.push(&mut data, Some(150_000)), "budget exhausted");
    assert_eq!(other.length + data.len() as u64, 150_000, "no byte is lost");
    drop((kept, other));
    assert_eq!(budget.0.get(), 200_000);
}
