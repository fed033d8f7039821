//! The lock on a state folder. Whoever holds a [`StateLock`] is the only process, and the only front, that uses the folder; the
//! journal cannot be opened without one.
//!
//! It is an advisory lock (flock) on the file `lock` in the folder. The kernel ties it to the file, so that a folder has one lock
//! whatever path leads to it, and releases it when its holder exits, however that happens. The descriptor is closed on exec: no other
//! program inherits it. The file has the holder's process number, for error messages only.
use rustix::io::Errno;
use std::fmt;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The file's name in the state folder.
const NAME: &str = "lock";
/// Longest content of the file that is read: more than any process number has.
const MAX_HOLDER_BYTES: u64 = 32;

/// Exclusive use of a state folder, until this is dropped.
#[derive(Debug)]
pub struct StateLock {
    folder: PathBuf,
    file: File,
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
                    let holder = read_holder(&mut file);
                    return Err(LockError::InUse { folder: folder.to_owned(), holder });
                }
                Err(TryLockError::Error(source)) => return Err(failed(source)),
            }
            let mut lock = StateLock { folder: folder.to_owned(), file };
            // The file may have been removed, or replaced, since it was opened: its lock would keep nobody out.
            if is_at(&path, &lock.file).map_err(failed)? {
                write_holder(&mut lock.file);
                return Ok(lock);
            }
        }
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

/// Writes this process's number. If that fails, the lock holds all the same, and an error message names nobody.
fn write_holder(file: &mut File) {
    let number = std::process::id();
    let _ = file.set_len(0).and_then(|()| file.write_all(format!("{number}\n").as_bytes()));
}

fn read_holder(file: &mut File) -> Holder {
    let mut text = String::new();
    let read = file.rewind().and_then(|()| file.take(MAX_HOLDER_BYTES).read_to_string(&mut text));
    match read.ok().and_then(|_| text.trim().parse().ok()) {
        Some(number) if number == std::process::id() => Holder::ThisProcess,
        Some(number) => Holder::Process(number),
        None => Holder::Unknown,
    }
}

#[cfg(test)]
mod tests;
