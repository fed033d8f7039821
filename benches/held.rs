//! Cost of a round in which one message arrives and one is answered, by the number of other queued messages.
//! `cargo bench -p slatethread --bench held`; the figures should not grow with the number of queued messages.
#[path = "../tests/common/mod.rs"]
mod common;
use common::{MS, SECOND, attempt_ended, endpoint, request};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use slatethread::*;

/// Destinations that receive messages; the queued messages are for others, or for these.
const BUSY: u32 = 50;

fn request_for(msg: u32, dest: u32) -> Event {
    Event::Request(Request { time_left: 4000 * SECOND, ..request(msg, u64::from(dest), 0) })
}

/// A dispatcher with `queued` messages for `dests` destinations, each of which is busy with a call.
fn dispatcher_with_queue(queued: u32, dests: u32) -> (Dispatcher, Nanos) {
    let class = Class {
        target_latency: 1000 * SECOND,
        lifetime: 4000 * SECOND,
        effect: Effect::Safe,
        ..Class::default()
    };
    let settings = Settings {
        relays: Some(1),
        round_interval: Some(MS),
        classes: vec![class],
        kinds: vec![Kind::default()],
        slots: Some(100_000),
        max_open_messages: Some(1_000_000),
        ..Settings::default()
    };
    let mut dispatcher = Dispatcher::new(settings, 1);
    let list = (1..=BUSY + dests).map(|id| endpoint(id, u64::from(id))).collect();
    dispatcher.on_round(SECOND, &[Event::List { scope: ListScope::Whole, entries: list }], &mut Vec::new());
    let requests: Vec<_> =
        (0..queued + dests).map(|i| request_for(1_000_000 + i, BUSY + 1 + i % dests)).collect();
    dispatcher.on_round(SECOND, &requests, &mut Vec::new());
    // Late enough that the messages no longer count as new; new messages are examined individually.
    (dispatcher, 2 * SECOND)
}

fn queued(c: &mut Criterion) {
    for (name, spread) in [("held for 50 destinations", Some(50)), ("held for as many destinations", None)] {
        let mut group = c.benchmark_group(name);
        for size in [20, 200, 2_000, 20_000] {
            let (mut dispatcher, mut now) = dispatcher_with_queue(size, spread.unwrap_or(size));
            let (mut msg, mut actions) = (0, Vec::new());
            group.bench_function(BenchmarkId::from_parameter(size), |b| {
                b.iter(|| {
                    msg += 1;
                    // A short step, so that the queued messages do not change state.
                    now += 10_000;
                    actions.clear();
                    dispatcher.on_round(now, &[request_for(msg, 1 + msg % BUSY)], &mut actions);
                    assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
                    let ended = attempt_ended(msg, 0, 1 + msg % BUSY, Outcome::Ok, 5_000);
                    dispatcher.on_round(now + 5_000, &[ended], &mut actions);
                });
            });
        }
        group.finish();
    }
}

criterion_group!(benches, queued);
criterion_main!(benches);
