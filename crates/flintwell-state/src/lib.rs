//! The settings in force on disk: written whole under another name, told to lie there, then renamed, so that a process
//! that ends at any point finds the last one whole. The first line is the hash of the rest.

use flintwell_rollout::member::Record;
use flintwell_rollout::wire::hash;
use serde_json::Value;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const RECORD: &str = "settings-in-force"; // the file's name

pub struct RecordStore {
    folder: PathBuf,
}

impl RecordStore {
    /// Below this folder, which is made where it is not there.
    pub fn open(state: &Path) -> Result<Self, String> {
        let opened = fs::create_dir_all(state);
        opened.map_err(|error| format!("state {}: {error}", state.display()))?;
        Ok(RecordStore { folder: state.into() })
    }

    /// What was in force last; none at first. What is not whole is no record, and why.
    pub fn read(&self) -> Result<Option<Record>, String> {
        let text = match fs::read_to_string(self.folder.join(RECORD)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            text => text.map_err(|error| format!("{RECORD}: {error}"))?,
        };
        let told =
            text.split_once('\n').and_then(|(sum, rest)| Some((sum, serde_json::from_str(rest).ok()?)));
        let whole = told.filter(|(sum, value): &(&str, Value)| hash(value) == *sum);
        let (_, value) = whole.ok_or_else(|| format!("{RECORD} is not whole, and is left out"))?;
        serde_json::from_value(value).map(Some).map_err(|error| format!("{RECORD}: {error}"))
    }

    pub fn write(&self, record: &Record) -> io::Result<()> {
        let value = serde_json::to_value(record)?;
        let unfinished = self.folder.join(format!("new-{}", std::process::id()));
        let written = File::create(&unfinished).and_then(|mut file| {
            write!(file, "{}\n{value}", hash(&value))?;
            file.sync_all()
        });
        // Danger: without the folder's own sync a power cut may forget the new name.
        let named = written.and_then(|()| fs::rename(&unfinished, self.folder.join(RECORD)));
        let done = named.and_then(|()| File::open(&self.folder)?.sync_all());
        if done.is_err() {
            // What is half there would take room.
            let _ = fs::remove_file(&unfinished);
        }
        done
    }
}

#[cfg(test)]
mod tests;
