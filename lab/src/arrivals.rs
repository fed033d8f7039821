//! When messages come, and for whom: drawn ahead from a seed, whatever becomes of them (an open loop).
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::model::At;

/// How messages come.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Messages a second, all relays together.
    pub rate: f64,
    /// Seconds at which the rate changes, with the new one.
    pub steps: Vec<(f64, f64)>,
    /// Extra messages that come at once: second, messages, and the destination's place.
    pub clumps: Vec<(f64, u32, usize)>,
    /// Destinations that get any: the first so many.
    pub busy: usize,
    /// Every so many seconds the busy ones are the next so many; 0 for never.
    pub move_s: f64,
    /// Exponent of the Zipf distribution over them; 0 is even.
    pub zipf: f64,
    /// Share of messages that are ticket orders, which may run only once; the rest are notices.
    pub orders: f64,
    /// Time that a message has, in milliseconds: notices and orders.
    pub notice_ms: u64,
    pub order_ms: u64,
    /// Bytes of a body.
    pub body: usize,
    /// Connections of the submitters of one relay, over HTTP/2; over HTTP/1.1 there are as many as are needed.
    pub connections: usize,
    /// Messages are handed in within this span of the experiment, in seconds; all of it if absent.
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

/// A message that comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: At,
    /// The destination's place among all.
    pub dest: usize,
    pub order: bool,
    pub patience: Duration,
}

impl Arrival {
    /// The name of its class.
    pub fn class(&self) -> &'static str {
        if self.order { "order" } else { "notice" }
    }
}

/// All messages of an experiment, in the order of time. `dests` is how many destinations there are.
pub fn draw(load: &Load, seconds: f64, dests: usize, seed: u64) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let busy = load.busy.clamp(1, dests.max(1));
    let zipf = Zipf::new(busy as f64, load.zipf.max(1e-9)).expect("at least one destination");
    let mut arrivals = Vec::new();
    let mut now = 0.0;
    loop {
        let rate = load.steps.iter().rev().find(|(at, _)| now >= *at).map_or(load.rate, |(_, rate)| *rate);
        if rate <= 0.0 {
            // On to the next step; after the last, nothing comes any more.
            match load.steps.iter().map(|(at, _)| *at).find(|at| *at > now) {
                Some(at) if at < seconds => now = at,
                _ => break,
            }
            continue;
        }
        now += Exp::new(rate).expect("a rate above zero").sample(&mut random);
        if now >= seconds {
            break;
        }
        let place = zipf.sample(&mut random) as usize - 1;
        let order = random.random::<f64>() < load.orders;
        if !load.silent.iter().any(|(from, to)| now >= *from && now < *to) {
            let moved = if load.move_s > 0.0 { (now / load.move_s) as usize * busy } else { 0 };
            arrivals.push(arrival(load, now, (place + moved) % dests.max(1), order));
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
