//! When discovery is called for the list of endpoints, how long an answer is waited for, and what happens to
//! messages without a usable list.
//!
//! This module computes the delays between calls to discovery. It holds no list and sends nothing. Discovery
//! is one service for all relays and answers one call after another. A call that waited too long there is
//! discarded, but still costs discovery time. If all relays of a fleet call together, or retry at once, none
//! of them is answered. The speed of discovery is unknown, so each relay uses a cycle: an estimate of the
//! time in which all relays can be answered once. It calls at a random time within its cycle. Calls that
//! failed or waited long lengthen the cycle; answers and a time without failures reset it.
//!
//! A relay with a list uses it under a lease ([`crate::ListLease`]). If a watch that worked breaks, the relay
//! calls within what is left of the lease. After a call that failed it keeps to its cycle, because earlier
//! calls would keep all others from being answered. A relay without a list sends no messages and keeps to its
//! cycle from the start.
use crate::choice::Dispatcher;
use crate::interface::{Action, ListScope, Nanos, Settings};
use crate::list_lease::lease_span;
use crate::state::{Message, Random, SECOND, nanos, secs};

/// The timer for the next call to discovery.
pub const POLL_NONCE: u64 = 2;
/// Minimum length of a cycle: a single relay calls again this soon.
const MIN_CYCLE: Nanos = SECOND / 20;
/// Approximate minimum delay before a relay with a list calls again after a call of its own that failed.
const MIN_RETRY: Nanos = SECOND / 4;
/// Length of the cycle per relay for relays with a list, in seconds: they request changes, which is the
/// cheaper call.
const CYCLE_WITH_LIST: f64 = 0.01;
/// The same for relays without a list. A fifth of it is spare, so that random accumulations of calls are
/// worked off.
const CYCLE_WITHOUT_LIST: f64 = 0.1;
/// After calls that failed without a wait, the cycle of relays with a list is doubled up to this multiple of
/// its initial length: discovery may reject calls on arrival, or be down, and then all relays are to call
/// soon after its return.
const MAX_UNQUEUED_GROWTH: f64 = 8.0;
/// Factor on the cycle after a refused connection, up to the same bound: discovery is not running.
const REFUSED_GROWTH: Nanos = 4;
/// Maximum length of the cycle per relay, in seconds, by which it grows with the waits: a discovery that
/// needs this long for a call is still worked off.
const MAX_CYCLE_WITHOUT_LIST: f64 = 1.6;
/// The same for relays with a list, whose calls are cheaper: a few of them never wait that long for one
/// another.
const MAX_CYCLE_WITH_LIST: f64 = 0.4;
/// A call rejected sooner than this met no queue, or a discovery that rejects calls on arrival. Its wait does
/// not show how fast discovery is.
const MIN_QUEUED_WAIT: Nanos = SECOND;
/// Cycle length as a multiple of a failed call's wait: the calls ahead of it took that long, and they were
/// only some of the calls of all relays.
const CYCLE_PER_WAIT: Nanos = 3;
/// Maximum time to wait for the first list; any change that discovery has to announce counts as announced by
/// then.
const FIRST_LIST_TIMEOUT: Nanos = 6 * SECOND;
/// Minimum and, in an initial cycle, maximum time to wait for an answer with changes. It is longer than
/// discovery was seen to keep calls waiting, so that no relay gives up its place in the queue to join it
/// again at the end.
const CHANGES_TIMEOUT: (Nanos, Nanos) = (5 * SECOND / 2, 8 * SECOND);
/// ... in seconds for each relay that may be in the queue.
const CHANGES_TIMEOUT_PER_RELAY: f64 = 0.1;
/// Part of a lease that is reserved for the call itself when its start is drawn at random.
const CALL_RESERVE: Nanos = SECOND;
/// If the lease is long, calls are spread over this many cycles, because there is no hurry.
const RELAXED_SPREAD_FACTOR: f64 = 4.0;

/// The delays between one relay's calls.
#[derive(Default)]
pub struct DiscoverySchedule {
    /// Number of relays that share one discovery.
    relays: f64,
    /// The list comes from an agent on this machine, which answers at once unless discovery is down.
    pushed: bool,
    /// When the first call started of those without an answer since the last one.
    unanswered_since: Option<Nanos>,
    /// Whether a non-empty list was received, so that drains may be announced.
    has_list: bool,
    /// The time in which all relays can be answered once, as far as this relay knows.
    cycle: Nanos,
    /// When a call last failed, and whether one was answered since.
    failed_at: Option<Nanos>,
    answered: bool,
    /// Maximum time between two requests. The cycle is reset after this time without failures.
    poll_interval: Nanos,
    /// Whether the first call was scheduled.
    pub started: bool,
    /// When the call in flight started.
    called_at: Option<Nanos>,
    /// When the next call starts.
    next_call_at: Nanos,
}

