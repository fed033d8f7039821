//! Encoding of keys and values on disk. Numbers in keys are big-endian, so that the byte order of keys is their
//! numeric order.
use bytes::Bytes;

use crate::message::{ClassNumber, Lane, Position, StoredMessage, UnixMillis};

/// Length of a lane key: destination (8), class (2).
pub const LANE_KEY_BYTES: usize = 10;
/// Length of a position key: lane (10), sequence (8).
pub const POSITION_KEY_BYTES: usize = LANE_KEY_BYTES + 8;
/// Length of a deadline key: deadline (8), position (18).
pub const DEADLINE_KEY_BYTES: usize = 8 + POSITION_KEY_BYTES;
/// Length of a message value before the id: CRC-32 (4), arrival (8), deadline (8), length of the id (2).
const MESSAGE_HEADER_BYTES: usize = 4 + 8 + 8 + 2;
const CHECKSUM_BYTES: usize = 4;

/// The key of a lane.
pub fn lane_key(lane: Lane) -> [u8; LANE_KEY_BYTES] {
    let mut key = [0; LANE_KEY_BYTES];
    key[..8].copy_from_slice(&lane.destination.to_be_bytes());
    key[8..].copy_from_slice(&lane.class.0.to_be_bytes());
    key
}

/// Decodes a lane key of [`LANE_KEY_BYTES`] bytes.
pub fn read_lane(key: &[u8]) -> Option<Lane> {
    if key.len() != LANE_KEY_BYTES {
        return None;
    }
    let class = u16::from_be_bytes([key[8], key[9]]);
    Some(Lane { destination: read_u64(key)?, class: ClassNumber(class) })
}

/// The key of a message.
pub fn position_key(position: Position) -> [u8; POSITION_KEY_BYTES] {
    let mut key = [0; POSITION_KEY_BYTES];
    key[..LANE_KEY_BYTES].copy_from_slice(&lane_key(position.lane));
    key[LANE_KEY_BYTES..].copy_from_slice(&position.sequence.to_be_bytes());
    key
}

/// Decodes a position key of [`POSITION_KEY_BYTES`] bytes.
pub fn read_position(key: &[u8]) -> Option<Position> {
    if key.len() != POSITION_KEY_BYTES {
        return None;
    }
    Some(Position { lane: read_lane(&key[..LANE_KEY_BYTES])?, sequence: read_u64(&key[LANE_KEY_BYTES..])? })
}

/// The key of a message in the deadline index.
pub fn deadline_key(deadline: UnixMillis, position: Position) -> [u8; DEADLINE_KEY_BYTES] {
    let mut key = [0; DEADLINE_KEY_BYTES];
    key[..8].copy_from_slice(&deadline.0.to_be_bytes());
    key[8..].copy_from_slice(&position_key(position));
    key
}

/// Decodes a deadline key of [`DEADLINE_KEY_BYTES`] bytes.
pub fn read_deadline(key: &[u8]) -> Option<(UnixMillis, Position)> {
    if key.len() != DEADLINE_KEY_BYTES {
        return None;
    }
    Some((UnixMillis(read_u64(key)?), read_position(&key[8..])?))
}

/// Encodes the value of a message: a CRC-32 over its key and all that follows, arrival, deadline, length of the id,
/// id, payload.
pub fn message_value(message: &StoredMessage) -> Vec<u8> {
    let mut value = Vec::with_capacity(MESSAGE_HEADER_BYTES + message.id.len() + message.payload.len());
    value.extend_from_slice(&[0; CHECKSUM_BYTES]);
    value.extend_from_slice(&message.arrived.0.to_be_bytes());
    value.extend_from_slice(&message.deadline.0.to_be_bytes());
    value.extend_from_slice(&(message.id.len() as u16).to_be_bytes());
    value.extend_from_slice(message.id.as_bytes());
    value.extend_from_slice(&message.payload);
    let checksum = checksum(message.position, &value[CHECKSUM_BYTES..]);
    value[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_be_bytes());
    value
}

/// Decodes a message value, or returns what is wrong with it. The payload is a slice of `value`, not a copy.
pub fn read_message(position: Position, value: &Bytes) -> Result<StoredMessage, &'static str> {
    if value.len() < MESSAGE_HEADER_BYTES {
        return Err("the message is truncated");
    }
    let expected = u32::from_be_bytes([value[0], value[1], value[2], value[3]]);
    if checksum(position, &value[CHECKSUM_BYTES..]) != expected {
        return Err("the message's checksum does not match");
    }
    let id_end = MESSAGE_HEADER_BYTES + usize::from(u16::from_be_bytes([value[20], value[21]]));
    let id = value.get(MESSAGE_HEADER_BYTES..id_end).and_then(|id| std::str::from_utf8(id).ok());
    Ok(StoredMessage {
        position,
        arrived: UnixMillis(read_u64(&value[4..]).ok_or("the arrival time is missing")?),
        deadline: UnixMillis(read_u64(&value[12..]).ok_or("the deadline is missing")?),
        id: id.ok_or("the message's id is truncated or not UTF-8")?.into(),
        payload: value.slice(id_end..),
    })
}

/// Includes the key, so that a value found at another position than its own counts as corrupt.
fn checksum(position: Position, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&position_key(position));
    hasher.update(content);
    hasher.finalize()
}

/// Decodes the big-endian number at the start of `bytes`.
pub fn read_u64(bytes: &[u8]) -> Option<u64> {
    bytes.get(..8)?.try_into().ok().map(u64::from_be_bytes)
}
