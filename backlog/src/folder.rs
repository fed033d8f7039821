//! The folder of a backlog. A small text file beside the store's own files records its format and its owner.
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::store::StoreError;

/// The newest format that this program supports.
pub const FORMAT: u32 = 1;
/// The file that records the format and the owner.
pub const FORMAT_FILE: &str = "backlog.format";
const STORE_FOLDER: &str = "store";
const HEADER_LINE: &str = "onyxglade backlog";

/// Checks that `folder` is a backlog of `owner`, or creates one if it is empty or absent. Returns the folder for
/// the store's files.
pub fn open_or_create(folder: &Path, owner: &str) -> Result<PathBuf, StoreError> {
    fs::create_dir_all(folder)?;
    match fs::read_to_string(folder.join(FORMAT_FILE)) {
        Ok(text) => check(folder, &text, owner)?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => create(folder, owner)?,
        Err(error) if error.kind() == io::ErrorKind::InvalidData => {
            return Err(corrupt("the file is not text"));
        }
        Err(error) => return Err(error.into()),
    }
    Ok(folder.join(STORE_FOLDER))
}

fn check(folder: &Path, text: &str, owner: &str) -> Result<(), StoreError> {
    let mut lines = text.lines();
    if lines.next() != Some(HEADER_LINE) {
        return Err(not_a_backlog(folder));
    }
    let version = lines.next().and_then(|line| line.strip_prefix("format ")?.parse().ok());
    let version: u32 = version.ok_or_else(|| corrupt("the file names no format version"))?;
    if version > FORMAT {
        return Err(StoreError::NewerFormat { version, newest: FORMAT });
    }
    let found = lines
        .next()
        .and_then(|line| line.strip_prefix("owner "))
        .ok_or_else(|| corrupt("the file names no owner"))?;
    if found != owner {
        return Err(StoreError::WrongOwner { found: found.to_owned(), expected: owner.to_owned() });
    }
    Ok(())
}

/// Writes a temporary file and renames it, so that the file is either complete or absent.
fn create(folder: &Path, owner: &str) -> Result<(), StoreError> {
    let temporary = folder.join("backlog.format.new");
    for entry in fs::read_dir(folder)? {
        if entry?.path() != temporary {
            return Err(not_a_backlog(folder));
        }
    }
    let mut file = fs::File::create(&temporary)?;
    write!(file, "{HEADER_LINE}\nformat {FORMAT}\nowner {owner}\n")?;
    file.sync_all()?;
    fs::rename(temporary, folder.join(FORMAT_FILE))?;
    Ok(())
}

fn not_a_backlog(folder: &Path) -> StoreError {
    StoreError::NotABacklog { folder: folder.display().to_string() }
}

fn corrupt(cause: &str) -> StoreError {
    StoreError::Corrupt { location: FORMAT_FILE.to_owned(), cause: cause.to_owned() }
}
