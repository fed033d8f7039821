//! Simulates the membership protocol of many instances; one random seed determines the network, the clocks and the faults.
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::{LINK_FRAME_OVERHEAD, UNIX, address, key, number, secs};
use crate::{At, LinkMessage, Member, MembershipChange, Swim, SwimConfig, SwimInput, SwimOutput, View};

/// An event that reaches an instance.
enum Event {
    /// A timer of an instance's run is due.
    Timer(usize, u64),
    Datagram(usize, Vec<u8>),
    /// A whole view, over a link.
    View(usize, View),
}

/// A simulated network and its instances.
pub struct Network {
    /// The present time on the simulation's clock.
    pub now: At,
    events: BTreeMap<(At, u64), Event>,
    last_event: u64,
    /// Random numbers of the network, and for the seeds of the instances.
    pub random: StdRng,
    /// The instances by number; `None` where no process runs.
    pub swims: Vec<Option<Swim>>,
    /// The number of processes that each instance has had; a timer of an earlier one is obsolete.
    runs: Vec<u64>,
    /// The run and the time of the timer that is set for each instance.
    timers: Vec<Option<(u64, At)>>,
    /// Instances whose process is paused.
    pub paused: HashSet<usize>,
    /// Datagrams that arrived while an instance was paused.
    pub unread: HashMap<usize, Vec<Vec<u8>>>,
    /// The partition that each instance is in; messages do not cross partitions.
    pub partition: Vec<u32>,
    /// The fraction of datagrams that are lost.
    pub loss_rate: f64,
    /// The least and the greatest delay of a datagram, in seconds.
    pub delay: (f64, f64),
    /// The offset of each instance's wall clock, in seconds.
    pub clock_skew: Vec<f64>,
    /// All changes of views: the time, the instance whose view changed, and the change.
    pub changes: Vec<(At, usize, MembershipChange)>,
    /// How many of the first instances are seeds.
    pub seeds: usize,
    /// Bytes of view requests and of whole views that each instance sent over links.
    pub link_bytes: Vec<u64>,
    /// Datagrams that each instance sent, over all its processes.
    pub datagrams: Vec<u64>,
    /// Their bytes.
    pub datagram_bytes: Vec<u64>,
    /// Real time that each instance's state machine took.
    pub handling_time: Vec<Duration>,
    /// Describes an instance; the network sets its incarnation and its address.
    pub describe: fn(usize) -> Member,
}

impl Network {
    /// A network for this many instances, none of them started.
    pub fn new(count: usize, seed: u64) -> Network {
        Network {
            now: secs(100.0),
            events: BTreeMap::new(),
            last_event: 0,
            random: StdRng::seed_from_u64(seed),
            swims: (0..count).map(|_| None).collect(),
            runs: vec![0; count],
            timers: vec![None; count],
            paused: HashSet::new(),
            unread: HashMap::new(),
            partition: vec![0; count],
            loss_rate: 0.0,
            delay: (0.001, 0.01),
            clock_skew: vec![0.0; count],
            changes: Vec::new(),
            seeds: 3,
            link_bytes: vec![0; count],
            datagrams: vec![0; count],
            datagram_bytes: vec![0; count],
            handling_time: vec![Duration::ZERO; count],
            describe: |n| Member {
                name: format!("i{n}"),
                zone: format!("z{}", n % 3),
                ..Member::with_address(address(n))
            },
        }
    }

    /// Starts a process of an instance.
    pub fn start(&mut self, n: usize) {
        let incarnation = (UNIX + self.now).as_millis() as u64;
        let member = Member { incarnation, address: address(n), ..(self.describe)(n) };
        let config =
            SwimConfig { seeds: (0..self.seeds).map(address).collect(), size: self.swims.len() as u32 };
        self.runs[n] += 1;
        self.swims[n] = Some(Swim::new(member, config, key(), self.random.random(), self.now));
        self.set_timer(n);
    }

