//! When the list of execute nodes was last confirmed, stored in the state folder. With it a restarted process neither trusts an old
//! list for a whole new lease nor stops sending while the previous lease still runs.
//!
//! One record at the start of the file, little-endian, overwritten in place and not synced (it has to outlast the process, not the
//! system):
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | format of the record, [`FORMAT`] |
//! | 16 | boot ID of the machine, as the kernel reports it: the monotonic clock restarts with each boot |
//! | 8 | generation of the list |
//! | 8 | when it was confirmed, in nanoseconds of the machine's monotonic clock |
//! | 4 | CRC-32 of all preceding bytes |
//!
//! A record that is torn, of another boot, or in the future is ignored. One that cannot be written is removed: having no record is safe.
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::time::Duration;

use crate::clock::{boot_id, monotonic};

const FORMAT: u32 = 1;
const LENGTH: usize = 4 + 16 + 8 + 8 + 4;
const NAME: &str = "list-lease";

/// The last confirmation of the list, by this process or an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListConfirmation {
    /// The generation of the list.
    pub generation: u64,
    /// Time since the confirmation.
    pub age: Duration,
}

/// The file with the record.
#[derive(Debug)]
pub struct LeaseRecord {
    file: File,
    boot: [u8; 16],
    /// The last write failed, and the failure was logged.
    failing: bool,
}

impl LeaseRecord {
    /// Opens or creates the record in a folder, and returns its content if that is valid.
    ///
    /// # Errors
    ///
    /// The file can be neither opened nor created.
    pub fn open(folder: &Path) -> io::Result<(LeaseRecord, Option<ListConfirmation>)> {
        let path = folder.join(NAME);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        let boot = boot_id();
        let mut bytes = [0; LENGTH];
        let confirmation = match (file.read_exact_at(&mut bytes, 0), boot) {
            (Ok(()), Some(boot)) => decode(&bytes, boot, monotonic()),
            _ => None,
        };
        Ok((LeaseRecord { file, boot: boot.unwrap_or_default(), failing: false }, confirmation))
    }

    /// Stores when the list was confirmed; with `None` the record is erased.
    pub fn write(&mut self, confirmation: Option<ListConfirmation>) {
        let written = match confirmation {
            Some(confirmation) => self.file.write_all_at(&encode(confirmation, self.boot, monotonic()), 0),
            None => self.file.set_len(0),
        };
        let Err(error) = written else {
            self.failing = false;
            return;
        };
        let removed = self.file.set_len(0);
        if !std::mem::replace(&mut self.failing, true) {
            let removed = removed.is_ok();
            tracing::error!(%error, removed, "the list's lease cannot be recorded; after a restart nothing is sent until the list is confirmed");
        }
    }
}

fn encode(confirmation: ListConfirmation, boot: [u8; 16], now: Duration) -> Vec<u8> {
    let at = now.saturating_sub(confirmation.age).as_nanos() as u64;
    let mut bytes = FORMAT.to_le_bytes().to_vec();
    bytes.extend_from_slice(&boot);
    bytes.extend_from_slice(&confirmation.generation.to_le_bytes());
    bytes.extend_from_slice(&at.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn decode(bytes: &[u8; LENGTH], boot: [u8; 16], now: Duration) -> Option<ListConfirmation> {
    let number = |at: usize| u64::from_le_bytes(bytes[at..at + 8].try_into().expect("eight bytes"));
    let checksum = crc32fast::hash(&bytes[..LENGTH - 4]).to_le_bytes();
    let valid = bytes[..4] == FORMAT.to_le_bytes() && bytes[4..20] == boot && bytes[LENGTH - 4..] == checksum;
    let age = now.checked_sub(Duration::from_nanos(number(28)))?;
    valid.then(|| ListConfirmation { generation: number(20), age })
}

#[cfg(test)]
mod tests;
