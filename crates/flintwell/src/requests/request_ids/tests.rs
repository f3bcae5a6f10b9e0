use super::*;
use crate::process::store::Store;
use crate::requests::shared_ids::MAX_FILES;
use rand::RngCore;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::HashMap;
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

/// Processes of one proxy that start, share, serve and are killed in a drawn order, and what they have to keep.
struct ProcessModel {
    directory: TempDir,
    clock: TestClock,
    random: ChaCha8Rng,
    started: usize,
    /// The processes, with the claims that are open at each.
    running: Vec<(String, Rc<RequestIds>, Vec<OpenRequest>)>,
    /// When the request with an id may have run last.
    ran_at: HashMap<String, Micros>,
}

struct OpenRequest {
    id: String,
    idempotency: Idempotency,
    claim: IdClaim,
}

impl ProcessModel {
    const MAX_PROCESSES: usize = 3;
    const IDS: usize = 6;

    fn new(seed: u64) -> Self {
        ProcessModel {
            directory: tempdir().expect("directory"),
            clock: TestClock::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            started: 0,
            running: Vec::new(),
            ran_at: HashMap::new(),
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.random.next_u32() as usize % below
    }

    fn step(&mut self) {
        match self.draw(20) {
            0 => self.start_process(),
            1 => self.kill_process(),
            2 => self.pass_time(),
            3..9 => self.claim(),
            9..14 => self.send(),
            14..17 => self.end(),
            _ => self.poll(),
        }
    }

    /// The other processes have shared before a new one serves, as at its start.
    fn start_process(&mut self) {
        if self.running.len() < Self::MAX_PROCESSES {
            self.started += 1;
            let name = format!("process-{}", self.started);
            let ids = process(self.directory.path(), &self.clock, &name, &[]);
            self.running.push((name, ids, Vec::new()));
            self.poll();
        }
    }

    /// Its locks are released, and what only its memory says is lost.
    fn kill_process(&mut self) {
        if !self.running.is_empty() {
            let index = self.draw(self.running.len());
            let (_, _, open) = self.running.swap_remove(index);
            open.iter().for_each(|request| request.claim.may_have_run.set(false));
            drop(open);
            self.poll();
        }
    }

    /// Processes look for others all the time.
    fn pass_time(&mut self) {
        self.clock.0.set(self.clock.0.get() + RETENTION_US / 3);
        self.poll();
    }

    fn poll(&self) {
        let names: Vec<String> = self.running.iter().map(|process| process.0.clone()).collect();
        for (name, ids, _) in &self.running {
            let siblings: Vec<String> = names.iter().filter(|sibling| *sibling != name).cloned().collect();
            ids.update_siblings(&siblings, |_| true);
        }
    }

    fn claim(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.draw(self.running.len());
        let idempotency = [Idempotency::Safe, Idempotency::Keyed, UNSAFE][self.draw(3)];
        let id = format!("{idempotency:?}-{}", self.draw(Self::IDS));
        let is_open = |open: &[OpenRequest]| open.iter().any(|request| request.id == id);
        // Within a process the handles of requests prevent this.
        if is_open(&self.running[index].2) {
            return;
        }
        let is_open_elsewhere = self.running.iter().any(|process| is_open(&process.2));
        let ran_at = self.ran_at.get(&id).filter(|_| idempotency == UNSAFE);
        let has_run = ran_at.is_some_and(|at| self.clock.0.get() - at < RETENTION_US);
        let result = self.running[index].1.try_claim(IdHash::of(&id.as_str().into()), idempotency);
        match result {
            Ok(claim) => {
                assert!(!is_open_elsewhere, "{id} is open at one process at a time");
                assert!(!has_run, "{id} may have run");
                self.running[index].2.push(OpenRequest { id, idempotency, claim });
            }
            Err(_) => assert!(is_open_elsewhere || ran_at.is_some(), "{id} is served: nothing has run"),
        }
    }

    fn drawn_request(&mut self) -> Option<(usize, usize)> {
        let index = if self.running.is_empty() { return None } else { self.draw(self.running.len()) };
        let count = self.running[index].2.len();
        (count > 0).then(|| (index, self.draw(count)))
    }

    /// Sends a request, which runs or is known not to have run.
    fn send(&mut self) {
        let Some((index, number)) = self.drawn_request() else { return };
        let runs = self.draw(2) == 0;
        // Without another process a killed one leaves no record.
        let is_recorded = self.running.len() > 1;
        let request = &self.running[index].2[number];
        if request.idempotency != UNSAFE || request.claim.may_have_run.get() || !is_recorded {
            return;
        }
        request.claim.mark_used().expect("record");
        if runs {
            self.ran_at.insert(request.id.clone(), self.clock.0.get());
        } else {
            request.claim.mark_unused();
        }
    }

    /// The request is answered, or its client is gone.
    fn end(&mut self) {
        let Some((index, number)) = self.drawn_request() else { return };
        let is_recorded = self.running.len() > 1;
        let request = self.running[index].2.swap_remove(number);
        if request.claim.may_have_run.get() && is_recorded {
            self.ran_at.insert(request.id, self.clock.0.get());
        }
    }
}

/// Guards the two rules of this module in drawn orders; `FLINTWELL_ID_ORDERS` asks for more of them.
#[test]
fn rules_on_ids_hold_in_drawn_orders_of_requests_and_processes() {
    let orders = std::env::var("FLINTWELL_ID_ORDERS").ok().and_then(|orders| orders.parse().ok());
    for seed in 0..orders.unwrap_or(300) {
        let mut model = ProcessModel::new(seed);
        (0..200).for_each(|_| model.step());
    }
}
