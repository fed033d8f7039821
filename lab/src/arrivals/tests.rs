use super::*;

#[test]
fn arrivals_follow_the_rate_steps_bursts_and_silent_spans() {
    let load = Load {
        rate: 100.0,
        steps: vec![(10.0, 20.0), (15.0, 0.0), (18.0, 50.0)],
        clumps: vec![(16.0, 30, 4)],
        silent: vec![(2.0, 3.0)],
        busy: 5,
        ..Load::default()
    };
    let all = draw(&load, 20.0, 10, 3);
    let within = |from: f64, to: f64| {
        all.iter().filter(|a| a.at.as_secs_f64() >= from && a.at.as_secs_f64() < to).count()
    };
    assert!((600..850).contains(&within(3.0, 11.0)), "{}", within(3.0, 11.0));
    assert_eq!(within(2.0, 3.0), 0);
    assert!((60..110).contains(&within(11.0, 15.0)));
    assert_eq!((within(15.5, 18.0), within(16.0, 16.1)), (30, 30));
    assert!((60..140).contains(&within(18.0, 20.0)));
    assert!(all.windows(2).all(|w| w[0].at <= w[1].at) && all.iter().all(|a| a.dest < 5));
    assert_eq!(all, draw(&load, 20.0, 10, 3));
}

#[test]
fn zipf_favours_the_first_destinations_and_the_busy_ones_change() {
    let load = Load { rate: 1000.0, busy: 10, zipf: 1.2, move_s: 5.0, ..Load::default() };
    let all = draw(&load, 10.0, 100, 3);
    let count = |dest: usize| all.iter().filter(|a| a.dest == dest).count();
    assert!(count(0) > 3 * count(4) && count(0) > 1000);
    assert!(count(10) > 1000 && count(20) == 0);
}
