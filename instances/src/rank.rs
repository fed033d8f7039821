//! Ranks instances without a leader, where a few of them act on behalf of all. Ranks follow from hashes of addresses (rendezvous
//! hashing, Thaler and Ravishankar 1998), so that views which differ by few members give ranks that differ by few positions.
use std::net::{IpAddr, SocketAddr};

/// How many instances poll discovery as long as it answers them: one may fail and no change is missed.
pub const POLLERS: usize = 2;
/// How many other instances an instance receives the list from.
pub const PARENTS: usize = 2;
/// About how many instances receive the list from one. With this fan-out it reaches a thousand instances over three others.
const FAN_OUT: usize = 16;
/// At least so many of the first instances pass the list on, also where few are known, as at a start, when only the seeds are.
const MIN_FORWARDERS: usize = 3;

/// The hash that ranks an instance, the same for all choosers or specific to one: FNV-1a over the addresses, mixed by the last steps
/// of SplitMix64, since FNV's high bits hardly depend on the last bytes. Not cryptographic: positions are no secret.
fn hash(chooser: Option<SocketAddr>, candidate: SocketAddr) -> u64 {
    mix(chooser.into_iter().chain([candidate]).fold(FNV_OFFSET_BASIS, add_address))
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

fn add_address(hash: u64, address: SocketAddr) -> u64 {
    let hash = match address.ip() {
        IpAddr::V4(ip) => fnv1a(hash, &ip.octets()),
        IpAddr::V6(ip) => fnv1a(hash, &ip.octets()),
    };
    fnv1a(hash, &address.port().to_be_bytes())
}

fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// All known instances by rank: seeds first, since every instance knows them from its start.
pub fn order(all: impl IntoIterator<Item = SocketAddr>, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut all: Vec<_> = all.into_iter().map(|one| (!seeds.contains(&one), hash(None, one), one)).collect();
    all.sort_unstable();
    all.dedup();
    all.into_iter().map(|(.., one)| one).collect()
}

/// The instances from which the one at a position may receive the list, in order of preference: some of those that precede it,
/// then any others.
pub fn parents(order: &[SocketAddr], position: usize) -> Vec<SocketAddr> {
    let me = order[position];
    let end = position.min(position.div_ceil(FAN_OUT).max(MIN_FORWARDERS));
    // Leaves out the very first if there are others, since all later instances would share them.
    let start = if end > MIN_FORWARDERS { end / 2 } else { 0 };
    let by_preference = |part: &[SocketAddr]| {
        let mut part: Vec<_> =
            part.iter().filter(|one| **one != me).map(|one| (hash(Some(me), *one), *one)).collect();
        part.sort_unstable_by(|a, b| b.cmp(a));
        part.into_iter().map(|(_, one)| one).collect::<Vec<_>>()
    };
    let mut all = by_preference(&order[start..end]);
    all.extend(by_preference(&order[..start]));
    all.extend(by_preference(&order[end..]));
    all
}

/// How many periods the instance at a position waits before it polls discovery in place of earlier ones that have no fresh
/// list: two poll at once, two a period later, then four, then eight in each period. This bounds the calls to a service that is down,
/// however many instances there are.
pub fn poll_delay(position: usize) -> u32 {
    match position {
        0..2 => 0,
        2..4 => 1,
        4..8 => 2,
        _ => 3 + (position as u32 - 8) / 8,
    }
}

#[cfg(test)]
mod tests;
