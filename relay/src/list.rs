//! The list of execute nodes in discovery's format, kept as the JSON text that was received.
//!
//! A full list can have many megabytes and can arrive repeatedly. Decoding it at once would hold it in memory several
//! times over, and the allocator would retain more memory for that than all state kept about the nodes. So a long text
//! is stored in its own memory mapping, which is returned to the system when it is dropped; the text is validated once
//! as a whole, and decoded in chunks as they are applied.
use memmap2::MmapMut;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;
use std::io;

use crate::json::decode;

/// Entries of a list that are decoded and applied together: well under a millisecond of work, since a job in progress
/// may have to wait for several chunks.
pub const CHUNK: usize = 250;
/// Longer texts, in bytes, get a memory mapping of their own.
const MAPPING_THRESHOLD: usize = 128 * 1024;

/// An execute node as listed by discovery.
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
    /// Its last start, as Unix time in milliseconds; 0 means long ago.
    #[serde(default, deserialize_with = "millis")]
    pub started_at_ms: u64,
}

/// The state of an execute node according to discovery.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    Serving,
    /// The node finishes the claims it has and accepts no new ones.
    Draining,
    Deleted,
    /// An unknown state: no new claims are sent to the node.
    #[serde(other)]
    Other,
}

/// A buffer for a list's text as it is received.
#[derive(Debug, Default)]
pub struct ListText {
    heap: Vec<u8>,
    mapped: Option<MmapMut>,
    length: usize,
}

impl From<Vec<u8>> for ListText {
    fn from(heap: Vec<u8>) -> Self {
        ListText { length: heap.len(), heap, mapped: None }
    }
}

impl ListText {
    /// Appends received bytes; false if the text would exceed `limit` bytes.
    pub fn append(&mut self, bytes: &[u8], limit: usize) -> io::Result<bool> {
        let length = self.length + bytes.len();
        if length > limit {
            return Ok(false);
        }
        if self.mapped.is_none() && length > MAPPING_THRESHOLD {
            // Reserves the limit: only pages that are written to use memory.
            let mut mapped = MmapMut::map_anon(limit)?;
            mapped[..self.length].copy_from_slice(&self.heap);
            (self.mapped, self.heap) = (Some(mapped), Vec::new());
        }
        match &mut self.mapped {
            Some(mapped) => mapped[self.length..length].copy_from_slice(bytes),
            None => self.heap.extend_from_slice(bytes),
        }
        self.length = length;
        Ok(true)
    }

    pub fn is_mapped(&self) -> bool {
        self.mapped.is_some()
    }

    fn bytes(&self) -> &[u8] {
        self.mapped.as_ref().map_or(&self.heap, |mapped| &mapped[..self.length])
    }
}

/// A full list, or the changes since an earlier one.
#[derive(Debug)]
pub struct NodeList {
    pub generation: u64,
    /// Whether this is the full list, so that nodes not in it have been removed.
    pub reset: bool,
    entries: Entries,
}

#[derive(Debug)]
enum Entries {
    Decoded(Vec<NodeEntry<'static>>),
    /// The text, the offset of each chunk's first entry, and the number of entries.
    Text {
        text: ListText,
        offsets: Vec<usize>,
        count: usize,
    },
}

impl Default for NodeList {
    fn default() -> Self {
        NodeList::from_entries(Vec::new())
    }
}

impl NodeList {
    /// A full list made of these entries.
    pub fn from_entries(entries: Vec<NodeEntry<'static>>) -> Self {
        NodeList { generation: 0, reset: true, entries: Entries::Decoded(entries) }
    }

    /// A full list, or changes, made of entries that were decoded one by one.
    pub fn new(generation: u64, reset: bool, entries: Vec<NodeEntry<'static>>) -> Self {
        NodeList { generation, reset, entries: Entries::Decoded(entries) }
    }

