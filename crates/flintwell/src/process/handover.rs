//! Handover of streamed responses to the successor process, e.g. the next version. Over a Unix socket the old process
//! sends the client and node sockets of each response, the bytes not yet written and the state of its framing. Every
//! response has exactly one owner: the old process until the new one has acknowledged it. The new process writes
//! nothing before that.

use crate::clients::framing::BodyDecoder;
use crate::nodes::response_transfer::ResponseTransfer;
use crate::nodes::response_body::RequestGuard;
use crate::log_line;
use crate::management::metrics::{Metrics, RequestOutcome};
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
const ANSWERS: Duration = Duration::from_millis(500); // ample for a process that is not stalled
const MOST: usize = 196_608; // less than the default send buffer of a socket (212,992)
const ANCILLARY: usize = 128; // room for more descriptors than are ever sent, so that excess ones are detected

/// Header of a handover message: one line of JSON, followed by the bytes not yet written to the client.
#[derive(Serialize, Deserialize)]
struct Note {
    /// Index of the request's class, if its outcome has not been counted yet.
    case: Option<usize>,
    /// Framing state of the data still to come from the node; `None` if the node has sent everything.
    rest: Option<BodyDecoder>,
    /// Whether the client gets the response in chunked coding.
    chunked: bool,
    /// Whether the final chunk still has to be written.
    open: bool,
    /// Maximum number of bytes still accepted from the node.
    left: u64,
    /// Number of bytes that follow the header.
    unwritten: usize,
    /// Length of the file with data that comes after those bytes; 0 if there is no file.
    kept: u64,
}

/// Connection of the old process to its successor.
pub struct Successor {
    socket: Mutex<Option<UnixSeqpacket>>,
    /// Time of the last reply or error.
    heard_at: Cell<Instant>,
    folder: PathBuf,
}

/// Connects to the successor that listens at this path; logs one line if that fails.
pub async fn successor(path: Option<&Path>) -> Option<Successor> {
    let folder = path.and_then(Path::parent).map(Path::to_owned);
    let meets = async {
        let folder = folder.ok_or(io::ErrorKind::NotFound)?;
        let socket = UnixSeqpacket::connect(path.ok_or(io::ErrorKind::NotFound)?).await?;
        socket.send(HELLO).await?;
        let mut hello = [0; HELLO.len() + 1];
        let said = socket.recv(&mut hello).await?.bytes_read();
        if &hello[..said] != HELLO {
            return Err(io::Error::other("it speaks another version of the protocol"));
        }
        Ok(Successor { socket: Mutex::new(Some(socket)), heard_at: Cell::new(Instant::now()), folder })
    };
    match timeout(ANSWERS, meets).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
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
                None => file.insert(tempfile::tempfile_in(&self.folder)?),
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
    async fn takes(&self, carry: &ResponseTransfer, case: Option<usize>) -> bool {
        let mut socket = loop {
            match timeout(ANSWERS, self.socket.lock()).await {
                Ok(socket) => break socket,
                // Responses queued behind one without a reply stay in this process.
                Err(_) if self.heard_at.get().elapsed() > ANSWERS => return false,
                Err(_) => {}
            }
        };
        let Some(open) = socket.as_ref() else { return false };
        let offered = offer(open, carry, case).await;
        self.heard_at.set(Instant::now());
        match offered {
            Ok(taken) => taken,
            Err(error) => {
                log_line!("handover of a response failed: {error}");
                *socket = None;
                false
            }
        }
    }
}

async fn offer(socket: &UnixSeqpacket, carry: &ResponseTransfer, case: Option<usize>) -> io::Result<bool> {
    let rest = carry.upstream.as_ref().map(|rest| rest.1);
    let unwritten = carry.unwritten.len();
    let kept = carry.buffered.as_ref().map_or(0, |kept| kept.1);
    let ResponseTransfer { chunked, is_end_pending: open, max_remaining_bytes: left, .. } = *carry;
    let note = Note { case, rest, chunked, open, left, unwritten, kept };
    let mut head = serde_json::to_vec(&note)?;
    head.push(b'\n');
    if head.len() + unwritten > MOST {
        return Ok(false);
    }
    let mut descriptors = vec![carry.client.as_fd()];
    descriptors.extend(carry.upstream.iter().map(|rest| rest.0.as_fd()));
    descriptors.extend(carry.buffered.iter().map(|kept| kept.0.as_fd()));
    let mut ancillary = [0; ANCILLARY];
    let mut ancillary = AncillaryMessageWriter::new(&mut ancillary);
    ancillary.add_fds(descriptors.iter()).map_err(|_| io::Error::other("descriptors exceed the ancillary buffer"))?;
    let parts = [IoSlice::new(&head), IoSlice::new(&carry.unwritten)];
    socket.send_vectored_with_ancillary(&parts, &mut ancillary).await?;
    let mut word = [0; 16];
    let said = socket.recv(&mut word).await?.bytes_read();
    match &word[..said] {
        TAKEN => Ok(true),
        b"" => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(false),
    }
}

