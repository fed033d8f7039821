//! The lease on the list of execute nodes: the answers of discovery extend it ([`ListLease`]), and each claim checks it
//! before its first byte is sent.
use slatethread::{ListLease, ListScope, ListSource, Nanos};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

use super::{CLOCK_START, Core, Transport};
use crate::job::nanos;
use crate::lease_record::{LeaseRecord, ListConfirmation};

/// The lease on the list, on the system's monotonic clock.
pub struct LeaseClock {
    lease: RefCell<ListLease>,
    start: Instant,
    record: RefCell<Option<LeaseRecord>>,
    /// Whether the lease had expired at the last check.
    lapsed: Cell<bool>,
    /// Notified when the list is confirmed.
    confirmed: Notify,
}

/// The times of an answer from discovery.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    /// When the call started.
    pub begun: Instant,
    /// When the first byte of the answer was received.
    pub first_byte: Instant,
}

impl LeaseClock {
    /// The lease on a list that nobody has confirmed. `start` is the start of the decision module's clock.
    pub fn new(start: Instant, source: ListSource) -> Self {
        LeaseClock {
            lease: RefCell::new(ListLease::new(source)),
            start,
            record: RefCell::default(),
            lapsed: Cell::new(false),
            confirmed: Notify::new(),
        }
    }

    /// Whether a claim may be sent now.
    pub fn allows(&self, now: Instant) -> bool {
        self.lease.borrow().allows(self.module_time(now))
    }

    /// When the lease expires, on the decision module's clock; `None` if that depends on what is yet to happen.
    pub fn ends_at(&self) -> Option<Nanos> {
        self.lease.borrow().ends_at()
    }

    /// When the lease expires, on the system's clock.
    pub fn end(&self) -> Option<Instant> {
        let end = Duration::from_nanos(self.ends_at()?);
        Some(self.start + end.saturating_sub(CLOCK_START))
    }

    /// Time since the list was last known to be complete; `None` if it was never confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed = self.lease.borrow().confirmed_at()?;
        Some(Duration::from_nanos(self.module_time(now).saturating_sub(confirmed)))
    }

    fn module_time(&self, at: Instant) -> Nanos {
        nanos(CLOCK_START + at.saturating_duration_since(self.start))
    }

    fn update(&self, update: impl FnOnce(&mut ListLease)) {
        update(&mut self.lease.borrow_mut());
    }
}

impl<C: Transport> Core<C> {
    /// Continues the lease of an earlier process on a list that is requested from discovery. `before` is that process's
    /// confirmation of this version of the list or an older one. Without one nothing is sent before discovery has
    /// answered: the list in the configuration may be of any age.
    pub fn restore_list_lease(&self, record: Option<LeaseRecord>, before: Option<ListConfirmation>) {
        let now = self.module_time(Instant::now());
        if let Some(before) = before {
            self.lease_clock.update(|lease| lease.restore(now.saturating_sub(nanos(before.age))));
        }
        let left = self.lease_clock.ends_at().map(|end| Duration::from_nanos(end.saturating_sub(now)));
        tracing::info!(?before, ?left, "lease on the node list started");
        *self.lease_clock.record.borrow_mut() = record;
        self.record_lease();
    }

    /// The first byte of an answer with a list has been received.
    pub fn list_answer_started(&self, first: Instant) {
        let first = self.module_time(first);
        self.lease_clock.update(|lease| lease.answer_started(first));
        self.wake.notify_one();
    }

    /// An answer from discovery has been applied.
    pub fn list_confirmed(&self, answered: AnswerTimes) {
        let (begun, first) = (self.module_time(answered.begun), self.module_time(answered.first_byte));
        self.lease_clock.update(|lease| lease.confirm(begun, first));
        self.record_lease();
        self.lease_clock.confirmed.notify_waiters();
        self.wake.notify_one();
    }

    /// Waits until claims may be sent by the list.
    pub async fn list_usable(&self) {
        while !self.lease_clock.allows(Instant::now()) {
            self.lease_clock.confirmed.notified().await;
        }
    }

    /// The configuration has been reloaded.
    pub(super) fn list_reloaded(&self) {
        let now = self.module_time(Instant::now());
        let must_ask_in = nanos(self.rules().list_max_age());
        self.lease_clock.update(|lease| {
            lease.set_poll_interval(must_ask_in);
            lease.configuration_reloaded(now);
        });
        self.record_lease();
        self.wake.notify_one();
    }

    /// A call to discovery failed.
    pub(super) fn list_call_failed(&self, how: ListScope) {
        let now = self.module_time(Instant::now());
        self.lease_clock.update(|lease| lease.call_failed(now, how));
        self.record_lease();
    }

    /// Logs when the lease expires, and when it is valid again.
    pub(super) fn log_lease_change(&self, now: Instant) {
        let lapsed = !self.lease_clock.allows(now);
        if self.lease_clock.lapsed.replace(lapsed) == lapsed {
            return;
        }
        let age = self.lease_clock.age(now);
        if lapsed {
            self.metrics.list_lapsed();
            tracing::warn!(
                ?age,
                "the lease on the list has expired; no claims are sent until the list is confirmed"
            );
        } else {
            tracing::info!(?age, "the list is confirmed; claims are sent again");
        }
    }

    fn record_lease(&self) {
        if let Some(record) = &mut *self.lease_clock.record.borrow_mut() {
            let now = self.module_time(Instant::now());
            let confirmed = self.lease_clock.lease.borrow().inheritable_confirmation();
            let generation = self.generation.get();
            record.write(confirmed.zip(generation).map(|(confirmed, generation)| ListConfirmation {
                generation,
                age: Duration::from_nanos(now.saturating_sub(confirmed)),
            }));
        }
    }
}
