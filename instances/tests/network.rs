//! Many instances in virtual time: one seed drives the network, the clocks and the faults; the instances are the relay's own.
use onyxglade_instances::simulation::membership::Network as Net;
use onyxglade_instances::simulation::{address, key};
use onyxglade_instances::*;
use proptest::prelude::*;

fn fleet(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed);
    for n in 0..count {
        net.start(n);
    }
    net.run(10.0);
    assert_eq!(net.wrong_views(), [], "all that started see each other");
    net
}

#[test]
fn an_instance_that_dies_is_missed_by_all_and_one_that_returns_is_seen_by_all() {
    for seed in 0..5 {
        let mut net = fleet(9, seed);
        net.swims[4] = None;
        net.run(12.0);
        assert_eq!(net.wrong_views(), [], "seed {seed}");
        net.start(4);
        net.run(5.0);
        assert_eq!(net.wrong_views(), [], "back under its name, with a later incarnation");
    }
}

/// A newcomer among hundreds hears by datagrams of those that changed, and of few others.
#[test]
fn newcomers_among_hundreds_soon_see_all() {
    let mut net = fleet(300, 1);
    (0..210).for_each(|n| net.swims[n] = None);
    net.run(3.0);
    (0..210).for_each(|n| net.start(n));
    net.run(20.0);
    assert_eq!(net.wrong_views(), []);
}

#[test]
fn who_leaves_is_missed_at_once() {
    let mut net = fleet(9, 1);
    net.handle(4, SwimInput::Leave);
    net.swims[4] = None;
    net.run(2.0);
    assert_eq!(net.wrong_views(), []);
}

#[test]
fn a_stopped_instance_is_not_taken_for_dead_before_its_time_and_takes_nobody_for_dead() {
    for seed in 0..5 {
        let mut net = fleet(30, seed);
        let from = net.now;
        net.paused.insert(7);
        net.run(3.0);
        net.resume(7);
        net.run(15.0);
        assert_eq!(
            (net.wrong_views(), net.down_count(from)),
            (vec![], 0),
            "seed {seed}: suspected, and refuted"
        );
        // Stopped for longer than suspicion lasts it is missed; it misses nobody, and comes back.
        let from = net.now;
        net.paused.insert(7);
        net.run(20.0);
        assert!(net.wrong_views().iter().any(|(_, m)| *m == 7), "seed {seed}: still seen");
        net.resume(7);
        net.run(25.0);
        assert_eq!(net.wrong_views(), [], "seed {seed}");
        let by_it = net
            .changes
            .iter()
            .filter(|(at, n, c)| *at >= from && *n == 7 && matches!(c, MembershipChange::Down(_)));
        assert_eq!(by_it.count(), 0, "seed {seed}: it took others for dead");
    }
}

#[test]
fn a_suspicion_that_was_refuted_while_this_process_was_stopped_is_not_acted_on() {
    for seed in 0..40 {
        let mut net = fleet(9, seed);
        net.partition[5] = 1;
        let suspects = |net: &Net| {
            let seen = net.swims[7].as_ref().expect("live").members();
            seen.iter().any(|s| s.suspected && s.member.address == address(5))
        };
        while !suspects(&net) {
            net.run(0.05);
        }
        // It is well again at once, and says so while the other is stopped.
        net.partition[5] = 0;
        net.paused.insert(7);
        net.run(6.0);
        let of_it = |c: &MembershipChange| matches!(c, MembershipChange::Down(m) if m.address == address(5));
        let before = net.changes.len();
        net.resume_unread(7);
        assert!(
            !net.changes[before..].iter().any(|(.., c)| of_it(c)),
            "seed {seed}: acted on before it was heard"
        );
        net.resume(7);
        // What lay unread may hold others' word that it was gone, and their next that it is there; both are heard by now.
        let from = net.now;
        net.run(10.0);
        let by_it = net.changes.iter().any(|(at, n, c)| *at > from && *n == 7 && of_it(c));
        assert!(!by_it, "seed {seed}: it acted on what it suspected before it was stopped");
    }
}

#[test]
fn a_partition_of_minutes_heals_by_itself_and_halves_that_start_apart_meet() {
    for seed in 0..3 {
        let mut net = fleet(9, seed);
        (0..4).for_each(|n| net.partition[n] = 1);
        net.run(180.0);
        assert!(net.wrong_views().len() >= 2 * 4 * 5, "seed {seed}: they do not miss each other");
        net.partition.fill(0);
        net.run(60.0);
        assert_eq!(net.wrong_views(), [], "seed {seed}");
        // The seeds are all on one side: the other half knows nobody at all until it can reach them.
        let mut net = Net::new(8, seed);
        net.partition = vec![0, 0, 0, 0, 1, 1, 1, 1];
        (0..8).for_each(|n| net.start(n));
        net.run(20.0);
        net.partition.fill(0);
        net.run(20.0);
        assert_eq!(net.wrong_views(), [], "seed {seed}");
    }
}

