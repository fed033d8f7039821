use super::super::parse_relay_config;
use super::*;

fn folder_of(folder: &Path, disk_bytes: u64) -> BacklogConfig {
    BacklogConfig { folder: folder.to_owned(), memory_bytes: 32 * MB, disk_bytes }
}

#[test]
fn the_section_has_defaults_and_each_fault_names_its_key() {
    let own = parse_relay_config("[backlog]\nfolder = \"/var/spool/relay\"").expect("sound");
    let expected =
        BacklogConfig { folder: "/var/spool/relay".into(), memory_bytes: 32 * MB, disk_bytes: 8192 * MB };
    assert_eq!(own.backlog, Some(expected));
    assert_eq!(parse_relay_config("").expect("sound").backlog, None);
    let faults = [
        ("folder = ''", "backlog.folder"),
        ("folder = 'a'\nmemory_mb = 15", "backlog.memory_mb: must be at least 16"),
        ("folder = 'a'\ndisk_mb = 255", "backlog.disk_mb: must be at least 256"),
        ("folder = 'a'\nmemory = 15", "backlog"),
        ("memory_mb = 32", "backlog"),
    ];
    for (table, key) in faults {
        let fault = parse_relay_config(&format!("[backlog]\n{table}")).err().expect("faulty");
        assert!(fault.contains(key), "{table}: {fault}");
    }
}

#[test]
fn the_file_under_deploy_is_sound() {
    let own = parse_relay_config(include_str!("../../../../deploy/backlog.toml")).expect("sound");
    assert_eq!(own.backlog.map(|backlog| backlog.memory_bytes), Some(32 * MB));
}

#[test]
fn a_folder_that_cannot_be_used_is_told_with_its_key() {
    let place = tempfile::tempdir().expect("a folder");
    let (state, file) = (place.path().join("state"), place.path().join("file"));
    std::fs::create_dir(&state).expect("made");
    std::fs::write(&file, b"").expect("written");
    let fault = |folder: &Path| folder_of(folder, MB).check_folder(Some(&state)).expect_err("unusable");
    assert!(fault(&file).starts_with("backlog.folder: "));
    assert!(fault(&file.join("below")).starts_with("backlog.folder: "));
    assert!(fault(&state.join("backlog")).contains("the platform bounds"));
    assert!(fault(&state).contains("the platform bounds"));
    let sound = place.path().join("backlog");
    folder_of(&sound, MB).check_folder(Some(&state)).expect("sound");
    assert!(!sound.exists(), "a check makes nothing");
    assert_eq!(std::fs::read_dir(place.path()).expect("there").count(), 2, "the trial leaves nothing");
}

#[test]
fn a_bound_below_what_the_folder_holds_is_told_with_its_key() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::create_dir(folder.path().join("inner")).expect("made");
    std::fs::write(folder.path().join("inner/data"), vec![0; 3 * MB as usize]).expect("written");
    let check = |megabytes| folder_of(folder.path(), megabytes * MB).check_folder(None);
    assert!(check(2).expect_err("too small").starts_with("backlog.disk_mb: "));
    check(3).expect("just enough");
}
