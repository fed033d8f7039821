//! The section `[backlog]`: requests that cannot go soon wait on disk.
use onyxglade_backlog::lsm_store::{MIN_DISK_BYTES, MIN_MEMORY_BYTES};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

use super::faults::Faults;

const MB: u64 = 1024 * 1024;
/// Half of the least is the store's, the rest is for the windows of destinations.
const LEAST_MEMORY_MB: u64 = 2 * MIN_MEMORY_BYTES / MB;
const LEAST_DISK_MB: u64 = MIN_DISK_BYTES / MB;
const DEFAULT_MEMORY_MB: u64 = 32;
const DEFAULT_DISK_MB: u64 = 8192;
/// The file that is written and removed to see whether a folder can be written to.
const TRIAL_FILE: &str = ".writable";

/// The section as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BacklogTable {
    /// A folder on a disk that outlasts the process.
    pub folder: PathBuf,
    /// Megabytes (of 1,048,576 bytes) of memory for all that the backlog uses.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u64>,
    /// Megabytes that the folder may hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub disk_mb: Option<u64>,
}

/// What the operators set for the backlog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// The folder, on a disk that outlasts the process.
    pub folder: PathBuf,
    /// Bytes of memory for all that the backlog uses: cache, write buffers, windows.
    pub memory_bytes: u64,
    /// Bytes that the folder may hold.
    pub disk_bytes: u64,
}

impl BacklogTable {
    /// The section's value; what is wrong with it is added to `faults`.
    pub(super) fn check(self, faults: &mut Faults) -> Option<Backlog> {
        let memory_mb = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let disk_mb = self.disk_mb.unwrap_or(DEFAULT_DISK_MB);
        let mut sound = true;
        let mut fault = |key: &str, text: String| {
            faults.add(key, text);
            sound = false;
        };
        if self.folder.as_os_str().is_empty() {
            fault("backlog.folder", "names no folder".into());
        }
        if memory_mb < LEAST_MEMORY_MB {
            fault("backlog.memory_mb", format!("must be at least {LEAST_MEMORY_MB}"));
        }
        if disk_mb < LEAST_DISK_MB {
            fault("backlog.disk_mb", format!("must be at least {LEAST_DISK_MB}"));
        }
        let (memory_bytes, disk_bytes) = (memory_mb.saturating_mul(MB), disk_mb.saturating_mul(MB));
        sound.then_some(Backlog { folder: self.folder, memory_bytes, disk_bytes })
    }
}

impl Backlog {
    /// Checks the folder itself, before it is opened: that it is there or can be made, can be written to, holds no more than it may, and is not
    /// part of `state`, the folder whose size the platform bounds.
    ///
    /// # Errors
    /// A text that begins with the key at fault.
    pub fn check_folder(&self, state: Option<&Path>) -> Result<(), String> {
        let shown = self.folder.display();
        let unusable = |error: io::Error| format!("backlog.folder: {shown} cannot be used: {error}");
        let existing = nearest_existing(&self.folder).canonicalize().map_err(unusable)?;
        let bounded = state.and_then(|state| state.canonicalize().ok());
        if bounded.is_some_and(|state| existing.starts_with(&state)) {
            return Err(format!("backlog.folder: {shown} lies in the folder whose size the platform bounds"));
        }
        let trial = existing.join(TRIAL_FILE);
        std::fs::write(&trial, b"").and_then(|()| std::fs::remove_file(&trial)).map_err(unusable)?;
        let used = if self.folder.exists() { used_bytes(&self.folder).map_err(unusable)? } else { 0 };
        if used > self.disk_bytes {
            let (used, most) = (used.div_ceil(MB), self.disk_bytes / MB);
            return Err(format!("backlog.disk_mb: {shown} holds {used} MB already, and may hold {most}"));
        }
        Ok(())
    }
}

/// The path itself, or the first of its parents that is there.
fn nearest_existing(path: &Path) -> &Path {
    let parents = path.ancestors().filter(|parent| !parent.as_os_str().is_empty());
    parents.into_iter().find(|parent| parent.exists()).unwrap_or(Path::new("."))
}

/// Bytes of all files below a folder. Files that go away meanwhile count nothing.
fn used_bytes(folder: &Path) -> io::Result<u64> {
    let mut sum = 0;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let Ok(metadata) = entry.metadata() else { continue };
        sum += if metadata.is_dir() { used_bytes(&entry.path())? } else { metadata.len() };
    }
    Ok(sum)
}

#[cfg(test)]
mod tests;
