//! Short versions of the experiments, which use the same components as the long ones and run in seconds.
use std::path::Path;
use tokio::task::LocalSet;

use onyxglade_lab::experiment::Experiment;
use onyxglade_lab::play::{Leg, in_virtual_time, on_sockets};
use onyxglade_lab::relay;
use onyxglade_lab::report::Outcome;

fn load_experiment(name: &str) -> Experiment {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments").join(name);
    Experiment::read(&path).unwrap_or_else(|error| panic!("{error}"))
}

fn run_on_sockets(experiment: &Experiment) -> Leg {
    let program = relay::program().expect("the relay is built");
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let leg = on_sockets(experiment, &program, folder.path(), experiment.dests(), 0, false);
    LocalSet::new().block_on(&runtime, leg).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn every_shipped_experiment_file_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let files = std::fs::read_dir(folder).expect("a folder");
    let names: Vec<_> =
        files.map(|f| f.expect("a file").file_name().into_string().expect("a name")).collect();
    assert!(names.len() >= 4);
    for name in names {
        load_experiment(&name);
    }
}

const SMALL: &str = r#"
    name = "small"
    seconds = 4.0
    [relay]
    own = { idle = { list_limit_mb = 4 } }
    [[partners]]
    count = 2000
    [load]
    rate = 80.0
    busy = 8
    [list]
    told_again = 1
    told_at = [1.0]
    [[expect]]
    figure = "rules_broken"
    most = 0
"#;

const LATER: &str = r#"
    [[trouble]]
    at_s = 2.0
    for_s = 0.5
    dest = 5
    kind = "lose-answers"
"#;

/// TOML with one `[[trouble]]` per kind, each for another destination and lasting from second 1 to second 2.
fn troubles(kinds: &[&str]) -> String {
    let trouble = |(dest, kind): (usize, &&str)| {
        format!("[[trouble]]\nat_s = 1.0\nfor_s = 1.0\ndest = {dest}\nkind = \"{kind}\"\n")
    };
    kinds.iter().enumerate().map(trouble).collect()
}

fn small_experiment() -> String {
    format!("{SMALL}{}{LATER}", troubles(&["hang", "down", "shut-told", "drain", "move"]))
}

#[test]
fn results_on_sockets_and_in_virtual_time_agree_and_no_rule_is_broken() {
    let experiment = Experiment::parse(&small_experiment()).expect("a valid experiment");
    let legs = vec![run_on_sockets(&experiment), in_virtual_time(&experiment, experiment.dests(), 0)];
    let outcome = Outcome::new(&experiment, legs);
    assert!(outcome.held(), "{:?}", outcome.legs.iter().map(|leg| &leg.breaches).collect::<Vec<_>>());
    let (real, virtual_) = (outcome.figures["delivered_share"], outcome.figures["virtual.delivered_share"]);
    assert!(real > 0.6 && (real - virtual_).abs() < 0.1, "{real} on sockets, {virtual_} in virtual time");
    assert_eq!(outcome.figures["handed_in"], outcome.figures["virtual.handed_in"]);
    assert!(outcome.figures["lists_told"] >= 3.0, "{:?}", outcome.figures);
    let full = outcome.legs[1].figures["full_records"];
    assert!((6.0..=8.0).contains(&full), "{full} full records with 2000 listed destinations");
}

/// Guards against rules that are never violated: here the partner is overloaded by little traffic, and the rule must be
/// reported as broken.
#[test]
fn a_partner_overloaded_by_little_traffic_is_reported_as_pushed_over() {
    let text = small_experiment()
        .replace("count = 2000", "count = 8\nnature = { fall_multiple = 0.01, rate = 2.0, queue = 500 }");
    let text = text.replace("kind = \"down\"\n", "kind = \"restart\"\nunlisted = true\n");
    let text = text.replace("rate = 80.0", "rate = 200.0");
    let leg = in_virtual_time(&Experiment::parse(&text).expect("a valid experiment"), 8, 0);
    assert!(leg.figures["pushed_over"] > 0.0, "{:?}", leg.rules);
}

/// Checks that a partner that returns after an outage receives no more than it can handle.
fn assert_return_within_limits(name: &str, size: usize) {
    let mut experiment = load_experiment(name);
    experiment.expectations.retain(|e| e.figure.starts_with("virtual.") || e.figure == "rules_broken");
    for repeat in 0..5 {
        let legs = vec![in_virtual_time(&experiment, size, repeat)];
        let outcome = Outcome::new(&experiment, legs);
        assert!(
            outcome.held(),
            "{name}, {repeat}: {:?} {:?}",
            outcome.expectations,
            outcome.first_ten_seconds
        );
    }
    // Without the relay's own settings the partner is flooded, so the checks above depend on the ramp.
    experiment.relay.own.clear();
    let leg = in_virtual_time(&experiment, size, 0);
    assert!(leg.figures["return_offered_most_share"] > 1.0, "{:?}", leg.first_ten_seconds);
}

