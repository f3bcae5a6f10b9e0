//! The client-facing service: health, else decode, serve, encode.

use crate::clients::answer::Answer;
use crate::clients::body::Budget;
use crate::clients::decode::ClientRequest;
use crate::clients::framing::Framing;
use crate::clients::presence::Presence;
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

#[derive(Clone)]
pub struct Front {
    pub dispatcher: Rc<Dispatcher>,
    pub attempts: AttemptService,
    pub counts: Rc<Metrics>,
    pub network: Rc<Reloadable<Network>>,
    pub budget: Rc<Budget>,
    pub lease: Rc<ListLease>,
    pub shutdown: Shutdown,
    /// Of the connection that it serves.
    pub client: Presence,
}

impl Front {
    async fn answer(&self, request: Request<Incoming>, framing: Framing) -> Answer {
        if request.uri().path() == "/health/ready" {
            // Danger: clients that come before any list is in force are refused, where others could serve them.
            return Answer::Ready(self.lease.is_ready() && !self.shutdown.has_begun());
        }
        let client = self.client.clone();
        match ClientRequest::decode(request, framing, &self.network.get(), &self.budget, client).await {
            // It came slowly, or crossed the closing; a successor has longer to answer it than we have.
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

impl Service<Request<Incoming>> for Front {
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
            // A panic stops here: the request it struck is failed, the others go on.
            let answered = AssertUnwindSafe(front.answer(request, framing)).catch_unwind().await;
            let answer = answered.unwrap_or(Answer::Failed);
            // Danger: what comes behind a chunked body is not told apart by its raw bytes.
            Ok(answer.encode(front.shutdown.has_begun() || framing == Framing::Coded))
        })
    }
}
