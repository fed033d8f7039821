//! What an instance tells of itself.
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name, zone, region or version, in bytes: all of it is told with each update about a member.
pub const MAX_TEXT_BYTES: usize = 48;

/// Whether a name, zone, region or version may be told.
pub fn is_valid_text(text: &str) -> bool {
    text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control)
}

/// An instance: its address says which one it is, its incarnation which of the processes that were there in turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where datagrams reach it, and links on the same port.
    pub address: SocketAddr,
    /// Grows with each start, and whenever it has to refute its own end. A later incarnation replaces an earlier one.
    pub incarnation: u64,
    /// Its name, for people.
    pub name: String,
    /// Its zone and region; empty where there are none.
    pub zone: String,
    /// See `zone`.
    pub region: String,
    /// The program's version.
    pub version: String,
    /// What it bears, in messages a second; 0 where that is not told.
    pub capacity: u32,
}

impl Member {
    /// What stands for an instance of which only the address is known: a seed.
    pub fn with_address(address: SocketAddr) -> Member {
        Member {
            address,
            incarnation: 0,
            name: String::new(),
            zone: String::new(),
            region: String::new(),
            version: String::new(),
            capacity: 0,
        }
    }

    /// Whether it may be told about: an address that can be sent to, and texts that are not longer than they may be.
    pub fn is_valid(&self) -> bool {
        let texts = [&self.name, &self.zone, &self.region, &self.version];
        self.address.port() != 0
            && !self.address.ip().is_unspecified()
            && texts.iter().all(|text| is_valid_text(text))
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Member { incarnation: self.incarnation + 1, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}
