//! Which call an answer on an HTTP/1.1 connection belongs to. An answer does not name its call; it is given to the call that is in
//! flight. That is wrong where an earlier answer arrives once more, whoever repeats it, while the next call is in flight.
//!
//! This module decides when a connection may carry another call, and what an answer proves. It has no socket and no clock: whoever
//! owns the connection reports calls, answers and surplus bytes with their times.
//!
//! - The first answer on a connection is certain, since there is no earlier one, and so is one that names its messages.
//! - A connection carries another call only after an answer that confirmed delivery, and only once it has been quiet for [`MIN_REST`].
//!   So only a confirmation of delivery can be repeated on it.
//! - A later confirmation is [`Certainty::Unconfirmed`]: if it is a copy, the call's own answer is still to come. It is certain once
//!   the connection has been quiet for as long as that answer could still take. Bytes that arrive on an idle connection before show that
//!   the answers do not belong to their calls, and with the end of the connection an answer may have been lost: all that are unconfirmed
//!   are in doubt.
//! - An answer with another status is no copy, but while others are unconfirmed it may be an earlier call's own answer: it is unconfirmed
//!   with them.
//! - A connection with [`MAX_UNCONFIRMED`] unconfirmed answers carries no call until they are certain.
//! - An endpoint that has sent surplus bytes gets one call per connection for a time: it, or something in between, repeats answers.
use std::time::{Duration, Instant};

/// How long a connection must have been quiet before it carries another call.
pub const MIN_REST: Duration = Duration::from_millis(30);
/// With this many unconfirmed answers a connection carries no call.
const MAX_UNCONFIRMED: u32 = 8;
/// A call's own answer may take twice as long as the slowest recent one of its endpoint, and at least this much longer.
const MIN_ANSWER_TIME_MARGIN: Duration = Duration::from_millis(250);
/// How long the slowest answer is remembered: up to twice this.
const ANSWER_TIME_WINDOW: Duration = Duration::from_secs(30);
/// How long an endpoint that has sent surplus bytes gets one call per connection; doubled each time it does so again.
const FIRST_SUSPICION: Duration = Duration::from_secs(300);
const MAX_SUSPICION: Duration = Duration::from_secs(3600);
/// The status that confirms delivery, whatever follows it.
pub const DELIVERED: u16 = 200;
/// Lower ones are those of interim responses, and of none.
const FIRST_FINAL_STATUS: u16 = 200;

/// Whether an answer belongs to the call that it was read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// No earlier answer on the connection could be mistaken for it.
    Certain,
    /// It may be a copy of an earlier answer, unless the connection stays quiet.
    Unconfirmed,
}

/// An answer as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// 0 if it has no valid status line.
    pub status: u16,
    /// Whether its body names the messages that it concerns.
    pub names_messages: bool,
}

/// The calls and answers of one connection.
#[derive(Debug)]
pub struct ConnectionHistory {
    calls: u32,
    sent: Instant,
    /// Whether a call is in flight.
    in_flight: bool,
    /// When the last answer was read to its end.
    answered: Instant,
    /// Answers that are not certain yet.
    unconfirmed: u32,
    /// Until when nothing may arrive, for these to be certain.
    quiet_until: Instant,
    /// Whether the last answer was read to its end: what arrives next is no part of it.
    complete: bool,
    /// Whether the last answer allows another call.
    reusable: bool,
}

impl ConnectionHistory {
    /// A connection that is established now.
    pub fn new(now: Instant) -> Self {
        ConnectionHistory {
            calls: 0,
            sent: now,
            in_flight: false,
            answered: now,
            unconfirmed: 0,
            quiet_until: now,
            complete: true,
            reusable: false,
        }
    }

    /// The number of calls so far, including one in flight.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Whether a call has no answer yet: the connection must be closed before its message is sent again.
    pub fn awaits_answer(&self) -> bool {
        self.in_flight
    }

    /// The first byte of a call is about to be written.
    pub fn call_begins(&mut self, now: Instant) {
        self.calls += 1;
        self.sent = now;
        self.in_flight = true;
        self.complete = false;
        self.reusable = false;
    }

