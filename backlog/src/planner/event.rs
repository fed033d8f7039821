//! What the planner is told, and what it asks for.
use std::time::Duration;

use super::settings::Settings;
use crate::message::{ClassNumber, Lane};

/// The caller's own number of a message that has just arrived; the planner hands it back and forgets it.
pub type ArrivalId = u64;

/// How a message left the relay's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The destination took it.
    Delivered,
    /// The decision module turned it away on arrival.
    Refused,
    /// It failed, by its destination's answer or by its class's rules.
    Failed,
    /// Its time ended, or another message took its place.
    Ended,
}

/// Why the store did not take a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The quota or the disk is used up.
    Full,
    /// A write failed.
    Failing,
}

/// What waits on disk in a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneCount {
    /// The lane.
    pub lane: Lane,
    /// Its messages.
    pub messages: u64,
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The store is open: what waits in it, and in what time the first of it ends. May be told in parts.
    Opened {
        /// Lanes with a message, each told once.
        lanes: Vec<LaneCount>,
        /// Time until the earliest deadline.
        earliest_deadline_in: Option<Duration>,
    },
    /// A client hands a message in.
    Arrived {
        /// The caller's number of it.
        arrival: ArrivalId,
        /// Its lane.
        lane: Lane,
        /// Time until its deadline.
        time_left: Duration,
    },
    /// The store has these messages of a lane, durably.
    Stored {
        /// The lane.
        lane: Lane,
        /// How many, all of them spilled before.
        count: u32,
    },
    /// The store did not take these messages of a lane; the caller refuses them.
    StoreFailed {
        /// The lane.
        lane: Lane,
        /// How many.
        count: u32,
        /// Why.
        fault: StoreFault,
    },
    /// Spilled messages of a lane were not to be stored after all: one with the same id waits, or the client is gone.
    SpillDropped {
        /// The lane.
        lane: Lane,
        /// How many.
        count: u32,
    },
    /// Messages have left the disk otherwise than by a fetch or at their end: another took their place, say.
    RemovedFromDisk {
        /// The lane.
        lane: Lane,
        /// How many.
        count: u64,
    },
    /// A fetch is done: its messages are in memory, in order, and no longer on disk.
    Fetched {
        /// The lane.
        lane: Lane,
        /// How many there were.
        count: u32,
        /// The lane had no more when it was read.
        exhausted: bool,
    },
    /// A fetch could not be carried out; nothing of it is in memory.
    FetchFailed {
        /// The lane.
        lane: Lane,
    },
    /// A message has left the memory for good.
    LeftMemory {
        /// Its destination.
        destination: u64,
        /// How.
        outcome: Outcome,
    },
    /// An attempt failed, and its message stays in memory.
    AttemptFailed {
        /// The destination.
        destination: u64,
    },
    /// How many of a destination's messages are out in a call just now.
    CallsInFlight {
        /// The destination.
        destination: u64,
        /// The messages.
        count: u32,
    },
    /// A destination told when to come back.
    BackoffRequested {
        /// The destination.
        destination: u64,
        /// When, on the clock of `now`.
        until: Duration,
    },
    /// A destination is known to be back, by discovery or another instance.
    DestinationRecovered {
        /// The destination.
        destination: u64,
    },
    /// These are on disk again, at their old places: as `Evict` asked, or because they can't go soon.
    Evicted {
        /// The destination.
        destination: u64,
        /// Messages given back, by class; empty if all are out in calls.
        returned: Vec<(ClassNumber, u32)>,
    },
    /// A slice of the deadline index was read, and the ends of what it had were told.
    ExpiredRead {
        /// What is no longer on disk.
        expired: Vec<LaneCount>,
        /// There are further messages whose time is over.
        more: bool,
        /// Time until the earliest deadline that is still ahead.
        earliest_deadline_in: Option<Duration>,
    },
    /// The read of the deadline index failed.
    ExpiredReadFailed,
    /// Bytes that the store uses, and its quota.
    Usage {
        /// Used.
        used: u64,
        /// The quota.
        quota: u64,
    },
    /// The store takes messages again, as a probe showed.
    StoreRecovered,
    /// The settings have changed.
    SettingsChanged(Settings),
    /// Time has passed: `next_deadline` is reached.
    Tick,
}

/// What the caller does, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The message goes to the decision module, in memory.
    AdmitToMemory {
        /// The caller's number.
        arrival: ArrivalId,
    },
    /// The message goes to the store.
    Spill {
        /// The caller's number.
        arrival: ArrivalId,
        /// Its lane.
        lane: Lane,
    },
    /// The message is refused at once.
    Refuse {
        /// The caller's number.
        arrival: ArrivalId,
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: RefusalReason,
    },
    /// The lane's first messages are read from disk into memory.
    Fetch {
        /// The lane.
        lane: Lane,
        /// How many at most.
        limit: u32,
    },
    /// The destination's messages that are not out in a call are put back on disk.
    Evict {
        /// The destination.
        destination: u64,
    },
    /// A slice of the messages whose time is over is read, told and removed.
    ReadExpired {
        /// How many at most.
        limit: u32,
    },
    /// The store is tried with a write of its own.
    ProbeStore,
    /// What the store is taken for has changed: a line for the log.
    HealthChanged {
        /// What it is taken for now.
        health: StoreHealth,
    },
}

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// What waits ahead of it takes longer than its time.
    TooLate,
    /// The store takes nothing: full, failing or slow.
    Store(StoreHealth),
    /// Too many messages are on their way to the disk.
    Busy,
}

/// What the store is taken for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreHealth {
    /// It answers.
    #[default]
    Healthy,
    /// It has left something unanswered for half a second.
    Slow,
    /// Its quota or disk is used up.
    Full,
    /// A write failed.
    Failed,
}
