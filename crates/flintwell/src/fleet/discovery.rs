//! Calls discovery for the list of nodes, decodes what it tells, and passes it on. When each call is due and how long it
//! may take is decided by `flintwell-list-watch` and, where the list has to be asked for, by the module.

use crate::clients::body::Outgoing;
use crate::fleet::registry::Registry;
use crate::nodes::link::{Broken, Came, Cause, Link, Most, Progress};
use crate::process::clock::span;
use crate::requests::dispatcher::Dispatcher;
use crate::say;
use bytes::Bytes;
use flintwell_core::interface::{ListKind, Micros};
use flintwell_list_watch::{Call, Watch};
use flintwell_settings::listing::Listing;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout, timeout_at};

const DIAL: Duration = Duration::from_millis(500); // for a connection to come up; far above any way there
const PACE: Duration = Duration::from_millis(100); // between empty answers; well under what ends a watch
const LIST_MOST: u64 = 4 << 20; // bytes; a list of ten thousand nodes

pub struct Discovery {
    /// Where it is, as the configuration has it now, and where we asked last.
    addr: watch::Receiver<SocketAddr>,
    asked_at: SocketAddr,
    registry: Rc<Registry>,
    /// The module asks for the list first; else it is watched from the start.
    wanted: Option<Rc<Notify>>,
    calls: Watch,
    /// Of the list last had; none from where we ask now.
    version: Option<u64>,
    link: Option<Link>,
    /// Calls in a row that failed.
    failed: u64,
}

impl Discovery {
    pub fn new(
        addr: watch::Receiver<SocketAddr>,
        registry: Rc<Registry>,
        wanted: Option<Rc<Notify>>,
        calls: Watch,
    ) -> Self {
        let asked_at = *addr.borrow();
        Discovery { addr, asked_at, registry, wanted, calls, version: None, link: None, failed: 0 }
    }

    /// The list as it was last had.
    pub fn start(&mut self, known: &Listing) {
        self.tell(known, ListKind::Kept);
    }

    /// Calls from when the module first asks for the list, for good: each next call is due when `flintwell-list-watch` says.
    pub async fn watch(&mut self, dispatcher: &Dispatcher) {
        let mut moves = self.addr.clone();
        // Started again after a panic, there is nothing to wait for.
        if let Some(wanted) = self.wanted.take() {
            tokio::select! {
                () = wanted.notified() => {}
                // What it has to tell there counts as told within seconds.
                Ok(()) = moves.changed() => self.calls.moved(dispatcher.clock.now()),
            }
        }
        loop {
            let asked = Instant::now();
            let called = tokio::select! {
                called = self.call(dispatcher) => called,
                // Danger: the old discovery would keep us waiting for what only the new one tells.
                Ok(()) = moves.changed() => {
                    self.calls.moved(dispatcher.clock.now());
                    continue;
                }
            };
            match called {
                Ok(listing) => {
                    self.answered(dispatcher);
                    let kind = if listing.full { ListKind::Whole } else { ListKind::Changes };
                    self.tell(&listing, kind);
                    if listing.is_empty() && asked.elapsed() < PACE {
                        // Danger: a watch that does not wait would be asked without a pause.
                        sleep(PACE).await;
                    }
                }
                Err(broken) => {
                    let at = self.broken(dispatcher, broken, asked.elapsed());
                    // Where it has moved to, nothing has failed yet.
                    if let Ok(Ok(())) = timeout_at(dispatcher.clock.instant(at), moves.changed()).await {
                        self.calls.moved(dispatcher.clock.now());
                    }
                }
            }
        }
    }

    fn answered(&mut self, dispatcher: &Dispatcher) {
        if self.failed > 1 {
            say!("discovery: answers again, after {} calls that failed", self.failed);
        }
        self.failed = 0;
        self.calls.answered(dispatcher.clock.now());
    }

    fn broken(
        &mut self,
        dispatcher: &Dispatcher,
        (broken, silent): (Broken, bool),
        took: Duration,
    ) -> Micros {
        self.link = None;
        self.failed += 1;
        // An outage is few lines, however often discovery is called meanwhile.
        if self.failed.is_power_of_two() {
            say!(
                "discovery: {broken}, after {:.3} s; failed call {} in a row",
                took.as_secs_f64(),
                self.failed
            );
        }
        self.calls.failed(dispatcher.clock.now(), silent)
    }

    fn tell(&mut self, listing: &Listing, kind: ListKind) {
        self.version = Some(listing.version);
        self.registry.take(listing, kind);
    }

    /// The next call's answer; if there is none, why, and whether nothing was said at all.
    async fn call(&mut self, dispatcher: &Dispatcher) -> Result<Listing, (Broken, bool)> {
        let progress = Progress::default();
        let link = self.link().await.map_err(|broken| (broken, false))?;
        self.calls.grants(self.registry.grace());
        let call = self.calls.call(dispatcher.clock.now(), self.version.is_none());
        let answered = timeout(span(call.within), self.exchange(call, link, &progress)).await;
        let body = match answered {
            Ok(answered) => answered.map_err(|broken| (broken, false))?,
            Err(_) => return Err((progress.broken(Cause::TimedOut), true)),
        };
        let garbage = |e: serde_json::Error| (progress.broken(Cause::Garbage(e.to_string())), false);
        let listing: Listing = serde_json::from_slice(&body).map_err(garbage)?;
        if self.version.is_some_and(|version| listing.version < version) {
            // Danger: a copy of discovery that lags lists as ready what was announced as leaving. Whoever begins anew tells
            // the whole list, which is asked for next.
            self.version = None;
            return Err((progress.broken(Cause::Garbage("older than the list told before".into())), false));
        }
        Ok(listing)
    }

    /// A connection to where it is now.
    async fn link(&mut self) -> Result<Link, Broken> {
        let addr = *self.addr.borrow();
        if std::mem::replace(&mut self.asked_at, addr) != addr {
            // Danger: one discovery's versions may say nothing to another; the whole list is asked for.
            (self.link, self.version) = (None, None);
        }
        let open = match self.link.take() {
            Some(link) => link.ready().await,
            None => None,
        };
        match open {
            Some(link) => Ok(link),
            None => {
                timeout(DIAL, Link::dial(addr, None)).await.unwrap_or(Err(Broken::unwritten(Cause::TimedOut)))
            }
        }
    }

    async fn exchange(&mut self, call: Call, mut link: Link, progress: &Progress) -> Result<Bytes, Broken> {
        let since = |version| format!("?since={version}&timeout_ms={}", call.wait / 1_000);
        let path = format!("/registry/instances{}", self.version.map_or_else(String::new, since));
        let mut request = Request::new(Outgoing::Empty);
        let garbage = |words| progress.broken(Cause::Garbage(words));
        *request.uri_mut() = path.parse().map_err(|_| garbage(path))?;
        request.headers_mut().insert(HOST, HeaderValue::from_static("discovery"));
        let reply = link.exchange(request, Most { collected: LIST_MOST, long: LIST_MOST }, progress).await?;
        if reply.status != StatusCode::OK {
            return Err(garbage(format!("status {}", reply.status)));
        }
        let Came::Whole(body) = reply.body else { return Err(garbage("a list without end".into())) };
        self.link = Some(link);
        Ok(body)
    }
}
