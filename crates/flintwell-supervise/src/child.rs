//! Processes of the operating system: starts the program at the listening socket, and sends signals.

use crate::lifecycle::ProcessId;
use crate::log;
use rustix::process::{Pid, Signal, kill_process};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{ExitStatus, Stdio};
use tokio::process::{Child, Command};

/// Moves the listening socket from stdin to descriptor 3 and announces it by systemd's socket activation protocol. The
/// shell's process id stays that of the program, as `LISTEN_PID` requires.
const EXEC_SCRIPT: &str = r#"LISTEN_PID=$$ LISTEN_FDS=1 EDGE_LISTEN_FD=3 exec "$0" "$@" 3<&0 </dev/null"#;

/// A management address for one process.
pub struct ManagementAddress {
    pub address: SocketAddr,
    /// Keeps the system from assigning the port to others. It does not listen, so that the process can.
    reservation: Option<Socket>,
}

impl ManagementAddress {
    /// The first configured address that no process holds, or else a free port beside the first one.
    pub fn choose(configured: &[SocketAddr], held: &[SocketAddr]) -> io::Result<Self> {
        if let Some(address) = configured.iter().find(|address| !held.contains(address)) {
            return Ok(ManagementAddress { address: *address, reservation: None });
        }
        let first = configured.first().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let socket = Socket::new(Domain::for_address(*first), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::new(first.ip(), 0).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ManagementAddress { address, reservation: Some(socket) })
    }
}

/// A process that this supervisor has started. Killed when dropped.
pub struct ChildProcess {
    child: Child,
    _reservation: Option<Socket>,
}

/// What a program is started with.
pub struct Launch<'a> {
    pub program: &'a str,
    /// The program's configuration file.
    pub config: &'a Path,
    /// Directory for its temporary files.
    pub directory: &'a Path,
    /// The clients' listening socket.
    pub socket: &'a OwnedFd,
}

impl ChildProcess {
    pub fn start(launch: &Launch, management: ManagementAddress) -> Result<(ProcessId, Self), String> {
        let program = launch.program;
        let socket = launch.socket.try_clone();
        let socket = socket.map_err(|error| format!("cannot duplicate the listening socket: {error}"))?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", EXEC_SCRIPT, program, "serve", "--config"]).arg(launch.config);
        command.env("EDGE_MGMT", management.address.to_string());
        command.env("EDGE_SUPERVISED", "1").env("TMPDIR", launch.directory);
        command.stdin(Stdio::from(socket)).kill_on_drop(true);
        let child = command.spawn().map_err(|error| format!("{program}: {error}"))?;
        let id = child.id().ok_or_else(|| format!("{program}: ended at once"))?;
        log(&format!("started {program} as process {id}, management address {}", management.address));
        Ok((ProcessId(id), ChildProcess { child, _reservation: management.reservation }))
    }

    /// Asks the process to answer what it has taken, and to exit.
    pub fn terminate(&self) {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        if let Some(Err(error)) = id.map(|id| kill_process(id, Signal::TERM)) {
            log(&format!("a process cannot be asked to stop: {error}"));
        }
    }

    pub fn kill(&mut self) {
        if let Err(error) = self.child.start_kill() {
            log(&format!("a process cannot be killed: {error}"));
        }
    }

    /// How it has exited, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

#[cfg(test)]
mod tests;
