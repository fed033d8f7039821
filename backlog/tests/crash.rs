//! Crash tests of the backlog: a process is killed during appends and removals. Afterwards each acknowledged
//! message is present exactly once, removed messages are gone, and each batch is either complete or absent.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};

use bytes::Bytes;
use onyxglade_backlog::lsm_store::{Config, LsmStore, MIN_DISK_BYTES, MIN_MEMORY_BYTES};
use onyxglade_backlog::memory_store::{Fault, MemoryDisk};
use onyxglade_backlog::message::{ClassNumber, Lane, NewMessage, Position, StoredMessage, UnixMillis};
use onyxglade_backlog::store::{BacklogStore, StoreError};

const FOLDER_VARIABLE: &str = "BACKLOG_CRASH_TEST_FOLDER";
const BATCH: u64 = 8;
/// Number of appends after which the child is killed; the higher numbers include flushes of the write buffers.
const KILLED_AFTER: [usize; 4] = [1, 50, 700, 3000];

fn open(folder: &Path) -> LsmStore {
    let config = Config {
        folder: folder.to_owned(),
        owner: "crash".to_owned(),
        memory_bytes: MIN_MEMORY_BYTES,
        disk_bytes: MIN_DISK_BYTES,
        sync: false,
    };
    LsmStore::open(config).expect("the store opens")
}

fn message(number: u64) -> NewMessage {
    NewMessage {
        lane: Lane { destination: number % 3, class: ClassNumber(0) },
        arrived: UnixMillis(number),
        deadline: UnixMillis(number + 1000),
        id: format!("id-{number}").into(),
        payload: Bytes::from(vec![number as u8; 300]),
    }
}

fn batch(index: u64) -> Vec<NewMessage> {
    (index * BATCH..(index + 1) * BATCH).map(message).collect()
}

/// Not a test by itself: the child process of the test below. It appends one batch after the other, removes half of
/// each again, and prints each step when it is complete.
#[test]
fn child_that_is_killed() {
    let Some(folder) = std::env::var_os(FOLDER_VARIABLE) else { return };
    let mut store = open(Path::new(&folder));
    let mut output = std::io::stderr();
    for index in 0.. {
        let positions = store.append(&batch(index)).expect("append succeeds");
        writeln!(output, "appended {index}").expect("stderr is writable");
        store.remove(&positions[..positions.len() / 2]).expect("remove succeeds");
        writeln!(output, "removed {index}").expect("stderr is writable");
    }
}

/// Starts the child, kills it with SIGKILL once it has reported `batches` appends, and returns how many appends and
/// removals it reported.
fn run_and_kill(folder: &Path, batches: usize) -> (u64, u64) {
    let mut child = Command::new(std::env::current_exe().expect("the path of this executable"))
        .args(["--exact", "child_that_is_killed", "--nocapture"])
        .env(FOLDER_VARIABLE, folder)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the child starts");
    let (mut appended, mut removed) = (0, 0);
    for line in BufReader::new(child.stderr.take().expect("the child's output is piped"))
        .lines()
        .map_while(Result::ok)
    {
        appended += u64::from(line.starts_with("appended"));
        removed += u64::from(line.starts_with("removed"));
        if appended as usize == batches {
            child.kill().expect("the child is killed");
        }
    }
    child.wait().expect("the child is waited for");
    (appended, removed)
}

fn by_number(messages: Vec<StoredMessage>) -> BTreeMap<u64, StoredMessage> {
    let number =
        |message: &StoredMessage| message.id.strip_prefix("id-").and_then(|number| number.parse().ok());
    let count = messages.len();
    let messages: BTreeMap<u64, StoredMessage> =
        messages.into_iter().map(|message| (number(&message).expect("a number"), message)).collect();
    assert_eq!(messages.len(), count, "a message is present twice");
    messages
}

