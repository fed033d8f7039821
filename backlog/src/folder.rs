//! The folder of a backlog: whose it is and in which format, told by a small text file beside the store's own files.
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::store::StoreError;

/// The newest format that this program knows.
pub const FORMAT: u32 = 1;
/// The file that tells the format and the owner.
pub const FORMAT_FILE: &str = "backlog.format";
const STORE_FOLDER: &str = "store";
const FIRST_LINE: &str = "onyxglade backlog";

/// Checks that `folder` is a backlog of `owner`, or makes it one if it is empty or absent. Tells where the store's files
/// belong.
pub fn claim(folder: &Path, owner: &str) -> Result<PathBuf, StoreError> {
    fs::create_dir_all(folder)?;
    match fs::read_to_string(folder.join(FORMAT_FILE)) {
        Ok(text) => check(folder, &text, owner)?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => create(folder, owner)?,
        Err(error) if error.kind() == io::ErrorKind::InvalidData => return Err(damaged("it is not text")),
        Err(error) => return Err(error.into()),
    }
    Ok(folder.join(STORE_FOLDER))
}

fn check(folder: &Path, text: &str, owner: &str) -> Result<(), StoreError> {
    let mut lines = text.lines();
    if lines.next() != Some(FIRST_LINE) {
        return Err(not_a_backlog(folder));
    }
    let version = lines.next().and_then(|line| line.strip_prefix("format ")?.parse().ok());
    let version: u32 = version.ok_or_else(|| damaged("it tells no format"))?;
    if version > FORMAT {
        return Err(StoreError::NewerFormat { version, newest: FORMAT });
    }
    let found =
        lines.next().and_then(|line| line.strip_prefix("owner ")).ok_or_else(|| damaged("no owner"))?;
    if found != owner {
        return Err(StoreError::WrongOwner { found: found.to_owned(), expected: owner.to_owned() });
    }
    Ok(())
}

/// Written beside and renamed, so that it is there whole or not at all.
fn create(folder: &Path, owner: &str) -> Result<(), StoreError> {
    let unfinished = folder.join("backlog.format.new");
    for entry in fs::read_dir(folder)? {
        if entry?.path() != unfinished {
            return Err(not_a_backlog(folder));
        }
    }
    let mut file = fs::File::create(&unfinished)?;
    write!(file, "{FIRST_LINE}\nformat {FORMAT}\nowner {owner}\n")?;
    file.sync_all()?;
    fs::rename(unfinished, folder.join(FORMAT_FILE))?;
    Ok(())
}

fn not_a_backlog(folder: &Path) -> StoreError {
    StoreError::NotABacklog { folder: folder.display().to_string() }
}

fn damaged(cause: &str) -> StoreError {
    StoreError::Corrupt { location: FORMAT_FILE.to_owned(), cause: cause.to_owned() }
}
