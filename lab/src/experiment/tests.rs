use super::*;

const FILE: &str = r#"
        name = "small"
        seconds = 2.0
        [[partners]]
        count = 2
        nature = { rate = 20.0, limit = { calls = 3, span_ms = 500 } }
        [load]
        rate = 5.0
        [[trouble]]
        at_s = 1.0
        dest = 1
        kind = "shut-told"
        [[trouble]]
        at_s = 1.5
        dest = 0
        kind = "replace"
        [[expect]]
        figure = "rules_broken"
        most = 0
    "#;

#[test]
fn a_valid_file_is_parsed_and_errors_name_the_key() {
    let experiment = Experiment::parse(FILE).expect("valid");
    assert_eq!(experiment.troubles[0].kind, Event::Trouble(Trouble::ShutTold));
    assert_eq!(experiment.troubles[1].kind, Event::Replace);
    let cases = [
        ("seconds = 2.0", "seconds = 0.0", "seconds"),
        ("seconds = 2.0", "second = 2.0", "second"),
        ("count = 2", "count = 0", "partners[0].count"),
        ("rate = 20.0", "rate = -1.0", "partners[0].nature.rate"),
        ("rate = 20.0", "rate = 20.0, lost = 1.5", "partners[0].nature.lost"),
        ("seconds = 2.0", "seconds = 2.0\nrelay = { floor = true }", "relay.floor"),
        ("calls = 3", "calls = 0", "partners[0].nature.limit"),
        ("rate = 5.0", "rate = 5.0\nbusy = 3", "load.busy"),
        ("rate = 5.0", "rate = \"x\"", "load.rate"),
        ("dest = 1", "dest = 2", "trouble[0].dest"),
        ("\"shut-told\"", "\"tired\"", "trouble[0].kind"),
        ("most = 0", "", "expect[0]"),
    ];
    for (from, to, key) in cases {
        assert!(FILE.contains(from), "{from}");
        let fault = Experiment::parse(&FILE.replacen(from, to, 1)).err().unwrap_or_default();
        assert!(fault.contains(key), "{to}: {fault}");
    }
}
