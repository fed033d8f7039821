use super::*;

#[test]
fn expectations_are_held_against_figures_and_what_is_missing_is_not_held() {
    let text = "name = \"e\"\nseconds = 5.0\n[relay]\ncount = 1\n[[partners]]\ncount = 1\n[load]\nrate = 5.0\n\
                    [[expect]]\nfigure = \"relays\"\nleast = 1\nmost = 1\n[[expect]]\nfigure = \"all_listed_s\"\nmost = 9\n";
    let schedule = Schedule::parse(text).expect("sound");
    let mut history = History { relays: 1, known: false, ..History::default() };
    let outcome = Outcome::new(&schedule, &history, Vec::new());
    assert_eq!(outcome.expectations_not_held.len(), 1, "{outcome:?}");
    let event = |what| crate::history::Event { at: std::time::Duration::from_secs(1), relay: 0, what };
    history.events = vec![event(What::Started), event(What::Ready), event(What::Listed(1))];
    let outcome = Outcome::new(&schedule, &history, Vec::new());
    assert!(outcome.held(), "{outcome:?}");
    assert!(outcome.line().contains("relays=1") && outcome.line().contains("all_listed_s=0"));
}
