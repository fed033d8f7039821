//! The B-tree store (`redb`) in the comparison, with the same keys and values as the LSM store.
//!
//! Only what the workload needs is implemented. With `quick_repair`, reopening after a crash needs no scan of the
//! whole file, at a cost per commit. The file is never synced, since the operating system keeps what was written
//! when a process is killed.
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::Path;

use onyxglade_backlog::encoding::{
    deadline_key, lane_key, message_value, position_key, read_deadline, read_lane, read_message,
    read_position, read_u64,
};
use onyxglade_backlog::lane_table::LaneTable;
use onyxglade_backlog::message::{
    ClassNumber, Lane, LaneSummary, NewMessage, Position, StoredMessage, UnixMillis, Usage,
};
use onyxglade_backlog::store::{BacklogStore, Corruption, StoreError};
use redb::backends::FileBackend;
use redb::{
    Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, Table, TableDefinition,
    WriteTransaction,
};

type Bytes = &'static [u8];
const MESSAGES: TableDefinition<Bytes, Bytes> = TableDefinition::new("messages");
const DEADLINES: TableDefinition<Bytes, ()> = TableDefinition::new("deadlines");
const IDS: TableDefinition<Bytes, Bytes> = TableDefinition::new("ids");
const STATE: TableDefinition<Bytes, Bytes> = TableDefinition::new("state");
const NEXT_SEQUENCE: &[u8] = b"next";

/// A file backend whose syncs do nothing.
#[derive(Debug)]
struct Unsynced(FileBackend);

impl StorageBackend for Unsynced {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}

pub struct RedbStore {
    database: Database,
    file: File,
    lanes: RefCell<LaneTable>,
    next_sequence: u64,
    quick_repair: bool,
}

struct Tables<'txn> {
    messages: Table<'txn, Bytes, Bytes>,
    deadlines: Table<'txn, Bytes, ()>,
    ids: Table<'txn, Bytes, Bytes>,
    state: Table<'txn, Bytes, Bytes>,
}

fn open_tables(transaction: &WriteTransaction) -> Result<Tables<'_>, StoreError> {
    Ok(Tables {
        messages: transaction.open_table(MESSAGES).map_err(failed)?,
        deadlines: transaction.open_table(DEADLINES).map_err(failed)?,
        ids: transaction.open_table(IDS).map_err(failed)?,
        state: transaction.open_table(STATE).map_err(failed)?,
    })
}

fn failed(error: impl std::error::Error + Send + Sync + 'static) -> StoreError {
    io::Error::other(error).into()
}

impl RedbStore {
    pub fn open(folder: &Path, memory_bytes: u64, quick_repair: bool) -> Result<RedbStore, StoreError> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("redb");
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        let backend = Unsynced(FileBackend::new(file.try_clone()?).map_err(failed)?);
        let cache = (memory_bytes / 4 * 3) as usize;
        let database = Builder::new().set_cache_size(cache).create_with_backend(backend).map_err(failed)?;
        let transaction = database.begin_write().map_err(failed)?;
        open_tables(&transaction)?;
        transaction.commit().map_err(failed)?;
        let mut store =
            RedbStore { database, file, lanes: RefCell::default(), next_sequence: 0, quick_repair };
        store.load_state()?;
        Ok(store)
    }

    fn load_state(&mut self) -> Result<(), StoreError> {
        let reading = self.database.begin_read().map_err(failed)?;
        let state = reading.open_table(STATE).map_err(failed)?;
        for entry in state.iter().map_err(failed)? {
            let (key, value) = entry.map_err(failed)?;
            match read_lane(key.value()) {
                Some(lane) => self.lanes.get_mut().load(lane, value.value()).expect("valid counters"),
                None => self.next_sequence = read_u64(value.value()).expect("a valid sequence"),
            }
        }
        Ok(())
    }

    fn change(&self, act: impl FnOnce(&mut Tables) -> Result<u64, StoreError>) -> Result<u64, StoreError> {
        let mut transaction = self.database.begin_write().map_err(failed)?;
        transaction.set_quick_repair(self.quick_repair);
        let next_sequence = {
            let mut tables = open_tables(&transaction)?;
            let next_sequence = act(&mut tables)?;
            for (lane, counters) in self.lanes.borrow_mut().take_changed() {
                match counters {
                    Some(counters) => {
                        tables.state.insert(&lane_key(lane)[..], &counters[..]).map_err(failed)?
                    }
                    None => tables.state.remove(&lane_key(lane)[..]).map_err(failed)?,
                };
            }
            tables.state.insert(NEXT_SEQUENCE, &next_sequence.to_be_bytes()[..]).map_err(failed)?;
            next_sequence
        };
        transaction.commit().map_err(failed)?;
        Ok(next_sequence)
    }
}

