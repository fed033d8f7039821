use std::fs;
use std::path::Path;

use proptest::prelude::*;

use super::*;
use crate::memory_store::{MemoryDisk, MemoryStore};

const LANE: Lane = Lane { destination: 7, class: ClassNumber(0) };

fn config(folder: &Path) -> Config {
    Config {
        folder: folder.to_owned(),
        owner: "relay-1".to_owned(),
        memory_bytes: MIN_MEMORY_BYTES,
        disk_bytes: MIN_DISK_BYTES,
        sync: false,
    }
}

fn open(folder: &Path) -> LsmStore {
    LsmStore::open(config(folder)).unwrap()
}

fn message(number: u64, lane: Lane, payload: usize) -> NewMessage {
    // Incompressible payloads, so that blocks have the configured size.
    let payload = (0..payload as u64).map(|byte| (number * 31 + byte * byte * 7) as u8).collect::<Vec<u8>>();
    NewMessage {
        lane,
        arrived: UnixMillis(1000 + number),
        deadline: UnixMillis(5000 + number * 37 % 100),
        id: format!("id-{number}").into(),
        payload: payload.into(),
    }
}

fn append(store: &mut LsmStore, numbers: std::ops::Range<u64>) -> Vec<Position> {
    let messages: Vec<NewMessage> = numbers.map(|number| message(number, LANE, 300)).collect();
    store.append(&messages).unwrap()
}

#[derive(Clone, Debug)]
enum Step {
    Append(Vec<u64>),
    Remove(Vec<usize>),
    PutBack(Vec<usize>, u64),
    Fetch(u64, Option<u64>, usize),
    Due(u64, usize),
    Reopen,
}

fn step() -> impl Strategy<Value = Step> {
    let picks = || prop::collection::vec(0..100_usize, 0..6);
    prop_oneof![
        3 => prop::collection::vec(0..4_u64, 1..8).prop_map(Step::Append),
        3 => picks().prop_map(Step::Remove),
        1 => (picks(), 0..50_u64).prop_map(|(picked, later)| Step::PutBack(picked, later)),
        2 => (0..4_u64, prop::option::of(0..60_u64), 0..9_usize)
            .prop_map(|(destination, after, limit)| Step::Fetch(destination, after, limit)),
        2 => (5000..5150_u64, 0..9_usize).prop_map(|(until, limit)| Step::Due(until, limit)),
        1 => Just(Step::Reopen),
    ]
}

/// A store on disk and a memory store, to which the same operations are applied.
struct StorePair {
    folder: tempfile::TempDir,
    disk: Option<LsmStore>,
    memory: MemoryStore,
    messages: Vec<StoredMessage>,
}

impl StorePair {
    fn new() -> StorePair {
        let folder = tempfile::tempdir().unwrap();
        let disk = Some(open(folder.path()));
        StorePair { folder, disk, memory: MemoryDisk::default().open(), messages: Vec::new() }
    }

    fn picked(&self, picks: &[usize]) -> Vec<StoredMessage> {
        let picked = |pick: &usize| self.messages.get(pick % self.messages.len().max(1)).cloned();
        picks.iter().filter_map(picked).collect()
    }

    fn apply(&mut self, step: Step) {
        let disk = self.disk.as_mut().unwrap();
        match step {
            Step::Append(destinations) => {
                let first = self.messages.len() as u64;
                let lane = |destination| Lane { destination, class: ClassNumber((destination % 2) as u16) };
                let new = (first..).zip(destinations);
                let new: Vec<NewMessage> =
                    new.map(|(number, destination)| message(number, lane(destination), 20)).collect();
                let positions = disk.append(&new).unwrap();
                assert_eq!(self.memory.append(&new).unwrap(), positions);
                let stored =
                    new.iter().zip(positions).map(|(message, position)| message.stored_at(position.sequence));
                self.messages.extend(stored);
            }
            Step::Remove(picks) => {
                let positions: Vec<Position> =
                    self.picked(&picks).iter().map(|message| message.position).collect();
                self.disk.as_mut().unwrap().remove(&positions).unwrap();
                self.memory.remove(&positions).unwrap();
            }
            Step::PutBack(picks, later) => {
                let mut messages = self.picked(&picks);
                messages.iter_mut().for_each(|message| message.deadline.0 += later);
                self.disk.as_mut().unwrap().put_back(&messages).unwrap();
                self.memory.put_back(&messages).unwrap();
            }
            Step::Fetch(destination, after, limit) => {
                let lane = Lane { destination, class: ClassNumber((destination % 2) as u16) };
                let found = disk.fetch(lane, after, limit).unwrap();
                assert_eq!(found, self.memory.fetch(lane, after, limit).unwrap());
            }
            Step::Due(until, limit) => {
                let found = disk.due(UnixMillis(until), limit).unwrap();
                assert_eq!(found, self.memory.due(UnixMillis(until), limit).unwrap());
            }
            Step::Reopen => {
                drop(self.disk.take());
                self.disk = Some(open(self.folder.path()));
            }
        }
    }

