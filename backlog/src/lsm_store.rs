//! The store on disk: an LSM tree (`fjall`) with four keyspaces that each batch changes together.
//!
//! | keyspace | key | value |
//! | --- | --- | --- |
//! | `messages` | place | [`message_value`] |
//! | `deadlines` | deadline, place | empty |
//! | `ids` | id | place |
//! | `state` | lane, `next` or `class` and a number | counters, sequence, name |
//!
//! In memory are the counters of lanes in which something waits, the write buffers and the block cache; nothing is kept
//! by message. The files are written by the thread that calls and by background threads of `fjall`.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::path::PathBuf;

use bytes::Bytes;
use fjall::{Database, Keyspace, OwnedWriteBatch, PersistMode};

use crate::encoding::{
    DEADLINE_KEY, deadline_key, lane_key, message_value, position_key, read_deadline, read_lane,
    read_message, read_position, read_u64,
};
use crate::folder;
use crate::lane_table::LaneTable;
use crate::message::{
    ClassNumber, Lane, LaneSummary, MAX_ID_BYTES, MAX_PAYLOAD_BYTES, NewMessage, Position, StoredMessage,
    UnixMillis, Usage,
};
use crate::store::{BacklogStore, Corruption, StoreError};

mod options;
#[cfg(test)]
mod tests;

use options::{
    JOURNAL_BYTES, found_by_key_options, keyspace, message_options, open_database, ordered_options,
};

/// Where a store keeps its files, and what it may use.
#[derive(Clone, Debug)]
pub struct Config {
    /// The folder, of its own for each relay.
    pub folder: PathBuf,
    /// Who the folder belongs to: a name that the relay keeps for as long as its backlog.
    pub owner: String,
    /// Bytes of memory for the cache and the write buffers.
    pub memory_bytes: u64,
    /// Bytes that the files may take. Appending stops below it by [`reserve`], which is for removals and compaction.
    pub disk_bytes: u64,
    /// Whether each batch is brought to the device (fdatasync), not only to the operating system.
    pub sync: bool,
}

/// The least of [`Config::memory_bytes`].
pub const MIN_MEMORY_BYTES: u64 = 8 << 20;
/// The least of [`Config::disk_bytes`]: the journal alone may take 64 MiB.
pub const MIN_DISK_BYTES: u64 = 256 << 20;

/// What an entry takes in a write buffer beside its value, about.
const BUFFERED_ENTRY_BYTES: u64 = 160;
/// The share of the memory that the write buffers may take before they are flushed.
const BUFFERS_SHARE: u64 = 4;
/// How much may be written before the size of the files is looked up again.
const USAGE_LOOKUP_BYTES: u64 = 4 << 20;
/// Removals grow the files, too, until compaction has worked them in; this share of the disk is kept for both.
const RESERVED_SHARE: u64 = 8;
/// More than this many unreadable places and files are counted but not listed.
const MOST_DAMAGES: usize = 1000;

/// How many places are looked at one by one where reading in order fails.
const MOST_SINGLE_READS: usize = 100_000;

const NEXT_SEQUENCE: &[u8] = b"next";
const CLASS_PREFIX: &[u8] = b"class";

/// The bytes below [`Config::disk_bytes`] that appending leaves free.
pub fn reserve(disk_bytes: u64) -> u64 {
    disk_bytes / RESERVED_SHARE
}

/// Messages that wait, in an LSM tree.
pub struct LsmStore {
    config: Config,
    database: Database,
    messages: Keyspace,
    deadlines: Keyspace,
    ids: Keyspace,
    state: Keyspace,
    lanes: RefCell<LaneTable>,
    classes: Vec<Box<str>>,
    next_sequence: u64,
    /// No message that waits has an earlier deadline.
    earliest_deadline: Cell<UnixMillis>,
    /// Deadlines without a message, to be removed with the next batch.
    stale_deadlines: RefCell<BTreeSet<[u8; DEADLINE_KEY]>>,
    corruptions: RefCell<Vec<Corruption>>,
    files_bytes: Cell<u64>,
    written_since: Cell<u64>,
    /// Bytes in the write buffers, about.
    buffered: Cell<u64>,
    /// Bytes of messages removed since the files were last compacted for room.
    removed_since: Cell<u64>,
}

