//! An instance's description of itself.
use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name, zone, region or version, in bytes: all four are sent with each update about a member.
pub const MAX_TEXT_BYTES: usize = 48;

/// Whether a text is valid as a name, zone, region or version.
pub fn is_valid_text(text: &str) -> bool {
    text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control)
}

/// An instance, identified by its address; the incarnation tells its successive processes apart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address of its UDP socket, and of its TCP listener on the same port.
    pub address: SocketAddr,
    /// Grows with each start, and whenever the instance refutes that it is down. A later incarnation replaces an earlier one.
    pub incarnation: u64,
    /// Its name, for operators.
    pub name: String,
    /// Its zone; empty if there is none.
    pub zone: String,
    /// Its region; empty if there is none.
    pub region: String,
    /// The program's version.
    pub version: String,
    /// Its capacity in messages a second; 0 if that is not configured.
    pub capacity: u32,
}

impl Member {
    /// A placeholder for an instance of which only the address is known, such as a seed.
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

    /// Whether the address can be sent to and all texts are valid.
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
