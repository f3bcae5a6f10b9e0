//! Management API for the operators, one request per connection.

use crate::fleet::lease::ListLease;
use crate::fleet::list_status::ListStatus;
use crate::fleet::overrides::OverrideError;
use crate::fleet::registry::Registry;
use crate::fleet::peer_messaging::PeerMessaging;
use crate::process::shutdown::Shutdown;
use crate::requests::dispatcher::Dispatcher;
use crate::log_line;
use crate::management::metrics::Metrics;
use crate::management::rollout::Rollout;
use bytes::Bytes;
use flintwell_rollout::wire::MESSAGE_MOST;
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

const CALLERS: usize = 8; // leaves room for complete requests beside a few connections that never finish one
const CALL_WITHIN: Duration = Duration::from_secs(5); // callers wait for a second
const BODY_MOST: usize = 4_096; // a node id and the JSON around it
const PAUSE: Duration = Duration::from_millis(50); // keeps a failing accept from spinning

/// State that the API reads and changes.
pub struct Office {
    pub counts: Rc<Metrics>,
    pub dispatcher: Rc<Dispatcher>,
    pub registry: Rc<Registry>,
    pub list_status: Rc<ListStatus>,
    pub lease: Rc<ListLease>,
    pub shutdown: Shutdown,
    /// Present if the configuration has a `rollout` section.
    pub rollout: Option<Rc<Rollout>>,
    /// Messages between proxies; present if the configuration has a `words` section.
    pub words: Option<Rc<PeerMessaging>>,
}

#[derive(Deserialize)]
struct Named {
    who: String,
}

/// Status and JSON body of a response.
type Said = (StatusCode, String);

const FLEET: &str = "/api/fleet"; // state of the other proxies
const RULES: &str = "/api/violations"; // counters of conditions that should not occur
const LIST: &str = "/api/list"; // version and age of the server list, and the basis of its lease
const ROLLOUT: &str = "/api/rollout/"; // prefix of the calls that change settings

/// Accepts and serves connections until the process ends. At the connection limit the oldest connection is closed, so
/// that callers that connect without completing a request cannot lock out the others.
pub async fn answer(listener: &TcpListener, office: &Rc<Office>) {
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                open.retain(|call| !call.is_finished());
                if open.len() >= CALLERS {
                    open.pop_front().inspect(JoinHandle::abort);
                }
                let office = office.clone();
                open.push_back(spawn_local(async move {
                    let _ = timeout(CALL_WITHIN, call(stream, office)).await;
                }));
            }
            Err(error) => {
                log_line!("management API: accept failed: {error}");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn call(stream: TcpStream, office: Rc<Office>) {
    let service = service_fn(move |request| {
        let office = office.clone();
        async move { Ok::<_, Infallible>(encode(said(request, &office).await)) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(CALL_WITHIN).keep_alive(false);
    // An error here means that the caller has gone.
    let _ = http.serve_connection(TokioIo::new(stream), TowerToHyperService::new(service)).await;
}

/// Serves the calls that change settings; they exist only if the configuration has a `rollout` section.
async fn rolls(request: Request<Incoming>, rollout: &Rollout) -> Result<Said, StatusCode> {
    let (head, body) = request.into_parts();
    let what = head.uri.path().strip_prefix(ROLLOUT).unwrap_or_default();
    let said = match head.method {
        Method::GET => rollout.asked(what),
        Method::POST => {
            let text = Limited::new(body, MESSAGE_MOST).collect().await;
            rollout.word(what, &text.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?.to_bytes())
        }
        _ => return Err(StatusCode::METHOD_NOT_ALLOWED),
    };
    Ok(said.map_or_else(
        |(status, why)| (status, serde_json::json!({ "error": why }).to_string()),
        |text| (StatusCode::OK, text),
    ))
}

async fn said(request: Request<Incoming>, office: &Office) -> Result<Said, StatusCode> {
    if let Some(rollout) = office.rollout.as_deref().filter(|_| request.uri().path().starts_with(ROLLOUT)) {
        return rolls(request, rollout).await;
    }
    if let Some(words) = office.words.as_deref().filter(|_| request.uri().path() == FLEET) {
        let text = serde_json::to_string(&words.status()).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
        return Ok((StatusCode::OK, text));
    }
    let wanted = match request.uri().path() {
        "/api/ready" | "/api/telemetry" | RULES | LIST => Method::GET,
        "/api/exclude" | "/api/include" => Method::POST,
        _ => return Err(StatusCode::NOT_FOUND),
    };
    if request.method() != wanted {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let (head, body) = request.into_parts();
    match head.uri.path() {
        "/api/ready" => match office.lease.is_ready() && !office.shutdown.has_begun() {
            true => Ok((StatusCode::OK, r#"{"ready":true}"#.into())),
            false => Ok((StatusCode::SERVICE_UNAVAILABLE, r#"{"ready":false}"#.into())),
        },
        "/api/telemetry" => {
            let figures = office.counts.figures(office.registry.cache_count(), office.dispatcher.count_avoided_caches());
            let text = serde_json::to_string(&figures).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
            Ok((StatusCode::OK, text))
        }
        RULES => {
            let text = serde_json::to_string(&office.counts.rule_figures());
            Ok((StatusCode::OK, text.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?))
        }
        LIST => {
            let text = serde_json::to_string(&office.list_status.report());
            Ok((StatusCode::OK, text.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?))
        }
        path => {
            let text = Limited::new(body, BODY_MOST).collect().await.map_err(|_| StatusCode::BAD_REQUEST)?;
            let named = serde_json::from_slice::<Named>(&text.to_bytes());
            let who = named.ok().map(|named| named.who).filter(|who| !who.is_empty());
            let who = who.ok_or(StatusCode::BAD_REQUEST)?;
            let out = path == "/api/exclude";
            let done = if out { office.registry.exclude(&who) } else { office.registry.include(&who) };
            match done {
                Ok(()) => Ok((StatusCode::OK, format!(r#"{{"out":{out}}}"#))),
                Err(OverrideError::UnknownNode) => Err(StatusCode::NOT_FOUND),
                Err(OverrideError::NotPersisted) => Err(StatusCode::INSUFFICIENT_STORAGE),
            }
        }
    }
}

fn encode(said: Result<Said, StatusCode>) -> Response<Full<Bytes>> {
    let (status, text) = said.unwrap_or_else(|status| {
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
