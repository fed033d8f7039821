use super::*;

#[test]
fn figures_and_seconds_match_the_counted_events() {
    let mut record = Record::default();
    let at = |ms| Duration::from_millis(ms);
    for n in 0..100u64 {
        record.second(at(n * 30)).handed_in += 1;
        record.count_delivery(at(n * 30), at(10 + n));
    }
    record.count_call(at(2500), 3, CallCategory::Served, 9.0);
    record.count_call(at(2600), 3, CallCategory::TurnedAway, 9.5);
    let figures = record.figures();
    assert_eq!((figures["handed_in"], figures["delivered_share"]), (100.0, 1.0));
    assert!((figures["delivered_p50_ms"] - 59.0).abs() < 2.0, "{figures:?}");
    let destination = record.destination_seconds(3, 1, 2);
    assert_eq!(destination[0], DestinationSecond { second: 1, ..DestinationSecond::default() });
    assert_eq!(destination[1], DestinationSecond { second: 2, offered: 2, served: 1, takes: 9.5 });
    let (seconds, _) = record.seconds();
    assert_eq!(seconds.len(), 3);
    assert!(seconds[0].p50_ms < seconds[2].p50_ms);
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("seconds.csv");
    write_csv(&file, &seconds).expect("written");
    let text = std::fs::read_to_string(file).expect("read");
    assert!(text.starts_with("second,handed_in") && text.lines().count() == 4);
}
