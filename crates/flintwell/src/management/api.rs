//! Management API for the operators, one request per connection.

use crate::fleet::lease::ListLease;
use crate::fleet::list_status::ListStatus;
use crate::fleet::overrides::OverrideError;
use crate::fleet::peer_messaging::PeerMessaging;
use crate::fleet::registry::Registry;
use crate::log_line;
use crate::management::metrics::Metrics;
use crate::management::rollout::Rollout;
use crate::memory::monitor::MemoryMonitor;
use crate::process::shutdown::Shutdown;
use crate::requests::dispatcher::Dispatcher;
use bytes::Bytes;
use flintwell_rollout::wire::MAX_MESSAGE_BYTES;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde::Deserialize;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tower::service_fn;

const MAX_CONNECTIONS: usize = 8; // leaves room for complete requests beside a few connections that never finish one
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5); // callers wait for a second
const MAX_BODY_BYTES: usize = 4_096; // a node id and the JSON around it
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50); // keeps a failing accept from spinning

/// State that the API reads and changes.
pub struct ApiState {
    pub metrics: Rc<Metrics>,
    pub dispatcher: Rc<Dispatcher>,
    pub registry: Rc<Registry>,
    pub list_status: Rc<ListStatus>,
    pub lease: Rc<ListLease>,
    pub shutdown: Shutdown,
    /// Present if the configuration has a `rollout` section.
    pub rollout: Option<Rc<Rollout>>,
    /// Messages between proxies; present if the configuration has a `words` section.
    pub peer_messaging: Option<Rc<PeerMessaging>>,
    pub memory: Rc<MemoryMonitor>,
}

#[derive(Deserialize)]
struct NodeRequest {
    who: String,
}

/// Status and JSON body of a response.
type Reply = (StatusCode, String);

const FLEET_PATH: &str = "/api/fleet"; // state of the other proxies
const VIOLATIONS_PATH: &str = "/api/violations"; // counters of conditions that should not occur
const CONNECTIONS_PATH: &str = "/api/connections"; // counters of connections and of attempts
const MEMORY_PATH: &str = "/api/memory"; // memory of the process, its limit, and what uses it
const LIST_PATH: &str = "/api/list"; // version and age of the node list, and the basis of its lease
const ROLLOUT_PREFIX: &str = "/api/rollout/"; // prefix of the calls that change settings

