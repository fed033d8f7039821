use super::*;
use proptest::prelude::*;

fn secs(s: f64) -> At {
    At::from_secs_f64(s)
}

#[test]
fn the_count_follows_the_loss_of_half_within_a_minute_and_ignores_a_restart() {
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
    /// The count is never lower than the number of live instances, never higher than the most ever alive or configured, and ends at the
    /// number of live instances.
    #[test]
    fn the_count_lies_between_the_live_instances_and_the_most_there_ever_were(
        configured in 1u32..400,
        views in prop::collection::vec((0.0f64..60.0, 1u32..400), 1..30),
    ) {
        let mut now = 0.0;
        let mut count = InstanceCount::new(configured, secs(now));
        let mut most = configured;
        for (pause, alive) in views {
            now += pause;
            most = most.max(alive);
            count.set_alive(secs(now), alive);
            let effective = count.effective(secs(now));
            prop_assert!(effective >= alive && effective <= most);
            prop_assert!(count.due().is_some() || effective == alive);
        }
        let alive = count.alive;
        prop_assert_eq!(count.effective(secs(now + 600.0)), alive);
    }
}
