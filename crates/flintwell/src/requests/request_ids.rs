//! Decides whether a request with this id may be served, here or at another process of this proxy.
//!
//! Two rules hold across the processes: an id is open at one of them at a time, and an unsafe request that may have run is
//! not sent again.

use crate::log_line;
use crate::requests::id_hash::IdHash;
use crate::requests::open_ids::OpenIds;
use crate::requests::shared_ids::{RecordError, SharedIds};
use crate::requests::used_ids::{RETENTION_US, UsedIds};
use flintwell_core::interface::{Idempotency, Micros, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const SIBLING_POLL_INTERVAL: Duration = Duration::from_millis(50); // another process takes longer to serve
/// How long another process may take to notice that its client has left before the id counts as open there.
const DISCONNECT_WAIT: Duration = Duration::from_millis(50);
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Advised delay before a retry while ids cannot be compared with another process.
pub const UNDETERMINED_RETRY_AFTER_US: Micros = 500_000;

/// Why a request is not served under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// A request with this id is open, or is unsafe and may have run.
    Duplicate,
    /// An unsafe request may have run at another process, or could run again there. It has not run here.
    Undetermined,
}

/// Ids of the requests of this proxy.
pub struct RequestIds {
    now: Box<dyn Fn() -> Micros>,
    open: OpenIds,
    /// Unsafe requests that may have run at this process.
    used: RefCell<UsedIds>,
    shared: SharedIds,
    /// Requests whose response was taken over from a predecessor.
    taken_over: RefCell<HashSet<IdHash>>,
    /// Processes that were there before this one and have not shared yet what they have used.
    unshared_predecessors: RefCell<Vec<String>>,
    has_sibling: Cell<bool>,
    /// Until when ids are shared.
    shared_until: Cell<Micros>,
}

impl RequestIds {
    /// Ids of a process that was started beside `unshared_predecessors`.
    pub fn new(
        now: impl Fn() -> Micros + 'static,
        open: OpenIds,
        shared: SharedIds,
        unshared_predecessors: Vec<String>,
    ) -> Self {
        // Processes that ran a short while ago may have left records.
        let record_retention = if shared.has_records() { RETENTION_US } else { 0 };
        let shared_until = now() + record_retention;
        RequestIds {
            now: Box::new(now),
            open,
            used: RefCell::default(),
            shared,
            taken_over: RefCell::default(),
            has_sibling: Cell::new(!unshared_predecessors.is_empty()),
            unshared_predecessors: RefCell::new(unshared_predecessors),
            shared_until: Cell::new(shared_until),
        }
    }

    /// Shares ids with other processes while there are any, and for as long afterwards as a request may come again. Never
    /// returns.
    pub async fn follow_siblings(
        &self,
        sibling_names: impl Fn() -> Vec<String>,
        is_sharing: impl Fn(&str) -> bool,
    ) {
        loop {
            self.update_siblings(&sibling_names(), &is_sharing);
            sleep(SIBLING_POLL_INTERVAL).await;
        }
    }

    fn update_siblings(&self, siblings: &[String], is_sharing: impl Fn(&str) -> bool) {
        let now = (self.now)();
        self.has_sibling.set(!siblings.is_empty());
        self.unshared_predecessors
            .borrow_mut()
            .retain(|process| siblings.contains(process) && !is_sharing(process));
        if self.has_sibling.get() {
            self.shared_until.set(now + RETENTION_US);
        }
        if now < self.shared_until.get() {
            self.shared.start(|| self.used.borrow().all());
        } else {
            self.shared.stop();
        }
    }

    /// Claims the id of a request for as long as the claim is kept.
    ///
    /// The client may have left another process for this one. So an id that is open there is tried again for as long as
    /// that process may take to notice.
    pub async fn claim(
        self: &Rc<Self>,
        id: &RequestId,
        idempotency: Idempotency,
    ) -> Result<IdClaim, ClaimError> {
        let id = IdHash::of(id);
        let started_at = Instant::now();
        loop {
            match self.try_claim(id, idempotency) {
                Err(ClaimFailure::OpenElsewhere) if started_at.elapsed() < DISCONNECT_WAIT => {
                    sleep(CLAIM_RETRY_INTERVAL).await;
                }
                Err(ClaimFailure::OpenElsewhere) => return Err(ClaimError::Duplicate),
                Err(ClaimFailure::Final(error)) => return Err(error),
                Ok(claim) => return Ok(claim),
            }
        }
    }

