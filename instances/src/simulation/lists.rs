//! Lists between many instances: one seed drives links, processes and the list service.
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::{LINK_FRAME_OVERHEAD, address, number, secs};
use crate::{At, Catalog, Entry, LinkMessage, ListVersion, Lists, ListsConfig, ListsInput, ListsOutput};

const MUST_ASK_IN: Duration = Duration::from_secs(8);
/// A watch waits for so long, and a call is given up after that and two seconds.
const WAIT: Duration = Duration::from_millis(800);
/// Generations begin after this.
const MEMORY: u64 = 1_000_000;
const PATIENCE: Duration = Duration::from_secs(2);

/// What happens at a time.
enum Step {
    Time(usize, u64),
    Members(usize, u64),
    /// A link to somebody comes up.
    Open {
        link: u64,
        from: (usize, u64),
        to: usize,
    },
    /// A word on a link.
    Message {
        link: u64,
        from: usize,
        to: usize,
        word: LinkMessage,
    },
    Closed {
        link: u64,
        at: usize,
    },
    Service {
        who: usize,
        call: u64,
        answer: Option<(u64, bool, Vec<Entry>)>,
    },
}

/// An instance.
pub struct Node {
    /// Its state machine.
    pub lists: Lists,
    /// Whether it is to call the list service.
    pub polling: bool,
    /// The call that is out, its number and when it began.
    call: Option<(u64, At)>,
}

/// The list service: one call at a time.
pub struct Service {
    generation: u64,
    /// Counts the times that it lost its memory.
    pub resets: u64,
    entries: BTreeMap<String, String>,
    changes: Vec<(u64, Entry)>,
    free_at: At,
    /// Time that a call for the whole list takes.
    pub full_call_time: Duration,
    /// It refuses every call.
    pub down: bool,
    /// Calls for the whole list, and calls that failed. Watches that go on are not counted.
    pub calls: u32,
    /// Watches that go on.
    pub watches: u32,
    /// Watches that wait: who, call, index.
    waiting: Vec<(usize, u64, u64)>,
}

/// Instances, their links and their list service, driven by one seed.
pub struct Network {
    /// The present, on the clock of the simulation.
    pub now: At,
    steps: BTreeMap<(At, u64), Step>,
    turn: u64,
    random: StdRng,
    /// The instances by number; none where no process runs.
    pub nodes: Vec<Option<Node>>,
    lives: Vec<u64>,
    /// When each is to hear of the time next, and in which incarnation.
    due: Vec<(u64, At)>,
    /// Who is about to hear that others have come or gone.
    to_see: Vec<bool>,
    /// Instances whose process is stopped.
    pub paused: HashSet<usize>,
    unread: HashMap<usize, Vec<Step>>,
    /// Instances on different sides do not hear each other.
    pub partition: Vec<u32>,
    /// Those whose way to the service is cut.
    pub cut_off: HashSet<usize>,
    links: HashMap<u64, (usize, usize)>,
    /// When the last word on a link arrives, so that none overtakes another.
    arrives: HashMap<(u64, usize), At>,
    /// The list service.
    pub service: Service,
    /// Bytes that each instance sent over links.
    pub sent: Vec<u64>,
    /// Entries among them.
    pub entries_sent: Vec<u64>,
    /// Time that each instance's state machine took, by this machine's clock.
    pub handling_time: Vec<Duration>,
    /// How long ago each list was the service's, by version.
    ages: HashMap<ListVersion, usize>,
    /// The last list that each holds, and when it came to hold it.
    held: Vec<Option<(usize, At)>>,
    /// Lists that gave way to older ones.
    pub regressions: Vec<(At, usize)>,
    /// Least and greatest delay of a word, in seconds.
    pub delay: (f64, f64),
}

impl Service {
    /// How many entries there are.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }
}

