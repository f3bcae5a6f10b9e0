//! A node's answer on its way to the client: whole, or a long one passed on piece by piece.

use crate::clients::body::{BufferBudget, BodyBuffer};
use crate::nodes::carry::Rest;
use crate::nodes::link::Link;
use crate::nodes::pool::Pool;
use crate::process::clock::{PEER_STALL, Patience};
use crate::requests::dispatcher::RequestHandle;
use crate::staff::counts::{Counts, End, InHand};
use bytes::Bytes;
use flintwell_core::interface::NodeId;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

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
            Content::Long(relay) => relay.way.poll(cx).map_ok(Frame::data),
        }
    }
    fn is_end_stream(&self) -> bool {
        match self {
            Content::Whole(body) => body.is_end_stream(),
            Content::Long(relay) => relay.way.ended(),
        }
    }
    fn size_hint(&self) -> SizeHint {
        match self {
            Content::Whole(body) => body.size_hint(),
            Content::Long(relay) => relay.way.size_hint(),
        }
    }
}

/// What lasts as long as the request that is answered.
pub struct Carried {
    counts: Rc<Counts>,
    pub case: usize,
    _handle: RequestHandle,
    _in_hand: InHand,
}

impl Carried {
    /// It has ended here; who left is not counted.
    pub fn ended(self, whole: bool) {
        self.counts.ended(self.case, End::passed_on(whole));
    }
}

/// A long answer's way from its node to its client's connection. What the client is not ready for is read
/// ahead while there is room. Danger: a client that reads for seconds would hold its node's connection for as long,
/// and those of a whole fleet fill the origin's table, so that nobody can fetch.
pub struct Way {
    /// Its length was told at its head.
    pub told: bool,
    source: RefCell<Source>,
    carried: RefCell<Option<Carried>>,
    /// Bytes of it given to the client's connection.
    given: Cell<u64>,
    over: Cell<bool>,
    broken: Cell<bool>,
    /// It goes on elsewhere: nothing more is given.
    halted: Cell<bool>,
}

struct Source {
    /// Bytes of it that have come.
    read: u64,
    kept: BodyBuffer,
    room: Rc<BufferBudget>,
    /// Behind what is kept.
    next: Bytes,
    /// None once all has come, or nothing more will.
    rest: Option<Incoming>,
    failed: Option<&'static str>,
    /// Bytes that may still come.
    left: u64,
    patience: Patience,
    node: NodeId,
    pool: Rc<Pool>,
    link: Option<Link>,
}

impl Source {
    fn read(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        loop {
            let Some(rest) = self.rest.as_mut() else { return Poll::Ready(None) };
            match ready!(Pin::new(&mut *rest).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.patience.renew();
                    let ends = rest.is_end_stream();
                    // Danger: an answer without end would be passed on for as long as its client reads.
                    let Some(left) = self.left.checked_sub(data.len() as u64) else {
                        self.fails("longer than any answer");
                        continue;
                    };
                    (self.left, self.read) = (left, self.read + data.len() as u64);
                    if ends {
                        self.ends();
                    }
                    return Poll::Ready(Some(data));
                }
                Some(Err(_)) => self.fails("broken off by its node"),
                None => self.ends(),
            }
        }
    }
    fn fails(&mut self, why: &'static str) {
        (self.failed, self.rest, self.link) = (Some(why), None, None);
    }
    fn ends(&mut self) {
        self.rest = None;
        // One that is halted takes nothing more.
        if let Some(link) = self.link.take().filter(|link| !link.halted()) {
            self.pool.give_back(&self.node, link);
        }
    }
}

