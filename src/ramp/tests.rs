use super::*;
use proptest::prelude::*;

/// Sends whenever possible, with answers one round later; returns the number of calls in each second.
fn run(ramp: &mut Ramp, seconds: usize, served: impl Fn(usize, u32) -> bool) -> Vec<u32> {
    let mut calls = vec![0; seconds];
    for tick in 0..seconds as u64 * 200 {
        let (now, second) = (tick * SECOND / 200, (tick / 200) as usize);
        while ramp.may_send(now) {
            ramp.call_sent(now);
            calls[second] += 1;
            if served(second, calls[second]) { ramp.call_succeeded(now) } else { ramp.call_failed(now) }
        }
    }
    calls
}

#[test]
fn the_rate_grows_with_answers_and_no_faster() {
    let calls = run(&mut Ramp::new(0, 2.0, None), 15, |_, _| true);
    assert!(calls[0] <= 3, "{calls:?}");
    assert!(calls.windows(2).all(|w| f64::from(w[1]) <= f64::from(w[0]) * 1.4 + 2.0), "{calls:?}");
    assert!(calls[13] >= 40, "{calls:?}");
}

#[test]
fn a_destination_at_a_tenth_of_its_capacity_is_not_overloaded() {
    let calls = run(&mut Ramp::new(0, 2.0, None), 60, |_, call| call <= 10);
    assert!(calls.iter().all(|c| *c <= 13), "{calls:?}");
    let later: u32 = calls[20..].iter().sum();
    assert!((6 * 40..=10 * 40).contains(&later), "{calls:?}");
}

#[test]
fn a_known_limit_bounds_the_ramp_during_warm_up() {
    let warm_up = WarmUp { limit: 50.0, share: 0.2, time: 10 * SECOND };
    let calls = run(&mut Ramp::new(0, 10.0, Some(warm_up)), 14, |_, _| true);
    for (second, calls) in calls.iter().enumerate() {
        let max = warm_up.limit_at((second as u64 + 1) * SECOND);
        assert!(f64::from(*calls) <= max + 2.0, "{calls} in second {second}, {max} at most");
    }
    assert!(calls[13] >= 45, "{calls:?}");
}

#[test]
fn unused_calls_do_not_accumulate() {
    let mut ramp = Ramp::new(0, 10.0, None);
    ramp.call_sent(0);
    let burst = (0..100).take_while(|_| {
        let may = ramp.may_send(100 * SECOND);
        ramp.call_sent(100 * SECOND);
        may
    });
    assert_eq!(burst.count(), 1);
}

#[test]
fn a_ramp_ends_once_warm_and_not_while_calls_fail() {
    let mut ramp = Ramp::new(0, 10.0, None);
    assert!(!ramp.is_over(13 * SECOND, 14 * SECOND) && ramp.is_over(14 * SECOND, 14 * SECOND));
    ramp.call_failed(13 * SECOND);
    assert!(!ramp.is_over(14 * SECOND, 14 * SECOND) && ramp.is_over(20 * SECOND, 14 * SECOND));
}

proptest! {
    /// For any answers and failures at any times, the calls of any second stay within the rate that was
    /// reached, and only answers raise that rate.
    #[test]
    fn calls_never_exceed_the_rate_that_answers_allow(
        start in 0.2f64..50.0,
        events in prop::collection::vec((0u64..400, 0u8..3), 1..400)
    ) {
        let mut ramp = Ramp::new(0, start, None);
        let (mut now, mut sent, mut answers) = (0, Vec::<Nanos>::new(), 0.0);
        for (ms, what) in events {
            now += ms * SECOND / 1000;
            match what {
                0 => while ramp.may_send(now) { ramp.call_sent(now); sent.push(now); },
                1 => { ramp.call_succeeded(now); answers += 1.0; }
                _ => ramp.call_failed(now),
            }
            prop_assert!(ramp.rate <= start + RATE_GAIN * answers + 1e-9 && ramp.rate >= MIN_RATE);
            let second = sent.iter().filter(|at| **at + SECOND > now).count() as f64;
            let max = (start + RATE_GAIN * answers) * (1.0 + secs(MAX_LAG)) + 2.0;
            prop_assert!(second <= max, "{second} calls in a second, {max} at most");
        }
    }
}
