//! A class of little worth is not starved by a dear one.
mod common;
use common::*;
use slatethread::*;

/// Shares that are served of a class worth four and of one worth one, where each by itself is all that can be
/// served: one call at a time, each of 400 ms, and twice as much comes as fits.
fn served(cheap: f64) -> [f64; 2] {
    let class = |credit| Class { worth: Some(credit), lifetime: 6 * SECOND, ..class(Effect::Safe) };
    let settings = Settings {
        classes: vec![class(4.0), class(cheap)],
        slots: Some(1),
        max_queued: Some(30),
        ..settings()
    };
    let mut world = World::new(settings, vec![endpoint(1, 5)]);
    let mut events = Vec::new();
    let mut out: Option<(u32, Nanos)> = None;
    let (mut asked, mut done) = ([0u32; 2], [0u32; 2]);
    for step in 0..2400u32 {
        // 2.5 a second of each class.
        for (class, offset) in [(0, 0), (1, 4)] {
            if step % 8 == offset {
                let msg = 2 * step + class;
                let request = Request { time_left: 6 * SECOND, ..request(msg, 5, class as usize) };
                events.push(Event::Request(request));
                asked[class as usize] += 1;
            }
        }
        if let Some((msg, _)) = out.take_if(|(_, sent)| world.now >= *sent + 400 * MS) {
            events.push(closed(msg, 0, 1, Outcome::Ok, 400 * MS));
            done[(msg % 2) as usize] += 1;
        }
        let actions = world.round(50 * MS, &std::mem::take(&mut events));
        if let Some(msg) = sends(&actions).first() {
            out = Some((*msg, world.now));
        }
    }
    [0, 1].map(|class| f64::from(done[class]) / f64::from(asked[class]))
}

#[test]
fn a_class_of_low_worth_is_not_starved() {
    let [dear, cheap] = served(1.0);
    assert!(cheap > 0.15 && dear > 0.6, "{dear:.2} and {cheap:.2}");
    // Where worths are alike, nothing is put before another's.
    let [dear, cheap] = served(4.0);
    assert!((dear - cheap).abs() < 0.1, "{dear:.2} and {cheap:.2}");
}
