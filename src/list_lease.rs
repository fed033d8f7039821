//! How long the list of endpoints may be used without confirmation: a lease.
//!
//! A change that discovery could not announce counts as announced after a while all the same (the platform's
//! protocol, "Figures"): from then on nothing new may be sent to an endpoint that drains. Therefore each
//! confirmation of the list grants a lease, counted on the monotonic clock from the start of the call that
//! brought it. The lease is shorter than the time in the rules by the time that may pass between reading the
//! clock and the first byte. Once it is over, nothing is sent until the list is confirmed again.
//!
//! What each failure of a call to discovery shows:
//!
//! - **A refused connection:** discovery is not running. The time between two consecutive refusals does not
//!   count against the lease, since nothing could be announced in it. The part of the lease used before the
//!   first refusal remains used.
//! - **A 503, at once or after a wait, a reset, silence:** nothing. An overloaded discovery and one that is
//!   down cannot be told apart, and an overloaded one could have announced changes.
//! - **An answer that broke off:** it may have announced a drain from its first byte on, so the lease ends
//!   with the grace period that drains have from there.
//!
//! Where an agent on this machine has the list pushed to it, changes count as announced as soon as the
//! agent has them, from the first moment of a process. The agent answers at once, and is silent only while
//! discovery is down, when it learns nothing. Therefore such a list may be used for as long as the relay
//! has been connected to the agent without a gap since an answer, however long the agent has been silent:
//!
//! - **A process that starts** knows nothing of what the agent has learned: no earlier process's confirmation
//!   counts.
//! - **A call that ends in any way but by silence** leaves a gap; the lease ends with the grace period from
//!   there unless a later call is answered.
//!
//! Where instances pass lists to one another, a confirmation counts from the start of the call that brought
//! it, whichever instance made that call, and its lease ends like that of a list which this relay requests
//! itself.
//!
//! There is no clock and no socket here; times are nanoseconds on one monotonic clock.
use crate::interface::{ListScope, Nanos};
use crate::state::SECOND;

/// Changes count as announced this long after discovery had them and could be reached.
const DEEMED_ANNOUNCED_AFTER: Nanos = 6 * SECOND;
/// ... and this long after the relay was asked to reload its configuration.
const DEEMED_ANNOUNCED_AFTER_RELOAD: Nanos = 4 * SECOND;
/// Calls may start for this long after a drain was announced.
const DRAIN_GRACE: Nanos = SECOND / 2;
/// Maximum delay of a relay between reading its clock and writing a call's first byte.
const MAX_STALL: Nanos = 150_000_000;
/// Margin for timers and for the time between writing a first byte at discovery and reading it here.
const MARGIN: Nanos = 50_000_000;
/// The part of the grace period in which a call may still be started here.
const USABLE_GRACE: Nanos = DRAIN_GRACE - MAX_STALL - MARGIN;
/// Two refusals further apart than this do not show what happened in between.
const MAX_REFUSAL_GAP: Nanos = 10 * SECOND;

/// Time from a confirmation of the list to the end of its lease. `list_poll_interval` is the maximum time
/// between two requests according to the settings, in nanoseconds.
pub(crate) fn lease_span(list_poll_interval: Nanos) -> Nanos {
    DEEMED_ANNOUNCED_AFTER.min(list_poll_interval) + USABLE_GRACE
}

/// Where a relay has its list from, which decides what confirms the list and what ends its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The relay's own file. It is the list, whoever confirms it, and needs no lease.
    File,
    /// Discovery, which this relay asks.
    Polled {
        /// Maximum time between two requests according to the settings, in nanoseconds.
        poll_interval: Nanos,
    },
    /// An agent on this machine, to which discovery pushes the list.
    Pushed,
    /// Other instances, a few of which ask discovery.
    Shared {
        /// As for `Polled`.
        poll_interval: Nanos,
    },
}

impl ListSource {
    /// Time from a confirmation to the end of a lease without other constraints, if that depends on age.
    fn lease_span(self) -> Option<Nanos> {
        match self {
            ListSource::Polled { poll_interval } | ListSource::Shared { poll_interval } => {
                Some(lease_span(poll_interval))
            }
            ListSource::File | ListSource::Pushed => None,
        }
    }
}

/// The lease on one list.
#[derive(Clone, Copy, Debug)]
pub struct ListLease {
    source: ListSource,
    /// When the list was last known to be complete, moved later by the duration of outages.
    confirmed_at: Option<Nanos>,
    /// When the first bytes arrived of answers that were not applied yet or broke off: the oldest one and the
    /// newest one. There are never more than two, since an answer is applied before the next one.
    unread: [Option<Nanos>; 2],
    /// When the configuration was last reloaded.
    reloaded_at: Option<Nanos>,
    /// Time of the first reload after which either no call that started later was answered, or one failed
    /// before changes counted as announced.
    unconfirmed_reload_at: Option<Nanos>,
    /// The last refused connection, unless a later call ended in another way.
    refused_at: Option<Nanos>,
    /// When a call to the agent first failed otherwise than by silence, unless a later call was answered.
    gap_since: Option<Nanos>,
}

