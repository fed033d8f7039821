//! The list of execute nodes in discovery's form, held as the text that it came in.
//!
//! A whole list can be many megabytes, again and again. Decoded at once it would be held several times over, and what
//! the allocator keeps of that would be more than all that is remembered of the nodes. So a long text stands in a
//! mapping of its own, which goes back to the system with it; it is checked whole once, and decoded in parts as they
//! are taken in.
use memmap2::MmapMut;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;
use std::io;

use crate::json::decode;

/// Entries of a list that are decoded and taken in together: well under a millisecond's work, since a job on its way
/// gives way to several parts.
pub const PART: usize = 250;
/// A longer text gets a mapping of its own.
const LONG: usize = 128 * 1024;

/// An execute node as discovery lists it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct NodeEntry<'a> {
    #[serde(borrow)]
    pub instance_id: Cow<'a, str>,
    #[serde(borrow)]
    pub host_port: Cow<'a, str>,
    #[serde(borrow)]
    pub zone: Cow<'a, str>,
    #[serde(borrow)]
    pub machine_type: Cow<'a, str>,
    pub cell: u64,
    pub lifecycle: Lifecycle,
    pub weight: Option<f64>,
    /// Its last start, as Unix time in milliseconds; 0 is long ago.
    #[serde(default, deserialize_with = "millis")]
    pub started_at_ms: u64,
}

/// What discovery says of an execute node.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    Serving,
    /// Finishes what it has and wants nothing new.
    Draining,
    Deleted,
    /// A state of which nothing is known: nothing new is sent there.
    #[serde(other)]
    Other,
}

/// A text that grows as it comes in.
#[derive(Debug, Default)]
pub struct ListText {
    short: Vec<u8>,
    long: Option<MmapMut>,
    length: usize,
}

impl From<Vec<u8>> for ListText {
    fn from(short: Vec<u8>) -> Self {
        ListText { length: short.len(), short, long: None }
    }
}

impl ListText {
    /// Adds what came, up to `limit` bytes in all; false if it does not fit.
    pub fn append(&mut self, bytes: &[u8], limit: usize) -> io::Result<bool> {
        let length = self.length + bytes.len();
        if length > limit {
            return Ok(false);
        }
        if self.long.is_none() && length > LONG {
            // Only what is written to takes up memory.
            let mut long = MmapMut::map_anon(limit)?;
            long[..self.length].copy_from_slice(&self.short);
            (self.long, self.short) = (Some(long), Vec::new());
        }
        match &mut self.long {
            Some(long) => long[self.length..length].copy_from_slice(bytes),
            None => self.short.extend_from_slice(bytes),
        }
        self.length = length;
        Ok(true)
    }

    pub fn is_mapped(&self) -> bool {
        self.long.is_some()
    }

    fn bytes(&self) -> &[u8] {
        self.long.as_ref().map_or(&self.short, |long| &long[..self.length])
    }
}

/// A list, or its changes since another.
#[derive(Debug)]
pub struct NodeList {
    pub generation: u64,
    /// The whole list; what is not in it is gone.
    pub reset: bool,
    entries: Entries,
}

#[derive(Debug)]
enum Entries {
    Made(Vec<NodeEntry<'static>>),
    /// Where each part begins in the text, and how many entries there are in all.
    Read {
        text: ListText,
        parts: Vec<usize>,
        count: usize,
    },
}

impl Default for NodeList {
    fn default() -> Self {
        NodeList::from_entries(Vec::new())
    }
}

impl NodeList {
    /// A whole list that was not read.
    pub fn from_entries(entries: Vec<NodeEntry<'static>>) -> Self {
        NodeList { generation: 0, reset: true, entries: Entries::Made(entries) }
    }

    /// A list, or changes, that were read one by one.
    pub fn new(generation: u64, reset: bool, entries: Vec<NodeEntry<'static>>) -> Self {
        NodeList { generation, reset, entries: Entries::Made(entries) }
    }

    /// Each entry by its name and as a text, none for one that is gone: the same for all who were told the same.
    pub fn entry_texts(&self) -> Vec<(String, Option<String>)> {
        let entries = (0..self.chunk_count()).flat_map(|part| self.chunk(part));
        let text = |entry: NodeEntry| {
            let name = entry.instance_id.clone().into_owned();
            let listed = entry.lifecycle != Lifecycle::Deleted;
            (name, listed.then(|| serde_json::to_string(&entry).expect("plain values")))
        };
        entries.map(text).collect()
    }

