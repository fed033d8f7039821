//! The control file: one fault per line, at most [`CONTROL_BYTES`] bytes, read again before each call.
//!
//! A line holds the call, the error number, N where one call in N is to fail, the mode and the mode's argument, separated by
//! single spaces: `write 28 1 half 0`. `clock S 1 fail 0` steps the wall clock by S seconds. Lines that cannot be parsed are
//! ignored.
use crate::system;
use std::sync::atomic::{AtomicI32, AtomicU32, Ordering};

/// Maximum number of bytes read from the control file.
pub const CONTROL_BYTES: usize = 1024;

const NOT_OPENED: i32 = -1;
const NO_FILE: i32 = -2;

static CONTROL_FILE: AtomicI32 = AtomicI32::new(NOT_OPENED);

/// A call that can be made to fail.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Writes to files.
    Write,
    /// Reads of files.
    Read,
    /// Opening files.
    Open,
    /// Renaming files.
    Rename,
    /// Truncating files.
    Truncate,
    /// Syncing files.
    Sync,
    /// Accepting connections.
    Accept,
    /// Creating sockets.
    Socket,
    /// Connecting sockets.
    Connect,
    /// Reads from sockets.
    Receive,
    /// Waiting for events.
    Wait,
    /// Reading the wall clock.
    Clock,
}

const CALLS: [(&[u8], Call); 12] = [
    (b"write", Call::Write),
    (b"read", Call::Read),
    (b"open", Call::Open),
    (b"rename", Call::Rename),
    (b"truncate", Call::Truncate),
    (b"sync", Call::Sync),
    (b"accept", Call::Accept),
    (b"socket", Call::Socket),
    (b"connect", Call::Connect),
    (b"receive", Call::Receive),
    (b"wait", Call::Wait),
    (b"clock", Call::Clock),
];

static COUNTS: [AtomicU32; CALLS.len()] = [const { AtomicU32::new(0) }; CALLS.len()];

/// How a call fails.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It does nothing and returns the error number.
    Fail,
    /// It writes half of the bytes; the next call, for the rest, fails.
    Half,
    /// It writes this many bytes, then the process is killed.
    Kill(usize),
}

/// A fault to inject into the current call.
#[derive(Clone, Copy)]
pub struct Fault {
    /// The error number; for [`Call::Clock`], the step in seconds.
    pub number: i32,
    /// How the call fails.
    pub mode: Mode,
}

/// The fault to inject into this call, if any. A call for which `may_fail` is false never fails and isn't counted.
pub fn fault(call: Call, may_fail: impl Fn() -> bool) -> Option<Fault> {
    let mut buffer = [0; CONTROL_BYTES];
    let text = read(&mut buffer)?;
    let (one_in, fault) = text.split(|byte| *byte == b'\n').find_map(|line| parse(line, call))?;
    if !may_fail() {
        return None;
    }
    let index = CALLS.iter().position(|(_, known)| *known == call)?;
    let count = COUNTS[index].fetch_add(1, Ordering::Relaxed);
    count.is_multiple_of(one_in).then_some(fault)
}

/// The current step of the wall clock in seconds.
pub fn clock_step() -> i64 {
    fault(Call::Clock, || true).map_or(0, |fault| i64::from(fault.number))
}

fn read(buffer: &mut [u8; CONTROL_BYTES]) -> Option<&[u8]> {
    let mut file = CONTROL_FILE.load(Ordering::Relaxed);
    if file == NOT_OPENED {
        file = system::environment(c"ONYXGLADE_SHIM_CONTROL").map_or(NO_FILE, system::open_read_only);
        CONTROL_FILE.store(file, Ordering::Relaxed);
    }
    let read = if file < 0 { 0 } else { system::read_from_start(file, buffer) };
    buffer.get(..read).filter(|text| !text.is_empty())
}

fn parse(line: &[u8], call: Call) -> Option<(u32, Fault)> {
    let mut fields = line.split(|byte| *byte == b' ');
    let name = fields.next()?;
    CALLS.iter().find(|(known, known_call)| *known == name && *known_call == call)?;
    let mut number = || std::str::from_utf8(fields.next()?).ok()?.parse::<i32>().ok();
    let (error, one_in) = (number()?, number()?);
    let mode = fields.next()?;
    let bytes = fields.next().and_then(|field| std::str::from_utf8(field).ok()?.parse().ok()).unwrap_or(0);
    let mode = match mode {
        b"half" => Mode::Half,
        b"kill" => Mode::Kill(bytes),
        _ => Mode::Fail,
    };
    Some((u32::try_from(one_in).ok()?.max(1), Fault { number: error, mode }))
}