impl LsmStore {
    /// Opens the backlog in a folder, or makes an empty one. Its time does not grow with the messages that wait.
    ///
    /// # Errors
    /// [`StoreError::WrongOwner`], [`StoreError::NewerFormat`], [`StoreError::NotABacklog`], [`StoreError::InUse`],
    /// [`StoreError::Corrupt`] when a file is unreadable that all depends on.
    pub fn open(config: Config) -> Result<LsmStore, StoreError> {
        let store_folder = folder::claim(&config.folder, &config.owner)?;
        let database = open_database(&store_folder, &config)?;
        let buffer = config.memory_bytes;
        let messages = keyspace(&database, "messages", || message_options(buffer))?;
        let deadlines = keyspace(&database, "deadlines", || ordered_options(buffer))?;
        let ids = keyspace(&database, "ids", || found_by_key_options(buffer))?;
        let state = keyspace(&database, "state", || found_by_key_options(buffer))?;
        let files_bytes = database.disk_space().map_err(from_fjall)?;
        // What the process before removed is not known: one compaction for room is allowed.
        let removed_since = config.disk_bytes;
        let mut store = LsmStore {
            config,
            database,
            messages,
            deadlines,
            ids,
            state,
            lanes: RefCell::default(),
            classes: Vec::new(),
            next_sequence: 0,
            earliest_deadline: Cell::default(),
            stale_deadlines: RefCell::default(),
            corruptions: RefCell::default(),
            files_bytes: Cell::new(files_bytes),
            written_since: Cell::new(0),
            buffered: Cell::new(0),
            removed_since: Cell::new(removed_since),
        };
        store.load_state()?;
        Ok(store)
    }

    fn load_state(&mut self) -> Result<(), StoreError> {
        let mut classes = Vec::new();
        for entry in self.state.iter() {
            let (key, value) = entry.into_inner().map_err(from_fjall)?;
            let known = if let Some(lane) = read_lane(&key) {
                self.lanes.get_mut().load(lane, &value)
            } else if &*key == NEXT_SEQUENCE {
                read_u64(&value).map(|next| self.next_sequence = next)
            } else if let Some(number) = key.strip_prefix(CLASS_PREFIX) {
                read_class(number, &value).map(|class| classes.push(class))
            } else {
                None
            };
            known.ok_or_else(|| damaged(format!("state, key {key:?}"), "unknown or cut off".to_owned()))?;
        }
        classes.sort();
        self.classes = classes.into_iter().map(|(_, name)| name).collect();
        Ok(())
    }

    /// Adds a message, that stands nowhere yet, to a batch.
    fn insert(&self, batch: &mut OwnedWriteBatch, message: &StoredMessage) -> u64 {
        let position = position_key(message.position);
        let value = message_value(message);
        let bytes = (2 * position.len() + value.len() + message.id.len() + DEADLINE_KEY) as u64;
        batch.insert(&self.messages, position, value);
        let deadline = deadline_key(message.deadline, message.position);
        self.stale_deadlines.borrow_mut().remove(&deadline);
        batch.insert(&self.deadlines, deadline, []);
        batch.insert(&self.ids, message.id.as_bytes(), position);
        self.earliest_deadline.set(self.earliest_deadline.get().min(message.deadline));
        bytes
    }

    /// Adds the removal of what stands at a place to a batch.
    fn take_out(&self, batch: &mut OwnedWriteBatch, position: Position) {
        let (present, message) = self.read(position);
        if !present {
            return;
        }
        batch.remove(&self.messages, position_key(position));
        if let Some(message) = &message {
            batch.remove(&self.deadlines, deadline_key(message.deadline, position));
            batch.remove(&self.ids, message.id.as_bytes());
        }
        let removed = message.as_ref().map_or(0, StoredMessage::counted_bytes);
        self.removed_since.set(self.removed_since.get() + removed);
        self.lanes.borrow_mut().subtract(position, message.as_ref());
    }

    /// Adds the removal of what `message` is to replace and would not overwrite. A batch must not remove and insert the
    /// same key: which of the two counts is not defined.
    fn make_way(&self, batch: &mut OwnedWriteBatch, message: &StoredMessage) {
        let (present, old) = self.read(message.position);
        if !present {
            return;
        }
        if let Some(old) = old.as_ref().filter(|old| old.deadline != message.deadline) {
            batch.remove(&self.deadlines, deadline_key(old.deadline, old.position));
        }
        if let Some(old) = old.as_ref().filter(|old| old.id != message.id) {
            batch.remove(&self.ids, old.id.as_bytes());
        }
        self.lanes.borrow_mut().subtract(message.position, old.as_ref());
    }

    /// Whether something stands at a place, and the message if it can be read.
    fn read(&self, position: Position) -> (bool, Option<StoredMessage>) {
        match self.messages.get(position_key(position)) {
            Ok(None) => (false, None),
            Ok(Some(value)) => (true, self.decode(position, &value)),
            Err(error) => {
                self.report_position(position, error.to_string());
                (self.lanes.borrow().first_sequence(position.lane).is_some(), None)
            }
        }
    }

