use super::*;
use proptest::prelude::*;
use std::collections::HashSet;

const UNIX: Duration = Duration::from_secs(1_800_000_000);

fn key(byte: u8) -> Key {
    Key::read(&[byte; 32]).expect("long enough")
}

fn pair() -> (FrameAuthenticator, FrameAuthenticator) {
    (FrameAuthenticator::new(key(7), 1), FrameAuthenticator::new(key(7), 2))
}

#[test]
fn what_is_sealed_is_opened_once_and_by_the_key_only() {
    let (mut a, mut b) = pair();
    let frame = a.seal(b"hello", UNIX);
    assert_eq!(b.open(&frame, At::ZERO, UNIX), Ok(&b"hello"[..]));
    assert_eq!(b.open(&frame, At::ZERO, UNIX), Err(FrameError::Replay));
    let other = FrameAuthenticator::new(key(8), 3).seal(b"hello", UNIX);
    assert_eq!(b.open(&other, At::ZERO, UNIX), Err(FrameError::WrongTag));
    assert_eq!(b.open(b"", At::ZERO, UNIX), Err(FrameError::Malformed));
    for place in 1..frame.len() {
        let mut spoilt = a.seal(b"hello", UNIX);
        spoilt[place] ^= 1;
        assert_eq!(b.open(&spoilt, At::ZERO, UNIX), Err(FrameError::WrongTag), "byte {place}");
    }
}

#[test]
fn clocks_may_differ_by_half_a_minute_and_old_frames_are_none() {
    let (mut a, mut b) = pair();
    for (seconds, taken) in [(30, true), (119, true), (121, false), (3600, false)] {
        for sent in [UNIX - Duration::from_secs(seconds), UNIX + Duration::from_secs(seconds)] {
            let frame = a.seal(b"x", sent);
            assert_eq!(b.open(&frame, At::ZERO, UNIX).is_ok(), taken, "{seconds} s");
        }
    }
}

#[test]
fn senders_are_bounded_and_forgotten_once_their_frames_are_too_old() {
    let mut b = FrameAuthenticator::new(key(7), 0);
    for sender in 1..=SENDERS as u64 {
        assert!(b.open(&FrameAuthenticator::new(key(7), sender).seal(b"x", UNIX), At::ZERO, UNIX).is_ok());
    }
    let one_more = FrameAuthenticator::new(key(7), 1 << 40).seal(b"x", UNIX);
    assert_eq!(b.open(&one_more, At::ZERO, UNIX), Err(FrameError::TooManySenders));
    assert!(b.open(&one_more, 2 * SKEW, UNIX).is_ok());
    assert_eq!(b.senders.len(), 1);
}

#[test]
fn a_short_key_is_none() {
    assert_eq!(Key::read(b"  short\n").err(), Some(KeyFault::TooShort(5)));
    assert!(Key::read(format!(" {}\n", "k".repeat(32)).as_bytes()).is_ok());
}

/// Found by the test below: the highest so far was forgotten when the next one was just as far on as the window is wide.
#[test]
fn a_frame_at_the_windows_far_end_is_not_taken_again() {
    let mut b = FrameAuthenticator::new(key(7), 0);
    let taken = [321, 385, 321, 320].map(|counter| b.heard(1, counter, At::ZERO).is_ok());
    assert_eq!(taken, [true, true, false, false]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    /// In whatever order frames come, each is taken at most once; those within the window are taken.
    #[test]
    fn each_frame_is_taken_at_most_once(order in prop::collection::vec(1u64..400, 1..400)) {
        let mut b = FrameAuthenticator::new(key(7), 0);
        let (mut taken, mut highest) = (HashSet::new(), 0);
        for counter in order {
            let fresh = b.heard(1, counter, At::ZERO).is_ok();
            prop_assert!(!fresh || !taken.contains(&counter));
            if !taken.contains(&counter) && counter + WINDOW >= highest {
                prop_assert!(fresh, "{counter} of {highest}");
            }
            if fresh {
                taken.insert(counter);
            }
            highest = highest.max(counter);
        }
    }
}
