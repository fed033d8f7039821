//! The store on disk: an LSM tree (`fjall`) with four keyspaces that each batch updates atomically.
//!
//! | keyspace | key | value |
//! | --- | --- | --- |
//! | `messages` | position | [`message_value`] |
//! | `deadlines` | deadline, position | empty |
//! | `ids` | id | position |
//! | `state` | lane, `next` or `class` and a number | counters, sequence, name |
//!
//! Memory holds the counters of non-empty lanes, the write buffers and the block cache, but nothing per message.
//! The files are written by the calling thread and by background threads of `fjall`.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::path::PathBuf;

use bytes::Bytes;
use fjall::{Database, Keyspace, OwnedWriteBatch, PersistMode};

use crate::encoding::{
    DEADLINE_KEY_BYTES, deadline_key, lane_key, message_value, position_key, read_deadline, read_lane,
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
    JOURNAL_BYTES, keyspace, message_options, open_database, point_lookup_options, range_scan_options,
};

/// Location, owner and resource limits of a store.
#[derive(Clone, Debug)]
pub struct Config {
    /// The folder; each relay needs its own.
    pub folder: PathBuf,
    /// The owner of the folder: a name that the relay keeps for the lifetime of its backlog.
    pub owner: String,
    /// Memory for the cache and the write buffers, in bytes.
    pub memory_bytes: u64,
    /// Maximum size of the files in bytes. Appending stops [`reserve`] bytes below it, to leave space for removals
    /// and compaction.
    pub disk_bytes: u64,
    /// Whether each batch is synced to the device (fdatasync), not only written to the operating system.
    pub sync: bool,
}

/// Minimum of [`Config::memory_bytes`].
pub const MIN_MEMORY_BYTES: u64 = 8 << 20;
/// Minimum of [`Config::disk_bytes`]: the journal alone may take 64 MiB.
pub const MIN_DISK_BYTES: u64 = 256 << 20;

/// Approximate size of an entry in a write buffer, not counting its value.
const WRITE_BUFFER_ENTRY_BYTES: u64 = 160;
/// The write buffers are flushed when they reach the memory budget divided by this.
const WRITE_BUFFER_DIVISOR: u64 = 4;
/// Bytes written after which the size of the files is read again.
const USAGE_REFRESH_BYTES: u64 = 4 << 20;
/// The disk quota divided by this is reserved for removals and compaction: removals also enlarge the files until
/// compaction has processed them.
const RESERVE_DIVISOR: u64 = 8;
/// Maximum number of corruptions that are recorded; further ones are only skipped.
const MAX_CORRUPTIONS: usize = 1000;

/// Maximum number of positions that are read individually where reading a range fails.
const MAX_SINGLE_READS: usize = 100_000;

const NEXT_SEQUENCE: &[u8] = b"next";
const CLASS_PREFIX: &[u8] = b"class";

/// The bytes below [`Config::disk_bytes`] that appending leaves free.
pub fn reserve(disk_bytes: u64) -> u64 {
    disk_bytes / RESERVE_DIVISOR
}

/// A store in an LSM tree.
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
    /// A lower bound of the deadlines of all stored messages.
    earliest_deadline: Cell<UnixMillis>,
    /// Deadline keys without a message, to be removed with the next batch.
    stale_deadlines: RefCell<BTreeSet<[u8; DEADLINE_KEY_BYTES]>>,
    corruptions: RefCell<Vec<Corruption>>,
    files_bytes: Cell<u64>,
    written_since_refresh: Cell<u64>,
    /// Approximate size of the write buffers in bytes.
    buffered: Cell<u64>,
    /// Bytes of messages removed since the files were last compacted to free space.
    removed_since_compaction: Cell<u64>,
}

