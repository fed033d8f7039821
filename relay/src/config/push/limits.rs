//! The section `[limits]`: limits of the push front.
use serde::{Deserialize, Serialize};

use crate::config::errors::ConfigErrors;

/// Upper bound of `step_ms`. A drain must be noticed by the next round, and nothing new may be sent to a draining node half
/// a second later.
const MAX_STEP_MS: u64 = 100;

/// The section as it is written.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsTable {
    /// Number of relays that share the gateways, including this one.
    pub relays: u32,
    /// Maximum number of claims in flight.
    pub slots: u32,
    /// Maximum number of jobs, queued or in flight.
    pub jobs: u32,
    /// Maximum number of claims for one job.
    pub tries: u32,
    pub dial_timeout_ms: u64,
    pub idle_close_ms: u64,
    pub longest_backoff_ms: u64,
    /// Minimum interval between two rounds of the decision module; events that arrive in between are handled together.
    pub step_ms: u64,
}

impl Default for LimitsTable {
    fn default() -> Self {
        LimitsTable {
            relays: 1,
            slots: 64,
            jobs: 512,
            tries: 8,
            dial_timeout_ms: 1500,
            idle_close_ms: 60_000,
            longest_backoff_ms: 3000,
            step_ms: 5,
        }
    }
}

impl LimitsTable {
    /// Validates the interval between rounds.
    pub(super) fn check_step(&self, errors: &mut ConfigErrors) {
        if !(1..=MAX_STEP_MS).contains(&self.step_ms) {
            errors.add("limits.step_ms", format!("must be from 1 to {MAX_STEP_MS}"));
        }
    }
}
