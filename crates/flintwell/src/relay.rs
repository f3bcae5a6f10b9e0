//! A node's answer on its way to the client: whole, or a long one passed on piece by piece.

use crate::clock::Patience;
use crate::counts::{Counts, InHand};
use crate::desk::Seat;
use crate::framing::Coding;
use crate::link::Link;
use crate::pool::Pool;
use bytes::Bytes;
use flintwell_core::interface::NodeId;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;

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
            Content::Long(relay) => match (relay.way.told, relay.rest.size_hint().exact()) {
                (true, Some(rest)) => SizeHint::with_exact(relay.begun.len() as u64 + rest),
                _ => SizeHint::default(),
            },
        }
    }
}

/// What lasts as long as the access that is answered.
pub struct Carried {
    counts: Rc<Counts>,
    pub case: usize,
    _seat: Seat,
    _in_hand: InHand,
}

impl Carried {
    /// It has ended here; who left is not counted.
    pub fn ended(self, whole: bool) {
        self.counts.passed_on(self.case, whole);
    }
}

/// A long answer as seen from its client's connection, which may hand it over on its way.
pub struct Way {
    /// Its length was told at its head.
    pub told: bool,
    link: RefCell<Option<Link>>,
    carried: RefCell<Option<Carried>>,
    /// Bytes of it given to the client's connection, and how many may still come.
    given: Cell<u64>,
    left: Cell<u64>,
    over: Cell<bool>,
    broken: Cell<bool>,
}

impl Way {
    /// Reads nothing more from the node; whether what is left of the answer could be handed over.
    pub fn halt(&self) -> bool {
        let link = self.link.borrow();
        let Some(link) = link.as_ref() else { return self.over.get() };
        let known = link.came().is_some();
        if known {
            link.halt();
        }
        known
    }
    /// All that was read of it is with the client's connection.
    pub fn through(&self) -> bool {
        let came = self.link.borrow().as_ref().and_then(Link::came);
        self.over.get() || came.is_some_and(|(body, coding)| body == self.given.get() && !coding.ended())
    }
    pub fn broken(&self) -> bool {
        self.broken.get()
    }
    /// What its node still gives, and how many bytes that may be. The connection there is another's now.
    pub fn rest(&self) -> (Option<(Rc<TcpStream>, Coding)>, u64) {
        let link = self.link.take();
        let rest = link.filter(|_| !self.over.get()).and_then(|link| Some((link.stream()?, link.came()?.1)));
        (rest, self.left.get())
    }
    pub fn carried(&self) -> Option<Carried> {
        self.carried.take()
    }
}

/// A long answer: what has come of it, and the rest as it comes.
pub struct Relay {
    begun: Bytes,
    rest: Incoming,
    node: NodeId,
    pool: Rc<Pool>,
    patience: Patience,
    pub way: Rc<Way>,
}

impl Relay {
    pub fn new(begun: Bytes, rest: Incoming, left: u64, node: NodeId, pool: Rc<Pool>, link: Link) -> Self {
        Relay {
            way: Rc::new(Way {
                told: rest.size_hint().exact().is_some(),
                link: RefCell::new(Some(link)),
                carried: RefCell::default(),
                given: Cell::default(),
                left: Cell::new(left),
                over: Cell::default(),
                broken: Cell::default(),
            }),
            begun,
            rest,
            node,
            pool,
            patience: Patience::new(STALL),
        }
    }

    /// Its access ends with it.
    pub fn carries(&self, seat: Seat, in_hand: InHand, counts: Rc<Counts>, case: usize) {
        self.way.carried.replace(Some(Carried { counts, case, _seat: seat, _in_hand: in_hand }));
    }

    fn gives(&self, data: Bytes) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        self.way.given.set(self.way.given.get() + data.len() as u64);
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn ended(&self) -> bool {
        self.begun.is_empty() && self.rest.is_end_stream()
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if !self.begun.is_empty() {
            let begun = std::mem::take(&mut self.begun);
            return self.gives(begun);
        }
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.patience.renew();
                    // Danger: an answer without end would be passed on for as long as its client reads.
                    let Some(left) = self.way.left.get().checked_sub(data.len() as u64) else {
                        return self.breaks("longer than any answer");
                    };
                    self.way.left.set(left);
                    return self.gives(data);
                }
                Poll::Ready(Some(Err(_))) => return self.breaks("broken off by its node"),
                Poll::Ready(None) => {
                    self.way.over.set(true);
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
        self.way.broken.set(true);
        Poll::Ready(Some(Err(io::Error::other(why))))
    }
}

impl Drop for Relay {
    /// Passed on whole, broken by its node, or left by its client; who left is not counted.
    fn drop(&mut self) {
        let (way, ended) = (&self.way, self.ended());
        let whole = !way.broken.get() && (way.over.get() || ended);
        way.over.set(whole);
        let link = if whole { way.link.take() } else { None };
        // One that is halted has nothing left to bring, and takes nothing more.
        if let Some(link) = link.filter(|link| !link.halted()) {
            self.pool.give_back(&self.node, link);
        }
        if let Some(carried) = way.carried.take().filter(|_| whole || way.broken.get()) {
            carried.ended(whole);
        }
        way.link.take();
    }
}
