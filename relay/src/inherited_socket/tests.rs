use super::*;
use std::net::{TcpStream, UdpSocket};
use std::os::fd::AsRawFd;

#[test]
fn only_a_listening_socket_is_duplicated() {
    let first = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = first.local_addr().expect("an address");
    let second = from_descriptor(&first.as_raw_fd().to_string()).expect("it listens");
    assert_ne!(first.as_raw_fd(), second.as_raw_fd());
    // Closing one descriptor does not close the socket of the other.
    drop(first);
    let stream = TcpStream::connect(address).expect("the socket still listens");
    second.accept().expect("a connection");
    let datagrams = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let file = std::fs::File::open("/dev/null").expect("/dev/null opens");
    for (number, message) in [
        (stream.as_raw_fd().to_string(), "is not a listening socket"),
        (datagrams.as_raw_fd().to_string(), "is not a listening socket"),
        (file.as_raw_fd().to_string(), "no socket at descriptor"),
        ("123456".into(), "cannot duplicate descriptor"),
        ("four".into(), "is not a descriptor number"),
    ] {
        let error = from_descriptor(&number).expect_err("it is not a listening socket");
        assert!(error.contains(message), "{error}");
    }
}
