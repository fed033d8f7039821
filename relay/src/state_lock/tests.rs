use super::*;

fn holder_of(result: Result<StateLock, LockError>) -> Holder {
    match result {
        Err(LockError::InUse { holder, .. }) => holder,
        other => panic!("not in use: {other:?}"),
    }
}

#[test]
fn a_folder_has_one_lock_by_whatever_path() {
    let base = tempfile::tempdir().expect("a folder");
    let (folder, link) = (base.path().join("state"), base.path().join("link"));
    let lock = StateLock::acquire(&folder).expect("free");
    std::os::unix::fs::symlink(&folder, &link).expect("a link");
    assert_eq!(holder_of(StateLock::acquire(&link)), Holder::ThisProcess);
    assert_eq!(holder_of(StateLock::acquire(&folder.join("../state"))), Holder::ThisProcess);
    drop(lock);
    StateLock::acquire(&link).expect("released");
}

#[test]
fn a_lock_of_another_process_is_named_and_released_by_a_kill() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join(NAME);
    std::fs::write(&path, "").expect("written");
    // flock(1) holds the lock for as long as the command runs, which keeps its descriptor.
    let mut command = std::process::Command::new("flock");
    let mut other = command.arg("--no-fork").arg(&path).args(["sleep", "60"]).spawn().expect("flock");
    let started = std::time::Instant::now();
    while StateLock::acquire(folder.path()).is_ok() {
        assert!(started.elapsed().as_secs() < 20, "the other process does not lock");
        std::thread::yield_now();
    }
    std::fs::write(&path, format!("{}\n", other.id())).expect("written");
    let error = StateLock::acquire(folder.path()).expect_err("in use").to_string();
    assert!(error.contains(&format!("in use by process {}", other.id())), "{error}");
    assert!(error.contains(&folder.path().display().to_string()), "{error}");
    other.kill().and_then(|()| other.wait().map(drop)).expect("killed");
    StateLock::acquire(folder.path()).expect("released by the kernel");
}

#[test]
fn a_lock_whose_file_was_removed_keeps_nobody_out_and_is_taken_anew() {
    let folder = tempfile::tempdir().expect("a folder");
    let old = StateLock::acquire(folder.path()).expect("free");
    std::fs::remove_file(folder.path().join(NAME)).expect("removed");
    let _new = StateLock::acquire(folder.path()).expect("another file");
    drop(old);
    assert_eq!(holder_of(StateLock::acquire(folder.path())), Holder::ThisProcess);
}

// Guards against a lock that outlasts its holder's drop because a child process that has not executed its program yet has a copy of
// the descriptor.
#[test]
fn a_dropped_lock_is_free_though_a_copy_of_its_descriptor_is_open() {
    let folder = tempfile::tempdir().expect("a folder");
    let lock = StateLock::acquire(folder.path()).expect("free");
    let _copy = lock.file.try_clone().expect("a copy, as a child process has it");
    drop(lock);
    StateLock::acquire(folder.path()).expect("released");
}

#[test]
fn whether_the_holder_is_drained_is_known_to_the_next_one_only() {
    let folder = tempfile::tempdir().expect("a folder");
    let acquire = || StateLock::acquire(folder.path()).expect("free");
    let first = acquire();
    assert!(!first.previous_was_drained());
    first.record_drained(true).expect("written");
    assert_eq!(holder_of(StateLock::acquire(folder.path())), Holder::ThisProcess);
    drop(first);
    let second = acquire();
    assert!(second.previous_was_drained());
    drop(second);
    let third = acquire();
    assert!(!third.previous_was_drained());
    third.record_drained(true).expect("written");
    third.record_drained(false).expect("written");
    drop(third);
    assert!(!acquire().previous_was_drained());
}

#[test]
fn a_damaged_record_of_the_holder_is_no_drain() {
    let record = |process, drained| HolderRecord { process, drained };
    assert_eq!(HolderRecord::parse("12\ndrained\n"), record(Some(12), true));
    assert_eq!(HolderRecord::parse("12\n"), record(Some(12), false));
    assert_eq!(HolderRecord::parse("12\ndrai"), record(Some(12), false));
    assert_eq!(HolderRecord::parse("12\n34\ndrained\n"), record(Some(12), false));
    assert_eq!(HolderRecord::parse("\ndrained\n"), record(None, false));
    assert_eq!(HolderRecord::parse(""), record(None, false));
}
