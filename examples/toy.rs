//! A toy deployment on loopback to try flintwell with: discovery, three cache nodes and a slow origin.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

const DISCOVERY: &str = "127.0.0.1:8500";
const CACHES: [&str; 3] = ["127.0.0.1:8101", "127.0.0.1:8102", "127.0.0.1:8103"];
const ORIGIN: &str = "127.0.0.1:8110";
const ORIGIN_TIME: Duration = Duration::from_millis(120); // what makes it slow

#[derive(Default)]
struct World {
    /// By path.
    origin: HashMap<String, Bytes>,
    caches: [HashMap<String, Bytes>; CACHES.len()],
    /// The caches that missed, by the access's id.
    missed: HashMap<String, Vec<usize>>,
}

#[derive(Clone, Copy)]
enum Part {
    Discovery,
    Cache(usize),
    Origin,
}

type Shared = Rc<RefCell<World>>;

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    let world = Shared::default();
    let local = tokio::task::LocalSet::new();
    let caches = CACHES.iter().enumerate().map(|(n, addr)| (*addr, Part::Cache(n)));
    for (addr, part) in caches.chain([(ORIGIN, Part::Origin), (DISCOVERY, Part::Discovery)]) {
        let listener = TcpListener::bind(addr).await?;
        local.spawn_local(serve(listener, part, world.clone()));
    }
    println!("toy: discovery on {DISCOVERY}, {} cache nodes, origin on {ORIGIN}", CACHES.len());
    local.run_until(std::future::pending()).await
}

async fn serve(listener: TcpListener, part: Part, world: Shared) {
    while let Ok((stream, _)) = listener.accept().await {
        let world = world.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| answer(request, part, world.clone()));
            if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
                println!("toy: a connection broke: {error}");
            }
        });
    }
}

async fn answer(
    request: Request<Incoming>,
    part: Part,
    world: Shared,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let path = request.uri().path().to_owned();
    let id = request.headers().get("x-request-id").and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let (status, body) = match part {
        Part::Discovery => (StatusCode::OK, list(request.uri().query().unwrap_or("")).await),
        Part::Cache(n) => {
            let kept = world.borrow().caches[n].get(&path).cloned();
            println!("toy: cache {n}: {path} {}", if kept.is_some() { "kept" } else { "missed" });
            match kept {
                Some(value) => (StatusCode::OK, value),
                None => {
                    world.borrow_mut().missed.entry(id).or_default().push(n);
                    (StatusCode::NOT_FOUND, Bytes::new())
                }
            }
        }
        Part::Origin => {
            println!("toy: origin: {} {path}", request.method());
            let write = request.method() == Method::PUT;
            let sent = request.into_body().collect().await?.to_bytes();
            tokio::time::sleep(ORIGIN_TIME).await;
            let mut world = world.borrow_mut();
            if write {
                world.origin.insert(path.clone(), sent.clone());
                world.caches.iter_mut().for_each(|cache| drop(cache.remove(&path)));
            }
            let value =
                world.origin.get(&path).cloned().unwrap_or_else(|| format!("first value of {path}\n").into());
            for n in world.missed.remove(&id).unwrap_or_default() {
                world.caches[n].insert(path.clone(), value.clone());
            }
            (StatusCode::OK, value)
        }
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    Ok(response)
}

/// The whole list at first; later calls are watches during which nothing changes.
async fn list(query: &str) -> Bytes {
    let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok());
    if value("since=").unwrap_or(0) > 0 {
        tokio::time::sleep(Duration::from_millis(value("timeout_ms=").unwrap_or(0))).await;
        return r#"{"version":1,"full":false,"servers":[]}"#.into();
    }
    let caches = CACHES.iter().enumerate().map(|(n, addr)| (format!("cache-{n}"), *addr, "cache"));
    let nodes = caches.chain([("origin".to_owned(), ORIGIN, "origin")]).map(|(id, addr, kind)| {
        json!({"id": id, "addr": addr, "zone": "here", "kind": kind, "cell": 0, "state": "ready", "weight": 1.0,
            "started_ms": 0})
    });
    json!({"version": 1, "full": true, "servers": nodes.collect::<Vec<_>>()}).to_string().into()
}
