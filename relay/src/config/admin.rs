//! The address at which those who run the relay call: the environment's, or `admin` in the relay's own file.
use std::net::SocketAddr;

use super::environment::address;
use super::faults::Faults;

/// Where those who run the relay call, if the environment says so: over any file.
pub fn admin_address_from_env() -> Result<Option<SocketAddr>, String> {
    address("BALANCER_ADMIN")
}

/// `admin` in the relay's own file.
pub(super) fn check(text: Option<String>, faults: &mut Faults) -> Option<SocketAddr> {
    faults.address("admin", &text?)
}
