//! The listening socket that the platform passes to every relay process.
//!
//! Each process duplicates its descriptor, so that closing the copy leaves the socket to the other processes. Building a socket
//! directly from the descriptor number would need unsafe code.
use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::TcpListener;

/// Contains the number of the descriptor.
const ENV_VARIABLE: &str = "BALANCER_PASSED_SOCKET";

/// Returns the socket, if the environment names one.
pub fn listener() -> Result<Option<TcpListener>, String> {
    match std::env::var(ENV_VARIABLE) {
        Ok(number) if !number.trim().is_empty() => from_descriptor(&number).map(Some),
        _ => Ok(None),
    }
}

fn from_descriptor(text: &str) -> Result<TcpListener, String> {
    let number: i32 =
        text.trim().parse().map_err(|_| format!("{ENV_VARIABLE}: '{text}' is not a descriptor number"))?;
    let error = |what: &str, e: rustix::io::Errno| format!("{ENV_VARIABLE}: {what} {number}: {e}");
    let this = pidfd_open(getpid(), PidfdFlags::empty())
        .map_err(|e| error("cannot open this process to duplicate descriptor", e))?;
    let own = pidfd_getfd(this, number, PidfdGetfdFlags::empty())
        .map_err(|e| error("cannot duplicate descriptor", e))?;
    match socket_acceptconn(&own) {
        Ok(true) => Ok(TcpListener::from(own)),
        Ok(false) => Err(format!("{ENV_VARIABLE}: descriptor {number} is not a listening socket")),
        Err(e) => Err(error("no socket at descriptor", e)),
    }
}

#[cfg(test)]
mod tests;
