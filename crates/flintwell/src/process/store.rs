//! Files that outlive this process on its machine: each written whole under another name, then renamed.

use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

const FILE_MOST: u64 = 4 << 20; // bytes; a list of ten thousand nodes
const FILES_MOST: usize = 4_096; // files read at a look; far above the nodes of a fleet

/// A folder of ours; without one nothing is kept, and nothing is found.
#[derive(Clone)]
pub struct Store(Option<PathBuf>);

impl Store {
    /// Below the folder for temporary files, if there is one, under a name of our own.
    pub fn open(below: Option<&Path>, name: &str) -> io::Result<Self> {
        let Some(below) = below else { return Ok(Store(None)) };
        let folder = below.join(format!("flintwell-{}", plain(name)));
        fs::create_dir_all(&folder)?;
        Ok(Store(Some(folder)))
    }

    pub fn keeps(&self) -> bool {
        self.0.is_some()
    }

    /// Danger: a process that is killed while it writes would leave half a file to its successor.
    pub fn write(&self, file: &str, text: &[u8]) -> io::Result<()> {
        let Some(folder) = &self.0 else { return Ok(()) };
        let unfinished = folder.join(format!("new-{}", std::process::id()));
        fs::write(&unfinished, text)?;
        fs::rename(&unfinished, folder.join(file))
    }

    pub fn remove(&self, file: &str) {
        // One that is not there is removed.
        let _ = self.0.as_ref().map(|folder| fs::remove_file(folder.join(file)));
    }

    pub fn path(&self, file: &str) -> Option<PathBuf> {
        self.0.as_ref().map(|folder| folder.join(file))
    }

    pub fn read(&self, file: &str) -> Option<Vec<u8>> {
        let mut text = Vec::new();
        let opened = fs::File::open(self.path(file)?).ok()?;
        opened.take(FILE_MOST).read_to_end(&mut text).ok()?;
        Some(text)
    }

    /// Names of the files that begin so.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let Some(folder) = &self.0 else { return Vec::new() };
        let found = fs::read_dir(folder).into_iter().flatten().flatten();
        let names = found.filter_map(|entry| entry.file_name().into_string().ok());
        names.filter(|name| name.starts_with(prefix)).take(FILES_MOST).collect()
    }
}

/// A name that is safe as a part of a file's: what is not plain stands as its bytes.
pub fn plain(name: &str) -> String {
    let byte = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => char::from(byte).to_string(),
        other => format!("_{other:02x}"),
    };
    name.bytes().map(byte).collect()
}

#[cfg(test)]
mod tests;
