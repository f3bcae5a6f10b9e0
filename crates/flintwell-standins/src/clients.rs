//! Clients of one proxy: requests in an open loop, at a seeded Poisson rate, so that a slow proxy gets no fewer. Some
//! come again when they are refused, after the advice.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Zipf};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

const SLACK: Duration = Duration::from_millis(500); // after a request's limit in which an answer still counts as one
const DIAL: Duration = Duration::from_millis(500); // for a connection to the proxy

/// A class as clients ask for it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    pub name: String,
    /// Of all requests, beside the other cases' shares.
    pub share: f64,
    pub write: bool,
    pub limit_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second at each proxy.
    pub rate: f64,
    pub keys: u64,
    /// How uneven keys are: the exponent of their Zipf law; 0 for even.
    #[serde(rename = "skew")]
    pub zipf_exponent: f64,
    /// The share of reads that ask for a key nobody asked for before.
    #[serde(rename = "new_keys")]
    pub new_key_share: f64,
    /// How often one that is refused comes again.
    #[serde(rename = "again")]
    pub max_retries: u32,
    #[serde(rename = "cases")]
    pub classes: Vec<ClassLoad>,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFailure {
    /// No connection to the proxy came up.
    NotConnected,
    /// A new connection was reset under the request.
    Reset,
    /// The connection ended with no whole answer, or none came in time.
    Unanswered,
}

/// One request as its client saw it; times in ms since the world began.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClientRequest {
    pub id: String,
    pub proxy: String,
    #[serde(rename = "case")]
    pub class: String,
    pub write: bool,
    pub at_ms: f64,
    pub limit_ms: f64,
    pub took_ms: f64,
    /// None: no whole answer came in time.
    pub status: Option<u16>,
    /// Why not.
    #[serde(rename = "missing")]
    pub failure: Option<ResponseFailure>,
    /// What the client was advised to wait.
    #[serde(rename = "stay_away_ms")]
    pub retry_after_ms: f64,
}

/// What all clients saw.
#[derive(Clone, Default)]
pub struct RequestLog(Arc<Mutex<Vec<ClientRequest>>>);

impl RequestLog {
    pub fn entries(&self) -> Vec<ClientRequest> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
    fn record(&self, seen: ClientRequest) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(seen);
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// The clients of one proxy.
#[derive(Clone)]
pub struct Clients {
    proxy: String,
    addr: SocketAddr,
    began: Instant,
    load: Arc<Load>,
    book: RequestLog,
    idle: Arc<Mutex<Vec<Sender>>>,
}

impl Clients {
    pub fn new(proxy: &str, addr: SocketAddr, began: Instant, load: Arc<Load>, book: RequestLog) -> Self {
        Clients { proxy: proxy.into(), addr, began, load, book, idle: Arc::default() }
    }

    /// Comes until `until`, then waits for what is out. The same seed, the same requests.
    pub async fn run(self, seed: u64, until: Instant) {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let load = self.load.clone();
        let (Ok(gaps), Ok(keys)) =
            (Exp::new(load.rate), Zipf::new(load.keys.max(1) as f64, load.zipf_exponent))
        else {
            return;
        };
        let shares: f64 = load.classes.iter().map(|case| case.share).sum();
        let (mut at, mut number, mut out) = (Instant::now(), 0u64, Vec::new());
        loop {
            at += Duration::from_secs_f64(gaps.sample(&mut chance));
            let mut lot = chance.random::<f64>() * shares;
            let picked = load.classes.iter().find(|case| {
                lot -= case.share;
                lot < 0.0
            });
            let Some(case) = picked.or(load.classes.last()).filter(|_| at < until) else { break };
            let known = keys.sample(&mut chance) as u64;
            let new = !case.write && chance.random::<f64>() < load.new_key_share;
            number += 1;
            let id = format!("{}-{seed:x}-{number}", self.proxy);
            let key = if new { format!("new-{id}") } else { format!("k{known}") };
            sleep_until(at.into()).await;
            out.push(tokio::spawn(self.clone().comes(id, key, case.clone())));
            out.retain(|request| !request.is_finished());
        }
        for request in out {
            let _ = request.await;
        }
    }

