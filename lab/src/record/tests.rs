use super::*;

#[test]
fn seconds_and_figures_add_up() {
    let mut record = Record::default();
    let at = |ms| Duration::from_millis(ms);
    for n in 0..100u64 {
        record.second(at(n * 30)).handed_in += 1;
        record.delivered(at(n * 30), at(10 + n));
    }
    record.called(at(2500), 3, Called::Served, 9.0);
    record.called(at(2600), 3, Called::TurnedAway, 9.5);
    let figures = record.figures();
    assert_eq!((figures["handed_in"], figures["delivered_share"]), (100.0, 1.0));
    assert!((figures["delivered_p50_ms"] - 59.0).abs() < 2.0, "{figures:?}");
    let taken = record.from(3, 1, 2);
    assert_eq!(taken[0], Taken { second: 1, ..Taken::default() });
    assert_eq!(taken[1], Taken { second: 2, offered: 2, served: 1, takes: 9.5 });
    let (seconds, _) = record.seconds();
    assert_eq!(seconds.len(), 3);
    assert!(seconds[0].p50_ms < seconds[2].p50_ms);
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("seconds.csv");
    write_csv(&file, &seconds).expect("written");
    let text = std::fs::read_to_string(file).expect("read");
    assert!(text.starts_with("second,handed_in") && text.lines().count() == 4);
}
