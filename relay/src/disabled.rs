//! The execute nodes that an operator has disabled. This is kept separately from the list of nodes.
//!
//! Owns the names and the file that persists them, which is replaced atomically. It does not know which nodes are
//! listed. The names are not journal records because an older version of the program would take such a record for a
//! torn end of the journal, and lose it and everything after it.
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// Most bytes in the file. While it is replaced, the old and the new file together stay within the disk space that
/// the journal keeps in reserve.
const MAX_FILE_BYTES: usize = 3584;

/// The format version of the file; files of other versions are not read.
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

/// Why the set could not be changed.
#[derive(Debug)]
pub enum DisableError {
    /// The file would exceed its size limit.
    Full,
    Io(io::Error),
}

impl DisabledNodes {
    /// Reads the names that an earlier process stored in the folder; an unreadable file counts as empty.
    pub fn open(folder: &Path) -> DisabledNodes {
        let path = folder.join("out-by-hand");
        let names = match read(&path) {
            Ok(names) => names,
            Err(fault) => {
                // Logged rather than fatal: a relay that does not start would serve no destination at all.
                tracing::error!(
                    path = %path.display(),
                    fault,
                    "cannot read the disabled nodes; treating none as disabled"
                );
                BTreeSet::new()
            }
        };
        DisabledNodes { path, names }
    }

    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Disables or enables a node. Idempotent.
    ///
    /// # Errors
    /// When the change cannot be stored; then nothing has changed.
    pub fn set(&mut self, name: &str, disabled: bool) -> Result<(), DisableError> {
        let changed = if disabled { self.names.insert(name.into()) } else { self.names.remove(name) };
        if !changed {
            return Ok(());
        }
        let written = self.write();
        if written.is_err() {
            // Undoes the change, to match the file.
            if disabled {
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
        if text.len() > MAX_FILE_BYTES {
            return Err(DisableError::Full);
        }
        let temporary = self.path.with_extension("new");
        std::fs::write(&temporary, text)
            .and_then(|()| std::fs::rename(&temporary, &self.path))
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
        other => Err(format!("unsupported version {other}")),
    }
}

#[cfg(test)]
mod tests;
