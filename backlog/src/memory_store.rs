//! A store in memory that fails as it is told to: the double of a store on disk for tests.
//!
//! A [`MemoryDisk`] is what outlasts a crash; a [`MemoryStore`] is a process's view of it. Every call of the trait that
//! can fail is an operation with a number, counted from zero over the disk's whole life, so that a test can run a
//! scenario once, read the number of its operations, and run it again with a fault at each of them.
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::message::{
    ClassNumber, Lane, LaneSummary, NewMessage, Position, StoredMessage, UnixMillis, Usage,
};
use crate::store::{BacklogStore, Corruption, StoreError};

#[cfg(test)]
mod tests;

/// What goes wrong with one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with [`StoreError::Io`] and does nothing.
    Error,
    /// It fails with [`StoreError::Io`] after all of it was done.
    ErrorAfter,
    /// It fails with [`StoreError::Full`] and does nothing. Only operations that need room can fail so; others succeed.
    Full,
    /// It takes this much longer, then succeeds.
    Stall(Duration),
    /// The process is killed before it: this and all later calls of the same store fail with [`StoreError::Closed`].
    CrashBefore,
    /// The process is killed after it was done, before the caller learns of it.
    CrashAfter,
}

/// The state that outlasts the process, and the faults planned. Clones are the same disk.
#[derive(Clone, Default)]
pub struct MemoryDisk(Arc<Mutex<Contents>>);

#[derive(Default)]
struct Contents {
    messages: BTreeMap<Position, StoredMessage>,
    deadlines: BTreeSet<(UnixMillis, Position)>,
    ids: HashMap<Box<str>, Position>,
    classes: Vec<Box<str>>,
    next_sequence: u64,
    unreadable: BTreeSet<Position>,
    corruptions: Vec<Corruption>,
    operations: u64,
    faults: BTreeMap<u64, Fault>,
    limit: Option<u64>,
    generation: u64,
}

impl MemoryDisk {
    /// Opens the store that the next process sees; those opened before are closed.
    pub fn open(&self) -> MemoryStore {
        let mut contents = self.contents();
        contents.generation += 1;
        contents.corruptions.clear();
        MemoryStore { disk: self.clone(), generation: contents.generation }
    }

    /// Plans a fault for the operation with this number.
    pub fn inject_fault(&self, operation: u64, fault: Fault) {
        self.contents().faults.insert(operation, fault);
    }

    /// How many operations there were.
    pub fn operations(&self) -> u64 {
        self.contents().operations
    }

    /// From now on an append beyond this many bytes fails with [`StoreError::Full`]; `None` lifts it.
    pub fn limit_bytes(&self, limit: Option<u64>) {
        self.contents().limit = limit;
    }

    /// Makes the message at `place` unreadable: it is reported and passed over.
    pub fn corrupt(&self, position: Position) {
        self.contents().unreadable.insert(position);
    }

