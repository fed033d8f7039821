//! Keeps the process within the configured memory: measures what it takes, and sets the budget for what peers decide the size of.
//!
//! The budget is the limit less what the process takes at rest, as measured, and less reserves for what is not charged. Pages of the
//! program and its libraries become resident as they are first used, so these are measured again and again.
use std::cell::Cell;
use std::fs;
use std::time::{Duration, Instant};
use tokio::time::sleep;

use super::Error;
use crate::config::MachineLimits;
use crate::http1::CONNECTION_BYTES;
use crate::memory_budget::{Holder, MemoryBudget};
use crate::metrics::MemoryMetrics;

/// How often the process is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(250);
/// Reserved for what is not charged one by one: the list and its changes, the journal's buffers, timers, the admin address.
const FIXED_RESERVE: usize = 2_000_000;
/// The least budget to start with: some of the largest requests at once.
const MIN_BUDGET: usize = 500_000;
/// How long after a shortage was logged another one is.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Bytes in the kilobytes of `/proc`.
const KILOBYTE: usize = 1024;

/// Resident memory of the process, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Resident {
    /// Of files: the program and its libraries.
    file: usize,
    anonymous: usize,
}

impl Resident {
    fn total(self) -> usize {
        self.file + self.anonymous
    }

    fn measure() -> Option<Resident> {
        Resident::parse(&fs::read_to_string("/proc/self/status").ok()?)
    }

    fn parse(status: &str) -> Option<Resident> {
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().strip_suffix("kB")?.trim().parse::<usize>().ok()
        };
        let file = field("RssFile:")? + field("RssShmem:").unwrap_or(0);
        Some(Resident { file: file * KILOBYTE, anonymous: field("RssAnon:")? * KILOBYTE })
    }
}

/// The memory limit of the process.
pub struct MemoryLimit {
    budget: MemoryBudget,
    /// `None` if the process has no limit.
    limit: Cell<Option<usize>>,
    /// How many connections clients may open.
    connections: Cell<usize>,
    /// Size limit of the state folder, whose files count as memory.
    disk: Cell<usize>,
    /// Another process of the relay runs beside this one, under the same limit.
    shared: Cell<bool>,
    /// Of the process at rest; `None` if the system does not tell.
    anonymous_at_rest: Option<usize>,
}

impl MemoryLimit {
    /// Measures the process at rest.
    ///
    /// # Errors
    /// The limit is too small for the process, its connections and a few requests.
    pub fn new(limits: Option<MachineLimits>, connections: usize) -> Result<MemoryLimit, Error> {
        let limit = limits.and_then(|limits| limits.memory_bytes);
        let at_rest = Resident::measure();
        let memory = MemoryLimit {
            budget: MemoryBudget::unlimited(),
            limit: Cell::new(limit),
            connections: Cell::new(connections),
            disk: Cell::new(limits.map_or(0, |limits| limits.disk_bytes as usize)),
            shared: Cell::new(false),
            anonymous_at_rest: at_rest.map(|at_rest| at_rest.anonymous),
        };
        if let (Some(limit), Some(at_rest)) = (limit, at_rest) {
            let needed = at_rest.total() + memory.reserve() + MIN_BUDGET;
            if needed > limit {
                return Err(Error::Configuration(format!(
                    "BALANCER_CONFIG: limits.memory_mb: {} MB is too small for {connections} client connections and the state folder; at least {} MB is needed",
                    limit as f64 / 1e6,
                    needed.div_ceil(1_000_000)
                )));
            }
        }
        memory.apply();
        Ok(memory)
    }

    /// The budget, which follows the limit.
    pub fn budget(&self) -> MemoryBudget {
        self.budget.clone()
    }

    /// Applies reloaded limits.
    pub fn set(&self, limits: MachineLimits, connections: usize) {
        self.limit.set(limits.memory_bytes);
        self.disk.set(limits.disk_bytes as usize);
        self.connections.set(connections);
        self.apply();
    }

    /// Tells whether another process of the relay runs beside this one. Both then have the least budget: what the other takes at rest
    /// is not known.
    pub fn set_shared(&self, shared: bool) {
        self.shared.set(shared);
        self.apply();
    }

    fn reserve(&self) -> usize {
        FIXED_RESERVE + self.disk.get() + self.connections.get() * CONNECTION_BYTES
    }

    /// Sets the budget; returns what the process takes now.
    fn apply(&self) -> Option<Resident> {
        let resident = Resident::measure();
        let available = match (self.limit.get(), self.anonymous_at_rest, resident) {
            (Some(_), _, _) if self.shared.get() => MIN_BUDGET,
            (Some(limit), Some(at_rest), Some(resident)) => {
                limit.saturating_sub(resident.file + at_rest + self.reserve()).max(MIN_BUDGET)
            }
            (Some(limit), _, _) => (limit / 4).max(MIN_BUDGET),
            (None, _, _) => usize::MAX,
        };
        if available != self.budget.available() {
            self.budget.set_available(available);
        }
        resident
    }

    /// Follows what the process takes, and logs when the budget is short.
    pub async fn follow(&self, metrics: MemoryMetrics) {
        let mut logged: Option<Instant> = None;
        loop {
            let resident = self.apply().map_or(0, Resident::total);
            metrics.set(&self.budget, resident);
            if self.budget.is_short() && logged.is_none_or(|at| at.elapsed() > LOG_INTERVAL) {
                logged = Some(Instant::now());
                let charged = Holder::ALL.map(|holder| (holder.label(), self.budget.charged(holder)));
                tracing::warn!(
                    limit = self.limit.get(),
                    budget = self.budget.available(),
                    resident,
                    ?charged,
                    "memory is short: incomplete requests wait, and the slowest are refused"
                );
            }
            tokio::select! {
                () = sleep(MEASURE_INTERVAL) => {}
                () = self.budget.shortage(), if logged.is_none_or(|at| at.elapsed() > LOG_INTERVAL) => {}
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn resident_memory_is_read_as_the_system_writes_it() {
        let status = "Name:\tonyxglade\nVmHWM:\t   10000 kB\nRssAnon:\t    1652 kB\nRssFile:\t   19104 kB\nRssShmem:\t       4 kB\n";
        let resident = Resident { file: 19108 * 1024, anonymous: 1652 * 1024 };
        assert_eq!(Resident::parse(status), Some(resident));
        assert_eq!(Resident::parse("Name:\tonyxglade\n"), None);
    }
}
