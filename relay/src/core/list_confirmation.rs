//! Whether the list of execute nodes may still be acted on: what is heard of it goes to the lease ([`ListLease`]), and each claim asks
//! that before its first byte.
use slatethread::{ListLease, ListScope, Nanos};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use super::{CLOCK_START, Carrier, Core};
use crate::job::nanos;
use crate::lease_record::{Confirmed, LeaseRecord};

/// The lease on the list, on the system's monotonic clock.
pub struct ListClock {
    lease: RefCell<ListLease>,
    start: Instant,
    record: RefCell<Option<LeaseRecord>>,
    /// The lease was over at the last look.
    lapsed: Cell<bool>,
}

/// An answer of discovery, as far as its time goes.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// When its call was begun.
    pub begun: Instant,
    /// When its first byte came.
    pub first: Instant,
}

impl ListClock {
    /// A lease without end, for lists that are not asked for. `start` is when the module's clock began.
    pub fn new(start: Instant) -> Self {
        ListClock {
            lease: RefCell::new(ListLease::endless()),
            start,
            record: RefCell::default(),
            lapsed: Cell::new(false),
        }
    }

    /// Whether a claim may begin now.
    pub fn allows(&self, now: Instant) -> bool {
        self.lease.borrow().allows(self.module_time(now))
    }

    /// When the lease ends, on the module's clock; none if it has no end.
    pub fn ends_at(&self) -> Option<Nanos> {
        self.lease.borrow().ends_at()
    }

    /// The same on the system's clock.
    pub fn end(&self) -> Option<Instant> {
        let end = Duration::from_nanos(self.ends_at()?);
        Some(self.start + end.saturating_sub(CLOCK_START))
    }

    /// How long ago the list was last known to be complete; none where it is not asked for, or was never confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let lease = self.lease.borrow();
        let confirmed = lease.confirmed().filter(|_| lease.ends_at().is_some())?;
        Some(Duration::from_nanos(self.module_time(now).saturating_sub(confirmed)))
    }

    fn module_time(&self, at: Instant) -> Nanos {
        nanos(CLOCK_START + at.saturating_duration_since(self.start))
    }

    fn change(&self, change: impl FnOnce(&mut ListLease)) {
        change(&mut self.lease.borrow_mut());
    }
}

impl<C: Carrier> Core<C> {
    /// Binds the list to a lease from now on, since it is asked for: `before` is what a process before knew of the list of this version
    /// or an older one, and `first_start` that there was none. Then what the configuration says is taken as confirmed just now.
    pub fn bind_list(&self, record: Option<LeaseRecord>, before: Option<Confirmed>, first_start: bool) {
        let now = self.module_time(Instant::now());
        let mut lease = ListLease::asked_for(nanos(self.rules().list_max_age()));
        match before {
            Some(before) => lease.restore(now.saturating_sub(nanos(before.ago))),
            None if first_start => lease.restore(now),
            None => {}
        }
        tracing::info!(?before, first_start, left = ?self.lease_left(&lease, now), "the list's lease");
        *self.list_clock.lease.borrow_mut() = lease;
        *self.list_clock.record.borrow_mut() = record;
        self.record_lease();
    }

    /// The first byte of an answer with a list has come.
    pub fn list_answer_begins(&self, first: Instant) {
        let first = self.module_time(first);
        self.list_clock.change(|lease| lease.answer_begins(first));
        self.wake.notify_one();
    }

    /// An answer of discovery has been taken in.
    pub fn list_confirmed(&self, answered: Answered) {
        let (begun, first) = (self.module_time(answered.begun), self.module_time(answered.first));
        self.list_clock.change(|lease| lease.confirm(begun, first));
        self.record_lease();
        self.wake.notify_one();
    }

    /// The configuration was read anew.
    pub(super) fn list_reloaded(&self) {
        let now = self.module_time(Instant::now());
        let must_ask_in = nanos(self.rules().list_max_age());
        self.list_clock.change(|lease| {
            lease.settle(must_ask_in);
            lease.reload(now);
        });
        self.record_lease();
        self.wake.notify_one();
    }

    /// A call to discovery failed.
    pub(super) fn list_call_failed(&self, how: ListScope) {
        let now = self.module_time(Instant::now());
        self.list_clock.change(|lease| lease.fail(now, how));
        self.record_lease();
    }

    /// Tells the log when the lease is over, and when it holds again.
    pub(super) fn watch_lease(&self, now: Instant) {
        let lapsed = !self.list_clock.allows(now);
        if self.list_clock.lapsed.replace(lapsed) == lapsed {
            return;
        }
        let age = self.list_clock.age(now);
        if lapsed {
            self.figures.list_lapsed();
            tracing::warn!(?age, "the list is not confirmed; nothing is sent until it is");
        } else {
            tracing::info!(?age, "the list is confirmed; claims are sent again");
        }
    }

    fn record_lease(&self) {
        if let Some(record) = &mut *self.list_clock.record.borrow_mut() {
            let now = self.module_time(Instant::now());
            let confirmed = self.list_clock.lease.borrow().inheritable();
            let generation = self.generation.get();
            record.write(confirmed.zip(generation).map(|(confirmed, generation)| Confirmed {
                generation,
                ago: Duration::from_nanos(now.saturating_sub(confirmed)),
            }));
        }
    }

    fn lease_left(&self, lease: &ListLease, now: Nanos) -> Option<Duration> {
        Some(Duration::from_nanos(lease.ends_at()?.saturating_sub(now)))
    }
}
