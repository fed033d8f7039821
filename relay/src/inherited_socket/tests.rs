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
