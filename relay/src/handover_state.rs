//! The state that a process of the relay hands to its successor in an upgrade: plain values, as they are serialized.
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::job::{Answer, Outcome};
use crate::journal::Key;

/// All that is handed over besides the journal, which holds the jobs themselves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The generation of the list of execute nodes, if a list was received.
    pub generation: Option<u64>,
    pub nodes: Vec<ListedNode>,
    /// Requested waits that are not over yet.
    pub waits: Vec<RequestedWait>,
    pub learned: Vec<LearnedDestination>,
    /// The most recent answers to submitters, by message ID.
    pub recent: Vec<(String, Answer)>,
    /// Jobs with a claim in flight, whose outcome the process that made the claim will report.
    pub in_flight: Vec<Key>,
    /// Submitters are being sent to other relays (the `drain` operation).
    pub drained: bool,
}

/// An execute node as the list has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedNode {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub dest: u64,
    pub serving: bool,
    pub weight: Option<f64>,
    /// When it last started, as Unix time in milliseconds; 0 if long ago.
    pub started_ms: u64,
    /// When an operator last enabled it again, in the same form.
    pub reenabled_ms: u64,
}

/// A wait that a destination requested, or one node of it where nodes are separate routes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestedWait {
    pub dest: u64,
    pub node: Option<String>,
    pub left: Duration,
}

/// What the decision module learned of a destination or route, with nodes by name; see [`slatethread::DestinationSnapshot`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedDestination {
    pub dest: u64,
    pub route: Option<String>,
    /// Remaining time for which it asked not to be called.
    pub retry_after_left: Duration,
    /// Number of calls that may be in flight at once.
    pub window: f64,
    /// Calls per second; infinite if no limit was found.
    pub rate: f64,
    /// Time since the rate was last reduced.
    pub rate_cut_ago: Option<Duration>,
    /// Highest rate, in calls per second, that it served without a refusal.
    pub proven_rate: f64,
    /// Lowest latency, in seconds, if one was measured.
    pub min_latency: Option<f64>,
    /// Latest latency, in seconds.
    pub latest_latency: f64,
    /// Mean latency, in seconds.
    pub mean_latency: f64,
    pub answered_ago: Duration,
    /// Messages per second that arrived for it.
    pub demand: f64,
    pub nodes: Vec<LearnedNode>,
}

/// What the decision module learned of an execute node; see [`slatethread::EndpointSnapshot`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedNode {
    pub name: String,
    /// It is in outage.
    pub down: bool,
    /// Time since it began to answer again after an outage.
    pub returning_ago: Option<Duration>,
    /// Time since it was last up.
    pub unhealthy_ago: Duration,
    /// Moving average of its failures.
    pub failure_average: f64,
    /// Time until its next trial call.
    pub next_trial_in: Duration,
    /// Time since it last served a call.
    pub served_ago: Option<Duration>,
}

/// A claim that was in flight when its job was handed over has completed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedClaim {
    pub key: Key,
    pub outcome: Outcome,
    pub node: String,
}