    /// The status of the answer to the call in flight was read.
    pub fn answered(&mut self, now: Instant, answer: Answer, times: &mut AnswerTimes) -> Certainty {
        if answer.status >= FIRST_FINAL_STATUS {
            times.record(now, now.saturating_duration_since(self.sent));
        }
        (self.in_flight, self.answered) = (false, now);
        let delivered = answer.status == DELIVERED;
        self.reusable = delivered;
        let certain =
            self.calls == 1 || delivered && answer.names_messages || !delivered && self.unconfirmed == 0;
        if certain {
            return Certainty::Certain;
        }
        self.unconfirmed += 1;
        let slowest = times.longest(now);
        let own_answer_due = self.sent + slowest + slowest.max(MIN_ANSWER_TIME_MARGIN);
        self.quiet_until = self.quiet_until.max(own_answer_due).max(now + MIN_REST);
        Certainty::Unconfirmed
    }

    /// The answer was read to its end.
    pub fn answer_complete(&mut self, now: Instant) {
        self.answered = now;
        self.complete = true;
    }

    /// Whether the last answer was read to its end. What arrives next may be its rest otherwise.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The connection carries no further call.
    pub fn retire(&mut self) {
        self.reusable = false;
    }

    /// Until when nothing may arrive, for the unconfirmed answers to be certain; `None` if there are none.
    pub fn quiet_until(&self) -> Option<Instant> {
        (self.unconfirmed > 0).then_some(self.quiet_until)
    }

    /// Whether there are unconfirmed answers that are certain now, if nothing has arrived.
    pub fn may_be_confirmed(&self, now: Instant) -> bool {
        self.quiet_until().is_some_and(|until| until <= now)
    }

    /// The connection has been quiet until then: all answers are certain.
    pub fn confirm(&mut self) {
        self.unconfirmed = 0;
    }

    /// Whether the connection may ever carry another call.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    /// Whether the connection may carry another call once it has rested, if nothing arrives until then.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.reusable && (self.unconfirmed < MAX_UNCONFIRMED || self.may_be_confirmed(now))
    }

    /// For how long no call has used the connection; zero while one is in flight.
    pub fn idle_for(&self, now: Instant) -> Duration {
        if self.in_flight { Duration::ZERO } else { now.saturating_duration_since(self.answered) }
    }

    /// Until when a connection that may carry another call must stay quiet before it does.
    pub fn rested_at(&self) -> Instant {
        self.answered + MIN_REST
    }
}

/// How long the answers of an endpoint take: the slowest one of the last 30 to 60 seconds.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    current: Duration,
    previous: Duration,
    window_start: Option<Instant>,
}

impl AnswerTimes {
    fn record(&mut self, now: Instant, took: Duration) {
        self.advance(now);
        self.current = self.current.max(took);
    }

    fn longest(&mut self, now: Instant) -> Duration {
        self.advance(now);
        self.current.max(self.previous)
    }

    fn advance(&mut self, now: Instant) {
        let start = *self.window_start.get_or_insert(now);
        let age = now.saturating_duration_since(start);
        if age >= ANSWER_TIME_WINDOW {
            self.previous = if age < ANSWER_TIME_WINDOW * 2 { self.current } else { Duration::ZERO };
            self.current = Duration::ZERO;
            self.window_start = Some(now);
        }
    }
}

/// Whether an endpoint, or something in between, is suspected of repeating answers.
#[derive(Debug, Default)]
pub struct Suspicion {
    until: Option<Instant>,
    duration: Duration,
}

impl Suspicion {
    /// Bytes arrived that answer no call.
    pub fn raise(&mut self, now: Instant) {
        if self.is_raised(now) {
            return;
        }
        self.duration = (self.duration * 2).clamp(FIRST_SUSPICION, MAX_SUSPICION);
        self.until = Some(now + self.duration);
    }

    pub fn is_raised(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

#[cfg(test)]
mod tests;
