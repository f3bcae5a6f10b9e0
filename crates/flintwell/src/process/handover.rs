//! Handover of streamed responses to the successor process, e.g. the next version. Over a Unix socket the old process
//! sends the client and node sockets of each response, the bytes not yet written and the state of its framing. Every
//! response has exactly one owner: the old process until the new one has acknowledged it. The new process writes
//! nothing before that.

use crate::clients::framing::BodyDecoder;
use crate::log_line;
use crate::management::metrics::{Metrics, RequestOutcome};
use crate::memory::budget::MemoryCharge;
use crate::memory::plan::MemoryBudgets;
use crate::nodes::response_body::RequestGuard;
use crate::nodes::response_transfer::{CHUNK_BYTES, ResponseTransfer};
use crate::requests::id_hash::IdHash;
use crate::requests::request_ids::{RequestIds, TakenOverId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::fs::File;
use std::io::{self, IoSlice, Seek, Write};
use std::net::TcpStream;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream as Stream;
use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_seqpacket::ancillary::{AncillaryMessageWriter, OwnedAncillaryMessage};
use tokio_seqpacket::{UnixSeqpacket, UnixSeqpacketListener};

const HELLO: &[u8] = b"flintwell hand-over 1"; // ends in the protocol version
const TAKEN: &[u8] = b"taken";
const REFUSED: &[u8] = b"refused";
const REPLY_TIMEOUT: Duration = Duration::from_millis(500); // ample for a process that is not stalled
const MAX_MESSAGE_BYTES: usize = 196_608; // less than the default send buffer of a socket (212,992)
const ANCILLARY_BYTES: usize = 128; // room for more descriptors than are ever sent, so that excess ones are detected

/// Header of a handover message: one line of JSON, followed by the bytes not yet written to the client.
#[derive(Serialize, Deserialize)]
struct Header {
    /// Index of the request's class, if its outcome has not been counted yet.
    #[serde(rename = "case")]
    class_index: Option<usize>,
    /// Framing state of the data still to come from the node; `None` if the node has sent everything.
    #[serde(rename = "rest")]
    decoder: Option<BodyDecoder>,
    /// Whether the client gets the response in chunked coding.
    chunked: bool,
    /// Whether the final chunk still has to be written.
    #[serde(rename = "open")]
    is_end_pending: bool,
    /// Maximum number of bytes still accepted from the node.
    #[serde(rename = "left")]
    max_remaining_bytes: u64,
    /// Number of bytes that follow the header.
    #[serde(rename = "unwritten")]
    unwritten_bytes: usize,
    /// Length of the file with data that comes after those bytes; 0 if there is no file.
    #[serde(rename = "kept")]
    buffered_bytes: u64,
    /// Stands for the request's id, if the request has not ended; missing from older versions.
    #[serde(rename = "id", default)]
    id_hash: Option<IdHash>,
}

/// Connection of the old process to its successor.
pub struct Successor {
    socket: Mutex<Option<UnixSeqpacket>>,
    /// Time of the last reply or error.
    last_reply_at: Cell<Instant>,
    directory: PathBuf,
}

/// Connects to the successor that listens at this path; logs one line if that fails.
pub async fn connect(path: Option<&Path>) -> Option<Successor> {
    let directory = path.and_then(Path::parent).map(Path::to_owned);
    let connecting = async {
        let directory = directory.ok_or(io::ErrorKind::NotFound)?;
        let socket = UnixSeqpacket::connect(path.ok_or(io::ErrorKind::NotFound)?).await?;
        socket.send(HELLO).await?;
        let mut hello = [0; HELLO.len() + 1];
        let length = socket.recv(&mut hello).await?.bytes_read();
        if &hello[..length] != HELLO {
            return Err(io::Error::other("it speaks another version of the protocol"));
        }
        Ok(Successor {
            socket: Mutex::new(Some(socket)),
            last_reply_at: Cell::new(Instant::now()),
            directory,
        })
    };
    match timeout(REPLY_TIMEOUT, connecting).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(successor) => Some(successor),
        Err(error) => {
            log_line!("the successor takes over no long responses: {error}");
            None
        }
    }
}

impl Successor {
    /// Writes buffered parts of a response to an unnamed temporary file, which is sent along as a descriptor, since
    /// they may exceed the maximum message size. Returns the file and its length, or `None` without any parts.
    pub fn spool(&self, pieces: impl Iterator<Item = Bytes>) -> io::Result<Option<(File, u64)>> {
        let (mut file, mut length) = (None, 0);
        for piece in pieces {
            let file = match &mut file {
                Some(file) => file,
                None => file.insert(tempfile::tempfile_in(&self.directory)?),
            };
            file.write_all(&piece)?;
            length += piece.len() as u64;
        }
        file.as_mut().map_or(Ok(()), File::rewind)?;
        Ok(file.map(|file| (file, length)))
    }

