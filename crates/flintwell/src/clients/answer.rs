//! Responses to clients and their encoding.

use crate::clients::malformed::Malformed;
use crate::nodes::relay::Content;
use crate::staff::counts::End;
use bytes::Bytes;
use flintwell_core::interface::Micros;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// How a client's message is answered.
pub enum Answer {
    Served(Content),
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
    pub fn end(&self) -> Option<End> {
        match self {
            Answer::Served(Content::Whole(_)) => Some(End::Served),
            Answer::Refused { .. } => Some(End::Refused),
            Answer::Failed => Some(End::Failed),
            Answer::Served(Content::Long(_)) => None,
            Answer::Malformed(_) | Answer::InHand | Answer::Ready(_) | Answer::Left => None,
        }
    }

    /// Encodes the response; `last` closes the connection after it.
    pub fn encode(self, last: bool) -> Response<Content> {
        // After a malformed message the next request's start is unknown: the following bytes might belong to its
        // body. So the connection is closed.
        let last = last || matches!(self, Answer::Malformed(_) | Answer::Left);
        let stay_away = if let Answer::Refused { stay_away } = self { stay_away } else { 0 };
        let text = |words: &'static [u8]| Content::from(Bytes::from_static(words));
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

fn malformed(why: &Malformed) -> (StatusCode, Content) {
    let (status, words) = match why {
        Malformed::Method => (StatusCode::METHOD_NOT_ALLOWED, "GET reads, PUT writes\n".into()),
        Malformed::Header(name) => {
            (StatusCode::BAD_REQUEST, format!("header {name}: missing or not understood\n"))
        }
        Malformed::AmbiguousFraming => (StatusCode::BAD_REQUEST, "a body comes with its length or chunked\n".into()),
        Malformed::BodyTooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n".into()),
        Malformed::InvalidBody => (StatusCode::BAD_REQUEST, "the body is not whole\n".into()),
        Malformed::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, "the body came too late\n".into()),
    };
    (status, Bytes::from(words).into())
}
