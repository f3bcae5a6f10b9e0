//! Decodes and validates a client's message into a typed request.

use crate::clients::body::ReceivedBody;
use crate::clients::client_socket::ClientSocket;
use crate::clients::framing::Framing;
use crate::clients::malformed::Malformed;
use crate::memory::plan::MemoryBudgets;
use flintwell_core::interface::{Idempotency, IncomingRequest, Key, Micros, RequestId};
use flintwell_settings::NetworkSettings;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};

// Headers that must not be repeated.
const SINGLETON_HEADERS: [&str; 5] = ["host", "x-request-id", "x-class", "x-deadline", "idempotency-key"];
const DEADLINE_MARGIN_US: Micros = 10_000; // for the way back to the client and for waiting on our single core
const MAX_DEADLINE_S: f64 = 3_600.0; // no client has a longer deadline

/// A client's request with its validated headers.
pub struct ClientRequest {
    pub id: RequestId,
    /// The id as received, sent on to nodes.
    pub id_header: HeaderValue,
    pub idempotency_key: Option<HeaderValue>,
    pub host: Option<HeaderValue>,
    pub method: Method,
    pub path: Uri,
    pub body: ReceivedBody,
    pub client: ClientSocket,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// How the request may be repeated.
    pub idempotency: Idempotency,
    tenant: usize,
    key: Option<Key>,
    expected_work: Option<Micros>,
    /// How long the client waits for the response, from when it sent the request.
    client_timeout: Micros,
}

impl ClientRequest {
    /// Validates a message and receives its body.
    pub async fn decode(
        request: Request<Incoming>,
        framing: Framing,
        network: &NetworkSettings,
        budgets: &MemoryBudgets,
        client: ClientSocket,
    ) -> Result<Self, Malformed> {
        let (head, body) = request.into_parts();
        // A message with both a length and a transfer encoding can hide another request in its body (request
        // smuggling). The HTTP parser drops the length from the head, so only the raw bytes show it.
        if framing == Framing::Ambiguous {
            return Err(Malformed::AmbiguousFraming);
        }
        let body = ReceivedBody::receive(body, budgets, &client).await?;
        Self::from_parts(head, body, network, client)
    }

    fn from_parts(
        head: Parts,
        body: ReceivedBody,
        network: &NetworkSettings,
        client: ClientSocket,
    ) -> Result<Self, Malformed> {
        let Parts { method, uri: path, headers, .. } = head;
        if method != Method::GET && method != Method::PUT {
            return Err(Malformed::Method);
        }
        // Of a duplicated header, a node might use the other value than we do.
        if let Some(name) =
            SINGLETON_HEADERS.into_iter().find(|name| headers.get_all(*name).iter().nth(1).is_some())
        {
            return Err(Malformed::Header(name));
        }
        let text = |name: &'static str| {
            let text = headers.get(name).map(|value| value.to_str().map(str::trim));
            text.transpose().map_err(|_| Malformed::Header(name))
        };
        let required =
            |name: &'static str| text(name)?.filter(|text| !text.is_empty()).ok_or(Malformed::Header(name));
        let index_in = |name: &'static str, names: &[String]| {
            let index_of = |value: &str| names.iter().position(|n| n == value).ok_or(Malformed::Header(name));
            text(name)?.map(index_of).transpose()
        };
        let number = |name: &'static str| {
            let parse = |value: &str| value.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
            text(name)?.map(|value| parse(value).ok_or(Malformed::Header(name))).transpose()
        };
        let client_timeout =
            number("x-deadline")?.ok_or(Malformed::Header("x-deadline"))?.min(MAX_DEADLINE_S);
        let key = path.path().rsplit('/').next().filter(|key| !key.is_empty()).map(Key::from);
        let class = index_in("x-class", &network.classes)?.ok_or(Malformed::Header("x-class"))?;
        Ok(ClientRequest {
            id: required("x-request-id")?.into(),
            id_header: headers.get("x-request-id").cloned().ok_or(Malformed::Header("x-request-id"))?,
            class,
            idempotency: network.idempotency.get(class).copied().unwrap_or(Idempotency::Unsafe),
            tenant: index_in("x-tenant", &network.tenants)?.unwrap_or(0),
            key,
            // An invalid cost hint is ignored; it is no reason to reject the request.
            expected_work: number("x-cost-hint")
                .ok()
                .flatten()
                .map(|hint| hint.min(MAX_DEADLINE_S * 1e6) as Micros),
            client_timeout: (client_timeout * 1e6) as Micros,
            idempotency_key: headers.get("idempotency-key").cloned(),
            host: headers.get(HOST).cloned(),
            method,
            path: path.into_parts().path_and_query.map_or(Uri::default(), Uri::from),
            body,
            client,
        })
    }

    /// The deadline of the response to a request that the client may have sent at `sent`. While a body is streamed, the
    /// attempt extends it for as long as the client is known to be sending.
    pub fn deadline(&self, sent: Micros) -> Micros {
        sent + (self.client_timeout - DEADLINE_MARGIN_US).max(0)
    }

    /// The request as it is passed to the policy.
    pub fn to_incoming(&self, deadline: Micros) -> IncomingRequest {
        IncomingRequest {
            id: self.id.clone(),
            class: self.class,
            tenant: self.tenant,
            key: self.key.clone(),
            deadline,
            expected_work: self.expected_work,
            is_write: self.method == Method::PUT,
        }
    }
}
