//! A node's answer on its way to the client: whole, or a long one passed on piece by piece.

use crate::clock::Patience;
use crate::counts::{Counts, InHand};
use crate::desk::Seat;
use crate::link::Link;
use crate::pool::Pool;
use bytes::Bytes;
use flintwell_core::interface::NodeId;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

pub const STALL: Duration = Duration::from_secs(10); // of either side; peers take seconds

pub enum Content {
    Whole(Full<Bytes>),
    Long(Box<Relay>),
}

impl From<Bytes> for Content {
    fn from(bytes: Bytes) -> Self {
        Content::Whole(Full::new(bytes))
    }
}

impl Body for Content {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Content::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Content::Long(relay) => relay.poll(cx),
        }
    }
    fn is_end_stream(&self) -> bool {
        match self {
            Content::Whole(body) => body.is_end_stream(),
            Content::Long(relay) => relay.ended(),
        }
    }
    fn size_hint(&self) -> SizeHint {
        match self {
            Content::Whole(body) => body.size_hint(),
            Content::Long(relay) => match (relay.told, relay.rest.size_hint().exact()) {
                (true, Some(rest)) => SizeHint::with_exact(relay.begun.len() as u64 + rest),
                _ => SizeHint::default(),
            },
        }
    }
}

/// What lasts as long as the access that is answered.
struct Carried {
    counts: Rc<Counts>,
    case: usize,
    _seat: Seat,
    _in_hand: InHand,
}

/// A long answer: what has come of it, and the rest as it comes.
pub struct Relay {
    begun: Bytes,
    rest: Incoming,
    /// Its length was told at its head.
    told: bool,
    /// Bytes that may still come.
    left: u64,
    node: NodeId,
    pool: Rc<Pool>,
    link: Option<Link>,
    patience: Patience,
    broken: bool,
    finished: bool,
    carried: Option<Carried>,
}

impl Relay {
    pub fn new(begun: Bytes, rest: Incoming, left: u64, node: NodeId, pool: Rc<Pool>, link: Link) -> Self {
        Relay {
            told: rest.size_hint().exact().is_some(),
            begun,
            rest,
            left,
            node,
            pool,
            link: Some(link),
            patience: Patience::new(STALL),
            broken: false,
            finished: false,
            carried: None,
        }
    }

    /// Its access ends with it.
    pub fn carries(&mut self, seat: Seat, in_hand: InHand, counts: Rc<Counts>, case: usize) {
        self.carried = Some(Carried { counts, case, _seat: seat, _in_hand: in_hand });
    }

    fn ended(&self) -> bool {
        self.begun.is_empty() && self.rest.is_end_stream()
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if !self.begun.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.begun)))));
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.patience.renew();
                    // Danger: an answer without end would be passed on for as long as its client reads.
                    let Some(left) = self.left.checked_sub(data.len() as u64) else {
                        return self.breaks("longer than any answer");
                    };
                    self.left = left;
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                Poll::Ready(Some(Err(_))) => return self.breaks("broken off by its node"),
                Poll::Ready(None) => {
                    self.finished = true;
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    return match self.patience.poll(cx) {
                        Poll::Ready(()) => self.breaks("its node stands still"),
                        Poll::Pending => Poll::Pending,
                    };
                }
            }
        }
    }

    /// Danger: a client must not take a part for the whole; so its framing stays open, and its connection ends.
    fn breaks(&mut self, why: &str) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.broken = true;
        Poll::Ready(Some(Err(io::Error::other(why))))
    }
}

impl Drop for Relay {
    /// Passed on whole, broken by its node, or left by its client; who left is not counted.
    fn drop(&mut self) {
        let whole = !self.broken && (self.finished || self.ended());
        if let Some(link) = self.link.take().filter(|_| whole) {
            self.pool.give_back(&self.node, link);
        }
        if let Some(carried) = self.carried.take().filter(|_| whole || self.broken) {
            carried.counts.passed_on(carried.case, whole);
        }
    }
}
