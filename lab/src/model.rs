//! How a partner behaves: what it makes of each call, told by a clock that is passed in.
//!
//! Owns capacity, queue, limits, cold starts and scripted troubles. It may know no socket: the emulator and the
//! virtual world play the same model. A partner works off its queue at a rate that grows while it warms; what would
//! have to wait behind a full queue is turned away; what is pushed at it past a multiple of what it can do just
//! then, for as long as the rules say, makes it fall over.
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Time since the experiment began.
pub type At = Duration;

/// What a partner is like.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Nature {
    /// Calls a second that it works off once warm.
    pub rate: f64,
    /// Calls that may wait for that.
    pub queue: u32,
    /// Median time of a call besides its wait, in milliseconds, and the spread of its logarithm.
    pub latency_ms: f64,
    pub spread: f64,
    /// A limit on top of that, if any.
    pub limit: Option<Limit>,
    /// Connections that it holds, and those that it takes in a second; 0 is any number.
    pub connections: usize,
    pub opens: u32,
    /// Share of its rate right after a start, and how long it takes to warm.
    pub cold_share: f64,
    pub warm_s: f64,
    /// Pushed past this multiple of what it can do just then, for so long, it falls over.
    pub fall_multiple: f64,
    pub fall_s: f64,
    /// For so long it is down then, until it starts cold.
    pub fallen_s: f64,
    /// Share of calls that run and break: on the second front, streams that are reset.
    pub lost: f64,
}

/// Calls that may be made within a span: a plain rate where the span is short, a counted window where it is long.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    pub calls: u32,
    pub span_ms: u64,
    /// Refusals tell the wait until the span ends.
    #[serde(default)]
    pub told: bool,
    /// Refused calls use it up too, and the span is the one before each call.
    #[serde(default)]
    pub refused_count: bool,
}

impl Limit {
    /// Calls a second.
    pub fn rate(&self) -> f64 {
        f64::from(self.calls) * 1000.0 / self.span_ms as f64
    }
}

/// What is left of a limit while it is lowered.
const LOWERED: f64 = 0.4;

impl Default for Nature {
    fn default() -> Self {
        Nature {
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

impl Nature {
    /// Calls a second that the list tells of: the limit, if there is one.
    pub fn listed(&self) -> f64 {
        self.limit.as_ref().map_or(self.rate, Limit::rate)
    }
}

/// What is wrong with a partner for a while.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// Calls are never answered.
    Hang,
    /// Calls fail at once.
    Fail,
    /// Calls are turned away, without a wait told.
    Shut,
    /// Calls are turned away, told to wait until it opens.
    ShutTold,
    /// Calls take ten times as long.
    Slow,
    /// Connections are refused.
    Refuse,
    /// Calls run and their connections break.
    LoseAnswers,
    /// It is gone; what was open breaks, and it starts cold afterwards. Connections are refused.
    Down,
    /// It works at a tenth of its rate.
    Tenth,
    /// Two fifths of its limit are left.
    Lowered,
}

/// What a partner makes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// Answered as delivered after so long.
    Served(Duration),
    /// Answered as failed at once; it has run.
    Failed,
    /// Turned away, with the wait told.
    Full(Option<Duration>),
    /// It has run, and the connection breaks.
    Lost,
    /// Never answered.
    Silent,
}

/// One endpoint of a partner.
pub struct Partner {
    pub nature: Nature,
    random: StdRng,
    latency: LogNormal<f64>,
    /// When it last started; what it was before the experiment is warm.
    started: Option<At>,
    /// Calls that wait to be worked off, and when that was last reckoned.
    backlog: f64,
    reckoned: At,
    /// Calls of the present span, and its number.
    span: (u64, u32),
    /// The latest calls, as many as the limit allows in its span, where refused ones count.
    latest: VecDeque<At>,
    /// What is wrong, from when until when.
    trouble: Option<(Trouble, At, At)>,
    fallen: Option<At>,
    /// Calls of the last `fall_s`, while it is cold.
    recent: VecDeque<At>,
    /// How often it fell over.
    pub falls: u32,
    pub offered: u64,
    pub served: u64,
}

impl Partner {
    pub fn new(nature: Nature, seed: u64) -> Self {
        let latency = LogNormal::new((nature.latency_ms / 1000.0).max(1e-6).ln(), nature.spread.max(0.0));
        Partner {
            nature,
            random: StdRng::seed_from_u64(seed),
            latency: latency.expect("a finite spread that is not negative"),
            started: None,
            backlog: 0.0,
            reckoned: At::ZERO,
            span: (0, 0),
            latest: VecDeque::new(),
            trouble: None,
            fallen: None,
            recent: VecDeque::new(),
            falls: 0,
            offered: 0,
            served: 0,
        }
    }

    /// Something is wrong from now on until then.
    pub fn begin(&mut self, trouble: Trouble, until: At) {
        self.begin_at(trouble, At::ZERO, until);
    }

    /// Something will be wrong from then until then.
    pub fn begin_at(&mut self, trouble: Trouble, from: At, until: At) {
        self.trouble = Some((trouble, from, until));
    }

