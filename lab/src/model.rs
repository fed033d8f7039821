//! Model of a partner: how it responds to each call, at the time that is passed in.
//!
//! The model covers capacity, queue, limits, cold starts and scripted faults. It must not use sockets, since
//! the emulator and the virtual-time simulation share it. A partner works off its queue at a rate that grows
//! while it warms up, and rejects calls while the queue is full. A cold partner crashes if, over `fall_s`,
//! it receives more than `fall_multiple` times the calls that it can currently serve.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Time since the start of the experiment.
pub type At = Duration;

/// Properties of a partner.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct PartnerProfile {
    /// Calls per second that it processes once warm.
    pub rate: f64,
    /// Maximum number of queued calls.
    pub queue: u32,
    /// Median time of a call without queueing, in milliseconds, and the standard deviation of its logarithm.
    pub latency_ms: f64,
    pub spread: f64,
    /// An additional limit on calls, if any.
    pub limit: Option<Limit>,
    /// Maximum number of open connections, and of new connections per second; 0 for no limit.
    pub connections: usize,
    pub opens: u32,
    /// Share of the rate right after a start, and the seconds until it has warmed up.
    pub cold_share: f64,
    pub warm_s: f64,
    /// While cold, it crashes if it receives more than this multiple of what it can serve over this many
    /// seconds.
    pub fall_multiple: f64,
    pub fall_s: f64,
    /// Seconds that it is down after a crash, before it starts cold.
    pub fallen_s: f64,
    /// Share of calls that are processed but not answered, because the connection breaks (on the push
    /// interface, because the stream is reset).
    pub lost: f64,
}

/// Number of calls allowed within a span. A short span acts as a rate limit, a long one as a quota per
/// window.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    pub calls: u32,
    pub span_ms: u64,
    /// Rejections state the wait until the end of the span.
    #[serde(default)]
    pub told: bool,
    /// Rejected calls count as well, and the span is a sliding window that ends at each call.
    #[serde(default)]
    pub refused_count: bool,
}

impl Limit {
    /// Calls per second.
    pub fn rate(&self) -> f64 {
        f64::from(self.calls) * 1000.0 / self.span_ms as f64
    }
}

/// Share of a limit that remains while it is lowered.
const LOWERED_SHARE: f64 = 0.4;

impl Default for PartnerProfile {
    fn default() -> Self {
        PartnerProfile {
            rate: 100.0,
            queue: 50,
            latency_ms: 5.0,
            spread: 0.3,
            limit: None,
            connections: 0,
            opens: 0,
            cold_share: 0.18,
            warm_s: 14.0,
            fall_multiple: 2.0,
            fall_s: 3.0,
            fallen_s: 5.0,
            lost: 0.0,
        }
    }
}

impl PartnerProfile {
    /// Calls per second that the list states: the limit's rate, if there is a limit.
    pub fn advertised_rate(&self) -> f64 {
        self.limit.as_ref().map_or(self.rate, Limit::rate)
    }
}

/// A temporary fault of a partner.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Calls are never answered.
    Hang,
    /// Calls fail immediately.
    Fail,
    /// Calls are rejected without a wait.
    Shut,
    /// Calls are rejected with the wait until the fault ends.
    ShutTold,
    /// Calls take ten times as long.
    Slow,
    /// Connections are refused.
    Refuse,
    /// Calls are processed, then their connections break.
    LoseAnswers,
    /// The partner is down: connections are refused and open ones break. It starts cold afterwards.
    Down,
    /// Calls are processed at a tenth of the rate.
    Tenth,
    /// The limit is lowered to two fifths.
    Lowered,
}

/// How a partner responds to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// Answered as delivered after this time.
    Served(Duration),
    /// Answered as failed immediately; the call has run.
    Failed,
    /// Rejected, with the wait if one is stated.
    Overloaded(Option<Duration>),
    /// The connection breaks; the call may have run.
    ConnectionLost,
    /// Never answered.
    Unanswered,
}

