use super::*;
use proptest::prelude::*;

fn at(ms: u64) -> At {
    Duration::from_millis(ms)
}

fn constant_profile() -> PartnerProfile {
    PartnerProfile { rate: 10.0, queue: 5, spread: 0.0, ..PartnerProfile::default() }
}

fn call_repeatedly(partner: &mut Partner, from: u64, to: u64, every: u64) -> (usize, usize) {
    let outcomes: Vec<_> = (from..to).step_by(every as usize).map(|ms| partner.call(at(ms))).collect();
    let served = outcomes.iter().filter(|f| matches!(f, CallOutcome::Served(_))).count();
    (outcomes.len(), served)
}

#[test]
fn a_full_queue_delays_calls_and_then_turns_them_away() {
    let mut partner = Partner::new(constant_profile(), 1);
    let outcomes: Vec<_> = (0..7).map(|_| partner.call(at(0))).collect();
    assert_eq!(outcomes[0], CallOutcome::Served(at(5)));
    assert_eq!(outcomes[4], CallOutcome::Served(at(405)));
    assert_eq!(outcomes[5], CallOutcome::Overloaded(None));
    assert_eq!(partner.call(at(1000)), CallOutcome::Served(at(5)));
}

#[test]
fn a_refusal_by_a_counted_window_says_when_the_window_ends() {
    let limit = Some(Limit { calls: 2, span_ms: 1000, told: true, refused_count: false });
    let mut partner = Partner::new(PartnerProfile { limit, ..constant_profile() }, 1);
    partner.call(at(100));
    partner.call(at(200));
    assert_eq!(partner.call(at(400)), CallOutcome::Overloaded(Some(at(600))));
    assert!(matches!(partner.call(at(1000)), CallOutcome::Served(_)));
    assert_eq!(partner.capacity(at(0)), 2.0);
}

#[test]
fn a_cold_partner_warms_up_and_crashes_when_overloaded() {
    let nature = PartnerProfile { rate: 100.0, ..PartnerProfile::default() };
    let mut partner = Partner::new(nature.clone(), 1);
    partner.start(at(0));
    assert!((partner.rate(at(0)) - 18.0).abs() < 1e-6 && (partner.rate(at(7000)) - 59.0).abs() < 1e-6);
    assert!(partner.is_cold(at(13_999)) && !partner.is_cold(at(14_000)));
    let (_, served) = call_repeatedly(&mut partner, 0, 3000, 50);
    assert!(served == 60 && partner.crashes == 0, "20 a second is within twice 18");
    let mut pushed = Partner::new(nature, 1);
    pushed.start(at(0));
    call_repeatedly(&mut pushed, 0, 3000, 5);
    assert_eq!(pushed.crashes, 1);
    assert!(pushed.refuses_connections(at(3000)) && !pushed.refuses_connections(at(12_000)));
    assert!(matches!(pushed.call(at(12_000)), CallOutcome::Served(_)) && pushed.is_cold(at(12_000)));
}

#[test]
fn each_trouble_changes_the_outcome_of_calls_until_it_ends() {
    let mut partner = Partner::new(constant_profile(), 1);
    let cases = [
        (Trouble::Hang, CallOutcome::Unanswered),
        (Trouble::Fail, CallOutcome::Failed),
        (Trouble::Shut, CallOutcome::Overloaded(None)),
        (Trouble::ShutTold, CallOutcome::Overloaded(Some(at(300)))),
        (Trouble::LoseAnswers, CallOutcome::ConnectionLost),
    ];
    for (n, (trouble, outcome)) in cases.into_iter().enumerate() {
        let now = 10_000 * n as u64;
        partner.begin_trouble(trouble, at(now + 400));
        assert_eq!(partner.call(at(now + 100)), outcome, "{trouble:?}");
        assert!(matches!(partner.call(at(now + 5000)), CallOutcome::Served(_)), "{trouble:?}");
    }
    partner.begin_trouble(Trouble::Refuse, at(99_000));
    assert!(partner.refuses_connections(at(98_000)) && !partner.refuses_connections(at(99_000)));
    partner.begin_trouble(Trouble::Tenth, at(200_000));
    assert_eq!(partner.rate(at(150_000)), 1.0);
}

#[test]
fn refused_calls_use_up_a_limit_that_counts_them() {
    let limit = Some(Limit { calls: 10, span_ms: 1000, told: false, refused_count: true });
    let mut partner = Partner::new(PartnerProfile { limit, rate: 100.0, ..constant_profile() }, 1);
    assert_eq!(call_repeatedly(&mut partner, 0, 5000, 125), (40, 40), "eight a second");
    // Sixteen calls per second: none is served after the first ten.
    assert_eq!(call_repeatedly(&mut partner, 10_000, 15_000, 62).1, 10);
    partner.begin_trouble_at(Trouble::Lowered, at(20_000), at(30_000));
    assert_eq!(call_repeatedly(&mut partner, 20_000, 25_000, 125).1, 4);
    assert_eq!(partner.capacity(at(21_000)), 4.0);
}

proptest! {
    /// For arbitrary arrival times, no more calls are served than rate and queue allow, and the same seed
    /// gives the same outcomes.
    #[test]
    fn no_more_calls_are_served_than_rate_and_queue_allow(gaps in prop::collection::vec(0u64..60, 1..300), seed in 0u64..9) {
        let run = || {
            let mut partner = Partner::new(constant_profile(), seed);
            let mut now = 0;
            let outcomes: Vec<_> = gaps.iter().map(|gap| { now += gap; partner.call(at(now)) }).collect();
            (outcomes, now)
        };
        let ((outcomes, end), again) = (run(), run());
        prop_assert_eq!(&outcomes, &again.0);
        let served = outcomes.iter().filter(|f| matches!(f, CallOutcome::Served(_))).count() as f64;
        prop_assert!(served <= end as f64 / 100.0 + 6.0);
    }
}
