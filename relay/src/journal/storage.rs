//! The file below the journal, as a small trait, so that tests can have it fail.
use rustix::io::Errno;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The file's name in the folder that lasts.
pub(super) const NAME: &str = "journal";
const SPARE_NAME: &str = "journal.new";

/// Bytes that outlast the process.
pub(super) trait Storage {
    /// All of them; none where nothing was ever written.
    fn read(&mut self) -> io::Result<Vec<u8>>;
    /// Adds bytes at the end. Where that fails, some of them may have been added.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Cuts off what is behind so many bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Puts other bytes in place of all. Where that fails, the old ones stand.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// Whether a fault of the folder may pass by itself: it is full, its disk or the system fails for a while. The others say that the
/// folder is not one in which a journal can be kept.
pub fn is_transient(error: &io::Error) -> bool {
    const PASSING: [Errno; 12] = [
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
    Errno::from_io_error(error).is_some_and(|errno| PASSING.contains(&errno))
}

/// A file in a folder, replaced by renaming another onto it.
pub(super) struct FolderStorage {
    path: PathBuf,
    spare: PathBuf,
    file: File,
}

impl FolderStorage {
    pub fn open(folder: &Path) -> io::Result<FolderStorage> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join(NAME);
        let file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        Ok(FolderStorage { path, spare: folder.join(SPARE_NAME), file })
    }

    /// Whether another file has the path by now.
    fn is_replaced_by(&self, file: &File) -> bool {
        let same = || {
            let (there, here) = (std::fs::metadata(&self.path)?, file.metadata()?);
            io::Result::Ok((there.dev(), there.ino()) == (here.dev(), here.ino()))
        };
        same().unwrap_or(false)
    }
}

impl Storage for FolderStorage {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut file = OpenOptions::new().append(true).create(true).open(&self.spare)?;
        file.set_len(0)?;
        file.write_all(bytes)?;
        if let Err(error) = std::fs::rename(&self.spare, &self.path)
            // A renaming that failed may have been done: what is appended to the old file then is lost.
            && !self.is_replaced_by(&file)
        {
            return Err(error);
        }
        self.file = file;
        Ok(())
    }
}
