//! The membership protocol with many instances in virtual time. The instances are the state machines that the relay uses; one random
//! seed determines the network, the clocks and the faults.
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
    assert_eq!(net.wrong_views(), [], "all that started see one another");
    net
}

#[test]
fn all_see_an_instance_go_down_when_it_crashes_and_come_up_when_it_restarts() {
    for seed in 0..5 {
        let mut net = fleet(9, seed);
        net.swims[4] = None;
        net.run(12.0);
        assert_eq!(net.wrong_views(), [], "seed {seed}");
        net.start(4);
        net.run(5.0);
        assert_eq!(net.wrong_views(), [], "back under the same address, with a later incarnation");
    }
}

/// Datagrams tell a newcomer among hundreds of members that changed and of few others; the rest it learns by fetching views.
#[test]
fn newcomers_among_hundreds_soon_see_all_members() {
    let mut net = fleet(300, 1);
    (0..210).for_each(|n| net.swims[n] = None);
    net.run(3.0);
    (0..210).for_each(|n| net.start(n));
    net.run(20.0);
    assert_eq!(net.wrong_views(), []);
}

#[test]
fn an_instance_that_leaves_is_seen_down_at_once() {
    let mut net = fleet(9, 1);
    net.handle(4, SwimInput::Leave);
    net.swims[4] = None;
    net.run(2.0);
    assert_eq!(net.wrong_views(), []);
}

#[test]
fn a_paused_instance_is_not_declared_down_early_and_declares_nobody_down() {
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
            "seed {seed}: suspected, but refuted in time"
        );
        // Paused for longer than the suspicion timeout: the others declare it down, it declares nobody down, and it rejoins.
        let from = net.now;
        net.paused.insert(7);
        net.run(20.0);
        assert!(net.wrong_views().iter().any(|(_, m)| *m == 7), "seed {seed}: still seen as up");
        net.resume(7);
        net.run(25.0);
        assert_eq!(net.wrong_views(), [], "seed {seed}");
        let by_it = net
            .changes
            .iter()
            .filter(|(at, n, c)| *at >= from && *n == 7 && matches!(c, MembershipChange::Down(_)));
        assert_eq!(by_it.count(), 0, "seed {seed}: it declared others down");
    }
}

#[test]
fn a_suspicion_refuted_while_this_process_was_paused_does_not_expire() {
    for seed in 0..40 {
        let mut net = fleet(9, seed);
        net.partition[5] = 1;
        let suspects = |net: &Net| {
            let seen = net.swims[7].as_ref().expect("running").members();
            seen.iter().any(|s| s.suspected && s.member.address == address(5))
        };
        while !suspects(&net) {
            net.run(0.05);
        }
        // It is reachable again at once, and refutes the suspicion while instance 7 is paused.
        net.partition[5] = 0;
        net.paused.insert(7);
        net.run(6.0);
        let declares_5_down =
            |c: &MembershipChange| matches!(c, MembershipChange::Down(m) if m.address == address(5));
        let before = net.changes.len();
        net.resume_unread(7);
        assert!(
            !net.changes[before..].iter().any(|(.., c)| declares_5_down(c)),
            "seed {seed}: the suspicion expired before the refutation was read"
        );
        net.resume(7);
        // The unread datagrams may say that instance 5 is down and then that it is up again; all of them have been read by now.
        let from = net.now;
        net.run(10.0);
        let by_it = net.changes.iter().any(|(at, n, c)| *at > from && *n == 7 && declares_5_down(c));
        assert!(!by_it, "seed {seed}: a suspicion from before the pause expired");
    }
}

#[test]
fn a_partition_of_minutes_heals_and_halves_that_start_apart_join() {
    for seed in 0..3 {
        let mut net = fleet(9, seed);
        (0..4).for_each(|n| net.partition[n] = 1);
        net.run(180.0);
        assert!(net.wrong_views().len() >= 2 * 4 * 5, "seed {seed}: the halves still see each other");
        net.partition.fill(0);
        net.run(60.0);
        assert_eq!(net.wrong_views(), [], "seed {seed}");
        // The seeds are all in one half: instances of the other half know nobody until they can reach a seed.
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
fn clocks_half_a_minute_off_do_no_harm() {
    let mut net = Net::new(6, 1);
    net.clock_skew = vec![0.0, 30.0, -30.0, 45.0, 0.0, 0.0];
    (0..6).for_each(|n| net.start(n));
    net.run(10.0);
    assert_eq!(net.wrong_views(), []);
}

#[test]
fn unauthenticated_frames_and_invalid_members_change_nothing() {
    let mut net = fleet(3, 1);
    let before: Vec<_> = net.swims.iter().flatten().map(Swim::members).collect();
    let member = Member { name: "x".into(), ..Member::with_address(address(9)) };
    let config = SwimConfig { seeds: vec![address(0)], size: 3 };
    let other = Key::read(&[6; 32]).expect("long enough");
    let mut stranger = Swim::new(member.clone(), config.clone(), other, 9, net.now);
    let mut invalid = Swim::new(Member { name: "x".repeat(99), ..member }, config, key(), 10, net.now);
    let unix = net.unix(0);
    for swim in [&mut stranger, &mut invalid] {
        for output in swim.handle(net.now, unix, SwimInput::TimerDue) {
            let SwimOutput::Send { bytes, .. } = output else { continue };
            net.handle(0, SwimInput::Datagram(&bytes));
        }
    }
    net.handle(0, SwimInput::Datagram(b""));
    net.handle(0, SwimInput::Datagram(&[1; 2000]));
    let counts = net.swims[0].as_ref().expect("running").counters();
    assert_eq!((counts.unauthenticated, counts.malformed), (3, 1));
    let after: Vec<_> = net.swims.iter().flatten().map(Swim::members).collect();
    assert_eq!(before, after);
}

/// The bytes a second that each instance sends once all see one another do not grow with the number of instances, since datagrams
/// are bounded.
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
        let (steady, starting) = (bytes as f64 / count as f64 / 30.0, started as f64 / count as f64 / 20.0);
        println!("{count} instances: {steady:.0} bytes a second each, {starting:.0} in their first 20 s");
        assert!(steady < 4_000.0, "{count} instances: {steady} bytes a second each");
        assert!(starting < 30_000.0, "{count} instances: {starting} bytes a second each at the start");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any faults: once no message is lost and no instance is paused, all running instances see one another and nobody else.
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
        // Members that are down are announced to in random order: mostly within seconds, seldom after more than a minute and a half.
        for _ in 0..30 {
            net.run(10.0);
            if net.wrong_views().is_empty() {
                break;
            }
        }
        prop_assert_eq!(net.wrong_views(), vec![]);
    }
}
