//! For how long the list of endpoints may be acted on without being confirmed: a lease.
//!
//! What discovery has not been able to tell counts as told after a while all the same (the platform's
//! protocol, "Figures"): from then on nothing new may go to an endpoint that drains. So each confirmation of
//! the list is a lease, counted from the beginning of the call that brought it, on the monotonic clock, and
//! shorter than the rules' span by the time that may pass between reading the clock and the first byte. Once
//! it is over, nothing is sent until the list is confirmed again.
//!
//! What each failure of a call to discovery proves:
//!
//! - **A refused connection:** nobody listens there just now. What lies between two refusals in a row does
//!   not count against the lease, since nothing could be told then; what was used up before the first stays
//!   used up.
//! - **A 503, at once or after a wait, a reset, silence:** nothing. A crowded discovery and one that is down
//!   look alike, and a crowded one could have been reached.
//! - **An answer that broke off:** it may have told a drain as soon as its first byte was written, so the
//!   lease ends with the grace that drains have from there.
//!
//! No clock and no sockets here; times are nanoseconds on one clock that only runs forward.
use crate::interface::{ListScope, Nanos};
use crate::state::SECOND;

/// Whatever discovery has to tell counts as told so long after it had it and could be reached.
const TOLD_ANYWAY: Nanos = 6 * SECOND;
/// ... and so long after the relay was told to read its configuration anew.
const TOLD_AFTER_RELOAD: Nanos = 4 * SECOND;
/// After a drain was told, calls may begin for so long.
const DRAIN_GRACE: Nanos = SECOND / 2;
/// So long a relay may be held up between reading its clock and writing a call's first byte.
const HOLD_UP: Nanos = 150_000_000;
/// Room for timers and for what passes between a first byte written there and read here.
const MARGIN: Nanos = 50_000_000;
/// The part of the grace in which a call may still be begun here.
const USABLE_GRACE: Nanos = DRAIN_GRACE - HOLD_UP - MARGIN;
/// Two refusals further apart than this say nothing of the time between them.
const REFUSALS_APART: Nanos = 10 * SECOND;

/// The lease on one list.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListLease {
    /// From a confirmation to the lease's end; none where the list is not asked for, and the lease has no
    /// end.
    span: Option<Nanos>,
    /// When the list was last known to be complete, later by what outages took.
    confirmed: Option<Nanos>,
    /// When the first bytes came of answers that have not been taken in yet, or broke off: the oldest, and
    /// the newest beside it. No more than two are on their way, since one is taken in before the next.
    unread: [Option<Nanos>; 2],
    /// When the configuration was last read anew.
    reloaded: Option<Nanos>,
    /// The first time it was read anew since when no call that was begun later was answered, or one failed
    /// before the list counted as told.
    reload_unconfirmed: Option<Nanos>,
    /// The last refused connection, if no call ended otherwise since.
    refused: Option<Nanos>,
}

impl ListLease {
    /// A lease without end, for lists that come from a file or from this machine's own agent.
    pub fn unbounded() -> Self {
        ListLease::default()
    }

    /// A lease on a list that is asked for, none held yet. `must_ask_in` is the longest time that the
    /// settings let a relay go without asking, in nanoseconds.
    pub fn for_polled_list(must_ask_in: Nanos) -> Self {
        ListLease { span: Some(TOLD_ANYWAY.min(must_ask_in) + USABLE_GRACE), ..ListLease::default() }
    }

    /// Takes up other settings; the lease goes on.
    pub fn set_poll_interval(&mut self, must_ask_in: Nanos) {
        if let Some(span) = &mut self.span {
            *span = TOLD_ANYWAY.min(must_ask_in) + USABLE_GRACE;
        }
    }

    /// The list was complete at a time: what a process before knew, or a first start's file.
    pub fn restore(&mut self, confirmed: Nanos) {
        self.confirmed = self.confirmed.max(Some(confirmed));
    }

    /// The first byte of an answer with a list or changes has come, and they are not in force yet.
    pub fn answer_started(&mut self, now: Nanos) {
        let [oldest, newest] = &mut self.unread;
        if oldest.is_none() { *oldest = Some(now) } else { *newest = Some(now) }
    }

    /// An answer has been taken in whose call was begun at `begun` and whose first byte came at `first`. What
    /// earlier answers held is in it, or was taken in before.
    pub fn confirm(&mut self, begun: Nanos, first: Nanos) {
        self.confirmed = self.confirmed.max(Some(begun));
        self.refused = None;
        let later = self.unread.iter().flatten().copied().find(|unread| *unread > first);
        self.unread = [later, None];
        if self.reloaded.is_none_or(|reloaded| begun >= reloaded) {
            self.reload_unconfirmed = None;
        }
    }

    /// A call failed, as was heard at `now`.
    pub fn call_failed(&mut self, now: Nanos, how: ListScope) {
        let binds = self.reloaded.filter(|reloaded| now < reloaded + TOLD_AFTER_RELOAD);
        self.reload_unconfirmed = self.reload_unconfirmed.or(binds);
        if how != ListScope::Unreachable {
            self.refused = None;
            return;
        }
        let before = self.refused.replace(now).filter(|before| now - before <= REFUSALS_APART);
        if let (Some(before), Some(confirmed)) = (before, &mut self.confirmed) {
            *confirmed += now - before;
        }
    }

    /// The configuration was read anew: discovery may have moved.
    pub fn configuration_reloaded(&mut self, now: Nanos) {
        self.reloaded = Some(now);
        self.reload_unconfirmed.get_or_insert(now);
    }

    /// When the lease ends, if it has an end; 0 if the list was never confirmed.
    pub fn ends_at(&self) -> Option<Nanos> {
        let span = self.span?;
        let by_age = self.confirmed.map_or(0, |confirmed| confirmed + span);
        let by_unread = self.unread[0].map_or(Nanos::MAX, |first| first + USABLE_GRACE);
        let by_reload =
            self.reload_unconfirmed.map_or(Nanos::MAX, |at| at + TOLD_AFTER_RELOAD + USABLE_GRACE);
        Some(by_age.min(by_unread).min(by_reload))
    }

    /// Whether a call may begin now.
    pub fn allows(&self, now: Nanos) -> bool {
        self.ends_at().is_none_or(|end| now < end)
    }

    /// When the list was last known to be complete, none if never; later by what outages took.
    pub fn confirmed_at(&self) -> Option<Nanos> {
        self.confirmed
    }

    /// When this lease would have had to be confirmed for it to end when it does: what a process that follows
    /// may rely on.
    pub fn inheritable_confirmation(&self) -> Option<Nanos> {
        Some(self.ends_at()?.saturating_sub(self.span?)).filter(|_| self.confirmed.is_some())
    }
}

#[cfg(test)]
mod tests;
