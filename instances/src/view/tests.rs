use super::*;
use proptest::prelude::*;

fn known(name: &str) -> Known<Member> {
    let address = "127.0.0.1:7946".parse().expect("an address");
    Known::alive(Member { name: name.into(), ..Member::with_address(address) })
}

#[test]
fn words_come_back_as_they_were_and_unsound_ones_do_not() {
    for word in [LinkMessage::ViewRequest, LinkMessage::View(View(vec![known("a"), known("b")]))] {
        assert_eq!(LinkMessage::decode(&word.encode()), Some(word.clone()));
        let mut longer = word.encode();
        longer.push(0);
        assert_eq!(LinkMessage::decode(&longer), None);
    }
    let long = LinkMessage::View(View(vec![known(&"x".repeat(49))]));
    assert_eq!(LinkMessage::decode(&long.encode()), None);
}

proptest! {
    #[test]
    fn any_bytes_are_a_word_or_none(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(word) = LinkMessage::decode(&bytes) {
            prop_assert!(LinkMessage::decode(&word.encode()) == Some(word));
        }
    }
}
