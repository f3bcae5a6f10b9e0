//! The answer to a client, encoded once.

use crate::clients::malformed::Malformed;
use crate::nodes::response_body::ResponseBody;
use crate::management::metrics::RequestOutcome;
use bytes::Bytes;
use flintwell_core::interface::Micros;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

pub enum Answer {
    Served(ResponseBody),
    Refused {
        stay_away: Micros,
    },
    Failed,
    Malformed(Malformed),
    /// Another request of this id is in hand.
    InHand,
    Ready(bool),
    /// Its client has left; nobody hears it.
    Left,
}

impl Answer {
    /// How its request has ended; not yet, if it is still passed on, and none if it never was one.
    pub fn end(&self) -> Option<RequestOutcome> {
        match self {
            Answer::Served(ResponseBody::Buffered(_)) => Some(RequestOutcome::Served),
            Answer::Refused { .. } => Some(RequestOutcome::Refused),
            Answer::Failed => Some(RequestOutcome::Failed),
            Answer::Served(ResponseBody::Streamed(_)) => None,
            Answer::Malformed(_) | Answer::InHand | Answer::Ready(_) | Answer::Left => None,
        }
    }

    pub fn encode(self, last: bool) -> Response<ResponseBody> {
        // Danger: behind what is malformed, what comes next may be no message of its own.
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