impl ListLease {
    /// The lease on a list that nobody has confirmed.
    pub fn new(source: ListSource) -> Self {
        ListLease {
            source,
            confirmed_at: None,
            unread: [None; 2],
            reloaded_at: None,
            unconfirmed_reload_at: None,
            refused_at: None,
            gap_since: None,
        }
    }

    /// Applies a changed maximum time between two requests; the lease continues.
    pub fn set_poll_interval(&mut self, list_poll_interval: Nanos) {
        match &mut self.source {
            ListSource::Polled { poll_interval } | ListSource::Shared { poll_interval } => {
                *poll_interval = list_poll_interval;
            }
            ListSource::File | ListSource::Pushed => {}
        }
    }

    /// Records that the list was complete at this time, as known from an earlier process. Has no effect on
    /// a list that is pushed.
    pub fn restore(&mut self, confirmed: Nanos) {
        if self.source != ListSource::Pushed {
            self.confirmed_at = self.confirmed_at.max(Some(confirmed));
        }
    }

    /// Records that the first byte arrived of an answer with a list or changes, which is not applied yet.
    pub fn answer_started(&mut self, now: Nanos) {
        let [oldest, newest] = &mut self.unread;
        if oldest.is_none() { *oldest = Some(now) } else { *newest = Some(now) }
    }

    /// Records that an answer was applied whose call started at `started` and whose first byte arrived at
    /// `first_byte`, here or at another instance. The contents of earlier answers are included in it, or were
    /// applied before.
    pub fn confirm(&mut self, started: Nanos, first_byte: Nanos) {
        self.confirmed_at = self.confirmed_at.max(Some(started));
        self.refused_at = None;
        let later = self.unread.iter().flatten().copied().find(|unread| *unread > first_byte.max(started));
        self.unread = [later, None];
        if self.reloaded_at.is_none_or(|reloaded| started >= reloaded) {
            self.unconfirmed_reload_at = None;
        }
        self.gap_since = self.gap_since.filter(|gap| *gap > started);
    }

    /// Records that a call failed, as noticed at `now`.
    pub fn call_failed(&mut self, now: Nanos, how: ListScope) {
        let recent_reload =
            self.reloaded_at.filter(|reloaded| now < reloaded + DEEMED_ANNOUNCED_AFTER_RELOAD);
        self.unconfirmed_reload_at = self.unconfirmed_reload_at.or(recent_reload);
        if how != ListScope::TimedOut {
            self.gap_since.get_or_insert(now);
        }
        // Of other instances it shows nothing whether this one is refused.
        if how != ListScope::Unreachable || !matches!(self.source, ListSource::Polled { .. }) {
            self.refused_at = None;
            return;
        }
        let before = self.refused_at.replace(now).filter(|before| now - before <= MAX_REFUSAL_GAP);
        if let (Some(before), Some(confirmed)) = (before, &mut self.confirmed_at) {
            *confirmed += now - before;
        }
    }

    /// Records that the configuration was reloaded: the address of discovery may have changed.
    pub fn configuration_reloaded(&mut self, now: Nanos) {
        self.reloaded_at = Some(now);
        self.unconfirmed_reload_at.get_or_insert(now);
    }

    /// When the lease ends; `None` if that depends on what is yet to happen, 0 if the list was never
    /// confirmed.
    pub fn ends_at(&self) -> Option<Nanos> {
        if self.source == ListSource::File {
            return None;
        }
        let Some(confirmed) = self.confirmed_at else { return Some(0) };
        let while_in_touch = match self.source.lease_span() {
            Some(span) => confirmed + span,
            None => self.gap_since.map_or(Nanos::MAX, |gap| gap + USABLE_GRACE),
        };
        let by_unread = self.unread[0].map_or(Nanos::MAX, |first| first + USABLE_GRACE);
        let by_reload = self
            .unconfirmed_reload_at
            .map_or(Nanos::MAX, |at| at + DEEMED_ANNOUNCED_AFTER_RELOAD + USABLE_GRACE);
        Some(while_in_touch.min(by_unread).min(by_reload)).filter(|end| *end < Nanos::MAX)
    }

    /// Whether a call may start now.
    pub fn allows(&self, now: Nanos) -> bool {
        self.ends_at().is_none_or(|end| now < end)
    }

    /// When the list was last known to be complete, moved later by the duration of outages; `None` if never.
    pub fn confirmed_at(&self) -> Option<Nanos> {
        self.confirmed_at
    }

    /// The confirmation time for which a lease without other constraints would end when this one does. A
    /// successor process may rely on it. `None` if the lease does not depend on age.
    pub fn inheritable_confirmation(&self) -> Option<Nanos> {
        let span = self.source.lease_span()?;
        self.confirmed_at?;
        Some(self.ends_at()?.saturating_sub(span))
    }
}

#[cfg(test)]
mod tests;
