//! Long answers handed to the next version: both their sockets, what is not written yet and how the rest comes,
//! from one process to another over a socket of the two. Each has one owner at any time: the old process until
//! the new one has said that it takes it, and nothing is written by the new one before that.

use crate::clients::framing::BodyDecoder;
use crate::nodes::carry::Carry;
use crate::nodes::relay::Carried;
use crate::say;
use crate::staff::counts::{Counts, End};
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

const HELLO: &[u8] = b"flintwell hand-over 1"; // with the version of what follows
const TAKEN: &[u8] = b"taken";
const REFUSED: &[u8] = b"refused";
const ANSWERS: Duration = Duration::from_millis(500); // a process that serves answers within its turns
const MOST: usize = 196_608; // bytes of a message; under what a socket takes at once (212,992)
const ANCILLARY: usize = 128; // bytes; room for more descriptors than we send, so that too many are seen

/// What is said of a long answer; the bytes not written follow.
#[derive(Serialize, Deserialize)]
struct Note {
    /// The place of its class, where it is not counted yet.
    case: Option<usize>,
    /// How the rest comes from its node, if anything still comes.
    rest: Option<BodyDecoder>,
    chunked: bool,
    open: bool,
    left: u64,
    unwritten: usize,
    /// Bytes that have come behind those, in a file.
    kept: u64,
}

/// The successor, as the one who hands over sees it.
pub struct Successor {
    socket: Mutex<Option<UnixSeqpacket>>,
    /// Its last word.
    heard_at: Cell<Instant>,
    folder: PathBuf,
}

/// Finds the successor that takes over at this path; one line in the log where there is none.
pub async fn successor(path: Option<&Path>) -> Option<Successor> {
    let folder = path.and_then(Path::parent).map(Path::to_owned);
    let meets = async {
        let folder = folder.ok_or(io::ErrorKind::NotFound)?;
        let socket = UnixSeqpacket::connect(path.ok_or(io::ErrorKind::NotFound)?).await?;
        socket.send(HELLO).await?;
        let mut hello = [0; HELLO.len() + 1];
        let said = socket.recv(&mut hello).await?.bytes_read();
        if &hello[..said] != HELLO {
            return Err(io::Error::other("it is of another version"));
        }
        Ok(Successor { socket: Mutex::new(Some(socket)), heard_at: Cell::new(Instant::now()), folder })
    };
    match timeout(ANSWERS, meets).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(successor) => Some(successor),
        Err(error) => {
            say!("the successor takes over no long answers: {error}");
            None
        }
    }
}

