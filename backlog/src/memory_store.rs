//! A store in memory with fault injection, as a test double of the store on disk.
//!
//! A [`MemoryDisk`] is the state that survives a crash; a [`MemoryStore`] is one process's access to it. Every call
//! of the trait that can fail is an operation with a number, counted from zero over the lifetime of the disk. A
//! test can thus run a scenario once, read the number of operations, and run it again with a fault at each of them.
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

/// The fault injected into one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails with [`StoreError::Io`] and has no effect.
    Error,
    /// It fails with [`StoreError::Io`] after it took effect.
    ErrorAfter,
    /// It fails with [`StoreError::Full`] and has no effect. This applies only to operations that need space;
    /// others succeed.
    Full,
    /// It takes this much longer, then succeeds.
    Stall(Duration),
    /// The process is killed before the operation: this and all later calls of the same store fail with
    /// [`StoreError::Closed`].
    CrashBefore,
    /// The process is killed after the operation took effect, but before it returns.
    CrashAfter,
}

/// The state that survives the process, and the injected faults. Clones share the same state.
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
    /// Opens the store for the next process; stores opened before are closed.
    pub fn open(&self) -> MemoryStore {
        let mut contents = self.contents();
        contents.generation += 1;
        contents.corruptions.clear();
        MemoryStore { disk: self.clone(), generation: contents.generation }
    }

    /// Injects a fault into the operation with this number.
    pub fn inject_fault(&self, operation: u64, fault: Fault) {
        self.contents().faults.insert(operation, fault);
    }

    /// Number of operations so far.
    pub fn operations(&self) -> u64 {
        self.contents().operations
    }

    /// Makes appends beyond this many bytes fail with [`StoreError::Full`] from now on; `None` removes the limit.
    pub fn limit_bytes(&self, limit: Option<u64>) {
        self.contents().limit = limit;
    }

    /// Makes the message at `position` unreadable: it is reported and skipped.
    pub fn corrupt(&self, position: Position) {
        self.contents().unreadable.insert(position);
    }

    /// All stored messages; does not count as an operation.
    pub fn messages(&self) -> Vec<StoredMessage> {
        self.contents().messages.values().cloned().collect()
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Contents {
    fn insert(&mut self, message: StoredMessage) {
        self.remove(message.position);
        self.deadlines.insert((message.deadline, message.position));
        self.ids.insert(message.id.clone(), message.position);
        self.next_sequence = self.next_sequence.max(message.position.sequence + 1);
        self.messages.insert(message.position, message);
    }

    fn remove(&mut self, position: Position) {
        self.unreadable.remove(&position);
        let Some(message) = self.messages.remove(&position) else { return };
        self.deadlines.remove(&(message.deadline, position));
        if self.ids.get(&message.id) == Some(&position) {
            self.ids.remove(&message.id);
        }
    }

    /// The message at a position, unless it is unreadable.
    fn read(&mut self, position: Position) -> Option<StoredMessage> {
        if self.unreadable.contains(&position) {
            let (location, cause) = (format!("{position:?}"), "made unreadable".to_owned());
            let corruption = Corruption { position: Some(position), location, cause };
            if !self.corruptions.contains(&corruption) {
                self.corruptions.push(corruption);
            }
            return None;
        }
        self.messages.get(&position).cloned()
    }

    fn bytes(&self) -> u64 {
        self.messages.values().map(StoredMessage::counted_bytes).sum()
    }
}

/// One process's access to a [`MemoryDisk`].
pub struct MemoryStore {
    disk: MemoryDisk,
    generation: u64,
}

impl MemoryStore {
    /// Runs one operation, with the fault injected into it if there is one.
    fn run_operation<T>(
        &self,
        needs_space: bool,
        execute: impl FnOnce(&mut Contents) -> Result<T, StoreError>,
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
            Some(Fault::Error) => return Err(injected_error()),
            Some(Fault::Full) if needs_space => {
                let used = contents.bytes();
                return Err(StoreError::Full { used, limit: used });
            }
            Some(Fault::CrashBefore) => {
                contents.generation += 1;
                return Err(StoreError::Closed);
            }
            _ => {}
        }
        let outcome = execute(&mut contents);
        match fault {
            Some(Fault::ErrorAfter) => Err(injected_error()),
            Some(Fault::CrashAfter) => {
                contents.generation += 1;
                Err(StoreError::Closed)
            }
            _ => outcome,
        }
    }
}

fn injected_error() -> StoreError {
    io::Error::other("an injected fault").into()
}

impl BacklogStore for MemoryStore {
    fn append(&mut self, messages: &[NewMessage]) -> Result<Vec<Position>, StoreError> {
        self.run_operation(true, |contents| {
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
        self.run_operation(true, |contents| {
            messages.iter().for_each(|message| contents.insert(message.clone()));
            Ok(())
        })
    }

    fn fetch(&self, lane: Lane, after: Option<u64>, limit: usize) -> Result<Vec<StoredMessage>, StoreError> {
        self.run_operation(false, |contents| {
            let first = after.map_or(0, |after| after.saturating_add(1));
            let range = Position { lane, sequence: first }..=Position { lane, sequence: u64::MAX };
            let positions: Vec<Position> =
                contents.messages.range(range).map(|(position, _)| *position).collect();
            Ok(positions.into_iter().filter_map(|position| contents.read(position)).take(limit).collect())
        })
    }

    fn remove(&mut self, positions: &[Position]) -> Result<(), StoreError> {
        self.run_operation(false, |contents| {
            positions.iter().for_each(|position| contents.remove(*position));
            Ok(())
        })
    }

    fn due(&self, until: UnixMillis, limit: usize) -> Result<Vec<StoredMessage>, StoreError> {
        self.run_operation(false, |contents| {
            let due = contents.deadlines.iter().take_while(|(deadline, _)| *deadline <= until);
            let positions: Vec<Position> = due.map(|(_, position)| *position).collect();
            Ok(positions.into_iter().filter_map(|position| contents.read(position)).take(limit).collect())
        })
    }

    fn find(&self, id: &str) -> Result<Option<Position>, StoreError> {
        self.run_operation(false, |contents| {
            let found = contents.ids.get(id).copied();
            Ok(found.filter(|position| contents.read(*position).is_some()))
        })
    }

    fn class(&mut self, name: &str) -> Result<ClassNumber, StoreError> {
        self.run_operation(true, |contents| {
            let found = contents.classes.iter().position(|class| &**class == name);
            let index = found.unwrap_or_else(|| {
                contents.classes.push(name.into());
                contents.classes.len() - 1
            });
            u16::try_from(index).map(ClassNumber).map_err(|_| StoreError::TooLarge("more classes"))
        })
    }

    fn class_names(&self) -> Result<Vec<Box<str>>, StoreError> {
        self.run_operation(false, |contents| Ok(contents.classes.clone()))
    }

    fn lanes(&self) -> Result<Vec<LaneSummary>, StoreError> {
        self.run_operation(false, |contents| {
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
