//! Simulates list replication between many instances; one random seed determines the links, the processes and discovery.
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::{LINK_FRAME_OVERHEAD, address, number, secs};
use crate::{At, Catalog, Entry, LinkMessage, ListVersion, Lists, ListsConfig, ListsInput, ListsOutput};

const MUST_ASK_IN: Duration = Duration::from_secs(8);
/// How long a watch waits for a change. A call times out two seconds later.
const WATCH_TIMEOUT: Duration = Duration::from_millis(800);
/// The first generation is the one after this.
const INITIAL_GENERATION: u64 = 1_000_000;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A scheduled event.
enum Event {
    /// A timer of an instance's run is due.
    Timer(usize, u64),
    /// An instance's run learns of changed members.
    Members(usize, u64),
    /// A requested link opens.
    Open {
        link: u64,
        from: (usize, u64),
        to: usize,
    },
    /// A message arrives on a link.
    Message {
        link: u64,
        from: usize,
        to: usize,
        message: LinkMessage,
    },
    Closed {
        link: u64,
        at: usize,
    },
    ServiceAnswer {
        instance: usize,
        call: u64,
        answer: Option<(u64, bool, Vec<Entry>)>,
    },
}

/// An instance.
pub struct Node {
    /// Its state machine.
    pub lists: Lists,
    /// Whether it polls discovery.
    pub polling: bool,
    /// The call in flight: its number and when it began.
    call: Option<(u64, At)>,
}

/// Discovery. It answers calls for the whole list one at a time.
pub struct Service {
    generation: u64,
    /// How often it lost its state.
    pub resets: u64,
    entries: BTreeMap<String, String>,
    changes: Vec<(u64, Entry)>,
    idle_at: At,
    /// How long a call for the whole list takes.
    pub full_call_time: Duration,
    /// Whether it refuses all calls.
    pub down: bool,
    /// Calls for the whole list, and calls that failed. Continued watches are not counted.
    pub calls: u32,
    /// Continued watches.
    pub watches: u32,
    /// Watches waiting for a change: the instance, the call and the index.
    waiting: Vec<(usize, u64, u64)>,
}

/// Simulated instances, the links between them and their discovery service.
pub struct Network {
    /// The present time on the simulation's clock.
    pub now: At,
    events: BTreeMap<(At, u64), Event>,
    last_event: u64,
    random: StdRng,
    /// The instances by number; `None` where no process runs.
    pub nodes: Vec<Option<Node>>,
    /// The number of processes that each instance has had; an event of an earlier one is obsolete.
    runs: Vec<u64>,
    /// The run and the time of the timer that is set for each instance.
    timers: Vec<(u64, At)>,
    /// Whether each instance is about to learn of changed members.
    members_scheduled: Vec<bool>,
    /// Instances whose process is paused.
    pub paused: HashSet<usize>,
    unread: HashMap<usize, Vec<Event>>,
    /// The partition that each instance is in; messages do not cross partitions.
    pub partition: Vec<u32>,
    /// Instances that cannot reach discovery.
    pub cut_off: HashSet<usize>,
    links: HashMap<u64, (usize, usize)>,
    /// When the last message sent on a link arrives, so that messages stay in order.
    last_arrivals: HashMap<(u64, usize), At>,
    /// Discovery.
    pub service: Service,
    /// Bytes that each instance sent over links.
    pub sent: Vec<u64>,
    /// Entries among them.
    pub entries_sent: Vec<u64>,
    /// Real time that each instance's state machine took.
    pub handling_time: Vec<Duration>,
    /// The order in which the service's versions came into being.
    ordinals: HashMap<ListVersion, usize>,
    /// The ordinal of each instance's current version, and since when it has that version.
    current_ordinals: Vec<Option<(usize, At)>>,
    /// When which instance replaced its list by an older one.
    pub regressions: Vec<(At, usize)>,
    /// The least and the greatest delay of a message, in seconds.
    pub delay: (f64, f64),
}

impl Service {
    /// The number of entries in the list.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }
}

