//! The client-facing service: readiness check, or else decode, serve and encode.

use crate::clients::client_socket::ClientSocket;
use crate::clients::decode::ClientRequest;
use crate::clients::framing::Framing;
use crate::clients::malformed::Malformed;
use crate::clients::response::ClientResponse;
use crate::fleet::lease::ListLease;
use crate::management::metrics::Metrics;
use crate::memory::plan::MemoryBudgets;
use crate::nodes::attempt::AttemptService;
use crate::nodes::response_body::ResponseBody;
use crate::process::counter::increment;
use crate::process::reloadable::Reloadable;
use crate::process::shutdown::Shutdown;
use crate::requests::dispatcher::Dispatcher;
use crate::requests::request;
use flintwell_settings::NetworkSettings;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::task::yield_now;
use tower::Service;

/// Marks a request that was received together with an earlier one on its connection.
#[derive(Clone, Copy)]
pub struct Pipelined;

/// Service for the messages of one client connection.
#[derive(Clone)]
pub struct ClientService {
    pub dispatcher: Rc<Dispatcher>,
    pub attempt_service: AttemptService,
    pub metrics: Rc<Metrics>,
    pub network: Rc<Reloadable<NetworkSettings>>,
    pub budgets: MemoryBudgets,
    pub lease: Rc<ListLease>,
    pub shutdown: Shutdown,
    /// The client's side of the connection that is served.
    pub client: ClientSocket,
}

impl ClientService {
    async fn respond(&self, request: Request<Incoming>, framing: Framing) -> ClientResponse {
        if request.uri().path() == "/health/ready" {
            // Before any list is in force requests would be refused here, although another proxy could serve them.
            return ClientResponse::Readiness(self.lease.is_ready() && !self.shutdown.has_begun());
        }
        let client = self.client.clone();
        match ClientRequest::decode(request, framing, &self.network.get(), &self.budgets, client).await {
            // The request arrived slowly, or while its connection was being closed. The successor has more time left
            // to answer a retry than this process has.
            Ok(request) if self.shutdown.has_successor() => {
                let response = ClientResponse::Refused { retry_after: 0 };
                response.outcome().inspect(|&outcome| self.metrics.record_outcome(request.class, outcome));
                response
            }
            Ok(request) => {
                request::serve(
                    request,
                    &self.dispatcher,
                    &self.lease,
                    &self.attempt_service,
                    &self.budgets,
                    &self.metrics,
                )
                .await
            }
            Err(reason) => {
                if reason == Malformed::NoMemory {
                    increment(&self.metrics.requests_without_memory);
                }
                ClientResponse::Malformed(reason)
            }
        }
    }
}

impl Service<Request<Incoming>> for ClientService {
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let service = self.clone();
        Box::pin(async move {
            let framing = request.extensions().get().copied().unwrap_or(Framing::Ambiguous);
            // A connection on which requests are sent at full speed would be served until none is left, and the others
            // would wait for that.
            if request.extensions().get::<Pipelined>().is_some() {
                yield_now().await;
            }
            // A panic is contained: its request fails, the others go on.
            let result = AssertUnwindSafe(service.respond(request, framing)).catch_unwind().await;
            let response = result.unwrap_or(ClientResponse::Failed);
            // Messages after a chunked body cannot be distinguished in the raw bytes, so their framing could not be
            // checked. The connection is closed instead.
            Ok(response.encode(service.shutdown.has_begun() || framing == Framing::TransferEncoded))
        })
    }
}
