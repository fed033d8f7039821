//! Generation of message arrivals. All arrivals are drawn in advance from a seed and do not depend on the
//! relay's answers (an open-loop load).
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::model::At;

/// Parameters of the load.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Messages per second over all relays.
    pub rate: f64,
    /// Rate changes: the second at which each takes effect, and the new rate.
    pub steps: Vec<(f64, f64)>,
    /// Bursts of extra messages: second, number of messages, and index of the destination.
    pub clumps: Vec<(f64, u32, usize)>,
    /// Number of destinations that receive messages, counted from the first.
    pub busy: usize,
    /// Interval in seconds at which the busy destinations change to the next `busy` ones; 0 disables it.
    pub move_s: f64,
    /// Exponent of the Zipf distribution over the busy destinations; 0 is a uniform distribution.
    pub zipf: f64,
    /// Share of messages that are ticket orders, which may run only once; the rest are notices.
    pub orders: f64,
    /// Time to live in milliseconds, for notices and for orders.
    pub notice_ms: u64,
    pub order_ms: u64,
    /// Size of a message body in bytes.
    pub body: usize,
    /// Connections from the submitters to one relay over HTTP/2. Over HTTP/1.1, connections are opened as
    /// needed.
    pub connections: usize,
    /// Spans in seconds, as start and end, during which no messages arrive.
    pub silent: Vec<(f64, f64)>,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            rate: 50.0,
            steps: Vec::new(),
            clumps: Vec::new(),
            busy: 1,
            move_s: 0.0,
            zipf: 0.0,
            orders: 0.5,
            notice_ms: 6000,
            order_ms: 12_000,
            body: 200,
            connections: 8,
            silent: Vec::new(),
        }
    }
}

/// One arriving message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: At,
    /// Index of the destination.
    pub dest: usize,
    pub order: bool,
    pub patience: Duration,
}

impl Arrival {
    /// Name of the message's class.
    pub fn class(&self) -> &'static str {
        if self.order { "order" } else { "notice" }
    }
}

/// Draws all messages of an experiment, sorted by time, for `dests` destinations.
pub fn draw(load: &Load, seconds: f64, dests: usize, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let busy = load.busy.clamp(1, dests.max(1));
    let zipf = Zipf::new(busy as f64, load.zipf.max(1e-9)).expect("at least one destination");
    let mut arrivals = Vec::new();
    let mut now = 0.0;
    loop {
        let rate = load.steps.iter().rev().find(|(at, _)| now >= *at).map_or(load.rate, |(_, rate)| *rate);
        if rate <= 0.0 {
            // The rate is zero: skip to the next step, or stop after the last one.
            match load.steps.iter().map(|(at, _)| *at).find(|at| *at > now) {
                Some(at) if at < seconds => now = at,
                _ => break,
            }
            continue;
        }
        now += Exp::new(rate).expect("a positive rate").sample(&mut random);
        if now >= seconds {
            break;
        }
        let rank = zipf.sample(&mut random) as usize - 1;
        let order = random.random::<f64>() < load.orders;
        if !load.silent.iter().any(|(from, to)| now >= *from && now < *to) {
            let shift = if load.move_s > 0.0 { (now / load.move_s) as usize * busy } else { 0 };
            arrivals.push(arrival(load, now, (rank + shift) % dests.max(1), order));
        }
    }
    for (at, messages, dest) in &load.clumps {
        arrivals.extend((0..*messages).map(|_| arrival(load, *at, *dest, true)));
    }
    arrivals.sort_by_key(|a| a.at);
    arrivals
}

fn arrival(load: &Load, at: f64, dest: usize, order: bool) -> Arrival {
    let patience = Duration::from_millis(if order { load.order_ms } else { load.notice_ms });
    Arrival { at: Duration::from_secs_f64(at), dest, order, patience }
}

#[cfg(test)]
mod tests;
