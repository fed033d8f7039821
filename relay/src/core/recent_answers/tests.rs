use super::*;

const REFUSED: Answer = Answer::Refused { after: None };

#[test]
fn requests_that_ran_are_remembered_beside_a_flood_of_refused_ones() {
    let mut recent = RecentAnswers::default();
    recent.add("a", Answer::Accepted);
    (0..3 * MAX_ENDED_IDS).for_each(|number| recent.add(&format!("r{number}"), REFUSED));
    assert_eq!(recent.answer("a"), Some(Answer::Accepted));
    assert_eq!(recent.answer("r0"), None, "the oldest are dropped");
}

#[test]
fn long_ids_are_bounded_by_their_bytes() {
    let mut recent = RecentAnswers::default();
    (0..MAX_ENDED_IDS).for_each(|number| recent.add(&format!("{number:0512}"), Answer::Accepted));
    let kept: usize = recent.all().iter().map(|(id, _)| id.len()).sum();
    assert!(kept <= MAX_BYTES, "{kept} bytes");
    assert_eq!(recent.answer(&format!("{:0512}", MAX_ENDED_IDS - 1)), Some(Answer::Accepted));
}

#[test]
fn a_job_that_ended_before_a_restart_is_remembered_for_what_is_left_of_the_time() {
    let mut recent = RecentAnswers::default();
    recent.add_ended("old", ENDED_ID_TTL + Duration::from_secs(1));
    recent.add_ended("new", Duration::from_secs(1));
    assert_eq!((recent.answer("old"), recent.answer("new")), (None, Some(Answer::Accepted)));
}

// An id that both the predecessor and the journal tell of is one entry, whose end does not take it away early.
#[test]
fn an_id_that_is_added_twice_is_one_entry() {
    let mut recent = RecentAnswers::default();
    recent.add("a", Answer::Accepted);
    recent.add("a", Answer::Accepted);
    assert_eq!(recent.all(), [("a".to_owned(), Answer::Accepted)]);
}

#[test]
fn an_id_that_was_refused_and_then_accepted_counts_as_accepted() {
    let mut recent = RecentAnswers::default();
    recent.add("a", REFUSED);
    recent.add("a", Answer::Accepted);
    assert_eq!(recent.answer("a"), Some(Answer::Accepted));
}
