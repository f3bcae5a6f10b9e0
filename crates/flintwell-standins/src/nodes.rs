//! Cache nodes and the origin: one server, told apart by the kind of the node.

use crate::backends::{Backends, Disposition, Fault, Node, NodeRequest, NodeSpec, NodeState};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
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

pub const ORIGIN: &str = "origin"; // the kind that fetches
const QUEUE_STEP: Duration = Duration::from_millis(1); // between looks of one that waits for a worker
const SILENCE: Duration = Duration::from_secs(600); // longer than any run

impl Backends {
    /// Serves a node at `addr` until the runtime ends, and lists it.
    pub async fn serve_node(&self, made: NodeSpec, addr: SocketAddr, seed: u64) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let place = {
            let mut inner = self.lock();
            inner.nodes.push(Node {
                made,
                addr,
                fault: Fault::None,
                state: NodeState::Ready,
                started: None,
                started_ms: 0,
                values: Default::default(),
                busy: 0,
                open: 0,
                life: watch::channel(0).0,
            });
            inner.nodes.len() - 1
        };
        let (world, chance) = (self.clone(), Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed))));
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(QUEUE_STEP).await;
                    continue;
                };
                let life = {
                    let mut inner = world.lock();
                    let node = &mut inner.nodes[place];
                    if node.fault == Fault::Refuses || node.open >= node.made.connections {
                        continue;
                    }
                    node.open += 1;
                    node.life.subscribe()
                };
                tokio::spawn(connection(world.clone(), place, stream, life, chance.clone()));
            }
        });
        self.version.send_modify(|version| *version += 1);
        Ok(addr)
    }
}

async fn connection(
    world: Backends,
    place: usize,
    stream: TcpStream,
    mut life: watch::Receiver<u64>,
    chance: Arc<Mutex<ChaCha8Rng>>,
) {
    let served = world.clone();
    let service = service_fn(move |request| {
        let (world, chance) = (served.clone(), chance.clone());
        async move { answer(world, place, request, chance).await }
    });
    let _ = stream.set_nodelay(true);
    tokio::select! {
        // A connection that breaks is the proxy's to judge.
        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        _ = life.changed() => {}
    }
    let open = &mut world.lock().nodes[place].open;
    *open = open.saturating_sub(1);
}

/// A worker's place at a node, given back however the request ends.
struct Busy(Backends, usize);

impl Drop for Busy {
    fn drop(&mut self) {
        let busy = &mut self.0.lock().nodes[self.1].busy;
        *busy = busy.saturating_sub(1);
    }
}

async fn answer(
    world: Backends,
    place: usize,
    request: Request<Incoming>,
    chance: Arc<Mutex<ChaCha8Rng>>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, mark) = (header("x-request-id"), header("idempotency-key"));
    let (write, key) = (request.method() == Method::PUT, request.uri().path().to_owned());
    let sent = request.into_body().collect().await?.to_bytes();
    let lot: f64 = chance.lock().map_or(0.5, |mut chance| chance.random());
    let (turn, fault, time, workers, origin) = {
        let mut inner = world.lock();
        let node = &mut inner.nodes[place];
        let workers = (node.made.workers as f64 * node.warmth()).max(1.0);
        let full = node.fault == Fault::Full || node.busy as f64 >= workers + node.made.queue as f64;
        node.busy += usize::from(!full);
        let time = match node.fault {
            Fault::Slow(times) => node.made.time_ms * times,
            _ => node.made.time_ms,
        };
        ((!full).then_some(node.busy), node.fault, time, workers, node.made.kind == ORIGIN)
    };
    let note = |did: Disposition| {
        let at_ms = world.now_ms();
        let mut inner = world.lock();
        let (node, warmth) = (inner.nodes[place].made.id.clone(), inner.nodes[place].warmth());
        let (id, key, mark) = (id.clone(), key.clone(), mark.clone());
        inner.took.push(NodeRequest {
            at_ms,
            node,
            id,
            key,
            idempotency_key: mark,
            write,
            disposition: did,
            warmth,
        });
    };
    let Some(turn) = turn else {
        note(Disposition::TurnedAway);
        return Ok(turned_away());
    };
    let _busy = Busy(world.clone(), place);
    if fault == Fault::Silent {
        note(Disposition::Nothing);
        sleep(SILENCE).await;
    }
    // Whoever came before it goes first: their number over the workers, in times of one request.
    let waits = ((turn as f64 / workers).ceil() - 1.0).max(0.0);
    sleep(Duration::from_secs_f64(time * (1.0 + waits) / 1e3)).await;
    if matches!(fault, Fault::Errors(share) if lot < share) {
        note(Disposition::Error);
        return Ok(status(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()));
    }
    let value = {
        let mut inner = world.lock();
        if origin {
            fetch(&mut inner, place, &id, &key, write, sent)
        } else {
            read(&mut inner, place, &id, &key)
        }
    };
    note(if value.is_some() { Disposition::Served } else { Disposition::Missed });
    let (code, body) = value.map_or((StatusCode::NOT_FOUND, Bytes::new()), |value| (StatusCode::OK, value));
    Ok(status(code, body))
}

fn read(inner: &mut crate::backends::Inner, place: usize, id: &str, key: &str) -> Option<Bytes> {
    let kept = inner.nodes[place].values.get(key).cloned();
    if kept.is_none() {
        inner.missed.entry(id.to_owned()).or_default().push(place);
    }
    kept
}

/// The origin's value; what caches missed for this request is stored there, and a write drops all copies.
fn fetch(
    inner: &mut crate::backends::Inner,
    place: usize,
    id: &str,
    key: &str,
    write: bool,
    sent: Bytes,
) -> Option<Bytes> {
    if write {
        inner.nodes.iter_mut().for_each(|node| drop(node.values.remove(key)));
        inner.nodes[place].values.insert(key.to_owned(), sent);
    }
    let first = || Bytes::from(format!("first value of {key}\n"));
    let value = inner.nodes[place].values.entry(key.to_owned()).or_insert_with(first).clone();
    for cache in inner.missed.remove(id).unwrap_or_default() {
        inner.nodes[cache].values.insert(key.to_owned(), value.clone());
    }
    Some(value)
}

fn status(code: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = code;
    response
}

fn turned_away() -> Response<Full<Bytes>> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    response.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    response
}
