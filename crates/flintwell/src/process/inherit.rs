//! Socket activation: takes over a client listening socket that the platform owns and passes to each process.

use listenfd::ListenFd;
use socket2::SockRef;
use tokio::net::TcpListener;

const NAMED: &str = "EDGE_LISTEN_FD"; // holds the descriptor's number
const FIRST: usize = 3; // SD_LISTEN_FDS_START of systemd's socket activation

/// Returns the listening socket named by `EDGE_LISTEN_FD`, or `None` if the variable is unset or empty.
pub fn listener() -> Result<Option<TcpListener>, String> {
    let Some(named) = std::env::var(NAMED).ok().filter(|named| !named.is_empty()) else { return Ok(None) };
    let wrong = |why: &str| format!("{NAMED} is {named}: {why}");
    let number = named.parse::<usize>().ok().and_then(|number| number.checked_sub(FIRST));
    let number = number.ok_or_else(|| wrong("expected a descriptor number of at least 3"))?;
    let taken = ListenFd::from_env().take_tcp_listener(number).map_err(|e| wrong(&e.to_string()))?;
    let socket = taken.ok_or_else(|| wrong("LISTEN_FDS and LISTEN_PID do not pass this descriptor"))?;
    match SockRef::from(&socket).is_listener() {
        Ok(true) => {}
        Ok(false) => return Err(wrong("the socket is not listening")),
        Err(error) => return Err(wrong(&error.to_string())),
    }
    socket.set_nonblocking(true).map_err(|e| wrong(&e.to_string()))?;
    TcpListener::from_std(socket).map(Some).map_err(|e| wrong(&e.to_string()))
}
