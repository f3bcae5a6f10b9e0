//! Hands the pieces of a message to a connection one by one: the next one once the one before was written.
//!
//! The HTTP library takes pieces until its write queue is full, whether or not the peer reads. What lies there is memory
//! that no budget counts.

use bytes::Bytes;
use futures_util::task::AtomicWaker;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

/// Pieces that were handed out and are not written yet.
#[derive(Default)]
struct Queued {
    pieces: AtomicUsize,
    /// The task that waits until all are written.
    waiting: AtomicWaker,
}

/// Paces the pieces of one message.
#[derive(Default)]
pub struct WritePacer(Arc<Queued>);

/// A piece in a write queue; dropped by the connection when it is written.
struct Piece {
    data: Bytes,
    queued: Arc<Queued>,
}

impl AsRef<[u8]> for Piece {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for Piece {
    fn drop(&mut self) {
        if self.queued.pieces.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.queued.waiting.wake();
        }
    }
}

impl WritePacer {
    /// Ready once all pieces handed out so far are written.
    pub fn poll_written(&self, cx: &Context<'_>) -> Poll<()> {
        self.0.waiting.register(cx.waker());
        if self.0.pieces.load(Ordering::Acquire) == 0 { Poll::Ready(()) } else { Poll::Pending }
    }

    /// A piece to be handed out.
    pub fn track(&self, data: Bytes) -> Bytes {
        self.0.pieces.fetch_add(1, Ordering::AcqRel);
        Bytes::from_owner(Piece { data, queued: self.0.clone() })
    }
}

#[cfg(test)]
mod tests;
