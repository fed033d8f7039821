//! What every other file of the module is written in: spans as seconds, and what is judged as one.
use crate::interface::{DestId, EndpointId, Nanos};

pub const SECOND: Nanos = 1_000_000_000;

/// What is predicted, limited and judged as one: a destination, or a route where routes are apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnitId {
    Dest(DestId),
    Route(EndpointId),
}

pub fn secs(t: Nanos) -> f64 {
    t as f64 / SECOND as f64
}

pub fn nanos(s: f64) -> Nanos {
    (s.clamp(0.0, 4000.0) * SECOND as f64) as Nanos
}
