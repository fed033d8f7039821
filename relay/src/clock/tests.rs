use super::*;

#[test]
fn a_later_process_keeps_the_stored_epoch_when_the_wall_clock_was_stepped() {
    let folder = tempfile::tempdir().expect("a folder");
    let boot = boot_id().expect("reported by the system");
    // The previous process started while the wall clock was an hour behind.
    let previous = *EPOCH.get_or_init(measure_epoch) - Duration::from_secs(3600);
    std::fs::write(folder.path().join(NAME), encode(boot, previous)).expect("written");
    let clock = FolderClock::open(folder.path()).expect("the record is readable");
    let deadline = SystemTime::UNIX_EPOCH + previous + monotonic() + Duration::from_secs(5);
    let left = clock.from_folder(deadline).duration_since(now()).expect("the deadline is ahead");
    assert!(left <= Duration::from_secs(5) && left > Duration::from_secs(4), "{left:?}");
    assert_eq!(clock.to_folder(clock.from_folder(deadline)), deadline);
}

#[test]
fn a_record_that_is_torn_or_of_another_boot_is_ignored_and_rewritten() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join(NAME);
    let boot = boot_id().expect("reported by the system");
    let whole = encode(boot, Duration::from_secs(7));
    let mut records: Vec<_> = (0..whole.len()).map(|length| whole[..length].to_vec()).collect();
    records.push(encode([9; 16], Duration::from_secs(7)));
    for record in records {
        std::fs::write(&path, &record).expect("written");
        let mut clock = FolderClock::open(folder.path()).expect("the record is readable");
        let time = now();
        assert_eq!(clock.from_folder(time), time, "{record:?}");
        clock.record().expect("written");
        assert_eq!(read(&path, Some(boot)).expect("read"), Some(*EPOCH.get().expect("initialized")));
    }
}
