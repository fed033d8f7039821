//! What a message and a change of the list cost the module, by how many endpoints are listed.
//! `cargo bench -p slatethread`; the figures of each size should lie within a few hundredths of one another.
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use slatethread::*;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MS;
const BUSY: u32 = 50;
const SIZES: [u32; 3] = [100, 10_000, 100_000];

fn endpoint(id: u32) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        dest: DestId(u64::from(id)),
        zone: ZoneId(0),
        kind: KindId(0),
        condition: Condition::Active,
        weight: Some(100.0),
        started: 0,
    }
}

/// A courier with so many endpoints listed, some of which are in use.
fn courier(size: u32) -> (Courier, Nanos, u32) {
    let class = Class { aim: SECOND, give_up: 6 * SECOND, effect: Effect::Safe, ..Class::default() };
    let settings = Settings {
        couriers: Some(1),
        step: Some(5 * MS),
        classes: vec![class],
        kinds: vec![Kind::default()],
        slots: Some(64),
        max_held: Some(512),
        ..Settings::default()
    };
    let mut courier = Courier::new(settings, 1);
    let list = Event::List { scope: ListScope::Whole, entries: (1..=size).map(endpoint).collect() };
    courier.on_round(SECOND, &[list], &mut Vec::new());
    let (mut now, mut msg) = (SECOND, 0);
    for _ in 0..BUSY {
        job(&mut courier, &mut now, &mut msg);
    }
    (courier, now, msg)
}

/// One message, in and delivered.
fn job(courier: &mut Courier, now: &mut Nanos, msg: &mut u32) {
    *msg += 1;
    let request = Event::Request(Request {
        msg: MsgId(*msg),
        dest: DestId(u64::from(*msg % BUSY) + 1),
        class: ClassId(0),
        tenant: None,
        key: None,
        patience: 6 * SECOND,
        retry: false,
        reconnect: false,
        tries: 0,
        risk: None,
    });
    let mut actions = Vec::new();
    *now += 5 * MS;
    courier.on_round(*now, &[request], &mut actions);
    let sent = actions.iter().find_map(|action| match action {
        Action::Send { endpoint, .. } => Some(*endpoint),
        _ => None,
    });
    let closed = Event::Closed {
        msg: MsgId(*msg),
        attempt: 0,
        endpoint: sent.expect("a free endpoint"),
        outcome: Outcome::Ok,
        latency: 5 * MS,
        no_more: true,
        report: Report::default(),
    };
    *now += 5 * MS;
    courier.on_round(*now, &[closed], &mut actions);
}

fn listed(c: &mut Criterion) {
    let mut group = c.benchmark_group("message");
    for size in SIZES {
        let (mut courier, mut now, mut msg) = courier(size);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| job(&mut courier, &mut now, &mut msg));
        });
    }
    group.finish();
    let mut group = c.benchmark_group("change of one entry");
    for size in SIZES {
        let (mut courier, mut now, _) = courier(size);
        let mut weight = 1.0;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter_batched(
                || {
                    weight += 1.0;
                    let entry = Endpoint { weight: Some(weight), ..endpoint(size) };
                    Event::List { scope: ListScope::Patch, entries: vec![entry] }
                },
                |event| {
                    now += 5 * MS;
                    courier.on_round(now, &[event], &mut Vec::new());
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, listed);
criterion_main!(benches);