impl Network {
    /// An empty network with room for so many instances, and a list of ten entries.
    pub fn new(count: usize, seed: u64) -> Network {
        let entries = BTreeMap::new();
        let mut net = Network {
            now: secs(100.0),
            steps: BTreeMap::new(),
            turn: 0,
            random: StdRng::seed_from_u64(seed),
            nodes: (0..count).map(|_| None).collect(),
            lives: vec![0; count],
            due: vec![(0, At::ZERO); count],
            to_see: vec![false; count],
            paused: HashSet::new(),
            unread: HashMap::new(),
            partition: vec![0; count],
            cut_off: HashSet::new(),
            links: HashMap::new(),
            arrives: HashMap::new(),
            service: Service {
                generation: MEMORY,
                resets: 0,
                entries,
                changes: Vec::new(),
                free_at: At::ZERO,
                full_call_time: secs(0.08),
                down: false,
                calls: 0,
                watches: 0,
                waiting: Vec::new(),
            },
            sent: vec![0; count],
            entries_sent: vec![0; count],
            handling_time: vec![Duration::ZERO; count],
            ages: HashMap::new(),
            held: vec![None; count],
            regressions: Vec::new(),
            delay: (0.001, 0.01),
        };
        (0..10).for_each(|n| net.change(n));
        net
    }

    fn put(&mut self, at: At, step: Step) {
        self.turn += 1;
        self.steps.insert((at.max(self.now), self.turn), step);
    }

    fn delay(&mut self) -> Duration {
        secs(self.random.random_range(self.delay.0..self.delay.1))
    }

    /// The service has so many entries more, all at once, before anybody has asked.
    pub fn fill(&mut self, entries: impl IntoIterator<Item = (String, String)>) {
        self.service.entries.extend(entries);
        self.change(0);
    }

    /// An entry changes at the service.
    pub fn change(&mut self, n: usize) {
        let service = &self.service;
        let text = format!("{}/{}", service.resets, service.generation + 1);
        self.change_to(format!("n{n}"), text);
    }

    /// An entry of the service has another text.
    pub fn change_to(&mut self, name: String, text: String) {
        let service = &mut self.service;
        service.generation += 1;
        service.entries.insert(name.clone(), text.clone());
        service.changes.push((service.generation, (name, Some(text))));
        let whole = service.entries.iter().map(|(n, t)| (n.clone(), Some(t.clone()))).collect();
        let version = Catalog::default().updated(service.generation, true, whole).version();
        self.ages.insert(version, self.ages.len());
        for (who, call, index) in std::mem::take(&mut self.service.waiting) {
            self.answer(who, call, Some(index), self.now);
        }
    }

    /// It lost its memory, and counts anew.
    pub fn reset_service(&mut self) {
        let service = &mut self.service;
        service.resets += 1;
        // Always lower than before, as far as a play goes: that it counts anew from where it was could not be seen.
        (service.generation, service.changes) = (MEMORY - service.resets * 1000, Vec::new());
        (0..3).for_each(|n| self.change(n));
    }

    /// A process of an instance starts.
    pub fn start(&mut self, n: usize) {
        let config = ListsConfig {
            me: address(n),
            seeds: (0..3.min(self.nodes.len())).map(address).collect(),
            expected: self.nodes.len() as u32,
            must_ask_in: MUST_ASK_IN,
            max_bytes: 1 << 20,
        };
        self.lives[n] += 1;
        let lists = Lists::new(config, self.random.random(), self.now);
        self.nodes[n] = Some(Node { lists, polling: false, call: None });
        (self.held[n], self.to_see[n]) = (None, false);
        self.membership_changed();
        self.put(self.now, Step::Time(n, self.lives[n]));
    }

