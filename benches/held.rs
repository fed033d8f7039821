//! What a round costs in which one message comes and one is answered, by how many others are held.
//! `cargo bench -p slatethread --bench held`; the figures should not grow with what is held.
#[path = "../tests/common/mod.rs"]
mod common;
use common::{MS, SECOND, closed, endpoint, request};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use slatethread::*;

/// The destinations that take messages; those held wait at others, or at these.
const BUSY: u32 = 50;

fn ask(msg: u32, dest: u32) -> Event {
    Event::Request(Request { time_left: 4000 * SECOND, ..request(msg, u64::from(dest), 0) })
}

/// A courier that holds so many messages for so many destinations that are busy with a call each.
fn holding(held: u32, dests: u32) -> (Dispatcher, Nanos) {
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
        max_queued: Some(1_000_000),
        ..Settings::default()
    };
    let mut courier = Dispatcher::new(settings, 1);
    let list = (1..=BUSY + dests).map(|id| endpoint(id, u64::from(id))).collect();
    courier.on_round(SECOND, &[Event::List { scope: ListScope::Whole, entries: list }], &mut Vec::new());
    let requests: Vec<_> = (0..held + dests).map(|i| ask(1_000_000 + i, BUSY + 1 + i % dests)).collect();
    courier.on_round(SECOND, &requests, &mut Vec::new());
    // Late enough that they are not fresh any more: those are looked at by themselves.
    (courier, 2 * SECOND)
}

fn held(c: &mut Criterion) {
    for (name, spread) in [("held for 50 destinations", Some(50)), ("held for as many destinations", None)] {
        let mut group = c.benchmark_group(name);
        for size in [20, 200, 2_000, 20_000] {
            let (mut courier, mut now) = holding(size, spread.unwrap_or(size));
            let (mut msg, mut actions) = (0, Vec::new());
            group.bench_function(BenchmarkId::from_parameter(size), |b| {
                b.iter(|| {
                    msg += 1;
                    // Little enough time that those held stay as they are.
                    now += 10_000;
                    actions.clear();
                    courier.on_round(now, &[ask(msg, 1 + msg % BUSY)], &mut actions);
                    assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
                    let closed = closed(msg, 0, 1 + msg % BUSY, Outcome::Ok, 5_000);
                    courier.on_round(now + 5_000, &[closed], &mut actions);
                });
            });
        }
        group.finish();
    }
}

criterion_group!(benches, held);
criterion_main!(benches);
