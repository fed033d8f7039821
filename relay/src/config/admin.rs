//! The address of the admin API for operators: from the environment, or `admin` in the relay's own file.
use std::net::SocketAddr;

use super::environment::address;
use super::errors::ConfigErrors;

/// The address of the admin API from `BALANCER_ADMIN`, which overrides both files.
pub fn admin_address_from_env() -> Result<Option<SocketAddr>, String> {
    address("BALANCER_ADMIN")
}

/// Validates `admin` in the relay's own file.
pub(super) fn check(text: Option<String>, errors: &mut ConfigErrors) -> Option<SocketAddr> {
    errors.address("admin", &text?)
}
