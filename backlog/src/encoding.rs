//! The bytes of keys and values on disk. Numbers in keys are big-endian, so that their order is that of the bytes.
use bytes::Bytes;

use crate::message::{ClassNumber, Lane, Position, StoredMessage, UnixMillis};

/// Bytes of a lane's key: destination (8), class (2).
pub const LANE_KEY: usize = 10;
/// Bytes of a place's key: lane (10), sequence (8).
pub const POSITION_KEY: usize = LANE_KEY + 8;
/// Bytes of a deadline's key: deadline (8), place (18).
pub const DEADLINE_KEY: usize = 8 + POSITION_KEY;
/// Bytes of a message's value before its id: CRC-32 (4), arrival (8), deadline (8), length of the id (2).
const MESSAGE_HEADER: usize = 4 + 8 + 8 + 2;
const CHECKSUM: usize = 4;

/// The key of a lane.
pub fn lane_key(lane: Lane) -> [u8; LANE_KEY] {
    let mut key = [0; LANE_KEY];
    key[..8].copy_from_slice(&lane.destination.to_be_bytes());
    key[8..].copy_from_slice(&lane.class.0.to_be_bytes());
    key
}

/// The lane that a key of [`LANE_KEY`] bytes tells.
pub fn read_lane(key: &[u8]) -> Option<Lane> {
    if key.len() != LANE_KEY {
        return None;
    }
    let class = u16::from_be_bytes([key[8], key[9]]);
    Some(Lane { destination: read_u64(key)?, class: ClassNumber(class) })
}

/// The key of a message.
pub fn position_key(position: Position) -> [u8; POSITION_KEY] {
    let mut key = [0; POSITION_KEY];
    key[..LANE_KEY].copy_from_slice(&lane_key(position.lane));
    key[LANE_KEY..].copy_from_slice(&position.sequence.to_be_bytes());
    key
}

/// The place that a key of [`POSITION_KEY`] bytes tells.
pub fn read_position(key: &[u8]) -> Option<Position> {
    if key.len() != POSITION_KEY {
        return None;
    }
    Some(Position { lane: read_lane(&key[..LANE_KEY])?, sequence: read_u64(&key[LANE_KEY..])? })
}

/// The key of a message in the index of deadlines.
pub fn deadline_key(deadline: UnixMillis, position: Position) -> [u8; DEADLINE_KEY] {
    let mut key = [0; DEADLINE_KEY];
    key[..8].copy_from_slice(&deadline.0.to_be_bytes());
    key[8..].copy_from_slice(&position_key(position));
    key
}

/// The deadline and place that a key of [`DEADLINE_KEY`] bytes tells.
pub fn read_deadline(key: &[u8]) -> Option<(UnixMillis, Position)> {
    if key.len() != DEADLINE_KEY {
        return None;
    }
    Some((UnixMillis(read_u64(key)?), read_position(&key[8..])?))
}

/// The value of a message: a CRC-32 of all that follows, arrival, deadline, length of the id, id, payload.
pub fn message_value(message: &StoredMessage) -> Vec<u8> {
    let mut value = Vec::with_capacity(MESSAGE_HEADER + message.id.len() + message.payload.len());
    value.extend_from_slice(&[0; CHECKSUM]);
    value.extend_from_slice(&message.arrived.0.to_be_bytes());
    value.extend_from_slice(&message.deadline.0.to_be_bytes());
    value.extend_from_slice(&(message.id.len() as u16).to_be_bytes());
    value.extend_from_slice(message.id.as_bytes());
    value.extend_from_slice(&message.payload);
    let checksum = checksum(message.position, &value[CHECKSUM..]);
    value[..CHECKSUM].copy_from_slice(&checksum.to_be_bytes());
    value
}

/// The message that a value tells, or what is wrong with it. Its payload is a part of `value`, not a copy.
pub fn read_message(position: Position, value: &Bytes) -> Result<StoredMessage, &'static str> {
    if value.len() < MESSAGE_HEADER {
        return Err("the message is cut off");
    }
    let expected = u32::from_be_bytes([value[0], value[1], value[2], value[3]]);
    if checksum(position, &value[CHECKSUM..]) != expected {
        return Err("the message's checksum does not match");
    }
    let id_end = MESSAGE_HEADER + usize::from(u16::from_be_bytes([value[20], value[21]]));
    let id = value.get(MESSAGE_HEADER..id_end).and_then(|id| std::str::from_utf8(id).ok());
    Ok(StoredMessage {
        position,
        arrived: UnixMillis(read_u64(&value[4..]).ok_or("no arrival")?),
        deadline: UnixMillis(read_u64(&value[12..]).ok_or("no deadline")?),
        id: id.ok_or("the message's id is cut off")?.into(),
        payload: value.slice(id_end..),
    })
}

/// Covers the key, too: a value found at another place than its own is damage.
fn checksum(position: Position, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&position_key(position));
    hasher.update(content);
    hasher.finalize()
}

/// The big-endian number at the start of `bytes`.
pub fn read_u64(bytes: &[u8]) -> Option<u64> {
    bytes.get(..8)?.try_into().ok().map(u64::from_be_bytes)
}
