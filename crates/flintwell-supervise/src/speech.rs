//! HTTP/1.1 either way: the words that come to us, and what we ask of the process that runs.

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

const ASKED: Duration = Duration::from_millis(500); // for a call to the process; half of what our caller waits
const CALL: Duration = Duration::from_secs(5); // a call's whole life

pub struct Call {
    pub method: Method,
    pub path: String,
    pub body: Bytes,
}

/// Answers calls of `/api/rollout/` until the runtime ends.
pub fn hear<F>(listener: TcpListener, answer: impl Fn(Call) -> F + Clone + 'static)
where
    F: Future<Output = (StatusCode, String)> + 'static,
{
    spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let answer = answer.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let most = flintwell_rollout::wire::MAX_MESSAGE_BYTES;
                    let (status, text) = match Limited::new(body, most).collect().await {
                        Ok(body) => {
                            let path = head.uri.path().strip_prefix("/api/rollout/").unwrap_or("").to_owned();
                            answer(Call { method: head.method, path, body: body.to_bytes() }).await
                        }
                        Err(_) => (
                            StatusCode::PAYLOAD_TOO_LARGE,
                            r#"{"error":"the message is too long or not whole"}"#.into(),
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
                // A caller that has left needs no answer.
                let _ = timeout(CALL, connection).await;
            });
        }
    });
}

/// What the process says to a GET, if it says yes.
pub async fn ask(at: SocketAddr, path: &str) -> Option<Bytes> {
    let (status, text) =
        flintwell_call::send_request(at, Method::GET, path, Bytes::new(), ASKED).await.ok()?;
    status.is_success().then_some(text)
}
