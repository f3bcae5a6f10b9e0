//! Open-loop clients of one proxy: requests arrive as a seeded Poisson process, so that a slow proxy receives no fewer.
//! Refused requests are retried after the advised delay if the load says so.

use crate::nodes::response_suffix;
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

const RESPONSE_SLACK: Duration = Duration::from_millis(500); // responses this late are still recorded
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Share and deadline of a request class in the load.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    pub name: String,
    /// Relative to the shares of the other classes.
    pub share: f64,
    pub write: bool,
    pub limit_s: f64,
}

/// Load on each proxy.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second.
    pub rate: f64,
    /// Number of keys.
    pub keys: u64,
    /// Exponent of the Zipf distribution of keys; 0 is uniform.
    #[serde(rename = "skew")]
    pub zipf_exponent: f64,
    /// Share of reads with a key that was never requested before.
    #[serde(rename = "new_keys")]
    pub new_key_share: f64,
    /// How often a refused request is retried.
    #[serde(rename = "again")]
    pub max_retries: u32,
    #[serde(rename = "cases")]
    pub classes: Vec<ClassLoad>,
}

/// Why a request has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFailure {
    /// The connection to the proxy could not be established.
    NotConnected,
    /// A new connection was reset before the response.
    Reset,
    /// The connection was closed without a complete response, or the client timed out.
    Unanswered,
}

/// A request as its client observed it; times in ms since the start of the backends.
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
    /// None if no complete response arrived in time.
    pub status: Option<u16>,
    /// Served with a response that was made for another request.
    #[serde(default)]
    pub misdelivered: bool,
    /// Set if there is no status.
    #[serde(rename = "missing")]
    pub failure: Option<ResponseFailure>,
    /// From the retry-after header.
    #[serde(rename = "stay_away_ms")]
    pub retry_after_ms: f64,
}

/// Record of all requests of all clients.
#[derive(Clone, Default)]
pub struct RequestLog(Arc<Mutex<Vec<ClientRequest>>>);

impl RequestLog {
    /// A copy of all entries.
    pub fn entries(&self) -> Vec<ClientRequest> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
    fn record(&self, entry: ClientRequest) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }
}

/// A complete response as its client received it.
struct ReceivedResponse {
    status: u16,
    retry_after_ms: f64,
    /// It was made for another request.
    is_misdelivered: bool,
}

type RequestSender = SendRequest<Full<Bytes>>;

/// Load generator for one proxy.
#[derive(Clone)]
pub struct Clients {
    proxy: String,
    addr: SocketAddr,
    time_origin: Instant,
    load: Arc<Load>,
    request_log: RequestLog,
    idle: Arc<Mutex<Vec<RequestSender>>>,
}

impl Clients {
    /// Clients of the proxy at `addr`; recorded times are relative to `time_origin`.
    pub fn new(
        proxy: &str,
        addr: SocketAddr,
        time_origin: Instant,
        load: Arc<Load>,
        request_log: RequestLog,
    ) -> Self {
        Clients { proxy: proxy.into(), addr, time_origin, load, request_log, idle: Arc::default() }
    }

    /// Sends requests until `until`, then waits for those in flight. The seed determines the requests.
    pub async fn run(self, seed: u64, until: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let load = self.load.clone();
        let (Ok(intervals), Ok(keys)) =
            (Exp::new(load.rate), Zipf::new(load.keys.max(1) as f64, load.zipf_exponent))
        else {
            return;
        };
        let total_share: f64 = load.classes.iter().map(|class| class.share).sum();
        let (mut send_at, mut request_count, mut in_flight) = (Instant::now(), 0u64, Vec::new());
        loop {
            send_at += Duration::from_secs_f64(intervals.sample(&mut rng));
            let mut pick = rng.random::<f64>() * total_share;
            let chosen = load.classes.iter().find(|class| {
                pick -= class.share;
                pick < 0.0
            });
            let Some(class) = chosen.or(load.classes.last()).filter(|_| send_at < until) else { break };
            let known = keys.sample(&mut rng) as u64;
            let new = !class.write && rng.random::<f64>() < load.new_key_share;
            request_count += 1;
            let id = format!("{}-{seed:x}-{request_count}", self.proxy);
            let key = if new { format!("new-{id}") } else { format!("k{known}") };
            sleep_until(send_at.into()).await;
            in_flight.push(tokio::spawn(self.clone().send_with_retries(id, key, class.clone())));
            in_flight.retain(|request| !request.is_finished());
        }
        for request in in_flight {
            let _ = request.await;
        }
    }