    fn schedule(&mut self, at: At, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    fn set_timer(&mut self, n: usize) {
        let due = self.swims[n].as_ref().and_then(Swim::due);
        let timer = due.map(|at| (self.runs[n], at));
        if let Some(at) = due.filter(|_| self.timers[n] != timer) {
            self.timers[n] = timer;
            self.schedule(at.max(self.now), Event::Timer(n, self.runs[n]));
        }
    }

    /// The wall-clock time of an instance.
    pub fn unix(&self, n: usize) -> Duration {
        UNIX + self.now + secs(60.0) - secs(60.0 - self.clock_skew[n])
    }

    /// Passes an input to an instance and carries out its outputs.
    pub fn handle(&mut self, n: usize, input: SwimInput) {
        let unix = self.unix(n);
        let Some(swim) = &mut self.swims[n] else { return };
        let began = Instant::now();
        let outputs = swim.handle(self.now, unix, input);
        self.handling_time[n] += began.elapsed();
        for output in outputs {
            match output {
                SwimOutput::Changed(change) => self.changes.push((self.now, n, change)),
                SwimOutput::FetchView(with) => {
                    let with = number(with).filter(|m| *m < self.swims.len());
                    let with =
                        with.filter(|m| self.partition[*m] == self.partition[n] && !self.paused.contains(m));
                    if let Some(with) = with.filter(|m| self.swims[*m].is_some()) {
                        let (view, bytes) = self.view_of(with);
                        self.link_bytes[n] +=
                            (LINK_FRAME_OVERHEAD + LinkMessage::ViewRequest.encode().len()) as u64;
                        self.link_bytes[with] += (LINK_FRAME_OVERHEAD + bytes) as u64;
                        let delay = self.random.random_range(self.delay.0..self.delay.1);
                        self.schedule(self.now + secs(2.0 * delay), Event::View(n, view));
                    }
                }
                SwimOutput::Send { to, bytes } => {
                    self.datagrams[n] += 1;
                    self.datagram_bytes[n] += bytes.len() as u64;
                    let Some(to) = number(to).filter(|m| *m < self.swims.len()) else { continue };
                    let lost =
                        self.random.random_bool(self.loss_rate) || self.partition[n] != self.partition[to];
                    if !lost {
                        let delay = self.random.random_range(self.delay.0..self.delay.1);
                        self.schedule(self.now + secs(delay), Event::Datagram(to, bytes));
                    }
                }
            }
        }
        self.set_timer(n);
    }

    /// The whole view of an instance, and the length of its message in bytes.
    fn view_of(&mut self, n: usize) -> (View, usize) {
        let began = Instant::now();
        let view = self.swims[n].as_ref().expect("running").view();
        let message = LinkMessage::View(view);
        let bytes = message.encode().len();
        self.handling_time[n] += began.elapsed();
        let LinkMessage::View(view) = message else { unreachable!("constructed above") };
        (view, bytes)
    }

    /// Advances the simulation by some seconds.
    pub fn run(&mut self, for_s: f64) {
        let end = self.now + secs(for_s);
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            match event {
                Event::Timer(n, run) if run == self.runs[n] && !self.paused.contains(&n) => {
                    // An earlier input may have handled it already.
                    if self.swims[n].as_ref().and_then(Swim::due).is_some_and(|due| due <= self.now) {
                        self.handle(n, SwimInput::TimerDue);
                    }
                }
                Event::Timer(..) => {}
                Event::Datagram(n, bytes) if self.paused.contains(&n) => {
                    self.unread.entry(n).or_default().push(bytes);
                }
                Event::Datagram(n, bytes) => self.handle(n, SwimInput::Datagram(&bytes)),
                // A link to a paused instance times out long before it resumes.
                Event::View(n, _) if self.paused.contains(&n) => {}
                Event::View(n, view) => self.handle(n, SwimInput::View(&view)),
            }
        }
        self.now = end;
    }

    /// Resumes a paused process, which handles its timers before it reads any of the datagrams received meanwhile.
    pub fn resume_unread(&mut self, n: usize) {
        self.paused.remove(&n);
        self.handle(n, SwimInput::TimerDue);
    }

    /// Resumes a paused process, which then reads the datagrams received meanwhile.
    pub fn resume(&mut self, n: usize) {
        self.resume_unread(n);
        for bytes in self.unread.remove(&n).unwrap_or_default() {
            self.handle(n, SwimInput::Datagram(&bytes));
        }
    }

    /// Pairs of a running instance and another one whose state it sees wrongly.
    pub fn wrong_views(&self) -> Vec<(usize, usize)> {
        let running: Vec<_> = (0..self.swims.len()).filter(|n| self.swims[*n].is_some()).collect();
        let mut wrong = Vec::new();
        for &n in &running {
            let seen: HashSet<_> =
                self.swims[n].as_ref().expect("running").members().iter().map(|s| s.member.address).collect();
            let others = (0..self.swims.len()).filter(|m| *m != n);
            wrong.extend(
                others.filter(|m| seen.contains(&address(*m)) != self.swims[*m].is_some()).map(|m| (n, m)),
            );
        }
        wrong
    }

    /// How many times an instance was declared down since a time.
    pub fn down_count(&self, from: At) -> usize {
        self.changes.iter().filter(|(at, _, c)| *at >= from && matches!(c, MembershipChange::Down(_))).count()
    }
}