/// One endpoint of a partner.
pub struct Partner {
    pub nature: PartnerProfile,
    random: StdRng,
    latency: LogNormal<f64>,
    /// When it last started; `None` if before the experiment, in which case it is warm.
    started: Option<At>,
    /// Number of queued calls, and the time at which it was last updated.
    backlog: f64,
    backlog_at: At,
    /// Number of the current span, and the calls counted in it.
    span: (u64, u32),
    /// The most recent calls within the span, up to the limit, if rejected calls count.
    latest: VecDeque<At>,
    /// The current or next fault, with its start and end.
    trouble: Option<(Trouble, At, At)>,
    crashed_until: Option<At>,
    /// Calls of the last `fall_s` seconds.
    recent: VecDeque<At>,
    /// Number of crashes due to overload.
    pub crashes: u32,
    pub offered: u64,
    pub served: u64,
}

impl Partner {
    pub fn new(nature: PartnerProfile, seed: u64) -> Self {
        let latency = LogNormal::new((nature.latency_ms / 1000.0).max(1e-6).ln(), nature.spread.max(0.0));
        Partner {
            nature,
            random: StdRng::seed_from_u64(seed),
            latency: latency.expect("a finite, non-negative spread"),
            started: None,
            backlog: 0.0,
            backlog_at: At::ZERO,
            span: (0, 0),
            latest: VecDeque::new(),
            trouble: None,
            crashed_until: None,
            recent: VecDeque::new(),
            crashes: 0,
            offered: 0,
            served: 0,
        }
    }

    /// Starts a fault now that lasts until `until`.
    pub fn begin_trouble(&mut self, trouble: Trouble, until: At) {
        self.begin_trouble_at(trouble, At::ZERO, until);
    }

    /// Schedules a fault from `from` until `until`.
    pub fn begin_trouble_at(&mut self, trouble: Trouble, from: At, until: At) {
        self.trouble = Some((trouble, from, until));
    }

    fn trouble(&self, now: At) -> Option<Trouble> {
        self.trouble.filter(|(_, from, until)| now >= *from && now < *until).map(|(what, ..)| what)
    }

    /// Restarts the partner: cold, with an empty queue.
    pub fn start(&mut self, now: At) {
        (self.started, self.backlog, self.backlog_at) = (Some(now), 0.0, now);
        self.recent.clear();
    }

    /// Whether connections are refused.
    pub fn refuses_connections(&self, now: At) -> bool {
        let down = matches!(self.trouble(now), Some(Trouble::Refuse | Trouble::Down));
        down || self.crashed_until.is_some_and(|until| now < until)
    }

    /// Calls per second that it currently processes.
    pub fn rate(&self, now: At) -> f64 {
        let warm = self.started.map_or(1.0, |started| {
            let age = now.saturating_sub(started).as_secs_f64() / self.nature.warm_s.max(1e-9);
            self.nature.cold_share + (1.0 - self.nature.cold_share) * age.min(1.0)
        });
        let share = if self.trouble(now) == Some(Trouble::Tenth) { 0.1 } else { 1.0 };
        self.nature.rate * warm * share
    }

    /// Calls per second that it currently accepts: its rate, capped by its limit.
    pub fn capacity(&self, now: At) -> f64 {
        let limit = self.nature.limit.as_ref();
        self.rate(now).min(limit.map_or(f64::INFINITY, |l| l.rate() * self.limit_share(now)))
    }

    /// Share of the limit that currently applies.
    fn limit_share(&self, now: At) -> f64 {
        if self.trouble(now) == Some(Trouble::Lowered) { LOWERED_SHARE } else { 1.0 }
    }

    /// Whether it has not yet warmed up since its last start.
    pub fn is_cold(&self, now: At) -> bool {
        self.started.is_some_and(|at| now < at + Duration::from_secs_f64(self.nature.warm_s))
    }