impl DiscoverySchedule {
    /// Applies the number of relays.
    pub fn apply_settings(&mut self, settings: &Settings) {
        // A pushed list comes from an agent on this machine that serves no other relay. If lists are shared,
        // which relay calls is decided elsewhere.
        let relays = settings.relays.filter(|_| settings.list_on_request && !settings.list_shared);
        self.relays = f64::from(relays.unwrap_or(1).max(1));
        self.pushed = !settings.list_on_request && !settings.list_shared;
        self.poll_interval = settings.rules.list_poll_interval.unwrap_or(10 * SECOND);
        self.cycle = self.cycle.max(self.initial_cycle());
    }

    /// Time from `now` until the first call, where `left` is the remaining time of the lease on the list.
    pub fn first_call_delay(&mut self, now: Nanos, left: Option<Nanos>, random: &mut Random) -> Nanos {
        let own_share = nanos(CYCLE_WITHOUT_LIST);
        let spread =
            if self.has_list { self.relaxed_spread(left) } else { self.cycle.saturating_sub(own_share) };
        // A fleet this small cannot overload discovery.
        let small_fleet = spread <= if self.has_list { MIN_RETRY } else { 0 };
        self.schedule_next(now, if small_fleet { 0 } else { nanos(secs(spread) * random.fraction()) })
    }

    /// Records the start of a call.
    pub fn call_started(&mut self, now: Nanos) {
        self.called_at = Some(now);
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a list, or changes, arrived; `non_empty` says whether it has entries.
    pub fn list_received(&mut self, non_empty: bool) {
        let first = non_empty && !self.has_list;
        self.has_list |= non_empty;
        if first {
            self.cycle = self.initial_cycle();
        }
        (self.called_at, self.unanswered_since, self.answered) = (None, None, true);
    }

    /// Time until the next call after one that failed, where `left` is the remaining time of the lease on the
    /// list.
    pub fn call_failed(
        &mut self,
        now: Nanos,
        how: ListScope,
        left: Option<Nanos>,
        random: &mut Random,
    ) -> Nanos {
        let called_at = self.called_at.take();
        let after_quiet = self.failed_at.is_none_or(|at| now > at + self.poll_interval.max(2 * self.cycle));
        if std::mem::take(&mut self.answered) && after_quiet {
            // Only after a time without failures, because answers may break off every other time.
            self.cycle = self.initial_cycle();
        }
        self.failed_at = Some(now);
        let fraction = random.fraction();
        let after = if !self.has_list {
            self.lengthen_without_list(how, called_at.map_or(0, |at| now.saturating_sub(at)));
            nanos(secs(self.cycle) * (0.5 + fraction))
        } else if self.pushed && how == ListScope::TimedOut {
            // What the agent gets when discovery returns counts as announced at once.
            nanos(secs(MIN_CYCLE) * (0.5 + fraction))
        } else if how == ListScope::Unreachable {
            self.cycle = (self.cycle * REFUSED_GROWTH).min(self.max_unqueued_cycle()).max(self.cycle);
            let base = left.filter(|left| *left > 0).map_or(self.cycle, |left| self.cycle.min(left / 2));
            nanos(secs(base.max(MIN_RETRY)) * (0.5 + fraction))
        } else if let Some(called_at) = called_at {
            // An answer that broke off had started, so a long wait is no sign of a queue.
            let waited = if how == ListScope::Truncated { 0 } else { now.saturating_sub(called_at) };
            self.delay_after_wait(waited, fraction)
        } else if after_quiet {
            // A watch that worked until now.
            MIN_CYCLE / 2 + nanos(secs(self.relaxed_spread(left)) * fraction)
        } else {
            self.delay_after_wait(0, fraction)
        };
        self.schedule_next(now, after)
    }

    /// Delay after a call that failed after waiting this long in discovery's queue. `fraction` is a random
    /// number from 0 to 1.
    fn delay_after_wait(&mut self, waited: Nanos, fraction: f64) -> Nanos {
        if waited >= MIN_QUEUED_WAIT {
            let longer = (waited * CYCLE_PER_WAIT).max(2 * self.initial_cycle()).min(self.max_cycle());
            self.cycle = self.cycle.max(longer);
        }
        let after = nanos(secs(self.cycle) * (0.5 + fraction));
        if waited < MIN_QUEUED_WAIT {
            self.cycle = (self.cycle * 2).min(self.max_unqueued_cycle()).max(self.cycle);
        }
        after
    }

    fn lengthen_without_list(&mut self, how: ListScope, waited: Nanos) {
        if how != ListScope::Unreachable && waited >= MIN_QUEUED_WAIT {
            self.cycle = (self.cycle * 2).max(waited * CYCLE_PER_WAIT).min(self.max_cycle());
        }
    }

    /// The time within which to call while the list may still be used: all of that time if the fleet is
    /// large.
    fn relaxed_spread(&self, left: Option<Nanos>) -> Nanos {
        let spread = self.cycle.max(nanos(RELAXED_SPREAD_FACTOR * CYCLE_WITH_LIST * self.relays));
        match left {
            None => spread,
            Some(left) if left > CALL_RESERVE => spread.min(left - CALL_RESERVE),
            Some(_) => self.cycle,
        }
    }

    fn max_cycle(&self) -> Nanos {
        let per_relay = if self.has_list { MAX_CYCLE_WITH_LIST } else { MAX_CYCLE_WITHOUT_LIST };
        nanos(per_relay * self.relays)
    }

    fn max_unqueued_cycle(&self) -> Nanos {
        nanos(MAX_UNQUEUED_GROWTH * CYCLE_WITH_LIST * self.relays).max(MIN_RETRY)
    }

    fn schedule_next(&mut self, now: Nanos, after: Nanos) -> Nanos {
        self.next_call_at = now + after;
        after
    }

    /// How long to wait for an answer that is not the renewal of a watch. `has_list` says whether there is a
    /// list to which the answer brings changes.
    pub fn timeout(&self, has_list: bool) -> Nanos {
        if !has_list {
            return self.cycle.max(FIRST_LIST_TIMEOUT);
        }
        let (min, max) = CHANGES_TIMEOUT;
        nanos(CHANGES_TIMEOUT_PER_RELAY * self.relays).clamp(min, max).max(self.cycle / 2)
    }

    /// Time until there may be a list for a relay that has none, or none that it may use. Of a call in flight
    /// only its age is known; half of that is assumed as the remaining time. So is half of the time for
    /// which an agent on this machine has been silent, over however many calls.
    pub fn time_to_list(&self, now: Nanos, expired: bool) -> Nanos {
        match self.called_at {
            _ if self.has_list && !expired => 0,
            _ if self.pushed && self.has_list => {
                self.unanswered_since.map_or(0, |since| now.saturating_sub(since) / 2)
            }
            Some(at) => now.saturating_sub(at) / 2,
            None => self.next_call_at.saturating_sub(now),
        }
    }

    fn initial_cycle(&self) -> Nanos {
        nanos(self.relays * if self.has_list { CYCLE_WITH_LIST } else { CYCLE_WITHOUT_LIST }).max(MIN_CYCLE)
    }
}

impl Dispatcher {
    /// How long to wait for an answer of discovery that is not the renewal of a watch, in nanoseconds.
    /// `has_list` says whether there is a list to which the answer brings changes.
    pub fn list_timeout(&self, has_list: bool) -> Nanos {
        self.schedule.timeout(has_list)
    }