    /// Compares all that the stores return: by lane, by deadline and by id.
    fn compare(&self) {
        let disk = self.disk.as_ref().unwrap();
        assert_eq!(
            disk.due(UnixMillis(u64::MAX), 999).unwrap(),
            self.memory.due(UnixMillis(u64::MAX), 999).unwrap()
        );
        assert_eq!(disk.usage().messages, self.memory.usage().messages);
        for message in &self.messages {
            assert_eq!(disk.find(&message.id).unwrap(), self.memory.find(&message.id).unwrap());
        }
        let (on_disk, expected) = (disk.lanes().unwrap(), self.memory.lanes().unwrap());
        assert_eq!(on_disk.len(), expected.len());
        for (found, expected) in on_disk.iter().zip(&expected) {
            assert_eq!(
                (found.lane, found.messages, found.bytes),
                (expected.lane, expected.messages, expected.bytes)
            );
            assert!(found.first_sequence <= expected.first_sequence);
            let messages = disk.fetch(found.lane, None, 999).unwrap();
            assert_eq!(messages, self.memory.fetch(found.lane, None, 999).unwrap());
        }
        assert_eq!(disk.corruptions(), []);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn it_behaves_like_the_memory_store_for_any_operations(steps in prop::collection::vec(step(), 1..40)) {
        let mut pair = StorePair::new();
        steps.into_iter().for_each(|step| pair.apply(step));
        pair.compare();
        pair.apply(Step::Reopen);
        pair.compare();
    }
}

#[test]
fn classes_keep_their_numbers_after_reopening() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    assert_eq!(store.class("payment").unwrap(), ClassNumber(0));
    assert_eq!(store.class("report").unwrap(), ClassNumber(1));
    drop(store);
    let mut store = open(folder.path());
    assert_eq!(store.class("report").unwrap(), ClassNumber(1));
    assert_eq!(store.class("receipt").unwrap(), ClassNumber(2));
    assert_eq!(store.class_names().unwrap(), ["payment".into(), "report".into(), "receipt".into()]);
}

#[test]
fn a_folder_of_another_relay_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    drop(open(folder.path()));
    let other = Config { owner: "relay-2".to_owned(), ..config(folder.path()) };
    let refused = LsmStore::open(other).err().unwrap();
    assert_eq!(refused.to_string(), r#"the backlog belongs to "relay-1", not to "relay-2""#);
}

#[test]
fn a_newer_format_is_refused_with_its_version() {
    let folder = tempfile::tempdir().unwrap();
    drop(open(folder.path()));
    fs::write(folder.path().join(folder::FORMAT_FILE), "onyxglade backlog\nformat 9\nelse\n").unwrap();
    let refused = LsmStore::open(config(folder.path())).err().unwrap();
    assert_eq!(refused.to_string(), "the backlog has format 9, but this program supports formats up to 1");
}

#[test]
fn a_folder_with_foreign_files_is_refused_and_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("notes"), "else").unwrap();
    assert!(matches!(LsmStore::open(config(folder.path())), Err(StoreError::NotABacklog { .. })));
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1);
}

#[test]
fn a_folder_in_use_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let _first = open(folder.path());
    assert!(matches!(LsmStore::open(config(folder.path())), Err(StoreError::InUse)));
}

/// Appends until the store refuses; returns the positions and the error.
fn fill(store: &mut LsmStore, first: u64) -> (Vec<Position>, StoreError) {
    let mut accepted: Vec<Position> = Vec::new();
    loop {
        let first = first + accepted.len() as u64;
        let messages: Vec<NewMessage> =
            (first..first + 64).map(|number| message(number, LANE, 30_000)).collect();
        match store.append(&messages) {
            Ok(positions) => accepted.extend(positions),
            Err(refused) => return (accepted, refused),
        }
    }
}

