use super::*;

const TINY: Sizes = Sizes {
    messages: 100.0,
    gaps_simulated: 4.0,
    relays: &[1, 4, 16],
    outages: 2,
    gaps: &[1.0, 4.0, 16.0],
    fleet: 2,
    destinations: &[10, 40, 160],
    seconds: 10,
};

/// Prefix of the series that depend on the machine's clock.
const CPU_SERIES_PREFIX: &str = "thin-traffic.deciding-cpu";

fn in_virtual_time(measured: &Measured) -> Vec<(&'static str, Vec<Point>)> {
    let series = measured.series.iter().filter(|series| !series.name.starts_with(CPU_SERIES_PREFIX));
    let figures = measured.figures.iter().map(|f| (f.name, vec![Point { size: 0.0, value: f.value }]));
    series.map(|series| (series.name, series.points.clone())).chain(figures).collect()
}

fn values(measured: &Measured, name: &str) -> Vec<f64> {
    let series = measured.series.iter().find(|series| series.name == name).expect(name);
    series.points.iter().map(|point| point.value).collect()
}

#[test]
fn results_are_reproducible_for_a_seed_and_differ_between_seeds() {
    let measured = measure_at(&TINY, 1).expect("measured");
    assert_eq!(measured.series.len(), 13);
    assert_eq!(in_virtual_time(&measured), in_virtual_time(&measure_at(&TINY, 1).expect("measured")));
    assert_ne!(in_virtual_time(&measured), in_virtual_time(&measure_at(&TINY, 2).expect("measured")));
    let shares = values(&measured, "thin-traffic.new-connections-10s");
    assert!(
        shares.is_sorted() && shares[0] < 0.1 && shares[5] > 0.5,
        "rarer calls need new connections more often: {shares:?}"
    );
    let detection_times = values(&measured, "thin-traffic.all-know-refused");
    assert!(detection_times.is_sorted(), "more relays take longer to detect an outage: {detection_times:?}");
    let full = values(&measured, "thin-traffic.full-record");
    assert!(full[0] < full[5] && full[5] > 0.9, "rarer calls find fewer full records: {full:?}");
    let forgotten = measured.figures.iter().find(|f| f.name == "thin-traffic.down-nothing-remembered");
    assert_eq!(forgotten.map(|f| f.value), Some(0.0), "an idle destination that is down is remembered");
}
