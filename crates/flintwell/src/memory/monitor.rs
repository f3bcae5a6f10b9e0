//! Watches the memory of the process against its limit, and reports both with what the memory is used for.

use crate::log_line;
use crate::management::metrics::Metrics;
use crate::memory::budget::BudgetUse;
use crate::memory::plan::{MemoryBudgets, MemoryPlan};
use crate::memory::pressure::MemoryPressure;
use crate::memory::resident::{ResidentMemory, resident_bytes};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::sleep;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(25); // a crowd takes longer to fill a tenth of the limit
const SAMPLES_PER_SIBLING_CHECK: u32 = 8; // another process takes longer to start and fill
const LOGGED_PERCENTAGES: [u64; 4] = [50, 75, 90, 100]; // of the limit

/// Response body of `/api/memory`.
#[derive(Serialize)]
pub struct MemoryReport {
    limit_bytes: u64,
    /// None where the platform does not tell.
    resident_bytes: Option<u64>,
    peak_bytes: Option<u64>,
    /// Whether free parts of the budgets are withheld, because the resident memory is close to the limit.
    under_pressure: bool,
    /// Bytes of request bodies that are held.
    request_bodies: BudgetUse,
    /// Bytes of responses that are held: collected whole, or read ahead of their clients.
    responses: BudgetUse,
    /// Bytes of messages that are passed on while they are received.
    transfers: BudgetUse,
    client_connections: BudgetUse,
    node_connections: BudgetUse,
    /// Client connections that were closed, by the reason.
    closed: BTreeMap<&'static str, u64>,
    /// Requests refused because no memory was left for their bodies.
    requests_without_memory: u64,
    /// Requests not served because no memory was left for their long responses.
    responses_without_memory: u64,
}

/// What the memory of the process is used for.
pub struct MemoryMonitor {
    limit_bytes: u64,
    budgets: MemoryBudgets,
    /// Permits for connections, with their total numbers.
    client_connections: (Arc<Semaphore>, usize),
    node_connections: (Arc<Semaphore>, usize),
    metrics: Rc<Metrics>,
    pressure: RefCell<MemoryPressure>,
    is_limit_enforced: bool,
    /// The highest of the logged percentages that was reached.
    logged_percentage: Cell<u64>,
}

impl MemoryMonitor {
    /// Watches the memory of a process with this plan, and keeps it within the limit if that is enforced.
    pub fn new(
        plan: &MemoryPlan,
        is_limit_enforced: bool,
        budgets: MemoryBudgets,
        client_connections: Arc<Semaphore>,
        node_connections: Arc<Semaphore>,
        metrics: Rc<Metrics>,
    ) -> Self {
        let limit_bytes = plan.limit_bytes as u64;
        let tightened = [&budgets.request_bodies, &budgets.responses, &budgets.transfers].map(Clone::clone);
        MemoryMonitor {
            limit_bytes,
            budgets,
            client_connections: (client_connections, plan.client_connections),
            node_connections: (node_connections, plan.node_connections),
            metrics,
            pressure: RefCell::new(MemoryPressure::new(limit_bytes, tightened)),
            is_limit_enforced,
            logged_percentage: Cell::new(0),
        }
    }

    /// Samples the memory, tightens the budgets near the limit, and logs when certain shares of it are passed. The memory of
    /// the other processes of this proxy counts, too. Never returns.
    pub async fn run(&self, sibling_process_ids: impl Fn() -> Vec<u32>) {
        loop {
            let siblings = sibling_process_ids();
            for _ in 0..SAMPLES_PER_SIBLING_CHECK {
                if let Some(own) = resident_bytes("self") {
                    let of_siblings = siblings.iter().filter_map(|id| resident_bytes(&id.to_string()));
                    let total = own + of_siblings.sum::<u64>();
                    let has_changed = self.is_limit_enforced && self.pressure.borrow_mut().update(total);
                    self.log_changes(total, has_changed);
                }
                sleep(SAMPLE_INTERVAL).await;
            }
        }
    }

    /// Logs the use of memory when the pressure changes, and when a share of the limit is reached that was not reached before,
    /// or is no longer.
    fn log_changes(&self, resident_bytes: u64, has_pressure_changed: bool) {
        let percentage = resident_bytes * 100 / self.limit_bytes.max(1);
        let reached = LOGGED_PERCENTAGES.into_iter().rfind(|logged| *logged <= percentage).unwrap_or(0);
        if self.logged_percentage.replace(reached) != reached || has_pressure_changed {
            let report = serde_json::to_string(&self.report());
            log_line!("memory is at {percentage} % of its limit: {}", report.unwrap_or_default());
        }
    }

    /// Body of `/api/memory`.
    pub fn report(&self) -> MemoryReport {
        let memory = ResidentMemory::read();
        let (client_permits, max_clients) = &self.client_connections;
        let (node_permits, max_nodes) = &self.node_connections;
        MemoryReport {
            limit_bytes: self.limit_bytes,
            resident_bytes: memory.map(|memory| memory.current_bytes),
            peak_bytes: memory.map(|memory| memory.peak_bytes),
            under_pressure: self.pressure.borrow().is_high(),
            request_bodies: self.budgets.request_bodies.in_use(),
            responses: self.budgets.responses.in_use(),
            transfers: self.budgets.transfers.in_use(),
            client_connections: BudgetUse::of_permits(client_permits, *max_clients),
            node_connections: BudgetUse::of_permits(node_permits, *max_nodes),
            closed: self.metrics.closed_connections(),
            requests_without_memory: self.metrics.requests_without_memory.get(),
            responses_without_memory: self.metrics.responses_without_memory.get(),
        }
    }
}
