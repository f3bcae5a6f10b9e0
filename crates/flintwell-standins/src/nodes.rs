//! Cache nodes and the origin: one HTTP server, whose behaviour depends on the kind of the node.

use crate::backends::{Backends, Disposition, Fault, Node, NodeRequest, NodeSpec, NodeState};
use crate::generated_body::NodeBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Kind and id of the origin.
pub const ORIGIN: &str = "origin";
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(1);
const SILENT_DELAY: Duration = Duration::from_secs(600); // longer than any run

impl Backends {
    /// Serves a node at `addr` until the runtime shuts down, and adds it to the node list.
    pub async fn serve_node(&self, spec: NodeSpec, addr: SocketAddr, seed: u64) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let index = {
            let mut inner = self.lock();
            inner.nodes.push(Node {
                spec,
                addr,
                fault: Fault::None,
                state: NodeState::Ready,
                started: None,
                started_ms: 0,
                values: Default::default(),
                active_requests: 0,
                open_connections: 0,
                generation: watch::channel(0).0,
            });
            inner.nodes.len() - 1
        };
        let (backends, rng) = (self.clone(), Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))));
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                let generation = {
                    let mut inner = backends.lock();
                    let node = &mut inner.nodes[index];
                    if node.fault == Fault::Refuses || node.open_connections >= node.spec.connections {
                        continue;
                    }
                    node.open_connections += 1;
                    node.generation.subscribe()
                };
                tokio::spawn(serve_connection(backends.clone(), index, stream, generation, rng.clone()));
            }
        });
        self.version.send_modify(|version| *version += 1);
        Ok(addr)
    }
}

async fn serve_connection(
    backends: Backends,
    index: usize,
    stream: TcpStream,
    mut generation: watch::Receiver<u64>,
    rng: Arc<Mutex<ChaCha8Rng>>,
) {
    let shared = backends.clone();
    let service = service_fn(move |request| {
        let (backends, rng) = (shared.clone(), rng.clone());
        async move { respond(backends, index, request, rng).await }
    });
    let _ = stream.set_nodelay(true);
    tokio::select! {
        // A broken connection needs no handling here: the proxy detects it.
        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        _ = generation.changed() => {}
    }
    let open = &mut backends.lock().nodes[index].open_connections;
    *open = open.saturating_sub(1);
}

/// Counts an active request at a node; released on drop, also when the request is cancelled.
struct WorkerSlot(Backends, usize);

impl Drop for WorkerSlot {
    fn drop(&mut self) {
        let active_requests = &mut self.0.lock().nodes[self.1].active_requests;
        *active_requests = active_requests.saturating_sub(1);
    }
}

async fn respond(
    backends: Backends,
    index: usize,
    request: Request<Incoming>,
    rng: Arc<Mutex<ChaCha8Rng>>,
) -> Result<Response<NodeBody>, hyper::Error> {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, idempotency_key) = (header("x-request-id"), header("idempotency-key"));
    let (write, key) = (request.method() == Method::PUT, request.uri().path().to_owned());
    let body = request.into_body().collect().await?.to_bytes();
    let error_draw: f64 = rng.lock().map_or(0.5, |mut rng| rng.random());
    let (position, fault, service_time_ms, workers, origin) = {
        let mut inner = backends.lock();
        let node = &mut inner.nodes[index];
        let workers = (node.spec.workers as f64 * node.warmth()).max(1.0);
        let full =
            node.fault == Fault::Full || node.active_requests as f64 >= workers + node.spec.queue as f64;
        node.active_requests += usize::from(!full);
        let service_time_ms = match node.fault {
            Fault::Slow(times) => node.spec.time_ms * times,
            _ => node.spec.time_ms,
        };
        (
            (!full).then_some(node.active_requests),
            node.fault,
            service_time_ms,
            workers,
            node.spec.kind == ORIGIN,
        )
    };
    let record = |disposition: Disposition| {
        let at_ms = backends.now_ms();
        let mut inner = backends.lock();
        let (node, warmth) = (inner.nodes[index].spec.id.clone(), inner.nodes[index].warmth());
        let (id, key, idempotency_key) = (id.clone(), key.clone(), idempotency_key.clone());
        inner.requests.push(NodeRequest {
            at_ms,
            node,
            id,
            key,
            idempotency_key,
            write,
            disposition,
            warmth,
        });
    };
    let Some(position) = position else {
        record(Disposition::TurnedAway);
        return Ok(overloaded());
    };
    let _slot = WorkerSlot(backends.clone(), index);
    if fault == Fault::Silent {
        record(Disposition::Nothing);
        sleep(SILENT_DELAY).await;
    }
    // First in, first out: waits one service time for each full round of workers ahead of it.
    let rounds_ahead = ((position as f64 / workers).ceil() - 1.0).max(0.0);
    sleep(Duration::from_secs_f64(service_time_ms * (1.0 + rounds_ahead) / 1e3)).await;
    if matches!(fault, Fault::Errors(share) if error_draw < share) {
        record(Disposition::Error);
        return Ok(status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()));
    }
    if let Some(generated) = NodeBody::for_path(&key).filter(|_| !write) {
        record(Disposition::Served);
        return Ok(Response::new(generated));
    }
    let value = {
        let mut inner = backends.lock();
        if origin {
            fetch_origin(&mut inner, index, &id, &key, write, body)
        } else {
            read_cache(&mut inner, index, &id, &key)
        }
    };
    record(if value.is_some() { Disposition::Served } else { Disposition::Missed });
    Ok(match value {
        Some(value) => status(StatusCode::OK, name_request(&value, &id)),
        None => status(StatusCode::NOT_FOUND, Bytes::new()),
    })
}

/// The value with the id of the request that it is sent for, so that its client can tell that it received its own
/// response.
fn name_request(value: &[u8], id: &str) -> Bytes {
    [value, response_suffix(id).as_bytes()].concat().into()
}

/// The end of the body of a response to the request with this id.
pub fn response_suffix(id: &str) -> String {
    format!("\nfor {id}")
}

/// Reads from a cache and records a miss.
fn read_cache(inner: &mut crate::backends::Inner, index: usize, id: &str, key: &str) -> Option<Bytes> {
    let cached = inner.nodes[index].values.get(key).cloned();
    if cached.is_none() {
        inner.missed_caches.entry(id.to_owned()).or_default().push(index);
    }
    cached
}

/// Returns the origin's value and fills the caches that missed for this request; a write invalidates all copies first.
fn fetch_origin(
    inner: &mut crate::backends::Inner,
    index: usize,
    id: &str,
    key: &str,
    write: bool,
    body: Bytes,
) -> Option<Bytes> {
    if write {
        inner.nodes.iter_mut().for_each(|node| drop(node.values.remove(key)));
        inner.nodes[index].values.insert(key.to_owned(), body);
    }
    let initial_value = || Bytes::from(format!("first value of {key}\n"));
    let value = inner.nodes[index].values.entry(key.to_owned()).or_insert_with(initial_value).clone();
    for cache in inner.missed_caches.remove(id).unwrap_or_default() {
        inner.nodes[cache].values.insert(key.to_owned(), value.clone());
    }
    Some(value)
}

fn status(code: StatusCode, body: Bytes) -> Response<NodeBody> {
    let mut response = Response::new(NodeBody::new(body));
    *response.status_mut() = code;
    response
}

fn overloaded() -> Response<NodeBody> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    response.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    response
}
