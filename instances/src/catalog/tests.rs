use super::*;
use proptest::prelude::*;

fn entry(name: u8, text: u8) -> Entry {
    (format!("n{name}"), (text > 0).then(|| format!("t{text}")))
}

#[test]
fn a_difference_fits_only_the_list_that_it_is_from() {
    let first = Catalog::default().updated(4, true, vec![entry(1, 1), entry(2, 1)]);
    let second = first.updated(5, false, vec![entry(2, 2)]);
    let difference = second.changes_since(Some(first.version()));
    assert_eq!(difference.entries, [entry(2, 2)]);
    assert_eq!(first.apply(&difference).map(|c| c.version()), Some(second.version()));
    assert!(Catalog::default().apply(&difference).is_none(), "it is from another list");
    let spoilt = Difference { entries: vec![entry(2, 3)], ..difference };
    assert!(first.apply(&spoilt).is_none(), "it leads elsewhere");
    // The same generation with other entries is another list.
    assert_ne!(first.updated(5, false, vec![entry(2, 3)]).version(), second.version());
    let whole = second.changes_since(None);
    assert_eq!((whole.base, whole.entries.len()), (None, 2));
    assert_eq!(first.apply(&whole).map(|c| c.version()), Some(second.version()));
}

proptest! {
    /// Whoever holds any list of the past, or none, has the present one with what it is told; what is remembered is bounded.
    #[test]
    fn whoever_holds_a_list_of_the_past_is_led_to_the_present_one(
        lists in prop::collection::vec((any::<bool>(), prop::collection::vec((0u8..9, 0u8..4), 0..6)), 1..60),
    ) {
        let mut past = vec![Catalog::default()];
        for (n, (whole, entries)) in lists.into_iter().enumerate() {
            let entries = entries.into_iter().map(|(name, text)| entry(name, text)).collect();
            let next = past.last().expect("one").updated(n as u64 / 2 + 1, whole, entries);
            past.push(next);
        }
        let now = past.last().expect("one");
        for then in &past {
            let difference = now.changes_since(Some(then.version()));
            let led = then.apply(&difference).expect("it fits");
            prop_assert_eq!(led.version(), now.version());
            prop_assert_eq!(&led.entries, &now.entries);
        }
        prop_assert!(now.steps.iter().map(|(_, s)| s.len()).sum::<usize>() <= 9 + LEAST_REMEMBERED);
    }
}
