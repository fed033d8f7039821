//! Faults of a relay's system calls and wall clock, as the shim injects them. `shim/src/control.rs` describes the control file.
use rustix::io::Errno;
use serde::{Deserialize, Serialize};

/// A system call that can be made to fail.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Call {
    /// Writes to files in the state folder.
    Write,
    /// Reads of files in the state folder.
    Read,
    /// Opening files in the state folder.
    Open,
    /// Renaming files in the state folder.
    Rename,
    /// Truncating files in the state folder.
    Truncate,
    /// Syncing files in the state folder.
    Sync,
    Accept,
    Socket,
    Connect,
    /// Reads from sockets.
    Receive,
    /// Waiting for events with epoll.
    Wait,
}

impl Call {
    fn name(self) -> &'static str {
        match self {
            Call::Write => "write",
            Call::Read => "read",
            Call::Open => "open",
            Call::Rename => "rename",
            Call::Truncate => "truncate",
            Call::Sync => "sync",
            Call::Accept => "accept",
            Call::Socket => "socket",
            Call::Connect => "connect",
            Call::Receive => "receive",
            Call::Wait => "wait",
        }
    }
}

/// The error that a failing call reports.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Failure {
    Enospc,
    Eio,
    Econnaborted,
    Enfile,
    Enobufs,
    Eaddrnotavail,
    Enetunreach,
    Ehostunreach,
    Etimedout,
    Eintr,
}

impl Failure {
    fn number(self) -> i32 {
        let errno = match self {
            Failure::Enospc => Errno::NOSPC,
            Failure::Eio => Errno::IO,
            Failure::Econnaborted => Errno::CONNABORTED,
            Failure::Enfile => Errno::NFILE,
            Failure::Enobufs => Errno::NOBUFS,
            Failure::Eaddrnotavail => Errno::ADDRNOTAVAIL,
            Failure::Enetunreach => Errno::NETUNREACH,
            Failure::Ehostunreach => Errno::HOSTUNREACH,
            Failure::Etimedout => Errno::TIMEDOUT,
            Failure::Eintr => Errno::INTR,
        };
        errno.raw_os_error()
    }
}

/// A fault of a process's system calls or wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemFault {
    /// One call in `one_in` fails; 0 and 1 mean every call.
    Fails { call: Call, failure: Failure, one_in: u32 },
    /// A write writes half of its bytes, and the next one, for the rest, fails.
    HalfWrites { failure: Failure },
    /// The next write ends after this many bytes, and the process is killed.
    TornWrite { bytes: u64 },
    /// The wall clock is off by this many seconds.
    ClockStep { seconds: i64 },
}

impl SystemFault {
    /// The fault's line in the shim's control file.
    pub fn control_line(&self) -> String {
        match *self {
            SystemFault::Fails { call, failure, one_in } => {
                format!("{} {} {} fail 0", call.name(), failure.number(), one_in.max(1))
            }
            SystemFault::HalfWrites { failure } => format!("write {} 1 half 0", failure.number()),
            SystemFault::TornWrite { bytes } => format!("write {} 1 kill {bytes}", Failure::Eio.number()),
            SystemFault::ClockStep { seconds } => format!("clock {seconds} 1 fail 0"),
        }
    }
}

#[cfg(test)]
mod tests;
