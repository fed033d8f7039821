//! When the list was last confirmed, kept in the folder that lasts, so that the process that follows neither trusts an old list for a
//! whole lease nor stops what the rules allow.
//!
//! One record at the file's beginning, little-endian, written over in place and not synced (the system outlasts the process):
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | the form of the record, [`FORM`] |
//! | 16 | the boot of the machine, as the system numbers it: the monotonic clock starts anew with each |
//! | 8 | the version of the list |
//! | 8 | when it was confirmed, in nanoseconds of the machine's monotonic clock |
//! | 4 | CRC-32 of all that stands before |
//!
//! A record that is torn, of another boot, or in the future is none. One that cannot be written is removed: no record is the safe side.
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;

use crate::clock::{boot_id, monotonic};

const FORM: u32 = 1;
const LENGTH: usize = 4 + 16 + 8 + 8 + 4;
const NAME: &str = "list-lease";

/// What a process before knew of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListConfirmation {
    /// The version of the list.
    pub generation: u64,
    /// How long ago it was confirmed.
    pub age: Duration,
}

/// The record's file.
#[derive(Debug)]
pub struct LeaseRecord {
    file: File,
    boot: [u8; 16],
    /// The last writing failed, which was told.
    failing: bool,
}

impl LeaseRecord {
    /// Opens the record in a folder; gives what it says, if it can be relied on.
    ///
    /// # Errors
    ///
    /// The file can be neither opened nor made.
    pub fn open(folder: &Path) -> io::Result<(LeaseRecord, Option<ListConfirmation>)> {
        let path = folder.join(NAME);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        let boot = boot_id();
        let mut bytes = [0; LENGTH];
        let confirmed = match (file.read_exact_at(&mut bytes, 0), boot) {
            (Ok(()), Some(boot)) => decode(&bytes, boot, monotonic()),
            _ => None,
        };
        Ok((LeaseRecord { file, boot: boot.unwrap_or_default(), failing: false }, confirmed))
    }

    /// Whether a folder has a record, of whatever form.
    pub fn exists(folder: &Path) -> bool {
        folder.join(NAME).exists()
    }

    /// Puts down when the list was confirmed; none if there is nothing to rely on.
    pub fn write(&mut self, confirmed: Option<ListConfirmation>) {
        let written = match confirmed {
            Some(confirmed) => self.file.write_all_at(&encode(confirmed, self.boot, monotonic()), 0),
            None => self.file.set_len(0),
        };
        let Err(error) = written else {
            self.failing = false;
            return;
        };
        let removed = self.file.set_len(0);
        if !std::mem::replace(&mut self.failing, true) {
            let removed = removed.is_ok();
            tracing::error!(%error, removed, "the list's lease cannot be recorded; a restart waits for the list");
        }
    }
}

fn encode(confirmed: ListConfirmation, boot: [u8; 16], now: Duration) -> Vec<u8> {
    let at = now.saturating_sub(confirmed.age).as_nanos() as u64;
    let mut bytes = FORM.to_le_bytes().to_vec();
    bytes.extend_from_slice(&boot);
    bytes.extend_from_slice(&confirmed.generation.to_le_bytes());
    bytes.extend_from_slice(&at.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn decode(bytes: &[u8; LENGTH], boot: [u8; 16], now: Duration) -> Option<ListConfirmation> {
    let number = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().expect("eight bytes"));
    let sum = crc32fast::hash(&bytes[..LENGTH - 4]).to_le_bytes();
    let sound = bytes[..4] == FORM.to_le_bytes() && bytes[4..20] == boot && bytes[LENGTH - 4..] == sum;
    let age = now.checked_sub(Duration::from_nanos(number(28)))?;
    sound.then(|| ListConfirmation { generation: number(20), age })
}

#[cfg(test)]
mod tests;
