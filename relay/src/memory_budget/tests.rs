use super::*;
use futures_util::FutureExt;

#[test]
fn charges_are_returned_when_they_are_dropped() {
    let budget = MemoryBudget::new(100);
    let mut request = budget.charge(Holder::Requests);
    assert!(request.try_grow(60));
    assert!(!budget.charge(Holder::Requests).try_grow(41));
    assert!(request.try_grow(40));
    let message = request.transfer(Holder::Messages);
    assert_eq!((budget.charged(Holder::Requests), budget.charged(Holder::Messages)), (0, 100));
    drop(message);
    assert!(Holder::ALL.iter().all(|holder| budget.charged(*holder) == 0));
}

#[test]
fn held_bytes_are_charged_until_the_last_reference_is_dropped() {
    let budget = MemoryBudget::new(100);
    for body in [&b"body"[..], b""] {
        let mut charge = budget.charge(Holder::Messages);
        charge.grow(50);
        let held = charge.hold(body);
        let copy = held.clone();
        drop(held);
        assert_eq!((copy.as_ref(), budget.charged(Holder::Messages)), (body, 50));
        drop(copy);
        assert_eq!(budget.charged(Holder::Messages), 0);
    }
}

#[test]
fn what_is_owed_is_charged_beyond_the_budget_and_what_is_not_waits() {
    let budget = MemoryBudget::new(100);
    let mut call = budget.charge(Holder::Calls);
    call.grow(150);
    let mut request = budget.charge(Holder::Requests);
    let mut waiting = Box::pin(request.grow_when_possible(10));
    assert!(waiting.as_mut().now_or_never().is_none());
    assert!(budget.is_short() && budget.shortage().now_or_never().is_some());
    drop(call);
    assert!(waiting.as_mut().now_or_never().is_some());
    drop(waiting);
    assert!(!budget.is_short());
    assert_eq!(request.bytes(), 10);
}

#[test]
fn a_charge_that_no_longer_waits_leaves_no_shortage() {
    let budget = MemoryBudget::new(0);
    let mut request = budget.charge(Holder::Requests);
    assert!(request.grow_when_possible(1).now_or_never().is_none());
    assert!(!budget.is_short());
    budget.set_available(1);
    assert!(request.grow_when_possible(1).now_or_never().is_some());
}
