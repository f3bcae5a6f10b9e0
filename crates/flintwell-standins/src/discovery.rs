//! Discovery: the whole list, and watches. Each proxy may see the nodes under addresses of its own.

use crate::backends::{Backends, DiscoveryCall, NodeState};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

const WAIT_MOST: u64 = 60_000; // ms; the longest watch

/// Where a proxy reaches each node, by its id; its own address where none is given.
pub type NodeAddresses = HashMap<String, SocketAddr>;

impl Backends {
    /// Serves discovery at `addr` until the runtime ends, to the proxy of this name.
    pub async fn serve_discovery(
        &self,
        addr: SocketAddr,
        view: NodeAddresses,
        proxy: &str,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (world, view) = (self.clone(), Arc::new((view, proxy.to_owned())));
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(1)).await;
                    continue;
                };
                let (world, view) = (world.clone(), view.clone());
                let answered = Arc::new(AtomicBool::new(false));
                let service = service_fn(move |request: Request<Incoming>| {
                    let (world, view) = (world.clone(), view.clone());
                    let fresh = !answered.swap(true, Ordering::Relaxed);
                    async move {
                        let query = request.uri().query().unwrap_or("");
                        let Some(text) = world.answer_call(query, &view.0, &view.1, fresh).await else {
                            let mut refused = Response::new(Full::default());
                            *refused.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                            refused.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                            return Ok(refused);
                        };
                        Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::from(text))))
                    }
                });
                tokio::spawn(async move {
                    // A caller that leaves needs no answer.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(addr)
    }

    /// The whole list, always: a change is told by it as well, and a gone node by not being there.
    /// None where the call is refused. `fresh`: the first on its connection.
    async fn answer_call(
        &self,
        query: &str,
        view: &NodeAddresses,
        proxy: &str,
        fresh: bool,
    ) -> Option<String> {
        let value =
            |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
        let since = value("since=");
        let wait = Duration::from_millis(value("timeout_ms=").unwrap_or(0).min(WAIT_MOST));
        let (number, each) = {
            let at_ms = self.now_ms();
            let wait_ms = if since.is_some() { wait.as_secs_f64() * 1e3 } else { 0.0 };
            let mut inner = self.lock();
            inner.calls.push(DiscoveryCall { proxy: proxy.into(), at_ms, wait_ms, answered: None });
            let each = if inner.queue_most.is_some() { Duration::ZERO } else { inner.call_time };
            (inner.calls.len() - 1, each)
        };
        // It is noted before it waits: a watch that is silenced in the queue is told nothing by what is written to it then.
        let Some(turn) = self.reserve_call_slot(fresh) else {
            // Over, and nothing was told.
            let now = self.now_ms();
            self.lock().calls[number].answered = Some((now, 0));
            return None;
        };
        sleep(turn).await;
        if !each.is_zero() {
            let _turn = self.turn.lock().await;
            sleep(each).await;
        }
        let mut text = None;
        if let Some(since) = since {
            let mut versions = self.version.subscribe();
            if timeout(wait, versions.wait_for(|version| *version > since)).await.is_err() {
                text = Some(json!({"version": since, "full": false, "servers": []}));
            }
        }
        let text = text.unwrap_or_else(|| self.list(view));
        let told = text["version"].as_u64().unwrap_or(0);
        let now = self.now_ms();
        self.lock().calls[number].answered = Some((now, told));
        Some(text.to_string())
    }

    /// The list as a proxy of this view sees it now.
    pub fn list(&self, view: &NodeAddresses) -> serde_json::Value {
        let version = *self.version.borrow();
        let inner = self.lock();
        let listed = inner.nodes.iter().filter(|node| node.state != NodeState::Gone);
        let servers: Vec<_> = listed
            .map(|node| {
                let addr = view.get(&node.made.id).copied().unwrap_or(node.addr);
                json!({"id": node.made.id, "addr": addr, "zone": node.made.zone, "kind": node.made.kind,
                    "cell": node.made.cell, "state": node.state.as_str(), "weight": 1.0,
                    "started_ms": node.started_ms})
            })
            .collect();
        json!({"version": version, "full": true, "servers": servers})
    }
}
