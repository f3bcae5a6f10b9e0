//! The client-facing service: readiness check, or else decode, serve and encode.

use crate::clients::answer::Answer;
use crate::clients::body::BufferBudget;
use crate::clients::decode::ClientRequest;
use crate::clients::framing::Framing;
use crate::clients::client_socket::ClientSocket;
use crate::fleet::lease::ListLease;
use crate::nodes::attempt::AttemptService;
use crate::nodes::response_body::ResponseBody;
use crate::process::reloadable::Reloadable;
use crate::process::shutdown::Shutdown;
use crate::requests::dispatcher::Dispatcher;
use crate::requests::request;
use crate::management::metrics::Metrics;
use flintwell_settings::Network;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::task::{Context, Poll};
use tower::Service;

/// Service for the messages of one client connection.
#[derive(Clone)]
pub struct ClientService {
    pub dispatcher: Rc<Dispatcher>,
    pub attempts: AttemptService,
    pub counts: Rc<Metrics>,
    pub network: Rc<Reloadable<Network>>,
    pub budget: Rc<BufferBudget>,
    pub lease: Rc<ListLease>,
    pub shutdown: Shutdown,
    /// The client's side of the connection that is served.
    pub client: ClientSocket,
}

impl ClientService {
    async fn answer(&self, request: Request<Incoming>, framing: Framing) -> Answer {
        if request.uri().path() == "/health/ready" {
            // Before any list is in force requests would be refused here, although another proxy could serve them.
            return Answer::Ready(self.lease.is_ready() && !self.shutdown.has_begun());
        }
        let client = self.client.clone();
        match ClientRequest::decode(request, framing, &self.network.get(), &self.budget, client).await {
            // The request arrived slowly, or while its connection was being closed. The successor has more time left
            // to answer a retry than this process has.
            Ok(request) if self.shutdown.has_successor() => {
                let answer = Answer::Refused { stay_away: 0 };
                answer.end().inspect(|&end| self.counts.record_outcome(request.class, end));
                answer
            }
            Ok(request) => {
                request::serve(request, &self.dispatcher, &self.lease, &self.attempts, &self.counts).await
            }
            Err(malformed) => Answer::Malformed(malformed),
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
        let front = self.clone();
        Box::pin(async move {
            let framing = request.extensions().get().copied().unwrap_or(Framing::Doubtful);
            // A panic is contained: its request fails, the others go on.
            let answered = AssertUnwindSafe(front.answer(request, framing)).catch_unwind().await;
            let answer = answered.unwrap_or(Answer::Failed);
            // Messages after a chunked body cannot be told apart in the raw bytes, so their framing could not be
            // checked. The connection is closed instead.
            Ok(answer.encode(front.shutdown.has_begun() || framing == Framing::Coded))
        })
    }
}
