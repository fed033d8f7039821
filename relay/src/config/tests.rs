use onyxglade_instances::MAX_TEXT_BYTES;
use slatethread::Effect;

use super::*;

const FILE: &str = include_str!("../../../deploy/push.toml");

fn error_after(from: &str, to: &str) -> String {
    assert!(FILE.contains(from), "{from}");
    parse_relay_config(&FILE.replacen(from, to, 1)).err().unwrap_or_default()
}

#[test]
fn deployed_push_file_is_valid_and_never_repeats_orders() {
    let push = parse_relay_config(FILE).ok().and_then(|own| own.push).expect("a push front");
    assert_eq!(push.rules.settings.classes[0].effect, Effect::Unsafe);
    assert_eq!(push.rules.settings.classes[1].effect, Effect::Safe);
    assert_eq!(push.gateways.len(), 2);
}

#[test]
fn errors_name_their_key() {
    let cases = [
        ("aim_ms = 4000", "aim_ms = \"soon\"", "class[0].aim_ms"),
        ("aim_ms = 4000", "aim_ms = 40000", "class[0].aim_ms"),
        ("slots = 64", "slots = 0", "limits.slots"),
        ("slots = 64", "slot = 64", "limits"),
        ("repeat = \"safe\"", "repeat = \"often\"", "class[1].repeat"),
        ("127.0.0.1:8480", "localhost", "push.listen"),
        ("127.0.0.1:8480", "0.0.0.0:8480", "push.tls"),
        ("disk_mb = 64", "tls = { certificate = \"c\", key = \"k\" }", "push.tls.certificate"),
        ("name = \"apps\"", "name = \"apps\"\ntls = \"g.test\"", "upstream[0].tls"),
        ("slots = 64", "step_ms = 0", "limits.step_ms"),
        ("[[class]]", "[gateways]\nstreams = 0\n[[class]]", "gateways.streams"),
        (
            "class = \"disruption-notice\"",
            "class = \"disruption-notice\"\nurgency = { high = \"ticket-order\" }",
            "location[0].urgency.high",
        ),
        ("disk_mb = 64", "disk_mb = nan", "push.disk_mb"),
        ("upstream = \"apps\"", "upstream = \"app\"", "location[0].upstream"),
        ("127.0.0.1:9002", "nowhere", "upstream[0].server[1].address"),
        ("path = \"/order/\"", "path = \"order\"", "location[1].path"),
    ];
    for (from, to, key) in cases {
        let error = error_after(from, to);
        assert!(error.contains(key), "{to}: {error}");
    }
}

#[test]
fn instances_table_is_validated_key_by_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let (key_file, short) = (folder.path().join("key"), folder.path().join("short"));
    std::fs::write(&key_file, "k".repeat(32)).expect("written");
    std::fs::write(&short, "k").expect("written");
    let file =
        |more: &str| format!("[instances]\nlisten = \"127.0.0.1:7946\"\nkey_file = {key_file:?}\n{more}");
    let config = parse_relay_config(&file("seeds = [\"127.0.0.1:7947\"]\nzone = \"a\"\n")).expect("valid");
    let instances = config.instances.expect("instances are enabled");
    assert_eq!(
        (instances.seeds.len(), &*instances.zone, instances.expected, instances.advertise),
        (1, "a", 3, None)
    );
    assert!(parse_relay_config("").expect("valid").instances.is_none(), "disabled by default");
    let long = format!("zone = \"{}\"", "z".repeat(MAX_TEXT_BYTES + 1));
    for (more, key) in [
        ("seeds = [\"here\"]", "instances.seeds[0]"),
        ("advertise = \"0.0.0.0:7946\"", "instances.advertise"),
        ("advertise = \"127.0.0.1\"", "instances.advertise"),
        ("expected = 0", "instances.expected"),
        ("lists = 1", "instances.lists"),
        ("tls = true", "instances"),
        (&*long, "instances.zone"),
    ] {
        let error = parse_relay_config(&file(more)).err().expect("invalid");
        assert!(error.contains(key), "{more}: {error}");
    }
    for (from, to, key) in [
        (&*format!("{key_file:?}"), &*format!("{short:?}"), "instances.key_file"),
        (&*format!("{key_file:?}"), "\"/none\"", "instances.key_file"),
        ("127.0.0.1:7946", "localhost", "instances.listen"),
        ("127.0.0.1:7946", "0.0.0.0:7946", "instances.advertise"),
    ] {
        let error = parse_relay_config(&file("").replace(from, to)).err().expect("invalid");
        assert!(error.contains(key), "{to}: {error}");
    }
}

#[test]
fn all_errors_are_reported_and_the_idle_table_has_bounds() {
    let text = FILE.replacen("slots = 64", "slots = 0", 1).replacen("127.0.0.1:8480", "here", 1);
    let errors = parse_with_all_errors(&format!(
        "{text}\n[idle]\ncold_after_s = 3\nlist_limit_mb = 0\nconnections = 0\n"
    ));
    let errors = errors.err().unwrap_or_default().join("\n");
    for key in ["limits.slots", "push.listen", "idle.cold_after_s", "idle.list_limit_mb", "idle.connections"]
    {
        assert!(errors.contains(key), "{key}: {errors}");
    }
    let config = parse_with_all_errors(&format!("{FILE}\n[idle]\ncold_after_s = 600\n")).expect("valid");
    let cold_after = config.push.expect("a push front").rules.settings.cold_after;
    assert_eq!(cold_after, Some(600_000_000_000));
}
