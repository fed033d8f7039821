use super::*;
use std::net::TcpStream;
use std::time::Duration;

/// The system tries a dropped connection again after a second.
const BEFORE_A_SECOND_TRY: Duration = Duration::from_millis(900);

#[tokio::test]
async fn a_crowd_that_connects_before_any_is_taken_is_not_dropped() {
    let listener = listen("listen", "127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let crowd: Vec<_> = (0..300).map(|_| TcpStream::connect_timeout(&address, BEFORE_A_SECOND_TRY)).collect();
    assert_eq!(crowd.iter().filter(|connected| connected.is_err()).count(), 0);
}

#[tokio::test]
async fn an_address_that_is_taken_is_named_with_its_key() {
    let first = listen("push.listen", "127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = first.local_addr().expect("it is bound");
    let fault = listen("push.listen", address).expect_err("it is taken");
    assert!(fault.starts_with(&format!("push.listen: cannot listen on {address}")), "{fault}");
}
