//! A count of what is under way.
use std::cell::Cell;

/// Counts one more until it is dropped, so that what is given up half-way is not counted for ever.
pub struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    pub fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
