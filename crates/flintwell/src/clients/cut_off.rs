//! Cuts a streamed response off between two bytes, so that a successor process can send the rest.

use crate::clients::client_connection::ClientConnection;
use crate::clients::close_reason::CloseReason;
use crate::log_line;
use crate::nodes::response_body::{RequestGuard, ResponseStream};
use crate::nodes::response_transfer::ResponseTransfer;
use crate::process::handover::{self, Successor};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

// Runtime turns; far more than it takes to drain what was read ahead of a response.
const MAX_CUT_OFF_TURNS: usize = 256;

impl ClientConnection {
    /// Cuts off the response that `connection` is sending and returns the remainder. The connection and the node's
    /// parser are drained first; otherwise the bytes buffered there would be missing. None if the connection or the
    /// response failed meanwhile.
    async fn cut_off<C: Future<Output = hyper::Result<()>>>(
        &self,
        mut connection: Pin<&mut C>,
        response: &ResponseStream,
        successor: &Successor,
    ) -> Option<(ResponseTransfer, Option<RequestGuard>)> {
        self.unwritten.replace(Some(Vec::new()));
        for _ in 0..MAX_CUT_OFF_TURNS {
            let poll = poll_fn(|cx| {
                response.poll_read_ahead(cx);
                Poll::Ready(connection.as_mut().poll(cx))
            });
            if let Poll::Ready(Err(_)) = poll.await {
                return None;
            }
            // All that the connection had buffered is in `unwritten` now, because those writes never block.
            if response.is_drained() {
                let unwritten = self.unwritten.borrow_mut().as_mut().map(std::mem::take)?;
                let (upstream, max_remaining_bytes) = response.take_upstream()?;
                let buffered = successor
                    .spool(response.drain_buffered())
                    .inspect_err(|error| log_line!("buffering a response for handover failed: {error}"))
                    .ok()?;
                let client = self.stream.clone();
                return Some((
                    ResponseTransfer {
                        client,
                        unwritten,
                        buffered,
                        upstream,
                        chunked: !response.has_known_length,
                        is_end_pending: response.is_end_pending(),
                        max_remaining_bytes,
                    },
                    response.take_request(),
                ));
            }
            tokio::task::yield_now().await;
        }
        None
    }
}

/// Hands the streamed response in progress over to the successor, if it can be cut off, or completes it here. Returns why
/// the connection has ended.
pub async fn hand_over_response<C: Future<Output = hyper::Result<()>>>(
    mut connection: Pin<&mut C>,
    client: &Rc<ClientConnection>,
    successor: &Successor,
) -> CloseReason {
    let response = client.streamed_response.borrow().clone();
    match response
        .filter(|response| (response.has_known_length || client.accepts_chunked.get()) && response.halt())
    {
        Some(response) => {
            if let Some((transfer, request)) = client.cut_off(connection.as_mut(), &response, successor).await
            {
                handover::hand_over(successor, transfer, request).await;
            }
            CloseReason::HandedOver
        }
        // It is completed here, if the client reads it in time.
        None => tokio::select! {
            biased;
            _ = connection => CloseReason::Finished,
            () = client.read_ahead() => CloseReason::Finished,
            () = client.write_timeout() => CloseReason::WriteTimeout,
        },
    }
}
