//! When the bytes of one direction of a connection are delivered, by the faults of the link: late, more than once, or not at all.
//!
//! Chunks keep their order among themselves. Copies do not: each is delivered at its own time, between any two chunks.
use rand::Rng;
use rand::rngs::StdRng;
use std::time::Duration;
use tokio::time::Instant;

use super::Direction;

/// Bytes to be delivered at a time; the earliest comes first, and of several at one time the one that was read first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Delivery {
    pub at: Instant,
    number: u64,
    pub is_copy: bool,
    pub bytes: Vec<u8>,
}

/// Draws the deliveries of the chunks that are read from a connection.
pub struct Deliveries {
    random: StdRng,
    last: Instant,
    number: u64,
}

impl Deliveries {
    pub fn new(random: StdRng) -> Self {
        Deliveries { random, last: Instant::now(), number: 0 }
    }

    /// The deliveries of a chunk that was just read: none if it is lost, and two if it is repeated.
    pub fn of(&mut self, chunk: Vec<u8>, direction: &Direction) -> Vec<Delivery> {
        if direction.lose > 0.0 && self.random.random_bool(direction.lose.min(1.0)) {
            return Vec::new();
        }
        let jitter = self.part_of(direction.jitter);
        // Bytes keep their order, and limited throughput adds transmission time to each chunk.
        let transmission = chunk.len() as f64
            / if direction.bytes_per_s == 0 { f64::INFINITY } else { direction.bytes_per_s as f64 };
        let earliest = self.last + Duration::from_secs_f64(transmission);
        self.last = (Instant::now() + direction.delay + jitter).max(earliest);
        let copy = self.copy_of(&chunk, direction);
        let delivery = self.delivery(self.last, chunk, false);
        std::iter::once(delivery).chain(copy).collect()
    }

    fn copy_of(&mut self, chunk: &[u8], direction: &Direction) -> Option<Delivery> {
        let repeat = direction.repeat;
        if repeat.one_in == 0 || !self.random.random_ratio(1, repeat.one_in) {
            return None;
        }
        let at = self.last + repeat.delay + self.part_of(repeat.jitter);
        let length = if repeat.torn { self.random.random_range(1..=chunk.len()) } else { chunk.len() };
        Some(self.delivery(at, chunk[..length].to_vec(), true))
    }

    fn part_of(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random::<f64>())
    }

    fn delivery(&mut self, at: Instant, bytes: Vec<u8>, is_copy: bool) -> Delivery {
        self.number += 1;
        Delivery { at, number: self.number, is_copy, bytes }
    }
}
