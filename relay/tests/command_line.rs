//! The command line.
use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_onyxglade"));
    command.env_clear().args(arguments).output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn check_reports_every_fault_with_its_key() {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/push.toml");
    let valid = run(&["check", shipped.to_str().expect("text")]);
    assert_eq!((valid.status.code(), text(&valid.stderr).as_str()), (Some(0), ""));
    assert!(text(&valid.stdout).contains("2 locations, 2 gateways"), "{}", text(&valid.stdout));

    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("relay.toml");
    let push = std::fs::read_to_string(&shipped).expect("read").replace("slots = 64", "slots = 0");
    std::fs::write(&file, format!("{push}\n[idle]\ncold_after_s = 5\n")).expect("written");
    let invalid = run(&["check", file.to_str().expect("text")]);
    assert_eq!(invalid.status.code(), Some(2));
    let errors = text(&invalid.stderr);
    assert!(
        errors.contains("limits.slots")
            && errors.contains("idle.cold_after_s")
            && errors.lines().count() == 2,
        "{errors}"
    );

    std::fs::write(&file, "admin = \"here\"\n").expect("written");
    let invalid = run(&["check", file.to_str().expect("text")]);
    assert_eq!(invalid.status.code(), Some(2));
    assert!(
        text(&invalid.stderr).contains("admin: 'here' is not an address with a port"),
        "{}",
        text(&invalid.stderr)
    );

    let platform = folder.path().join("config.json");
    std::fs::write(
        &platform,
        r#"{"name":"n","listen":"127.0.0.1:1","admin":"here","limits":{},"settings":{"categories":[]}}"#,
    )
    .expect("written");
    let invalid = run(&["check", platform.to_str().expect("text")]);
    assert!(text(&invalid.stderr).contains("admin: "), "{}", text(&invalid.stderr));
    std::fs::write(&platform, r#"{"name":"n","listen":"127.0.0.1:1","limits":{},"settings":{"categories":[{"name":"a","aim":"x"}]}}"#)
        .expect("written");
    let invalid = run(&["check", platform.to_str().expect("text")]);
    assert_eq!(invalid.status.code(), Some(2));
    assert!(text(&invalid.stderr).contains("settings.categories[0].aim"), "{}", text(&invalid.stderr));
    assert_eq!(run(&["check", "/nowhere"]).status.code(), Some(2));
}

#[test]
fn help_and_version_are_printed_and_unknown_subcommands_are_refused() {
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
fn a_faulty_configuration_ends_the_start_with_code_2_and_names_its_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("relay.toml");
    std::fs::write(&file, "[idle]\ncold_after_s = 5\n").expect("written");
    let invalid = run(&["--config", file.to_str().expect("text")]);
    assert_eq!(invalid.status.code(), Some(2));
    assert!(text(&invalid.stdout).contains("idle.cold_after_s"), "{}", text(&invalid.stdout));
    let platform = folder.path().join("config.json");
    let start = |text: &str| {
        std::fs::write(&platform, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_onyxglade"));
        command.env_clear().env("BALANCER_CONFIG", &platform).env("BALANCER_STATE", folder.path());
        command.output().expect("the program runs")
    };
    let invalid = start(r#"{"name":"n","listen":"nowhere","limits":{},"settings":{"categories":[]}}"#);
    assert_eq!(invalid.status.code(), Some(2));
    assert!(text(&invalid.stdout).contains("listen"), "{}", text(&invalid.stdout));
    assert_eq!(run(&["run"]).status.code(), Some(2));
}
