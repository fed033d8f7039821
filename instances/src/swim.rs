//! Membership by SWIM: probes, indirect probes, suspicion, refutation, and gossip of what changed (Das, Gupta, Motivala, DSN 2002),
//! over the `foca` crate, with the parts round it that a relay needs: seeds that are sought until they are there, members that are
//! checked, and a process that was stopped doubting itself before it doubts others (after Lifeguard, Dadgar et al., 2018).
//!
//! A state machine: [`Swim::handle`] takes the time and what happened, and gives what is to be sent and what has changed.
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

/// Largest payload of a datagram: with its frame it fits where 1,400 bytes do.
const LARGEST: usize = 1300;
/// A timer that is served so late says that this process was stopped or starved: what it did not hear is no news of others.
const SLEPT: Duration = Duration::from_millis(500);
/// A probe that is not answered by then is made through others.
const TRIP: Duration = Duration::from_millis(500);
/// Seeds that are not there are sought so often: while nobody else is there, and later on.
const SEEK_ALONE: Duration = Duration::from_secs(1);
const SEEK: Duration = Duration::from_secs(10);
/// Members that are down are told so, and so find back after a partition; two of them each time.
const REMIND: Duration = Duration::from_secs(10);
/// Then they are forgotten.
const FORGET: Duration = Duration::from_secs(600);
/// A member is asked for its whole view so often: what gossip did not reach is found out by this. A datagram names some 15 members, and
/// nothing tells a newcomer of those who have not changed.
const COMPARE: Duration = Duration::from_secs(10);
/// The same where nobody has answered that yet since this process began or went on.
const COMPARE_FIRST: Duration = Duration::from_millis(500);
/// Each instance passes a change on so many times. Guards against what a start of all at once shows: passed on t times by each, a change
/// misses an instance with a likelihood of e to the -t, and n instances that start together have n times n chances for that.
const PASSED_ON: u8 = 15;
/// What changed is passed on to so many members each time.
const GOSSIP: Duration = Duration::from_millis(250);
const GOSSIP_TO: usize = 3;

/// What an instance is told of the others beforehand.
#[derive(Clone, Debug)]
pub struct SwimConfig {
    /// Addresses at which others may be found.
    pub seeds: Vec<SocketAddr>,
    /// About how many instances there will be: sets how long one is only suspected (4 periods of a second times the logarithm, to the
    /// base 10, of their number).
    pub size: u32,
}

/// What happened.
#[derive(Clone, Copy, Debug)]
pub enum SwimInput<'a> {
    /// A datagram came.
    Datagram(&'a [u8]),
    /// The whole view of another has come over a link.
    View(&'a View),
    /// It is time: see [`Swim::due`].
    TimerDue,
    /// This instance leaves; nothing else is to follow.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwimOutput {
    /// A datagram is to be sent.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The whole frame.
        bytes: Vec<u8>,
    },
    /// The whole view of this instance is to be had over a link.
    FetchView(SocketAddr),
    /// The view has changed.
    Changed(MembershipChange),
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// An instance is there.
    Up(Member),
    /// It is there no more.
    Down(Member),
    /// It is there as another process than before, or with other words about itself.
    Updated(Member),
    /// Others took this instance for gone; it goes on under its next incarnation.
    Refuted(u64),
}

/// An instance as it is seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// What it tells of itself.
    pub member: Member,
    /// It has not answered of late, and is not yet taken for gone.
    pub suspected: bool,
}

/// What has come and gone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SwimCounters {
    /// Datagrams and their bytes, sent.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// Datagrams taken.
    pub accepted: u64,
    /// Those that were none of the key's, came again, or were too old.
    pub unauthenticated: u64,
    /// Those with the key's tag that could not be read or told of members that cannot be.
    pub malformed: u64,
    /// Times at which this process found itself to have been stopped.
    pub pauses: u64,
}

/// Checks what is read of members.
#[derive(Clone, Copy)]
struct Checked(PostcardCodec);

/// What was read cannot be.
#[derive(Debug)]
struct Unsound;

impl std::fmt::Display for Unsound {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a member that cannot be")
    }
}

impl std::error::Error for Unsound {}

impl Codec<Member> for Checked {
    type Error = Unsound;

