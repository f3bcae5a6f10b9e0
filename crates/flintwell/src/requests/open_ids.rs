//! Ids of open requests, known to all processes of this proxy.
//!
//! An open id is a lock on one byte of a file that the processes share; the hash of the id is the offset of the byte. The
//! kernel releases the locks of a process when it ends, however it ends.

use crate::process::store::Store;
use crate::requests::id_hash::IdHash;
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, fcntl};
use nix::libc;
use std::fs::File;
use std::io;

const FILE: &str = "open-ids";

/// Ids that are open at this process.
pub struct OpenIds {
    /// None without a directory for files; there is no other process then.
    file: Option<File>,
}

impl OpenIds {
    /// Opens the file that the processes of this proxy share.
    pub fn open(store: &Store) -> io::Result<Self> {
        let open = |path| File::options().write(true).create(true).truncate(false).open(path);
        Ok(OpenIds { file: store.path(FILE).map(open).transpose()? })
    }

    /// Marks an id as open at this process; returns whether it was not open at another one.
    pub fn try_claim(&self, id: IdHash) -> io::Result<bool> {
        match self.set_lock(id, libc::F_WRLCK) {
            Ok(()) => Ok(true),
            Err(Errno::EAGAIN | Errno::EACCES) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Marks an id as not open any more.
    pub fn release(&self, id: IdHash) -> io::Result<()> {
        Ok(self.set_lock(id, libc::F_UNLCK)?)
    }

    /// The lock belongs to the open file, not to the process: closing another descriptor of the file does not release it.
    fn set_lock(&self, id: IdHash, kind: i32) -> Result<(), Errno> {
        let Some(file) = &self.file else { return Ok(()) };
        let lock = libc::flock {
            l_type: kind as libc::c_short,
            l_whence: libc::SEEK_SET as libc::c_short,
            // An offset is not negative.
            l_start: (id.0 >> 1) as libc::off_t,
            l_len: 1,
            l_pid: 0,
        };
        fcntl(file, FcntlArg::F_OFD_SETLK(&lock)).map(drop)
    }
}

#[cfg(test)]
mod tests;
