use super::*;

#[test]
fn expectations_are_checked_and_one_about_a_missing_figure_fails() {
    let text = "name = \"e\"\nseconds = 5.0\n[relay]\ncount = 1\n[[partners]]\ncount = 1\n[load]\nrate = 5.0\n\
                    [[expect]]\nfigure = \"relays\"\nleast = 1\nmost = 1\n[[expect]]\nfigure = \"all_listed_s\"\nmost = 9\n";
    let schedule = Schedule::parse(text).expect("valid");
    let mut history = History { relays: 1, known: false, ..History::default() };
    let outcome = Outcome::new(&schedule, &history, Vec::new());
    assert_eq!(outcome.failed_expectations.len(), 1, "{outcome:?}");
    let event = |kind| crate::history::Event { at: std::time::Duration::from_secs(1), relay: 0, kind };
    history.events = vec![event(EventKind::Started), event(EventKind::Ready), event(EventKind::Listed(1))];
    let outcome = Outcome::new(&schedule, &history, Vec::new());
    assert!(outcome.passed(), "{outcome:?}");
    assert!(outcome.summary_line().contains("relays=1") && outcome.summary_line().contains("all_listed_s=0"));
}
