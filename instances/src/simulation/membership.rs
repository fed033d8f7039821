//! Membership of many instances: one seed drives the network, the clocks and the faults.
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::{LINK_FRAME_OVERHEAD, UNIX, address, key, number, secs};
use crate::{At, LinkMessage, Member, MembershipChange, Swim, SwimConfig, SwimInput, SwimOutput, View};

/// Something that reaches an instance.
enum Step {
    Time(usize, u64),
    Arrives(usize, Vec<u8>),
    /// A whole view, over a link.
    View(usize, View),
}

/// A network and its instances, driven by one seed.
pub struct Network {
    /// The present, on the clock of the simulation.
    pub now: At,
    steps: BTreeMap<(At, u64), Step>,
    turn: u64,
    /// Lots of the network and of the instances' seeds.
    pub random: StdRng,
    /// The instances by number; none where no process runs.
    pub swims: Vec<Option<Swim>>,
    /// Counts the processes of each instance: what was set for an earlier one is over.
    lives: Vec<u64>,
    /// When each is to hear of the time next, and in which incarnation.
    due: Vec<Option<(u64, At)>>,
    /// Instances whose process is stopped.
    pub paused: HashSet<usize>,
    /// What came while an instance was stopped.
    pub unread: HashMap<usize, Vec<Vec<u8>>>,
    /// Instances on different sides do not hear each other.
    pub partition: Vec<u32>,
    /// Share of datagrams that are lost.
    pub loss_rate: f64,
    /// Least and greatest delay of a datagram, in seconds.
    pub delay: (f64, f64),
    /// The wall clock of each, against the true one, in seconds.
    pub clock_skew: Vec<f64>,
    /// Every change of a view: when, whose, which.
    pub changes: Vec<(At, usize, MembershipChange)>,
    /// How many instances are seeds: the first ones.
    pub seeds: usize,
    /// Bytes of questions and of whole views that each instance sent over links.
    pub link_bytes: Vec<u64>,
    /// Datagrams that each instance sent, by whichever of its processes.
    pub datagrams: Vec<u64>,
    /// Their bytes.
    pub datagram_bytes: Vec<u64>,
    /// Time that each instance's state machine took, by this machine's clock.
    pub handling_time: Vec<Duration>,
    /// What an instance tells of itself; its incarnation and address are set by the network.
    pub describe: fn(usize) -> Member,
}

impl Network {
    /// An empty network with room for so many instances.
    pub fn new(count: usize, seed: u64) -> Network {
        Network {
            now: secs(100.0),
            steps: BTreeMap::new(),
            turn: 0,
            random: StdRng::seed_from_u64(seed),
            swims: (0..count).map(|_| None).collect(),
            lives: vec![0; count],
            due: vec![None; count],
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

    /// A process of an instance starts.
    pub fn start(&mut self, n: usize) {
        let incarnation = (UNIX + self.now).as_millis() as u64;
        let member = Member { incarnation, address: address(n), ..(self.describe)(n) };
        let config =
            SwimConfig { seeds: (0..self.seeds).map(address).collect(), size: self.swims.len() as u32 };
        self.lives[n] += 1;
        self.swims[n] = Some(Swim::new(member, config, key(), self.random.random(), self.now));
        self.timer(n);
    }

    fn put(&mut self, at: At, step: Step) {
        self.turn += 1;
        self.steps.insert((at, self.turn), step);
    }

    fn timer(&mut self, n: usize) {
        let due = self.swims[n].as_ref().and_then(Swim::due);
        let set = due.map(|at| (self.lives[n], at));
        if let Some(at) = due.filter(|_| self.due[n] != set) {
            self.due[n] = set;
            self.put(at.max(self.now), Step::Time(n, self.lives[n]));
        }
    }

    /// The wall clock of an instance.
    pub fn unix(&self, n: usize) -> Duration {
        UNIX + self.now + secs(60.0) - secs(60.0 - self.clock_skew[n])
    }

    /// An instance handles an input, and the network carries out what it wants.
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
                        let (view, bytes) = self.answer(with);
                        self.link_bytes[n] +=
                            (LINK_FRAME_OVERHEAD + LinkMessage::ViewRequest.encode().len()) as u64;
                        self.link_bytes[with] += (LINK_FRAME_OVERHEAD + bytes) as u64;
                        let delay = self.random.random_range(self.delay.0..self.delay.1);
                        self.put(self.now + secs(2.0 * delay), Step::View(n, view));
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
                        self.put(self.now + secs(delay), Step::Arrives(to, bytes));
                    }
                }
            }
        }
        self.timer(n);
    }

    /// The whole view of an instance and its length in bytes.
    fn answer(&mut self, n: usize) -> (View, usize) {
        let began = Instant::now();
        let view = self.swims[n].as_ref().expect("one that runs").view();
        let word = LinkMessage::View(view);
        let bytes = word.encode().len();
        self.handling_time[n] += began.elapsed();
        let LinkMessage::View(view) = word else { unreachable!("made above") };
        (view, bytes)
    }

    /// Lets so many seconds pass.
    pub fn run(&mut self, for_s: f64) {
        let end = self.now + secs(for_s);
        while let Some(entry) = self.steps.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), step) = entry.remove_entry();
            self.now = self.now.max(at);
            match step {
                Step::Time(n, incarnation) if incarnation == self.lives[n] && !self.paused.contains(&n) => {
                    // An earlier wake may have dealt with it.
                    if self.swims[n].as_ref().and_then(Swim::due).is_some_and(|due| due <= self.now) {
                        self.handle(n, SwimInput::TimerDue);
                    }
                }
                Step::Time(..) => {}
                Step::Arrives(n, bytes) if self.paused.contains(&n) => {
                    self.unread.entry(n).or_default().push(bytes);
                }
                Step::Arrives(n, bytes) => self.handle(n, SwimInput::Datagram(&bytes)),
                // A link to one that is stopped gives up long before that goes on.
                Step::View(n, _) if self.paused.contains(&n) => {}
                Step::View(n, view) => self.handle(n, SwimInput::View(&view)),
            }
        }
        self.now = end;
    }

    /// A process goes on: the clock is looked at first, and nothing of what came has been read yet.
    pub fn resume_unread(&mut self, n: usize) {
        self.paused.remove(&n);
        self.handle(n, SwimInput::TimerDue);
    }

    /// A stopped process goes on, and then reads what came meanwhile.
    pub fn resume(&mut self, n: usize) {
        self.resume_unread(n);
        for bytes in self.unread.remove(&n).unwrap_or_default() {
            self.handle(n, SwimInput::Datagram(&bytes));
        }
    }

    /// Who sees whom, as pairs that are wrong.
    pub fn wrong_views(&self) -> Vec<(usize, usize)> {
        let live: Vec<_> = (0..self.swims.len()).filter(|n| self.swims[*n].is_some()).collect();
        let mut wrong = Vec::new();
        for &n in &live {
            let seen: HashSet<_> =
                self.swims[n].as_ref().expect("live").members().iter().map(|s| s.member.address).collect();
            let others = (0..self.swims.len()).filter(|m| *m != n);
            wrong.extend(
                others.filter(|m| seen.contains(&address(*m)) != self.swims[*m].is_some()).map(|m| (n, m)),
            );
        }
        wrong
    }

    /// How often anybody was taken for gone since a time.
    pub fn down_count(&self, from: At) -> usize {
        self.changes.iter().filter(|(at, _, c)| *at >= from && matches!(c, MembershipChange::Down(_))).count()
    }
}
