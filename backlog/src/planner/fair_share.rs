//! Start-time fair queueing over the classes of one destination.
//!
//! The next message of a lane has the start tag `max(virtual time, finish tag of the lane's last message)` and the
//! finish tag `start + 1 / weight`. The waiting lane with the lowest start tag is served, and its start tag becomes
//! the virtual time. Two lanes that both wait throughout are therefore served in the ratio of their weights, to
//! within one message each, whatever the other lanes do. An idle lane accumulates neither credit nor debt.
use super::settings::Settings;
use crate::message::ClassNumber;

/// Maximum number of rounds over which a refill is split; each round serves one message or more.
const MAX_SPLIT_ROUNDS: u32 = 64;

/// The planner's state of one lane.
#[derive(Clone, Debug)]
pub struct LaneState {
    /// The class.
    pub class: ClassNumber,
    /// Messages on their way to the disk.
    pub pending: u32,
    /// Messages requested by a fetch in flight.
    pub requested: u32,
    /// Messages on disk.
    pub on_disk: u64,
    /// Messages stored since the fetch was requested.
    pub stored_since_fetch: u64,
    /// Finish tag of the last message served.
    finish: f64,
}

impl LaneState {
    /// Creates an empty lane.
    pub fn new(class: ClassNumber) -> LaneState {
        LaneState { class, pending: 0, requested: 0, on_disk: 0, stored_since_fetch: 0, finish: 0.0 }
    }

    /// True if no messages of the lane are on disk or between disk and memory, so that the next one may go straight
    /// to memory.
    pub fn is_clear(&self) -> bool {
        self.pending == 0 && self.requested == 0 && self.on_disk == 0
    }

    fn start(&self, virtual_time: f64) -> f64 {
        self.finish.max(virtual_time)
    }
}

/// The lanes of one destination, and the virtual time that orders them.
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    /// Lanes, sorted by class.
    pub lanes: Vec<LaneState>,
    virtual_time: f64,
}

impl FairShare {
    /// The lane of a class, created if there is none.
    pub fn lane(&mut self, class: ClassNumber) -> &mut LaneState {
        let index = match self.lanes.binary_search_by_key(&class, |lane| lane.class) {
            Ok(index) => index,
            Err(index) => {
                self.lanes.reserve_exact(1);
                self.lanes.insert(index, LaneState::new(class));
                index
            }
        };
        &mut self.lanes[index]
    }

    /// Messages on disk in all lanes.
    pub fn on_disk(&self) -> u64 {
        self.lanes.iter().map(|lane| lane.on_disk).sum()
    }

    /// Splits a refill over the waiting lanes: the number of messages to fetch per class. The order of service
    /// within the refill is not kept.
    pub fn split(&mut self, room: u32, settings: &Settings) -> Vec<(ClassNumber, u32)> {
        let mut granted = vec![0_u32; self.lanes.len()];
        let quantum = room.div_ceil(MAX_SPLIT_ROUNDS).max(1);
        let mut remaining = room;
        while remaining > 0 {
            let waiting = |index: usize| self.lanes[index].on_disk > u64::from(granted[index]);
            let Some(index) = self.next_lane(waiting) else { break };
            let available = self.lanes[index].on_disk - u64::from(granted[index]);
            let count = u64::from(quantum.min(remaining)).min(available) as u32;
            self.charge(index, count, settings);
            granted[index] += count;
            remaining -= count;
        }
        let classes = self.lanes.iter().map(|lane| lane.class);
        classes.zip(granted).filter(|(_, count)| *count > 0).collect()
    }

    /// Admits an arrival straight to memory, ahead of lanes that wait on disk, if its start tag is not greater than
    /// theirs. An admitted message is charged to its lane.
    pub fn try_admit(&mut self, class: ClassNumber, settings: &Settings) -> bool {
        self.lane(class);
        let Some(first) = self.next_lane(|index| self.lanes[index].on_disk > 0) else { return true };
        let first_start = self.lanes[first].start(self.virtual_time);
        let Some(index) = self.lanes.iter().position(|lane| lane.class == class) else { return true };
        let granted = self.lanes[index].start(self.virtual_time) <= first_start;
        if granted {
            self.charge(index, 1, settings);
        }
        granted
    }

    /// The number of waiting messages that would be served before a new one of the class, if nothing else arrived.
    pub fn ahead(&mut self, class: ClassNumber, settings: &Settings) -> f64 {
        let lane = self.lane(class);
        let own = lane.on_disk + u64::from(lane.pending);
        let rounds = (own + 1) as f64 / settings.weight(class);
        let others = self.lanes.iter().filter(|lane| lane.class != class);
        let share = |lane: &LaneState| {
            let waiting = (lane.on_disk + u64::from(lane.pending)) as f64;
            waiting.min(rounds * settings.weight(lane.class))
        };
        own as f64 + others.map(share).sum::<f64>()
    }

    fn next_lane(&self, waits: impl Fn(usize) -> bool) -> Option<usize> {
        let start = |index: &usize| self.lanes[*index].start(self.virtual_time);
        (0..self.lanes.len()).filter(|index| waits(*index)).min_by(|a, b| start(a).total_cmp(&start(b)))
    }

    fn charge(&mut self, index: usize, count: u32, settings: &Settings) {
        let lane = &mut self.lanes[index];
        let start = lane.start(self.virtual_time);
        lane.finish = start + f64::from(count) / settings.weight(lane.class);
        self.virtual_time = start;
    }
}