#[test]
fn acknowledged_messages_survive_sigkill_exactly_once() {
    for batches in KILLED_AFTER {
        let folder = tempfile::tempdir().expect("a folder");
        let (appended, removed) = run_and_kill(folder.path(), batches);
        assert!(appended as usize >= batches);
        let store = open(folder.path());
        let by_deadline = by_number(store.due(UnixMillis(u64::MAX), usize::MAX).expect("due succeeds"));
        let lanes = store.lanes().expect("listing the lanes succeeds");
        let in_lanes =
            lanes.iter().flat_map(|lane| store.fetch(lane.lane, None, usize::MAX).expect("fetch succeeds"));
        assert_eq!(by_number(in_lanes.collect()), by_deadline);
        let counted: u64 = lanes.iter().map(|lane| lane.messages).sum();
        assert_eq!(counted, by_deadline.len() as u64);
        let remaining = |index: u64| {
            let numbers = index * BATCH..(index + 1) * BATCH;
            numbers.filter(|number| by_deadline.contains_key(number)).collect::<Vec<u64>>()
        };
        let whole = |index: u64| (index * BATCH..(index + 1) * BATCH).collect::<Vec<u64>>();
        let half = |index: u64| (index * BATCH + BATCH / 2..(index + 1) * BATCH).collect::<Vec<u64>>();
        for index in 0..removed {
            assert_eq!(remaining(index), half(index), "batch {index} of {appended}, {removed} removed");
        }
        for index in removed..appended {
            assert!(
                remaining(index) == whole(index) || remaining(index) == half(index),
                "batch {index}: {:?}",
                remaining(index)
            );
        }
        let unacknowledged = remaining(appended);
        assert!(unacknowledged.is_empty() || unacknowledged == whole(appended), "{unacknowledged:?}");
        for (number, message) in &by_deadline {
            assert_eq!(*message, self::message(*number).stored_at(message.position.sequence));
            assert_eq!(store.find(&message.id).expect("find succeeds"), Some(message.position));
        }
    }
}

/// A scenario on the memory store that appends messages, fetches and removes some, puts some back and removes
/// expired ones. `kept` is filled with the positions that are acknowledged and not removed; its values are false
/// while a removal is in progress.
fn scenario(store: &mut dyn BacklogStore, kept: &mut BTreeMap<Position, bool>) -> Result<(), StoreError> {
    for index in 0..3 {
        for position in store.append(&batch(index))? {
            kept.insert(position, true);
        }
    }
    let lane = Lane { destination: 1, class: ClassNumber(0) };
    let fetched = store.fetch(lane, None, 4)?;
    let positions: Vec<Position> = fetched.iter().map(|message| message.position).collect();
    positions.iter().for_each(|position| {
        kept.insert(*position, false);
    });
    store.remove(&positions)?;
    positions.iter().for_each(|position| {
        kept.remove(position);
    });
    store.put_back(&fetched[..2])?;
    positions[..2].iter().for_each(|position| {
        kept.insert(*position, true);
    });
    let due = store.due(UnixMillis(1003), 9)?;
    let due: Vec<Position> = due.iter().map(|message| message.position).collect();
    due.iter().for_each(|position| {
        kept.insert(*position, false);
    });
    store.remove(&due)?;
    due.iter().for_each(|position| {
        kept.remove(position);
    });
    Ok(())
}

#[test]
fn a_crash_at_each_operation_of_the_memory_store_keeps_acknowledged_messages() {
    let disk = MemoryDisk::default();
    scenario(&mut disk.open(), &mut BTreeMap::new()).expect("the scenario succeeds without faults");
    let steps = disk.operations();
    assert_eq!(steps, 8);
    for (step, fault) in (0..steps).flat_map(|step| [(step, Fault::CrashBefore), (step, Fault::CrashAfter)]) {
        let disk = MemoryDisk::default();
        disk.inject_fault(step, fault);
        let mut kept = BTreeMap::new();
        let outcome = scenario(&mut disk.open(), &mut kept);
        assert!(matches!(outcome, Err(StoreError::Closed)), "{fault:?} at {step}");
        let messages = by_number(disk.messages());
        let present: Vec<Position> = messages.values().map(|message| message.position).collect();
        let certain = kept.iter().filter(|(_, certain)| **certain).map(|(position, _)| position);
        assert!(certain.clone().all(|position| present.contains(position)), "{fault:?} at {step}");
        // A crash during a batch may leave that whole batch without an acknowledgement, but nothing else.
        let extra = present.iter().filter(|position| !kept.contains_key(position)).count() as u64;
        assert!([0, 2, BATCH].contains(&extra), "{extra} extra, {fault:?} at {step}");
    }
}
