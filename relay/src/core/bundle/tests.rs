use super::*;

#[test]
fn a_call_ends_before_the_time_of_any_of_its_messages_and_begins_when_none_is_awaited() {
    let bundle = Bundle::new();
    let shares = [30, 10, 20].map(|ms| bundle.share(Duration::from_millis(ms)));
    assert_eq!(shares.each_ref().map(Share::limit), [Duration::from_millis(10); 3]);
    assert_eq!((bundle.size(), bundle.awaited.get()), (3, 3));
    drop(shares);
    assert_eq!((bundle.size(), bundle.awaited.get()), (3, 0));
}