    fn encode_header(&mut self, header: &Header<Member>, buf: impl BufMut) -> Result<(), Unsound> {
        self.0.encode_header(header, buf).map_err(|_| Unsound)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Member>, Unsound> {
        let header: Header<Member> = self.0.decode_header(buf).map_err(|_| Unsound)?;
        if header.src.is_valid() { Ok(header) } else { Err(Unsound) }
    }

    fn encode_member(&mut self, member: &foca::Member<Member>, buf: impl BufMut) -> Result<(), Unsound> {
        self.0.encode_member(member, buf).map_err(|_| Unsound)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<foca::Member<Member>, Unsound> {
        let member: foca::Member<Member> = self.0.decode_member(buf).map_err(|_| Unsound)?;
        if member.id().is_valid() { Ok(member) } else { Err(Unsound) }
    }
}

/// What a time was set for.
enum Due {
    Protocol(Timer<Member>),
    Seek,
    Compare,
}

/// The view of one instance.
pub struct Swim {
    foca: Foca<Member, Checked, StdRng, NoCustomBroadcast>,
    key: Key,
    sealed: FrameAuthenticator,
    /// Frames of links are another sender's: one that takes its time there must not be overtaken by datagrams and count as a replay.
    linked: FrameAuthenticator,
    /// What is due, by its time and its turn.
    due: BTreeMap<(At, u64), Due>,
    turn: u64,
    seeds: Vec<SocketAddr>,
    random: StdRng,
    /// How long a member is only suspected.
    suspicion: Duration,
    /// Another's view has come since this process last began or went on.
    compared: bool,
    left: bool,
    counts: SwimCounters,
}

impl Swim {
    /// The view of an instance that has just started. The seed feeds its lots and its number as a sender, so it must be another
    /// for each process.
    pub fn new(me: Member, config: SwimConfig, key: Key, seed: u64, now: At) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let size = NonZeroU32::new(config.size.max(3)).expect("above 0");
        let some = |n| NonZeroUsize::new(n).expect("above 0");
        let every = |frequency, n| Some(foca::PeriodicParams { frequency, num_members: some(n) });
        let protocol = foca::Config {
            probe_rtt: TRIP,
            max_packet_size: some(LARGEST),
            remove_down_after: Some(FORGET),
            max_transmissions: NonZeroU8::new(PASSED_ON).expect("above 0"),
            periodic_announce: None,
            periodic_announce_to_down_members: every(REMIND, 2),
            periodic_gossip: every(GOSSIP, GOSSIP_TO),
            ..foca::Config::new_lan(size)
        };
        let suspicion = protocol.suspect_to_down_after;
        let sealed = FrameAuthenticator::new(key.clone(), random.random());
        let linked = FrameAuthenticator::new(key.clone(), random.random());
        let seeds = config.seeds.into_iter().filter(|seed| *seed != me.address).collect();
        let foca = Foca::new(me, protocol, StdRng::seed_from_u64(random.random()), Checked(PostcardCodec));
        let due = BTreeMap::from([((now, 0), Due::Seek), ((now + COMPARE_FIRST, 1), Due::Compare)]);
        let (compared, left, counts) = (false, false, SwimCounters::default());
        Swim { foca, key, sealed, linked, due, turn: 1, seeds, random, suspicion, compared, left, counts }
    }

    /// When it is to hear of the time next.
    pub fn due(&self) -> Option<At> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    /// Takes what happened at a time of this machine's clocks: the monotonic one, and the wall's.
    pub fn handle(&mut self, now: At, unix: Duration, input: SwimInput) -> Vec<SwimOutput> {
        let mut outputs = Vec::new();
        if self.left {
            return outputs;
        }
        match input {
            SwimInput::Datagram(frame) => match self.sealed.open(frame, now, unix) {
                Err(_) => self.counts.unauthenticated += 1,
                Ok(payload) => {
                    let mut said = AccumulatingRuntime::new();
                    let read = self.foca.handle_data(payload, &mut said);
                    *(if read.is_ok() { &mut self.counts.accepted } else { &mut self.counts.malformed }) += 1;
                    self.take(now, unix, said, &mut outputs);
                }
            },
            SwimInput::View(view) => {
                self.compared = true;
                let mut said = AccumulatingRuntime::new();
                // Its only error is that this instance has left.
                let _ = self.foca.apply_many(view.0.iter().cloned(), true, &mut said);
                self.take(now, unix, said, &mut outputs);
            }
            SwimInput::TimerDue => {
                self.wake(now);
                while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
                    let mut said = AccumulatingRuntime::new();
                    match entry.remove() {
                        Due::Seek => self.seek(now, &mut said),
                        Due::Compare => outputs.extend(self.compare(now)),
                        // An error says that what it was set for is over.
                        Due::Protocol(timer) => drop(self.foca.handle_timer(timer, &mut said)),
                    }
                    self.take(now, unix, said, &mut outputs);
                }
            }
            SwimInput::Leave => {
                let mut said = AccumulatingRuntime::new();
                // Its only error is that it has left already.
                let _ = self.foca.leave_cluster(&mut said);
                self.take(now, unix, said, &mut outputs);
                self.left = true;
                self.due.clear();
            }
        }
        outputs
    }

