//! A double of the journal's file for tests: in memory, with calls that fail as they are told to.
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use super::storage::Storage;

/// What becomes of one call that changes the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Done,
    /// Nothing is done.
    Fails,
    /// So many bytes of an append are written before it fails; other calls do nothing.
    Torn(usize),
}

/// The file, which outlasts journals.
#[derive(Clone, Default)]
pub struct Disk {
    bytes: Rc<RefCell<Vec<u8>>>,
    /// Of the next calls; further ones are done.
    fates: Rc<RefCell<VecDeque<Fate>>>,
}

impl Disk {
    pub fn holding(bytes: Vec<u8>) -> Disk {
        Disk { bytes: Rc::new(RefCell::new(bytes)), ..Disk::default() }
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.bytes.borrow().clone()
    }

    /// What becomes of the next calls, and of no others.
    pub fn fail(&self, fates: impl IntoIterator<Item = Fate>) {
        *self.fates.borrow_mut() = fates.into_iter().collect();
    }

    fn fate(&self) -> Fate {
        self.fates.borrow_mut().pop_front().unwrap_or(Fate::Done)
    }
}

fn full() -> io::Error {
    rustix::io::Errno::NOSPC.into()
}

impl Storage for Disk {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.bytes())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let fate = self.fate();
        let written = match fate {
            Fate::Done => bytes.len(),
            Fate::Fails => 0,
            // One that fails lacks a byte at least.
            Fate::Torn(most) => most.min(bytes.len().saturating_sub(1)),
        };
        self.bytes.borrow_mut().extend_from_slice(&bytes[..written]);
        if fate == Fate::Done { Ok(()) } else { Err(full()) }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        if self.fate() != Fate::Done {
            return Err(full());
        }
        self.bytes.borrow_mut().truncate(length as usize);
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.fate() != Fate::Done {
            return Err(full());
        }
        *self.bytes.borrow_mut() = bytes.to_vec();
        Ok(())
    }
}