impl Network {
    /// A network for this many instances, none of them started, and a list of ten entries.
    pub fn new(count: usize, seed: u64) -> Network {
        let entries = BTreeMap::new();
        let mut net = Network {
            now: secs(100.0),
            events: BTreeMap::new(),
            last_event: 0,
            random: StdRng::seed_from_u64(seed),
            nodes: (0..count).map(|_| None).collect(),
            runs: vec![0; count],
            timers: vec![(0, At::ZERO); count],
            members_scheduled: vec![false; count],
            paused: HashSet::new(),
            unread: HashMap::new(),
            partition: vec![0; count],
            cut_off: HashSet::new(),
            links: HashMap::new(),
            last_arrivals: HashMap::new(),
            service: Service {
                generation: INITIAL_GENERATION,
                resets: 0,
                entries,
                changes: Vec::new(),
                idle_at: At::ZERO,
                full_call_time: secs(0.08),
                down: false,
                calls: 0,
                watches: 0,
                waiting: Vec::new(),
            },
            sent: vec![0; count],
            entries_sent: vec![0; count],
            handling_time: vec![Duration::ZERO; count],
            ordinals: HashMap::new(),
            current_ordinals: vec![None; count],
            regressions: Vec::new(),
            delay: (0.001, 0.01),
        };
        (0..10).for_each(|n| net.change(n));
        net
    }

    fn schedule(&mut self, at: At, event: Event) {
        self.last_event += 1;
        self.events.insert((at.max(self.now), self.last_event), event);
    }

    fn random_delay(&mut self) -> Duration {
        secs(self.random.random_range(self.delay.0..self.delay.1))
    }

    /// Adds entries to the service's list, all in one change, before any instance has called.
    pub fn fill(&mut self, entries: impl IntoIterator<Item = (String, String)>) {
        self.service.entries.extend(entries);
        self.change(0);
    }

    /// Changes an entry of the service's list.
    pub fn change(&mut self, n: usize) {
        let service = &self.service;
        let text = format!("{}/{}", service.resets, service.generation + 1);
        self.change_to(format!("n{n}"), text);
    }

    /// Sets the text of an entry of the service's list.
    pub fn change_to(&mut self, name: String, text: String) {
        let service = &mut self.service;
        service.generation += 1;
        service.entries.insert(name.clone(), text.clone());
        service.changes.push((service.generation, (name, Some(text))));
        let whole = service.entries.iter().map(|(n, t)| (n.clone(), Some(t.clone()))).collect();
        let version = Catalog::default().updated(service.generation, true, whole).version();
        self.ordinals.insert(version, self.ordinals.len());
        for (instance, call, index) in std::mem::take(&mut self.service.waiting) {
            self.answer(instance, call, Some(index), self.now);
        }
    }

    /// The service loses its state and restarts its generation counter.
    pub fn reset_service(&mut self) {
        let service = &mut self.service;
        service.resets += 1;
        // Restarts below all earlier generations of a simulation: a restart that reached a generation used before could not be detected.
        (service.generation, service.changes) = (INITIAL_GENERATION - service.resets * 1000, Vec::new());
        (0..3).for_each(|n| self.change(n));
    }

    /// Starts a process of an instance.
    pub fn start(&mut self, n: usize) {
        let config = ListsConfig {
            me: address(n),
            seeds: (0..3.min(self.nodes.len())).map(address).collect(),
            expected: self.nodes.len() as u32,
            must_ask_in: MUST_ASK_IN,
            max_bytes: 1 << 20,
        };
        self.runs[n] += 1;
        let lists = Lists::new(config, self.random.random(), self.now);
        self.nodes[n] = Some(Node { lists, polling: false, call: None });
        (self.current_ordinals[n], self.members_scheduled[n]) = (None, false);
        self.membership_changed();
        self.schedule(self.now, Event::Timer(n, self.runs[n]));
    }