    fn drain_backlog(&mut self, now: At) {
        let worked = self.rate(now) * now.saturating_sub(self.backlog_at).as_secs_f64();
        self.backlog = (self.backlog - worked).max(0.0);
        self.backlog_at = now;
    }

    /// Whether this call overloads a cold partner: the calls within `fall_s` exceed the multiple of what it
    /// could serve in that time.
    fn crashes_on_call(&mut self, now: At) -> bool {
        let window = Duration::from_secs_f64(self.nature.fall_s);
        while self.recent.front().is_some_and(|at| *at + window < now) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        if !self.is_cold(now) {
            return false;
        }
        let window_start = now.saturating_sub(window);
        let able_to_serve = (self.rate(window_start) + self.rate(now)) / 2.0 * self.nature.fall_s;
        // Some slack for random variation, since short windows contain few calls.
        self.recent.len() as f64 > self.nature.fall_multiple * able_to_serve + 3.0
    }

    /// Processes a call that was received completely.
    pub fn call(&mut self, now: At) -> CallOutcome {
        self.offered += 1;
        if let Some(until) = self.crashed_until
            && now >= until
        {
            self.crashed_until = None;
            self.start(until);
        }
        self.drain_backlog(now);
        let trouble = self.trouble(now);
        match trouble {
            Some(Trouble::Hang) => return CallOutcome::Unanswered,
            Some(Trouble::Fail) => return CallOutcome::Failed,
            Some(Trouble::Shut) => return CallOutcome::Overloaded(None),
            Some(Trouble::ShutTold) => {
                let until = self.trouble.map_or(now, |(.., until)| until);
                return CallOutcome::Overloaded(Some(until.saturating_sub(now)));
            }
            Some(Trouble::Refuse | Trouble::Down) => return CallOutcome::ConnectionLost,
            _ => {}
        }
        if self.crashed_until.is_some() {
            return CallOutcome::ConnectionLost;
        }
        if self.crashes_on_call(now) {
            self.crashes += 1;
            self.crashed_until = Some(now + Duration::from_secs_f64(self.nature.fallen_s));
            return CallOutcome::ConnectionLost;
        }
        let allowed = |limit: &Limit| (f64::from(limit.calls) * self.limit_share(now)).ceil() as usize;
        let calls = self.nature.limit.as_ref().map_or(0, allowed);
        if let Some(limit) = self.nature.limit.as_ref().filter(|limit| limit.refused_count) {
            let span = Duration::from_millis(limit.span_ms);
            while self.latest.front().is_some_and(|at| *at + span <= now) {
                self.latest.pop_front();
            }
            let full = self.latest.len() >= calls;
            if full {
                self.latest.pop_front();
            }
            self.latest.push_back(now);
            if full {
                return CallOutcome::Overloaded(limit.told.then_some(span));
            }
        } else if let Some(limit) = &self.nature.limit {
            let number = now.as_millis() as u64 / limit.span_ms.max(1);
            let used = if self.span.0 == number { self.span.1 } else { 0 };
            if used as usize >= calls {
                let end = Duration::from_millis((number + 1) * limit.span_ms);
                return CallOutcome::Overloaded(limit.told.then(|| end.saturating_sub(now)));
            }
            self.span = (number, used + 1);
        }
        if self.backlog >= f64::from(self.nature.queue) {
            return CallOutcome::Overloaded(None);
        }
        let wait = Duration::from_secs_f64((self.backlog / self.rate(now).max(1e-6)).min(3600.0));
        self.backlog += 1.0;
        let mut own_latency = self.latency.sample(&mut self.random);
        if trouble == Some(Trouble::Slow) {
            own_latency *= 10.0;
        }
        self.served += 1;
        let lost = self.nature.lost;
        if trouble == Some(Trouble::LoseAnswers) || lost > 0.0 && self.random.random_bool(lost) {
            return CallOutcome::ConnectionLost;
        }
        CallOutcome::Served(wait + Duration::from_secs_f64(own_latency.min(3600.0)))
    }
}

#[cfg(test)]
mod tests;
