use super::*;
use proptest::prelude::*;

/// Sends whenever it may, with answers a round later; gives the calls of each second.
fn play(ramp: &mut Ramp, seconds: usize, served: impl Fn(usize, u32) -> bool) -> Vec<u32> {
    let mut calls = vec![0; seconds];
    for tick in 0..seconds as u64 * 200 {
        let (now, second) = (tick * SECOND / 200, (tick / 200) as usize);
        while ramp.may_send(now) {
            ramp.sent(now);
            calls[second] += 1;
            if served(second, calls[second]) { ramp.answered(now) } else { ramp.failed(now) }
        }
    }
    calls
}

#[test]
fn it_grows_by_what_is_answered_and_no_faster() {
    let calls = play(&mut Ramp::new(0, 2.0, None), 15, |_, _| true);
    assert!(calls[0] <= 3, "{calls:?}");
    assert!(calls.windows(2).all(|w| f64::from(w[1]) <= f64::from(w[0]) * 1.4 + 2.0), "{calls:?}");
    assert!(calls[13] >= 40, "{calls:?}");
}

#[test]
fn a_partner_at_a_tenth_is_kept_within_what_it_takes() {
    let calls = play(&mut Ramp::new(0, 2.0, None), 60, |_, call| call <= 10);
    assert!(calls.iter().all(|c| *c <= 13), "{calls:?}");
    let late: u32 = calls[20..].iter().sum();
    assert!((6 * 40..=10 * 40).contains(&late), "{calls:?}");
}

#[test]
fn a_known_limit_bounds_it_as_the_partner_warms() {
    let warming = Warming { limit: 50.0, share: 0.2, time: 10 * SECOND };
    let calls = play(&mut Ramp::new(0, 10.0, Some(warming)), 14, |_, _| true);
    for (second, calls) in calls.iter().enumerate() {
        let most = warming.most((second as u64 + 1) * SECOND);
        assert!(f64::from(*calls) <= most + 2.0, "{calls} in second {second}, {most} at most");
    }
    assert!(calls[13] >= 45, "{calls:?}");
}

#[test]
fn a_wait_is_not_made_up_for() {
    let mut ramp = Ramp::new(0, 10.0, None);
    ramp.sent(0);
    let burst = (0..100).take_while(|_| {
        let may = ramp.may_send(100 * SECOND);
        ramp.sent(100 * SECOND);
        may
    });
    assert_eq!(burst.count(), 1);
}

#[test]
fn it_is_over_once_warm_and_not_while_it_fails() {
    let mut ramp = Ramp::new(0, 10.0, None);
    assert!(!ramp.is_over(13 * SECOND, 14 * SECOND) && ramp.is_over(14 * SECOND, 14 * SECOND));
    ramp.failed(13 * SECOND);
    assert!(!ramp.is_over(14 * SECOND, 14 * SECOND) && ramp.is_over(20 * SECOND, 14 * SECOND));
}

proptest! {
    /// Whatever is answered or fails whenever, calls of any second stay within the rate that was reached,
    /// which answers alone have raised.
    #[test]
    fn no_history_lets_more_out_than_was_answered_for(
        start in 0.2f64..50.0,
        events in prop::collection::vec((0u64..400, 0u8..3), 1..400)
    ) {
        let mut ramp = Ramp::new(0, start, None);
        let (mut now, mut sent, mut answers) = (0, Vec::<Nanos>::new(), 0.0);
        for (ms, what) in events {
            now += ms * SECOND / 1000;
            match what {
                0 => while ramp.may_send(now) { ramp.sent(now); sent.push(now); },
                1 => { ramp.answered(now); answers += 1.0; }
                _ => ramp.failed(now),
            }
            prop_assert!(ramp.rate <= start + GAIN * answers + 1e-9 && ramp.rate >= LEAST);
            let second = sent.iter().filter(|at| **at + SECOND > now).count() as f64;
            let most = (start + GAIN * answers) * (1.0 + secs(LAG)) + 2.0;
            prop_assert!(second <= most, "{second} calls in a second, {most} at most");
        }
    }
}