impl Way {
    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if self.halted.get() {
            return Poll::Pending;
        }
        let mut source = self.source.borrow_mut();
        let kept = source.kept.pop().unwrap_or_else(|| std::mem::take(&mut source.next));
        let polled = if kept.is_empty() { source.read(cx) } else { Poll::Ready(Some(kept)) };
        match polled {
            Poll::Ready(Some(data)) => {
                self.given.set(self.given.get() + data.len() as u64);
                return Poll::Ready(Some(Ok(data)));
            }
            Poll::Ready(None) => {}
            Poll::Pending if source.patience.poll(cx).is_ready() => source.fails("its node stands still"),
            Poll::Pending => return Poll::Pending,
        }
        // Danger: a client must not take a part for the whole; so its framing stays open, and its connection ends.
        self.broken.set(source.failed.is_some());
        self.over.set(source.failed.is_none());
        Poll::Ready(source.failed.map(|why| Err(io::Error::other(why))))
    }

    /// Reads on behind what the client has taken; its connection's task has to call this after that.
    pub fn reads_ahead(&self, cx: &mut Context<'_>) {
        let mut source = self.source.borrow_mut();
        // Danger: room spread over many answers ends none of them sooner; so those go first that fit as a whole.
        let fits = |rest: &Incoming| rest.size_hint().exact().is_none_or(|rest| rest <= source.room.available_bytes());
        if !self.halted.get() && !source.rest.as_ref().is_some_and(fits) {
            return;
        }
        // What the parser still holds of one that goes on elsewhere is little, and has to go with it.
        while (source.next.is_empty() || self.halted.get())
            && let Poll::Ready(Some(data)) = source.read(cx)
        {
            source.next = match source.next.is_empty() {
                true => data,
                false => [&source.next[..], &data[..]].concat().into(),
            };
            let Source { kept, next, .. } = &mut *source;
            kept.push(next, None);
        }
    }

    fn ended(&self) -> bool {
        let source = self.source.borrow();
        self.over.get() || source.rest.is_none() && source.failed.is_none() && source.read == self.given.get()
    }

    fn size_hint(&self) -> SizeHint {
        let source = self.source.borrow();
        let rest = source.rest.as_ref().map_or(Some(0), |rest| rest.size_hint().exact());
        let rest = rest.filter(|_| self.told).map(|rest| source.read - self.given.get() + rest);
        rest.map_or_else(SizeHint::default, SizeHint::with_exact)
    }

    /// Reads nothing more from the node, and gives nothing more; whether the rest can be handed over.
    pub fn halt(&self) -> bool {
        let source = self.source.borrow();
        let known = match &source.link {
            Some(link) => link.came().is_some(),
            None => source.failed.is_none(),
        };
        if known {
            source.link.iter().for_each(Link::halt);
        }
        self.halted.set(known);
        known
    }

    /// All that was read for it has come to us.
    pub fn through(&self) -> bool {
        let source = self.source.borrow();
        let came = source.link.as_ref().and_then(Link::came);
        source.rest.is_none() || came.is_some_and(|(body, coding)| body == source.read && !coding.is_complete())
    }

    /// What its node still gives, and how many bytes that may be; the connection there is another's from now on.
    /// None if it broke.
    pub fn rest(&self) -> Option<(Option<Rest>, u64)> {
        let mut source = self.source.borrow_mut();
        let link = source.link.take();
        let rest = link.and_then(|link| Some((link.stream()?, link.came()?.1)));
        (source.failed.is_none() && rest.is_some() == source.rest.take().is_some())
            .then_some((rest, source.left))
    }

    /// What has come and was not given to the connection, piece by piece.
    pub fn kept(&self) -> impl Iterator<Item = Bytes> {
        std::iter::from_fn(|| {
            let mut source = self.source.borrow_mut();
            source
                .kept
                .pop()
                .or_else(|| Some(std::mem::take(&mut source.next)).filter(|next| !next.is_empty()))
        })
    }

    /// What its client has of it is a part.
    pub fn broken(&self) -> bool {
        self.broken.get()
    }

    /// Its end is not with the connection yet.
    pub fn open(&self) -> bool {
        !self.over.get()
    }

    pub fn carried(&self) -> Option<Carried> {
        self.carried.take()
    }
}

/// A long answer in its connection's hands.
pub struct Relay {
    pub way: Rc<Way>,
}

impl Relay {
    pub fn new(
        begun: Bytes,
        rest: Incoming,
        left: u64,
        node: NodeId,
        pool: Rc<Pool>,
        link: Link,
        room: &Rc<BufferBudget>,
    ) -> Self {
        let told = rest.size_hint().exact().is_some();
        let source = Source {
            read: begun.len() as u64,
            kept: BodyBuffer::new(room.clone()),
            room: room.clone(),
            next: begun,
            rest: Some(rest),
            failed: None,
            left,
            patience: Patience::new(PEER_STALL),
            node,
            pool,
            link: Some(link),
        };
        let way = Way {
            told,
            source: RefCell::new(source),
            carried: RefCell::default(),
            given: Cell::default(),
            over: Cell::default(),
            broken: Cell::default(),
            halted: Cell::default(),
        };
        Relay { way: Rc::new(way) }
    }

    /// Its request ends with it.
    pub fn carries(&self, handle: RequestHandle, in_hand: InHand, counts: Rc<Counts>, case: usize) {
        self.way.carried.replace(Some(Carried { counts, case, _handle: handle, _in_hand: in_hand }));
    }
}

impl Drop for Relay {
    /// Passed on whole, broken by its node, or left by its client; who left is not counted.
    fn drop(&mut self) {
        let (way, whole) = (&self.way, self.way.ended());
        way.over.set(whole);
        let mut source = way.source.borrow_mut();
        (source.rest, source.link, source.next) = (None, None, Bytes::new());
        while source.kept.pop().is_some() {}
        if let Some(carried) = way.carried.take().filter(|_| whole || way.broken.get()) {
            carried.ended(whole);
        }
    }
}
