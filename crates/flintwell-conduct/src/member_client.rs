//! Calls of the rollout endpoints of a member's management API, each on its own connection.

use bytes::Bytes;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// A member answers within one iteration of its event loop.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// No valid response; the member may have processed the call or not.
    NoResponse(String),
    /// The member rejected the call, with its reason.
    Rejected(String),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            CallError::NoResponse(why) => write!(f, "no response: {why}"),
            CallError::Rejected(why) => write!(f, "rejected: {why}"),
        }
    }
}

/// Sends a GET request to `/api/rollout/{endpoint}`.
pub async fn get<T: DeserializeOwned>(addr: SocketAddr, endpoint: &str) -> Result<T, CallError> {
    call(addr, Method::GET, endpoint, Bytes::new()).await
}

/// Posts a message to `/api/rollout/{endpoint}`.
pub async fn post<T: DeserializeOwned>(
    addr: SocketAddr,
    endpoint: &str,
    message: &impl Serialize,
) -> Result<T, CallError> {
    let text = serde_json::to_vec(message).map_err(|error| CallError::Rejected(error.to_string()))?;
    call(addr, Method::POST, endpoint, text.into()).await
}

async fn call<T: DeserializeOwned>(
    addr: SocketAddr,
    method: Method,
    endpoint: &str,
    body: Bytes,
) -> Result<T, CallError> {
    let path = format!("/api/rollout/{endpoint}");
    let response = flintwell_call::send_request(addr, method, &path, body, CALL_TIMEOUT).await;
    let (status, text) = response.map_err(CallError::NoResponse)?;
    if !status.is_success() {
        let body: Option<serde_json::Value> = serde_json::from_slice(&text).ok();
        let why = body.as_ref().and_then(|body| body["error"].as_str()).unwrap_or("no reason given");
        return Err(CallError::Rejected(format!("{status}: {why}")));
    }
    serde_json::from_slice(&text)
        .map_err(|error| CallError::NoResponse(format!("response has an unexpected format: {error}")))
}
