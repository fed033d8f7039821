use super::*;

const TINY: Sizes = Sizes { destinations: &[4, 16, 64], queued: &[4, 16, 64], reloads: 1 };

/// The measurement itself returns an error if a reload does not complete or if messages are not accepted.
#[test]
fn all_reloads_complete_and_each_series_has_a_point_per_size() {
    let measured = measure_at(&TINY, 1).expect("the measurement succeeds");
    assert_eq!(measured.series.len(), 6);
    assert!(measured.series.iter().all(|series| series.points.len() == 3));
}
