use super::*;
use std::net::TcpStream;
use std::time::Duration;

/// The kernel retransmits the SYN of a dropped connection after a second.
const BEFORE_RETRANSMISSION: Duration = Duration::from_millis(900);

#[tokio::test]
async fn a_burst_that_connects_before_any_is_accepted_is_not_dropped() {
    let listener = listen("listen", "127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let burst: Vec<_> =
        (0..300).map(|_| TcpStream::connect_timeout(&address, BEFORE_RETRANSMISSION)).collect();
    assert_eq!(burst.iter().filter(|connected| connected.is_err()).count(), 0);
}

#[tokio::test]
async fn the_error_for_an_address_in_use_names_the_key_and_the_address() {
    let first = listen("push.listen", "127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = first.local_addr().expect("it is bound");
    let error = listen("push.listen", address).expect_err("it is in use");
    assert!(error.is_in_use() && !error.is_shortage());
    let error = error.to_string();
    assert!(error.starts_with(&format!("push.listen: cannot listen on {address}")), "{error}");
}