/// Hands a response over to the successor. If the successor does not accept it, this process relays the rest itself.
pub async fn hand_over(successor: &Successor, carry: ResponseTransfer, carried: Option<RequestGuard>) {
    if successor.takes(&carry, carried.as_ref().map(|carried| carried.class_index)).await {
        return;
    }
    let whole = carry.run().await;
    carried.into_iter().for_each(|carried| carried.record_end(whole));
}

/// Receiving side of the handover in the successor.
pub struct Inheritance {
    /// Connection limits for clients and for nodes.
    pub rooms: [Arc<Semaphore>; 2],
    pub counts: Rc<Metrics>,
}

impl Inheritance {
    /// Accepts predecessors and their responses; runs until the process ends.
    pub async fn take_over(&self, listener: &mut UnixSeqpacketListener) {
        loop {
            match listener.accept().await {
                // One predecessor at a time; others wait in the listen queue.
                Ok(forerunner) => {
                    if let Err(error) = self.hear(&forerunner).await {
                        log_line!("handover interrupted: {error}");
                    }
                }
                Err(error) => {
                    log_line!("handover: accept failed: {error}");
                    tokio::time::sleep(ANSWERS).await;
                }
            }
        }
    }

    async fn hear(&self, forerunner: &UnixSeqpacket) -> io::Result<()> {
        let mut hello = [0; HELLO.len() + 1];
        let said = timeout(ANSWERS, forerunner.recv(&mut hello)).await;
        let said = said.map_err(|_| io::ErrorKind::TimedOut)??.bytes_read();
        // A predecessor with another protocol version learns ours from this and keeps its responses.
        forerunner.send(HELLO).await?;
        if &hello[..said] != HELLO {
            return Err(io::Error::other("the predecessor speaks another version of the protocol"));
        }
        let mut message = vec![0; MOST];
        loop {
            let mut ancillary = [0; ANCILLARY];
            let (info, descriptors) = forerunner.recv_with_ancillary(&mut message, &mut ancillary).await?;
            let cut = info.truncated() || info.ancillary_truncated();
            let mut sockets = Vec::new();
            for part in descriptors.into_messages() {
                if let OwnedAncillaryMessage::FileDescriptors(descriptors) = part {
                    sockets.extend(descriptors);
                }
            }
            if info.bytes_read() == 0 && sockets.is_empty() {
                return Ok(());
            }
            let taken =
                if cut { Err("message too long") } else { self.read(&message[..info.bytes_read()], sockets) };
            let word = match &taken {
                Ok(_) => TAKEN,
                Err(why) => {
                    log_line!("a response was not taken over: {why}");
                    REFUSED
                }
            };
            // If the predecessor is killed before it reads the reply, the response is still ours.
            let heard = forerunner.send(word).await;
            if let Ok(taken) = taken {
                self.goes_on(taken);
            }
            heard?;
        }
    }

    /// Decodes a message, checks its descriptors and reserves room for its connections.
    fn read(&self, message: &[u8], mut sockets: Vec<OwnedFd>) -> Result<Taken, &'static str> {
        let end = message.iter().position(|byte| *byte == b'\n').ok_or("header has no end")?;
        let note: Note = serde_json::from_slice(&message[..end]).map_err(|_| "header is invalid")?;
        let unwritten = message[end + 1..].to_vec();
        let descriptors = 1 + usize::from(note.rest.is_some()) + usize::from(note.kept > 0);
        if unwritten.len() != note.unwritten || sockets.len() != descriptors {
            return Err("bytes or descriptors are missing or in excess");
        }
        let file = sockets.pop_if(|_| note.kept > 0).map(File::from);
        let as_told =
            |file: &File| file.metadata().is_ok_and(|data| data.is_file() && data.len() == note.kept);
        if !file.iter().all(as_told) {
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
        let rooms = self.rooms.iter().take(1 + usize::from(node.is_some()));
        let permits = rooms.map(|room| room.clone().try_acquire_owned().map_err(|_| "connection limit reached"));
        let permits = permits.collect::<Result<Vec<_>, _>>()?;
        let (rest, left) = (node.zip(note.rest), note.left);
        let kept = file.map(|file| (file, note.kept));
        let (chunked, open) = (note.chunked, note.open);
        let carry = ResponseTransfer { client, unwritten, buffered: kept, upstream: rest, chunked, is_end_pending: open, max_remaining_bytes: left };
        Ok(Taken { carry, case: note.case, permits })
    }

    fn goes_on(&self, Taken { carry, case, permits }: Taken) {
        let counts = self.counts.clone();
        spawn_local(async move {
            let _in_hand = case.map(|_| counts.start_request());
            let whole = carry.run().await;
            case.into_iter().for_each(|case| counts.record_outcome(case, RequestOutcome::of_relay(whole)));
            drop(permits);
        });
    }
}

/// A response received from the predecessor.
struct Taken {
    carry: ResponseTransfer,
    case: Option<usize>,
    permits: Vec<OwnedSemaphorePermit>,
}
