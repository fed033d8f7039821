//! Collects all errors in the relay's own file, each with its key, so that they are reported together.
use std::fmt::Display;
use std::net::SocketAddr;

/// The errors found so far, in the order in which they are reported.
#[derive(Default)]
pub(super) struct ConfigErrors(Vec<String>);

impl ConfigErrors {
    /// Adds an error in the value at `key`.
    pub(super) fn add(&mut self, key: impl Display, message: impl Display) {
        self.0.push(format!("{key}: {message}"));
    }

    /// Returns the value, or adds an error that already names its key.
    pub(super) fn ok_or_add<T>(&mut self, result: Result<T, String>) -> Option<T> {
        result.map_err(|error| self.0.push(error)).ok()
    }

    /// Returns the value that was read at `key`, or adds the error.
    pub(super) fn ok_or_add_at<T>(
        &mut self,
        key: impl Display,
        result: Result<T, impl Display>,
    ) -> Option<T> {
        result.map_err(|error| self.add(key, error)).ok()
    }

    /// Parses the address and port at `key`.
    pub(super) fn address(&mut self, key: impl Display, text: &str) -> Option<SocketAddr> {
        let address = text.parse::<SocketAddr>();
        self.ok_or_add_at(key, address.map_err(|_| format!("'{text}' is not an address with a port")))
    }

    /// The number of errors so far.
    pub(super) fn count(&self) -> usize {
        self.0.len()
    }

    /// `value` if there are no errors, otherwise all of them.
    pub(super) fn into_result<T>(self, value: T) -> Result<T, Vec<String>> {
        if self.0.is_empty() { Ok(value) } else { Err(self.0) }
    }
}