    /// Puts all that is due off if this process was stopped: what came meanwhile is to be heard first. Others may have sent it nothing
    /// for a while, so suspicions begin anew, and somebody's whole view is had before they end.
    fn wake(&mut self, now: At) {
        let Some(first) = self.due().filter(|first| now > *first + SLEPT) else { return };
        self.counts.pauses += 1;
        let off = now - first + TRIP;
        let due = std::mem::take(&mut self.due).into_iter().map(|((at, turn), what)| {
            let at = match what {
                Due::Protocol(Timer::ChangeSuspectToDown { .. }) => now + self.suspicion,
                Due::Compare => now + TRIP,
                _ => at + off,
            };
            ((at, turn), what)
        });
        self.due = due.collect();
        self.compared = false;
    }

    /// Seeks a seed that is not there.
    fn seek(&mut self, now: At, said: &mut AccumulatingRuntime<Member>) {
        let there: Vec<_> = self.foca.iter_members().map(|m| m.id().address).collect();
        let absent: Vec<_> = self.seeds.iter().filter(|seed| !there.contains(seed)).copied().collect();
        if !absent.is_empty() {
            let seed = absent[self.random.random_range(0..absent.len())];
            // Its only error is that the announcement does not fit a datagram, which it always does.
            let _ = self.foca.announce(Member::with_address(seed), said);
        }
        let pause = if there.is_empty() { SEEK_ALONE } else { SEEK };
        let pause = pause.mul_f64(self.random.random_range(0.5..1.5));
        self.put(now + pause, Due::Seek);
    }

    /// Asks one that is there for its view.
    fn compare(&mut self, now: At) -> Option<SwimOutput> {
        let pause = if self.compared { COMPARE } else { COMPARE_FIRST };
        let pause = pause.mul_f64(self.random.random_range(0.5..1.5));
        self.put(now + pause, Due::Compare);
        let there: Vec<_> = self.foca.iter_members().map(|m| m.id().address).collect();
        (!there.is_empty()).then(|| SwimOutput::FetchView(there[self.random.random_range(0..there.len())]))
    }

    /// All that is known of members, this instance among them, for one that asks over a link.
    pub fn view(&self) -> View {
        let me = foca::Member::alive(self.me().clone());
        View(self.foca.iter_membership_state().cloned().chain([me]).collect())
    }

    /// A frame for a link.
    pub fn seal(&mut self, word: &LinkMessage, unix: Duration) -> Vec<u8> {
        self.linked.seal(&word.encode(), unix)
    }

    /// Frames of a link that stands: a sender of its own, since what waits on one link must not count as a replay after another's.
    pub fn link_authenticator(&mut self) -> FrameAuthenticator {
        FrameAuthenticator::new(self.key.clone(), self.random.random())
    }

    /// What a frame from a link says; none where it is not the key's, came before, or says nothing that can be.
    pub fn open(&mut self, frame: &[u8], now: At, unix: Duration) -> Option<LinkMessage> {
        let Ok(payload) = self.linked.open(frame, now, unix) else {
            self.counts.unauthenticated += 1;
            return None;
        };
        let word = LinkMessage::decode(payload);
        self.counts.malformed += u64::from(word.is_none());
        word
    }

    fn put(&mut self, at: At, what: Due) {
        self.turn += 1;
        self.due.insert((at, self.turn), what);
    }

    /// Takes up what the protocol wants.
    fn take(
        &mut self,
        now: At,
        unix: Duration,
        mut said: AccumulatingRuntime<Member>,
        outputs: &mut Vec<SwimOutput>,
    ) {
        while let Some((to, payload)) = said.to_send() {
            let bytes = self.sealed.seal(&payload, unix);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            outputs.push(SwimOutput::Send { to: to.address, bytes });
        }
        while let Some((after, timer)) = said.to_schedule() {
            self.put(now + after, Due::Protocol(timer));
        }
        while let Some(heard) = said.to_notify() {
            outputs.extend(match heard {
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

    /// Who is there, without this instance itself, by address.
    pub fn members(&self) -> Vec<MemberStatus> {
        let seen = |m: &foca::Member<Member>| MemberStatus {
            member: m.id().clone(),
            suspected: m.state() == foca::State::Suspect,
        };
        let mut all: Vec<_> = self.foca.iter_members().map(seen).collect();
        all.sort_by_key(|seen| seen.member.address);
        all
    }

    /// This instance, as it is now.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// What has come and gone.
    pub fn counters(&self) -> SwimCounters {
        self.counts
    }
}
