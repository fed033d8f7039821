//! The command line, as operators use it.
use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxglade"));
    command.env_clear().args(arguments).output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_tells_every_fault_with_its_key() {
    let own = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/push.toml");
    let sound = run(&["check", own.to_str().expect("text")]);
    assert_eq!((sound.status.code(), text(&sound.stderr).as_str()), (Some(0), ""));
    assert!(text(&sound.stdout).contains("2 locations, 2 gateways"), "{}", text(&sound.stdout));

    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("own.toml");
    let push = std::fs::read_to_string(&own).expect("read").replace("slots = 64", "slots = 0");
    std::fs::write(&file, format!("{push}\n[idle]\ncold_after_s = 5\n")).expect("written");
    let faulty = run(&["check", file.to_str().expect("text")]);
    assert_eq!(faulty.status.code(), Some(2));
    let told = text(&faulty.stderr);
    assert!(
        told.contains("limits.slots") && told.contains("idle.cold_after_s") && told.lines().count() == 2,
        "{told}"
    );

    std::fs::write(&file, "admin = \"here\"\n").expect("written");
    let faulty = run(&["check", file.to_str().expect("text")]);
    assert_eq!(faulty.status.code(), Some(2));
    assert!(
        text(&faulty.stderr).contains("admin: 'here' is not an address with a port"),
        "{}",
        text(&faulty.stderr)
    );

    let platform = folder.path().join("config.json");
    std::fs::write(
        &platform,
        r#"{"name":"n","listen":"127.0.0.1:1","admin":"here","limits":{},"settings":{"categories":[]}}"#,
    )
    .expect("written");
    let faulty = run(&["check", platform.to_str().expect("text")]);
    assert!(text(&faulty.stderr).contains("admin: "), "{}", text(&faulty.stderr));
    std::fs::write(&platform, r#"{"name":"n","listen":"127.0.0.1:1","limits":{},"settings":{"categories":[{"name":"a","aim":"x"}]}}"#)
        .expect("written");
    let faulty = run(&["check", platform.to_str().expect("text")]);
    assert_eq!(faulty.status.code(), Some(2));
    assert!(text(&faulty.stderr).contains("settings.categories[0].aim"), "{}", text(&faulty.stderr));
    assert_eq!(run(&["check", "/nowhere"]).status.code(), Some(2));
}

#[test]
fn help_and_version_are_told_and_unknown_words_are_not_swallowed() {
    assert!(text(&run(&["--version"]).stdout).starts_with("onyxglade "));
    let help = text(&run(&["--help"]).stdout);
    for word in ["check", "import-nginx", "--config", "ONYXGLADE_LOG_FORMAT", "SIGHUP"] {
        assert!(help.contains(word), "{word}: {help}");
    }
    let unknown = run(&["chekc", "x"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert!(text(&unknown.stderr).contains("check"), "{}", text(&unknown.stderr));
}

#[test]
fn the_log_is_text_or_json_with_the_same_fields() {
    let plain = text(&run(&["run"]).stdout);
    assert!(plain.contains("ERROR") && plain.contains("no front is configured"), "{plain}");
    let json = text(&run(&["--log-format", "json", "--log", "no=such=filter"]).stdout);
    let lines: Vec<serde_json::Value> =
        json.lines().map(|line| serde_json::from_str(line).expect("an object on a line")).collect();
    assert_eq!((&lines[0]["level"], &lines[0]["filter"]), (&"WARN".into(), &"no=such=filter".into()));
    assert!(lines[1]["message"].as_str().is_some_and(|m| m.contains("no front is configured")), "{json}");
}

#[test]
fn a_faulty_configuration_ends_the_start_with_its_key_and_the_code_2() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("own.toml");
    std::fs::write(&file, "[idle]\ncold_after_s = 5\n").expect("written");
    let faulty = run(&["--config", file.to_str().expect("text")]);
    assert_eq!(faulty.status.code(), Some(2));
    assert!(text(&faulty.stdout).contains("idle.cold_after_s"), "{}", text(&faulty.stdout));
    let platform = folder.path().join("config.json");
    let start = |text: &str| {
        std::fs::write(&platform, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_onyxglade"));
        command.env_clear().env("BALANCER_CONFIG", &platform).env("BALANCER_STATE", folder.path());
        command.output().expect("it runs")
    };
    let faulty = start(r#"{"name":"n","listen":"nowhere","limits":{},"settings":{"categories":[]}}"#);
    assert_eq!(faulty.status.code(), Some(2));
    assert!(text(&faulty.stdout).contains("listen"), "{}", text(&faulty.stdout));
    assert_eq!(run(&["run"]).status.code(), Some(2));
}
