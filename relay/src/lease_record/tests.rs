use super::*;

const CONFIRMED: ListConfirmation = ListConfirmation { generation: 41, age: Duration::from_secs(2) };
const NOW: Duration = Duration::from_secs(1000);

fn record(boot: u8) -> [u8; LENGTH] {
    encode(CONFIRMED, [boot; 16], NOW).try_into().expect("the record's length")
}

#[test]
fn a_record_gives_the_age_of_the_confirmation_when_it_is_read() {
    let later = NOW + Duration::from_millis(600);
    let expected = ListConfirmation { age: Duration::from_millis(2600), ..CONFIRMED };
    assert_eq!(decode(&record(7), [7; 16], later), Some(expected));
}

#[test]
fn a_record_that_is_torn_of_another_boot_or_in_the_future_is_ignored() {
    assert_eq!(decode(&record(7), [8; 16], NOW), None, "another boot");
    assert_eq!(decode(&record(7), [7; 16], Duration::from_secs(997)), None, "in the future");
    for byte in 0..LENGTH {
        let mut torn = record(7);
        torn[byte] ^= 0x55;
        assert_eq!(decode(&torn, [7; 16], NOW), None, "byte {byte}");
    }
}

#[test]
fn the_next_process_reads_a_whole_record_and_ignores_half_of_one() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(!folder.path().join(NAME).exists());
    let (mut record, before) = LeaseRecord::open(folder.path()).expect("created");
    assert_eq!(before, None);
    record.write(Some(CONFIRMED));
    let (mut record, before) = LeaseRecord::open(folder.path()).expect("opened");
    let before = before.expect("it was written");
    assert!(before.generation == 41 && before.age >= CONFIRMED.age && before.age < Duration::from_secs(60));
    record.write(None);
    assert_eq!(LeaseRecord::open(folder.path()).expect("opened").1, None);
    record.write(Some(CONFIRMED));
    record.file.set_len(LENGTH as u64 / 2).expect("truncated");
    assert_eq!(LeaseRecord::open(folder.path()).expect("opened").1, None);
}