    /// One request, and its further ones if it is refused.
    async fn comes(self, id: String, key: String, case: ClassLoad) {
        for again in 0..=self.load.max_retries {
            let id = if again == 0 { id.clone() } else { format!("{id}-again{again}") };
            let seen = self.asks(&id, &key, &case).await;
            let back = matches!(seen.status, Some(429 | 503)).then_some(seen.retry_after_ms);
            self.book.record(seen);
            let Some(stay_away) = back else { return };
            sleep(Duration::from_secs_f64(stay_away.max(10.0) / 1e3)).await;
        }
    }

    async fn asks(&self, id: &str, key: &str, case: &ClassLoad) -> ClientRequest {
        let began = Instant::now();
        let limit = Duration::from_secs_f64(case.limit_s);
        let mut seen = ClientRequest {
            id: id.into(),
            proxy: self.proxy.clone(),
            class: case.name.clone(),
            write: case.write,
            at_ms: began.duration_since(self.began).as_secs_f64() * 1e3,
            limit_ms: case.limit_s * 1e3,
            took_ms: 0.0,
            status: None,
            failure: None,
            retry_after_ms: 0.0,
        };
        let answered = timeout(limit + SLACK, self.exchange(id, key, case)).await;
        seen.took_ms = began.elapsed().as_secs_f64() * 1e3;
        match answered {
            Ok(Ok((status, stay_away_ms))) => {
                (seen.status, seen.retry_after_ms) = (Some(status), stay_away_ms);
            }
            Ok(Err(missing)) => seen.failure = Some(missing),
            Err(_) => seen.failure = Some(ResponseFailure::Unanswered),
        }
        seen
    }

    /// On an idle connection, and once more on a new one if the proxy closed that between two requests.
    async fn exchange(&self, id: &str, key: &str, case: &ClassLoad) -> Result<(u16, f64), ResponseFailure> {
        let mut idle = loop {
            let kept = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            match kept {
                Some(sender) if sender.is_closed() => {}
                other => break other,
            }
        };
        loop {
            let (mut sender, fresh) = match idle.take() {
                Some(sender) => (sender, false),
                None => (self.dial().await.ok_or(ResponseFailure::NotConnected)?, true),
            };
            let body = if case.write { Bytes::from_static(b"value") } else { Bytes::new() };
            let request = Request::builder()
                .method(if case.write { Method::PUT } else { Method::GET })
                .uri(format!("/api/{key}"))
                .header("host", "origin.svc")
                .header("x-request-id", id)
                .header("x-class", &case.name)
                .header("x-deadline", format!("{:.3}", case.limit_s))
                .header("idempotency-key", format!("m-{id}"))
                .body(Full::new(body))
                .map_err(|_| ResponseFailure::Unanswered)?;
            match sender.send_request(request).await {
                Ok(response) => {
                    let (status, headers) = (response.status().as_u16(), response.headers().clone());
                    response.into_body().collect().await.map_err(|_| ResponseFailure::Unanswered)?;
                    let advice = headers.get("retry-after").and_then(|value| value.to_str().ok());
                    let wait = advice.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0) * 1e3;
                    let closes = headers.get("connection").is_some_and(|value| value == "close");
                    if !closes && sender.ready().await.is_ok() {
                        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
                    }
                    return Ok((status, wait));
                }
                Err(_) if !fresh => {}
                // Its end was there to be read; a reset shows that something of ours was not read.
                Err(error) if error.is_incomplete_message() => return Err(ResponseFailure::Unanswered),
                Err(_) => return Err(ResponseFailure::Reset),
            }
        }
    }

    async fn dial(&self) -> Option<Sender> {
        let stream = timeout(DIAL, TcpStream::connect(self.addr)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }
}