    /// Copies the value: else a message in memory would keep the whole block that it was read from.
    fn decode(&self, position: Position, value: &[u8]) -> Option<StoredMessage> {
        let read = read_message(position, &Bytes::copy_from_slice(value));
        read.map_err(|cause| self.report_position(position, cause.to_owned())).ok()
    }

    fn report_position(&self, position: Position, cause: String) {
        let Lane { destination, class } = position.lane;
        let location =
            format!("destination {destination}, class {}, sequence {}", class.0, position.sequence);
        self.report(Corruption { position: Some(position), location, cause });
    }

    fn report(&self, damage: Corruption) {
        let mut corruptions = self.corruptions.borrow_mut();
        if corruptions.len() < MOST_DAMAGES && !corruptions.contains(&damage) {
            corruptions.push(damage);
        }
    }

    /// Commits a batch together with what it changed of lanes and sequences.
    fn commit(&self, mut batch: OwnedWriteBatch, bytes: u64) -> Result<(), StoreError> {
        for (lane, counters) in self.lanes.borrow_mut().take_changed() {
            match counters {
                Some(counters) => batch.insert(&self.state, lane_key(lane), counters),
                None => batch.remove(&self.state, lane_key(lane)),
            }
        }
        for key in self.stale_deadlines.take() {
            batch.remove(&self.deadlines, key);
        }
        batch.insert(&self.state, NEXT_SEQUENCE, self.next_sequence.to_be_bytes());
        let written = bytes + 48 * batch.len() as u64;
        let mode = if self.config.sync { PersistMode::SyncData } else { PersistMode::Buffer };
        let buffered = bytes + BUFFERED_ENTRY_BYTES * batch.len() as u64;
        batch.durability(Some(mode)).commit().map_err(from_failed_write)?;
        self.count_written(written);
        self.buffered.set(self.buffered.get() + buffered);
        if self.buffered.get() >= self.config.memory_bytes / BUFFERS_SHARE {
            self.flush()?;
        }
        Ok(())
    }

    /// Brings the write buffers into files and waits for it: left to itself, `fjall` keeps any number of full buffers in
    /// memory until its threads come to them.
    fn flush(&self) -> Result<(), StoreError> {
        for keyspace in [&self.messages, &self.deadlines, &self.ids, &self.state] {
            keyspace.rotate_memtable_and_wait().map_err(from_failed_write)?;
        }
        self.buffered.set(0);
        Ok(())
    }

    /// Frees what removed messages still take, if that is worth it. It reads and writes all keys, but few values.
    fn compact_if_worth_it(&self) -> Result<(), StoreError> {
        if self.removed_since.get() < reserve(self.config.disk_bytes) / 2 {
            return Ok(());
        }
        self.removed_since.set(0);
        self.flush()?;
        // The first finds which values nothing refers to any more, the second drops their files.
        for keyspace in [&self.messages, &self.messages, &self.deadlines, &self.ids] {
            keyspace.major_compact().map_err(from_failed_write)?;
        }
        self.files_bytes.set(self.database.disk_space().map_err(from_fjall)?);
        self.written_since.set(0);
        Ok(())
    }

    /// Gives the files up at once when nothing waits: compaction alone would keep some until more is written.
    fn clear_if_empty(&self) -> Result<(), StoreError> {
        if self.lanes.borrow().messages() > 0 || self.files_bytes.get() < JOURNAL_BYTES {
            return Ok(());
        }
        for keyspace in [&self.messages, &self.deadlines, &self.ids] {
            keyspace.clear().map_err(from_failed_write)?;
        }
        self.files_bytes.set(self.database.disk_space().map_err(from_fjall)?);
        self.written_since.set(0);
        Ok(())
    }

    /// The size of the files is looked up now and then; between, what was written is added to it.
    fn count_written(&self, bytes: u64) {
        self.written_since.set(self.written_since.get() + bytes);
        if self.written_since.get() >= USAGE_LOOKUP_BYTES
            && let Ok(files_bytes) = self.database.disk_space()
        {
            self.files_bytes.set(files_bytes);
            self.written_since.set(0);
        }
    }

