//! Keeps the process within the configured memory: measures what it takes, and sets the budget for what peers decide the size of.
//!
//! The budget is the limit less what the process takes at rest, as measured, and less reserves for what is not charged. Pages of the
//! program and its libraries become resident as they are first used, so these are measured again and again. Where upgrades are possible,
//! as much as this process takes at rest is kept free for a second one: it starts under the same limit, at any moment.
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
/// The least budget: some of the largest requests at once.
const MIN_BUDGET: usize = 500_000;
/// What ordinary traffic takes. A process that runs alone has it even if less is left beside a second one.
const ORDINARY_BUDGET: usize = 1_500_000;
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

/// A second process of the relay, under the same limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondProcess {
    /// None is expected.
    Never,
    /// One may start at any moment, for an upgrade.
    MayStart,
    /// One runs.
    Runs,
}

/// What the limit is divided into, in bytes.
#[derive(Clone, Copy, Debug)]
struct Shares {
    limit: usize,
    /// What a process takes at rest.
    process: usize,
    /// For what is not charged.
    reserve: usize,
}

impl Shares {
    /// What is left for the budget if no second process starts.
    fn left_alone(self) -> usize {
        self.limit.saturating_sub(self.process + self.reserve)
    }

    /// The size of the budget. Two processes that run at once have a half each.
    fn budget(self, second: SecondProcess) -> usize {
        let alone = self.left_alone().max(MIN_BUDGET);
        let beside_second = self.left_alone().saturating_sub(self.process);
        match second {
            SecondProcess::Never => alone,
            SecondProcess::MayStart => beside_second.max(alone.min(ORDINARY_BUDGET)),
            SecondProcess::Runs => (beside_second / 2).max(alone.min(ORDINARY_BUDGET) / 2).max(MIN_BUDGET),
        }
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
    /// What the backlog may take by its own setting.
    backlog: usize,
    /// A second process may start.
    upgrades: bool,
    /// The previous process still runs.
    predecessor: Cell<bool>,
    /// The next process runs.
    successor: Cell<bool>,
    /// Of the process at rest; `None` if the system does not tell.
    anonymous_at_rest: Option<usize>,
}

impl MemoryLimit {
    /// Measures the process at rest. `backlog` is the memory that the backlog may take, in bytes; `upgrades` tells whether a second
    /// process may start beside this one.
    ///
    /// # Errors
    /// The limit is too small for the process, its connections and a few requests.
    pub fn new(
        limits: Option<MachineLimits>,
        connections: usize,
        backlog: usize,
        upgrades: bool,
    ) -> Result<MemoryLimit, Error> {
        let limit = limits.and_then(|limits| limits.memory_bytes);
        let at_rest = Resident::measure();
        let memory = MemoryLimit {
            budget: MemoryBudget::unlimited(),
            limit: Cell::new(limit),
            connections: Cell::new(connections),
            disk: Cell::new(limits.map_or(0, |limits| limits.disk_bytes as usize)),
            backlog,
            upgrades,
            predecessor: Cell::new(false),
            successor: Cell::new(false),
            anonymous_at_rest: at_rest.map(|at_rest| at_rest.anonymous),
        };
        if let (Some(limit), Some(at_rest)) = (limit, at_rest) {
            memory.check(Shares { limit, process: at_rest.total(), reserve: memory.reserve() })?;
        }
        memory.apply();
        Ok(memory)
    }

    /// # Errors
    /// The limit is too small.
    fn check(&self, shares: Shares) -> Result<(), Error> {
        let needed = shares.process + shares.reserve + MIN_BUDGET;
        if needed > shares.limit {
            return Err(Error::Configuration(format!(
                "BALANCER_CONFIG: limits.memory_mb: {} MB is too small for {} client connections, the state folder and the backlog; at least {} MB is needed",
                shares.limit as f64 / 1e6,
                self.connections.get(),
                needed.div_ceil(1_000_000)
            )));
        }
        let needed = needed + shares.process;
        if self.upgrades && needed > shares.limit {
            tracing::warn!(
                limit = shares.limit,
                needed,
                "limits.memory_mb leaves too little for a second process: an upgrade beside clients that send much may exceed it"
            );
        }
        Ok(())
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

    /// Tells whether the process that this one takes over from still runs.
    pub fn set_predecessor(&self, runs: bool) {
        self.predecessor.set(runs);
        self.apply();
    }

    /// Tells whether a process runs that is to take over from this one.
    pub fn set_successor(&self, runs: bool) {
        self.successor.set(runs);
        self.apply();
    }

    fn second_process(&self) -> SecondProcess {
        match self.predecessor.get() || self.successor.get() {
            true => SecondProcess::Runs,
            false if self.upgrades => SecondProcess::MayStart,
            false => SecondProcess::Never,
        }
    }

    fn reserve(&self) -> usize {
        FIXED_RESERVE + self.backlog + self.disk.get() + self.connections.get() * CONNECTION_BYTES
    }

    /// Sets the budget; returns what the process takes now.
    fn apply(&self) -> Option<Resident> {
        let resident = Resident::measure();
        let available = match (self.limit.get(), self.anonymous_at_rest, resident) {
            (Some(limit), Some(at_rest), Some(resident)) => {
                let shares = Shares { limit, process: resident.file + at_rest, reserve: self.reserve() };
                shares.budget(self.second_process())
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
mod tests;
