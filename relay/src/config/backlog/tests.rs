use super::super::parse_relay_config;
use super::*;

fn config_for(folder: &Path, disk_bytes: u64) -> BacklogConfig {
    BacklogConfig { folder: folder.to_owned(), memory_bytes: 32 * MB, disk_bytes }
}

#[test]
fn section_has_defaults_and_each_error_names_its_key() {
    let config = parse_relay_config("[backlog]\nfolder = \"/var/spool/relay\"").expect("valid");
    let expected =
        BacklogConfig { folder: "/var/spool/relay".into(), memory_bytes: 32 * MB, disk_bytes: 8192 * MB };
    assert_eq!(config.backlog, Some(expected));
    assert_eq!(parse_relay_config("").expect("valid").backlog, None);
    let cases = [
        ("folder = ''", "backlog.folder"),
        ("folder = 'a'\nmemory_mb = 15", "backlog.memory_mb: must be at least 16"),
        ("folder = 'a'\ndisk_mb = 255", "backlog.disk_mb: must be at least 256"),
        ("folder = 'a'\nmemory = 15", "backlog"),
        ("memory_mb = 32", "backlog"),
    ];
    for (table, key) in cases {
        let error = parse_relay_config(&format!("[backlog]\n{table}")).err().expect("invalid");
        assert!(error.contains(key), "{table}: {error}");
    }
}

#[test]
fn deployed_backlog_file_is_valid() {
    let config = parse_relay_config(include_str!("../../../../deploy/backlog.toml")).expect("valid");
    assert_eq!(config.backlog.map(|backlog| backlog.memory_bytes), Some(32 * MB));
}

#[test]
fn unusable_folder_is_rejected_with_its_key() {
    let parent = tempfile::tempdir().expect("a folder");
    let (state, file) = (parent.path().join("state"), parent.path().join("file"));
    std::fs::create_dir(&state).expect("created");
    std::fs::write(&file, b"").expect("written");
    let error = |folder: &Path| config_for(folder, MB).check_folder(Some(&state)).expect_err("unusable");
    assert!(error(&file).starts_with("backlog.folder: "));
    assert!(error(&file.join("below")).starts_with("backlog.folder: "));
    assert!(error(&state.join("backlog")).contains("the platform limits"));
    assert!(error(&state).contains("the platform limits"));
    let unused = parent.path().join("backlog");
    config_for(&unused, MB).check_folder(Some(&state)).expect("valid");
    assert!(!unused.exists(), "checking must not create the folder");
    assert_eq!(
        std::fs::read_dir(parent.path()).expect("readable").count(),
        2,
        "the probe file must be removed"
    );
}

#[test]
fn limit_below_the_used_size_is_rejected_with_its_key() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::create_dir(folder.path().join("inner")).expect("created");
    std::fs::write(folder.path().join("inner/data"), vec![0; 3 * MB as usize]).expect("written");
    let check = |megabytes| config_for(folder.path(), megabytes * MB).check_folder(None);
    assert!(check(2).expect_err("too small").starts_with("backlog.disk_mb: "));
    check(3).expect("exactly at the limit");
}