    /// All messages that wait, without counting as an operation.
    pub fn messages(&self) -> Vec<StoredMessage> {
        self.contents().messages.values().cloned().collect()
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Contents {
    fn insert(&mut self, message: StoredMessage) {
        self.take_out(message.position);
        self.deadlines.insert((message.deadline, message.position));
        self.ids.insert(message.id.clone(), message.position);
        self.next_sequence = self.next_sequence.max(message.position.sequence + 1);
        self.messages.insert(message.position, message);
    }

    fn take_out(&mut self, position: Position) {
        self.unreadable.remove(&position);
        let Some(message) = self.messages.remove(&position) else { return };
        self.deadlines.remove(&(message.deadline, position));
        if self.ids.get(&message.id) == Some(&position) {
            self.ids.remove(&message.id);
        }
    }

    /// The message at a place, unless it is damaged.
    fn read(&mut self, position: Position) -> Option<StoredMessage> {
        if self.unreadable.contains(&position) {
            let (location, cause) = (format!("{position:?}"), "made unreadable".to_owned());
            let damage = Corruption { position: Some(position), location, cause };
            if !self.corruptions.contains(&damage) {
                self.corruptions.push(damage);
            }
            return None;
        }
        self.messages.get(&position).cloned()
    }

    fn bytes(&self) -> u64 {
        self.messages.values().map(StoredMessage::counted_bytes).sum()
    }
}

/// A process's view of a [`MemoryDisk`].
pub struct MemoryStore {
    disk: MemoryDisk,
    generation: u64,
}

impl MemoryStore {
    /// Runs one operation with the fault that is planned for it.
    fn operate<T>(
        &self,
        needs_room: bool,
        act: impl FnOnce(&mut Contents) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let mut contents = self.disk.contents();
        if contents.generation != self.generation {
            return Err(StoreError::Closed);
        }
        let operation = contents.operations;
        contents.operations += 1;
        let fault = contents.faults.remove(&operation);
        if let Some(Fault::Stall(time)) = fault {
            drop(contents);
            std::thread::sleep(time);
            contents = self.disk.contents();
        }
        match fault {
            Some(Fault::Error) => return Err(failed()),
            Some(Fault::Full) if needs_room => {
                let used = contents.bytes();
                return Err(StoreError::Full { used, limit: used });
            }
            Some(Fault::CrashBefore) => {
                contents.generation += 1;
                return Err(StoreError::Closed);
            }
            _ => {}
        }
        let outcome = act(&mut contents);
        match fault {
            Some(Fault::ErrorAfter) => Err(failed()),
            Some(Fault::CrashAfter) => {
                contents.generation += 1;
                Err(StoreError::Closed)
            }
            _ => outcome,
        }
    }
}

fn failed() -> StoreError {
    io::Error::other("a planned fault").into()
}

impl BacklogStore for MemoryStore {
    fn append(&mut self, messages: &[NewMessage]) -> Result<Vec<Position>, StoreError> {
        self.operate(true, |contents| {
            let used = contents.bytes();
            let more: u64 =
                messages.iter().map(|message| (message.id.len() + message.payload.len()) as u64).sum();
            if let Some(limit) = contents.limit.filter(|limit| used + more > *limit) {
                return Err(StoreError::Full { used, limit });
            }
            let position = |message: &NewMessage| {
                let stored = message.stored_at(contents.next_sequence);
                let position = stored.position;
                contents.insert(stored);
                position
            };
            Ok(messages.iter().map(position).collect())
        })
    }

    fn put_back(&mut self, messages: &[StoredMessage]) -> Result<(), StoreError> {
        self.operate(true, |contents| {
            messages.iter().for_each(|message| contents.insert(message.clone()));
            Ok(())
        })
    }

    fn fetch(&self, lane: Lane, after: Option<u64>, limit: usize) -> Result<Vec<StoredMessage>, StoreError> {
        self.operate(false, |contents| {
            let first = after.map_or(0, |after| after.saturating_add(1));
            let range = Position { lane, sequence: first }..=Position { lane, sequence: u64::MAX };
            let positions: Vec<Position> =
                contents.messages.range(range).map(|(position, _)| *position).collect();
            Ok(positions.into_iter().filter_map(|position| contents.read(position)).take(limit).collect())
        })
    }

    fn remove(&mut self, positions: &[Position]) -> Result<(), StoreError> {
        self.operate(false, |contents| {
            positions.iter().for_each(|position| contents.take_out(*position));
            Ok(())
        })
    }

    fn due(&self, until: UnixMillis, limit: usize) -> Result<Vec<StoredMessage>, StoreError> {
        self.operate(false, |contents| {
            let due = contents.deadlines.iter().take_while(|(deadline, _)| *deadline <= until);
            let positions: Vec<Position> = due.map(|(_, position)| *position).collect();
            Ok(positions.into_iter().filter_map(|position| contents.read(position)).take(limit).collect())
        })
    }

    fn find(&self, id: &str) -> Result<Option<Position>, StoreError> {
        self.operate(false, |contents| {
            let found = contents.ids.get(id).copied();
            Ok(found.filter(|position| contents.read(*position).is_some()))
        })
    }

    fn class(&mut self, name: &str) -> Result<ClassNumber, StoreError> {
        self.operate(true, |contents| {
            let found = contents.classes.iter().position(|class| &**class == name);
            let index = found.unwrap_or_else(|| {
                contents.classes.push(name.into());
                contents.classes.len() - 1
            });
            u16::try_from(index).map(ClassNumber).map_err(|_| StoreError::TooLarge("more classes"))
        })
    }

    fn class_names(&self) -> Result<Vec<Box<str>>, StoreError> {
        self.operate(false, |contents| Ok(contents.classes.clone()))
    }

    fn lanes(&self) -> Result<Vec<LaneSummary>, StoreError> {
        self.operate(false, |contents| {
            let mut lanes: Vec<LaneSummary> = Vec::new();
            for (position, message) in &contents.messages {
                match lanes.last_mut() {
                    Some(lane) if lane.lane == position.lane => {
                        lane.messages += 1;
                        lane.bytes += message.counted_bytes();
                        lane.oldest_arrival = lane.oldest_arrival.min(message.arrived);
                    }
                    _ => lanes.push(LaneSummary {
                        lane: position.lane,
                        messages: 1,
                        bytes: message.counted_bytes(),
                        first_sequence: position.sequence,
                        oldest_arrival: message.arrived,
                    }),
                }
            }
            Ok(lanes)
        })
    }

    fn usage(&self) -> Usage {
        let contents = self.disk.contents();
        Usage { disk_bytes: contents.bytes(), messages: contents.messages.len() as u64 }
    }

    fn corruptions(&self) -> Vec<Corruption> {
        self.disk.contents().corruptions.clone()
    }
}
