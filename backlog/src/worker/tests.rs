use bytes::Bytes;

use super::*;
use crate::memory_store::{Fault, MemoryDisk};

const LANE: Lane = Lane { destination: 7, class: ClassNumber(0) };

fn message(number: u64) -> NewMessage {
    NewMessage {
        lane: LANE,
        arrived: UnixMillis(number),
        deadline: UnixMillis(1000 + number),
        id: format!("id-{number}").into(),
        payload: Bytes::from_static(b"payload"),
    }
}

fn start(disk: &MemoryDisk) -> Worker {
    let disk = disk.clone();
    Worker::start(Box::new(move || Ok(Box::new(disk.open()))), 16).unwrap()
}

fn wait<T>(answer: Result<ReplyReceiver<T>, Busy>) -> Result<T, StoreError> {
    answer?.blocking_recv()?
}

#[test]
fn requests_are_answered_in_order() {
    let worker = start(&MemoryDisk::default());
    assert_eq!(wait(worker.class("payment".into())).unwrap(), ClassNumber(0));
    let positions = wait(worker.append(vec![message(0), message(1)])).unwrap();
    let messages = wait(worker.fetch(LANE, None, 9)).unwrap();
    assert_eq!(messages.iter().map(|message| message.position).collect::<Vec<_>>(), positions);
    assert_eq!(wait(worker.find("id-1".into())).unwrap(), Some(positions[1]));
    wait(worker.remove(positions)).unwrap();
    wait(worker.put_back(messages)).unwrap();
    assert_eq!(wait(worker.due(UnixMillis(1000), 9)).unwrap().len(), 1);
    let overview = wait(worker.overview()).unwrap();
    assert_eq!((overview.usage.messages, overview.class_names.len()), (2, 1));
}

/// Requests queued while an operation stalls become one batch, and each reply has the positions of its own messages.
#[test]
fn queued_appends_become_one_batch() {
    let disk = MemoryDisk::default();
    let worker = start(&disk);
    disk.inject_fault(0, Fault::Stall(Duration::from_millis(300)));
    let first = worker.append(vec![message(0)]);
    while worker.watchdog().running().is_none() {
        thread::yield_now();
    }
    let answers: Vec<_> = (1..6).map(|number| worker.append(vec![message(number)])).collect();
    assert_eq!(wait(first).unwrap()[0].sequence, 0);
    let positions: Vec<Position> = answers.into_iter().flat_map(|answer| wait(answer).unwrap()).collect();
    assert_eq!(positions.iter().map(|position| position.sequence).collect::<Vec<_>>(), [1, 2, 3, 4, 5]);
    assert_eq!(disk.operations(), 2);
    assert!(worker.watchdog().slowest() >= Duration::from_millis(300));
}

#[test]
fn a_full_queue_refuses_requests_without_blocking() {
    let disk = MemoryDisk::default();
    let worker = start(&disk);
    disk.inject_fault(0, Fault::Stall(Duration::from_millis(300)));
    let answers: Vec<_> = (0..64).map(|number| worker.append(vec![message(number)])).collect();
    let refused = answers.iter().filter(|answer| answer.is_err()).count();
    assert!(refused > 0 && refused <= 64 - 16, "{refused}");
    let accepted: usize =
        answers.into_iter().filter_map(Result::ok).map(|answer| wait(Ok(answer)).unwrap().len()).sum();
    assert_eq!(disk.messages().len(), accepted);
    assert_eq!(accepted, 64 - refused);
}

#[test]
fn the_store_is_reopened_after_an_io_error_or_a_crash() {
    let disk = MemoryDisk::default();
    let worker = start(&disk);
    disk.inject_fault(0, Fault::Error);
    disk.inject_fault(2, Fault::CrashAfter);
    assert!(matches!(wait(worker.append(vec![message(0)])), Err(StoreError::Io(_))));
    wait(worker.append(vec![message(1)])).unwrap();
    assert!(matches!(wait(worker.append(vec![message(2)])), Err(StoreError::Closed)));
    let ids: Vec<_> =
        wait(worker.fetch(LANE, None, 9)).unwrap().into_iter().map(|message| message.id).collect();
    assert_eq!(ids, ["id-1".into(), "id-2".into()]);
}

#[test]
fn queued_requests_complete_before_the_thread_ends() {
    let disk = MemoryDisk::default();
    let worker = start(&disk);
    let answers: Vec<_> = (0..5).map(|number| worker.append(vec![message(number)])).collect();
    drop(worker);
    assert!(answers.into_iter().all(|answer| wait(answer).is_ok()));
    assert_eq!(disk.messages().len(), 5);
}
