use super::*;

fn at(ms: u64) -> At {
    Duration::from_millis(ms)
}

/// Plays it twice: what breaks the rule, and what does not.
fn broken(play: impl Fn(&mut Checker, bool)) -> [Vec<Rule>; 2] {
    [true, false].map(|wrong| {
        let mut checker = Checker::default();
        checker.handed_in(1, 7, at(5000), true);
        checker.taken(1);
        play(&mut checker, wrong);
        checker.counts().keys().copied().collect()
    })
}

#[test]
fn every_breach_is_seen_and_nothing_else() {
    let two = broken(|c, wrong| {
        c.called(1, 1, 7, at(10), at(10));
        if !wrong {
            c.call_over(1, false);
        }
        c.called(1, 2, 7, at(20), at(20));
    });
    assert_eq!(two, [vec![Rule::TwoOut], vec![]]);
    let again = broken(|c, wrong| {
        c.called(1, 1, 7, at(10), at(10));
        c.call_over(1, wrong);
        c.called(1, 1, 7, at(20), at(20));
    });
    assert_eq!(again, [vec![Rule::Repeated], vec![]]);
    let wait = broken(|c, wrong| {
        c.told_wait(7, at(100), at(1000));
        c.called(1, 1, 7, at(150), at(150));
        c.call_over(1, false);
        let now = at(if wrong { 600 } else { 1100 });
        c.called(1, 1, 7, now, now);
    });
    assert_eq!(wait, [vec![Rule::InWait], vec![]]);
    let drain = broken(|c, wrong| {
        c.drain(3, Some(at(100)));
        let first = at(if wrong { 601 } else { 600 });
        c.called(1, 3, 7, first, at(700));
    });
    assert_eq!(drain, [vec![Rule::Draining], vec![]]);
    let astray = broken(|c, wrong| c.called(1, 3, if wrong { 8 } else { 7 }, at(1), at(1)));
    assert_eq!(astray, [vec![Rule::Astray], vec![]]);
    let pushed = broken(|c, wrong| c.falls(3, u32::from(wrong), at(1)));
    assert_eq!(pushed, [vec![Rule::PushedOver], vec![]]);
    let lost = broken(|c, wrong| c.look(at(if wrong { 5351 } else { 5350 })));
    assert_eq!(lost, [vec![Rule::Lost], vec![]]);
    let lost = broken(|c, wrong| {
        c.defer_end(1, at(7000));
        c.look(at(if wrong { 7001 } else { 7000 }));
    });
    assert_eq!(lost, [vec![Rule::Lost], vec![]]);
    let twice = broken(|c, wrong| {
        c.noticed(1, true, at(10));
        c.noticed(1, true, at(15));
        if wrong {
            c.noticed(1, false, at(20));
        }
    });
    assert_eq!(twice, [vec![Rule::EndedTwice], vec![]]);
    let after_end = broken(|c, wrong| {
        c.noticed(1, true, at(100));
        let first = at(if wrong { 151 } else { 150 });
        c.called(1, 3, 7, first, first);
    });
    assert_eq!(after_end, [vec![Rule::AfterEnd], vec![]]);
}

#[test]
fn what_is_excused_is_neither_lost_nor_repeated() {
    let mut checker = Checker::default();
    checker.handed_in(1, 7, at(1000), true);
    checker.taken(1);
    checker.called(1, 1, 7, at(10), at(10));
    checker.call_over(1, true);
    checker.exempt(1);
    checker.called(1, 1, 7, at(20), at(20));
    checker.look(at(20_000));
    assert_eq!((checker.total(), checker.open()), (0, 0));
}

#[test]
fn what_is_over_is_forgotten() {
    let mut checker = Checker::default();
    checker.handed_in(1, 7, at(1000), false);
    checker.taken(1);
    assert!(checker.delivered(1) && !checker.delivered(1));
    checker.look(at(20_000));
    assert!(checker.known().is_empty() && checker.total() == 0);
}

#[test]
fn a_message_that_was_refused_is_not_sent_and_one_whose_answer_was_lost_may_be() {
    let mut checker = Checker::default();
    (1..=2).for_each(|msg| checker.handed_in(msg, 7, at(1000), true));
    checker.refused(1, at(10));
    checker.not_taken(2);
    (1..=2).for_each(|msg| checker.called(msg, 1, 7, at(200), at(200)));
    assert_eq!(checker.counts(), &BTreeMap::from([(Rule::AfterEnd, 1)]));
}
