//! A test double of the journal's file: in memory, with injected faults.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use super::storage::Storage;

/// Result of one call that changes the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    Success,
    /// The call fails without a change.
    Failure,
    /// An append fails after it has written this many bytes; other calls fail without a change.
    Torn(usize),
}

/// The file, which outlasts the journals that use it.
#[derive(Clone, Default)]
pub struct Disk {
    bytes: Rc<RefCell<Vec<u8>>>,
    /// Results of the next calls; later ones succeed.
    results: Rc<RefCell<VecDeque<CallResult>>>,
}

impl Disk {
    pub fn with_content(bytes: Vec<u8>) -> Disk {
        Disk { bytes: Rc::new(RefCell::new(bytes)), ..Disk::default() }
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.bytes.borrow().clone()
    }

    /// Sets the results of the next calls, in place of any set before.
    pub fn set_results(&self, results: impl IntoIterator<Item = CallResult>) {
        *self.results.borrow_mut() = results.into_iter().collect();
    }

    fn next_result(&self) -> CallResult {
        self.results.borrow_mut().pop_front().unwrap_or(CallResult::Success)
    }
}

fn disk_full() -> io::Error {
    rustix::io::Errno::NOSPC.into()
}

impl Storage for Disk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.bytes())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let result = self.next_result();
        let written = match result {
            CallResult::Success => bytes.len(),
            CallResult::Failure => 0,
            // A failed append lacks at least one byte.
            CallResult::Torn(max) => max.min(bytes.len().saturating_sub(1)),
        };
        self.bytes.borrow_mut().extend_from_slice(&bytes[..written]);
        if result == CallResult::Success { Ok(()) } else { Err(disk_full()) }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        if self.next_result() != CallResult::Success {
            return Err(disk_full());
        }
        self.bytes.borrow_mut().truncate(length as usize);
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.next_result() != CallResult::Success {
            return Err(disk_full());
        }
        *self.bytes.borrow_mut() = bytes.to_vec();
        Ok(())
    }
}
