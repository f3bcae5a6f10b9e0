//! Responses to clients and their encoding.

use crate::clients::malformed::Malformed;
use crate::management::metrics::RequestOutcome;
use crate::nodes::response_body::ResponseBody;
use bytes::Bytes;
use flintwell_core::interface::Micros;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Advised delay before a retry of a request for which no memory was left.
pub const MEMORY_RETRY_AFTER_US: Micros = 1_000_000;

/// How a client's message is answered.
pub enum ClientResponse {
    Served(ResponseBody),
    /// Refused; retrying is harmless. `retry_after` is the advised delay before that, 0 for none.
    Refused {
        retry_after: Micros,
    },
    /// Failed; whether it took effect is unknown.
    Failed,
    Malformed(Malformed),
    /// Another request with the same id is in flight.
    DuplicateId,
    /// Readiness check.
    Readiness(bool),
    /// The client has disconnected.
    ClientDisconnected,
}

impl ClientResponse {
    /// The request's outcome, if it is known by now and is counted.
    ///
    /// None while the response is still being streamed, and where no valid request was served.
    pub fn outcome(&self) -> Option<RequestOutcome> {
        match self {
            ClientResponse::Served(ResponseBody::Buffered(_)) => Some(RequestOutcome::Served),
            ClientResponse::Refused { .. } => Some(RequestOutcome::Refused),
            ClientResponse::Failed => Some(RequestOutcome::Failed),
            ClientResponse::Served(ResponseBody::Streamed(_)) => None,
            ClientResponse::Malformed(_)
            | ClientResponse::DuplicateId
            | ClientResponse::Readiness(_)
            | ClientResponse::ClientDisconnected => None,
        }
    }

    /// Encodes the response; `close` closes the connection after it.
    pub fn encode(self, close: bool) -> Response<ResponseBody> {
        // After a malformed message the next request's start is unknown: the following bytes might belong to its
        // body. So the connection is closed.
        let close =
            close || matches!(self, ClientResponse::Malformed(_) | ClientResponse::ClientDisconnected);
        let retry_after = match self {
            ClientResponse::Refused { retry_after } => retry_after,
            ClientResponse::Malformed(Malformed::NoMemory) => MEMORY_RETRY_AFTER_US,
            _ => 0,
        };
        let text = |bytes: &'static [u8]| ResponseBody::from(Bytes::from_static(bytes));
        let (status, body) = match self {
            ClientResponse::Served(body) => (StatusCode::OK, body),
            ClientResponse::Refused { .. } => (StatusCode::SERVICE_UNAVAILABLE, text(b"")),
            ClientResponse::Failed | ClientResponse::ClientDisconnected => {
                (StatusCode::BAD_GATEWAY, text(b""))
            }
            ClientResponse::DuplicateId => (StatusCode::CONFLICT, text(b"this id is in hand\n")),
            ClientResponse::Readiness(true) => (StatusCode::OK, text(b"ready\n")),
            ClientResponse::Readiness(false) => (StatusCode::SERVICE_UNAVAILABLE, text(b"stopping\n")),
            ClientResponse::Malformed(reason) => malformed_response(&reason),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if retry_after > 0 {
            let seconds = format!("{:.3}", retry_after as f64 / 1e6);
            headers.extend(HeaderValue::from_str(&seconds).ok().map(|value| (RETRY_AFTER, value)));
        }
        if close {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

fn malformed_response(reason: &Malformed) -> (StatusCode, ResponseBody) {
    let (status, text) = match reason {
        Malformed::Method => (StatusCode::METHOD_NOT_ALLOWED, "GET reads, PUT writes\n".into()),
        Malformed::Header(name) => {
            (StatusCode::BAD_REQUEST, format!("header {name}: missing or not understood\n"))
        }
        Malformed::AmbiguousFraming => {
            (StatusCode::BAD_REQUEST, "a body comes with its length or chunked\n".into())
        }
        Malformed::BodyTooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n".into()),
        Malformed::InvalidBody => (StatusCode::BAD_REQUEST, "the body is not whole\n".into()),
        Malformed::NoMemory => (StatusCode::SERVICE_UNAVAILABLE, "no memory for the body now\n".into()),
        Malformed::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, "the body came too late\n".into()),
    };
    (status, Bytes::from(text).into())
}
