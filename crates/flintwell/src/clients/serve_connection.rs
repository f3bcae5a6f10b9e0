//! Serves one client connection until it closes, is evicted, or its response is handed over to a successor.

use crate::clients::client_socket::ClientSocket;
use crate::clients::close_reason::CloseReason;
use crate::clients::connection_table::{ConnectionTable, Received};
use crate::clients::cut_off::hand_over_response;
use crate::clients::tracked_io::{TrackedBody, TrackedStream};
use crate::memory::plan::CLIENT_READ_BUFFER_BYTES;
use crate::nodes::response_body::ResponseBody;
use crate::nodes::stream::SharedStream;
use crate::requests::service::{ClientService, Pipelined};
use crate::{log_line, log_request_line};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;
use tower::ServiceBuilder;

const IDLE_TIMEOUT: Duration = Duration::from_secs(10); // a connection without a request for this long is closed
// For an evicted connection to complete a request head that it has begun.
const PARTIAL_HEAD_GRACE: Duration = Duration::from_millis(250);
const SILENT_END_GRACE: Duration = Duration::from_millis(5); // for a connection on which nothing has come

/// Serves the requests of a connection in a task of its own; the permit is returned when it is closed.
pub fn spawn_connection(
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
    service: ClientService,
    table: &Rc<ConnectionTable>,
) {
    let idle_closed = service.shutdown.idle_closed();
    let handover_shutdown = service.shutdown.clone();
    let metrics = service.metrics.clone();
    if let Err(error) = stream.set_nodelay(true) {
        log_line!("setting TCP_NODELAY on a client connection failed: {error}");
    }
    let client = table.register(stream);
    let service = ClientService { client: ClientSocket::new(client.stream.clone()), ..service };
    let stack = ServiceBuilder::new()
        .map_response({
            let client = client.clone();
            move |response: Response<ResponseBody>| {
                let client = client.clone();
                if let ResponseBody::Streamed(body) = response.body() {
                    client.streamed_response.replace(Some(body.stream.clone()));
                    client.stream_started.notify_one();
                }
                response.map(|content| TrackedBody { content, client })
            }
        })
        .map_request({
            let client = client.clone();
            move |mut request: Request<Incoming>| {
                client.mark_busy();
                client.accepts_chunked.set(request.version() == Version::HTTP_11);
                request.extensions_mut().insert(client.scanner.borrow_mut().next_framing());
                if !client.has_read.replace(false) {
                    request.extensions_mut().insert(Pipelined);
                }
                request
            }
        })
        .service(service);
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(CLIENT_READ_BUFFER_BYTES);
    let closing = client.clone();
    // Boxed: the task would hold a second copy of it.
    let serve = Box::pin(async move {
        let stream = TokioIo::new(TrackedStream {
            stream: SharedStream(client.stream.clone()),
            client: client.clone(),
        });
        let mut connection = pin!(http.serve_connection(stream, TowerToHyperService::new(stack)));
        // A successor takes over streamed responses, those in progress and those that start from now on.
        let mut handover_start = pin!(async {
            let successor = handover_shutdown.successor().await;
            client.stream_start().await;
            successor
        });
        // The result of the connection is ignored: the request's handle reports how the request ended.
        tokio::select! {
            // Polled first, so that a request that has arrived is read before its connection counts as idle.
            biased;
            _ = connection.as_mut() => return CloseReason::Finished,
            () = client.read_ahead() => {}
            () = client.head_timeout() => return CloseReason::HeadTimeout,
            () = client.write_timeout() => return CloseReason::WriteTimeout,
            () = client.evict.notified() => client.is_evicted.set(true),
            successor = handover_start.as_mut() => return hand_over_response(connection, &client, &successor).await,
            () = idle_closed => {
                // A request head that arrives slowly during shutdown may still be completed and answered; closing now
                // would lose the request.
                if client.is_idle_after(Received::PartialHead) {
                    tokio::select! {
                        _ = connection.as_mut() => return CloseReason::Finished,
                        () = client.head_timeout() => return CloseReason::HeadTimeout,
                    }
                }
            }
        }
        connection.as_mut().graceful_shutdown();
        // A client that never completes its head would keep its permit while others wait for one, and each of
        // hundreds that send nothing would too. So both get a short time to end.
        let grace =
            if client.is_idle_after(Received::Nothing) { SILENT_END_GRACE } else { PARTIAL_HEAD_GRACE };
        let has_ended = timeout(grace, connection.as_mut()).await.is_ok();
        if !has_ended && client.idle.get().is_none() {
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = client.read_ahead() => {}
                successor = handover_start => {
                    return hand_over_response(connection, &client, &successor).await;
                }
            }
        }
        if client.is_evicted.get() { CloseReason::Evicted } else { CloseReason::Shutdown }
    });
    tokio::task::spawn_local(async move {
        let _permit = permit;
        let reason = serve.await;
        metrics.record_closed_connection(reason);
        if matches!(reason, CloseReason::HeadTimeout | CloseReason::WriteTimeout | CloseReason::Evicted) {
            log_request_line!("client connection closed: {}", reason.name());
        }
        closing.close().await;
    });
}
