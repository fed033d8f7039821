use super::*;

#[test]
fn a_bundle_has_the_shortest_limit_of_its_claims_and_waits_for_all_of_them() {
    let bundle = Bundle::new();
    let shares = [30, 10, 20].map(|ms| bundle.share(Duration::from_millis(ms)));
    assert_eq!(shares.each_ref().map(Share::limit), [Duration::from_millis(10); 3]);
    assert_eq!((bundle.size(), bundle.pending.get()), (3, 3));
    drop(shares);
    assert_eq!((bundle.size(), bundle.pending.get()), (3, 0));
}