#[test]
fn a_full_backlog_refuses_messages_but_frees_space_on_removal() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    let (accepted, refused) = fill(&mut store, 0);
    assert!(
        matches!(refused, StoreError::Full { limit, .. } if limit == MIN_DISK_BYTES * 7 / 8),
        "{refused}"
    );
    assert_eq!(store.usage().messages, accepted.len() as u64);
    let mut peak_bytes = 0;
    for positions in accepted.chunks(64) {
        store.remove(positions).unwrap();
        peak_bytes = peak_bytes.max(store.usage().disk_bytes);
    }
    assert!(peak_bytes <= MIN_DISK_BYTES, "{peak_bytes} bytes");
    assert_eq!(store.lanes().unwrap(), []);
    let (again, _) = fill(&mut store, accepted.len() as u64);
    assert!(again.len() > accepted.len() / 2, "{} messages, then {}", accepted.len(), again.len());
}

#[test]
fn a_partly_drained_backlog_accepts_messages_again() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    let (accepted, _) = fill(&mut store, 0);
    for positions in accepted[..accepted.len() * 3 / 4].chunks(64) {
        store.remove(positions).unwrap();
    }
    let (again, refused) = fill(&mut store, accepted.len() as u64);
    assert!(again.len() > accepted.len() / 4, "{} messages, then {}: {refused}", accepted.len(), again.len());
}

#[test]
fn an_oversized_message_is_refused_with_its_whole_batch() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    let long = NewMessage { id: "x".repeat(MAX_ID_BYTES + 1).into(), ..message(0, LANE, 1) };
    assert!(matches!(store.append(&[message(1, LANE, 1), long]), Err(StoreError::TooLarge(_))));
    assert_eq!(store.usage().messages, 0);
}

/// Writes messages of one lane and closes the store. Returns their positions, and the files in the folder `part` of the
/// keyspace of messages.
fn written_files(folder: &Path, part: &str) -> (Vec<Position>, Vec<PathBuf>) {
    let mut store = open(folder);
    let positions = (0..200).flat_map(|batch| append(&mut store, batch * 64..(batch + 1) * 64)).collect();
    let part = store.messages.path().join(part);
    drop(store);
    let mut files: Vec<PathBuf> = fs::read_dir(part).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    (positions, files)
}

fn flip_middle_byte(file: &Path) {
    let mut bytes = fs::read(file).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    fs::write(file, bytes).unwrap();
}

/// Corrupts a file in the middle: at most `lost` messages are reported and skipped, all others are served.
fn check_corruption(part: &str, lost: usize) {
    let folder = tempfile::tempdir().unwrap();
    let (positions, files) = written_files(folder.path(), part);
    flip_middle_byte(files.first().expect("a file was written"));

    let mut store = open(folder.path());
    let served = store.fetch(LANE, None, usize::MAX).unwrap();
    let corruptions = store.corruptions();
    assert!(!corruptions.is_empty() && corruptions.len() <= lost, "{corruptions:?}");
    assert!(
        corruptions
            .iter()
            .all(|corruption| corruption.position.is_some_and(|position| positions.contains(&position)))
    );
    assert!(
        served.len() < positions.len() && served.len() >= positions.len() - lost,
        "{} served",
        served.len()
    );
    assert!(served.is_sorted_by_key(|message| message.position));
    let due = store.due(UnixMillis(u64::MAX), usize::MAX).unwrap();
    assert_eq!(due.len(), served.len());
    store.remove(&positions).unwrap();
    assert_eq!(store.fetch(LANE, None, 9).unwrap(), []);
    assert_eq!(store.usage().messages, 0);
    assert_eq!(store.append(&[message(99_999, LANE, 10)]).unwrap().len(), 1);
}

#[test]
fn a_corrupt_value_is_reported_with_its_position_and_the_rest_is_served() {
    check_corruption("blobs", 1);
}

#[test]
fn a_corrupt_key_block_loses_only_the_messages_in_it() {
    const SHORTEST_ENTRY: usize = 10;
    check_corruption("tables", 4096 / SHORTEST_ENTRY);
}

#[test]
fn a_truncated_table_fails_the_opening() {
    let folder = tempfile::tempdir().unwrap();
    let (_, files) = written_files(folder.path(), "tables");
    let table = files.first().expect("a table was written");
    let length = fs::metadata(table).unwrap().len();
    fs::OpenOptions::new().write(true).open(table).unwrap().set_len(length / 2).unwrap();
    let refused = LsmStore::open(config(folder.path())).err().expect("opening fails");
    assert!(matches!(refused, StoreError::Corrupt { .. } | StoreError::Io(_)), "{refused}");
}
