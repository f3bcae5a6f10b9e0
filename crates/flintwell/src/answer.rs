//! The answer to a client, encoded once.

use crate::decode::Malformed;
use bytes::Bytes;
use flintwell_core::interface::Micros;
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

pub enum Answer {
    Honoured(Bytes),
    TurnedBack {
        stay_away: Micros,
    },
    BrokenOff,
    Malformed(Malformed),
    /// Another access of this id is in hand.
    InHand,
    Ready(bool),
}

impl Answer {
    pub fn encode(self, last: bool) -> Response<Full<Bytes>> {
        // Danger: behind what is malformed, what comes next may be no message of its own.
        let last = last || matches!(self, Answer::Malformed(_));
        let (status, body) = match &self {
            Answer::Honoured(body) => (StatusCode::OK, body.clone()),
            Answer::TurnedBack { .. } => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            Answer::BrokenOff => (StatusCode::BAD_GATEWAY, Bytes::new()),
            Answer::InHand => (StatusCode::CONFLICT, Bytes::from_static(b"this id is in hand\n")),
            Answer::Ready(true) => (StatusCode::OK, Bytes::from_static(b"ready\n")),
            Answer::Ready(false) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"stopping\n")),
            Answer::Malformed(why) => malformed(why),
        };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        if let Answer::TurnedBack { stay_away: stay_away @ 1.. } = self {
            let wait = format!("{:.3}", stay_away as f64 / 1e6);
            headers.extend(HeaderValue::from_str(&wait).ok().map(|wait| (RETRY_AFTER, wait)));
        }
        if last {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

fn malformed(why: &Malformed) -> (StatusCode, Bytes) {
    let (status, words) = match why {
        Malformed::Method => (StatusCode::METHOD_NOT_ALLOWED, "GET reads, PUT writes\n".into()),
        Malformed::Header(name) => {
            (StatusCode::BAD_REQUEST, format!("header {name}: missing or not understood\n"))
        }
        Malformed::Unmeasured => (StatusCode::LENGTH_REQUIRED, "a body comes with its length\n".into()),
        Malformed::BodyTooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n".into()),
        Malformed::BodyBroken => (StatusCode::BAD_REQUEST, "the body is not whole\n".into()),
        Malformed::BodyLate => (StatusCode::REQUEST_TIMEOUT, "the body came too late\n".into()),
    };
    (status, words.into())
}
