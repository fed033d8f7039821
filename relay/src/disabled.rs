//! Which execute nodes are out by hand: an intention kept beside the list, not in it.
//!
//! Owns the names and the file that they outlast the process in, which is written whole or not at all. It may not know
//! what is listed. The way not taken: a record in the journal, which an older program would take for its torn end, and
//! with it all that follows.
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// The file may have so many bytes. Guards the journal's room: with its successor beside it while it is written, it
/// stays within the reserve that the journal keeps free.
const LARGEST: usize = 3584;

/// The form of the file; another one is not read.
const VERSION: u32 = 1;

#[derive(Serialize, Deserialize)]
struct File {
    version: u32,
    out: BTreeSet<String>,
}

pub struct DisabledNodes {
    path: PathBuf,
    names: BTreeSet<String>,
}

/// Why nothing was changed.
#[derive(Debug)]
pub enum DisableError {
    /// No more names fit.
    Full,
    Io(io::Error),
}

impl DisabledNodes {
    /// Those that an earlier process left in the folder.
    pub fn open(folder: &Path) -> DisabledNodes {
        let path = folder.join("out-by-hand");
        let names = match read(&path) {
            Ok(names) => names,
            Err(fault) => {
                // A relay that does not start serves nobody; that something is amiss is told.
                tracing::error!(path = %path.display(), fault, "cannot read which nodes are out by hand: none is");
                BTreeSet::new()
            }
        };
        DisabledNodes { path, names }
    }

    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Notes that a node is out, or not any more. What is said twice is said once.
    pub fn set(&mut self, name: &str, out: bool) -> Result<(), DisableError> {
        let changed = if out { self.names.insert(name.into()) } else { self.names.remove(name) };
        if !changed {
            return Ok(());
        }
        let written = self.write();
        if written.is_err() {
            // What stands in the file holds.
            if out {
                self.names.remove(name)
            } else {
                self.names.insert(name.into())
            };
        }
        written
    }

    fn write(&self) -> Result<(), DisableError> {
        let file = File { version: VERSION, out: self.names.clone() };
        let text = serde_json::to_vec(&file).expect("strings and a number");
        if text.len() > LARGEST {
            return Err(DisableError::Full);
        }
        let spare = self.path.with_extension("new");
        std::fs::write(&spare, text)
            .and_then(|()| std::fs::rename(&spare, &self.path))
            .map_err(DisableError::Io)
    }
}

fn read(path: &Path) -> Result<BTreeSet<String>, String> {
    let text = match std::fs::read(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(BTreeSet::new()),
        text => text.map_err(|e| e.to_string())?,
    };
    let file: File = serde_json::from_slice(&text).map_err(|e| e.to_string())?;
    match file.version {
        VERSION => Ok(file.out),
        other => Err(format!("version {other} is not known")),
    }
}

#[cfg(test)]
mod tests;
