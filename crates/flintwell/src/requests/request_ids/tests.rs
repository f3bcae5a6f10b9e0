use super::*;
use crate::process::store::Store;
use crate::requests::shared_ids::MAX_FILES;
use std::path::Path;
use tempfile::{TempDir, tempdir};

const UNSAFE: Idempotency = Idempotency::Unsafe;

/// Time of all processes of a test.
#[derive(Clone, Default)]
struct TestClock(Rc<Cell<Micros>>);

impl TestClock {
    fn pass_retention(&self) {
        self.0.set(self.0.get() + RETENTION_US + 1);
    }
}

/// The ids of one process of a proxy in this directory.
fn process(
    directory: &Path,
    clock: &TestClock,
    name: &str,
    unshared_predecessors: &[&str],
) -> Rc<RequestIds> {
    let store = Store::open(Some(directory), "n0").expect("directory");
    let (open, shared) = (OpenIds::open(&store).expect("file"), SharedIds::new(store, name.into()));
    let predecessors = unshared_predecessors.iter().map(|name| (*name).to_owned()).collect();
    let clock = clock.clone();
    Rc::new(RequestIds::new(move || clock.0.get(), open, shared, predecessors))
}

/// Two processes that know of each other.
fn two_processes(clock: &TestClock) -> (TempDir, [Rc<RequestIds>; 2]) {
    let directory = tempdir().expect("directory");
    let processes = ["a", "b"].map(|name| process(directory.path(), clock, name, &[]));
    processes[0].update_siblings(&["b".into()], |_| true);
    processes[1].update_siblings(&["a".into()], |_| true);
    (directory, processes)
}

async fn claim(ids: &Rc<RequestIds>, id: &str, idempotency: Idempotency) -> Result<IdClaim, ClaimError> {
    ids.claim(&id.into(), idempotency).await
}

#[tokio::test(flavor = "current_thread")]
async fn open_id_is_refused_elsewhere_whatever_its_effect_and_free_once_it_is_over() {
    let (_directory, [old, new]) = two_processes(&TestClock::default());
    for idempotency in [Idempotency::Safe, Idempotency::Keyed, UNSAFE] {
        let held = claim(&old, "k", idempotency).await.expect("claim");
        assert_eq!(claim(&new, "k", idempotency).await.err(), Some(ClaimError::Duplicate));
        drop(held);
        drop(claim(&new, "k", idempotency).await.expect("nothing has run"));
    }
}

#[tokio::test(flavor = "current_thread")]
async fn id_is_claimed_as_soon_as_the_other_process_notices_that_its_client_left() {
    let (_directory, [old, new]) = two_processes(&TestClock::default());
    let held = claim(&old, "k", UNSAFE).await.expect("claim");
    let notice = async {
        sleep(CLAIM_RETRY_INTERVAL * 2).await;
        drop(held);
    };
    let (claimed, ()) = tokio::join!(claim(&new, "k", UNSAFE), notice);
    assert!(claimed.is_ok());
}

#[tokio::test(flavor = "current_thread")]
async fn unsafe_id_stays_refused_after_it_may_have_run_and_not_if_it_has_not() {
    let (_directory, [old, new]) = two_processes(&TestClock::default());
    let sent = claim(&old, "k", UNSAFE).await.expect("claim");
    sent.mark_used().expect("record");
    sent.mark_unused();
    drop(sent);
    let sent = claim(&new, "k", UNSAFE).await.expect("it has not run");
    sent.mark_used().expect("record");
    drop(sent);
    for process in [&old, &new] {
        assert_eq!(claim(process, "k", UNSAFE).await.err(), Some(ClaimError::Duplicate));
    }
}

/// Guards against a second run of a request that was open for longer than ids are remembered.
#[tokio::test(flavor = "current_thread")]
async fn id_is_remembered_from_the_end_of_its_request_on() {
    let directory = tempdir().expect("directory");
    let clock = TestClock::default();
    let ids = process(directory.path(), &clock, "a", &[]);
    ids.update_siblings(&[], |_| true);
    let long = claim(&ids, "k", UNSAFE).await.expect("claim");
    long.mark_used().expect("record");
    clock.pass_retention();
    drop(claim(&ids, "other", UNSAFE).await);
    drop(long);
    assert_eq!(claim(&ids, "k", UNSAFE).await.err(), Some(ClaimError::Duplicate));
}

#[tokio::test(flavor = "current_thread")]
async fn unsafe_request_is_refused_while_its_id_cannot_be_recorded_for_the_other_process() {
    let (directory, [old, _new]) = two_processes(&TestClock::default());
    let held = claim(&old, "k", UNSAFE).await.expect("claim");
    // Stands for a full disk: nothing can be created.
    std::fs::remove_dir_all(directory.path()).expect("remove");
    assert_eq!(held.mark_used(), Err(ClaimError::Undetermined));
    // Alone, this process remembers it by itself.
    old.update_siblings(&[], |_| true);
    assert_eq!(held.mark_used(), Ok(()));
    drop(held);
    assert_eq!(claim(&old, "k", UNSAFE).await.err(), Some(ClaimError::Duplicate));
}

#[tokio::test(flavor = "current_thread")]
async fn unsafe_requests_are_refused_until_each_predecessor_has_shared_or_ended() {
    let directory = tempdir().expect("directory");
    let ids = process(directory.path(), &TestClock::default(), "c", &["a", "b"]);
    let siblings = ["a".to_owned(), "b".to_owned()];
    for (running, shares) in [(&siblings[..], "a"), (&siblings[..], ""), (&siblings[..1], "")] {
        let is_refused = !ids.unshared_predecessors.borrow().is_empty();
        assert!(is_refused);
        assert_eq!(claim(&ids, "k", UNSAFE).await.err(), Some(ClaimError::Undetermined));
        assert!(claim(&ids, "k", Idempotency::Keyed).await.is_ok());
        ids.update_siblings(running, |process| process == shares);
    }
    assert!(claim(&ids, "k", UNSAFE).await.is_ok());
}

#[tokio::test(flavor = "current_thread")]
async fn records_of_processes_that_have_ended_are_kept_for_as_long_as_a_request_may_come_again() {
    let clock = TestClock::default();
    let (directory, [old, new]) = two_processes(&clock);
    claim(&old, "k", UNSAFE).await.expect("claim").mark_used().expect("record");
    drop((old, new));
    let restarted = process(directory.path(), &clock, "c", &[]);
    restarted.update_siblings(&[], |_| true);
    assert_eq!(claim(&restarted, "k", UNSAFE).await.err(), Some(ClaimError::Duplicate));
    clock.pass_retention();
    restarted.update_siblings(&[], |_| true);
    assert!(claim(&restarted, "k", UNSAFE).await.is_ok());
}

/// Guards against a second run of a request whose record is removed for newer ones while it is open.
#[tokio::test(flavor = "current_thread")]
async fn id_whose_record_was_removed_for_newer_ones_is_refused_elsewhere() {
    let (_directory, [old, new]) = two_processes(&TestClock::default());
    let open = claim(&old, "k", UNSAFE).await.expect("claim");
    open.mark_used().expect("record");
    for n in 0..MAX_FILES {
        claim(&old, &n.to_string(), UNSAFE).await.expect("claim").mark_used().expect("record");
    }
    assert!(!new.shared.is_used(IdHash::of(&"k".into())).expect("query"), "its record is removed");
    assert_eq!(claim(&new, "k", UNSAFE).await.err(), Some(ClaimError::Duplicate));
    drop(open);
    assert_eq!(claim(&new, "k", UNSAFE).await.err(), Some(ClaimError::Duplicate));
}
