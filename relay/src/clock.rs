//! Timestamps for deadlines and claims: they follow real time, survive a restart and ignore steps of the wall clock.
//!
//! The wall clock may be stepped at any moment, also while no process runs, so no time is computed from it directly. A timestamp is the
//! epoch plus the present reading of the monotonic clock. The epoch is the Unix time at which the monotonic clock was zero, measured
//! once per boot of the machine. It is stored in the state folder, so that all processes of one boot compute the same timestamps;
//! after a reboot it is measured again, since the monotonic clock restarts.
//!
//! The record is a file of its own, little-endian, written before the journal has its first record of the boot:
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | format of the record, [`FORMAT`] |
//! | 16 | boot ID of the machine, as the kernel reports it |
//! | 8 | the epoch: Unix time at which the monotonic clock was zero, in nanoseconds |
//! | 4 | CRC-32 of all preceding bytes |
//!
//! A record that is torn or of another boot is ignored.
use rustix::time::{ClockId, clock_gettime};
use std::fs::OpenOptions;
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::time::{Duration, SystemTime};

const FORMAT: u32 = 1;
const LENGTH: usize = 4 + 16 + 8 + 4;
const NAME: &str = "clock";
/// File with the machine's boot ID, as text.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// The Unix time at which the monotonic clock was zero, as this process uses it.
static EPOCH: OnceLock<Duration> = OnceLock::new();

/// The present time, unaffected by steps of the wall clock.
pub fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + *EPOCH.get_or_init(measure_epoch) + monotonic()
}

/// Reads the machine's monotonic clock.
pub fn monotonic() -> Duration {
    let now = clock_gettime(ClockId::Monotonic);
    Duration::new(now.tv_sec.try_into().unwrap_or(0), now.tv_nsec.try_into().unwrap_or(0))
}

/// The ID of the present boot; none if the system does not report it.
pub fn boot_id() -> Option<[u8; 16]> {
    let text = std::fs::read_to_string(BOOT_ID_PATH).ok()?;
    let digits: String = text.chars().filter(char::is_ascii_hexdigit).collect();
    u128::from_str_radix(&digits, 16).ok().map(u128::to_le_bytes)
}

fn measure_epoch() -> Duration {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    wall.saturating_sub(monotonic())
}

/// Uses the epoch that an earlier process of this boot stored in the folder, if it can be read and this process has no epoch yet.
pub fn restore_epoch(folder: &Path) {
    if let Ok(Some(epoch)) = read(&folder.join(NAME), boot_id()) {
        EPOCH.get_or_init(|| epoch);
    }
}

/// Converts between this process's timestamps and those stored in a folder, which may be based on another epoch.
#[derive(Debug)]
pub struct FolderClock {
    path: PathBuf,
    boot: Option<[u8; 16]>,
    epoch: Duration,
    recorded: bool,
}

impl FolderClock {
    /// Reads the epoch that earlier processes of this boot stored; without one the folder uses this process's epoch.
    ///
    /// # Errors
    ///
    /// The record exists and cannot be read.
    pub fn open(folder: &Path) -> io::Result<FolderClock> {
        let (path, boot) = (folder.join(NAME), boot_id());
        let found = read(&path, boot)?;
        let epoch = found.unwrap_or_else(|| *EPOCH.get_or_init(measure_epoch));
        Ok(FolderClock { path, boot, epoch, recorded: found.is_some() })
    }

    /// Stores the folder's epoch, once.
    ///
    /// # Errors
    ///
    /// The record cannot be written; then no timestamp that a later process has to interpret may be written either.
    pub fn record(&mut self) -> io::Result<()> {
        let Some(boot) = self.boot.filter(|_| !self.recorded) else { return Ok(()) };
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(&self.path)?;
        file.write_all_at(&encode(boot, self.epoch), 0)?;
        self.recorded = true;
        Ok(())
    }

    /// Converts a timestamp of this process to the folder's epoch.
    pub fn to_folder(&self, time: SystemTime) -> SystemTime {
        shift(time, *EPOCH.get_or_init(measure_epoch), self.epoch)
    }

    /// Converts a timestamp stored in the folder to this process's epoch.
    pub fn from_folder(&self, time: SystemTime) -> SystemTime {
        shift(time, self.epoch, *EPOCH.get_or_init(measure_epoch))
    }
}

/// Moves a timestamp from one epoch to another, keeping its reading of the monotonic clock. A result out of range leaves it unchanged.
fn shift(time: SystemTime, from: Duration, to: Duration) -> SystemTime {
    let shifted = match to.checked_sub(from) {
        Some(later) => time.checked_add(later),
        None => time.checked_sub(from - to),
    };
    shifted.unwrap_or(time)
}

fn read(path: &Path, boot: Option<[u8; 16]>) -> io::Result<Option<Duration>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(boot.and_then(|boot| decode(&bytes, boot))),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn encode(boot: [u8; 16], epoch: Duration) -> Vec<u8> {
    let mut bytes = FORMAT.to_le_bytes().to_vec();
    bytes.extend_from_slice(&boot);
    bytes.extend_from_slice(&(epoch.as_nanos() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn decode(bytes: &[u8], boot: [u8; 16]) -> Option<Duration> {
    let bytes: &[u8; LENGTH] = bytes.try_into().ok()?;
    let checksum = crc32fast::hash(&bytes[..LENGTH - 4]).to_le_bytes();
    let valid = bytes[..4] == FORMAT.to_le_bytes() && bytes[4..20] == boot && bytes[LENGTH - 4..] == checksum;
    let epoch = u64::from_le_bytes(bytes[20..28].try_into().expect("eight bytes"));
    valid.then_some(Duration::from_nanos(epoch))
}

#[cfg(test)]
mod tests;
