use super::*;
use proptest::prelude::*;

fn secs(s: f64) -> At {
    At::from_secs_f64(s)
}

#[test]
fn half_of_all_are_given_up_within_a_minute_and_a_restart_changes_nothing() {
    let mut count = InstanceCount::new(300, secs(0.0));
    count.set_alive(secs(1.0), 300);
    count.set_alive(secs(30.0), 90);
    assert_eq!(count.effective(secs(45.0)), 300, "they may come back");
    count.set_alive(secs(45.0), 300);
    assert_eq!((count.effective(secs(46.0)), count.due()), (300, None));
    count.set_alive(secs(100.0), 150);
    let at = |count: &mut InstanceCount, s| count.effective(secs(s));
    assert_eq!(at(&mut count, 119.0), 300);
    assert!(at(&mut count, 155.0) <= 225 && at(&mut count, 155.0) >= 200);
    assert!(at(&mut count, 260.0) < 160);
    count.set_alive(secs(261.0), 301);
    assert_eq!(at(&mut count, 261.0), 301, "at once");
}

proptest! {
    /// Never fewer than are there, never more than there ever were; and in the end as many as there are.
    #[test]
    fn what_is_counted_lies_between_who_is_there_and_who_ever_was(
        told in 1u32..400,
        views in prop::collection::vec((0.0f64..60.0, 1u32..400), 1..30),
    ) {
        let mut now = 0.0;
        let mut count = InstanceCount::new(told, secs(now));
        let mut most = told;
        for (pause, there) in views {
            now += pause;
            most = most.max(there);
            count.set_alive(secs(now), there);
            let counted = count.effective(secs(now));
            prop_assert!(counted >= there && counted <= most);
            prop_assert!(count.due().is_some() || counted == there);
        }
        let there = count.there;
        prop_assert_eq!(count.effective(secs(now + 600.0)), there);
    }
}
