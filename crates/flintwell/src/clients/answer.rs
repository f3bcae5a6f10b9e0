//! Responses to clients and their encoding.

use crate::clients::malformed::Malformed;
use crate::nodes::response_body::ResponseBody;
use crate::management::metrics::RequestOutcome;
use bytes::Bytes;
use flintwell_core::interface::Micros;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// How a client's message is answered.
pub enum Answer {
    Served(ResponseBody),
    /// Not processed; `stay_away` is the advised delay before a retry, 0 for none.
    Refused {
        stay_away: Micros,
    },
    /// Failed; whether it took effect is unknown.
    Failed,
    Malformed(Malformed),
    /// Another request with the same id is in flight.
    InHand,
    /// Readiness check.
    Ready(bool),
    /// The client has disconnected.
    Left,
}

impl Answer {
    /// The request's outcome, if it is known by now and is counted.
    ///
    /// None while the response is still being streamed, and where no valid request was served.
    pub fn end(&self) -> Option<RequestOutcome> {
        match self {
            Answer::Served(ResponseBody::Buffered(_)) => Some(RequestOutcome::Served),
            Answer::Refused { .. } => Some(RequestOutcome::Refused),
            Answer::Failed => Some(RequestOutcome::Failed),
            Answer::Served(ResponseBody::Streamed(_)) => None,
            Answer::Malformed(_) | Answer::InHand | Answer::Ready(_) | Answer::Left => None,
        }
    }

    /// Encodes the response; `last` closes the connection after it.
    pub fn encode(self, last: bool) -> Response<ResponseBody> {
        // After a malformed message the next request's start is unknown: the following bytes might belong to its
        // body. So the connection is closed.
        let last = last || matches!(self, Answer::Malformed(_) | Answer::Left);
        let stay_away = if let Answer::Refused { stay_away } = self { stay_away } else { 0 };
        let text = |words: &'static [u8]| ResponseBody::from(Bytes::from_static(words));
        let (status, body) = match self {
            Answer::Served(body) => (StatusCode::OK, body),
            Answer::Refused { .. } => (StatusCode::SERVICE_UNAVAILABLE, text(b"")),
            Answer::Failed | Answer::Left => (StatusCode::BAD_GATEWAY, text(b"")),
            Answer::InHand => (StatusCode::CONFLICT, text(b"this id is in hand\n")),
            Answer::Ready(true) => (StatusCode::OK, text(b"ready\n")),
            Answer::Ready(false) => (StatusCode::SERVICE_UNAVAILABLE, text(b"stopping\n")),
            Answer::Malformed(why) => malformed(&why),
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if stay_away > 0 {
            let wait = format!("{:.3}", stay_away as f64 / 1e6);
            headers.extend(HeaderValue::from_str(&wait).ok().map(|wait| (RETRY_AFTER, wait)));
        }
        if last {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

fn malformed(why: &Malformed) -> (StatusCode, ResponseBody) {
    let (status, words) = match why {
        Malformed::Method => (StatusCode::METHOD_NOT_ALLOWED, "GET reads, PUT writes\n".into()),
        Malformed::Header(name) => {
            (StatusCode::BAD_REQUEST, format!("header {name}: missing or not understood\n"))
        }
        Malformed::Doubtful => (StatusCode::BAD_REQUEST, "a body comes with its length or chunked\n".into()),
        Malformed::BodyTooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n".into()),
        Malformed::BodyBroken => (StatusCode::BAD_REQUEST, "the body is not whole\n".into()),
        Malformed::BodyLate => (StatusCode::REQUEST_TIMEOUT, "the body came too late\n".into()),
    };
    (status, Bytes::from(words).into())
}
