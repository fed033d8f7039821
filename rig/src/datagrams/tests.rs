use super::*;
use tokio::task::LocalSet;

#[test]
fn faults_apply_by_sender_and_overlapping_cuts_end_with_the_last() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let first_sender = 0x7f40_0001;
        let socket = |n: u32| UdpSocket::bind((Ipv4Addr::from(first_sender + n), 0));
        let (a, b, c) =
            (socket(0).await.expect("a"), socket(1).await.expect("b"), socket(2).await.expect("c"));
        let datagrams = Datagrams::new(first_sender, 1);
        let to_c = datagrams.open_path_to(2, c.local_addr().expect("c")).await.expect("a path");
        let mut buffer = [0; 8];
        let mut expect_received = async |bytes: &[u8]| {
            let got = timeout(Duration::from_secs(10), c.recv(&mut buffer)).await.expect("in time");
            assert_eq!(&buffer[..got.expect("received")], bytes);
        };
        datagrams.change(0, 2, |path| path.cuts += 1);
        datagrams.change(0, 2, |path| path.cuts += 1);
        a.send_to(b"lost", to_c).await.expect("sent");
        b.send_to(b"b", to_c).await.expect("sent");
        expect_received(b"b").await;
        datagrams.change(0, 2, |path| path.cuts -= 1);
        a.send_to(b"lost", to_c).await.expect("sent");
        b.send_to(b"b2", to_c).await.expect("sent");
        expect_received(b"b2").await;
        datagrams.change(0, 2, |path| path.cuts -= 1);
        a.send_to(b"a", to_c).await.expect("sent");
        expect_received(b"a").await;
        datagrams.change(1, 2, |path| path.lose = 1.0);
        b.send_to(b"lost", to_c).await.expect("sent");
        a.send_to(b"a2", to_c).await.expect("sent");
        expect_received(b"a2").await;
    });
}
