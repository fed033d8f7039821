//! Environment variables of the configuration. An empty variable counts as not set.
use std::net::SocketAddr;

/// The value of a variable, if it is set.
pub(super) fn variable(name: &str) -> Result<Option<String>, String> {
    match std::env::var(name) {
        Ok(value) if value.is_empty() => Ok(None),
        Ok(value) => Ok(Some(value)),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(std::env::VarError::NotUnicode(_)) => Err(format!("{name} is not UTF-8")),
    }
}

/// The address and port in a variable, if it is set.
pub(super) fn address(name: &str) -> Result<Option<SocketAddr>, String> {
    let value = variable(name)?;
    value.map(|v| v.parse().map_err(|_| format!("{name}: '{v}' is not an address with a port"))).transpose()
}
