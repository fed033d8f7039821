//! Definitions shared by all modules of the crate: conversion of durations and the id of a unit.
use crate::interface::{DestId, EndpointId, Nanos};

pub const SECOND: Nanos = 1_000_000_000;

/// A unit, to which predictions and limits apply: a destination, or one route where routes have limits of
/// their own.
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
