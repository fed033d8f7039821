use bytes::Bytes;

use super::*;

const LANE: Lane = Lane { destination: 7, class: ClassNumber(0) };

fn message(number: u64) -> NewMessage {
    NewMessage {
        lane: LANE,
        arrived: UnixMillis(number),
        deadline: UnixMillis(1000 - number),
        id: format!("id-{number}").into(),
        payload: Bytes::from(vec![number as u8; 10]),
    }
}

fn sequences(messages: &[StoredMessage]) -> Vec<u64> {
    messages.iter().map(|message| message.position.sequence).collect()
}

#[test]
fn messages_are_read_in_order_of_arrival_and_of_deadline() {
    let mut store = MemoryDisk::default().open();
    let positions = store.append(&[message(0), message(1), message(2)]).unwrap();
    assert_eq!(sequences(&store.fetch(LANE, None, 2).unwrap()), [0, 1]);
    assert_eq!(sequences(&store.fetch(LANE, Some(0), 9).unwrap()), [1, 2]);
    assert_eq!(sequences(&store.due(UnixMillis(999), 9).unwrap()), [2, 1]);
    store.remove(&[positions[1]]).unwrap();
    assert_eq!(store.find("id-1").unwrap(), None);
    assert_eq!(store.find("id-2").unwrap(), Some(positions[2]));
    assert_eq!(store.lanes().unwrap()[0].messages, 2);
}

/// Whatever fault hits an append, the reopened store has the complete batch or nothing of it.
#[test]
fn every_fault_leaves_a_batch_complete_or_absent() {
    let faults = [
        (Fault::Error, 0, false),
        (Fault::ErrorAfter, 2, false),
        (Fault::Full, 0, false),
        (Fault::Stall(Duration::from_millis(1)), 2, false),
        (Fault::CrashBefore, 0, true),
        (Fault::CrashAfter, 2, true),
    ];
    for (fault, expected, crashed) in faults {
        let disk = MemoryDisk::default();
        let mut store = disk.open();
        disk.inject_fault(0, fault);
        let outcome = store.append(&[message(0), message(1)]);
        assert_eq!(outcome.is_ok(), matches!(fault, Fault::Stall(_)), "{fault:?}");
        assert_eq!(matches!(store.fetch(LANE, None, 9), Err(StoreError::Closed)), crashed, "{fault:?}");
        assert_eq!(disk.open().fetch(LANE, None, 9).unwrap().len(), expected, "{fault:?}");
    }
}

#[test]
fn a_full_store_allows_removals() {
    let disk = MemoryDisk::default();
    let mut store = disk.open();
    let positions = store.append(&[message(0)]).unwrap();
    disk.limit_bytes(Some(20));
    assert!(matches!(store.append(&[message(1)]), Err(StoreError::Full { used: 14, limit: 20 })));
    store.remove(&positions).unwrap();
    store.append(&[message(1)]).unwrap();
}

#[test]
fn a_corrupt_message_is_reported_once_and_skipped() {
    let disk = MemoryDisk::default();
    let mut store = disk.open();
    let positions = store.append(&[message(0), message(1)]).unwrap();
    disk.corrupt(positions[0]);
    assert_eq!(sequences(&store.fetch(LANE, None, 1).unwrap()), [1]);
    assert_eq!(sequences(&store.due(UnixMillis(1000), 9).unwrap()), [1]);
    assert_eq!(store.corruptions().len(), 1);
}