    /// Offers a response to the successor; returns whether the successor owns it now. A successor that has not replied
    /// may have accepted the response all the same, and if both processes wrote, bytes would be sent twice. So this
    /// waits without a timeout until the successor replies or the connection ends.
    async fn offer(&self, transfer: &ResponseTransfer, request: Option<&RequestGuard>) -> bool {
        let mut socket = loop {
            match timeout(REPLY_TIMEOUT, self.socket.lock()).await {
                Ok(socket) => break socket,
                // Responses queued behind one without a reply stay in this process.
                Err(_) if self.last_reply_at.get().elapsed() > REPLY_TIMEOUT => return false,
                Err(_) => {}
            }
        };
        let Some(connection) = socket.as_ref() else { return false };
        let result = send_offer(connection, transfer, request).await;
        self.last_reply_at.set(Instant::now());
        match result {
            Ok(accepted) => accepted,
            Err(error) => {
                log_line!("handover of a response failed: {error}");
                *socket = None;
                false
            }
        }
    }
}

async fn send_offer(
    socket: &UnixSeqpacket,
    transfer: &ResponseTransfer,
    request: Option<&RequestGuard>,
) -> io::Result<bool> {
    let decoder = transfer.upstream.as_ref().map(|upstream| upstream.1);
    let unwritten_bytes = transfer.unwritten.len();
    let buffered_bytes = transfer.buffered.as_ref().map_or(0, |buffered| buffered.1);
    let ResponseTransfer { chunked, is_end_pending, max_remaining_bytes, .. } = *transfer;
    let header = Header {
        class_index: request.map(|request| request.class_index),
        id_hash: request.and_then(RequestGuard::id_hash),
        decoder,
        chunked,
        is_end_pending,
        max_remaining_bytes,
        unwritten_bytes,
        buffered_bytes,
    };
    let mut head = serde_json::to_vec(&header)?;
    head.push(b'\n');
    if head.len() + unwritten_bytes > MAX_MESSAGE_BYTES {
        return Ok(false);
    }
    let mut descriptors = vec![transfer.client.as_fd()];
    descriptors.extend(transfer.upstream.iter().map(|upstream| upstream.0.as_fd()));
    descriptors.extend(transfer.buffered.iter().map(|buffered| buffered.0.as_fd()));
    let mut ancillary = [0; ANCILLARY_BYTES];
    let mut ancillary = AncillaryMessageWriter::new(&mut ancillary);
    ancillary
        .add_fds(descriptors.iter())
        .map_err(|_| io::Error::other("descriptors exceed the ancillary buffer"))?;
    let parts = [IoSlice::new(&head), IoSlice::new(&transfer.unwritten)];
    socket.send_vectored_with_ancillary(&parts, &mut ancillary).await?;
    let mut reply = [0; 16];
    let length = socket.recv(&mut reply).await?.bytes_read();
    match &reply[..length] {
        TAKEN => Ok(true),
        b"" => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(false),
    }
}

/// Hands a response over to the successor. If the successor does not accept it, this process relays the rest itself.
pub async fn hand_over(successor: &Successor, transfer: ResponseTransfer, request: Option<RequestGuard>) {
    if successor.offer(&transfer, request.as_ref()).await {
        return;
    }
    let completed = transfer.run().await;
    request.into_iter().for_each(|request| request.record_end(completed));
}

/// Receiving side of the handover in the successor.
pub struct HandoverReceiver {
    /// Connection limits for clients and for nodes.
    pub limits: [Arc<Semaphore>; 2],
    pub budgets: MemoryBudgets,
    pub metrics: Rc<Metrics>,
    pub request_ids: Rc<RequestIds>,
}

impl HandoverReceiver {
    /// Accepts predecessors and their responses; runs until the process ends.
    pub async fn run(&self, listener: &mut UnixSeqpacketListener) {
        loop {
            match listener.accept().await {
                // One predecessor at a time; others wait in the listen queue.
                Ok(predecessor) => {
                    if let Err(error) = self.receive(&predecessor).await {
                        log_line!("handover interrupted: {error}");
                    }
                }
                Err(error) => {
                    log_line!("handover: accept failed: {error}");
                    tokio::time::sleep(REPLY_TIMEOUT).await;
                }
            }
        }
    }