    /// Kills an instance's process; its links break.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        self.unread.remove(&n);
        self.paused.remove(&n);
        let links: Vec<_> =
            self.links.iter().filter(|(_, (a, b))| *a == n || *b == n).map(|(l, p)| (*l, *p)).collect();
        for (link, (a, b)) in links {
            self.links.remove(&link);
            self.schedule(self.now, Event::Closed { link, at: if a == n { b } else { a } });
        }
        self.membership_changed();
    }

    /// Schedules the news of changed members for all instances, at random delays.
    pub fn membership_changed(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].is_some() && !std::mem::replace(&mut self.members_scheduled[n], true) {
                let after = secs(self.random.random_range(0.3..2.5));
                self.schedule(self.now + after, Event::Members(n, self.runs[n]));
            }
        }
    }

    /// Passes an input to an instance and carries out its outputs.
    pub fn handle(&mut self, n: usize, input: ListsInput) {
        let now = self.now;
        let Some(node) = &mut self.nodes[n] else { return };
        let began = Instant::now();
        let outputs = node.lists.handle(now, input);
        self.handling_time[n] += began.elapsed();
        for output in outputs {
            match output {
                ListsOutput::Open(to) => {
                    let to = number(to).filter(|m| *m < self.nodes.len()).expect("known");
                    self.last_event += 1;
                    let (link, delay) = (self.last_event, self.random_delay());
                    self.schedule(now + delay, Event::Open { link, from: (n, self.runs[n]), to });
                }
                ListsOutput::Close(link) => {
                    if let Some((a, b)) = self.links.remove(&link) {
                        let delay = self.random_delay();
                        self.schedule(now + delay, Event::Closed { link, at: if a == n { b } else { a } });
                    }
                }
                ListsOutput::Send(link, message) => {
                    let Some(&(a, b)) = self.links.get(&link) else { continue };
                    // Encodes and decodes it as on the wire.
                    let bytes = message.encode();
                    self.sent[n] += (LINK_FRAME_OVERHEAD + bytes.len()) as u64;
                    if let LinkMessage::ListUpdate(update) = &message {
                        self.entries_sent[n] += update.entries.len() as u64;
                    }
                    let message = LinkMessage::decode(&bytes).expect("a valid message");
                    let (to, delay) = (if a == n { b } else { a }, self.random_delay());
                    let last = self.last_arrivals.entry((link, to)).or_default();
                    *last = (*last).max(now + delay);
                    let at = *last;
                    self.schedule(at, Event::Message { link, from: n, to, message });
                }
                ListsOutput::Poll(poll) => {
                    let node = self.nodes[n].as_mut().expect("running");
                    node.polling = poll;
                    if !poll {
                        node.call = None;
                    }
                }
                ListsOutput::ListChanged => {
                    let current =
                        self.nodes[n].as_ref().and_then(|node| node.lists.current()).expect("changed");
                    let ordinal = self.ordinals.get(&current.version).copied();
                    if let (Some((previous, _)), Some(ordinal)) = (self.current_ordinals[n], ordinal)
                        && ordinal < previous
                    {
                        self.regressions.push((now, n));
                    }
                    self.current_ordinals[n] = ordinal.map(|ordinal| (ordinal, now));
                }
            }
        }
        self.poll(n);
        let due = self.nodes[n].as_ref().map(|node| node.lists.due());
        if let Some(due) = due.filter(|due| self.timers[n] != (self.runs[n], *due)) {
            self.timers[n] = (self.runs[n], due);
            self.schedule(due, Event::Timer(n, self.runs[n]));
        }
    }

    /// Calls the service if the instance polls and has no call in flight.
    fn poll(&mut self, n: usize) {
        let Some(node) = &mut self.nodes[n] else { return };
        if !node.polling || node.call.is_some() {
            return;
        }
        let watch_index = node.lists.watch_index();
        self.last_event += 1;
        let (call, now) = (self.last_event, self.now);
        node.call = Some((call, now));
        // This input only reports the start of the call, so it does not stop the polling.
        let outputs = node.lists.handle(now, ListsInput::CallStarted);
        assert!(!outputs.iter().any(|t| matches!(t, ListsOutput::Poll(false))));
        self.service.calls += 1;
        if self.cut_off.contains(&n) {
            let after = if watch_index.is_some() { WATCH_TIMEOUT + CALL_TIMEOUT } else { 3 * CALL_TIMEOUT };
            return self.schedule(now + after, Event::ServiceAnswer { instance: n, call, answer: None });
        }
        if self.service.down {
            return self
                .schedule(now + secs(0.002), Event::ServiceAnswer { instance: n, call, answer: None });
        }
        let Some(index) = watch_index else {
            self.service.idle_at = self.service.idle_at.max(now) + self.service.full_call_time;
            return self.answer(n, call, None, self.service.idle_at);
        };
        // A watch costs the service nothing, so it is counted separately.
        self.service.calls -= 1;
        self.service.watches += 1;
        if index == self.service.generation {
            self.service.waiting.push((n, call, index));
            self.schedule(
                now + WATCH_TIMEOUT,
                Event::ServiceAnswer { instance: n, call, answer: Some((index, false, Vec::new())) },
            );
        } else {
            self.answer(n, call, watch_index, now);
        }
    }

    fn answer(&mut self, instance: usize, call: u64, index: Option<u64>, at: At) {
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
        let delay = self.random_delay();
        self.schedule(at + delay, Event::ServiceAnswer { instance, call, answer: Some(answer) });
    }

    /// Advances the simulation by some seconds.
    pub fn run(&mut self, for_s: f64) {
        let end = self.now + secs(for_s);
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.dispatch(event);
        }
        self.now = end;
    }

    fn dispatch(&mut self, event: Event) {
        let n = match &event {
            Event::Timer(n, _) | Event::Members(n, _) | Event::Closed { at: n, .. } => *n,
            Event::Open { to: n, .. }
            | Event::Message { to: n, .. }
            | Event::ServiceAnswer { instance: n, .. } => *n,
        };
        if self.paused.contains(&n) && !matches!(event, Event::Open { .. }) {
            return self.unread.entry(n).or_default().push(event);
        }
        match event {
            Event::Timer(n, run) if run == self.runs[n] => {
                // An earlier input may have handled it already.
                if self.nodes[n].as_ref().is_some_and(|node| node.lists.due() <= self.now) {
                    self.handle(n, ListsInput::TimerDue);
                }
            }
            Event::Members(n, run) if run == self.runs[n] => {
                self.members_scheduled[n] = false;
                let is_visible = |m: &usize| {
                    self.nodes[*m].is_some() && self.partition[*m] == self.partition[n] && *m != n
                };
                let members = (0..self.nodes.len()).filter(is_visible).map(address).collect();
                self.handle(n, ListsInput::Members(members));
            }
            Event::Timer(..) | Event::Members(..) => {}
            Event::Open { link, from: (from, run), to } => {
                if self.nodes[from].is_none() || self.runs[from] != run {
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
            Event::Message { link, from, to, message } => {
                if !self.links.contains_key(&link) {
                    return;
                }
                if self.partition[from] != self.partition[to] {
                    // Retransmits until the partition has healed, as TCP does.
                    let again = self.now + secs(0.2);
                    return self.schedule(again, Event::Message { link, from, to, message });
                }
                // The relay's socket layer handles the subscription itself.
                if message != LinkMessage::Subscribe {
                    self.handle(to, ListsInput::Received(link, message));
                }
            }
            Event::Closed { link, at } => self.handle(at, ListsInput::Closed(link)),
            Event::ServiceAnswer { instance, call, answer } => {
                let Some(node) = &mut self.nodes[instance] else { return };
                let Some((_, began)) = node.call.filter(|(in_flight, _)| *in_flight == call) else { return };
                node.call = None;
                self.service.waiting.retain(|(_, waiting, _)| *waiting != call);
                let failed = self.cut_off.contains(&instance) || self.service.down;
                match answer.filter(|_| !failed) {
                    Some((generation, whole, entries)) => {
                        self.handle(instance, ListsInput::CallAnswered { began, generation, whole, entries });
                    }
                    None => self.handle(instance, ListsInput::CallFailed { torn: false }),
                }
            }
        }
    }

    /// Resumes a paused process, which handles the events that arrived meanwhile.
    pub fn resume(&mut self, n: usize) {
        self.paused.remove(&n);
        for event in self.unread.remove(&n).unwrap_or_default() {
            self.dispatch(event);
        }
    }

    /// Running instances that do not have the service's present list.
    pub fn outdated(&self) -> Vec<usize> {
        let newest = self.ordinals.len() - 1;
        let running = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some() && !self.paused.contains(n));
        running.filter(|n| self.current_ordinals[*n].is_none_or(|(ordinal, _)| ordinal != newest)).collect()
    }

    /// Runs until all running instances have the present list; returns how many seconds that took.
    pub fn run_until_converged(&mut self, limit_s: f64) -> f64 {
        let from = self.now;
        while !self.outdated().is_empty() {
            assert!(
                self.now < from + secs(limit_s),
                "after {limit_s} s these instances have an older list: {:?}",
                self.outdated()
            );
            self.run(0.05);
        }
        (self.now - from).as_secs_f64()
    }
}
