//! Files that outlive the process. Each is written under a temporary name and then renamed, so that it is replaced
//! atomically.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

const MAX_FILE_BYTES: u64 = 4 << 20; // a list of ten thousand nodes
const MAX_FILES: usize = 4_096; // far more than the nodes of a fleet

/// Directory for the files of this proxy. Without a directory, writes are discarded and reads find nothing.
#[derive(Clone)]
pub struct Store(Option<PathBuf>);

impl Store {
    /// Creates the directory of the proxy `name` in `parent`, the directory for temporary files, if there is one.
    pub fn open(parent: Option<&Path>, name: &str) -> io::Result<Self> {
        let Some(parent) = parent else { return Ok(Store(None)) };
        let directory = parent.join(format!("flintwell-{}", escape_file_name(name)));
        fs::create_dir_all(&directory)?;
        Ok(Store(Some(directory)))
    }

    /// Whether there is a directory to store files in.
    pub fn is_persistent(&self) -> bool {
        self.0.is_some()
    }

    /// Replaces a file atomically: a process killed while writing in place would leave a partial file to its successor.
    pub fn write(&self, file: &str, text: &[u8]) -> io::Result<()> {
        let Some(directory) = &self.0 else { return Ok(()) };
        let temporary = directory.join(format!("new-{}", std::process::id()));
        fs::write(&temporary, text)?;
        fs::rename(&temporary, directory.join(file))
    }

    /// Removes a file; a missing file is no error.
    pub fn remove(&self, file: &str) {
        let _ = self.0.as_ref().map(|directory| fs::remove_file(directory.join(file)));
    }

    /// Path of a file, whether or not it exists.
    pub fn path(&self, file: &str) -> Option<PathBuf> {
        self.0.as_ref().map(|directory| directory.join(file))
    }

    /// Reads a file, up to a maximum size.
    pub fn read(&self, file: &str) -> Option<Vec<u8>> {
        let mut text = Vec::new();
        let opened = fs::File::open(self.path(file)?).ok()?;
        opened.take(MAX_FILE_BYTES).read_to_end(&mut text).ok()?;
        Some(text)
    }

    /// Names of the files that start with `prefix`.
    pub fn list_files(&self, prefix: &str) -> Vec<String> {
        let Some(directory) = &self.0 else { return Vec::new() };
        let entries = fs::read_dir(directory).into_iter().flatten().flatten();
        let names = entries.filter_map(|entry| entry.file_name().into_string().ok());
        names.filter(|name| name.starts_with(prefix)).take(MAX_FILES).collect()
    }
}

/// Escapes a name for use in a file name: bytes other than ASCII letters, digits and `-` become `_` and two hex digits.
pub fn escape_file_name(name: &str) -> String {
    let byte = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => char::from(byte).to_string(),
        other => format!("_{other:02x}"),
    };
    name.bytes().map(byte).collect()
}

#[cfg(test)]
mod tests;
