//! The client-facing service: health, else decode, serve, encode.

use crate::access;
use crate::answer::Answer;
use crate::counts::Counts;
use crate::decode::Access;
use crate::desk::Desk;
use crate::handoff::HandOffs;
use crate::shutdown::Shutdown;
use bytes::Bytes;
use flintwell_settings::Network;
use futures_util::future::LocalBoxFuture;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::convert::Infallible;
use std::rc::Rc;
use std::task::{Context, Poll};
use tower::Service;

#[derive(Clone)]
pub struct Front {
    pub desk: Rc<Desk>,
    pub hand_offs: HandOffs,
    pub counts: Rc<Counts>,
    pub network: Rc<Network>,
    pub shutdown: Shutdown,
}

impl Service<Request<Incoming>> for Front {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let front = self.clone();
        Box::pin(async move {
            let answer = match request.uri().path() {
                "/health/ready" => Answer::Ready(!front.shutdown.begun()),
                _ => match Access::decode(request, &front.network).await {
                    Ok(access) => access::serve(access, &front.desk, &front.hand_offs, &front.counts).await,
                    Err(malformed) => Answer::Malformed(malformed),
                },
            };
            Ok(answer.encode(front.shutdown.begun()))
        })
    }
}