impl LsmStore {
    /// Opens the backlog in a folder, or creates an empty one. The time this takes does not grow with the number of
    /// messages.
    ///
    /// # Errors
    /// [`StoreError::WrongOwner`], [`StoreError::NewerFormat`], [`StoreError::NotABacklog`], [`StoreError::InUse`],
    /// [`StoreError::Corrupt`] if a file that the whole store depends on is unreadable.
    pub fn open(config: Config) -> Result<LsmStore, StoreError> {
        let store_folder = folder::open_or_create(&config.folder, &config.owner)?;
        let database = open_database(&store_folder, &config)?;
        let buffer = config.memory_bytes;
        let messages = keyspace(&database, "messages", || message_options(buffer))?;
        let deadlines = keyspace(&database, "deadlines", || range_scan_options(buffer))?;
        let ids = keyspace(&database, "ids", || point_lookup_options(buffer))?;
        let state = keyspace(&database, "state", || point_lookup_options(buffer))?;
        let files_bytes = database.disk_space().map_err(from_fjall)?;
        // How much the previous process removed is not known, so one compaction to free space is allowed.
        let removed_since_compaction = config.disk_bytes;
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
            written_since_refresh: Cell::new(0),
            buffered: Cell::new(0),
            removed_since_compaction: Cell::new(removed_since_compaction),
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
            known.ok_or_else(|| {
                corrupt(format!("state, key {key:?}"), "unknown key or truncated value".to_owned())
            })?;
        }
        classes.sort();
        self.classes = classes.into_iter().map(|(_, name)| name).collect();
        Ok(())
    }

    /// Adds the insertion of a message at an unused position to a batch. Returns the bytes added.
    fn insert(&self, batch: &mut OwnedWriteBatch, message: &StoredMessage) -> u64 {
        let position = position_key(message.position);
        let value = message_value(message);
        let bytes = (2 * position.len() + value.len() + message.id.len() + DEADLINE_KEY_BYTES) as u64;
        batch.insert(&self.messages, position, value);
        let deadline = deadline_key(message.deadline, message.position);
        self.stale_deadlines.borrow_mut().remove(&deadline);
        batch.insert(&self.deadlines, deadline, []);
        batch.insert(&self.ids, message.id.as_bytes(), position);
        self.earliest_deadline.set(self.earliest_deadline.get().min(message.deadline));
        bytes
    }

    /// Adds the removal of the message at a position to a batch.
    fn remove_at(&self, batch: &mut OwnedWriteBatch, position: Position) {
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
        self.removed_since_compaction.set(self.removed_since_compaction.get() + removed);
        self.lanes.borrow_mut().subtract(position, message.as_ref());
    }

    /// Adds the removal of those entries of a replaced message that `message` does not overwrite. A batch must not
    /// remove and insert the same key, because it is undefined which of the two takes effect.
    fn remove_replaced(&self, batch: &mut OwnedWriteBatch, message: &StoredMessage) {
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

    /// Whether there is a message at a position, and the message if it is readable. If reading fails, there is taken to
    /// be one unless the lane is empty.
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

    /// Decodes a copy of the value, since a slice would keep the whole block in memory that it was read from.
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

    fn report(&self, corruption: Corruption) {
        let mut corruptions = self.corruptions.borrow_mut();
        if corruptions.len() < MAX_CORRUPTIONS && !corruptions.contains(&corruption) {
            corruptions.push(corruption);
        }
    }

    /// Commits a batch together with the changes to lane counters and the next sequence.
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
        let buffered = bytes + WRITE_BUFFER_ENTRY_BYTES * batch.len() as u64;
        batch.durability(Some(mode)).commit().map_err(from_failed_write)?;
        self.count_written(written);
        self.buffered.set(self.buffered.get() + buffered);
        if self.buffered.get() >= self.config.memory_bytes / WRITE_BUFFER_DIVISOR {
            self.flush()?;
        }
        Ok(())
    }

    /// Flushes the write buffers to files and waits for it. Without this, `fjall` keeps any number of full buffers
    /// in memory until its threads flush them.
    fn flush(&self) -> Result<(), StoreError> {
        for keyspace in [&self.messages, &self.deadlines, &self.ids, &self.state] {
            keyspace.rotate_memtable_and_wait().map_err(from_failed_write)?;
        }
        self.buffered.set(0);
        Ok(())
    }

    /// Compacts the files to free the space of removed messages, if enough were removed. This reads and writes all
    /// keys, but few values.
    fn compact_if_worthwhile(&self) -> Result<(), StoreError> {
        if self.removed_since_compaction.get() < reserve(self.config.disk_bytes) / 2 {
            return Ok(());
        }
        self.removed_since_compaction.set(0);
        self.flush()?;
        // The first compaction finds the values that are no longer referenced, the second drops their files.
        for keyspace in [&self.messages, &self.messages, &self.deadlines, &self.ids] {
            keyspace.major_compact().map_err(from_failed_write)?;
        }
        self.files_bytes.set(self.database.disk_space().map_err(from_fjall)?);
        self.written_since_refresh.set(0);
        Ok(())
    }

    /// Drops the files at once when the store is empty. Compaction alone would keep some until more is written.
    fn clear_if_empty(&self) -> Result<(), StoreError> {
        if self.lanes.borrow().messages() > 0 || self.files_bytes.get() < JOURNAL_BYTES {
            return Ok(());
        }
        for keyspace in [&self.messages, &self.deadlines, &self.ids] {
            keyspace.clear().map_err(from_failed_write)?;
        }
        self.files_bytes.set(self.database.disk_space().map_err(from_fjall)?);
        self.written_since_refresh.set(0);
        Ok(())
    }

    /// Reads the size of the files at intervals; in between, the bytes written are added to the last known size.
    fn count_written(&self, bytes: u64) {
        self.written_since_refresh.set(self.written_since_refresh.get() + bytes);
        if self.written_since_refresh.get() >= USAGE_REFRESH_BYTES
            && let Ok(files_bytes) = self.database.disk_space()
        {
            self.files_bytes.set(files_bytes);
            self.written_since_refresh.set(0);
        }
    }

    /// Fails if `additional` bytes would exceed the limit for appending, or leave too little free space on the disk.
    fn check_space(&self, additional: u64) -> Result<(), StoreError> {
        let reserved = reserve(self.config.disk_bytes);
        let limit = self.config.disk_bytes - reserved;
        if self.usage().disk_bytes + additional > limit {
            self.compact_if_worthwhile()?;
        }
        let used = self.usage().disk_bytes;
        if used + additional > limit {
            return Err(StoreError::Full { used, limit });
        }
        let disk = rustix::fs::statvfs(&self.config.folder).map_err(std::io::Error::from)?;
        let free = disk.f_bavail.saturating_mul(disk.f_frsize);
        if free < reserved.min(MIN_DISK_BYTES) + additional {
            return Err(StoreError::Full { used, limit: used + free });
        }
        Ok(())
    }

    /// Reads messages from `first` on, up to `limit` or the first unreadable one; in that case it also returns the
    /// error.
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

    /// Adds the messages that are readable individually where reading a range failed: those around the unreadable
    /// one.
    fn read_individually(&self, lane: Lane, sequences: Range<u64>, messages: &mut Vec<StoredMessage>) {
        let positions = sequences.take(MAX_SINGLE_READS).map(|sequence| Position { lane, sequence });
        messages.extend(positions.filter_map(|position| self.read(position).1));
    }

    /// The lowest sequence after an unreadable one at which reading works again; `None` if there is none up to the
    /// newest.
    fn first_readable(&self, lane: Lane, unreadable: u64) -> Option<u64> {
        let is_readable = |sequence| self.scan(Position { lane, sequence }, 1).1.is_none();
        let mut low = unreadable;
        let mut step = 1;
        while !is_readable(low + step) {
            low += step;
            step *= 2;
            if low >= self.next_sequence {
                return None;
            }
        }
        let mut high = low + step;
        while high - low > 1 {
            let middle = low + (high - low) / 2;
            if is_readable(middle) { high = middle } else { low = middle }
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
            return Err(StoreError::TooLarge("an id or payload this long"));
        }
        self.check_space(
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
            self.remove_replaced(&mut batch, message);
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
            let readable = self.first_readable(lane, unreadable).unwrap_or(self.next_sequence);
            self.read_individually(lane, unreadable..readable, &mut messages);
            sequence = readable;
        }
        messages.truncate(limit);
        if let Some(first) = messages.first().filter(|_| from_first) {
            self.lanes.borrow_mut().advance_first(first);
        }
        Ok(messages)
    }

    fn remove(&mut self, positions: &[Position]) -> Result<(), StoreError> {
        let mut batch = self.database.batch();
        for position in BTreeSet::from_iter(positions) {
            self.remove_at(&mut batch, *position);
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
                    let location = "the deadline index".to_owned();
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
            Err(error) => Err(corrupt(format!("the id index, at {id:?}"), error.to_string())),
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
            disk_bytes: self.files_bytes.get() + self.written_since_refresh.get(),
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

fn corrupt(location: String, cause: String) -> StoreError {
    StoreError::Corrupt { location, cause }
}

fn from_fjall(error: fjall::Error) -> StoreError {
    match error {
        fjall::Error::Io(error) => error.into(),
        fjall::Error::Locked => StoreError::InUse,
        fjall::Error::Poisoned => {
            std::io::Error::other("an earlier write failed; the store must be reopened").into()
        }
        other => corrupt("the store's files".to_owned(), other.to_string()),
    }
}

/// Converts every cause to an I/O error, so that the store is reopened: its counters in memory may be ahead of the
/// files.
fn from_failed_write(error: fjall::Error) -> StoreError {
    match error {
        fjall::Error::Io(error) => error.into(),
        other => std::io::Error::other(other.to_string()).into(),
    }
}
