//! The lock on a state folder. Whoever holds a [`StateLock`] is the only process, and the only front, that uses the folder; the
//! journal cannot be opened without one.
//!
//! It is an advisory lock (flock) on the file `lock` in the folder. The kernel ties it to the file, so that a folder has one lock
//! whatever path leads to it, and releases it when its holder exits, however that happens. The descriptor is closed on exec: no other
//! program inherits it. The file has the holder's process number, for error messages only, and whether the holder is drained, for a process
//! that takes the folder over without a handover: `PID`, and a second line `drained`.
use rustix::io::Errno;
use std::fmt;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

/// The file's name in the state folder.
const NAME: &str = "lock";
/// Longest content of the file that is read: more than any record has.
const MAX_RECORD_BYTES: u64 = 32;
/// The second line of the file, while the holder is drained.
const DRAINED: &str = "drained";

/// Exclusive use of a state folder, until this is dropped.
#[derive(Debug)]
pub struct StateLock {
    folder: PathBuf,
    file: File,
    previous_was_drained: bool,
}

/// Why a folder could not be locked.
#[derive(Debug, thiserror::Error)]
pub enum LockError {
    #[error("{} is in use by {holder}", folder.display())]
    InUse { folder: PathBuf, holder: Holder },
    #[error("{}: {source}", folder.display())]
    Io { folder: PathBuf, source: io::Error },
}

/// Who has the lock on a folder, as far as the lock's file tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Another part of this process, such as the other front.
    ThisProcess,
    Process(u32),
    Unknown,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Holder::ThisProcess => write!(f, "another part of this process"),
            Holder::Process(number) => write!(f, "process {number}"),
            Holder::Unknown => write!(f, "another process"),
        }
    }
}

impl LockError {
    /// The error without the folder's name.
    pub fn into_io(self) -> io::Error {
        match self {
            LockError::InUse { .. } => io::Error::new(io::ErrorKind::WouldBlock, self.to_string()),
            LockError::Io { source, .. } => source,
        }
    }
}

impl StateLock {
    /// Locks a folder, which is created if it does not exist.
    ///
    /// # Errors
    /// [`LockError::InUse`] if it is locked already, else the error of the file system.
    pub fn acquire(folder: &Path) -> Result<StateLock, LockError> {
        let failed = |source| LockError::Io { folder: folder.to_owned(), source };
        std::fs::create_dir_all(folder).map_err(failed)?;
        let path = folder.join(NAME);
        loop {
            let mut file = open(&path).map_err(failed)?;
            match file.try_lock() {
                Ok(()) => {}
                Err(TryLockError::WouldBlock) => {
                    let holder = HolderRecord::read(&mut file).holder();
                    return Err(LockError::InUse { folder: folder.to_owned(), holder });
                }
                Err(TryLockError::Error(source)) => return Err(failed(source)),
            }
            let previous_was_drained = HolderRecord::read(&mut file).drained;
            let lock = StateLock { folder: folder.to_owned(), file, previous_was_drained };
            // The file may have been removed, or replaced, since it was opened: its lock would keep nobody out.
            if is_at(&path, &lock.file).map_err(failed)? {
                // If it fails, the lock holds all the same, and an error message names nobody.
                let _ = lock.file.set_len(0).and_then(|()| lock.record_drained(false));
                return Ok(lock);
            }
        }
    }

    /// Whether the last holder was drained when it ended.
    pub fn previous_was_drained(&self) -> bool {
        self.previous_was_drained
    }

    /// Records whether this process is drained. Once this returns, the record outlasts a kill.
    ///
    /// # Errors
    /// The file system's.
    pub fn record_drained(&self, drained: bool) -> io::Result<()> {
        let record = HolderRecord { process: Some(std::process::id()), drained }.encode();
        self.file.write_all_at(record.as_bytes(), 0)?;
        self.file.set_len(record.len() as u64)
    }

    /// The folder that is locked.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for StateLock {
    /// Releases the lock itself and not only this descriptor: a child process that has not executed its program yet has a copy.
    fn drop(&mut self) {
        // If it fails, the lock is released with the last copy of the descriptor.
        let _ = self.file.unlock();
    }
}

fn open(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}

/// Whether a path names an open file.
///
/// # Errors
/// The file system's, but for a path that names nothing.
pub fn is_at(path: &Path, file: &File) -> io::Result<bool> {
    let at_path = match std::fs::metadata(path) {
        Err(error) if Errno::from_io_error(&error) == Some(Errno::NOENT) => return Ok(false),
        at_path => at_path?,
    };
    let opened = file.metadata()?;
    Ok((at_path.dev(), at_path.ino()) == (opened.dev(), opened.ino()))
}

/// What the file says of the holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HolderRecord {
    process: Option<u32>,
    drained: bool,
}

impl HolderRecord {
    /// Reads the file from its beginning; what cannot be read is not known.
    fn read(file: &mut File) -> HolderRecord {
        let mut text = String::new();
        match file.take(MAX_RECORD_BYTES).read_to_string(&mut text) {
            Ok(_) => HolderRecord::parse(&text),
            Err(_) => HolderRecord::default(),
        }
    }

    fn parse(text: &str) -> HolderRecord {
        let mut lines = text.lines();
        let process = lines.next().and_then(|line| line.trim().parse().ok());
        // Only behind a whole number: the line is its process's.
        let drained = process.is_some() && lines.next() == Some(DRAINED);
        HolderRecord { process, drained }
    }

    fn encode(self) -> String {
        let process = self.process.map_or(String::new(), |process| process.to_string());
        match self.drained {
            true => format!("{process}\n{DRAINED}\n"),
            false => format!("{process}\n"),
        }
    }

    fn holder(self) -> Holder {
        match self.process {
            Some(process) if process == std::process::id() => Holder::ThisProcess,
            Some(process) => Holder::Process(process),
            None => Holder::Unknown,
        }
    }
}

#[cfg(test)]
mod tests;
