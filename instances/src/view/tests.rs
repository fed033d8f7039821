use super::*;
use proptest::prelude::*;

fn member_state(name: &str) -> MemberState<Member> {
    let address = "127.0.0.1:7946".parse().expect("an address");
    MemberState::alive(Member { name: name.into(), ..Member::with_address(address) })
}

#[test]
fn messages_round_trip_and_invalid_ones_are_rejected() {
    for message in
        [LinkMessage::ViewRequest, LinkMessage::View(View(vec![member_state("a"), member_state("b")]))]
    {
        assert_eq!(LinkMessage::decode(&message.encode()), Some(message.clone()));
        let mut longer = message.encode();
        longer.push(0);
        assert_eq!(LinkMessage::decode(&longer), None);
    }
    let long = LinkMessage::View(View(vec![member_state(&"x".repeat(49))]));
    assert_eq!(LinkMessage::decode(&long.encode()), None);
}

proptest! {
    #[test]
    fn whatever_decodes_round_trips(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(message) = LinkMessage::decode(&bytes) {
            prop_assert!(LinkMessage::decode(&message.encode()) == Some(message));
        }
    }
}
