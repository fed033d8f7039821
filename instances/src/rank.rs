//! The order in which instances come where few of them are to do something for all: without a leader, by hashes of
//! addresses (rendezvous hashing, Thaler and Ravishankar 1998), so that views which differ by few members differ by few places.
use std::net::{IpAddr, SocketAddr};

/// So many ask the list service as long as it answers them: one may fail and nothing is missed.
pub const FIRST: usize = 2;
/// An instance has the list's word from so many others.
pub const PARENTS: usize = 2;
/// About how many have it from one. With it a thousand are reached over three others.
const CHILDREN: usize = 16;
/// So many of the first pass the word on where few are known, as at a start, where only the seeds are.
const LEAST_PASSING: usize = 3;

/// What decides on an instance's place, for all alike or for one that chooses: FNV-1a over the addresses, mixed by the last steps of
/// SplitMix64, since FNV's high bits hardly follow the last bytes. Not a guard against anybody: places are no secret.
fn hash(chooser: Option<SocketAddr>, of: SocketAddr) -> u64 {
    mixed(chooser.into_iter().chain([of]).fold(BEGIN, add_address))
}

const BEGIN: u64 = 0xcbf2_9ce4_8422_2325;

fn add(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

fn add_address(hash: u64, one: SocketAddr) -> u64 {
    let hash = match one.ip() {
        IpAddr::V4(ip) => add(hash, &ip.octets()),
        IpAddr::V6(ip) => add(hash, &ip.octets()),
    };
    add(hash, &one.port().to_be_bytes())
}

fn mixed(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// All that are known, in their order: seeds first, since all know them from the beginning.
pub fn order(all: impl IntoIterator<Item = SocketAddr>, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut all: Vec<_> = all.into_iter().map(|one| (!seeds.contains(&one), hash(None, one), one)).collect();
    all.sort_unstable();
    all.dedup();
    all.into_iter().map(|(.., one)| one).collect()
}

/// Those of whom one at a place may have the list's word, as it prefers them: some of the first, who are before it, then any others.
pub fn parents(order: &[SocketAddr], place: usize) -> Vec<SocketAddr> {
    let me = order[place];
    let near = place.min(place.div_ceil(CHILDREN).max(LEAST_PASSING));
    // Not the very first, where there are others: all that come later would share them.
    let from = if near > LEAST_PASSING { near / 2 } else { 0 };
    let chosen = |part: &[SocketAddr]| {
        let mut part: Vec<_> =
            part.iter().filter(|one| **one != me).map(|one| (hash(Some(me), *one), *one)).collect();
        part.sort_unstable_by(|a, b| b.cmp(a));
        part.into_iter().map(|(_, one)| one).collect::<Vec<_>>()
    };
    let mut all = chosen(&order[from..near]);
    all.extend(chosen(&order[..from]));
    all.extend(chosen(&order[near..]));
    all
}

/// How many periods one at a place lets pass before it asks in place of those who do not have the list's word: two ask at
/// once, two a period later, then four, then eight in each period. A service that is down is asked by no more than that, however many
/// instances there are.
pub fn period(place: usize) -> u32 {
    match place {
        0..2 => 0,
        2..4 => 1,
        4..8 => 2,
        _ => 3 + (place as u32 - 8) / 8,
    }
}

#[cfg(test)]
mod tests;
