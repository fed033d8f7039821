//! Processor time of this thread and of other processes, read from `/proc`.
use std::path::Path;
use std::time::Duration;

use super::CapacityError;

/// Unit of the times in `/proc/PID/stat`: one `USER_HZ` tick, which is the same on every Linux system.
const TICK: Duration = Duration::from_millis(10);
/// Indices of the user and system time among the fields of `/proc/PID/stat` that follow the program's name.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Processor time used by the calling thread.
pub fn of_this_thread() -> Result<Duration, CapacityError> {
    of_main_thread(Path::new("/proc/thread-self"))
}

/// Processor time used by a process's main thread. In a relay, this is the thread that runs the decision module.
pub fn of_deciding_thread(process: u32) -> Result<Duration, CapacityError> {
    of_main_thread(Path::new(&format!("/proc/{process}")))
}

fn of_main_thread(directory: &Path) -> Result<Duration, CapacityError> {
    let path = directory.join("schedstat");
    let text = read(&path)?;
    let nanoseconds = text.split_whitespace().next().and_then(|field| field.parse().ok());
    nanoseconds.map(Duration::from_nanos).ok_or_else(|| unreadable(&path))
}

/// Processor time used by all threads of a process, including those that have ended, at a resolution of 10 ms.
pub fn of_process(process: u32) -> Result<Duration, CapacityError> {
    let path = Path::new("/proc").join(process.to_string()).join("stat");
    let text = read(&path)?;
    let (_, fields) = text.rsplit_once(") ").ok_or_else(|| unreadable(&path))?;
    let fields: Vec<_> = fields.split(' ').collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u32>().ok());
    let used = ticks(USER_FIELD).zip(ticks(SYSTEM_FIELD)).map(|(user, system)| TICK * (user + system));
    used.ok_or_else(|| unreadable(&path))
}

fn read(path: &Path) -> Result<String, CapacityError> {
    std::fs::read_to_string(path).map_err(|source| CapacityError::File { path: path.to_owned(), source })
}

fn unreadable(path: &Path) -> CapacityError {
    CapacityError::Measurement {
        subject: "processor time",
        reason: format!("{} has an unexpected format", path.display()),
    }
}