/// Accepts and serves connections until the process ends. At the connection limit the oldest connection is closed, so
/// that callers that connect without completing a request cannot lock out the others.
pub async fn serve(listener: &TcpListener, state: &Rc<ApiState>) {
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                open.retain(|call| !call.is_finished());
                if open.len() >= MAX_CONNECTIONS {
                    open.pop_front().inspect(JoinHandle::abort);
                }
                let state = state.clone();
                open.push_back(spawn_local(async move {
                    let _ = timeout(REQUEST_TIMEOUT, serve_connection(stream, state)).await;
                }));
            }
            Err(error) => {
                log_line!("management API: accept failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Rc<ApiState>) {
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(to_response(handle(request, &state).await)) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(REQUEST_TIMEOUT).keep_alive(false);
    // An error here means that the caller has gone.
    let _ = http.serve_connection(TokioIo::new(stream), TowerToHyperService::new(service)).await;
}

/// Serves the calls that change settings; they exist only if the configuration has a `rollout` section.
async fn handle_rollout(request: Request<Incoming>, rollout: &Rollout) -> Result<Reply, StatusCode> {
    let (head, body) = request.into_parts();
    let endpoint = head.uri.path().strip_prefix(ROLLOUT_PREFIX).unwrap_or_default();
    let reply = match head.method {
        Method::GET => rollout.get(endpoint),
        Method::POST => {
            let text = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
            rollout.post(endpoint, &text.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?.to_bytes())
        }
        _ => return Err(StatusCode::METHOD_NOT_ALLOWED),
    };
    Ok(reply.map_or_else(
        |(status, why)| (status, serde_json::json!({ "error": why }).to_string()),
        |text| (StatusCode::OK, text),
    ))
}

async fn handle(request: Request<Incoming>, state: &ApiState) -> Result<Reply, StatusCode> {
    if let Some(rollout) =
        state.rollout.as_deref().filter(|_| request.uri().path().starts_with(ROLLOUT_PREFIX))
    {
        return handle_rollout(request, rollout).await;
    }
    if let Some(peer_messaging) =
        state.peer_messaging.as_deref().filter(|_| request.uri().path() == FLEET_PATH)
    {
        let text =
            serde_json::to_string(&peer_messaging.status()).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
        return Ok((StatusCode::OK, text));
    }
    let expected = match request.uri().path() {
        "/api/ready" | "/api/telemetry" | VIOLATIONS_PATH | CONNECTIONS_PATH | LIST_PATH | MEMORY_PATH => {
            Method::GET
        }
        "/api/exclude" | "/api/include" => Method::POST,
        _ => return Err(StatusCode::NOT_FOUND),
    };
    if request.method() != expected {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let (head, body) = request.into_parts();
    match head.uri.path() {
        "/api/ready" => match state.lease.is_ready() && !state.shutdown.has_begun() {
            true => Ok((StatusCode::OK, r#"{"ready":true}"#.into())),
            false => Ok((StatusCode::SERVICE_UNAVAILABLE, r#"{"ready":false}"#.into())),
        },
        "/api/telemetry" => {
            let figures = state
                .metrics
                .telemetry(state.registry.cache_count(), state.dispatcher.count_avoided_caches());
            let text = serde_json::to_string(&figures).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
            Ok((StatusCode::OK, text))
        }
        VIOLATIONS_PATH => {
            let text = serde_json::to_string(&state.metrics.violations_report());
            Ok((StatusCode::OK, text.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?))
        }
        CONNECTIONS_PATH => {
            let text = serde_json::to_string(&state.metrics.connections_report());
            Ok((StatusCode::OK, text.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?))
        }
        MEMORY_PATH => {
            let text = serde_json::to_string(&state.memory.report());
            Ok((StatusCode::OK, text.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?))
        }
        LIST_PATH => {
            let text = serde_json::to_string(&state.list_status.report());
            Ok((StatusCode::OK, text.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?))
        }
        path => {
            let text =
                Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| StatusCode::BAD_REQUEST)?;
            let decoded = serde_json::from_slice::<NodeRequest>(&text.to_bytes());
            let who = decoded.ok().map(|request| request.who).filter(|who| !who.is_empty());
            let who = who.ok_or(StatusCode::BAD_REQUEST)?;
            let exclude = path == "/api/exclude";
            let result = if exclude { state.registry.exclude(&who) } else { state.registry.include(&who) };
            match result {
                Ok(()) => Ok((StatusCode::OK, format!(r#"{{"out":{exclude}}}"#))),
                Err(OverrideError::UnknownNode) => Err(StatusCode::NOT_FOUND),
                Err(OverrideError::NotPersisted) => Err(StatusCode::INSUFFICIENT_STORAGE),
            }
        }
    }
}

fn to_response(reply: Result<Reply, StatusCode>) -> Response<Full<Bytes>> {
    let (status, text) = reply.unwrap_or_else(|status| {
        let why = match status {
            StatusCode::NOT_FOUND => "unknown path, or no cache node with this id",
            StatusCode::METHOD_NOT_ALLOWED => "method not allowed for this path",
            StatusCode::BAD_REQUEST => r#"expected a body like {\"who\":\"ID\"}"#,
            StatusCode::PAYLOAD_TOO_LARGE => "request body too long or incomplete",
            StatusCode::INSUFFICIENT_STORAGE => "change could not be recorded; nothing has changed",
            _ => "internal error",
        };
        (status, format!(r#"{{"error":"{why}"}}"#))
    });
    let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if status == StatusCode::METHOD_NOT_ALLOWED {
        response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET, POST"));
    }
    response
}