    /// Checks a text whole; a fault names its path.
    pub fn parse(text: ListText) -> Result<NodeList, String> {
        let told: Told = decode(text.bytes())?;
        if let Some(fault) = told.instances.fault {
            return Err(fault);
        }
        let start = text.bytes().as_ptr() as usize;
        let parts = told.instances.parts.iter().map(|part| part.as_ptr() as usize - start).collect();
        let (generation, reset, count) = (told.generation, told.reset, told.instances.count);
        Ok(NodeList { generation, reset, entries: Entries::Read { text, parts, count } })
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        match &self.entries {
            Entries::Made(entries) => entries.len(),
            Entries::Read { count, .. } => *count,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many parts there are.
    pub fn chunk_count(&self) -> usize {
        self.len().div_ceil(PART)
    }

    /// The entries of a part.
    pub fn chunk(&self, number: usize) -> Vec<NodeEntry<'_>> {
        match &self.entries {
            Entries::Made(entries) => entries.iter().skip(number * PART).take(PART).cloned().collect(),
            Entries::Read { text, parts, .. } => {
                let bytes = text.bytes();
                let mut at = parts.get(number).copied().unwrap_or(bytes.len());
                let mut entries = Vec::with_capacity(PART.min(self.len()));
                while entries.len() < PART {
                    let mut one = serde_json::Deserializer::from_slice(&bytes[at..]).into_iter::<NodeEntry>();
                    let Some(Ok(node)) = one.next() else { break };
                    entries.push(node);
                    at += one.byte_offset();
                    // On to the next one, or to the end of them.
                    let between = bytes[at..].iter().take_while(|b| b.is_ascii_whitespace() || **b == b',');
                    at += between.count();
                }
                entries
            }
        }
    }
}

/// The list as it is written.
#[derive(Deserialize)]
struct Told<'a> {
    generation: u64,
    reset: bool,
    #[serde(borrow)]
    instances: Instances<'a>,
}

/// Entries that were checked one by one: the text of the first of each part, and what is wrong with the first unfit.
struct Instances<'a> {
    parts: Vec<&'a str>,
    count: usize,
    fault: Option<String>,
}

impl<'de: 'a, 'a> Deserialize<'de> for Instances<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Each;
        impl<'de> Visitor<'de> for Each {
            type Value = Instances<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a list of execute nodes")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
                let mut all = Instances { parts: Vec::new(), count: 0, fault: None };
                while let Some(raw) = seq.next_element::<&'de RawValue>()? {
                    if all.count.is_multiple_of(PART) {
                        all.parts.push(raw.get());
                    }
                    if all.fault.is_none() {
                        let fault = decode::<NodeEntry>(raw.get().as_bytes()).err();
                        all.fault = fault.map(|fault| format!("instances[{}].{fault}", all.count));
                    }
                    all.count += 1;
                }
                Ok(all)
            }
        }
        deserializer.deserialize_seq(Each)
    }
}

/// Negative or absurd figures say as little as none.
fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    f64::deserialize(deserializer).map(|told| told as u64)
}

impl NodeEntry<'static> {
    /// An entry from its text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let told: NodeEntry = decode(text.as_bytes())?;
        let own = |text: Cow<str>| Cow::Owned(text.into_owned());
        let NodeEntry { cell, lifecycle, weight, started_at_ms, .. } = told;
        let (instance_id, host_port) = (own(told.instance_id), own(told.host_port));
        let (zone, machine_type) = (own(told.zone), own(told.machine_type));
        Ok(NodeEntry { instance_id, host_port, zone, machine_type, cell, lifecycle, weight, started_at_ms })
    }

    /// One that is gone.
    pub fn deleted(name: String) -> Self {
        let none = Cow::Borrowed("");
        let (host_port, zone, machine_type) = (none.clone(), none.clone(), none);
        let lifecycle = Lifecycle::Deleted;
        let instance_id = Cow::Owned(name);
        NodeEntry {
            instance_id,
            host_port,
            zone,
            machine_type,
            cell: 0,
            lifecycle,
            weight: None,
            started_at_ms: 0,
        }
    }
}

#[cfg(test)]
mod tests;
