//! The journal's file, behind a small trait so that tests can inject faults.
use rustix::io::Errno;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::PathBuf;

use crate::state_lock::{StateLock, is_at};

/// The file's name in the state folder.
pub(super) const NAME: &str = "journal";
const REPLACEMENT_NAME: &str = "journal.new";

/// A sequence of bytes that outlasts the process.
pub(super) trait Storage {
    /// Reads all bytes; there are none if nothing was ever written.
    fn read(&mut self) -> io::Result<Vec<u8>>;
    /// Adds bytes at the end. If that fails, some or all of them may have been added.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Drops all bytes after the first `length`.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Replaces all bytes. If that fails, the old ones are kept.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// Whether an error of the folder may pass by itself: the folder is full, or its disk or the system fails for a while. Any other
/// error means that the folder is unfit for a journal.
pub fn is_transient(error: &io::Error) -> bool {
    const TRANSIENT: [Errno; 12] = [
        Errno::NOSPC,
        Errno::DQUOT,
        Errno::IO,
        Errno::INTR,
        Errno::AGAIN,
        Errno::BUSY,
        Errno::NFILE,
        Errno::MFILE,
        Errno::NOMEM,
        Errno::NOBUFS,
        Errno::TIMEDOUT,
        Errno::STALE,
    ];
    Errno::from_io_error(error).is_some_and(|errno| TRANSIENT.contains(&errno))
}

/// A file in a folder, replaced atomically by renaming another file onto it.
pub(super) struct FolderStorage {
    path: PathBuf,
    replacement: PathBuf,
    file: File,
}

impl FolderStorage {
    /// Opens the file in the locked folder, or creates an empty one.
    pub fn open(lock: &StateLock) -> io::Result<FolderStorage> {
        let folder = lock.folder();
        let path = folder.join(NAME);
        let file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        Ok(FolderStorage { path, replacement: folder.join(REPLACEMENT_NAME), file })
    }

    /// Checks that the path still names the open file.
    ///
    /// # Errors
    /// Another process, which cannot have had the lock, has replaced, renamed or removed the file. What is written to it now is read by
    /// nobody, and writing another one would undo what that process wrote.
    fn check_path(&self) -> io::Result<()> {
        match is_at(&self.path, &self.file)? {
            true => Ok(()),
            false => Err(io::Error::other("the journal's file was replaced or removed by another process")),
        }
    }
}

impl Storage for FolderStorage {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        // Checked after the write: until then the file may be replaced.
        self.check_path()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.check_path()?;
        let mut file = OpenOptions::new().append(true).create(true).open(&self.replacement)?;
        file.set_len(0)?;
        file.write_all(bytes)?;
        if let Err(error) = std::fs::rename(&self.replacement, &self.path)
            // A rename may have taken effect although it returned an error; then appends to the old file would be lost.
            && !is_at(&self.path, &file).unwrap_or(false)
        {
            return Err(error);
        }
        self.file = file;
        Ok(())
    }
}
