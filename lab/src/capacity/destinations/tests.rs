use super::*;

const TINY: Sizes = Sizes {
    listed: &[4, 16, 64],
    lists_sent: 1,
    changes_sent: 4,
    list_window: Duration::from_millis(50),
    most_listed: 64,
    used: &[4, 16, 64],
    connected: &[4, 16, 64],
    module_used: &[4, 16, 64],
    rounds: 200,
    relays: &[1, 2, 4],
    outages: &[150, 300, 600],
    fleet: 2,
};

#[test]
fn each_series_has_a_point_per_size() {
    let measured = measure_at(&TINY, 1).expect("the measurement succeeds");
    assert_eq!(measured.series.len(), 16);
    assert!(measured.series.iter().all(|series| series.points.len() == 3));
    let descriptors =
        measured.series.iter().find(|s| s.name == "destinations.descriptors").expect("measured");
    let counts: Vec<_> = descriptors.points.iter().map(|point| point.value - point.size).collect();
    assert!(counts.iter().all(|count| *count == counts[0]), "one for each destination: {counts:?}");
}

#[test]
fn relays_detect_an_outage_independently_and_reproducibly_for_a_seed() {
    let simulate = || {
        let mut measured = Measured::default();
        fleet(&TINY, 1, &mut measured);
        measured.series.into_iter().map(|series| series.points).collect::<Vec<_>>()
    };
    let shares = simulate();
    assert_eq!(shares, simulate());
    let by_others: Vec<_> = shares[0].iter().map(|point| point.value).collect();
    assert_eq!(by_others[0], 0.0, "there is no other relay");
    assert!(by_others[2] > 0.0 && by_others[2] < 0.05, "{by_others:?}");
}
