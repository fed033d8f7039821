//! Divides the machine's file descriptors. `docs/operation.md` says what is given up first when they run out.
use std::cell::Cell;

use crate::config::IdleConfig;

/// Share of the file descriptors that client connections may take; the others are for nodes and files.
const SUBMITTER_SHARE: f64 = 0.4;
/// Descriptors reserved for files, listeners, discovery, and posts of notices.
const RESERVED_DESCRIPTORS: usize = 32;

pub struct DescriptorBudget {
    sockets: Cell<usize>,
    /// The previous process still uses some of them, fewer and fewer as its connections close.
    shared: Cell<bool>,
}

impl DescriptorBudget {
    pub fn new(sockets: usize, shared: bool) -> DescriptorBudget {
        DescriptorBudget { sockets: Cell::new(sockets), shared: Cell::new(shared) }
    }

    pub fn set_sockets(&self, sockets: usize) {
        self.sockets.set(sockets);
    }

    /// To be called once the previous process has ended.
    pub fn stop_sharing(&self) {
        self.shared.set(false);
    }

    /// How many of them this process may use.
    fn available(&self) -> usize {
        if self.shared.get() { self.sockets.get() / 2 } else { self.sockets.get() }
    }

    /// How many connections submitters may open.
    pub fn submitter_connections(&self) -> usize {
        ((self.available() as f64 * SUBMITTER_SHARE) as usize).max(1)
    }

    /// How many connections to nodes may be open: as configured, else what the submitters' connections leave.
    pub fn node_connections(&self, idle: &IdleConfig) -> usize {
        let left =
            self.available().saturating_sub(self.submitter_connections() + RESERVED_DESCRIPTORS).max(1);
        idle.connections.map_or(left, |limit| if self.shared.get() { limit.min(left) } else { limit })
    }
}
