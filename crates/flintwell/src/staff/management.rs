//! The second address: what the operators' staff asks and says, one call to a connection.

use crate::fleet::lease::ListLease;
use crate::fleet::list_status::ListStatus;
use crate::fleet::overrides::Refused;
use crate::fleet::registry::Registry;
use crate::fleet::words::Words;
use crate::process::shutdown::Shutdown;
use crate::requests::dispatcher::Dispatcher;
use crate::say;
use crate::staff::counts::Counts;
use crate::staff::rollout::Rollout;
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

const CALLERS: usize = 8; // connections; a few that finish no call, and room for those that do
const CALL_WITHIN: Duration = Duration::from_secs(5); // a call's whole life; its caller waits a second
const BODY_MOST: usize = 4_096; // bytes; an id and the words round it
const PAUSE: Duration = Duration::from_millis(50); // after a failure, so that it never spins

/// What the calls reach.
pub struct Office {
    pub counts: Rc<Counts>,
    pub dispatcher: Rc<Dispatcher>,
    pub registry: Rc<Registry>,
    pub list_status: Rc<ListStatus>,
    pub lease: Rc<ListLease>,
    pub shutdown: Shutdown,
    /// Changes of settings, where the configuration says how.
    pub rollout: Option<Rc<Rollout>>,
    /// Words with other proxies, where the configuration names some.
    pub words: Option<Rc<Words>>,
}

#[derive(Deserialize)]
struct Named {
    who: String,
}

/// An answer: its status and its JSON.
type Said = (StatusCode, String);

const FLEET: &str = "/api/fleet"; // asks what we know of the other proxies
const RULES: &str = "/api/violations"; // what may not be, counted
const LIST: &str = "/api/list"; // which server list is in hand, how old, and on whose word it is acted on
const ROLLOUT: &str = "/api/rollout/"; // begins the calls on changes of settings

/// Danger: callers that connect and finish no call would keep the others out. So the oldest makes room.
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
                say!("second address: {error}");
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
    // A caller that has left needs no answer.
    let _ = http.serve_connection(TokioIo::new(stream), TowerToHyperService::new(service)).await;
}

/// Calls on changes of settings; where the configuration has none, there are no such calls.
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
        let text = serde_json::to_string(&words.fleet()).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
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
        "/api/ready" => match office.lease.ready() && !office.shutdown.begun() {
            true => Ok((StatusCode::OK, r#"{"ready":true}"#.into())),
            false => Ok((StatusCode::SERVICE_UNAVAILABLE, r#"{"ready":false}"#.into())),
        },
        "/api/telemetry" => {
            let figures = office.counts.figures(office.registry.known(), office.dispatcher.count_avoided_caches());
            let text = serde_json::to_string(&figures).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
            Ok((StatusCode::OK, text))
        }
        RULES => {
            let text = serde_json::to_string(&office.counts.rule_figures());
            Ok((StatusCode::OK, text.map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?))
        }
        LIST => {
            let text = serde_json::to_string(&office.list_status.figures());
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
                Err(Refused::Unknown) => Err(StatusCode::NOT_FOUND),
                Err(Refused::NotRecorded) => Err(StatusCode::INSUFFICIENT_STORAGE),
            }
        }
    }
}

fn encode(said: Result<Said, StatusCode>) -> Response<Full<Bytes>> {
    let (status, text) = said.unwrap_or_else(|status| {
        let why = match status {
            StatusCode::NOT_FOUND => "no such call, or no cache node of this id",
            StatusCode::METHOD_NOT_ALLOWED => "another method is needed",
            StatusCode::BAD_REQUEST => r#"a body like {\"who\":\"ID\"} is needed"#,
            StatusCode::PAYLOAD_TOO_LARGE => "the message is too long or not whole",
            StatusCode::INSUFFICIENT_STORAGE => "not recorded, nothing has changed",
            _ => "failed",
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
