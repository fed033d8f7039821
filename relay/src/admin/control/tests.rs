use super::*;
use crate::availability::{Availability, AvailabilityEvent};
use futures_util::FutureExt;
use std::cell::Cell;

#[derive(Default)]
struct Process(Cell<Availability>);

impl AvailabilityControl for Process {
    fn apply(&self, event: AvailabilityEvent) -> bool {
        self.0.get().after(event).map(|after| self.0.set(after)).is_some()
    }

    fn is_drained(&self) -> bool {
        self.0.get().is_drained()
    }
}

struct SilentFront;

impl FrontControl for SilentFront {
    fn set_disabled(&self, _: &str, _: bool) -> Result<(), crate::core::SetDisabledError> {
        Ok(())
    }

    fn backlog(&self) -> Option<Rc<crate::backlog::Backlog>> {
        None
    }
}

/// The holder of a process with this many fronts, which waits for predecessors with this many of them.
fn waiting(fronts: usize, pending: usize) -> ControlHolder {
    let control = ControlHolder::new(Rc::new(Process::default()), fronts);
    control.started(pending);
    control
}

fn drain(control: &ControlHolder) -> bool {
    control.availability().is_ok_and(|availability| availability.apply(AvailabilityEvent::Drain))
}

#[test]
fn each_stage_confirms_only_what_binds_the_relay() {
    use NoControl::*;
    let starting = ControlHolder::new(Rc::new(Process::default()), 1);
    let given_up = |pending, shutdown| {
        let control = waiting(1, pending);
        control.give_up(shutdown);
        control
    };
    let table = [
        ("starting", starting, Some(Starting), Some(Starting)),
        ("predecessor runs", waiting(1, 1), Some(PredecessorRuns), Some(PredecessorRuns)),
        ("runs", waiting(1, 0), None, None),
        ("handed over", given_up(0, Shutdown::HandOver), Some(HandedOver), Some(HandedOver)),
        ("winds down", given_up(0, Shutdown::Alone), Some(ShuttingDown), None),
        ("ends while it waits", given_up(1, Shutdown::Alone), Some(ShuttingDown), Some(ShuttingDown)),
    ];
    for (stage, control, drain, endpoints) in table {
        assert_eq!(control.availability().err(), drain, "{stage}");
        assert_eq!(control.fronts().err(), endpoints, "{stage}");
    }
}

// Guards against a drain that is confirmed between SIGTERM and the handover, and that is not handed over.
#[test]
fn a_drain_is_handed_over_exactly_if_it_was_confirmed() {
    for shutdown in [Shutdown::HandOver, Shutdown::Alone] {
        let before = waiting(1, 0);
        assert!(drain(&before));
        assert!(before.give_up(shutdown));
        assert!(!drain(&before));

        let behind = waiting(1, 0);
        assert!(!behind.give_up(shutdown));
        assert!(!drain(&behind));
        assert!(!behind.give_up(shutdown));
    }
}

// Guards against a call that is confirmed between the takeovers of two fronts, and undone by the second.
#[test]
fn a_successor_runs_the_relay_once_it_has_all_fronts_of_its_predecessor() {
    let control = waiting(2, 2);
    control.front_taken_over();
    control.add_front(Rc::new(SilentFront));
    assert_eq!(control.availability().err(), Some(NoControl::PredecessorRuns));
    assert!(control.decided().now_or_never().is_none());
    control.front_taken_over();
    assert!(drain(&control));
    assert!(control.decided().now_or_never().is_some());
    assert!(!control.fronts().is_ok_and(|serving| serving.complete));
    assert!(control.all_fronts_decided().now_or_never().is_none());
    control.add_front(Rc::new(SilentFront));
    assert!(control.fronts().is_ok_and(|serving| serving.complete));
    assert!(control.all_fronts_decided().now_or_never().is_some());
}

#[test]
fn a_call_that_waits_for_a_takeover_is_decided_by_a_shutdown() {
    let control = waiting(1, 1);
    let mut decided = Box::pin(control.all_fronts_decided());
    assert!(decided.as_mut().now_or_never().is_none());
    control.give_up(Shutdown::Alone);
    assert!(decided.now_or_never().is_some());
}
