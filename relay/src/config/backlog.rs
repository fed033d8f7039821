//! The section `[backlog]`: a queue on disk for requests that cannot be sent soon.
use onyxglade_backlog::lsm_store::{MIN_DISK_BYTES, MIN_MEMORY_BYTES};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

use super::errors::ConfigErrors;

const MB: u64 = 1024 * 1024;
/// One half is the minimum of the store, the other half is for the windows of the destinations.
const MIN_MEMORY_MB: u64 = 2 * MIN_MEMORY_BYTES / MB;
const MIN_DISK_MB: u64 = MIN_DISK_BYTES / MB;
const DEFAULT_MEMORY_MB: u64 = 32;
const DEFAULT_DISK_MB: u64 = 8192;
/// Name of the file that is created and removed to test whether the folder is writable.
const PROBE_FILE: &str = ".writable";

/// The section as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BacklogTable {
    /// A folder on persistent storage.
    pub folder: PathBuf,
    /// Memory limit of the whole backlog, in megabytes (of 1,048,576 bytes).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<u64>,
    /// Size limit of the folder, in megabytes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub disk_mb: Option<u64>,
}

/// Validated settings of the backlog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BacklogConfig {
    /// A folder on persistent storage.
    pub folder: PathBuf,
    /// Memory limit in bytes of the whole backlog: cache, write buffers and windows.
    pub memory_bytes: u64,
    /// Size limit of the folder in bytes.
    pub disk_bytes: u64,
}

impl BacklogTable {
    /// Validates the section; errors are added to `errors`.
    pub(super) fn check(self, errors: &mut ConfigErrors) -> Option<BacklogConfig> {
        let memory_mb = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let disk_mb = self.disk_mb.unwrap_or(DEFAULT_DISK_MB);
        let mut valid = true;
        let mut reject = |key: &str, text: String| {
            errors.add(key, text);
            valid = false;
        };
        if self.folder.as_os_str().is_empty() {
            reject("backlog.folder", "must not be empty".into());
        }
        if memory_mb < MIN_MEMORY_MB {
            reject("backlog.memory_mb", format!("must be at least {MIN_MEMORY_MB}"));
        }
        if disk_mb < MIN_DISK_MB {
            reject("backlog.disk_mb", format!("must be at least {MIN_DISK_MB}"));
        }
        let (memory_bytes, disk_bytes) = (memory_mb.saturating_mul(MB), disk_mb.saturating_mul(MB));
        valid.then_some(BacklogConfig { folder: self.folder, memory_bytes, disk_bytes })
    }
}

impl BacklogConfig {
    /// Checks the folder before the store is opened: it must exist or be creatable, be writable, hold no more than
    /// `disk_mb`, and must not lie in `state`, the folder whose size the platform limits.
    ///
    /// # Errors
    /// A text that begins with the key at fault.
    pub fn check_folder(&self, state: Option<&Path>) -> Result<(), String> {
        let folder = self.folder.display();
        let unusable = |error: io::Error| format!("backlog.folder: {folder} cannot be used: {error}");
        let existing = nearest_existing(&self.folder).canonicalize().map_err(unusable)?;
        let limited = state.and_then(|state| state.canonicalize().ok());
        if limited.is_some_and(|state| existing.starts_with(&state)) {
            return Err(format!(
                "backlog.folder: {folder} is inside the folder whose size the platform limits"
            ));
        }
        let probe = existing.join(PROBE_FILE);
        std::fs::write(&probe, b"").and_then(|()| std::fs::remove_file(&probe)).map_err(unusable)?;
        let used = if self.folder.exists() { used_bytes(&self.folder).map_err(unusable)? } else { 0 };
        if used > self.disk_bytes {
            let (used, limit) = (used.div_ceil(MB), self.disk_bytes / MB);
            return Err(format!(
                "backlog.disk_mb: {folder} already holds {used} MB, more than the limit of {limit} MB"
            ));
        }
        Ok(())
    }
}

/// The path itself, or its nearest parent that exists.
fn nearest_existing(path: &Path) -> &Path {
    let parents = path.ancestors().filter(|parent| !parent.as_os_str().is_empty());
    parents.into_iter().find(|parent| parent.exists()).unwrap_or(Path::new("."))
}

/// Total size in bytes of all files below a folder. Files that are removed during the scan are not counted.
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
