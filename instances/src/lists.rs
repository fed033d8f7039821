//! Replication of the list of execute nodes between instances: which instances poll discovery, from which the others receive
//! the list, and how old it is.
//!
//! Few instances poll, the first by [`rank`]. Each instance keeps links to two instances that precede it and receives the list from
//! them. With a list comes the interval of time in which discovery confirmed it, converted to the receiver's clock. A list
//! replaces another if it was certainly confirmed later, or if the intervals overlap and its generation is higher, where a generation
//! from after a loss of the service's state counts as higher. So no older list replaces a newer one, and a lower generation is
//! accepted as soon as it is certainly the later one. Where no instance has a fresh list, instances poll by rank, few at a time.
//!
//! A state machine: [`Lists::handle`] takes the time and an input, and returns outputs to carry out.
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::At;
use crate::catalog::{Catalog, Difference, Entry, ListVersion};
use crate::list_messages::{Heartbeat, ListStatus, ListUpdate};
use crate::rank;
use crate::view::LinkMessage;

/// How often each side of a link sends a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A link without any message for this long is closed: its far side hangs or is unreachable.
const LINK_TIMEOUT: Duration = Duration::from_secs(2);
/// Heartbeats kept per link, of which an echo is recognized.
const MAX_HEARTBEATS: usize = 16;
/// Most bytes of entries in one part of an update.
const MAX_PART_BYTES: usize = 256 * 1024;
/// Seeds are ranked as if they were up for this long after the start, since they may be starting at the same time.
const SEEDS_ASSUMED_FOR: Duration = Duration::from_secs(2);
/// How long after its start an instance that is not among the first waits for a list from others before its polling delay begins:
/// the first have an answer by then, and an instance that is alone still serves within its first second.
const START_GRACE: Duration = Duration::from_millis(500);
/// The period of [`rank::poll_delay`].
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Bounds of the exponential backoff after a link could not be opened or broke.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(300);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(10);
/// Bounds of the exponential backoff after a call to discovery failed.
const MIN_POLL_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_POLL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Least time between replacements of working links, randomized up to twice that: while views are still filling, the preferred
/// parents of every instance change all the time.
const MIN_LINK_CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Different lists received for this long do not come from mere lag: this instance polls discovery to find out which is
/// right.
const CONFLICT_TOLERANCE: Duration = Duration::from_secs(2);
/// How long a version that discovery does not know is rejected, whoever sends it.
const REJECTED_FOR: Duration = Duration::from_secs(60);
/// Most versions rejected at once.
const MAX_REJECTED: usize = 64;
/// A list request that had no answer is repeated after this time.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The configuration of list replication.
#[derive(Clone, Debug)]
pub struct ListsConfig {
    /// This instance's address.
    pub me: SocketAddr,
    /// The same as in [`crate::SwimConfig`].
    pub seeds: Vec<SocketAddr>,
    /// The expected number of instances.
    pub expected: u32,
    /// The greatest intended age of the list. Instances other than the first poll once it is half as old.
    pub must_ask_in: Duration,
    /// The longest list that is accepted, in bytes of its entries.
    pub max_bytes: usize,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum ListsInput {
    /// The members that are up, without this instance.
    Members(Vec<SocketAddr>),
    /// A link is open, as requested by this instance or by another.
    Opened {
        /// The link's number.
        link: u64,
        /// The far side, if this instance requested the link.
        to: Option<SocketAddr>,
    },
    /// A link could not be opened.
    OpenFailed(SocketAddr),
    /// A link was closed or broke.
    Closed(u64),
    /// A message was received on a link.
    Received(u64, LinkMessage),
    /// A call to discovery begins.
    CallStarted,
    /// Discovery answered.
    CallAnswered {
        /// When the call began.
        began: At,
        /// The list's generation.
        generation: u64,
        /// Whether the entries are the whole list, not only the changes.
        whole: bool,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// The call failed.
    CallFailed {
        /// The answer broke off; the next call is made at once.
        torn: bool,
    },
    /// The time given by [`Lists::due`] has come.
    TimerDue,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListsOutput {
    /// Open a link.
    Open(SocketAddr),
    /// Close a link.
    Close(u64),
    /// Send a message on a link.
    Send(u64, LinkMessage),
    /// Start or stop polling discovery.
    Poll(bool),
    /// This instance's list has changed: see [`Lists::changes_since`].
    ListChanged,
}

/// A list version and the interval in which discovery last confirmed it, from `earliest` to `latest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownList {
    /// The list's version.
    pub version: ListVersion,
    /// How many losses of discovery's state had been observed by then.
    pub resets: u64,
    /// The earliest time at which discovery may have confirmed the list.
    pub earliest: At,
    /// The latest time at which discovery may have confirmed the list.
    pub latest: At,
    /// The instance that called discovery.
    pub origin: SocketAddr,
    /// Over how many other instances the confirmation came.
    pub hops: u8,
}

impl KnownList {
    /// Whether this list replaces another: it was certainly confirmed later, or possibly and it has the higher generation,
    /// counted from the last loss of the service's state.
    fn supersedes(&self, other: &KnownList) -> bool {
        if self.earliest >= other.latest {
            return self.version != other.version;
        }
        let order_key = |known: &KnownList| (known.resets, known.version);
        self.version != other.version && self.latest > other.earliest && order_key(self) > order_key(other)
    }

    fn confirm(&mut self, by: &KnownList) {
        self.resets = self.resets.max(by.resets);
        if by.earliest > self.earliest {
            (self.earliest, self.origin, self.hops) = (by.earliest, by.origin, by.hops);
        }
        self.latest = self.latest.max(by.latest);
    }

    fn status(&self, now: At) -> ListStatus {
        ListStatus {
            version: self.version,
            resets: self.resets,
            max_age: now.saturating_sub(self.earliest),
            min_age: now.saturating_sub(self.latest),
            origin: self.origin,
            hops: self.hops,
        }
    }
}

/// An open link.
struct Link {
    /// The far side, if this instance opened the link to receive the list from it.
    to: Option<SocketAddr>,
    last_received: At,
    /// Sequence numbers of the last heartbeats sent, and when.
    heartbeats: VecDeque<(u64, At)>,
    /// The last sequence number received; 0 if there is none.
    echo: u64,
    /// The far side's list, on this instance's clock; `None` until the far side has echoed a heartbeat.
    list: Option<KnownList>,
    /// The version that the far side states.
    remote_version: Option<ListVersion>,
    /// The version that was last sent to the far side.
    sent_version: Option<ListVersion>,
    /// When the list was last requested from the far side.
    requested_at: Option<At>,
    /// The parts received so far of an update.
    partial_update: Vec<Entry>,
    partial_bytes: usize,
}

/// The replicated list of one instance.
pub struct Lists {
    config: ListsConfig,
    started_at: At,
    random: StdRng,
    members: Vec<SocketAddr>,
    /// All known instances by rank, this one among them.
    order: Vec<SocketAddr>,
    /// This instance's position in that order.
    position: usize,
    /// See [`rank::parents`].
    parents: Vec<SocketAddr>,
    assume_seeds: bool,
    catalog: Catalog,
    current: Option<KnownList>,
    /// Discovery's last answer to this instance itself.
    own_answer: Option<KnownList>,
    /// That answer does not match the current list, so the next call asks for the whole list.
    needs_full_list: bool,
    /// The call in flight: the version whose changes it asks for, or `None` for the whole list.
    call_in_flight: Option<Option<ListVersion>>,
    failures: u32,
    retry_at: At,
    /// When this instance polls in place of earlier ones that have no fresh list.
    poll_at: Option<At>,
    polling: bool,
    links: BTreeMap<u64, Link>,
    opening: BTreeSet<SocketAddr>,
    /// Instances that could not be reached: when to retry, and the backoff delay.
    reconnect_backoff: HashMap<SocketAddr, (At, Duration)>,
    /// Versions that others kept sending though discovery does not know them, and until when they are rejected.
    rejected_versions: HashMap<ListVersion, At>,
    /// The different versions that are being received, and since when.
    conflict: Option<(BTreeSet<ListVersion>, At)>,
    next_link_change: At,
    next_heartbeat: At,
}

impl Lists {
    /// An instance that has just started and has no list.
    pub fn new(config: ListsConfig, seed: u64, now: At) -> Self {
        let mut lists = Lists {
            started_at: now,
            random: StdRng::seed_from_u64(seed),
            members: Vec::new(),
            order: Vec::new(),
            position: 0,
            parents: Vec::new(),
            assume_seeds: true,
            catalog: Catalog::default(),
            current: None,
            own_answer: None,
            needs_full_list: false,
            call_in_flight: None,
            failures: 0,
            retry_at: now,
            poll_at: None,
            polling: false,
            links: BTreeMap::new(),
            opening: BTreeSet::new(),
            reconnect_backoff: HashMap::new(),
            rejected_versions: HashMap::new(),
            conflict: None,
            next_link_change: now,
            next_heartbeat: now,
            config,
        };
        lists.update_order();
        lists
    }

    /// When the next timer is due.
    pub fn due(&self) -> At {
        self.next_heartbeat
    }

    /// This instance's list.
    pub fn current(&self) -> Option<KnownList> {
        self.current
    }

    /// The difference from a version to this instance's list.
    pub fn changes_since(&self, base: Option<ListVersion>) -> Difference {
        self.catalog.changes_since(base)
    }

    /// The generation since which the next call asks for changes; `None` if it asks for the whole list.
    pub fn watch_index(&self) -> Option<u64> {
        self.current.filter(|_| !self.needs_full_list).map(|current| current.version.generation)
    }

    /// How many links are open: those that this instance opened, and those that others opened.
    pub fn links(&self) -> (usize, usize) {
        let mine = self.links.values().filter(|link| link.to.is_some()).count();
        (mine, self.links.len() - mine)
    }

    /// Handles an input at a time of this machine's monotonic clock.
    pub fn handle(&mut self, now: At, input: ListsInput) -> Vec<ListsOutput> {
        let mut outputs = Vec::new();
        match input {
            ListsInput::Members(members) => {
                self.members = members;
                self.update_order();
            }
            ListsInput::Opened { link, to } => self.on_opened(now, link, to, &mut outputs),
            ListsInput::OpenFailed(to) => {
                self.opening.remove(&to);
                self.back_off(now, to);
            }
            ListsInput::Closed(link) => self.on_closed(now, link),
            ListsInput::Received(link, message) => self.on_message(now, link, message, &mut outputs),
            ListsInput::CallStarted => {
                self.call_in_flight =
                    Some(self.current.filter(|_| !self.needs_full_list).map(|current| current.version))
            }
            ListsInput::CallAnswered { began, generation, whole, entries } => {
                self.on_answer(now, began, (generation, whole, entries), &mut outputs);
            }
            ListsInput::CallFailed { torn } => self.on_call_failed(now, torn),
            ListsInput::TimerDue => self.on_timer(now, &mut outputs),
        }
        if self.assume_seeds && now >= self.started_at + SEEDS_ASSUMED_FOR {
            self.assume_seeds = false;
            self.update_order();
        }
        self.confirm_and_request(now, &mut outputs);
        self.update_polling(now, &mut outputs);
        self.update_links(now, &mut outputs);
        outputs
    }

    fn update_order(&mut self) {
        let seeds = if self.assume_seeds { &self.config.seeds[..] } else { &[] };
        let known = self.members.iter().chain(seeds).copied().chain([self.config.me]);
        self.order = rank::order(known, &self.config.seeds);
        self.position = self.order.iter().position(|one| *one == self.config.me).expect("among them");
        self.parents = rank::parents(&self.order, self.position);
        self.reconnect_backoff.retain(|address, _| self.order.contains(address));
    }

    /// The age at which a list is no longer fresh: half of the greatest intended age. This is longer than the first instances take to
    /// get a new confirmation and to pass it on over three links, and leaves time for others to take their place.
    fn stale_after(&self) -> Duration {
        self.config.must_ask_in / 2
    }

    fn is_fresh(&self, known: &KnownList, now: At) -> bool {
        now < known.earliest + self.stale_after()
    }

    fn is_rejected(&self, known: &KnownList, now: At) -> bool {
        self.rejected_versions.get(&known.version).is_some_and(|until| now < *until)
    }

    /// The lists that this instance may adopt, with the links they came on: its own fresh answer from discovery; else the fresh
    /// lists of the parents that precede it, if one of them originates from one of the first instances; else, since the polling may
    /// have moved to any instance, the fresh lists of all links; if none is fresh, the lists of all links.
    fn eligible_lists(&self, now: At) -> Vec<(Option<u64>, KnownList)> {
        if let Some(own_answer) = self.own_answer.filter(|own_answer| self.is_fresh(own_answer, now)) {
            return vec![(None, own_answer)];
        }
        let lists_where = |predicate: &dyn Fn(&Link, &KnownList) -> bool| -> Vec<_> {
            let lists =
                self.links.iter().filter_map(|(number, link)| Some((Some(*number), link, link.list?)));
            let lists = lists.filter(|(.., known)| !self.is_rejected(known, now));
            lists
                .filter(|(_, link, known)| predicate(link, known))
                .map(|(number, _, known)| (number, known))
                .collect()
        };
        let precedes = |one: SocketAddr| self.order[..self.position].contains(&one);
        let chosen = lists_where(&|link, known| link.to.is_some_and(precedes) && self.is_fresh(known, now));
        let first = &self.order[..self.order.len().min(rank::POLLERS)];
        if chosen.iter().any(|(_, known)| first.contains(&known.origin)) {
            return chosen;
        }
        let fresh = lists_where(&|_, known| self.is_fresh(known, now));
        if fresh.is_empty() { lists_where(&|_, _| true) } else { fresh }
    }

    /// Confirms the current list by the eligible ones, and requests a list that supersedes it from an instance that has it.
    fn confirm_and_request(&mut self, now: At, outputs: &mut Vec<ListsOutput>) {
        let eligible_lists = self.eligible_lists(now);
        if let Some(current) = &mut self.current {
            let version = current.version;
            eligible_lists
                .iter()
                .filter(|(_, known)| known.version == version)
                .for_each(|(_, known)| current.confirm(known));
        }
        self.detect_conflict(now, &eligible_lists);
        let current = self.current;
        let better = eligible_lists
            .iter()
            .filter(|(_, known)| current.is_none_or(|current| known.supersedes(&current)));
        let better: Vec<_> = better.filter_map(|(link, known)| Some(((*link)?, *known))).collect();
        let requested_at = |number: &u64| self.links.get(number).and_then(|link| link.requested_at);
        if better
            .iter()
            .any(|(number, _)| requested_at(number).is_some_and(|at| now < at + REQUEST_RETRY_INTERVAL))
        {
            return;
        }
        // Of the links that offer the best list, the one never asked before, or asked longest ago.
        let best = better.iter().filter(|(_, one)| !better.iter().any(|(_, other)| other.supersedes(one)));
        let best = best.map(|(number, _)| *number).min_by_key(requested_at);
        if let Some((number, link)) = best.and_then(|number| Some((number, self.links.get_mut(&number)?))) {
            link.requested_at = Some(now);
            outputs.push(ListsOutput::Send(
                number,
                LinkMessage::ListRequest(current.map(|current| current.version)),
            ));
        }
    }

    /// Notes whether different lists keep being received. An instance that has a fresh answer of its own keeps what it noted before.
    fn detect_conflict(&mut self, now: At, eligible_lists: &[(Option<u64>, KnownList)]) {
        if eligible_lists.first().is_some_and(|(link, _)| link.is_none()) {
            return;
        }
        let fresh = eligible_lists.iter().filter(|(_, known)| self.is_fresh(known, now));
        let versions: BTreeSet<_> = fresh.map(|(_, known)| known.version).collect();
        match &mut self.conflict {
            _ if versions.len() < 2 => self.conflict = None,
            // The conflicting version may differ from time to time.
            Some((seen, _)) => {
                seen.extend(versions.into_iter().take(MAX_REJECTED.saturating_sub(seen.len())))
            }
            None => self.conflict = Some((versions, now)),
        }
    }

    fn on_opened(&mut self, now: At, number: u64, to: Option<SocketAddr>, outputs: &mut Vec<ListsOutput>) {
        if let Some(to) = to {
            self.opening.remove(&to);
        }
        let link = Link {
            to,
            last_received: now,
            heartbeats: VecDeque::new(),
            echo: 0,
            list: None,
            remote_version: None,
            sent_version: None,
            requested_at: None,
            partial_update: Vec::new(),
            partial_bytes: 0,
        };
        self.links.insert(number, link);
        if to.is_some() {
            outputs.push(ListsOutput::Send(number, LinkMessage::Subscribe));
            self.send_heartbeat(now, number, outputs);
        }
    }

    fn on_closed(&mut self, now: At, number: u64) {
        if let Some(to) = self.links.remove(&number).and_then(|link| link.to) {
            self.back_off(now, to);
        }
    }

    /// Closes a link, and backs off as if it could not be opened.
    fn close_link(&mut self, now: At, number: u64, outputs: &mut Vec<ListsOutput>) {
        self.on_closed(now, number);
        outputs.push(ListsOutput::Close(number));
    }

    fn back_off(&mut self, now: At, address: SocketAddr) {
        let delay = self
            .reconnect_backoff
            .get(&address)
            .map_or(MIN_RECONNECT_DELAY, |(_, delay)| (*delay * 2).min(MAX_RECONNECT_DELAY));
        let until = now + delay.mul_f64(self.random.random_range(0.5..1.5));
        self.reconnect_backoff.insert(address, (until, delay));
    }

    fn on_timer(&mut self, now: At, outputs: &mut Vec<ListsOutput>) {
        if now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let timed_out: Vec<_> = self
            .links
            .iter()
            .filter(|(_, link)| now >= link.last_received + LINK_TIMEOUT)
            .map(|(number, _)| *number)
            .collect();
        for number in timed_out {
            self.close_link(now, number, outputs);
        }
        for number in self.links.keys().copied().collect::<Vec<_>>() {
            self.send_heartbeat(now, number, outputs);
        }
    }

    fn send_heartbeat(&mut self, now: At, number: u64, outputs: &mut Vec<ListsOutput>) {
        let status = self.current.map(|current| current.status(now));
        let Some(link) = self.links.get_mut(&number) else { return };
        // The first is random, so that no message of another link echoes a heartbeat of this one.
        let next =
            link.heartbeats.back().map_or_else(|| self.random.random::<u64>() / 2 + 1, |(last, _)| last + 1);
        link.heartbeats.push_back((next, now));
        if link.heartbeats.len() > MAX_HEARTBEATS {
            link.heartbeats.pop_front();
        }
        outputs.push(ListsOutput::Send(
            number,
            LinkMessage::Heartbeat(Heartbeat { sequence: next, echo: link.echo, status }),
        ));
    }

    fn on_message(&mut self, now: At, number: u64, message: LinkMessage, outputs: &mut Vec<ListsOutput>) {
        let Some(link) = self.links.get_mut(&number) else { return };
        link.last_received = now;
        match message {
            LinkMessage::Heartbeat(heartbeat) => {
                let first = std::mem::replace(&mut link.echo, heartbeat.sequence) == 0;
                link.remote_version = heartbeat.status.map(|status| status.version);
                link.list = heartbeat.status.and_then(|status| link.known_list(now, heartbeat.echo, &status));
                if let (Some(to), Some(_)) = (link.to, link.list) {
                    self.reconnect_backoff.remove(&to);
                }
                let reply = first && link.heartbeats.is_empty();
                self.push_update(now, number, outputs);
                if reply {
                    self.send_heartbeat(now, number, outputs);
                }
            }
            LinkMessage::ListRequest(base) => self.send_update(now, number, base, outputs),
            LinkMessage::ListUpdate(update) => self.on_update(now, number, update, outputs),
            // This link has been subscribed already, and whole views are requested on links of their own.
            LinkMessage::Subscribe | LinkMessage::ViewRequest | LinkMessage::View(_) => {
                self.close_link(now, number, outputs)
            }
        }
    }

    /// Sends the current list to a far side that does not have it, unless it was sent already: the changes, or the whole list if the far
    /// side has none. False if the far side's version is too old for that: it learns of the list by a heartbeat and requests it.
    fn push_update(&mut self, now: At, number: u64, outputs: &mut Vec<ListsOutput>) -> bool {
        let (Some(current), Some(link)) = (self.current, self.links.get(&number)) else { return true };
        let version = current.version;
        if link.echo == 0 || link.remote_version == Some(version) || link.sent_version == Some(version) {
            return true;
        }
        let base = link.remote_version.or(link.sent_version);
        let can_send = base.is_none_or(|base| self.catalog.has_changes_since(base));
        if can_send {
            self.send_update(now, number, base, outputs);
        }
        can_send
    }

    fn send_update(
        &mut self,
        now: At,
        number: u64,
        base: Option<ListVersion>,
        outputs: &mut Vec<ListsOutput>,
    ) {
        let (Some(current), Some(link)) = (self.current, self.links.get_mut(&number)) else { return };
        link.sent_version = Some(current.version);
        let (echo, status) = (link.echo, current.status(now));
        let difference = self.catalog.changes_since(base);
        let mut parts = vec![Vec::new()];
        let mut bytes = 0;
        for entry in difference.entries {
            bytes += entry_bytes(&entry);
            if bytes > MAX_PART_BYTES && !parts.last().is_some_and(Vec::is_empty) {
                parts.push(Vec::new());
                bytes = entry_bytes(&entry);
            }
            parts.last_mut().expect("one").push(entry);
        }
        let count = parts.len();
        for (n, entries) in parts.into_iter().enumerate() {
            let update = ListUpdate { echo, status, base: difference.base, entries, last: n + 1 == count };
            outputs.push(ListsOutput::Send(number, LinkMessage::ListUpdate(update)));
        }
    }

    fn on_update(&mut self, now: At, number: u64, update: ListUpdate, outputs: &mut Vec<ListsOutput>) {
        let Some(link) = self.links.get_mut(&number) else { return };
        link.partial_bytes += update.entries.iter().map(entry_bytes).sum::<usize>();
        if link.partial_bytes > self.config.max_bytes {
            return self.close_link(now, number, outputs);
        }
        link.partial_update.extend(update.entries);
        if !update.last {
            return;
        }
        (link.partial_bytes, link.remote_version) = (0, Some(update.status.version));
        let entries = std::mem::take(&mut link.partial_update);
        let Some(known) = link.known_list(now, update.echo, &update.status) else { return };
        link.list = Some(known);
        let eligible = self.eligible_lists(now).iter().any(|(from, _)| *from == Some(number));
        if !eligible || self.current.is_some_and(|current| !known.supersedes(&current)) {
            return;
        }
        let whole = update.base.is_none();
        let difference = Difference { base: update.base, version: known.version, entries };
        match self.catalog.apply(&difference) {
            Some(catalog) => {
                (self.catalog, self.current) = (catalog, Some(known));
                self.announce_change(now, outputs);
            }
            // A whole list without the stated version ends the link; changes to another version than the current one do not apply, so
            // the whole list is requested.
            None if whole => self.close_link(now, number, outputs),
            None => outputs.push(ListsOutput::Send(number, LinkMessage::ListRequest(None))),
        }
    }

    /// Notifies all links at once that the current list has changed.
    fn announce_change(&mut self, now: At, outputs: &mut Vec<ListsOutput>) {
        outputs.push(ListsOutput::ListChanged);
        for number in self.links.keys().copied().collect::<Vec<_>>() {
            if !self.push_update(now, number, outputs) {
                self.send_heartbeat(now, number, outputs);
            }
        }
    }

    /// How many losses of state discovery has had when it answers a call, begun at a time, with a generation. Losses seen by
    /// others count only if the answer is certainly later than them: a delayed answer may be from before the loss.
    fn resets_at(&self, began: At, generation: u64) -> u64 {
        let lists = self.links.values().filter_map(|link| link.list);
        match self.current {
            Some(current) if generation >= current.version.generation => current.resets,
            // A loss that others have observed is not counted again.
            Some(current) => lists.map(|known| known.resets).fold(current.resets.saturating_add(1), u64::max),
            None => {
                let earlier = lists.filter(|known| began >= known.latest);
                let lost = |known: &KnownList| u64::from(generation < known.version.generation);
                earlier.map(|known| known.resets.saturating_add(lost(&known))).max().unwrap_or(0)
            }
        }
    }

    fn on_answer(
        &mut self,
        now: At,
        began: At,
        answer: (u64, bool, Vec<Entry>),
        outputs: &mut Vec<ListsOutput>,
    ) {
        let (generation, whole, entries) = answer;
        let base = self.call_in_flight.replace(self.current.map(|current| current.version)).flatten();
        (self.failures, self.retry_at, self.poll_at) = (0, now, None);
        if !whole && base != Some(self.catalog.version()) {
            // A list from others was adopted meanwhile; the next call asks for the changes since that one.
            return;
        }
        let generation_fell = !whole && generation < self.catalog.version().generation;
        let catalog = self.catalog.updated(generation, whole, entries);
        let origin = self.config.me;
        let resets = self.resets_at(began, generation);
        let known =
            KnownList { version: catalog.version(), resets, earliest: began, latest: now, origin, hops: 0 };
        self.own_answer = Some(known);
        match &mut self.current {
            // The service lost its state: changes since then do not tell which entries are left.
            _ if generation_fell => self.needs_full_list = true,
            Some(current) if current.version == known.version => {
                current.confirm(&known);
                self.needs_full_list = false;
            }
            Some(current) if !known.supersedes(current) => self.needs_full_list = true,
            _ => {
                (self.catalog, self.current, self.needs_full_list) = (catalog, Some(known), false);
                self.announce_change(now, outputs);
            }
        }
        if !self.needs_full_list
            && let Some((versions, _)) = self.conflict.take()
        {
            self.reject_unknown(now, generation, versions);
        }
    }

    /// Rejects those of the conflicting versions whose generation is above discovery's present one: it never returned them.
    fn reject_unknown(&mut self, now: At, generation: u64, versions: BTreeSet<ListVersion>) {
        self.rejected_versions.retain(|_, until| now < *until);
        let room = MAX_REJECTED - self.rejected_versions.len().min(MAX_REJECTED);
        let rejected_versions =
            versions.into_iter().filter(|version| version.generation > generation).take(room);
        self.rejected_versions.extend(rejected_versions.map(|version| (version, now + REJECTED_FOR)));
    }

    fn on_call_failed(&mut self, now: At, torn: bool) {
        // Others may still have a confirmed list.
        (self.call_in_flight, self.own_answer) = (None, None);
        self.failures += 1;
        let delay = (MIN_POLL_RETRY_DELAY * (1 << self.failures.min(5)) / 2).min(MAX_POLL_RETRY_DELAY);
        // The answer that broke off may have contained a drain.
        self.retry_at = if torn { now } else { now + delay.mul_f64(self.random.random_range(0.5..1.5)) };
        // An instance that polled in place of others tries again once all others have had their time.
        if self.poll_at.is_some() {
            let round = POLL_PERIOD * (rank::poll_delay(self.fleet_size()) + 1);
            self.poll_at = Some(now + round.mul_f64(self.random.random_range(0.5..1.5)));
        }
    }

    /// The number of instances, as far as this one knows.
    fn fleet_size(&self) -> usize {
        self.order.len().max(self.config.expected as usize)
    }

    /// Whether this instance's position is meaningful: it is a seed, which all know, or it knows at least half of the instances.
    fn has_reliable_position(&self) -> bool {
        self.config.seeds.contains(&self.config.me) || 2 * self.order.len() >= self.config.expected as usize
    }

    fn update_polling(&mut self, now: At, outputs: &mut Vec<ListsOutput>) {
        let due = match self.current {
            None => self.started_at + START_GRACE,
            Some(current) => (current.earliest + self.stale_after()).max(self.started_at + START_GRACE),
        };
        let conflict = self.conflict.as_ref().is_some_and(|(_, since)| now >= *since + CONFLICT_TOLERANCE);
        let first = self.position < rank::POLLERS && self.has_reliable_position();
        let should_poll = if first || self.is_replacement_poller(now) {
            true
        } else if now >= due || conflict {
            let at = match self.poll_at {
                Some(at) => at,
                None => {
                    let position = if self.has_reliable_position() && !conflict {
                        self.position
                    } else {
                        self.random_position()
                    };
                    now.max(due) + POLL_PERIOD * rank::poll_delay(position)
                }
            };
            self.poll_at = Some(at);
            now >= at
        } else {
            self.poll_at = None;
            false
        };
        // A call for the whole list is not cancelled, since the service may be working on it already.
        let full_call_in_flight = self.call_in_flight == Some(None);
        let poll =
            full_call_in_flight || (should_poll && (self.call_in_flight.is_some() || now >= self.retry_at));
        if poll != self.polling {
            self.polling = poll;
            if !poll {
                // Lists from others count again at once; this instance's own answer would hide newer ones.
                (self.call_in_flight, self.own_answer) = (None, None);
            }
            outputs.push(ListsOutput::Poll(poll));
        }
    }

    /// A random position, used where few instances are known and for conflicting lists, which any instance may have received.
    fn random_position(&mut self) -> usize {
        self.random.random_range(0..self.fleet_size())
    }

    /// Whether this instance has a fresh answer in place of those that precede it, and none of them has a fresh list again.
    fn is_replacement_poller(&self, now: At) -> bool {
        let precedes = |origin: &SocketAddr| self.order[..self.position].contains(origin);
        let lists = self.links.values().filter_map(|link| link.list);
        let taken_over = lists.filter(|known| self.is_fresh(known, now)).any(|known| precedes(&known.origin));
        self.own_answer.is_some_and(|own_answer| self.is_fresh(&own_answer, now))
            && (!taken_over || self.needs_full_list)
    }

    /// Opens and closes links to the preferred parents.
    fn update_links(&mut self, now: At, outputs: &mut Vec<ListsOutput>) {
        let reachable =
            |one: &&SocketAddr| self.reconnect_backoff.get(*one).is_none_or(|(until, _)| now >= *until);
        let chosen: Vec<_> = self.parents.iter().filter(reachable).take(rank::PARENTS).copied().collect();
        let linked: Vec<_> =
            self.links.iter().filter_map(|(n, link)| Some((*n, link.to?, link.list))).collect();
        let is_linked =
            |one: &SocketAddr| linked.iter().any(|(_, to, _)| to == one) || self.opening.contains(one);
        let missing: Vec<_> = chosen.iter().filter(|one| !is_linked(one)).copied().collect();
        let mut room = rank::PARENTS.saturating_sub(linked.len() + self.opening.len());
        if room == 0 && !missing.is_empty() && now >= self.next_link_change && self.opening.is_empty() {
            // Allows one more for a while; a surplus link is closed once all of them have a fresh list.
            room = usize::from(linked.len() <= rank::PARENTS);
            self.next_link_change =
                now + MIN_LINK_CHANGE_INTERVAL.mul_f64(self.random.random_range(1.0..2.0));
        }
        for one in missing.into_iter().take(room) {
            self.opening.insert(one);
            outputs.push(ListsOutput::Open(one));
        }
        let fresh =
            linked.iter().filter(|(.., list)| list.is_some_and(|list| self.is_fresh(&list, now))).count();
        if linked.len() > rank::PARENTS && fresh == linked.len() {
            let surplus = linked.iter().find(|(_, to, _)| !chosen.contains(to)).or(linked.last());
            if let Some((number, ..)) = surplus {
                self.links.remove(number);
                outputs.push(ListsOutput::Close(*number));
            }
        }
    }
}

impl Link {
    /// The far side's list on this instance's clock; `None` if it does not echo a heartbeat of this link: then it is not known when the
    /// status was sent, nor by whom.
    fn known_list(&self, now: At, echo: u64, status: &ListStatus) -> Option<KnownList> {
        let (_, sent_at) = self.heartbeats.iter().find(|(number, _)| *number == echo)?;
        let earliest = sent_at.saturating_sub(status.max_age);
        let latest = now.saturating_sub(status.min_age).max(earliest);
        let ListStatus { version, resets, origin, hops, .. } = *status;
        Some(KnownList { version, resets, earliest, latest, origin, hops: hops.saturating_add(1) })
    }
}

fn entry_bytes((name, text): &Entry) -> usize {
    name.len() + text.as_ref().map_or(0, String::len)
}
