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
fn a_frame_is_accepted_once_and_only_under_its_key() {
    let (mut a, mut b) = pair();
    let frame = a.seal(b"hello", UNIX);
    assert_eq!(b.open(&frame, At::ZERO, UNIX), Ok(&b"hello"[..]));
    assert_eq!(b.open(&frame, At::ZERO, UNIX), Err(FrameError::Replay));
    let other = FrameAuthenticator::new(key(8), 3).seal(b"hello", UNIX);
    assert_eq!(b.open(&other, At::ZERO, UNIX), Err(FrameError::WrongTag));
    assert_eq!(b.open(b"", At::ZERO, UNIX), Err(FrameError::Malformed));
    for offset in 1..frame.len() {
        let mut altered = a.seal(b"hello", UNIX);
        altered[offset] ^= 1;
        assert_eq!(b.open(&altered, At::ZERO, UNIX), Err(FrameError::WrongTag), "byte {offset}");
    }
}

#[test]
fn clocks_may_differ_by_two_minutes_and_older_frames_are_rejected() {
    let (mut a, mut b) = pair();
    for (seconds, accepted) in [(30, true), (119, true), (121, false), (3600, false)] {
        for sent in [UNIX - Duration::from_secs(seconds), UNIX + Duration::from_secs(seconds)] {
            let frame = a.seal(b"x", sent);
            assert_eq!(b.open(&frame, At::ZERO, UNIX).is_ok(), accepted, "{seconds} s");
        }
    }
}

#[test]
fn senders_are_bounded_and_dropped_once_their_frames_are_too_old() {
    let mut b = FrameAuthenticator::new(key(7), 0);
    for sender in 1..=MAX_SENDERS as u64 {
        assert!(b.open(&FrameAuthenticator::new(key(7), sender).seal(b"x", UNIX), At::ZERO, UNIX).is_ok());
    }
    let one_more = FrameAuthenticator::new(key(7), 1 << 40).seal(b"x", UNIX);
    assert_eq!(b.open(&one_more, At::ZERO, UNIX), Err(FrameError::TooManySenders));
    assert!(b.open(&one_more, 2 * MAX_CLOCK_SKEW, UNIX).is_ok());
    assert_eq!(b.senders.len(), 1);
}

#[test]
fn a_short_key_is_rejected() {
    assert_eq!(Key::read(b"  short\n").err(), Some(KeyError::TooShort(5)));
    assert!(Key::read(format!(" {}\n", "k".repeat(32)).as_bytes()).is_ok());
}

/// Guards against a fault found by the property test below: when the next counter was exactly one window ahead, the former highest
/// counter was dropped from the bitmap and its frame accepted again.
#[test]
fn a_frame_at_the_far_end_of_the_window_is_not_accepted_again() {
    let mut b = FrameAuthenticator::new(key(7), 0);
    let accepted = [321, 385, 321, 320].map(|counter| b.record(1, counter, At::ZERO).is_ok());
    assert_eq!(accepted, [true, true, false, false]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    /// In any order of arrival each frame is accepted at most once, and every new frame within the window is accepted.
    #[test]
    fn each_frame_is_accepted_at_most_once(order in prop::collection::vec(1u64..400, 1..400)) {
        let mut b = FrameAuthenticator::new(key(7), 0);
        let (mut accepted, mut highest) = (HashSet::new(), 0);
        for counter in order {
            let fresh = b.record(1, counter, At::ZERO).is_ok();
            prop_assert!(!fresh || !accepted.contains(&counter));
            if !accepted.contains(&counter) && counter + WINDOW >= highest {
                prop_assert!(fresh, "{counter} of {highest}");
            }
            if fresh {
                accepted.insert(counter);
            }
            highest = highest.max(counter);
        }
    }
}
