//! Cost of a message and of a change of the list, by the number of listed endpoints.
//! `cargo bench -p slatethread`; the figures of each size should lie within a few hundredths of one another.
#[path = "../tests/common/mod.rs"]
mod common;
use common::{MS, SECOND, attempt_ended, endpoint, request};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use slatethread::*;

const BUSY: u32 = 50;
const SIZES: [u32; 3] = [100, 10_000, 100_000];

fn listed_at(id: u32, weight: f64) -> Endpoint {
    Endpoint { weight: Some(weight), ..endpoint(id, u64::from(id)) }
}

/// A dispatcher with `size` endpoints listed, some of which are in use.
fn dispatcher(size: u32) -> (Dispatcher, Nanos, u32) {
    let class =
        Class { target_latency: SECOND, lifetime: 6 * SECOND, effect: Effect::Safe, ..Class::default() };
    let settings = Settings {
        relays: Some(1),
        round_interval: Some(5 * MS),
        classes: vec![class],
        kinds: vec![Kind::default()],
        slots: Some(64),
        max_open_messages: Some(512),
        ..Settings::default()
    };
    let mut dispatcher = Dispatcher::new(settings, 1);
    let list =
        Event::List { scope: ListScope::Whole, entries: (1..=size).map(|id| listed_at(id, 100.0)).collect() };
    dispatcher.on_round(SECOND, &[list], &mut Vec::new());
    let (mut now, mut msg) = (SECOND, 0);
    for _ in 0..BUSY {
        deliver_message(&mut dispatcher, &mut now, &mut msg);
    }
    (dispatcher, now, msg)
}

/// One message, submitted and delivered.
fn deliver_message(dispatcher: &mut Dispatcher, now: &mut Nanos, msg: &mut u32) {
    *msg += 1;
    let dest = u64::from(*msg % BUSY) + 1;
    let request = Event::Request(Request { time_left: 6 * SECOND, ..request(*msg, dest, 0) });
    let mut actions = Vec::new();
    *now += 5 * MS;
    dispatcher.on_round(*now, &[request], &mut actions);
    let sent = actions.iter().find_map(|action| match action {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    });
    let sent = sent.expect("a free endpoint");
    let ended = attempt_ended(*msg, 0, sent.0, Outcome::Ok, 5 * MS);
    *now += 5 * MS;
    dispatcher.on_round(*now, &[ended], &mut actions);
}

fn listed(c: &mut Criterion) {
    let mut group = c.benchmark_group("message");
    for size in SIZES {
        let (mut dispatcher, mut now, mut msg) = dispatcher(size);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| deliver_message(&mut dispatcher, &mut now, &mut msg));
        });
    }
    group.finish();
    let mut group = c.benchmark_group("change of one entry");
    for size in SIZES {
        let (mut dispatcher, mut now, _) = dispatcher(size);
        let mut weight = 1.0;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_batched(
                || {
                    weight += 1.0;
                    let entry = listed_at(size, weight);
                    Event::List { scope: ListScope::Patch, entries: vec![entry] }
                },
                |event| {
                    now += 5 * MS;
                    dispatcher.on_round(now, &[event], &mut Vec::new());
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, listed);
criterion_main!(benches);
