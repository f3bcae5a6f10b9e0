//! Discovery stand-in: serves the complete node list and long-poll watches. Each proxy may get its own addresses of nodes.

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

const MAX_WAIT_MS: u64 = 60_000; // longest watch

/// The address at which a proxy reaches each node, by node id; the node's own address if absent.
pub type NodeAddresses = HashMap<String, SocketAddr>;

impl Backends {
    /// Serves discovery to the proxy of this name at `addr` until the runtime shuts down.
    pub async fn serve_discovery(
        &self,
        addr: SocketAddr,
        addresses: NodeAddresses,
        proxy: &str,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (backends, addresses) = (self.clone(), Arc::new((addresses, proxy.to_owned())));
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(1)).await;
                    continue;
                };
                let (backends, addresses) = (backends.clone(), addresses.clone());
                let has_called = Arc::new(AtomicBool::new(false));
                let service = service_fn(move |request: Request<Incoming>| {
                    let (backends, addresses) = (backends.clone(), addresses.clone());
                    let first_on_connection = !has_called.swap(true, Ordering::Relaxed);
                    async move {
                        let query = request.uri().query().unwrap_or("");
                        let Some(list) = backends
                            .answer_call(query, &addresses.0, &addresses.1, first_on_connection)
                            .await
                        else {
                            let mut refused = Response::new(Full::default());
                            *refused.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                            refused.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                            return Ok(refused);
                        };
                        Ok::<_, hyper::Error>(Response::new(Full::new(Bytes::from(list))))
                    }
                });
                tokio::spawn(async move {
                    // A caller that disconnects needs no response.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(addr)
    }

    /// Responds to a call. Any change is sent as the complete list, in which removed nodes are absent.
    /// None if the call is refused.
    async fn answer_call(
        &self,
        query: &str,
        addresses: &NodeAddresses,
        proxy: &str,
        first_on_connection: bool,
    ) -> Option<String> {
        let value =
            |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
        let since = value("since=");
        let wait = Duration::from_millis(value("timeout_ms=").unwrap_or(0).min(MAX_WAIT_MS));
        let (call_index, call_time) = {
            let at_ms = self.now_ms();
            let wait_ms = if since.is_some() { wait.as_secs_f64() * 1e3 } else { 0.0 };
            let mut inner = self.lock();
            inner.calls.push(DiscoveryCall { proxy: proxy.into(), at_ms, wait_ms, answered: None });
            let call_time =
                if inner.max_call_queue_wait.is_some() { Duration::ZERO } else { inner.call_time };
            (inner.calls.len() - 1, call_time)
        };
        // Recorded before it waits: a watch that is silenced while queued does not receive what is written to it later.
        let Some(queue_wait) = self.reserve_call_slot(first_on_connection) else {
            // Ended without a list, recorded as version 0.
            let now = self.now_ms();
            self.lock().calls[call_index].answered = Some((now, 0));
            return None;
        };
        sleep(queue_wait).await;
        if !call_time.is_zero() {
            let _guard = self.call_mutex.lock().await;
            sleep(call_time).await;
        }
        let mut list = None;
        if let Some(since) = since {
            let mut versions = self.version.subscribe();
            if timeout(wait, versions.wait_for(|version| *version > since)).await.is_err() {
                list = Some(json!({"version": since, "full": false, "servers": []}));
            }
        }
        let list = list.unwrap_or_else(|| self.list(addresses));
        let version = list["version"].as_u64().unwrap_or(0);
        let now = self.now_ms();
        self.lock().calls[call_index].answered = Some((now, version));
        Some(list.to_string())
    }

    /// The current list with these addresses.
    pub fn list(&self, addresses: &NodeAddresses) -> serde_json::Value {
        let version = *self.version.borrow();
        let inner = self.lock();
        let listed = inner.nodes.iter().filter(|node| node.state != NodeState::Gone);
        let servers: Vec<_> = listed
            .map(|node| {
                let addr = addresses.get(&node.spec.id).copied().unwrap_or(node.addr);
                json!({"id": node.spec.id, "addr": addr, "zone": node.spec.zone, "kind": node.spec.kind,
                    "cell": node.spec.cell, "state": node.state.as_str(), "weight": 1.0,
                    "started_ms": node.started_ms})
            })
            .collect();
        json!({"version": version, "full": true, "servers": servers})
    }
}
