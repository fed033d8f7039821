use super::*;

#[test]
fn disabled_nodes_persist_across_restarts_until_enabled() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disabled = DisabledNodes::open(folder.path());
    for name in ["a", "b", "a"] {
        disabled.set(name, true).expect("written");
    }
    disabled.set("b", false).expect("written");
    disabled.set("c", false).expect("nothing to do");
    let mut disabled = DisabledNodes::open(folder.path());
    assert_eq!(["a", "b", "c"].map(|name| disabled.contains(name)), [true, false, false]);
    disabled.set("a", false).expect("written");
    assert!(!DisabledNodes::open(folder.path()).contains("a"));
    std::fs::write(folder.path().join("out-by-hand"), r#"{"version":2,"out":["a"]}"#).expect("written");
    assert!(!DisabledNodes::open(folder.path()).contains("a"), "a file of an unknown version is ignored");
}

#[test]
fn a_change_that_cannot_be_stored_does_not_take_effect() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disabled = DisabledNodes::open(folder.path());
    let stored = (0..).take_while(|n| disabled.set(&format!("{n:0>200}"), true).is_ok()).count();
    assert_eq!(stored, MAX_FILE_BYTES / 204);
    assert!(!disabled.contains(&format!("{stored:0>200}")));
    drop(folder);
    assert!(matches!(disabled.set(&format!("{:0>200}", 1), false), Err(DisableError::Io(_))));
    assert!(disabled.contains(&format!("{:0>200}", 1)), "the file was not written");
}