    /// Sends a request and its retries while it is refused.
    async fn send_with_retries(self, id: String, key: String, class: ClassLoad) {
        for retry in 0..=self.load.max_retries {
            let id = if retry == 0 { id.clone() } else { format!("{id}-again{retry}") };
            let entry = self.send(&id, &key, &class).await;
            let retry_delay = matches!(entry.status, Some(429 | 503)).then_some(entry.retry_after_ms);
            self.request_log.record(entry);
            let Some(retry_after) = retry_delay else { return };
            sleep(Duration::from_secs_f64(retry_after.max(10.0) / 1e3)).await;
        }
    }

    /// Sends a request and records what its client observed.
    async fn send(&self, id: &str, key: &str, class: &ClassLoad) -> ClientRequest {
        let began = Instant::now();
        let limit = Duration::from_secs_f64(class.limit_s);
        let mut entry = ClientRequest {
            id: id.into(),
            proxy: self.proxy.clone(),
            class: class.name.clone(),
            write: class.write,
            at_ms: began.duration_since(self.time_origin).as_secs_f64() * 1e3,
            limit_ms: class.limit_s * 1e3,
            took_ms: 0.0,
            status: None,
            misdelivered: false,
            failure: None,
            retry_after_ms: 0.0,
        };
        let answered = timeout(limit + RESPONSE_SLACK, self.exchange(id, key, class)).await;
        entry.took_ms = began.elapsed().as_secs_f64() * 1e3;
        match answered {
            Ok(Ok(response)) => {
                entry.status = Some(response.status);
                entry.retry_after_ms = response.retry_after_ms;
                entry.misdelivered = response.is_misdelivered;
            }
            Ok(Err(failure)) => entry.failure = Some(failure),
            Err(_) => entry.failure = Some(ResponseFailure::Unanswered),
        }
        entry
    }

    /// Exchanges a request on an idle connection, and again on a new one if the proxy had closed the idle connection.
    async fn exchange(
        &self,
        id: &str,
        key: &str,
        class: &ClassLoad,
    ) -> Result<ReceivedResponse, ResponseFailure> {
        let mut idle = loop {
            let sender = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            match sender {
                Some(sender) if sender.is_closed() => {}
                other => break other,
            }
        };
        loop {
            let (mut sender, is_new) = match idle.take() {
                Some(sender) => (sender, false),
                None => (self.connect().await.ok_or(ResponseFailure::NotConnected)?, true),
            };
            let body = if class.write { Bytes::from_static(b"value") } else { Bytes::new() };
            let request = Request::builder()
                .method(if class.write { Method::PUT } else { Method::GET })
                .uri(format!("/api/{key}"))
                .header("host", "origin.svc")
                .header("x-request-id", id)
                .header("x-class", &class.name)
                .header("x-deadline", format!("{:.3}", class.limit_s))
                .header("idempotency-key", format!("m-{id}"))
                .body(Full::new(body))
                .map_err(|_| ResponseFailure::Unanswered)?;
            match sender.send_request(request).await {
                Ok(response) => {
                    let (status, headers) = (response.status().as_u16(), response.headers().clone());
                    let body =
                        response.into_body().collect().await.map_err(|_| ResponseFailure::Unanswered)?;
                    let names_request = body.to_bytes().ends_with(response_suffix(id).as_bytes());
                    let header = headers.get("retry-after").and_then(|value| value.to_str().ok());
                    let wait = header.and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0) * 1e3;
                    let closes = headers.get("connection").is_some_and(|value| value == "close");
                    if !closes && sender.ready().await.is_ok() {
                        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
                    }
                    return Ok(ReceivedResponse {
                        status,
                        retry_after_ms: wait,
                        is_misdelivered: status == 200 && !names_request,
                    });
                }
                Err(_) if !is_new => {}
                // An orderly close; a reset shows that the proxy left a part of the request unread.
                Err(error) if error.is_incomplete_message() => return Err(ResponseFailure::Unanswered),
                Err(_) => return Err(ResponseFailure::Reset),
            }
        }
    }

    async fn connect(&self) -> Option<RequestSender> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }
}
