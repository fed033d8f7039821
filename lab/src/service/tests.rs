use super::*;

#[test]
fn calls_are_processed_in_order_and_discarded_after_the_longest_wait() {
    let ms = Duration::from_millis;
    let costs = Costs { waits_ms: 200, thrown_part: 0.5, ..Costs::default() };
    let mut service = Service::default();
    let completions: Vec<_> = (0..5).map(|_| service.call(&costs, ms(10), ms(100))).collect();
    let done: Vec<_> = completions.iter().map(|t| (t.done.as_millis(), t.discarded)).collect();
    assert_eq!(done, [(110, false), (210, false), (310, false), (360, true), (410, true)]);
    assert_eq!((service.answering_time, service.discarding_time), (ms(300), ms(100)));
    assert_eq!(service.call(&costs, ms(1000), ms(100)).done, ms(1100), "an idle service starts at once");
}
