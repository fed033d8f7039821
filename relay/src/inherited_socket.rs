//! The listening socket that the platform passes on to every process of the relay.
//!
//! Each process gets a descriptor of its own for it, so that closing one leaves the socket to the others. The way not
//! taken: to build a socket from the number itself, which no safe call does.
use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::net::TcpListener;

/// Names the descriptor.
const VARIABLE: &str = "BALANCER_PASSED_SOCKET";

/// The socket, if the environment names one.
pub fn listener() -> Result<Option<TcpListener>, String> {
    match std::env::var(VARIABLE) {
        Ok(number) if !number.trim().is_empty() => numbered(&number).map(Some),
        _ => Ok(None),
    }
}

fn numbered(text: &str) -> Result<TcpListener, String> {
    let number: i32 = text.trim().parse().map_err(|_| format!("{VARIABLE}: '{text}' is no number"))?;
    let fault = |what: &str, e: rustix::io::Errno| format!("{VARIABLE}: {what} {number}: {e}");
    let this = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| fault("cannot get at descriptor", e))?;
    let own = pidfd_getfd(this, number, PidfdGetfdFlags::empty())
        .map_err(|e| fault("there is no descriptor", e))?;
    match socket_acceptconn(&own) {
        Ok(true) => Ok(TcpListener::from(own)),
        Ok(false) => Err(format!("{VARIABLE}: descriptor {number} does not listen")),
        Err(e) => Err(fault("no socket is descriptor", e)),
    }
}

#[cfg(test)]
mod tests;
