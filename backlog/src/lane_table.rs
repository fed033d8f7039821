//! Counters of the messages in each lane. They are kept in memory and written with each batch, so that opening a
//! store reads no messages. Empty lanes take no memory.
use std::collections::{BTreeSet, HashMap};

use crate::encoding::read_u64;
use crate::message::{Lane, LaneSummary, Position, StoredMessage, UnixMillis};

/// Length of a lane's counters on disk: messages, bytes, first sequence, arrival, 8 each.
pub const COUNTERS_BYTES: usize = 32;

#[derive(Clone, Copy)]
struct Counters {
    messages: u64,
    bytes: u64,
    first_sequence: u64,
    oldest_arrival: UnixMillis,
}

/// The counters of all lanes, and the set of lanes changed since the last write.
#[derive(Default)]
pub struct LaneTable {
    lanes: HashMap<Lane, Counters>,
    changed: BTreeSet<Lane>,
    messages: u64,
}

impl LaneTable {
    /// Loads a lane's counters from their encoding; `None` if it is truncated.
    pub fn load(&mut self, lane: Lane, value: &[u8]) -> Option<()> {
        let counters = Counters {
            messages: read_u64(value)?,
            bytes: read_u64(value.get(8..)?)?,
            first_sequence: read_u64(value.get(16..)?)?,
            oldest_arrival: UnixMillis(read_u64(value.get(24..)?)?),
        };
        self.messages += counters.messages;
        self.lanes.insert(lane, counters);
        Some(())
    }

    /// Counts a message that was added to its lane.
    pub fn add(&mut self, message: &StoredMessage) {
        let position = message.position;
        let counters = self.lanes.entry(position.lane).or_insert(Counters {
            messages: 0,
            bytes: 0,
            first_sequence: position.sequence,
            oldest_arrival: message.arrived,
        });
        counters.messages += 1;
        counters.bytes += message.counted_bytes();
        if position.sequence < counters.first_sequence {
            counters.first_sequence = position.sequence;
            counters.oldest_arrival = message.arrived;
        }
        self.messages += 1;
        self.changed.insert(position.lane);
    }

    /// Counts a message that was removed from its lane. `message` is `None` if it could not be read.
    pub fn subtract(&mut self, position: Position, message: Option<&StoredMessage>) {
        let Some(counters) = self.lanes.get_mut(&position.lane) else { return };
        counters.messages -= 1;
        counters.bytes = counters.bytes.saturating_sub(message.map_or(0, StoredMessage::counted_bytes));
        if position.sequence == counters.first_sequence {
            counters.first_sequence += 1;
            counters.oldest_arrival = message.map_or(counters.oldest_arrival, |message| message.arrived);
        }
        if counters.messages == 0 {
            self.lanes.remove(&position.lane);
        }
        self.messages -= 1;
        self.changed.insert(position.lane);
    }

    /// Updates the lower bound of a lane's sequences after its first message was read.
    pub fn advance_first(&mut self, first: &StoredMessage) {
        if let Some(counters) = self.lanes.get_mut(&first.position.lane)
            && counters.first_sequence < first.position.sequence
        {
            counters.first_sequence = first.position.sequence;
            counters.oldest_arrival = first.arrived;
        }
    }

    /// A lower bound of the sequences in the lane; `None` if the lane is empty.
    pub fn first_sequence(&self, lane: Lane) -> Option<u64> {
        self.lanes.get(&lane).map(|counters| counters.first_sequence)
    }

    /// Number of messages in all lanes.
    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// The lanes that changed since the last call, with their encoded counters; `None` for a lane that is empty
    /// now.
    pub fn take_changed(&mut self) -> Vec<(Lane, Option<[u8; COUNTERS_BYTES]>)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|lane| (lane, self.lanes.get(&lane).map(Counters::value))).collect()
    }

    /// Summaries of all non-empty lanes, in order of lanes.
    pub fn summaries(&self) -> Vec<LaneSummary> {
        let summary = |(lane, counters): (&Lane, &Counters)| LaneSummary {
            lane: *lane,
            messages: counters.messages,
            bytes: counters.bytes,
            first_sequence: counters.first_sequence,
            oldest_arrival: counters.oldest_arrival,
        };
        let mut summaries: Vec<LaneSummary> = self.lanes.iter().map(summary).collect();
        summaries.sort_unstable_by_key(|summary| summary.lane);
        summaries
    }
}

impl Counters {
    fn value(&self) -> [u8; COUNTERS_BYTES] {
        let numbers = [self.messages, self.bytes, self.first_sequence, self.oldest_arrival.0];
        let mut value = [0; COUNTERS_BYTES];
        for (part, number) in value.chunks_exact_mut(8).zip(numbers) {
            part.copy_from_slice(&number.to_be_bytes());
        }
        value
    }
}
