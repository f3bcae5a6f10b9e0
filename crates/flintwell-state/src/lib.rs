//! Stores the settings in force on disk. They are written to a temporary file, synced and renamed, so that a process
//! that ends at any point leaves the last complete record. The first line of the file is the hash of the rest.

use flintwell_rollout::member::Record;
use flintwell_rollout::wire::hash;
use serde_json::Value;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const RECORD_FILE: &str = "settings-in-force";

/// Store of one record in a folder.
pub struct RecordStore {
    folder: PathBuf,
}

impl RecordStore {
    /// Opens the store in the folder `state`, which is created if it does not exist.
    pub fn open(state: &Path) -> Result<Self, String> {
        let opened = fs::create_dir_all(state);
        opened.map_err(|error| format!("state {}: {error}", state.display()))?;
        Ok(RecordStore { folder: state.into() })
    }

    /// Reads the record last in force; `None` if none was written yet. A truncated or altered record is an error.
    pub fn read(&self) -> Result<Option<Record>, String> {
        let text = match fs::read_to_string(self.folder.join(RECORD_FILE)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            text => text.map_err(|error| format!("{RECORD_FILE}: {error}"))?,
        };
        let parsed =
            text.split_once('\n').and_then(|(sum, rest)| Some((sum, serde_json::from_str(rest).ok()?)));
        let valid = parsed.filter(|(sum, value): &(&str, Value)| hash(value) == *sum);
        let (_, value) =
            valid.ok_or_else(|| format!("{RECORD_FILE} is truncated or altered and is ignored"))?;
        serde_json::from_value(value).map(Some).map_err(|error| format!("{RECORD_FILE}: {error}"))
    }

    /// Replaces the record; it is durable when this returns.
    pub fn write(&self, record: &Record) -> io::Result<()> {
        let value = serde_json::to_value(record)?;
        let temporary = self.folder.join(format!("new-{}", std::process::id()));
        let written = File::create(&temporary).and_then(|mut file| {
            write!(file, "{}\n{value}", hash(&value))?;
            file.sync_all()
        });
        let renamed = written.and_then(|()| fs::rename(&temporary, self.folder.join(RECORD_FILE)));
        // Danger: a power failure can undo the rename unless the folder is synced, too.
        let synced = renamed.and_then(|()| File::open(&self.folder)?.sync_all());
        if synced.is_err() {
            // Frees the space of a partly written file.
            let _ = fs::remove_file(&temporary);
        }
        synced
    }
}

#[cfg(test)]
mod tests;