#[test]
fn a_partner_that_returns_after_silence_is_not_overloaded() {
    assert_return_within_limits("return.toml", 20);
}

#[test]
fn two_relays_together_do_not_overload_a_returning_partner() {
    assert_return_within_limits("return-two-relays.toml", 20);
}

#[test]
fn a_partner_that_returns_after_an_hour_among_many_destinations_is_not_overloaded() {
    assert_return_within_limits("hour.toml", 5000);
}

/// A hundred relays with the same partner meet the same expectations as three, in a burst of messages, with a lowered
/// limit, and after a cold return.
#[test]
fn many_relays_meet_the_same_expectations_as_few() {
    for name in ["fleet-limit-few", "fleet-limit-many", "fleet-return-few", "fleet-return-many"] {
        let experiment = load_experiment(&format!("{name}.toml"));
        for repeat in 0..2 {
            let outcome = Outcome::new(&experiment, vec![in_virtual_time(&experiment, 1, repeat)]);
            assert!(outcome.held(), "{name}, {repeat}: {:?}", outcome.expectations);
        }
    }
}

/// Difficult cases of a partner's return, each in virtual time with several seeds.
#[test]
fn difficult_returns_do_not_overload_a_partner() {
    let cases = [
        // Connections are refused, and the partner is listed again before it is up.
        "at_s = 300.0\nfor_s = 8.0\ndest = 0\nkind = \"refuse\"\nunlisted = true",
        // Calls are rejected with a retry-after time that extends beyond the return.
        "at_s = 295.0\nfor_s = 15.0\ndest = 0\nkind = \"shut-told\"",
        // The partner returns with a tenth of its rate.
        "at_s = 295.0\nfor_s = 60.0\ndest = 0\nkind = \"tenth\"",
        // The instance is replaced under a new id at the same address, and the list is updated late.
        "at_s = 290.0\nfor_s = 12.0\ndest = 0\nkind = \"replace\"",
        // The partner returns at another address.
        "at_s = 290.0\nfor_s = 12.0\ndest = 0\nkind = \"move\"",
        // The partner returns cold, and the list does not show the restart.
        "at_s = 290.0\nfor_s = 10.0\ndest = 0\nkind = \"restart\"\nunlisted = true",
    ];
    for (case, trouble) in cases.iter().enumerate() {
        for relays in [1, 2] {
            let text = format!(
                "name = \"hard\"\nseconds = 340.0\n[relay]\ncount = {relays}\nown = {{ idle = {{ cold_after_s = 120 }} }}\n\
                 [list]\nlate_s = 3.0\n[[partners]]\ncount = 3\n[load]\nrate = 25.0\nsilent = [[10.0, 300.0]]\n\
                 clumps = [[300.0, 40, 0]]\n[[trouble]]\n{trouble}\n"
            );
            let experiment = Experiment::parse(&text).expect("a valid experiment");
            for seed in 0..4 {
                let leg = in_virtual_time(&experiment, 3, seed);
                assert!(
                    leg.rules.is_empty(),
                    "case {case}, {relays} relays, seed {seed}: {:?}",
                    leg.breaches
                );
                assert!(leg.figures["delivered"] > 250.0, "case {case}: {:?}", leg.figures);
            }
        }
    }
}

#[test]
fn the_push_front_end_keeps_all_rules_under_faults() {
    let text = r#"
        name = "push"
        seconds = 4.0
        [relay]
        front = "push"
        [[partners]]
        count = 6
        [load]
        rate = 80.0
        busy = 6
        [[expect]]
        figure = "rules_broken"
        most = 0
        [[expect]]
        figure = "delivered_share"
        least = 0.6
    "#;
    let text = format!("{text}{}", troubles(&["lose-answers", "down", "shut-told", "hang"]));
    let experiment = Experiment::parse(&text).expect("a valid experiment");
    let outcome = Outcome::new(&experiment, vec![run_on_sockets(&experiment)]);
    let breaches = outcome.legs.iter().map(|leg| &leg.breaches).collect::<Vec<_>>();
    assert!(outcome.held(), "{:?} {breaches:?}", outcome.figures);
    let unsupported = text.replace("kind = \"down\"", "kind = \"drain\"");
    assert!(Experiment::parse(&unsupported).is_err_and(|error| error.starts_with("trouble[1].kind")));
}