    /// Sets until when the list may be used ([`crate::ListLease`]), on the clock of the rounds; `None` for no
    /// limit, 0 if the list was never confirmed. Valid until it is set again.
    pub fn set_list_lease(&mut self, until: Option<Nanos>) {
        self.list_valid_until = until;
    }

    /// Whether the list may no longer be used.
    pub(crate) fn list_expired(&self, now: Nanos) -> bool {
        self.list_valid_until.is_some_and(|until| now >= until)
    }

    /// Whether no process of this relay is known to have had the list confirmed.
    fn list_never_confirmed(&self) -> bool {
        self.list_valid_until == Some(0)
    }

    /// Remaining time of the lease on the list, if there is one.
    pub(crate) fn lease_left(&self, now: Nanos) -> Option<Nanos> {
        self.list_valid_until.map(|until| until.saturating_sub(now))
    }

    /// Time until there may be a usable list.
    pub(crate) fn time_to_list(&self, now: Nanos) -> Nanos {
        self.schedule.time_to_list(now, self.list_expired(now))
    }

    /// Schedules the first call, if the list has to be requested. In a first round, entries already received
    /// have been applied.
    pub(crate) fn start_polling(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.schedule.started, true) {
            return;
        }
        if !self.settings.list_on_request {
            // The agent is called from the start, without being asked for.
            self.schedule.unanswered_since = Some(now);
        } else {
            let time_left = if self.list_never_confirmed() {
                // No lease to keep. If a whole fleet starts so, a shorter time would crowd discovery.
                Some(lease_span(self.schedule.poll_interval))
            } else {
                self.lease_left(now)
            };
            let after = self.schedule.first_call_delay(now, time_left, &mut self.random);
            self.call_discovery(now, after, actions);
        }
    }

    /// Handles a failed call to discovery.
    pub(crate) fn list_call_failed(&mut self, now: Nanos, how: ListScope, actions: &mut Vec<Action>) {
        let after = self.schedule.call_failed(now, how, self.lease_left(now), &mut self.random);
        self.call_discovery(now, after, actions);
        let pause = secs(after);
        actions.push(Action::Log { line: format!("list unavailable, asking again in {pause:.2} s") });
    }

    /// Calls discovery, now or after a delay.
    pub(crate) fn call_discovery(&mut self, now: Nanos, after: Nanos, actions: &mut Vec<Action>) {
        if after > 0 {
            actions.push(Action::SetTimer { nonce: POLL_NONCE, after });
        } else {
            self.schedule.call_started(now);
            actions.push(Action::Subscribe { open: true });
        }
    }

    /// Whether there is no usable list and none is expected before half of the time has passed in which a
    /// message meets its target (its deadline, once the target has passed). If it is returned now, another
    /// relay may still serve it.
    pub(crate) fn list_too_late(&self, now: Nanos, message: &Message) -> bool {
        let wait = self.time_to_list(now);
        let end = if now < message.target_at { message.target_at } else { message.deadline };
        wait > 0 && now + 2 * wait > end
    }
}
