//! A request, decoded once from a client's message into a small typed value.

use crate::clients::body::{Budget, Payload};
use crate::clients::framing::Framing;
use crate::clients::malformed::Malformed;
use crate::clients::presence::Presence;
use flintwell_core::interface::{IncomingRequest, Key, Micros, RequestId};
use flintwell_settings::Network;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use std::rc::Rc;

const ONCE: [&str; 5] = ["host", "x-request-id", "x-class", "x-deadline", "idempotency-key"]; // headers
const MARGIN: Micros = 10_000; // us; the way back to the client, and the turn of our one core
const LIMIT_MOST: f64 = 3_600.0; // s; a longer deadline is no client's

pub struct ClientRequest {
    pub id: RequestId,
    pub id_header: HeaderValue,
    pub repeat_mark: Option<HeaderValue>,
    pub host: Option<HeaderValue>,
    pub method: Method,
    pub path: Uri,
    pub body: Payload,
    pub client: Presence,
    pub class: usize,
    tenant: usize,
    key: Option<Key>,
    work: Option<Micros>,
    /// How long the client waits from when it sent the request.
    waits: Micros,
}

impl ClientRequest {
    pub async fn decode(
        request: Request<Incoming>,
        framing: Framing,
        network: &Network,
        budget: &Rc<Budget>,
        client: Presence,
    ) -> Result<Self, Malformed> {
        let (head, body) = request.into_parts();
        // Danger: a length beside a transfer encoding hides another request in the body, and is taken out of
        // the head before we see it.
        if framing == Framing::Doubtful {
            return Err(Malformed::Doubtful);
        }
        let body = Payload::receive(body, budget).await?;
        Self::from_parts(head, body, network, client)
    }

    fn from_parts(
        head: Parts,
        body: Payload,
        network: &Network,
        client: Presence,
    ) -> Result<Self, Malformed> {
        let Parts { method, uri: path, headers, .. } = head;
        if method != Method::GET && method != Method::PUT {
            return Err(Malformed::Method);
        }
        // Danger: a node may go by the other one of two.
        if let Some(name) = ONCE.into_iter().find(|name| headers.get_all(*name).iter().nth(1).is_some()) {
            return Err(Malformed::Header(name));
        }
        let text = |name: &'static str| {
            let text = headers.get(name).map(|value| value.to_str().map(str::trim));
            text.transpose().map_err(|_| Malformed::Header(name))
        };
        let need =
            |name: &'static str| text(name)?.filter(|text| !text.is_empty()).ok_or(Malformed::Header(name));
        let named = |name: &'static str, names: &[String]| {
            let found = |word: &str| names.iter().position(|n| n == word).ok_or(Malformed::Header(name));
            text(name)?.map(found).transpose()
        };
        let number = |name: &'static str| {
            let read = |word: &str| word.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
            text(name)?.map(|word| read(word).ok_or(Malformed::Header(name))).transpose()
        };
        let waits = number("x-deadline")?.ok_or(Malformed::Header("x-deadline"))?.min(LIMIT_MOST);
        let key = path.path().rsplit('/').next().filter(|key| !key.is_empty()).map(Key::from);
        Ok(ClientRequest {
            id: need("x-request-id")?.into(),
            id_header: headers.get("x-request-id").cloned().ok_or(Malformed::Header("x-request-id"))?,
            class: named("x-class", &network.classes)?.ok_or(Malformed::Header("x-class"))?,
            tenant: named("x-tenant", &network.tenants)?.unwrap_or(0),
            key,
            // A hint that is no number is worth none, and no reason to turn the request away.
            work: number("x-cost-hint").ok().flatten().map(|hint| hint.min(LIMIT_MOST * 1e6) as Micros),
            waits: (waits * 1e6) as Micros,
            repeat_mark: headers.get("idempotency-key").cloned(),
            host: headers.get(HOST).cloned(),
            method,
            path: path.into_parts().path_and_query.map_or(Uri::default(), Uri::from),
            body,
            client,
        })
    }

    /// When its answer is due, if its client may have sent it at `sent`.
    pub fn deadline(&self, sent: Micros) -> Micros {
        sent + self.body.takes().as_micros() as Micros + (self.waits - MARGIN).max(0)
    }

    pub fn arrival(&self, deadline: Micros) -> IncomingRequest {
        IncomingRequest {
            id: self.id.clone(),
            class: self.class,
            tenant: self.tenant,
            key: self.key.clone(),
            deadline,
            expected_work: self.work,
            is_write: self.method == Method::PUT,
        }
    }
}