    fn trouble(&self, now: At) -> Option<Trouble> {
        self.trouble.filter(|(_, from, until)| now >= *from && now < *until).map(|(what, ..)| what)
    }

    /// Starts anew: cold, with an empty queue.
    pub fn start(&mut self, now: At) {
        (self.started, self.backlog, self.reckoned) = (Some(now), 0.0, now);
        self.recent.clear();
    }

    /// Whether connections are refused.
    pub fn is_gone(&self, now: At) -> bool {
        let gone = matches!(self.trouble(now), Some(Trouble::Refuse | Trouble::Down));
        gone || self.fallen.is_some_and(|until| now < until)
    }

    /// Calls a second that it works off just now.
    pub fn rate(&self, now: At) -> f64 {
        let warm = self.started.map_or(1.0, |started| {
            let age = now.saturating_sub(started).as_secs_f64() / self.nature.warm_s.max(1e-9);
            self.nature.cold_share + (1.0 - self.nature.cold_share) * age.min(1.0)
        });
        let share = if self.trouble(now) == Some(Trouble::Tenth) { 0.1 } else { 1.0 };
        self.nature.rate * warm * share
    }

    /// Calls a second that it takes on just now: no more than its limit allows.
    pub fn takes(&self, now: At) -> f64 {
        let limit = self.nature.limit.as_ref();
        self.rate(now).min(limit.map_or(f64::INFINITY, |l| l.rate() * self.limit_share(now)))
    }

    /// What is left of its limit just now.
    fn limit_share(&self, now: At) -> f64 {
        if self.trouble(now) == Some(Trouble::Lowered) { LOWERED } else { 1.0 }
    }

    /// Whether it started so lately that it is not warm yet.
    pub fn is_cold(&self, now: At) -> bool {
        self.started.is_some_and(|at| now < at + Duration::from_secs_f64(self.nature.warm_s))
    }

    fn reckon(&mut self, now: At) {
        let worked = self.rate(now) * now.saturating_sub(self.reckoned).as_secs_f64();
        self.backlog = (self.backlog - worked).max(0.0);
        self.reckoned = now;
    }

    /// Whether this call is one too many for a cold partner. Guards in the rules: work within `fall_s` above the
    /// multiple of what it could do in that time.
    fn falls_over(&mut self, now: At) -> bool {
        let window = Duration::from_secs_f64(self.nature.fall_s);
        while self.recent.front().is_some_and(|at| *at + window < now) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        if !self.is_cold(now) {
            return false;
        }
        let begun = now.saturating_sub(window);
        let able = (self.rate(begun) + self.rate(now)) / 2.0 * self.nature.fall_s;
        // A little slack for chance, as short windows of few calls need it.
        self.recent.len() as f64 > self.nature.fall_multiple * able + 3.0
    }

    /// A call has come in whole.
    pub fn call(&mut self, now: At) -> Fate {
        self.offered += 1;
        if let Some(until) = self.fallen
            && now >= until
        {
            self.fallen = None;
            self.start(until);
        }
        self.reckon(now);
        let trouble = self.trouble(now);
        match trouble {
            Some(Trouble::Hang) => return Fate::Silent,
            Some(Trouble::Fail) => return Fate::Failed,
            Some(Trouble::Shut) => return Fate::Full(None),
            Some(Trouble::ShutTold) => {
                let until = self.trouble.map_or(now, |(.., until)| until);
                return Fate::Full(Some(until.saturating_sub(now)));
            }
            Some(Trouble::Refuse | Trouble::Down) => return Fate::Lost,
            _ => {}
        }
        if self.fallen.is_some() {
            return Fate::Lost;
        }
        if self.falls_over(now) {
            self.falls += 1;
            self.fallen = Some(now + Duration::from_secs_f64(self.nature.fallen_s));
            return Fate::Lost;
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
                return Fate::Full(limit.told.then_some(span));
            }
        } else if let Some(limit) = &self.nature.limit {
            let number = now.as_millis() as u64 / limit.span_ms.max(1);
            let used = if self.span.0 == number { self.span.1 } else { 0 };
            if used as usize >= calls {
                let end = Duration::from_millis((number + 1) * limit.span_ms);
                return Fate::Full(limit.told.then(|| end.saturating_sub(now)));
            }
            self.span = (number, used + 1);
        }
        if self.backlog >= f64::from(self.nature.queue) {
            return Fate::Full(None);
        }
        let wait = Duration::from_secs_f64((self.backlog / self.rate(now).max(1e-6)).min(3600.0));
        self.backlog += 1.0;
        let mut own = self.latency.sample(&mut self.random);
        if trouble == Some(Trouble::Slow) {
            own *= 10.0;
        }
        self.served += 1;
        let lost = self.nature.lost;
        if trouble == Some(Trouble::LoseAnswers) || lost > 0.0 && self.random.random_bool(lost) {
            return Fate::Lost;
        }
        Fate::Served(wait + Duration::from_secs_f64(own.min(3600.0)))
    }
}

#[cfg(test)]
mod tests;
