//! What one process of the relay hands to the next: plain values, in the form in which they cross.
use serde::{Deserialize, Serialize};
use std::time::Duration;

use crate::job::{Answer, Outcome};
use crate::journal::Key;

/// All that is handed over beside the journal, which holds the jobs themselves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The version of the list, if one was had.
    pub generation: Option<u64>,
    pub nodes: Vec<ListedNode>,
    /// Told waits that run on.
    pub waits: Vec<RequestedWait>,
    pub learned: Vec<LearnedUnit>,
    /// Answers given a moment ago, by id.
    pub recent: Vec<(String, Answer)>,
    /// Jobs whose claims are out and come home to the process that made them.
    pub in_flight: Vec<Key>,
    /// Clients are sent away.
    pub drained: bool,
}

/// An execute node as it is listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedNode {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub dest: u64,
    pub serving: bool,
    pub weight: Option<f64>,
    pub started_ms: u64,
    /// When it was last taken back by hand.
    pub reenabled_ms: u64,
}

/// A wait that a destination told, or a node where nodes are routes apart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestedWait {
    pub dest: u64,
    pub node: Option<String>,
    pub left: Duration,
}

/// What the module learned of a destination or route, its nodes by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedUnit {
    pub dest: u64,
    pub route: Option<String>,
    pub wait_left: Duration,
    pub window: f64,
    pub pace: f64,
    pub cut_ago: Option<Duration>,
    pub proven: f64,
    pub least: Option<f64>,
    pub recent: f64,
    pub mean: f64,
    pub answered_ago: Duration,
    pub demand: f64,
    pub nodes: Vec<LearnedNode>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedNode {
    pub name: String,
    pub down: bool,
    pub returning_ago: Option<Duration>,
    pub since_ago: Duration,
    pub bad: f64,
    pub trial_left: Duration,
    pub served_ago: Option<Duration>,
}

/// A claim that was out when its job was handed over has come home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FinishedClaim {
    pub key: Key,
    pub outcome: Outcome,
    pub node: String,
}
