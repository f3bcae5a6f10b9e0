//! One call to a member's second address, on a connection of its own.

use bytes::Bytes;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(1); // for a call; a member answers within a turn of its core

/// Why a call brought nothing.
#[derive(Debug)]
pub enum Failed {
    /// It may have been taken, or not.
    Unheard(String),
    /// It was not taken, and why not.
    Refused(String),
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Failed::Unheard(why) => write!(f, "not heard: {why}"),
            Failed::Refused(why) => write!(f, "refused: {why}"),
        }
    }
}

pub async fn ask<T: DeserializeOwned>(at: SocketAddr, what: &str) -> Result<T, Failed> {
    call(at, Method::GET, what, Bytes::new()).await
}

pub async fn say<T: DeserializeOwned>(
    at: SocketAddr,
    what: &str,
    word: &impl Serialize,
) -> Result<T, Failed> {
    let text = serde_json::to_vec(word).map_err(|error| Failed::Refused(error.to_string()))?;
    call(at, Method::POST, what, text.into()).await
}

async fn call<T: DeserializeOwned>(
    at: SocketAddr,
    method: Method,
    what: &str,
    body: Bytes,
) -> Result<T, Failed> {
    let called =
        flintwell_call::send_request(at, method, &format!("/api/rollout/{what}"), body, WITHIN).await;
    let (status, text) = called.map_err(Failed::Unheard)?;
    if !status.is_success() {
        let told: Option<serde_json::Value> = serde_json::from_slice(&text).ok();
        let why = told.as_ref().and_then(|told| told["error"].as_str()).unwrap_or("no reason given");
        return Err(Failed::Refused(format!("{status}: {why}")));
    }
    serde_json::from_slice(&text)
        .map_err(|error| Failed::Unheard(format!("an answer of another form: {error}")))
}
