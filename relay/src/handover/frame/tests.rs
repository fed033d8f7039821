use super::*;
use crate::job::Outcome;

#[test]
fn a_frame_that_is_cut_short_or_damaged_is_rejected() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let claim = FinishedClaim { key: 7, outcome: Outcome::Full { wait: None }, node: "n1".into() };
        let frames =
            [Frame::Hello { version: 3 }, Frame::ClaimFinished(claim), Frame::HandOver(Box::default())];
        for frame in frames {
            let bytes = frame.encode();
            assert_eq!(Frame::read(&mut &bytes[..]).await.expect("whole"), frame);
            for cut in 0..bytes.len() {
                assert!(Frame::read(&mut &bytes[..cut]).await.is_err(), "cut at {cut}");
                let mut damaged = bytes.clone();
                damaged[cut] ^= 0x10;
                assert!(Frame::read(&mut &damaged[..]).await.is_err(), "damaged at {cut}");
            }
        }
        assert!(Frame::read(&mut &b"GET / HTTP/1.1\r\n\r\n"[..]).await.is_err());
    });
}
