use super::*;
use proptest::prelude::*;

fn at(ms: u64) -> At {
    Duration::from_millis(ms)
}

fn even() -> Nature {
    Nature { rate: 10.0, queue: 5, spread: 0.0, ..Nature::default() }
}

fn play(partner: &mut Partner, from: u64, to: u64, every: u64) -> (usize, usize) {
    let fates: Vec<_> = (from..to).step_by(every as usize).map(|ms| partner.call(at(ms))).collect();
    let served = fates.iter().filter(|f| matches!(f, Fate::Served(_))).count();
    (fates.len(), served)
}

#[test]
fn a_queue_fills_delays_and_turns_away() {
    let mut partner = Partner::new(even(), 1);
    let waits: Vec<_> = (0..7).map(|_| partner.call(at(0))).collect();
    assert_eq!(waits[0], Fate::Served(at(5)));
    assert_eq!(waits[4], Fate::Served(at(405)));
    assert_eq!(waits[5], Fate::Full(None));
    assert_eq!(partner.call(at(1000)), Fate::Served(at(5)));
}

#[test]
fn a_counted_window_tells_when_it_ends() {
    let limit = Some(Limit { calls: 2, span_ms: 1000, told: true, refused_count: false });
    let mut partner = Partner::new(Nature { limit, ..even() }, 1);
    partner.call(at(100));
    partner.call(at(200));
    assert_eq!(partner.call(at(400)), Fate::Full(Some(at(600))));
    assert!(matches!(partner.call(at(1000)), Fate::Served(_)));
    assert_eq!(partner.takes(at(0)), 2.0);
}

#[test]
fn a_cold_start_warms_and_falls_over_when_pushed() {
    let nature = Nature { rate: 100.0, ..Nature::default() };
    let mut partner = Partner::new(nature.clone(), 1);
    partner.start(at(0));
    assert!((partner.rate(at(0)) - 18.0).abs() < 1e-6 && (partner.rate(at(7000)) - 59.0).abs() < 1e-6);
    assert!(partner.is_cold(at(13_999)) && !partner.is_cold(at(14_000)));
    let (_, served) = play(&mut partner, 0, 3000, 50);
    assert!(served == 60 && partner.falls == 0, "20 a second is within twice 18");
    let mut pushed = Partner::new(nature, 1);
    pushed.start(at(0));
    play(&mut pushed, 0, 3000, 5);
    assert_eq!(pushed.falls, 1);
    assert!(pushed.is_gone(at(3000)) && !pushed.is_gone(at(12_000)));
    assert!(matches!(pushed.call(at(12_000)), Fate::Served(_)) && pushed.is_cold(at(12_000)));
}

#[test]
fn troubles_begin_and_end() {
    let mut partner = Partner::new(even(), 1);
    let cases = [
        (Trouble::Hang, Fate::Silent),
        (Trouble::Fail, Fate::Failed),
        (Trouble::Shut, Fate::Full(None)),
        (Trouble::ShutTold, Fate::Full(Some(at(300)))),
        (Trouble::LoseAnswers, Fate::Lost),
    ];
    for (n, (trouble, fate)) in cases.into_iter().enumerate() {
        let now = 10_000 * n as u64;
        partner.begin(trouble, at(now + 400));
        assert_eq!(partner.call(at(now + 100)), fate, "{trouble:?}");
        assert!(matches!(partner.call(at(now + 5000)), Fate::Served(_)), "{trouble:?}");
    }
    partner.begin(Trouble::Refuse, at(99_000));
    assert!(partner.is_gone(at(98_000)) && !partner.is_gone(at(99_000)));
    partner.begin(Trouble::Tenth, at(200_000));
    assert_eq!(partner.rate(at(150_000)), 1.0);
}

#[test]
fn refused_calls_use_a_limit_up_where_they_count() {
    let limit = Some(Limit { calls: 10, span_ms: 1000, told: false, refused_count: true });
    let mut partner = Partner::new(Nature { limit, rate: 100.0, ..even() }, 1);
    assert_eq!(play(&mut partner, 0, 5000, 125), (40, 40), "eight a second");
    // Sixteen a second: after the first ten, none.
    assert_eq!(play(&mut partner, 10_000, 15_000, 62).1, 10);
    partner.begin_at(Trouble::Lowered, at(20_000), at(30_000));
    assert_eq!(play(&mut partner, 20_000, 25_000, 125).1, 4);
    assert_eq!(partner.takes(at(21_000)), 4.0);
}

proptest! {
    /// Whatever comes when, no more is served than the rate and the queue allow, and the same seed does the same.
    #[test]
    fn no_more_is_served_than_it_can_do(gaps in prop::collection::vec(0u64..60, 1..300), seed in 0u64..9) {
        let run = || {
            let mut partner = Partner::new(even(), seed);
            let mut now = 0;
            let fates: Vec<_> = gaps.iter().map(|gap| { now += gap; partner.call(at(now)) }).collect();
            (fates, now)
        };
        let ((fates, end), again) = (run(), run());
        prop_assert_eq!(&fates, &again.0);
        let served = fates.iter().filter(|f| matches!(f, Fate::Served(_))).count() as f64;
        prop_assert!(served <= end as f64 / 100.0 + 6.0);
    }
}
