//! An execute node as the list has it.
use compact_str::CompactString;
use slatethread::{Condition, EndpointId, KindId, ZoneId};
use std::cell::Cell;
use std::net::SocketAddr;

use crate::config::Rules;
use crate::handover_state::ListedNode;
use crate::list::{Lifecycle, NodeEntry};

/// An execute node.
#[derive(Debug)]
pub struct Node {
    pub id: EndpointId,
    /// Stored inline if short.
    pub name: CompactString,
    pub address: SocketAddr,
    pub dest: u64,
    /// Indices of its zone and its kind in the settings.
    zone_kind: Cell<(u16, u16)>,
    /// NaN if the list has no weight for it.
    weight: Cell<f64>,
    /// Its last start, as Unix time in milliseconds; 0 means long ago.
    pub(super) started_ms: Cell<u64>,
    /// When an operator last enabled it, in the same unit.
    enabled_ms: Cell<u64>,
    /// Whether the list has it as serving, neither draining nor deleted.
    pub(super) serving: Cell<bool>,
    /// Whether an operator has disabled it.
    disabled: Cell<bool>,
    /// Number of the last full list that contained it.
    pub(super) last_full_list: Cell<u32>,
}

impl Node {
    /// A node as an entry of the list has it; `list` is the list's number if it is a full one, else 0.
    pub(super) fn from_entry(
        id: EndpointId,
        address: SocketAddr,
        entry: &NodeEntry,
        rules: &Rules,
        list: u32,
    ) -> Node {
        Node {
            id,
            name: (&*entry.instance_id).into(),
            address,
            dest: entry.cell,
            zone_kind: Cell::new(zone_kind_indices(entry, rules)),
            weight: Cell::new(entry.weight.unwrap_or(f64::NAN)),
            started_ms: Cell::new(entry.started_at_ms),
            enabled_ms: Cell::new(0),
            serving: Cell::new(entry.lifecycle == Lifecycle::Serving),
            disabled: Cell::new(false),
            last_full_list: Cell::new(list),
        }
    }

    /// Takes over what a later entry says of the same node.
    pub(super) fn update(&self, newer: &Node) {
        self.serving.set(newer.serving.get());
        self.zone_kind.set(newer.zone_kind.get());
        self.weight.set(newer.weight.get());
        self.started_ms.set(newer.started_ms.get());
    }

    /// Notes whether an operator has disabled it; returns whether that is a change.
    pub(super) fn set_disabled(&self, disabled: bool) -> bool {
        self.disabled.replace(disabled) != disabled
    }

    /// When an operator last enabled it, as Unix time in milliseconds; 0 if never.
    pub(super) fn enabled_ms(&self) -> u64 {
        self.enabled_ms.get()
    }

    pub fn zone(&self) -> ZoneId {
        ZoneId(usize::from(self.zone_kind.get().0))
    }

    pub fn kind(&self) -> KindId {
        KindId(usize::from(self.zone_kind.get().1))
    }

    /// Whether new claims may be sent to it.
    pub(super) fn accepts_claims(&self) -> bool {
        self.serving.get() && !self.disabled.get()
    }

    pub(super) fn set_enabled_ms(&self, at_ms: u64) {
        self.enabled_ms.set(at_ms);
    }

    /// The node as listed, for a handover. Whether an operator has disabled it is not part of the list.
    pub(super) fn to_listed_node(&self, rules: &Rules) -> ListedNode {
        let (zone, kind) = self.zone_kind.get();
        let name = |names: &[String], index: u16| names.get(usize::from(index)).cloned().unwrap_or_default();
        ListedNode {
            name: self.name.to_string(),
            address: self.address.to_string(),
            zone: name(&rules.names.zones, zone),
            kind: name(&rules.names.kinds, kind),
            dest: self.dest,
            serving: self.serving.get(),
            weight: self.weight(),
            started_ms: self.started_ms.get(),
            reenabled_ms: self.enabled_ms.get(),
        }
    }

    pub(super) fn condition(&self) -> Condition {
        if self.accepts_claims() { Condition::Active } else { Condition::Draining }
    }

    pub(super) fn weight(&self) -> Option<f64> {
        Some(self.weight.get()).filter(|weight| !weight.is_nan())
    }

    /// Whether an entry has no changes to it.
    pub(super) fn matches(&self, entry: &NodeEntry, rules: &Rules) -> bool {
        self.serving.get() == (entry.lifecycle == Lifecycle::Serving)
            && self.dest == entry.cell
            && self.weight() == entry.weight
            && self.started_ms.get() == entry.started_at_ms
            && self.zone_kind.get() == zone_kind_indices(entry, rules)
            && entry.host_port.parse() == Ok(self.address)
    }
}

/// The indices of an entry's zone and kind in the settings; an unknown name gets an index past their end.
fn zone_kind_indices(entry: &NodeEntry, rules: &Rules) -> (u16, u16) {
    let index = |names: &[String], name: &str| {
        let index = names.iter().position(|n| n == name).unwrap_or(names.len());
        u16::try_from(index).unwrap_or(u16::MAX)
    };
    (index(&rules.names.zones, &entry.zone), index(&rules.names.kinds, &entry.machine_type))
}