#[test]
fn clocks_that_are_half_a_minute_off_do_no_harm() {
    let mut net = Net::new(6, 1);
    net.clock_skew = vec![0.0, 30.0, -30.0, 45.0, 0.0, 0.0];
    (0..6).for_each(|n| net.start(n));
    net.run(10.0);
    assert_eq!(net.wrong_views(), []);
}

#[test]
fn strangers_replays_and_members_that_cannot_be_change_nothing() {
    let mut net = fleet(3, 1);
    let before: Vec<_> = net.swims.iter().flatten().map(Swim::members).collect();
    let member = Member { name: "x".into(), ..Member::with_address(address(9)) };
    let config = SwimConfig { seeds: vec![address(0)], size: 3 };
    let other = Key::read(&[6; 32]).expect("long enough");
    let mut stranger = Swim::new(member.clone(), config.clone(), other, 9, net.now);
    let mut unsound = Swim::new(Member { name: "x".repeat(99), ..member }, config, key(), 10, net.now);
    let unix = net.unix(0);
    for swim in [&mut stranger, &mut unsound] {
        for output in swim.handle(net.now, unix, SwimInput::TimerDue) {
            let SwimOutput::Send { bytes, .. } = output else { continue };
            net.handle(0, SwimInput::Datagram(&bytes));
        }
    }
    net.handle(0, SwimInput::Datagram(b""));
    net.handle(0, SwimInput::Datagram(&[1; 2000]));
    let counts = net.swims[0].as_ref().expect("live").counters();
    assert_eq!((counts.unauthenticated, counts.malformed), (3, 1));
    let after: Vec<_> = net.swims.iter().flatten().map(Swim::members).collect();
    assert_eq!(before, after);
}

/// What each instance sends, in bytes a second, once all see each other: it does not grow with their number beyond what a
/// datagram carries.
#[test]
fn traffic_is_bounded_whatever_the_number_of_instances() {
    for count in [3, 30, 300] {
        let mut net = Net::new(count, 1);
        (0..count).for_each(|n| net.start(n));
        net.run(20.0);
        let sent = |net: &Net| {
            net.link_bytes.iter().sum::<u64>()
                + net.swims.iter().flatten().map(|s| s.counters().sent_bytes).sum::<u64>()
        };
        let started = sent(&net);
        assert_eq!(net.wrong_views(), [], "{count}");
        net.run(30.0);
        let bytes = sent(&net) - started;
        let (quiet, begin) = (bytes as f64 / count as f64 / 30.0, started as f64 / count as f64 / 20.0);
        println!("{count} instances: {quiet:.0} bytes a second each, {begin:.0} in their first 20 s");
        assert!(quiet < 4_000.0, "{count} instances: {quiet} bytes a second each");
        assert!(begin < 30_000.0, "{count} instances: {begin} bytes a second each at the start");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever came before: once the network is whole and nobody is stopped, all who run see each other and nobody else.
    #[test]
    fn views_agree_again_after_any_faults(
        seed in any::<u64>(),
        faults in prop::collection::vec((0usize..6, 0usize..5, 1u32..80), 0..8),
    ) {
        let mut net = fleet(6, seed);
        for (n, kind, tenths) in faults {
            match kind {
                0 => net.swims[n] = None,
                1 => drop(net.paused.insert(n)),
                2 => net.partition[n] = 1 - net.partition[n],
                3 => (net.loss_rate, net.delay) = (0.3, (0.05, 0.4)),
                _ if net.swims[n].is_none() => net.start(n),
                _ => {}
            }
            net.run(f64::from(tenths) / 10.0);
        }
        (net.loss_rate, net.delay) = (0.0, (0.001, 0.01));
        net.partition.fill(0);
        for n in 0..6 {
            if net.swims[n].is_none() {
                net.paused.remove(&n);
                net.unread.remove(&n);
            } else if net.paused.contains(&n) {
                net.resume(n);
            }
        }
        // Who is taken for gone is reminded by lot among all that are: mostly within seconds, seldom after a minute and a half.
        for _ in 0..30 {
            net.run(10.0);
            if net.wrong_views().is_empty() {
                break;
            }
        }
        prop_assert_eq!(net.wrong_views(), vec![]);
    }
}
