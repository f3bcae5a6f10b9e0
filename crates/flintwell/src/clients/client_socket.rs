//! What the socket of a request's client shows: whether the client has disconnected, and what it has sent.

use futures_util::FutureExt;
use rustix::io::ioctl_fionread;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// The socket of a request's client; without one the client counts as connected.
#[derive(Clone, Default)]
pub struct ClientSocket(Option<Rc<TcpStream>>);

impl ClientSocket {
    /// A socket that is shared with the client's connection.
    pub fn new(stream: Rc<TcpStream>) -> Self {
        ClientSocket(Some(stream))
    }

    /// Number of bytes that have arrived and were not read from the socket; `u64::MAX` if that is unknown.
    pub fn unread_bytes(&self) -> u64 {
        let Some(stream) = &self.0 else { return 0 };
        ioctl_fionread(&**stream).unwrap_or_else(|_| if self.has_unread() { u64::MAX } else { 0 })
    }

    fn has_unread(&self) -> bool {
        let Some(stream) = &self.0 else { return false };
        let peeked = SockRef::from(&**stream).peek(&mut [MaybeUninit::uninit()]);
        !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the client has closed its connection, or its sending side; checked directly before an attempt.
    ///
    /// The HTTP server notices a close only after a request has begun, and not at all while bytes of the next request
    /// are unread, so requests of disconnected clients would be forwarded. Peeking at unread bytes does not show the
    /// end of the stream after them either; the runtime's readiness does, so it is checked first.
    pub fn has_disconnected(&self) -> bool {
        let Some(stream) = &self.0 else { return false };
        let ready = stream.ready(Interest::READABLE).now_or_never();
        if ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed())) {
            return true;
        }
        loop {
            match SockRef::from(&**stream).peek(&mut [MaybeUninit::uninit()]) {
                Ok(bytes) => return bytes == 0,
                // Interrupted by a signal, which says nothing about the client: peek again.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }
}
