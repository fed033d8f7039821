//! A class of low worth is not starved by a class of high worth.
mod common;
use common::*;
use slatethread::*;

/// Shares served of a class worth four and of another class, each of which alone is as much as can be served:
/// one call at a time, each of 400 ms, and twice as many messages arrive as fit.
fn served(other_worth: f64) -> [f64; 2] {
    let class = |worth| Class { worth: Some(worth), lifetime: 6 * SECOND, ..class(Effect::Safe) };
    let settings = Settings {
        classes: vec![class(4.0), class(other_worth)],
        slots: Some(1),
        max_open_messages: Some(30),
        ..settings()
    };
    let mut world = World::new(settings, vec![endpoint(1, 5)]);
    let mut events = Vec::new();
    let mut in_flight: Option<(u32, Nanos)> = None;
    let (mut submitted, mut served_count) = ([0u32; 2], [0u32; 2]);
    for step in 0..2400u32 {
        // 2.5 messages a second of each class.
        for (class, offset) in [(0, 0), (1, 4)] {
            if step % 8 == offset {
                let msg = 2 * step + class;
                let request = Request { time_left: 6 * SECOND, ..request(msg, 5, class as usize) };
                events.push(Event::Request(request));
                submitted[class as usize] += 1;
            }
        }
        if let Some((msg, _)) = in_flight.take_if(|(_, sent)| world.now >= *sent + 400 * MS) {
            events.push(attempt_ended(msg, 0, 1, Outcome::Ok, 400 * MS));
            served_count[(msg % 2) as usize] += 1;
        }
        let actions = world.round(50 * MS, &std::mem::take(&mut events));
        if let Some(msg) = sends(&actions).first() {
            in_flight = Some((*msg, world.now));
        }
    }
    [0, 1].map(|class| f64::from(served_count[class]) / f64::from(submitted[class]))
}

#[test]
fn a_class_of_low_worth_is_not_starved() {
    let [high, low] = served(1.0);
    assert!(low > 0.15 && high > 0.6, "{high:.2} and {low:.2}");
    // With equal worths, neither class takes precedence.
    let [high, low] = served(4.0);
    assert!((high - low).abs() < 0.1, "{high:.2} and {low:.2}");
}
