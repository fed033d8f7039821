//! Simulates many instances in one process and in virtual time, without sockets. The tests and the lab's scale tests drive the
//! production state machines with it. Available with the feature `simulation`.
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::{At, Key};

pub mod lists;
pub mod membership;

/// The true wall-clock time when the clock of a simulation is zero.
pub(crate) const UNIX: Duration = Duration::from_secs(1_800_000_000);
/// The address of the first instance.
const FIRST_ADDRESS: u32 = 0x7f20_0001;

/// Bytes of a frame on a link besides its payload: the length prefix, and what [`crate::FrameAuthenticator`] adds.
pub const LINK_FRAME_OVERHEAD: usize = 4 + 41;

/// A time or a duration in seconds.
pub fn secs(s: f64) -> At {
    Duration::from_secs_f64(s)
}

/// The address of an instance.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_ADDRESS + n as u32), 7946))
}

/// The number of the instance with an address; `None` if the address precedes that of the first instance.
pub fn number(of: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = of.ip() else { return None };
    u32::from(ip).checked_sub(FIRST_ADDRESS).map(|n| n as usize)
}

/// The key that all instances of a simulation share.
pub fn key() -> Key {
    Key::read(&[5; 40]).expect("long enough")
}
