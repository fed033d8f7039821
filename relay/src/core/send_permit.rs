//! Permits to send claims: checked, and recorded in the journal, right before the first byte.
use prometheus::IntCounter;
use slatethread::Report;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

use super::{Confirmation, Core, LeaseClock, Node, Transport};
use crate::clock;
use crate::journal::{Journal, Key, RecordedClaim};

/// Records a claim in the journal, right before its first byte is sent.
pub(super) struct ClaimRecord {
    journal: Rc<RefCell<Journal>>,
    key: Key,
    node: String,
    zone: Option<String>,
    written: RefCell<Option<RecordedClaim>>,
}

impl ClaimRecord {
    /// Writes the record, once; false if that fails.
    fn write(&self) -> bool {
        let mut written = self.written.borrow_mut();
        if written.is_none() {
            let claim =
                RecordedClaim { sent: clock::now(), node: self.node.clone(), zone: self.zone.clone() };
            if let Err(error) = self.journal.borrow_mut().record_claim(self.key, claim.clone()) {
                tracing::debug!(key = self.key, %error, "journal cannot record a claim; it is not sent");
                return false;
            }
            *written = Some(claim);
        }
        true
    }
}

/// The permit to send one claim. It is checked right before the first byte, and tracks what happens to the claim.
pub struct SendPermit {
    node: Rc<Node>,
    /// End of the wait requested by the claim's destination or route.
    wait: Rc<Cell<Instant>>,
    /// The lease on the list of nodes.
    lease: Rc<LeaseClock>,
    /// When the nodes may have forgotten an earlier claim's idempotency key, so that a repeat could run twice.
    not_after: Option<Instant>,
    record: Option<ClaimRecord>,
    /// When its first byte was sent, and the age of the list's confirmation at that time.
    begun: Cell<Option<(Instant, Option<Duration>)>>,
    sent: Cell<bool>,
    /// Whether a fault of this machine prevented sending.
    local_fault: Cell<bool>,
    delivered: Cell<bool>,
    /// Set if the answer is not certain yet.
    confirmation: RefCell<Option<Confirmation>>,
    /// The node's limit according to the answer.
    report: Cell<Report>,
    /// A wait requested by the answer, whatever the outcome.
    requested_wait: Cell<Option<Duration>>,
    wait_notify: Notify,
    tries: IntCounter,
}

impl SendPermit {
    pub(super) fn new(
        node: Rc<Node>,
        wait: Rc<Cell<Instant>>,
        lease: Rc<LeaseClock>,
        not_after: Option<Instant>,
        record: Option<ClaimRecord>,
        tries: IntCounter,
    ) -> SendPermit {
        SendPermit {
            node,
            wait,
            lease,
            not_after,
            record,
            begun: Cell::default(),
            sent: Cell::new(false),
            local_fault: Cell::new(false),
            delivered: Cell::new(false),
            confirmation: RefCell::default(),
            report: Cell::default(),
            requested_wait: Cell::default(),
            wait_notify: Notify::new(),
            tries,
        }
    }

    /// Whether the claim may still be sent. While it waited for a connection, its node may have started to drain, the
    /// lease on the list may have expired, the destination may have requested a wait, or the nodes may have forgotten
    /// the idempotency key of an earlier claim.
    pub fn may_begin(&self) -> bool {
        self.node.accepts_claims() && self.lease.allows(Instant::now()) && self.may_continue()
    }

    /// Whether the remaining bytes of a started claim may be written. A claim counts as sent at its last byte, which a
    /// full socket buffer can delay into a requested wait or beyond `not_after`. For drains and the lease the first
    /// byte counts, so they are not checked again.
    pub fn may_continue(&self) -> bool {
        let now = Instant::now();
        now >= self.wait.get() && self.not_after.is_none_or(|end| now < end)
    }

    /// Records the claim in the journal. Must be called right before the first byte; nothing may be sent if it returns
    /// false. Recording no earlier ensures that a claim that still waits for a connection does not count as one that
    /// may have run if the process ends.
    pub fn begin(&self) -> bool {
        if !self.may_begin() {
            return false;
        }
        if !self.record.as_ref().is_none_or(ClaimRecord::write) {
            self.mark_local_fault();
            return false;
        }
        // Checked again, since writing the record may have taken long.
        let may_begin = self.may_begin();
        if may_begin {
            let now = Instant::now();
            self.begun.set(Some((now, self.lease.age(now))));
        }
        may_begin
    }

    /// When its first byte was sent, and the age of the list's confirmation at that time.
    pub(super) fn begun(&self) -> Option<(Instant, Option<Duration>)> {
        self.begun.get()
    }

    /// The claim as recorded in the journal, if it has been.
    pub(super) fn recorded(&self) -> Option<RecordedClaim> {
        self.record.as_ref().and_then(|record| record.written.borrow().clone())
    }

    /// Records the claim although no byte was sent: at a handover, this process reports its outcome to the journal's
    /// next owner.
    pub(super) fn record_unsent(&self) {
        self.record.iter().for_each(|record| _ = record.write());
    }

    /// Must be called once the last byte may have been sent: from now on the claim may run.
    pub fn mark_sent(&self) {
        if !self.sent.replace(true) {
            self.tries.inc();
        }
    }

    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }

    /// Must be called if a fault of this machine, not of the node, prevents sending.
    pub fn mark_local_fault(&self) {
        self.local_fault.set(true);
    }

    pub fn had_local_fault(&self) -> bool {
        self.local_fault.get()
    }

    /// Must be called once the node has confirmed delivery, whatever follows in its answer.
    pub fn mark_delivered(&self) {
        self.delivered.set(true);
    }

    /// Must be called with an answer that may be meant for another claim.
    pub fn set_confirmation(&self, confirmation: Confirmation) {
        self.confirmation.replace(Some(confirmation));
    }

    /// Takes the pending confirmation of the answer, if it is not certain.
    pub(super) fn take_confirmation(&self) -> Option<Confirmation> {
        self.confirmation.take()
    }

    pub fn set_report(&self, report: Report) {
        self.report.set(report);
    }

    /// Must be called as soon as the head of an answer requests a wait, whatever follows. From then on no claim is sent
    /// there until the wait has ended.
    pub fn set_wait(&self, wait: Duration) {
        self.requested_wait.set(Some(wait));
        self.wait_notify.notify_one();
        self.wait.set(self.wait.get().max(Instant::now() + wait));
    }

    /// Takes the requested wait, if any.
    pub(super) fn take_requested_wait(&self) -> Option<Duration> {
        self.requested_wait.take()
    }

    /// Waits until the answer has requested a wait.
    pub(super) async fn wait_requested(&self) {
        self.wait_notify.notified().await;
    }

    pub(super) fn report(&self) -> Report {
        self.report.get()
    }

    pub fn is_delivered(&self) -> bool {
        self.delivered.get()
    }
}

impl<C: Transport> Core<C> {
    /// Creates the permit to send a job's claim to a node, valid until `not_after` if given.
    pub(super) fn permit(&self, key: Key, node: &Rc<Node>, not_after: Option<Instant>) -> Rc<SendPermit> {
        let record = ClaimRecord {
            journal: self.journal.clone(),
            key,
            node: node.name.to_string(),
            zone: self.rules().names.zones.get(node.zone().0).cloned(),
            written: RefCell::default(),
        };
        let wait = self.wait_end(node);
        let lease = self.lease_clock.clone();
        Rc::new(SendPermit::new(node.clone(), wait, lease, not_after, Some(record), self.metrics.tries()))
    }
}
