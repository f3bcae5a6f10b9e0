//! Socket activation: takes over a client listening socket that the platform owns and passes to each process.

use listenfd::ListenFd;
use socket2::SockRef;
use tokio::net::TcpListener;

const LISTEN_FD_ENV: &str = "EDGE_LISTEN_FD"; // holds the descriptor's number
const FIRST_FD: usize = 3; // SD_LISTEN_FDS_START of systemd's socket activation

/// Returns the listening socket named by `EDGE_LISTEN_FD`, or `None` if the variable is unset or empty.
pub fn inherited_listener() -> Result<Option<TcpListener>, String> {
    let Some(value) = std::env::var(LISTEN_FD_ENV).ok().filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    let invalid = |why: &str| format!("{LISTEN_FD_ENV} is {value}: {why}");
    let number = value.parse::<usize>().ok().and_then(|number| number.checked_sub(FIRST_FD));
    let number = number.ok_or_else(|| invalid("expected a descriptor number of at least 3"))?;
    let socket = ListenFd::from_env().take_tcp_listener(number).map_err(|e| invalid(&e.to_string()))?;
    let socket = socket.ok_or_else(|| invalid("LISTEN_FDS and LISTEN_PID do not pass this descriptor"))?;
    match SockRef::from(&socket).is_listener() {
        Ok(true) => {}
        Ok(false) => return Err(invalid("the socket is not listening")),
        Err(error) => return Err(invalid(&error.to_string())),
    }
    socket.set_nonblocking(true).map_err(|e| invalid(&e.to_string()))?;
    TcpListener::from_std(socket).map(Some).map_err(|e| invalid(&e.to_string()))
}