impl Successor {
    /// Puts pieces of an answer into a file without a name, which goes with it: they are too long for a message.
    pub fn keeps(&self, pieces: impl Iterator<Item = Bytes>) -> io::Result<Option<(File, u64)>> {
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

    /// Whether the successor has it now. Danger: one that does not say so may have it all the same, and a byte
    /// would go out twice; so it is waited for until it says something or is gone.
    async fn takes(&self, carry: &Carry, case: Option<usize>) -> bool {
        let mut socket = loop {
            match timeout(ANSWERS, self.socket.lock()).await {
                Ok(socket) => break socket,
                // Those that wait behind one that gets no word go on with theirs.
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
                say!("a long answer was not handed over: {error}");
                *socket = None;
                false
            }
        }
    }
}

async fn offer(socket: &UnixSeqpacket, carry: &Carry, case: Option<usize>) -> io::Result<bool> {
    let rest = carry.rest.as_ref().map(|rest| rest.1);
    let unwritten = carry.unwritten.len();
    let kept = carry.kept.as_ref().map_or(0, |kept| kept.1);
    let Carry { chunked, open, left, .. } = *carry;
    let note = Note { case, rest, chunked, open, left, unwritten, kept };
    let mut head = serde_json::to_vec(&note)?;
    head.push(b'\n');
    if head.len() + unwritten > MOST {
        return Ok(false);
    }
    let mut descriptors = vec![carry.client.as_fd()];
    descriptors.extend(carry.rest.iter().map(|rest| rest.0.as_fd()));
    descriptors.extend(carry.kept.iter().map(|kept| kept.0.as_fd()));
    let mut ancillary = [0; ANCILLARY];
    let mut ancillary = AncillaryMessageWriter::new(&mut ancillary);
    ancillary.add_fds(descriptors.iter()).map_err(|_| io::Error::other("no room for descriptors"))?;
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

/// Hands an answer over; what the successor does not take is passed on here, as without one.
pub async fn hand_over(successor: &Successor, carry: Carry, carried: Option<Carried>) {
    if successor.takes(&carry, carried.as_ref().map(|carried| carried.case)).await {
        return;
    }
    let whole = carry.pass_on().await;
    carried.into_iter().for_each(|carried| carried.ended(whole));
}

/// What a process needs to take over.
pub struct Inheritance {
    /// Room for connections of clients, and to nodes.
    pub rooms: [Arc<Semaphore>; 2],
    pub counts: Rc<Counts>,
}

impl Inheritance {
    pub async fn take_over(&self, listener: &mut UnixSeqpacketListener) {
        loop {
            match listener.accept().await {
                // One forerunner at a time; another waits.
                Ok(forerunner) => {
                    if let Err(error) = self.hear(&forerunner).await {
                        say!("the hand-over was cut short: {error}");
                    }
                }
                Err(error) => {
                    say!("hand-over: {error}");
                    tokio::time::sleep(ANSWERS).await;
                }
            }
        }
    }

    async fn hear(&self, forerunner: &UnixSeqpacket) -> io::Result<()> {
        let mut hello = [0; HELLO.len() + 1];
        let said = timeout(ANSWERS, forerunner.recv(&mut hello)).await;
        let said = said.map_err(|_| io::ErrorKind::TimedOut)??.bytes_read();
        // Of another version: it hears ours, and goes on by itself.
        forerunner.send(HELLO).await?;
        if &hello[..said] != HELLO {
            return Err(io::Error::other("it is of another version"));
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
                if cut { Err("it is too long") } else { self.read(&message[..info.bytes_read()], sockets) };
            let word = match &taken {
                Ok(_) => TAKEN,
                Err(why) => {
                    say!("a long answer was not taken over: {why}");
                    REFUSED
                }
            };
            // One that is killed before it hears this has left the answer to us all the same.
            let heard = forerunner.send(word).await;
            if let Ok(taken) = taken {
                self.goes_on(taken);
            }
            heard?;
        }
    }

    /// What a message holds, and room for it.
    fn read(&self, message: &[u8], mut sockets: Vec<OwnedFd>) -> Result<Taken, &'static str> {
        let end = message.iter().position(|byte| *byte == b'\n').ok_or("it has no end")?;
        let note: Note = serde_json::from_slice(&message[..end]).map_err(|_| "it is not understood")?;
        let unwritten = message[end + 1..].to_vec();
        let descriptors = 1 + usize::from(note.rest.is_some()) + usize::from(note.kept > 0);
        if unwritten.len() != note.unwritten || sockets.len() != descriptors {
            return Err("it is not whole");
        }
        let file = sockets.pop_if(|_| note.kept > 0).map(File::from);
        let as_told =
            |file: &File| file.metadata().is_ok_and(|data| data.is_file() && data.len() == note.kept);
        if !file.iter().all(as_told) {
            return Err("it holds another file");
        }
        let mut sockets = sockets.into_iter().map(|socket| {
            let stream = TcpStream::from(socket);
            // Danger: what is no connection, and would be read and written for ever, or never.
            stream
                .peer_addr()
                .and_then(|_| stream.set_nonblocking(true))
                .map_err(|_| "it holds no connection")?;
            Stream::from_std(stream).map(Rc::new).map_err(|_| "it holds no connection")
        });
        let client = sockets.next().ok_or("it is not whole")??;
        let node = sockets.next().transpose()?;
        let rooms = self.rooms.iter().take(1 + usize::from(node.is_some()));
        let permits = rooms.map(|room| room.clone().try_acquire_owned().map_err(|_| "there is no room"));
        let permits = permits.collect::<Result<Vec<_>, _>>()?;
        let (rest, left) = (node.zip(note.rest), note.left);
        let kept = file.map(|file| (file, note.kept));
        let (chunked, open) = (note.chunked, note.open);
        let carry = Carry { client, unwritten, kept, rest, chunked, open, left };
        Ok(Taken { carry, case: note.case, permits })
    }

    fn goes_on(&self, Taken { carry, case, permits }: Taken) {
        let counts = self.counts.clone();
        spawn_local(async move {
            let _in_hand = case.map(|_| counts.takes());
            let whole = carry.pass_on().await;
            case.into_iter().for_each(|case| counts.ended(case, End::passed_on(whole)));
            drop(permits);
        });
    }
}

/// An answer that is ours now.
struct Taken {
    carry: Carry,
    case: Option<usize>,
    permits: Vec<OwnedSemaphorePermit>,
}