fn insert(tables: &mut Tables, message: &StoredMessage) -> Result<(), StoreError> {
    let position = position_key(message.position);
    tables.messages.insert(&position[..], &message_value(message)[..]).map_err(failed)?;
    tables.deadlines.insert(&deadline_key(message.deadline, message.position)[..], ()).map_err(failed)?;
    tables.ids.insert(message.id.as_bytes(), &position[..]).map_err(failed)?;
    Ok(())
}

fn decode(position: Position, value: &[u8]) -> StoredMessage {
    read_message(position, &bytes::Bytes::copy_from_slice(value)).expect("a message")
}

impl BacklogStore for RedbStore {
    fn append(&mut self, messages: &[NewMessage]) -> Result<Vec<Position>, StoreError> {
        let mut positions = Vec::new();
        self.next_sequence = self.change(|tables| {
            for (sequence, message) in (self.next_sequence..).zip(messages) {
                let message = message.stored_at(sequence);
                insert(tables, &message)?;
                self.lanes.borrow_mut().add(&message);
                positions.push(message.position);
            }
            Ok(self.next_sequence + messages.len() as u64)
        })?;
        Ok(positions)
    }

    fn put_back(&mut self, _messages: &[StoredMessage]) -> Result<(), StoreError> {
        Err(StoreError::TooLarge("messages that come back: the workload has none"))
    }

    fn fetch(&self, lane: Lane, after: Option<u64>, limit: usize) -> Result<Vec<StoredMessage>, StoreError> {
        let Some(lowest) = self.lanes.borrow().first_sequence(lane) else { return Ok(Vec::new()) };
        let sequence = after.map_or(0, |after| after + 1).max(lowest);
        let (first, last) =
            (position_key(Position { lane, sequence }), position_key(Position { lane, sequence: u64::MAX }));
        let reading = self.database.begin_read().map_err(failed)?;
        let messages = reading.open_table(MESSAGES).map_err(failed)?;
        let mut found = Vec::new();
        for entry in messages.range(&first[..]..=&last[..]).map_err(failed)?.take(limit) {
            let (key, value) = entry.map_err(failed)?;
            found.push(decode(read_position(key.value()).expect("a valid position key"), value.value()));
        }
        Ok(found)
    }

    fn remove(&mut self, positions: &[Position]) -> Result<(), StoreError> {
        self.change(|tables| {
            for position in BTreeSet::from_iter(positions) {
                let removed = tables.messages.remove(&position_key(*position)[..]).map_err(failed)?;
                let Some(message) = removed.map(|value| decode(*position, value.value())) else { continue };
                tables.deadlines.remove(&deadline_key(message.deadline, *position)[..]).map_err(failed)?;
                tables.ids.remove(message.id.as_bytes()).map_err(failed)?;
                self.lanes.borrow_mut().subtract(*position, Some(&message));
            }
            Ok(self.next_sequence)
        })?;
        Ok(())
    }

    fn due(&self, until: UnixMillis, limit: usize) -> Result<Vec<StoredMessage>, StoreError> {
        let reading = self.database.begin_read().map_err(failed)?;
        let deadlines = reading.open_table(DEADLINES).map_err(failed)?;
        let messages = reading.open_table(MESSAGES).map_err(failed)?;
        let end = (until.0 + 1).to_be_bytes();
        let mut found = Vec::new();
        for entry in deadlines.range(..&end[..]).map_err(failed)?.take(limit) {
            let (_, position) =
                read_deadline(entry.map_err(failed)?.0.value()).expect("a valid deadline key");
            let value = messages.get(&position_key(position)[..]).map_err(failed)?.expect("a message");
            found.push(decode(position, value.value()));
        }
        Ok(found)
    }

    fn find(&self, id: &str) -> Result<Option<Position>, StoreError> {
        let reading = self.database.begin_read().map_err(failed)?;
        let ids = reading.open_table(IDS).map_err(failed)?;
        let found = ids.get(id.as_bytes()).map_err(failed)?;
        Ok(found.and_then(|position| read_position(position.value())))
    }

    fn class(&mut self, _name: &str) -> Result<ClassNumber, StoreError> {
        Ok(ClassNumber(0))
    }

    fn class_names(&self) -> Result<Vec<Box<str>>, StoreError> {
        Ok(Vec::new())
    }

    fn lanes(&self) -> Result<Vec<LaneSummary>, StoreError> {
        Ok(self.lanes.borrow().summaries())
    }

    fn usage(&self) -> Usage {
        let disk_bytes = self.file.metadata().map_or(0, |metadata| metadata.len());
        Usage { disk_bytes, messages: self.lanes.borrow().messages() }
    }

    fn corruptions(&self) -> Vec<Corruption> {
        Vec::new()
    }
}
