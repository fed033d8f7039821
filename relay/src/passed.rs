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
mod tests {
    use super::*;
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;

    #[test]
    fn a_listening_socket_is_had_again_and_nothing_else() {
        let first = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = first.local_addr().expect("an address");
        let second = numbered(&first.as_raw_fd().to_string()).expect("it listens");
        assert_ne!(first.as_raw_fd(), second.as_raw_fd());
        // Closing one does not shut it down for the other.
        drop(first);
        let stream = TcpStream::connect(address).expect("it still listens");
        second.accept().expect("a connection");
        let datagrams = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let file = std::fs::File::open("/dev/null").expect("it is there");
        for (number, why) in [
            (stream.as_raw_fd().to_string(), "does not listen"),
            (datagrams.as_raw_fd().to_string(), "does not listen"),
            (file.as_raw_fd().to_string(), "no socket"),
            ("123456".into(), "no descriptor"),
            ("four".into(), "is no number"),
        ] {
            let fault = numbered(&number).expect_err("no listener");
            assert!(fault.contains(why), "{fault}");
        }
    }
}