    /// The name of each entry with its JSON text, or `None` if it is deleted. Equal entries have equal texts, however
    /// discovery formatted them.
    pub fn entry_texts(&self) -> Vec<(String, Option<String>)> {
        let entries = (0..self.chunk_count()).flat_map(|number| self.chunk(number));
        let text = |entry: NodeEntry| {
            let name = entry.instance_id.clone().into_owned();
            let listed = entry.lifecycle != Lifecycle::Deleted;
            (name, listed.then(|| serde_json::to_string(&entry).expect("plain values")))
        };
        entries.map(text).collect()
    }

    /// Validates a text as a whole; the error names the path of the fault.
    pub fn parse(text: ListText) -> Result<NodeList, String> {
        let document: Document = decode(text.bytes())?;
        if let Some(fault) = document.instances.fault {
            return Err(fault);
        }
        let start = text.bytes().as_ptr() as usize;
        let offsets = document.instances.chunks.iter().map(|chunk| chunk.as_ptr() as usize - start).collect();
        let (generation, reset, count) = (document.generation, document.reset, document.instances.count);
        Ok(NodeList { generation, reset, entries: Entries::Text { text, offsets, count } })
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        match &self.entries {
            Entries::Decoded(entries) => entries.len(),
            Entries::Text { count, .. } => *count,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of chunks.
    pub fn chunk_count(&self) -> usize {
        self.len().div_ceil(CHUNK)
    }

    /// The entries of a chunk.
    pub fn chunk(&self, number: usize) -> Vec<NodeEntry<'_>> {
        match &self.entries {
            Entries::Decoded(entries) => entries.iter().skip(number * CHUNK).take(CHUNK).cloned().collect(),
            Entries::Text { text, offsets, .. } => {
                let bytes = text.bytes();
                let mut at = offsets.get(number).copied().unwrap_or(bytes.len());
                let mut entries = Vec::with_capacity(CHUNK.min(self.len()));
                while entries.len() < CHUNK {
                    let mut one = serde_json::Deserializer::from_slice(&bytes[at..]).into_iter::<NodeEntry>();
                    let Some(Ok(node)) = one.next() else { break };
                    entries.push(node);
                    at += one.byte_offset();
                    // Skips to the next entry, or to the end of the array.
                    let separator = bytes[at..].iter().take_while(|b| b.is_ascii_whitespace() || **b == b',');
                    at += separator.count();
                }
                entries
            }
        }
    }
}

/// The JSON document of a list.
#[derive(Deserialize)]
struct Document<'a> {
    generation: u64,
    reset: bool,
    #[serde(borrow)]
    instances: Instances<'a>,
}

/// Entries that were validated one by one: the text of each chunk's first entry, and the fault of the first invalid
/// one.
struct Instances<'a> {
    chunks: Vec<&'a str>,
    count: usize,
    fault: Option<String>,
}

impl<'de: 'a, 'a> Deserialize<'de> for Instances<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct InstancesVisitor;
        impl<'de> Visitor<'de> for InstancesVisitor {
            type Value = Instances<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a list of execute nodes")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
                let mut all = Instances { chunks: Vec::new(), count: 0, fault: None };
                while let Some(raw) = seq.next_element::<&'de RawValue>()? {
                    if all.count.is_multiple_of(CHUNK) {
                        all.chunks.push(raw.get());
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
        deserializer.deserialize_seq(InstancesVisitor)
    }
}

/// Decodes milliseconds; negative values become 0 and values out of range saturate, instead of failing the list.
fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    f64::deserialize(deserializer).map(|value| value as u64)
}

impl NodeEntry<'static> {
    /// Parses an entry from its JSON text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let entry: NodeEntry = decode(text.as_bytes())?;
        let own = |text: Cow<str>| Cow::Owned(text.into_owned());
        let NodeEntry { cell, lifecycle, weight, started_at_ms, .. } = entry;
        let (instance_id, host_port) = (own(entry.instance_id), own(entry.host_port));
        let (zone, machine_type) = (own(entry.zone), own(entry.machine_type));
        Ok(NodeEntry { instance_id, host_port, zone, machine_type, cell, lifecycle, weight, started_at_ms })
    }

    /// An entry that reports a node as deleted.
    pub fn deleted(name: String) -> Self {
        let empty = Cow::Borrowed("");
        let (host_port, zone, machine_type) = (empty.clone(), empty.clone(), empty);
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
