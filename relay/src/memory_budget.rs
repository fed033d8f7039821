//! A budget for the memory whose size peers decide: parts of requests, messages that were accepted, calls to endpoints.
//!
//! Whoever holds such memory has a [`MemoryCharge`] for it, taken before the memory is, and returned when the charge is dropped. What
//! is not owed to anybody yet (the rest of a request) waits until the budget has room; what is owed (a request that was read whole, a
//! call) is charged in any case, so that less is left for the former. Knows neither sockets nor the process's real size:
//! [`crate::run`] measures that and sets how much is available.
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// What charged memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Requests that are not whole yet.
    Requests,
    /// Messages from their acceptance to their end.
    Messages,
    /// Calls to endpoints, and their answers.
    Calls,
}

impl Holder {
    pub const ALL: [Holder; 3] = [Holder::Requests, Holder::Messages, Holder::Calls];

    /// The holder's name in figures.
    pub fn label(self) -> &'static str {
        match self {
            Holder::Requests => "requests",
            Holder::Messages => "messages",
            Holder::Calls => "calls",
        }
    }
}

/// A budget of memory, in bytes; clones share it.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Shared>);

struct Shared {
    available: AtomicUsize,
    /// By holder.
    charged: [AtomicUsize; Holder::ALL.len()],
    /// How many charges wait for room.
    waiting: AtomicUsize,
    /// Notified when bytes are returned or more become available.
    returned: Notify,
    /// Notified when a charge begins to wait.
    short: Notify,
}

impl MemoryBudget {
    /// A budget of this many bytes.
    pub fn new(available: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Shared {
            available: AtomicUsize::new(available),
            charged: Default::default(),
            waiting: AtomicUsize::new(0),
            returned: Notify::new(),
            short: Notify::new(),
        }))
    }

    /// A budget that is never short.
    pub fn unlimited() -> MemoryBudget {
        MemoryBudget::new(usize::MAX)
    }

    /// Sets the size of the budget, in bytes.
    pub fn set_available(&self, available: usize) {
        self.0.available.store(available, Ordering::Relaxed);
        self.0.returned.notify_waiters();
    }

    /// The size of the budget, in bytes.
    pub fn available(&self) -> usize {
        self.0.available.load(Ordering::Relaxed)
    }

    /// How many bytes are charged to a holder.
    pub fn charged(&self, holder: Holder) -> usize {
        self.0.charged[holder as usize].load(Ordering::Relaxed)
    }

    /// Whether a charge waits for room.
    pub fn is_short(&self) -> bool {
        self.0.waiting.load(Ordering::Relaxed) > 0
    }

    /// Waits until a charge waits for room.
    pub async fn shortage(&self) {
        while !self.is_short() {
            self.0.short.notified().await;
        }
    }

    /// A charge of no bytes yet.
    pub fn charge(&self, holder: Holder) -> MemoryCharge {
        MemoryCharge { budget: self.clone(), holder, bytes: 0 }
    }

    fn total(&self) -> usize {
        Holder::ALL.iter().map(|holder| self.charged(*holder)).sum()
    }
}

/// Bytes that a holder has taken from a budget; they are returned when this is dropped.
pub struct MemoryCharge {
    budget: MemoryBudget,
    holder: Holder,
    bytes: usize,
}

impl MemoryCharge {
    /// How many bytes are charged.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Charges more bytes, whether or not the budget has room: for what is owed.
    pub fn grow(&mut self, bytes: usize) {
        self.budget.0.charged[self.holder as usize].fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Charges more bytes if the budget has room for them.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let fits = self.budget.total().saturating_add(bytes) <= self.budget.available();
        if fits {
            self.grow(bytes);
        }
        fits
    }

    /// Charges more bytes once the budget has room for them.
    pub async fn grow_when_possible(&mut self, bytes: usize) {
        if self.try_grow(bytes) {
            return;
        }
        let budget = self.budget.clone();
        let _waiting = Waiting::begin(&budget.0);
        loop {
            let returned = budget.0.returned.notified();
            if self.try_grow(bytes) {
                return;
            }
            returned.await;
        }
    }

    /// These bytes, with this charge for as long as anything refers to them.
    pub fn hold<T: AsRef<[u8]> + Send + 'static>(self, bytes: T) -> Bytes {
        Bytes::from_owner(Held { bytes, _charge: self })
    }

    /// Charges the same bytes to another holder from now on.
    pub fn transfer(mut self, holder: Holder) -> MemoryCharge {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.0.charged[self.holder as usize].fetch_sub(bytes, Ordering::Relaxed);
        let mut charge = self.budget.charge(holder);
        charge.grow(bytes);
        charge
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.0.charged[self.holder as usize].fetch_sub(self.bytes, Ordering::Relaxed);
            self.budget.0.returned.notify_waiters();
        }
    }
}

/// Bytes and the charge for them.
struct Held<T> {
    bytes: T,
    _charge: MemoryCharge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Counts a charge that waits for room.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn begin(shared: &'a Shared) -> Waiting<'a> {
        shared.waiting.fetch_add(1, Ordering::Relaxed);
        shared.short.notify_waiters();
        Waiting(shared)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
