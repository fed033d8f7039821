//! The list of execute nodes as instances pass it on: which one it is, what is in it, and what has changed of late.
//!
//! Knows entries as names with a text each, and nothing of what a text says.
use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An entry that changed: its name, and its text where it is still there.
pub type Entry = (String, Option<String>);

/// Which list it is. The generation alone does not say: a list service that lost its memory counts anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ListVersion {
    /// As the list service counts.
    pub generation: u64,
    /// Of all that is in it: the sum of the first 8 bytes of each entry's SHA-256.
    pub digest: u64,
}

/// What one list has and another has not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The list that it is from; none where the entries are all there are.
    pub base: Option<ListVersion>,
    /// The list that it leads to.
    pub version: ListVersion,
    /// What is in it, or has changed.
    pub entries: Vec<Entry>,
}

/// Changes that are remembered, so that who holds a list of a moment ago is told no more than that.
const STEPS: usize = 32;
/// Entries in them, for each one that is listed and beside. Guards against remembering more than the list itself.
const LEAST_REMEMBERED: usize = 64;

/// A list, and how it came to be.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    generation: u64,
    digest: u64,
    entries: BTreeMap<String, String>,
    steps: VecDeque<(ListVersion, Vec<Entry>)>,
}

fn hash(name: &str, text: &str) -> u64 {
    let whole = digest(&SHA256, format!("{name}\0{text}").as_bytes());
    u64::from_be_bytes(whole.as_ref()[..8].try_into().expect("eight bytes"))
}

impl Catalog {
    /// Which list it is.
    pub fn version(&self) -> ListVersion {
        ListVersion { generation: self.generation, digest: self.digest }
    }

    /// What it would be with a difference from it, or from nothing; none where it is not the one that the difference is from,
    /// or what comes out is not the list that the difference is to lead to.
    pub fn apply(&self, difference: &Difference) -> Option<Catalog> {
        if difference.base.is_some_and(|base| base != self.version()) {
            return None;
        }
        let (generation, whole) = (difference.version.generation, difference.base.is_none());
        let next = self.updated(generation, whole, difference.entries.clone());
        (next.version() == difference.version).then_some(next)
    }

    /// What it would be as the list service tells it: all that there is, or what changed.
    pub fn updated(&self, generation: u64, whole: bool, entries: Vec<Entry>) -> Catalog {
        let mut next = self.clone();
        let step = if whole { next.replace(entries) } else { next.change(entries) };
        next.generation = generation;
        if next.version() != self.version() {
            next.steps.push_back((self.version(), step));
        }
        let most = next.entries.len() + LEAST_REMEMBERED;
        let remembered =
            |steps: &VecDeque<(_, Vec<Entry>)>| steps.iter().map(|(_, step)| step.len()).sum::<usize>();
        while next.steps.len() > STEPS || remembered(&next.steps) > most {
            next.steps.pop_front();
        }
        next
    }

    /// Puts entries in place of all that there are; gives what that changes.
    fn replace(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let new: BTreeMap<_, _> =
            entries.into_iter().filter_map(|(name, text)| Some((name, text?))).collect();
        let gone =
            self.entries.keys().filter(|name| !new.contains_key(*name)).map(|name| (name.clone(), None));
        let gone: Vec<_> = gone.collect();
        let changed = new.into_iter().map(|(name, text)| (name, Some(text)));
        self.change(gone.into_iter().chain(changed).collect())
    }

    /// Takes up changes; gives those that change something.
    fn change(&mut self, entries: Vec<Entry>) -> Vec<Entry> {
        let mut step = Vec::new();
        for (name, text) in entries {
            if self.entries.get(&name) == text.as_ref() {
                continue;
            }
            let new = text.as_ref().map_or(0, |text| hash(&name, text));
            let old = match &text {
                Some(text) => self.entries.insert(name.clone(), text.clone()),
                None => self.entries.remove(&name),
            };
            let old = old.map_or(0, |text| hash(&name, &text));
            self.digest = self.digest.wrapping_sub(old).wrapping_add(new);
            step.push((name, text));
        }
        step
    }

    /// Whether what changed since such a list is remembered.
    pub fn has_changes_since(&self, held: ListVersion) -> bool {
        held == self.version() || self.steps.iter().any(|(from, _)| *from == held)
    }

    /// What who holds such a list has not: changes where they are remembered, else all.
    pub fn changes_since(&self, held: Option<ListVersion>) -> Difference {
        let version = self.version();
        let steps = held.and_then(|held| {
            if held == version {
                return Some(Vec::new());
            }
            let first = self.steps.iter().rposition(|(from, _)| *from == held)?;
            // The last word on each entry.
            let all = self.steps.iter().skip(first).flat_map(|(_, step)| step.iter().cloned());
            Some(all.collect::<BTreeMap<_, _>>().into_iter().collect())
        });
        match steps {
            Some(entries) => Difference { base: held, version, entries },
            None => {
                let all = self.entries.iter().map(|(name, text)| (name.clone(), Some(text.clone())));
                Difference { base: None, version, entries: all.collect() }
            }
        }
    }
}

#[cfg(test)]
mod tests;
