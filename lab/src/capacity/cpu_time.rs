//! Processor time of this thread, and of another process with all its threads.
use std::path::Path;
use std::time::Duration;

use super::CapacityError;

/// The unit of `/proc/PID/stat`, which is the same on every Linux.
const TICK: Duration = Duration::from_millis(10);
/// Places of the user and system time in `/proc/PID/stat`, behind the program's name.
const USER: usize = 11;
const SYSTEM: usize = 12;

/// Processor time that this thread has used.
pub fn of_this_thread() -> Result<Duration, CapacityError> {
    of_first_thread(Path::new("/proc/thread-self"))
}

/// Processor time that a process's first thread has used: in a relay the one that decides.
pub fn of_deciding_thread(process: u32) -> Result<Duration, CapacityError> {
    of_first_thread(Path::new(&format!("/proc/{process}")))
}

fn of_first_thread(folder: &Path) -> Result<Duration, CapacityError> {
    let path = folder.join("schedstat");
    let text = read(&path)?;
    let nanoseconds = text.split_whitespace().next().and_then(|field| field.parse().ok());
    nanoseconds.map(Duration::from_nanos).ok_or_else(|| unreadable(&path))
}

/// Processor time that a process has used in all its threads, ended ones too, in steps of 10 ms.
pub fn of_process(process: u32) -> Result<Duration, CapacityError> {
    let path = Path::new("/proc").join(process.to_string()).join("stat");
    let text = read(&path)?;
    let (_, fields) = text.rsplit_once(") ").ok_or_else(|| unreadable(&path))?;
    let fields: Vec<_> = fields.split(' ').collect();
    let ticks = |place: usize| fields.get(place).and_then(|field| field.parse::<u32>().ok());
    let used = ticks(USER).zip(ticks(SYSTEM)).map(|(user, system)| TICK * (user + system));
    used.ok_or_else(|| unreadable(&path))
}

fn read(path: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(path).map_err(|source| CapacityError::File { path: path.to_owned(), source })
}

fn unreadable(path: &Path) -> CapacityError {
    CapacityError::Measurement {
        subject: "processor time",
        reason: format!("{} has another form", path.display()),
    }
}
