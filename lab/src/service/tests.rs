use super::*;

#[test]
fn calls_are_taken_one_by_one_and_thrown_away_after_their_wait() {
    let ms = Duration::from_millis;
    let costs = Costs { waits_ms: 200, thrown_part: 0.5, ..Costs::default() };
    let mut service = Service::default();
    let turns: Vec<_> = (0..5).map(|_| service.call(&costs, ms(10), ms(100))).collect();
    let done: Vec<_> = turns.iter().map(|t| (t.done.as_millis(), t.thrown)).collect();
    assert_eq!(done, [(110, false), (210, false), (310, false), (360, true), (410, true)]);
    assert_eq!((service.answering, service.throwing), (ms(300), ms(100)));
    assert_eq!(service.call(&costs, ms(1000), ms(100)).done, ms(1100), "it was free again");
}
