//! Membership by SWIM: probes, indirect probes, suspicion, refutation, and gossip of what changed (Das, Gupta, Motivala, DSN 2002),
//! over the `foca` crate, with additions that a relay needs: announcements to seeds until they are members, validation of received
//! members, and a process that was paused suspecting itself before it suspects others (after Lifeguard, Dadgar et al., 2018).
//!
//! A state machine: [`Swim::handle`] takes the time and an input, and returns what to send and what has changed.
use bytes::{Buf, BufMut};
use foca::{
    AccumulatingRuntime, Codec, Foca, Header, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::time::Duration;

use crate::seal::{FrameAuthenticator, Key};
use crate::view::{LinkMessage, View};
use crate::{At, Member};

/// Largest payload of a datagram: with the frame around it, it stays below an MTU of 1,400 bytes.
const MAX_PAYLOAD_BYTES: usize = 1300;
/// A timer that is handled this late means that this process was paused or starved of CPU: messages that it missed say nothing about
/// the other members.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// A probe without an answer by then is repeated indirectly, through other members.
const PROBE_RTT: Duration = Duration::from_millis(500);
/// How often this instance announces itself to a missing seed while it knows no other member.
const ANNOUNCE_INTERVAL_ALONE: Duration = Duration::from_secs(1);
/// The same once it knows other members.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// How often this instance announces itself to two members that are down, so that they rejoin after a partition.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_secs(10);
/// How long a member that is down is remembered.
const REMOVE_DOWN_AFTER: Duration = Duration::from_secs(600);
/// How often the whole view of a member is fetched, to learn what gossip did not deliver: a datagram carries some 15 members, and
/// gossip does not carry members that have not changed to a new one.
const VIEW_FETCH_INTERVAL: Duration = Duration::from_secs(10);
/// The same until a view has arrived since this process started or resumed.
const FIRST_VIEW_FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// How many times each instance transmits a change. Guards against missed changes when all instances start at once: transmitted t times
/// by each, a change misses an instance with a probability of e to the -t, and n instances that start together have n times n chances
/// for that.
const MAX_TRANSMISSIONS: u8 = 15;
/// How often changes are gossiped.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// To how many members changes are gossiped each time.
const GOSSIP_FAN_OUT: usize = 3;

/// The configuration of the membership protocol.
#[derive(Clone, Debug)]
pub struct SwimConfig {
    /// Addresses of instances to join through.
    pub seeds: Vec<SocketAddr>,
    /// The expected number of instances. Determines how long a member is suspected before it is declared down (4 periods of a second
    /// times the logarithm, to the base 10, of that number).
    pub size: u32,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum SwimInput<'a> {
    /// A datagram was received.
    Datagram(&'a [u8]),
    /// The whole view of another instance was received over a link.
    View(&'a View),
    /// The time given by [`Swim::due`] has come.
    TimerDue,
    /// This instance leaves the cluster; later inputs are ignored.
    Leave,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwimOutput {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The frame.
        bytes: Vec<u8>,
    },
    /// Fetch the whole view of the instance at this address over a link.
    FetchView(SocketAddr),
    /// The view has changed.
    Changed(MembershipChange),
}

/// A change of the membership view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// An instance is up.
    Up(Member),
    /// An instance is down.
    Down(Member),
    /// An instance is up as another process than before, or with another description.
    Updated(Member),
    /// Others declared this instance down; it continues under this new incarnation.
    Refuted(u64),
}

/// A member as this instance sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its description of itself.
    pub member: Member,
    /// Whether it failed to answer probes and is suspected, but not yet declared down.
    pub suspected: bool,
}

/// Counters of sent and received datagrams and of pauses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SwimCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub accepted: u64,
    /// Frames that were rejected before decoding: not sealed with the key, replayed, or too old.
    pub unauthenticated: u64,
    /// Authenticated frames that could not be decoded or contained an invalid member.
    pub malformed: u64,
    /// How often this process found that it had been paused.
    pub pauses: u64,
}