    fn try_claim(self: &Rc<Self>, id: IdHash, idempotency: Idempotency) -> Result<IdClaim, ClaimFailure> {
        if self.taken_over.borrow().contains(&id) {
            return Err(ClaimFailure::Final(ClaimError::Duplicate));
        }
        let is_unsafe = idempotency == Idempotency::Unsafe;
        match self.open.try_claim(id) {
            Ok(true) => {}
            Ok(false) => return Err(ClaimFailure::OpenElsewhere),
            Err(error) => {
                log_line!("an id cannot be compared with those of the other processes: {error}");
                if is_unsafe && self.has_sibling.get() {
                    return Err(ClaimFailure::Final(ClaimError::Undetermined));
                }
            }
        }
        // From here on the id is released if the claim is dropped.
        let claim = IdClaim { ids: self.clone(), id, is_unsafe, may_have_run: Cell::new(false) };
        if is_unsafe {
            self.check_unused(id).map_err(ClaimFailure::Final)?;
        }
        Ok(claim)
    }

    /// Keeps the id of a request open whose response was taken over from a predecessor.
    pub fn take_over(self: &Rc<Self>, id: IdHash) -> TakenOverId {
        self.taken_over.borrow_mut().insert(id);
        TakenOverId { ids: self.clone(), id, is_claimed: Cell::new(false) }
    }

    /// Whether an unsafe request with this id has certainly not run.
    fn check_unused(&self, id: IdHash) -> Result<(), ClaimError> {
        if self.used.borrow_mut().contains(id, (self.now)()) {
            return Err(ClaimError::Duplicate);
        }
        match self.shared.is_used(id) {
            Ok(true) => Err(ClaimError::Duplicate),
            Ok(false) if self.unshared_predecessors.borrow().is_empty() => Ok(()),
            Ok(false) => Err(ClaimError::Undetermined),
            Err(error) => {
                log_line!("an id cannot be compared with those that were used: {error}");
                Err(ClaimError::Undetermined)
            }
        }
    }

    fn mark_used(&self, id: IdHash) -> Result<(), ClaimError> {
        match self.shared.record(id) {
            Ok(()) => {}
            Err(RecordError::AlreadyUsed) => return Err(ClaimError::Duplicate),
            Err(RecordError::Io(error)) => {
                log_line!("the id of an unsafe request cannot be recorded: {error}");
                self.shared.mark_incomplete();
                if self.has_sibling.get() {
                    return Err(ClaimError::Undetermined);
                }
            }
        }
        self.used.borrow_mut().insert(id, (self.now)());
        Ok(())
    }

    /// Records once more that a request may have run. It may come again from now on, and may have been open for longer than
    /// ids are remembered.
    fn renew_used(&self, id: IdHash) {
        self.used.borrow_mut().insert(id, (self.now)());
        if let Err(error) = self.shared.record(id) {
            log_line!("the id of an unsafe request that may have run cannot be recorded: {error}");
        }
    }

    fn release(&self, id: IdHash) {
        if let Err(error) = self.open.release(id) {
            log_line!("an id stays open for the other processes: {error}");
        }
    }

    fn mark_unused(&self, id: IdHash) {
        self.used.borrow_mut().remove(id);
        self.shared.forget(id);
    }
}

/// Why an id could not be claimed at once.
enum ClaimFailure {
    OpenElsewhere,
    Final(ClaimError),
}

/// An id that is open at this process until the claim is dropped.
pub struct IdClaim {
    ids: Rc<RequestIds>,
    id: IdHash,
    is_unsafe: bool,
    may_have_run: Cell<bool>,
}

impl IdClaim {
    pub fn id(&self) -> IdHash {
        self.id
    }

    /// Records that the request may run from now on, before it is sent. It must not be sent if that fails.
    pub fn mark_used(&self) -> Result<(), ClaimError> {
        if self.is_unsafe {
            self.ids.mark_used(self.id)?;
            self.may_have_run.set(true);
        }
        Ok(())
    }

    /// Records that the request has not run after all.
    pub fn mark_unused(&self) {
        if self.may_have_run.replace(false) {
            self.ids.mark_unused(self.id);
        }
    }
}

impl Drop for IdClaim {
    fn drop(&mut self) {
        if self.may_have_run.get() {
            self.ids.renew_used(self.id);
        }
        self.ids.release(self.id);
    }
}

/// The id of a request whose response was taken over; open at this process until it is dropped.
pub struct TakenOverId {
    ids: Rc<RequestIds>,
    id: IdHash,
    is_claimed: Cell<bool>,
}

impl TakenOverId {
    /// Marks the id as open for the other processes, once the predecessor has released it.
    pub async fn claim(&self) {
        while !self.ids.open.try_claim(self.id).unwrap_or(false) {
            sleep(CLAIM_RETRY_INTERVAL).await;
        }
        self.is_claimed.set(true);
    }
}

impl Drop for TakenOverId {
    fn drop(&mut self) {
        self.ids.taken_over.borrow_mut().remove(&self.id);
        if self.is_claimed.get() {
            self.ids.release(self.id);
        }
    }
}

#[cfg(test)]
mod tests;
