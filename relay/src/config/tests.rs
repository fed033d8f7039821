use onyxglade_instances::MAX_TEXT_BYTES;
use slatethread::Effect;

use super::*;

const FILE: &str = include_str!("../../../deploy/push.toml");

fn fault(from: &str, to: &str) -> String {
    assert!(FILE.contains(from), "{from}");
    own_text(&FILE.replacen(from, to, 1)).err().unwrap_or_default()
}

#[test]
fn the_file_under_deploy_is_sound_and_repeats_no_order() {
    let push = own_text(FILE).ok().and_then(|own| own.push).expect("a push front");
    assert_eq!(push.rules.settings.classes[0].effect, Effect::Unsafe);
    assert_eq!(push.rules.settings.classes[1].effect, Effect::Safe);
    assert_eq!(push.gateways.len(), 2);
}

#[test]
fn faults_name_their_key() {
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
        let fault = fault(from, to);
        assert!(fault.contains(key), "{to}: {fault}");
    }
}

#[test]
fn the_instances_table_is_checked_key_by_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let (key, short) = (folder.path().join("key"), folder.path().join("short"));
    std::fs::write(&key, "k".repeat(32)).expect("written");
    std::fs::write(&short, "k").expect("written");
    let file = |more: &str| format!("[instances]\nlisten = \"127.0.0.1:7946\"\nkey_file = {key:?}\n{more}");
    let told = own_text(&file("seeds = [\"127.0.0.1:7947\"]\nzone = \"a\"\n")).expect("sound");
    let told = told.instances.expect("it talks to others");
    assert_eq!((told.seeds.len(), &*told.zone, told.expected, told.advertise), (1, "a", 3, None));
    assert!(own_text("").expect("sound").instances.is_none(), "off unless the file says otherwise");
    let long = format!("zone = \"{}\"", "z".repeat(MAX_TEXT_BYTES + 1));
    for (more, fault) in [
        ("seeds = [\"here\"]", "instances.seeds[0]"),
        ("advertise = \"0.0.0.0:7946\"", "instances.advertise"),
        ("advertise = \"127.0.0.1\"", "instances.advertise"),
        ("expected = 0", "instances.expected"),
        ("lists = 1", "instances.lists"),
        ("tls = true", "instances"),
        (&*long, "instances.zone"),
    ] {
        let told = own_text(&file(more)).err().expect("faulty");
        assert!(told.contains(fault), "{more}: {told}");
    }
    for (from, to, fault) in [
        (&*format!("{key:?}"), &*format!("{short:?}"), "instances.key_file"),
        (&*format!("{key:?}"), "\"/none\"", "instances.key_file"),
        ("127.0.0.1:7946", "localhost", "instances.listen"),
        ("127.0.0.1:7946", "0.0.0.0:7946", "instances.advertise"),
    ] {
        let told = own_text(&file("").replace(from, to)).err().expect("faulty");
        assert!(told.contains(fault), "{to}: {told}");
    }
}

#[test]
fn every_fault_is_told_and_the_idle_table_has_bounds() {
    let text = FILE.replacen("slots = 64", "slots = 0", 1).replacen("127.0.0.1:8480", "here", 1);
    let faults =
        own_faults(&format!("{text}\n[idle]\ncold_after_s = 3\nlist_limit_mb = 0\nconnections = 0\n"));
    let faults = faults.err().unwrap_or_default().join("\n");
    for key in ["limits.slots", "push.listen", "idle.cold_after_s", "idle.list_limit_mb", "idle.connections"]
    {
        assert!(faults.contains(key), "{key}: {faults}");
    }
    let own = own_faults(&format!("{FILE}\n[idle]\ncold_after_s = 600\n")).expect("sound");
    let cold_after = own.push.expect("a front").rules.settings.cold_after;
    assert_eq!(cold_after, Some(600_000_000_000));
}
