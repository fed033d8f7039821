//! The events that the planner receives, and the actions that it requests.
use std::time::Duration;

use super::settings::Settings;
use crate::message::{ClassNumber, Lane};

/// The caller's number for a message that has just arrived. The planner returns it in an action and does not keep
/// it.
pub type ArrivalId = u64;

/// How a message was removed from the relay's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The destination accepted it.
    Delivered,
    /// The decision module refused it on arrival.
    Refused,
    /// It failed, because of the destination's response or the rules of its class.
    Failed,
    /// It expired, or another message replaced it.
    Ended,
}

/// Why the store did not accept a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The quota or the disk is exhausted.
    Full,
    /// A write failed.
    Failing,
}

/// The number of messages on disk in a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneCount {
    /// The lane.
    pub lane: Lane,
    /// Its number of messages.
    pub messages: u64,
}

/// An event.
#[derive(Clone, Debug)]
pub enum Event {
    /// The store is open. The contents may be split over several events.
    Opened {
        /// Non-empty lanes, each reported once.
        lanes: Vec<LaneCount>,
        /// Time until the earliest deadline.
        earliest_deadline_in: Option<Duration>,
    },
    /// A client submits a message.
    Arrived {
        /// The caller's number for it.
        arrival: ArrivalId,
        /// Its lane.
        lane: Lane,
        /// Time until its deadline.
        time_left: Duration,
    },
    /// The store has stored these messages of a lane durably.
    Stored {
        /// The lane.
        lane: Lane,
        /// How many; all of them were spilled before.
        count: u32,
    },
    /// The store did not accept these messages of a lane; the caller refuses them.
    StoreFailed {
        /// The lane.
        lane: Lane,
        /// How many.
        count: u32,
        /// Why.
        fault: StoreFault,
    },
    /// Spilled messages of a lane were not stored after all: one with the same id waits already, or the client has
    /// disconnected.
    SpillDropped {
        /// The lane.
        lane: Lane,
        /// How many.
        count: u32,
    },
    /// Messages were removed from disk other than by a fetch or on expiry, for example because another message
    /// replaced them.
    RemovedFromDisk {
        /// The lane.
        lane: Lane,
        /// How many.
        count: u64,
    },
    /// A fetch is complete: its messages are in memory, in order, and no longer on disk.
    Fetched {
        /// The lane.
        lane: Lane,
        /// How many messages were fetched.
        count: u32,
        /// The lane had no further messages when it was read.
        exhausted: bool,
    },
    /// A fetch failed; none of its messages are in memory.
    FetchFailed {
        /// The lane.
        lane: Lane,
    },
    /// A message was removed from memory for good.
    LeftMemory {
        /// Its destination.
        destination: u64,
        /// How it was removed.
        outcome: Outcome,
    },
    /// An attempt failed, and its message stays in memory.
    AttemptFailed {
        /// The destination.
        destination: u64,
    },
    /// The number of a destination's messages that are part of a call in flight.
    CallsInFlight {
        /// The destination.
        destination: u64,
        /// How many messages.
        count: u32,
    },
    /// A destination requested a backoff.
    BackoffRequested {
        /// The destination.
        destination: u64,
        /// The end of the backoff, on the clock of `now`.
        until: Duration,
    },
    /// A destination is known to be available again, from discovery or from another instance.
    DestinationRecovered {
        /// The destination.
        destination: u64,
    },
    /// Messages are back on disk at their old positions, as [`Action::Evict`] requested or because they cannot be
    /// sent soon.
    Evicted {
        /// The destination.
        destination: u64,
        /// Messages returned to disk, by class; empty if all are part of calls in flight.
        returned: Vec<(ClassNumber, u32)>,
    },
    /// A batch of the deadline index was read, and the expiry of its messages was reported.
    ExpiredRead {
        /// Messages that are no longer on disk.
        expired: Vec<LaneCount>,
        /// The index has further expired messages.
        more: bool,
        /// Time until the earliest deadline that has not passed.
        earliest_deadline_in: Option<Duration>,
    },
    /// The read of the deadline index failed.
    ExpiredReadFailed,
    /// Disk usage of the store, and its quota.
    Usage {
        /// Bytes used.
        used: u64,
        /// The quota in bytes.
        quota: u64,
    },
    /// The store accepts messages again, as shown by a probe.
    StoreRecovered,
    /// The settings have changed.
    SettingsChanged(Settings),
    /// The time returned by [`Planner::next_deadline`](super::Planner::next_deadline) has been reached.
    Tick,
}

/// An action that the caller carries out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Pass the message to the decision module; it stays in memory.
    AdmitToMemory {
        /// The caller's number.
        arrival: ArrivalId,
    },
    /// Append the message to the store.
    Spill {
        /// The caller's number.
        arrival: ArrivalId,
        /// Its lane.
        lane: Lane,
    },
    /// Refuse the message.
    Refuse {
        /// The caller's number.
        arrival: ArrivalId,
        /// When the client should retry.
        retry_after: Duration,
        /// Why.
        reason: RefusalReason,
    },
    /// Read the first messages of the lane from disk into memory.
    Fetch {
        /// The lane.
        lane: Lane,
        /// Maximum number of messages.
        limit: u32,
    },
    /// Put the destination's messages back on disk, except those that are part of a call in flight.
    Evict {
        /// The destination.
        destination: u64,
    },
    /// Read a batch of expired messages, report their expiry and remove them.
    ReadExpired {
        /// Maximum number of messages.
        limit: u32,
    },
    /// Probe the store with a write of its own.
    ProbeStore,
    /// The health of the store has changed; the caller logs it.
    HealthChanged {
        /// The new health.
        health: StoreHealth,
    },
}

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The messages ahead of it would take longer to deliver than its remaining time.
    TooLate,
    /// The store accepts nothing: it is full, failing or slow.
    Store(StoreHealth),
    /// Too many messages are on their way to the disk.
    Busy,
}

/// The state of the store, as inferred from its responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreHealth {
    /// It responds in time.
    #[default]
    Healthy,
    /// It has completed nothing for half a second although requests were outstanding.
    Slow,
    /// Its quota or the disk is exhausted.
    Full,
    /// A write failed.
    Failed,
}
