use super::*;

#[test]
fn what_is_out_outlasts_the_process_until_it_is_taken_back() {
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
    assert!(!DisabledNodes::open(folder.path()).contains("a"), "another form is not guessed at");
}

#[test]
fn a_name_that_cannot_be_kept_is_not_out() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disabled = DisabledNodes::open(folder.path());
    let taken = (0..).take_while(|n| disabled.set(&format!("{n:0>200}"), true).is_ok()).count();
    assert_eq!(taken, LARGEST / 204);
    assert!(!disabled.contains(&format!("{taken:0>200}")));
    drop(folder);
    assert!(matches!(disabled.set(&format!("{:0>200}", 1), false), Err(DisableError::Io(_))));
    assert!(disabled.contains(&format!("{:0>200}", 1)), "the file was not written");
}