    /// Fails where the files, with `more` bytes, would go beyond what appending may use, or the disk would be full.
    fn check_room(&self, more: u64) -> Result<(), StoreError> {
        let reserved = reserve(self.config.disk_bytes);
        let limit = self.config.disk_bytes - reserved;
        if self.usage().disk_bytes + more > limit {
            self.compact_if_worth_it()?;
        }
        let used = self.usage().disk_bytes;
        if used + more > limit {
            return Err(StoreError::Full { used, limit });
        }
        let disk = rustix::fs::statvfs(&self.config.folder).map_err(std::io::Error::from)?;
        let free = disk.f_bavail.saturating_mul(disk.f_frsize);
        if free < reserved.min(MIN_DISK_BYTES) + more {
            return Err(StoreError::Full { used, limit: used + free });
        }
        Ok(())
    }

    /// The messages from `first` on, up to `most` or the first that cannot be read; then also where that happened.
    fn scan(&self, first: Position, limit: usize) -> (Vec<StoredMessage>, Option<String>) {
        let last = position_key(Position { sequence: u64::MAX, ..first });
        let mut found = Vec::new();
        for entry in self.messages.range(position_key(first)..=last) {
            if found.len() == limit {
                break;
            }
            match entry.into_inner() {
                Ok((key, value)) => {
                    found.extend(read_position(&key).and_then(|position| self.decode(position, &value)));
                }
                Err(error) => return (found, Some(error.to_string())),
            }
        }
        (found, None)
    }

    /// Adds what can be read by itself where reading in order failed: messages around the one that cannot.
    fn read_singly(&self, lane: Lane, sequences: Range<u64>, messages: &mut Vec<StoredMessage>) {
        let positions = sequences.take(MOST_SINGLE_READS).map(|sequence| Position { lane, sequence });
        messages.extend(positions.filter_map(|position| self.read(position).1));
    }

    /// The lowest sequence at which reading works again past an unreadable one, or none up to the newest.
    fn readable_from(&self, lane: Lane, unreadable: u64) -> Option<u64> {
        let works = |sequence| self.scan(Position { lane, sequence }, 1).1.is_none();
        let mut low = unreadable;
        let mut step = 1;
        while !works(low + step) {
            low += step;
            step *= 2;
            if low >= self.next_sequence {
                return None;
            }
        }
        let mut high = low + step;
        while high - low > 1 {
            let middle = low + (high - low) / 2;
            if works(middle) { high = middle } else { low = middle }
        }
        Some(high)
    }
}

impl BacklogStore for LsmStore {
    fn append(&mut self, messages: &[NewMessage]) -> Result<Vec<Position>, StoreError> {
        if messages
            .iter()
            .any(|message| message.id.len() > MAX_ID_BYTES || message.payload.len() > MAX_PAYLOAD_BYTES)
        {
            return Err(StoreError::TooLarge("an id or payload of this length"));
        }
        self.check_room(
            messages.iter().map(|message| (message.id.len() + message.payload.len()) as u64).sum(),
        )?;
        let mut batch = self.database.batch();
        let mut positions = Vec::with_capacity(messages.len());
        let mut bytes = 0;
        for message in messages {
            let message = message.stored_at(self.next_sequence);
            self.next_sequence += 1;
            bytes += self.insert(&mut batch, &message);
            self.lanes.borrow_mut().add(&message);
            positions.push(message.position);
        }
        self.commit(batch, bytes)?;
        Ok(positions)
    }

    fn put_back(&mut self, messages: &[StoredMessage]) -> Result<(), StoreError> {
        let mut batch = self.database.batch();
        let mut bytes = 0;
        let latest: BTreeMap<Position, &StoredMessage> =
            messages.iter().map(|message| (message.position, message)).collect();
        for message in latest.into_values() {
            self.make_way(&mut batch, message);
            self.next_sequence = self.next_sequence.max(message.position.sequence + 1);
            bytes += self.insert(&mut batch, message);
            self.lanes.borrow_mut().add(message);
        }
        self.commit(batch, bytes)
    }

    fn fetch(&self, lane: Lane, after: Option<u64>, limit: usize) -> Result<Vec<StoredMessage>, StoreError> {
        let Some(lowest) = self.lanes.borrow().first_sequence(lane) else { return Ok(Vec::new()) };
        let mut sequence = after.map_or(0, |after| after.saturating_add(1)).max(lowest);
        let from_first = sequence == lowest;
        let mut messages = Vec::new();
        loop {
            let (found, failure) =
                self.scan(Position { lane, sequence }, limit.saturating_sub(messages.len()));
            messages.extend(found);
            let Some(cause) = failure else { break };
            let unreadable = messages.last().map_or(sequence, |last| last.position.sequence + 1);
            self.report_position(Position { lane, sequence: unreadable }, cause);
            let readable = self.readable_from(lane, unreadable).unwrap_or(self.next_sequence);
            self.read_singly(lane, unreadable..readable, &mut messages);
            sequence = readable;
        }
        messages.truncate(limit);
        if let Some(first) = messages.first().filter(|_| from_first) {
            self.lanes.borrow_mut().saw_first(first);
        }
        Ok(messages)
    }

