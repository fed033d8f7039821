//! The list of execute nodes as instances replicate it: its version, its entries and its recent changes.
//!
//! An entry is a name with an opaque text; this module does not interpret the text.
use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A list entry: its name and its text, or `None` if the entry was removed.
pub type Entry = (String, Option<String>);

/// Identifies the contents of a list. The generation alone is not enough: a discovery service that loses its state restarts its
/// generation counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListVersion {
    /// Discovery's generation counter.
    pub generation: u64,
    /// Digest of the contents: the wrapping sum of the first 8 bytes of each entry's SHA-256.
    pub digest: u64,
}

/// The changes that lead from one list version to another, or a whole list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The version that the changes apply to; `None` if the entries are the whole list.
    pub base: Option<ListVersion>,
    /// The version that results.
    pub version: ListVersion,
    /// The changed entries, or all entries if there is no base.
    pub entries: Vec<Entry>,
}

/// Most list changes kept in the history, from which an instance with a recent list is sent only the changes.
const MAX_HISTORY_CHANGES: usize = 32;
/// The history holds at most as many entries as the list itself plus this number, so that it does not outgrow the list.
const EXTRA_HISTORY_ENTRIES: usize = 64;

/// A list with the history of its recent changes.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    generation: u64,
    digest: u64,
    entries: BTreeMap<String, String>,
    history: VecDeque<(ListVersion, Vec<Entry>)>,
}

fn entry_hash(name: &str, text: &str) -> u64 {
    let full = digest(&SHA256, format!("{name}\0{text}").as_bytes());
    u64::from_be_bytes(full.as_ref()[..8].try_into().expect("eight bytes"))
}

impl Catalog {
    /// The version of this list.
    pub fn version(&self) -> ListVersion {
        ListVersion { generation: self.generation, digest: self.digest }
    }

    /// This list with a difference applied. `None` if the difference has another base, or if the result does not have the version
    /// that the difference states.
    pub fn apply(&self, difference: &Difference) -> Option<Catalog> {
        if difference.base.is_some_and(|base| base != self.version()) {
            return None;
        }
        let (generation, whole) = (difference.version.generation, difference.base.is_none());
        let next = self.updated(generation, whole, difference.entries.clone());
        (next.version() == difference.version).then_some(next)
    }

    /// This list after discovery answered with the whole list or with the changed entries.
    pub fn updated(&self, generation: u64, whole: bool, entries: Vec<Entry>) -> Catalog {
        let mut next = self.clone();
        let step = if whole { next.replace(entries) } else { next.change(entries) };
        next.generation = generation;
        if next.version() != self.version() {
            next.history.push_back((self.version(), step));
        }
        let max_entries = next.entries.len() + EXTRA_HISTORY_ENTRIES;
        let history_entries =
            |history: &VecDeque<(_, Vec<Entry>)>| history.iter().map(|(_, step)| step.len()).sum::<usize>();
        while next.history.len() > MAX_HISTORY_CHANGES || history_entries(&next.history) > max_entries {
            next.history.pop_front();
        }
        next
    }

    /// Replaces all entries; returns the entries that changed.
    fn replace(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let new: BTreeMap<_, _> =
            entries.into_iter().filter_map(|(name, text)| Some((name, text?))).collect();
        let removed =
            self.entries.keys().filter(|name| !new.contains_key(*name)).map(|name| (name.clone(), None));
        let removed: Vec<_> = removed.collect();
        let changed = new.into_iter().map(|(name, text)| (name, Some(text)));
        self.change(removed.into_iter().chain(changed).collect())
    }

    /// Applies changed entries; returns those that made a difference.
    fn change(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut step = Vec::new();
        for (name, text) in entries {
            if self.entries.get(&name) == text.as_ref() {
                continue;
            }
            let new = text.as_ref().map_or(0, |text| entry_hash(&name, text));
            let old = match &text {
                Some(text) => self.entries.insert(name.clone(), text.clone()),
                None => self.entries.remove(&name),
            };
            let old = old.map_or(0, |text| entry_hash(&name, &text));
            self.digest = self.digest.wrapping_sub(old).wrapping_add(new);
            step.push((name, text));
        }
        step
    }

    /// Whether the history reaches back to a version.
    pub fn has_changes_since(&self, base: ListVersion) -> bool {
        base == self.version() || self.history.iter().any(|(from, _)| *from == base)
    }

    /// The difference from a version to this list: the changes if the history reaches back to it, else the whole list.
    pub fn changes_since(&self, base: Option<ListVersion>) -> Difference {
        let version = self.version();
        let changes = base.and_then(|base| {
            if base == version {
                return Some(Vec::new());
            }
            let first = self.history.iter().rposition(|(from, _)| *from == base)?;
            // Later changes of an entry override earlier ones.
            let all = self.history.iter().skip(first).flat_map(|(_, step)| step.iter().cloned());
            Some(all.collect::<BTreeMap<_, _>>().into_iter().collect())
        });
        match changes {
            Some(entries) => Difference { base, version, entries },
            None => {
                let all = self.entries.iter().map(|(name, text)| (name.clone(), Some(text.clone())));
                Difference { base: None, version, entries: all.collect() }
            }
        }
    }
}

#[cfg(test)]
mod tests;
