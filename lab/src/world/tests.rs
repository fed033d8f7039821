use super::*;

fn world() -> World {
    let text = "name = \"w\"\nseconds = 9.0\n[relay]\nweights = true\n[list]\nstarts = true\n[[partners]]\ncount = 2\n\
                    endpoints = 3\n[[partners]]\ncount = 1\n[load]\nrate = 1.0\n";
    World::new(&Experiment::parse(text).expect("valid"), 5, 1)
}

#[test]
fn every_endpoint_has_its_own_index_and_addresses() {
    let world = world();
    assert_eq!(world.endpoints_of(1), 3..6);
    assert_eq!((world.endpoints_of(2), world.endpoints_of(4)), (6..7, 8..9));
    assert_eq!(world.list().count(), 9);
    let all: std::collections::HashSet<_> =
        (0..9).flat_map(|p| (0..3).map(move |m| address(p, m, 1))).collect();
    assert_eq!(all.len(), 27);
    for index in 0..9 {
        for moved in 0..3 {
            let std::net::IpAddr::V4(ip) = address(index, moved, 1).ip() else { panic!("v4") };
            assert!(ip.is_loopback());
            assert_eq!(endpoint_at(ip), Some(index));
        }
    }
}

#[test]
fn events_produce_list_changes_and_a_returning_partner_is_cold() {
    let mut world = world();
    let at = Duration::from_secs;
    let changes = world.apply_event(at(10), Event::Replace, 2, 5.0, false);
    assert_eq!(
        changes.iter().map(|(t, e)| (*t, e.state, e.generation)).collect::<Vec<_>>(),
        [(at(10), State::Removed, 0), (at(15), State::Serving, 1)]
    );
    assert_eq!(changes[1].1.started, Some(at(15)));
    assert!(
        world.partner(2, 6).refuses_connections(at(14)) && !world.partner(2, 6).refuses_connections(at(15))
    );
    assert!(world.partner(2, 6).is_cold(at(16)));
    assert!(world.apply_event(at(20), Event::Restart, 2, 1.0, true).is_empty());
    let changes = world.apply_event(at(30), Event::Drain, 0, 4.0, false);
    assert_eq!(changes.len(), 6);
    assert!(
        !world.partner(0, 0).refuses_connections(at(33)) && world.partner(0, 0).refuses_connections(at(35))
    );
}
