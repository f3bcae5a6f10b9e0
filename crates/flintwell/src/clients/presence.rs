//! Whether the client of a request is still there.

use futures_util::FutureExt;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::TcpStream;

#[derive(Clone, Default)]
pub struct Presence(Option<Rc<TcpStream>>);

impl Presence {
    pub fn on(stream: Rc<TcpStream>) -> Self {
        Presence(Some(stream))
    }

    /// It has closed its connection, or its side of it; asked directly before an attempt. Danger: the server's reader
    /// notices that only after a request has begun, and not at all while bytes of the next one wait in its buffer; and to
    /// look at those bytes hides the end behind them, which the runtime tells apart.
    pub fn left(&self) -> bool {
        let Some(stream) = &self.0 else { return false };
        let ready = stream.ready(Interest::READABLE).now_or_never();
        if ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed())) {
            return true;
        }
        loop {
            match SockRef::from(&**stream).peek(&mut [MaybeUninit::uninit()]) {
                Ok(bytes) => return bytes == 0,
                // A signal came between: nothing is said of the client.
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }
}