    /// A process ends without a word.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        self.unread.remove(&n);
        self.paused.remove(&n);
        let of: Vec<_> =
            self.links.iter().filter(|(_, (a, b))| *a == n || *b == n).map(|(l, p)| (*l, *p)).collect();
        for (link, (a, b)) in of {
            self.links.remove(&link);
            self.put(self.now, Step::Closed { link, at: if a == n { b } else { a } });
        }
        self.membership_changed();
    }

    /// Who is there has changed: all hear of it some time later.
    pub fn membership_changed(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].is_some() && !std::mem::replace(&mut self.to_see[n], true) {
                let after = secs(self.random.random_range(0.3..2.5));
                self.put(self.now + after, Step::Members(n, self.lives[n]));
            }
        }
    }

    /// An instance handles an event, and the network carries out what it wants.
    pub fn handle(&mut self, n: usize, heard: ListsInput) {
        let now = self.now;
        let Some(node) = &mut self.nodes[n] else { return };
        let began = Instant::now();
        let todo = node.lists.handle(now, heard);
        self.handling_time[n] += began.elapsed();
        for what in todo {
            match what {
                ListsOutput::Open(to) => {
                    let to = number(to).filter(|m| *m < self.nodes.len()).expect("known");
                    self.turn += 1;
                    let (link, delay) = (self.turn, self.delay());
                    self.put(now + delay, Step::Open { link, from: (n, self.lives[n]), to });
                }
                ListsOutput::Close(link) => {
                    if let Some((a, b)) = self.links.remove(&link) {
                        let delay = self.delay();
                        self.put(now + delay, Step::Closed { link, at: if a == n { b } else { a } });
                    }
                }
                ListsOutput::Send(link, word) => {
                    let Some(&(a, b)) = self.links.get(&link) else { continue };
                    // As it goes over the wire.
                    let bytes = word.encode();
                    self.sent[n] += (LINK_FRAME_OVERHEAD + bytes.len()) as u64;
                    if let LinkMessage::ListUpdate(news) = &word {
                        self.entries_sent[n] += news.entries.len() as u64;
                    }
                    let word = LinkMessage::decode(&bytes).expect("a word");
                    let (to, delay) = (if a == n { b } else { a }, self.delay());
                    let last = self.arrives.entry((link, to)).or_default();
                    *last = (*last).max(now + delay);
                    let at = *last;
                    self.put(at, Step::Message { link, from: n, to, word });
                }
                ListsOutput::Poll(poll) => {
                    let node = self.nodes[n].as_mut().expect("live");
                    node.polling = poll;
                    if !poll {
                        node.call = None;
                    }
                }
                ListsOutput::ListChanged => {
                    let held = self.nodes[n].as_ref().and_then(|node| node.lists.current()).expect("changed");
                    let age = self.ages.get(&held.version).copied();
                    if let (Some((before, _)), Some(age)) = (self.held[n], age)
                        && age < before
                    {
                        self.regressions.push((now, n));
                    }
                    self.held[n] = age.map(|age| (age, now));
                }
            }
        }
        self.ask(n);
        let due = self.nodes[n].as_ref().map(|node| node.lists.due());
        if let Some(due) = due.filter(|due| self.due[n] != (self.lives[n], *due)) {
            self.due[n] = (self.lives[n], due);
            self.put(due, Step::Time(n, self.lives[n]));
        }
    }

    /// Calls the service, if it is this one's turn and no call is out.
    fn ask(&mut self, n: usize) {
        let Some(node) = &mut self.nodes[n] else { return };
        if !node.polling || node.call.is_some() {
            return;
        }
        let first = node.lists.watch_index();
        self.turn += 1;
        let (call, now) = (self.turn, self.now);
        node.call = Some((call, now));
        // Nothing but the time of the call is said here, and its turn cannot end by that.
        let todo = node.lists.handle(now, ListsInput::CallStarted);
        assert!(!todo.iter().any(|t| matches!(t, ListsOutput::Poll(false))));
        self.service.calls += 1;
        if self.cut_off.contains(&n) {
            let after = if first.is_some() { WAIT + PATIENCE } else { 3 * PATIENCE };
            return self.put(now + after, Step::Service { who: n, call, answer: None });
        }
        if self.service.down {
            return self.put(now + secs(0.002), Step::Service { who: n, call, answer: None });
        }
        let Some(index) = first else {
            self.service.free_at = self.service.free_at.max(now) + self.service.full_call_time;
            return self.answer(n, call, None, self.service.free_at);
        };
        // A watch that goes on costs nothing; they all do here, but the first.
        self.service.calls -= 1;
        self.service.watches += 1;
        if index == self.service.generation {
            self.service.waiting.push((n, call, index));
            self.put(now + WAIT, Step::Service { who: n, call, answer: Some((index, false, Vec::new())) });
        } else {
            self.answer(n, call, first, now);
        }
    }

    fn answer(&mut self, who: usize, call: u64, index: Option<u64>, at: At) {
        let service = &self.service;
        let answer = match index {
            None => {
                let all = service.entries.iter().map(|(name, text)| (name.clone(), Some(text.clone())));
                (service.generation, true, all.collect())
            }
            Some(index) => {
                let since =
                    service.changes.iter().filter(|(g, _)| *g > index).map(|(_, entry)| entry.clone());
                (service.generation, false, since.collect())
            }
        };
        let delay = self.delay();
        self.put(at + delay, Step::Service { who, call, answer: Some(answer) });
    }

    /// Lets so many seconds pass.
    pub fn run(&mut self, for_s: f64) {
        let end = self.now + secs(for_s);
        while let Some(entry) = self.steps.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), step) = entry.remove_entry();
            self.now = self.now.max(at);
            self.step(step);
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        let n = match &step {
            Step::Time(n, _) | Step::Members(n, _) | Step::Closed { at: n, .. } => *n,
            Step::Open { to: n, .. } | Step::Message { to: n, .. } | Step::Service { who: n, .. } => *n,
        };
        if self.paused.contains(&n) && !matches!(step, Step::Open { .. }) {
            return self.unread.entry(n).or_default().push(step);
        }
        match step {
            Step::Time(n, incarnation) if incarnation == self.lives[n] => {
                // An earlier one may have dealt with it.
                if self.nodes[n].as_ref().is_some_and(|node| node.lists.due() <= self.now) {
                    self.handle(n, ListsInput::TimerDue);
                }
            }
            Step::Members(n, incarnation) if incarnation == self.lives[n] => {
                self.to_see[n] = false;
                let there = |m: &usize| {
                    self.nodes[*m].is_some() && self.partition[*m] == self.partition[n] && *m != n
                };
                let members = (0..self.nodes.len()).filter(there).map(address).collect();
                self.handle(n, ListsInput::Members(members));
            }
            Step::Time(..) | Step::Members(..) => {}
            Step::Open { link, from: (from, incarnation), to } => {
                if self.nodes[from].is_none() || self.lives[from] != incarnation {
                    return;
                }
                if self.nodes[to].is_none()
                    || self.paused.contains(&to)
                    || self.partition[from] != self.partition[to]
                {
                    return self.handle(from, ListsInput::OpenFailed(address(to)));
                }
                self.links.insert(link, (from, to));
                self.handle(to, ListsInput::Opened { link, to: None });
                self.handle(from, ListsInput::Opened { link, to: Some(address(to)) });
            }
            Step::Message { link, from, to, word } => {
                if !self.links.contains_key(&link) {
                    return;
                }
                if self.partition[from] != self.partition[to] {
                    // It is sent again until the way is whole.
                    let again = self.now + secs(0.2);
                    return self.put(again, Step::Message { link, from, to, word });
                }
                // The relay's socket layer follows a link at its first word.
                if word != LinkMessage::Subscribe {
                    self.handle(to, ListsInput::Received(link, word));
                }
            }
            Step::Closed { link, at } => self.handle(at, ListsInput::Closed(link)),
            Step::Service { who, call, answer } => {
                let Some(node) = &mut self.nodes[who] else { return };
                let Some((_, began)) = node.call.filter(|(out, _)| *out == call) else { return };
                node.call = None;
                self.service.waiting.retain(|(_, waits, _)| *waits != call);
                let cut = self.cut_off.contains(&who) || self.service.down;
                match answer.filter(|_| !cut) {
                    Some((generation, whole, entries)) => {
                        self.handle(who, ListsInput::CallAnswered { began, generation, whole, entries });
                    }
                    None => self.handle(who, ListsInput::CallFailed { torn: false }),
                }
            }
        }
    }

    /// A stopped process goes on, and reads what came meanwhile.
    pub fn resume(&mut self, n: usize) {
        self.paused.remove(&n);
        for step in self.unread.remove(&n).unwrap_or_default() {
            self.step(step);
        }
    }

    /// Who of those that run does not hold the service's present list.
    pub fn outdated(&self) -> Vec<usize> {
        let newest = self.ages.len() - 1;
        let live = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some() && !self.paused.contains(n));
        live.filter(|n| self.held[*n].is_none_or(|(age, _)| age != newest)).collect()
    }

    /// Runs until nobody is behind; gives how long that took.
    pub fn run_until_converged(&mut self, most_s: f64) -> f64 {
        let from = self.now;
        while !self.outdated().is_empty() {
            assert!(
                self.now < from + secs(most_s),
                "after {most_s} s these are behind: {:?}",
                self.outdated()
            );
            self.run(0.05);
        }
        (self.now - from).as_secs_f64()
    }
}