    async fn receive(&self, predecessor: &UnixSeqpacket) -> io::Result<()> {
        let mut hello = [0; HELLO.len() + 1];
        let received = timeout(REPLY_TIMEOUT, predecessor.recv(&mut hello)).await;
        let length = received.map_err(|_| io::ErrorKind::TimedOut)??.bytes_read();
        // A predecessor with another protocol version learns ours from this and keeps its responses.
        predecessor.send(HELLO).await?;
        if &hello[..length] != HELLO {
            return Err(io::Error::other("the predecessor speaks another version of the protocol"));
        }
        let mut message = vec![0; MAX_MESSAGE_BYTES];
        loop {
            let mut ancillary = [0; ANCILLARY_BYTES];
            let (info, descriptors) = predecessor.recv_with_ancillary(&mut message, &mut ancillary).await?;
            let is_truncated = info.truncated() || info.ancillary_truncated();
            let mut sockets = Vec::new();
            for part in descriptors.into_messages() {
                if let OwnedAncillaryMessage::FileDescriptors(descriptors) = part {
                    sockets.extend(descriptors);
                }
            }
            if info.bytes_read() == 0 && sockets.is_empty() {
                return Ok(());
            }
            let accepted = if is_truncated {
                Err("message or descriptors truncated")
            } else {
                self.decode(&message[..info.bytes_read()], sockets)
            };
            let reply = match &accepted {
                Ok(_) => TAKEN,
                Err(why) => {
                    log_line!("a response was not taken over: {why}");
                    REFUSED
                }
            };
            // If the predecessor is killed before it reads the reply, the response is still ours.
            let sent = predecessor.send(reply).await;
            if let Ok(response) = accepted {
                self.resume(response);
            }
            sent?;
        }
    }

    /// Decodes a message, checks its descriptors and reserves room for its connections.
    fn decode(&self, message: &[u8], mut sockets: Vec<OwnedFd>) -> Result<AcceptedResponse, &'static str> {
        let end = message.iter().position(|byte| *byte == b'\n').ok_or("header has no end")?;
        let header: Header = serde_json::from_slice(&message[..end]).map_err(|_| "header is invalid")?;
        let unwritten = message[end + 1..].to_vec();
        let descriptors = 1 + usize::from(header.decoder.is_some()) + usize::from(header.buffered_bytes > 0);
        if unwritten.len() != header.unwritten_bytes || sockets.len() != descriptors {
            return Err("bytes or descriptors are missing or in excess");
        }
        let file = sockets.pop_if(|_| header.buffered_bytes > 0).map(File::from);
        let has_announced_length = |file: &File| {
            file.metadata().is_ok_and(|data| data.is_file() && data.len() == header.buffered_bytes)
        };
        if !file.iter().all(has_announced_length) {
            return Err("buffered data is not a file of the announced length");
        }
        let mut sockets = sockets.into_iter().map(|socket| {
            let stream = TcpStream::from(socket);
            // Reading or writing a descriptor that is not a connected socket could go on for ever or never complete.
            stream
                .peer_addr()
                .and_then(|_| stream.set_nonblocking(true))
                .map_err(|_| "descriptor is not a connected socket")?;
            Stream::from_std(stream).map(Rc::new).map_err(|_| "descriptor is not a connected socket")
        });
        let client = sockets.next().ok_or("client socket is missing")??;
        let node = sockets.next().transpose()?;
        let limits = self.limits.iter().take(1 + usize::from(node.is_some()));
        let permits =
            limits.map(|limit| limit.clone().try_acquire_owned().map_err(|_| "connection limit reached"));
        let permits = permits.collect::<Result<Vec<_>, _>>()?;
        let transfer_bytes = CHUNK_BYTES + unwritten.len();
        let transfer_charge = self.budgets.transfers.try_charge(transfer_bytes).ok_or("no memory for it")?;
        // The file lies in a directory that may be in memory, too.
        let file_bytes = usize::try_from(header.buffered_bytes).map_err(|_| "buffered data is too long")?;
        let file_charge =
            self.budgets.responses.try_charge(file_bytes).ok_or("no memory for buffered data")?;
        let transfer = ResponseTransfer {
            client,
            unwritten,
            buffered: file.map(|file| (file, header.buffered_bytes)),
            upstream: node.zip(header.decoder),
            chunked: header.chunked,
            is_end_pending: header.is_end_pending,
            max_remaining_bytes: header.max_remaining_bytes,
        };
        let charges = [transfer_charge, file_charge];
        // The predecessor releases the id when it reads that the response is taken.
        let id = header.id_hash.map(|id| self.request_ids.take_over(id));
        Ok(AcceptedResponse { transfer, class_index: header.class_index, id, permits, charges })
    }

    fn resume(&self, response: AcceptedResponse) {
        let AcceptedResponse { transfer, class_index, id, permits, charges } = response;
        let metrics = self.metrics.clone();
        spawn_local(async move {
            let _in_flight = class_index.map(|_| metrics.start_request());
            let completed = tokio::select! {
                completed = transfer.run() => completed,
                () = keep_open(id.as_ref()) => false,
            };
            class_index
                .into_iter()
                .for_each(|index| metrics.record_outcome(index, RequestOutcome::of_relay(completed)));
            drop((permits, charges));
        });
    }
}

/// Keeps the id open for the other processes; never completes.
async fn keep_open(id: Option<&TakenOverId>) {
    if let Some(id) = id {
        id.claim().await;
    }
    std::future::pending().await
}

/// A response received from the predecessor.
struct AcceptedResponse {
    transfer: ResponseTransfer,
    class_index: Option<usize>,
    id: Option<TakenOverId>,
    permits: Vec<OwnedSemaphorePermit>,
    charges: [MemoryCharge; 2],
}
