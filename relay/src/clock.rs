//! The time that deadlines and attempts are kept by: spans of real time that outlast the process.
//!
//! The wall clock may be stepped at any moment, also while no process runs, so nothing is reckoned by it. Times are what the wall clock
//! said when the machine's boot was first seen, plus what the monotonic clock has run since. That first reading is kept in the folder
//! that lasts, so that every process of a boot reckons alike; another boot begins anew, since the monotonic clock does.
//!
//! The record is a file of its own, little-endian, written before the journal has its first record of the boot:
//!
//! | bytes | what |
//! | --- | --- |
//! | 4 | the form of the record, [`FORM`] |
//! | 16 | the boot of the machine, as the system numbers it |
//! | 8 | the Unix time at which the monotonic clock was zero, in nanoseconds |
//! | 4 | CRC-32 of all that stands before |
//!
//! A record that is torn or of another boot is none.
use rustix::time::{ClockId, clock_gettime};
use std::fs::OpenOptions;
use std::io::{self, ErrorKind};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::OnceLock;
use std::time::{Duration, SystemTime};

const FORM: u32 = 1;
const LENGTH: usize = 4 + 16 + 8 + 4;
const NAME: &str = "clock";
/// The machine's present boot, as text.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

/// The Unix time at which the monotonic clock was zero, as this process reckons.
static ZERO: OnceLock<Duration> = OnceLock::new();

/// The present time. Steps of the wall clock do not show in it.
pub fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + *ZERO.get_or_init(measured_zero) + monotonic()
}

/// The machine's monotonic clock.
pub fn monotonic() -> Duration {
    let now = clock_gettime(ClockId::Monotonic);
    Duration::new(now.tv_sec.try_into().unwrap_or(0), now.tv_nsec.try_into().unwrap_or(0))
}

/// The present boot; none where the system does not tell.
pub fn boot_id() -> Option<[u8; 16]> {
    let text = std::fs::read_to_string(BOOT_ID).ok()?;
    let digits: String = text.chars().filter(char::is_ascii_hexdigit).collect();
    u128::from_str_radix(&digits, 16).ok().map(u128::to_le_bytes)
}

fn measured_zero() -> Duration {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    wall.saturating_sub(monotonic())
}

/// Has this process reckon as the folder's earlier processes of this boot did, if that can be read and nothing was reckoned yet.
pub fn restore_epoch(folder: &Path) {
    if let Ok(Some(zero)) = read(&folder.join(NAME), boot_id()) {
        ZERO.get_or_init(|| zero);
    }
}

/// How the times in one folder are reckoned.
#[derive(Debug)]
pub struct FolderClock {
    path: PathBuf,
    boot: Option<[u8; 16]>,
    zero: Duration,
    recorded: bool,
}

impl FolderClock {
    /// Reads how earlier processes of this boot reckoned; where there was none, the folder's times are this process's.
    ///
    /// # Errors
    ///
    /// The record is there and cannot be read.
    pub fn open(folder: &Path) -> io::Result<FolderClock> {
        let (path, boot) = (folder.join(NAME), boot_id());
        let found = read(&path, boot)?;
        let zero = found.unwrap_or_else(|| *ZERO.get_or_init(measured_zero));
        Ok(FolderClock { path, boot, zero, recorded: found.is_some() })
    }

    /// Records how the folder's times are reckoned, once.
    ///
    /// # Errors
    ///
    /// The record cannot be written; nothing that a later process has to reckon with may be either.
    pub fn record(&mut self) -> io::Result<()> {
        let Some(boot) = self.boot.filter(|_| !self.recorded) else { return Ok(()) };
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(&self.path)?;
        file.write_all_at(&encode(boot, self.zero), 0)?;
        self.recorded = true;
        Ok(())
    }

    /// One of this process's times as the folder has it.
    pub fn to_folder(&self, time: SystemTime) -> SystemTime {
        shift(time, *ZERO.get_or_init(measured_zero), self.zero)
    }

    /// One of the folder's times as this process has it.
    pub fn from_folder(&self, time: SystemTime) -> SystemTime {
        shift(time, self.zero, *ZERO.get_or_init(measured_zero))
    }
}

/// The same reading of the monotonic clock, reckoned from another zero. What lies outside the clock stays as it is.
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

fn encode(boot: [u8; 16], zero: Duration) -> Vec<u8> {
    let mut bytes = FORM.to_le_bytes().to_vec();
    bytes.extend_from_slice(&boot);
    bytes.extend_from_slice(&(zero.as_nanos() as u64).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn decode(bytes: &[u8], boot: [u8; 16]) -> Option<Duration> {
    let bytes: &[u8; LENGTH] = bytes.try_into().ok()?;
    let sum = crc32fast::hash(&bytes[..LENGTH - 4]).to_le_bytes();
    let sound = bytes[..4] == FORM.to_le_bytes() && bytes[4..20] == boot && bytes[LENGTH - 4..] == sum;
    let zero = u64::from_le_bytes(bytes[20..28].try_into().expect("eight bytes"));
    sound.then_some(Duration::from_nanos(zero))
}

#[cfg(test)]
mod tests;