    fn remove(&mut self, positions: &[Position]) -> Result<(), StoreError> {
        let mut batch = self.database.batch();
        for position in BTreeSet::from_iter(positions) {
            self.take_out(&mut batch, *position);
        }
        if batch.is_empty() {
            return Ok(());
        }
        self.commit(batch, 0)?;
        self.clear_if_empty()
    }

    fn due(&self, until: UnixMillis, limit: usize) -> Result<Vec<StoredMessage>, StoreError> {
        let first = self.earliest_deadline.get().0.to_be_bytes();
        let end = until.0.saturating_add(1).to_be_bytes();
        let mut messages: Vec<StoredMessage> = Vec::new();
        if first >= end {
            return Ok(messages);
        }
        let mut earliest = None;
        let mut complete = true;
        for entry in self.deadlines.range(first..end) {
            if messages.len() == limit {
                complete = false;
                break;
            }
            let key = match entry.key() {
                Ok(key) => key,
                Err(error) => {
                    let location = "the index of deadlines".to_owned();
                    self.report(Corruption { position: None, location, cause: error.to_string() });
                    complete = false;
                    break;
                }
            };
            let Some((deadline, position)) = read_deadline(&key) else { continue };
            match self.read(position) {
                (true, Some(message)) if message.deadline == deadline => messages.push(message),
                (true, None) => {}
                _ => {
                    self.stale_deadlines.borrow_mut().insert(deadline_key(deadline, position));
                    continue;
                }
            }
            earliest.get_or_insert(deadline);
        }
        if let Some(earliest) = earliest {
            self.earliest_deadline.set(earliest);
        } else if complete {
            self.earliest_deadline.set(UnixMillis(until.0.saturating_add(1)));
        }
        Ok(messages)
    }

    fn find(&self, id: &str) -> Result<Option<Position>, StoreError> {
        match self.ids.get(id.as_bytes()) {
            Ok(found) => {
                let position = found.and_then(|position| read_position(&position));
                Ok(position
                    .filter(|position| self.read(*position).1.is_some_and(|message| &*message.id == id)))
            }
            Err(error) => Err(damaged(format!("the index of ids, at {id:?}"), error.to_string())),
        }
    }

    fn class(&mut self, name: &str) -> Result<ClassNumber, StoreError> {
        let known = self.classes.iter().position(|class| &**class == name);
        let index = known.unwrap_or(self.classes.len());
        let number = u16::try_from(index).map_err(|_| StoreError::TooLarge("more classes"))?;
        if known.is_none() {
            let mut batch = self.database.batch();
            batch.insert(&self.state, [CLASS_PREFIX, &number.to_be_bytes()].concat(), name);
            self.commit(batch, 0)?;
            self.classes.push(name.into());
        }
        Ok(ClassNumber(number))
    }

    fn class_names(&self) -> Result<Vec<Box<str>>, StoreError> {
        Ok(self.classes.clone())
    }

    fn lanes(&self) -> Result<Vec<LaneSummary>, StoreError> {
        Ok(self.lanes.borrow().summaries())
    }

    fn usage(&self) -> Usage {
        Usage {
            disk_bytes: self.files_bytes.get() + self.written_since.get(),
            messages: self.lanes.borrow().messages(),
        }
    }

    fn corruptions(&self) -> Vec<Corruption> {
        self.corruptions.borrow().clone()
    }
}

fn read_class(number: &[u8], name: &[u8]) -> Option<(u16, Box<str>)> {
    let number = u16::from_be_bytes(number.try_into().ok()?);
    Some((number, std::str::from_utf8(name).ok()?.into()))
}

fn damaged(location: String, cause: String) -> StoreError {
    StoreError::Corrupt { location, cause }
}

fn from_fjall(error: fjall::Error) -> StoreError {
    match error {
        fjall::Error::Io(error) => error.into(),
        fjall::Error::Locked => StoreError::InUse,
        fjall::Error::Poisoned => {
            std::io::Error::other("an earlier write failed; the store must be reopened").into()
        }
        other => damaged("the store's files".to_owned(), other.to_string()),
    }
}

/// An I/O error whatever the cause: the counters in memory may be ahead of the files, so the store must be opened again.
fn from_failed_write(error: fjall::Error) -> StoreError {
    match error {
        fjall::Error::Io(error) => error.into(),
        other => std::io::Error::other(other.to_string()).into(),
    }
}
