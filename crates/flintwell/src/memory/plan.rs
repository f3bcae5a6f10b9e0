//! Divides the memory limit of the process: what connections take at most comes first, and the rest is divided into budgets.

use crate::memory::budget::{MemoryBudget, MemoryCharge};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Semaphore;
use tokio::time::{timeout, timeout_at};

const PROCESS_BYTES: usize = 8 << 20; // the program, its tables and buffers that are no connection's
/// The least limit that can be kept; a lower one is planned like this one.
pub const MIN_LIMIT_BYTES: usize = 16 << 20;
/// Memory of a connection: buffers of the HTTP parser, a short message, and its task.
pub const CONNECTION_BYTES: usize = 24 << 10;
const CLIENT_CONNECTION_SHARE: (usize, usize) = (1, 2); // of the usable memory, at most
const NODE_CONNECTION_SHARE: (usize, usize) = (1, 4); // of the usable memory, at most
const REQUEST_BODY_SHARE: (usize, usize) = (1, 4); // of what connections leave
const RESPONSE_SHARE: (usize, usize) = (3, 8); // the rest is for transfers
/// A message up to this length is part of what its connections take, and not charged.
pub const SHORT_MESSAGE_BYTES: u64 = 8 << 10;
/// Largest read buffer of a client connection; bounds the length of a request head.
pub const CLIENT_READ_BUFFER_BYTES: usize = 16 << 10;
const MIN_NODE_READ_BUFFER_BYTES: usize = 8 << 10; // the least that the HTTP parser takes
const MAX_NODE_READ_BUFFER_BYTES: usize = 32 << 10;
const MAX_WAITING_SHARE: usize = 8; // one in this many node connections may be occupied by a response that waits
// How long a message waits until others have been passed on, before it is refused.
const MAX_TRANSFER_WAIT: Duration = Duration::from_millis(500);
// Pieces of a message that is passed on: one each in the parser, in our hands and in the write queue.
const PIECES_IN_TRANSFER: usize = 3;
// Larger read buffers are used where at least one in this many node connections can pass on a long response.
const MIN_TRANSFER_SHARE: usize = 2;

/// Numbers and budgets that keep the process within its memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// At least `MIN_LIMIT_BYTES`.
    pub limit_bytes: usize,
    pub client_connections: usize,
    pub node_connections: usize,
    /// Request bodies that are held.
    pub request_body_bytes: usize,
    /// Responses that are held: collected whole, or read ahead of their clients.
    pub response_bytes: usize,
    /// Messages that are passed on while they are received.
    pub transfer_bytes: usize,
    /// Largest read buffer of a node connection.
    pub node_read_buffer_bytes: usize,
}

fn share_of(bytes: usize, (numerator, denominator): (usize, usize)) -> usize {
    bytes / denominator * numerator
}

impl MemoryPlan {
    /// The plan for a memory limit, where descriptors allow `max_connections` connections of clients and as many of nodes.
    pub fn new(limit_bytes: usize, max_connections: usize) -> Self {
        let limit_bytes = limit_bytes.max(MIN_LIMIT_BYTES);
        let usable = limit_bytes - PROCESS_BYTES;
        let affordable =
            |share| (share_of(usable, share) / CONNECTION_BYTES).clamp(1, max_connections.max(1));
        let client_connections = affordable(CLIENT_CONNECTION_SHARE);
        let node_connections = affordable(NODE_CONNECTION_SHARE);
        let rest = usable - (client_connections + node_connections) * CONNECTION_BYTES;
        let request_body_bytes = share_of(rest, REQUEST_BODY_SHARE);
        let response_bytes = share_of(rest, RESPONSE_SHARE);
        let transfer_bytes = rest - request_body_bytes - response_bytes;
        MemoryPlan {
            limit_bytes,
            client_connections,
            node_connections,
            request_body_bytes,
            response_bytes,
            transfer_bytes,
            node_read_buffer_bytes: node_read_buffer_bytes(transfer_bytes, node_connections),
        }
    }

    /// The budgets of the plan.
    pub fn budgets(&self) -> MemoryBudgets {
        MemoryBudgets {
            request_bodies: MemoryBudget::new(self.request_body_bytes),
            responses: MemoryBudget::new(self.response_bytes),
            transfers: MemoryBudget::new(self.transfer_bytes),
            waiting_responses: Arc::new(Semaphore::new(self.node_connections / MAX_WAITING_SHARE)),
            request_transfer_bytes: PIECES_IN_TRANSFER * CLIENT_READ_BUFFER_BYTES,
            response_transfer_bytes: PIECES_IN_TRANSFER * self.node_read_buffer_bytes,
        }
    }
}

/// The largest read buffer with which enough long responses can be passed on at once.
fn node_read_buffer_bytes(transfer_bytes: usize, node_connections: usize) -> usize {
    let mut buffer_bytes = MAX_NODE_READ_BUFFER_BYTES;
    while buffer_bytes > MIN_NODE_READ_BUFFER_BYTES
        && transfer_bytes / (PIECES_IN_TRANSFER * buffer_bytes) < node_connections / MIN_TRANSFER_SHARE
    {
        buffer_bytes /= 2;
    }
    buffer_bytes
}

/// The budgets to which messages beyond short ones are charged.
#[derive(Clone)]
pub struct MemoryBudgets {
    pub request_bodies: MemoryBudget,
    pub responses: MemoryBudget,
    pub transfers: MemoryBudget,
    /// Long responses that may wait for their transfer; each occupies a node connection.
    waiting_responses: Arc<Semaphore>,
    /// What a request takes that is passed on while it is received.
    request_transfer_bytes: usize,
    /// What a response takes that is passed on while it is received.
    response_transfer_bytes: usize,
}

impl MemoryBudgets {
    /// Charges a request body that is passed on while it is received; none if there is no room in time.
    pub async fn charge_request_transfer(&self) -> Option<MemoryCharge> {
        timeout(MAX_TRANSFER_WAIT, self.transfers.charge(self.request_transfer_bytes)).await.ok().flatten()
    }

    /// Charges a long response that is passed on while it is received; none if there is no room until `deadline`, or if
    /// too many wait already.
    pub async fn charge_response_transfer(&self, deadline: Instant) -> Option<MemoryCharge> {
        if let Some(charge) = self.transfers.try_charge(self.response_transfer_bytes) {
            return Some(charge);
        }
        let _waiting = self.waiting_responses.try_acquire().ok()?;
        let wait_until = deadline.min(Instant::now() + MAX_TRANSFER_WAIT);
        let charging = self.transfers.charge(self.response_transfer_bytes);
        timeout_at(wait_until.into(), charging).await.ok().flatten()
    }
}

#[cfg(test)]
mod tests;
