use super::*;
use proptest::prelude::*;

fn entry(name: u8, text: u8) -> Entry {
    (format!("n{name}"), (text > 0).then(|| format!("t{text}")))
}

#[test]
fn a_difference_applies_only_to_its_base_and_must_give_the_stated_version() {
    let first = Catalog::default().updated(4, true, vec![entry(1, 1), entry(2, 1)]);
    let second = first.updated(5, false, vec![entry(2, 2)]);
    let difference = second.changes_since(Some(first.version()));
    assert_eq!(difference.entries, [entry(2, 2)]);
    assert_eq!(first.apply(&difference).map(|c| c.version()), Some(second.version()));
    assert!(Catalog::default().apply(&difference).is_none(), "another base");
    let altered = Difference { entries: vec![entry(2, 3)], ..difference };
    assert!(first.apply(&altered).is_none(), "another result than stated");
    // The same generation with other entries is another version.
    assert_ne!(first.updated(5, false, vec![entry(2, 3)]).version(), second.version());
    let whole = second.changes_since(None);
    assert_eq!((whole.base, whole.entries.len()), (None, 2));
    assert_eq!(first.apply(&whole).map(|c| c.version()), Some(second.version()));
}

proptest! {
    /// The difference from any past version, or from the empty list, leads to the present list, and the history stays bounded.
    #[test]
    fn a_difference_from_any_past_version_leads_to_the_present_list(
        lists in prop::collection::vec((any::<bool>(), prop::collection::vec((0u8..9, 0u8..4), 0..6)), 1..60),
    ) {
        let mut past = vec![Catalog::default()];
        for (n, (whole, entries)) in lists.into_iter().enumerate() {
            let entries = entries.into_iter().map(|(name, text)| entry(name, text)).collect();
            let next = past.last().expect("one").updated(n as u64 / 2 + 1, whole, entries);
            past.push(next);
        }
        let present = past.last().expect("one");
        for old in &past {
            let difference = present.changes_since(Some(old.version()));
            let result = old.apply(&difference).expect("the base matches");
            prop_assert_eq!(result.version(), present.version());
            prop_assert_eq!(&result.entries, &present.entries);
        }
        prop_assert!(present.history.iter().map(|(_, s)| s.len()).sum::<usize>() <= 9 + EXTRA_HISTORY_ENTRIES);
    }
}
