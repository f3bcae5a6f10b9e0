//! HTTP/1.1 requests to management endpoints, each on its own connection: from a rollout to its members and from a
//! supervisor to its process.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::handshake;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const MAX_RESPONSE_BYTES: usize = 8 << 20; // a list of some ten thousand nodes

/// Sends a request and returns the response's status and whole body, or why none arrived within the time limit. After an
/// error the request may or may not have been processed.
pub async fn send_request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    time_limit: Duration,
) -> Result<(StatusCode, Bytes), String> {
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let exchange = async {
        let stream = TcpStream::connect(addr).await.map_err(|e| text(&e))?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| text(&e))?;
        let request = Request::builder().method(method).uri(path).header("host", "staff");
        let request = request.body(Full::new(body)).map_err(|e| text(&e))?;
        let response = async {
            let response = sender.send_request(request).await.map_err(|e| text(&e))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            Ok((status, body.map_err(|e| text(&e))?.to_bytes()))
        };
        // The peer may close the connection right after its response, before the response has been read; so the end of
        // the connection alone does not end the exchange.
        let connection_driver = async {
            let _ = connection.await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            result = response => result,
            () = connection_driver => Err("connection closed before the response".into()),
        }
    };
    timeout(time_limit, exchange).await.map_err(|_| format!("no response within {time_limit:?}"))?
}