/// A codec that rejects invalid members when decoding.
#[derive(Clone, Copy)]
struct ValidatingCodec(PostcardCodec);

/// A datagram could not be encoded or decoded, or contains an invalid member.
#[derive(Debug)]
struct CodecError;

impl std::fmt::Display for CodecError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("invalid member")
    }
}

impl std::error::Error for CodecError {}

impl Codec<Member> for ValidatingCodec {
    type Error = CodecError;

    fn encode_header(&mut self, header: &Header<Member>, buf: impl BufMut) -> Result<(), CodecError> {
        self.0.encode_header(header, buf).map_err(|_| CodecError)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, CodecError> {
        let header: Header<Member> = self.0.decode_header(buf).map_err(|_| CodecError)?;
        if header.src.is_valid() { Ok(header) } else { Err(CodecError) }
    }

    fn encode_member(&mut self, member: &foca::Member<Member>, buf: impl BufMut) -> Result<(), CodecError> {
        self.0.encode_member(member, buf).map_err(|_| CodecError)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, CodecError> {
        let member: foca::Member<Member> = self.0.decode_member(buf).map_err(|_| CodecError)?;
        if member.id().is_valid() { Ok(member) } else { Err(CodecError) }
    }
}

/// What a timer is for.
enum TimerKind {
    Protocol(Timer<Member>),
    AnnounceToSeed,
    FetchView,
}

/// The membership view of one instance, and the protocol that maintains it.
pub struct Swim {
    foca: Foca<Member, ValidatingCodec, StdRng, NoCustomBroadcast>,
    key: Key,
    datagram_frames: FrameAuthenticator,
    /// Frames on links use a sender number of their own, so that a frame delayed on a link is not overtaken by datagrams and rejected
    /// as a replay.
    link_frames: FrameAuthenticator,
    /// Timers by their time; a sequence number orders timers of the same time.
    timers: BTreeMap<(At, u64), TimerKind>,
    last_timer: u64,
    seeds: Vec<SocketAddr>,
    random: StdRng,
    /// How long a member is suspected before it is declared down.
    suspicion: Duration,
    /// Whether another instance's view has arrived since this process started or resumed.
    synced: bool,
    left: bool,
    counters: SwimCounters,
}

impl Swim {
    /// The view of an instance that has just started. The random seed determines its sender numbers as well, so it must differ from
    /// process to process.
    pub fn new(me: Member, config: SwimConfig, key: Key, seed: u64, now: At) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let size = NonZeroU32::new(config.size.max(3)).expect("above 0");
        let nonzero = |n| NonZeroUsize::new(n).expect("above 0");
        let periodic = |frequency, n| Some(foca::PeriodicParams { frequency, num_members: nonzero(n) });
        let protocol = foca::Config {
            probe_rtt: PROBE_RTT,
            max_packet_size: nonzero(MAX_PAYLOAD_BYTES),
            remove_down_after: Some(REMOVE_DOWN_AFTER),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).expect("above 0"),
            periodic_announce: None,
            periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_INTERVAL, 2),
            periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_FAN_OUT),
            ..foca::Config::new_lan(size)
        };
        let suspicion = protocol.suspect_to_down_after;
        let datagram_frames = FrameAuthenticator::new(key.clone(), random.random());
        let link_frames = FrameAuthenticator::new(key.clone(), random.random());
        let seeds = config.seeds.into_iter().filter(|seed| *seed != me.address).collect();
        let foca =
            Foca::new(me, protocol, StdRng::seed_from_u64(random.random()), ValidatingCodec(PostcardCodec));
        let timers = BTreeMap::from([
            ((now, 0), TimerKind::AnnounceToSeed),
            ((now + FIRST_VIEW_FETCH_INTERVAL, 1), TimerKind::FetchView),
        ]);
        let (synced, left, counters) = (false, false, SwimCounters::default());
        Swim {
            foca,
            key,
            datagram_frames,
            link_frames,
            timers,
            last_timer: 1,
            seeds,
            random,
            suspicion,
            synced,
            left,
            counters,
        }
    }

    /// When the next timer is due.
    pub fn due(&self) -> Option<At> {
        self.timers.keys().next().map(|(at, _)| *at)
    }

    /// Handles an input at a time of the monotonic clock and of the wall clock.
    pub fn handle(&mut self, now: At, unix: Duration, input: SwimInput) -> Vec<SwimOutput> {
        let mut outputs = Vec::new();
        if self.left {
            return outputs;
        }
        match input {
            SwimInput::Datagram(frame) => match self.datagram_frames.open(frame, now, unix) {
                Err(_) => self.counters.unauthenticated += 1,
                Ok(payload) => {
                    let mut runtime = AccumulatingRuntime::new();
                    let result = self.foca.handle_data(payload, &mut runtime);
                    *(if result.is_ok() {
                        &mut self.counters.accepted
                    } else {
                        &mut self.counters.malformed
                    }) += 1;
                    self.carry_out(now, unix, runtime, &mut outputs);
                }
            },
            SwimInput::View(view) => {
                self.synced = true;
                let mut runtime = AccumulatingRuntime::new();
                // Fails only if this instance has left.
                let _ = self.foca.apply_many(view.0.iter().cloned(), true, &mut runtime);
                self.carry_out(now, unix, runtime, &mut outputs);
            }
            SwimInput::TimerDue => {
                self.check_for_pause(now);
                while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
                    let mut runtime = AccumulatingRuntime::new();
                    match entry.remove() {
                        TimerKind::AnnounceToSeed => self.announce_to_seed(now, &mut runtime),
                        TimerKind::FetchView => outputs.extend(self.pick_view_to_fetch(now)),
                        // An error means that the timer is obsolete.
                        TimerKind::Protocol(timer) => drop(self.foca.handle_timer(timer, &mut runtime)),
                    }
                    self.carry_out(now, unix, runtime, &mut outputs);
                }
            }
            SwimInput::Leave => {
                let mut runtime = AccumulatingRuntime::new();
                // Fails only if this instance has left already.
                let _ = self.foca.leave_cluster(&mut runtime);
                self.carry_out(now, unix, runtime, &mut outputs);
                self.left = true;
                self.timers.clear();
            }
        }
        outputs
    }

    /// Postpones all timers if this process was paused, so that messages received meanwhile are handled first. Other members may have
    /// stopped sending to it, so suspicions start anew, and a member's whole view is fetched before they expire.
    fn check_for_pause(&mut self, now: At) {
        let Some(first) = self.due().filter(|first| now > *first + PAUSE_THRESHOLD) else { return };
        self.counters.pauses += 1;
        let delay = now - first + PROBE_RTT;
        let timers = std::mem::take(&mut self.timers).into_iter().map(|((at, sequence), kind)| {
            let at = match kind {
                TimerKind::Protocol(Timer::ChangeSuspectToDown { .. }) => now + self.suspicion,
                TimerKind::FetchView => now + PROBE_RTT,
                _ => at + delay,
            };
            ((at, sequence), kind)
        });
        self.timers = timers.collect();
        self.synced = false;
    }

    /// Announces this instance to a random seed that is not a member yet.
    fn announce_to_seed(&mut self, now: At, runtime: &mut AccumulatingRuntime<Member>) {
        let up: Vec<_> = self.foca.iter_members().map(|m| m.id().address).collect();
        let absent: Vec<_> = self.seeds.iter().filter(|seed| !up.contains(seed)).copied().collect();
        if !absent.is_empty() {
            let seed = absent[self.random.random_range(0..absent.len())];
            // Fails only if the announcement exceeds a datagram, which it never does.
            let _ = self.foca.announce(Member::with_address(seed), runtime);
        }
        let interval = if up.is_empty() { ANNOUNCE_INTERVAL_ALONE } else { ANNOUNCE_INTERVAL };
        let interval = interval.mul_f64(self.random.random_range(0.5..1.5));
        self.schedule(now + interval, TimerKind::AnnounceToSeed);
    }

    /// Picks a random member whose view is to be fetched.
    fn pick_view_to_fetch(&mut self, now: At) -> Option<SwimOutput> {
        let interval = if self.synced { VIEW_FETCH_INTERVAL } else { FIRST_VIEW_FETCH_INTERVAL };
        let interval = interval.mul_f64(self.random.random_range(0.5..1.5));
        self.schedule(now + interval, TimerKind::FetchView);
        let up: Vec<_> = self.foca.iter_members().map(|m| m.id().address).collect();
        (!up.is_empty()).then(|| SwimOutput::FetchView(up[self.random.random_range(0..up.len())]))
    }

    /// All that is known of members, this instance among them, for an instance that asks over a link.
    pub fn view(&self) -> View {
        let me = foca::Member::alive(self.me().clone());
        View(self.foca.iter_membership_state().cloned().chain([me]).collect())
    }

    /// Seals a message as a frame for a link on which one request is answered.
    pub fn seal(&mut self, message: &LinkMessage, unix: Duration) -> Vec<u8> {
        self.link_frames.seal(&message.encode(), unix)
    }

    /// An authenticator for one long-lived link, with a sender number of its own, so that a frame delayed on one link is not rejected
    /// as a replay after frames of another.
    pub fn link_authenticator(&mut self) -> FrameAuthenticator {
        FrameAuthenticator::new(self.key.clone(), self.random.random())
    }

    /// Opens a frame from a link; `None` if it is not authentic, was replayed or does not decode to a valid message.
    pub fn open(&mut self, frame: &[u8], now: At, unix: Duration) -> Option<LinkMessage> {
        let Ok(payload) = self.link_frames.open(frame, now, unix) else {
            self.counters.unauthenticated += 1;
            return None;
        };
        let message = LinkMessage::decode(payload);
        self.counters.malformed += u64::from(message.is_none());
        message
    }

    fn schedule(&mut self, at: At, kind: TimerKind) {
        self.last_timer += 1;
        self.timers.insert((at, self.last_timer), kind);
    }

    /// Carries out what the protocol requested: datagrams to send, timers to set and changes to report.
    fn carry_out(
        &mut self,
        now: At,
        unix: Duration,
        mut runtime: AccumulatingRuntime<Member>,
        outputs: &mut Vec<SwimOutput>,
    ) {
        while let Some((to, payload)) = runtime.to_send() {
            let bytes = self.datagram_frames.seal(&payload, unix);
            self.counters.sent += 1;
            self.counters.sent_bytes += bytes.len() as u64;
            outputs.push(SwimOutput::Send { to: to.address, bytes });
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.schedule(now + after, TimerKind::Protocol(timer));
        }
        while let Some(notification) = runtime.to_notify() {
            outputs.extend(match notification {
                OwnedNotification::MemberUp(member) => {
                    Some(SwimOutput::Changed(MembershipChange::Up(member)))
                }
                OwnedNotification::MemberDown(member) => {
                    Some(SwimOutput::Changed(MembershipChange::Down(member)))
                }
                OwnedNotification::Rename(_, member) => {
                    Some(SwimOutput::Changed(MembershipChange::Updated(member)))
                }
                OwnedNotification::Rejoin(me) => {
                    Some(SwimOutput::Changed(MembershipChange::Refuted(me.incarnation)))
                }
                _ => None,
            });
        }
    }

    /// The members that are up, suspected ones included, without this instance, sorted by address.
    pub fn members(&self) -> Vec<MemberStatus> {
        let status = |m: &foca::Member<Member>| MemberStatus {
            member: m.id().clone(),
            suspected: m.state() == foca::State::Suspect,
        };
        let mut all: Vec<_> = self.foca.iter_members().map(status).collect();
        all.sort_by_key(|status| status.member.address);
        all
    }

    /// This instance with its present incarnation.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// Counters since the start.
    pub fn counters(&self) -> SwimCounters {
        self.counters
    }
}
