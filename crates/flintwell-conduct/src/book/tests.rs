use super::*;
use flintwell_rollout::controller::Phase;
use serde_json::json;

#[test]
fn the_journal_goes_on_where_it_was_left_and_two_cannot_hold_it() {
    let folder = std::env::temp_dir().join(format!("flintwell-book-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    let mut book = Book::open(&folder).expect("a book");
    assert_eq!(book.last, None);
    let mut journal = Journal::new(7);
    book.begin(&journal, &[("n0".into(), json!({"a": 1}))]).expect("begun");
    (journal.phase, journal.stages_begun) = (Phase::Rolling, 2);
    book.write(&journal).expect("written");
    assert!(Book::open(&folder).err().is_some_and(|why| why.contains("another process")));
    drop(book);
    let book = Book::open(&folder).expect("again");
    assert_eq!(book.last, Some(journal));
    assert_eq!((book.settings("n0"), book.settings("n1").is_err()), (Ok(json!({"a": 1})), true));
    order(&folder, Order::Pause).expect("left");
    assert_eq!((book.ordered(), book.ordered()), (Some(Order::Pause), None));
    drop(book);
    fs::remove_dir_all(&folder).expect("cleared");
}
