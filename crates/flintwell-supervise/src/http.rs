//! HTTP/1.1 in both directions: serves the rollout endpoints of the supervisor and queries the supervised process.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// For a request to the supervised process. Half of the time that callers of the supervisor wait.
const PROCESS_TIMEOUT: Duration = Duration::from_millis(500);
/// For a connection to the supervisor, from accept to close.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// A request to the supervisor.
pub struct Call {
    pub method: Method,
    /// The path below `/api/rollout/`.
    pub path: String,
    pub body: Bytes,
}

/// Serves requests below `/api/rollout/` until the runtime ends.
pub fn serve<F>(listener: TcpListener, handler: impl Fn(Call) -> F + Clone + 'static)
where
    F: Future<Output = (StatusCode, String)> + 'static,
{
    spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let handler = handler.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let handler = handler.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let max_bytes = flintwell_rollout::wire::MAX_MESSAGE_BYTES;
                    let (status, text) = match Limited::new(body, max_bytes).collect().await {
                        Ok(body) => {
                            let path = head.uri.path().strip_prefix("/api/rollout/").unwrap_or("").to_owned();
                            handler(Call { method: head.method, path, body: body.to_bytes() }).await
                        }
                        Err(_) => (
                            StatusCode::PAYLOAD_TOO_LARGE,
                            r#"{"error":"message is too long or truncated"}"#.into(),
                        ),
                    };
                    let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
                    *response.status_mut() = status;
                    Ok::<_, hyper::Error>(response)
                }
            });
            spawn_local(async move {
                let connection =
                    http1::Builder::new().keep_alive(false).serve_connection(TokioIo::new(stream), service);
                // Errors and time-outs are ignored, since the caller is gone or stalled.
                let _ = timeout(CONNECTION_TIMEOUT, connection).await;
            });
        }
    });
}

/// Sends a GET request to the supervised process; returns the body of a successful response.
pub async fn get(addr: SocketAddr, path: &str) -> Option<Bytes> {
    let (status, text) =
        flintwell_call::send_request(addr, Method::GET, path, Bytes::new(), PROCESS_TIMEOUT).await.ok()?;
    status.is_success().then_some(text)
}
