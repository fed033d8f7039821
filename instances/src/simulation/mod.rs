//! Many instances in one process and in virtual time, without sockets: what the tests and the laboratory's scale tests
//! drive the production state machines with. Only there with the feature `simulation`.
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::{At, Key};

pub mod lists;
pub mod membership;

/// The true wall clock when the clock of a simulation is zero.
pub(crate) const UNIX: Duration = Duration::from_secs(1_800_000_000);
/// The address of the first instance.
const FIRST_ADDRESS: u32 = 0x7f20_0001;

/// Bytes of a frame on a link besides its payload: the length, then what [`crate::FrameAuthenticator`] adds.
pub const LINK_FRAME_OVERHEAD: usize = 4 + 41;

/// A time or a span from seconds.
pub fn secs(s: f64) -> At {
    Duration::from_secs_f64(s)
}

/// Where an instance is found.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(FIRST_ADDRESS + n as u32), 7946))
}

/// Which instance has an address; none where that is before the first.
pub fn number(of: SocketAddr) -> Option<usize> {
    let IpAddr::V4(ip) = of.ip() else { return None };
    u32::from(ip).checked_sub(FIRST_ADDRESS).map(|n| n as usize)
}

/// The key that all instances of a simulation share.
pub fn key() -> Key {
    Key::read(&[5; 40]).expect("long enough")
}
