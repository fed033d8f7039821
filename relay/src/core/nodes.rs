//! Execute nodes: the list of them, the leave to send one a claim, and the waits they tell.
use compact_str::CompactString;
use prometheus::IntCounter;
use slatethread::{Condition, DestId, Endpoint, EndpointId, Event, KindId, ListScope, Report, ZoneId};
use std::borrow::Borrow;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::Notify;
use tokio::task::yield_now;

use super::{Carrier, Core, ListClock, State};
use crate::clock;
use crate::config::Rules;
use crate::disabled::Refused;
use crate::estate::ListedNode;
use crate::job::nanos;
use crate::journal::{Journal, Key, MayHaveRun};
use crate::list::{Lifecycle, NodeEntry, NodeList};

/// Longest name of a node, and of a zone together with it, that fits into a journal record.
const LONGEST_NODE_NAME: usize = 200;

/// For so long after its last node has gone, a destination is taken to get another.
const GONE_KEPT: Duration = Duration::from_secs(30);

/// Nodes that are let go before anything else gets its turn.
const LET_GO: usize = 250;

/// An execute node.
#[derive(Debug)]
pub struct Node {
    pub id: EndpointId,
    /// Short ones stand in the record itself.
    pub name: CompactString,
    pub address: SocketAddr,
    pub dest: u64,
    /// Of its zone and its kind.
    places: Cell<(u16, u16)>,
    /// Not a number where none is listed.
    weight: Cell<f64>,
    /// Its last start, as Unix time in milliseconds; 0 is long ago.
    started_ms: Cell<u64>,
    /// When it was last taken back by hand, likewise.
    back_ms: Cell<u64>,
    /// By the list neither draining nor gone.
    serving: Cell<bool>,
    /// It is out by hand.
    out: Cell<bool>,
    /// The last whole list that named it.
    seen: Cell<u32>,
}

/// Why a node is not out by hand, or not taken back.
#[derive(Debug)]
pub enum NotOut {
    /// Nobody has that name.
    Unknown,
    Unkept(Refused),
    /// Another process has the relay.
    Handed,
}

fn unix_ms(at: SystemTime) -> u64 {
    at.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// All execute nodes that are listed: each once, found by number and by name.
#[derive(Default)]
pub(super) struct Nodes {
    by_id: HashMap<EndpointId, Rc<Node>>,
    by_name: HashSet<Named>,
    /// How many nodes each destination has.
    dests: HashMap<u64, u32>,
    last_id: u32,
    lists: u32,
    /// Destinations whose nodes have gone, and when; looked through when there are twice as many as were left.
    gone: HashMap<u64, Instant>,
    gone_left: usize,
}

/// A node by its name, so that the name is kept once.
struct Named(Rc<Node>);

impl Borrow<str> for Named {
    fn borrow(&self) -> &str {
        &self.0.name
    }
}

impl Hash for Named {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.name.hash(state);
    }
}

impl PartialEq for Named {
    fn eq(&self, other: &Self) -> bool {
        self.0.name == other.0.name
    }
}

impl Eq for Named {}

impl Nodes {
    pub fn get(&self, id: EndpointId) -> Option<&Rc<Node>> {
        self.by_id.get(&id)
    }

    pub fn named(&self, name: &str) -> Option<&Rc<Node>> {
        self.by_name.get(name).map(|named| &named.0)
    }

    pub fn all(&self) -> impl Iterator<Item = &Rc<Node>> {
        self.by_id.values()
    }

    /// How many are listed, and how many of them are closed.
    pub fn count(&self) -> (usize, usize) {
        (self.by_id.len(), self.by_id.values().filter(|node| !node.is_open()).count())
    }

    /// Whether there is such a destination, or was one a moment ago.
    fn knows(&self, dest: u64) -> bool {
        self.by_id.is_empty()
            || self.dests.contains_key(&dest)
            || self.gone.get(&dest).is_some_and(|at| at.elapsed() < GONE_KEPT)
    }

    /// Takes in a node in place of one of its name.
    fn put(&mut self, node: Node) -> Rc<Node> {
        let node = Rc::new(node);
        *self.dests.entry(node.dest).or_default() += 1;
        self.by_id.insert(node.id, node.clone());
        self.by_name.insert(Named(node.clone()));
        node
    }

    /// The number of a whole list that is about to be taken in; never 0.
    fn next_list(&mut self) -> u32 {
        self.lists = self.lists.checked_add(1).unwrap_or(1);
        self.lists
    }

    fn remove(&mut self, node: &Node) {
        self.by_id.remove(&node.id);
        self.by_name.remove(&*node.name);
        let left = self.dests.get_mut(&node.dest).map_or(0, |count| {
            *count -= 1;
            *count
        });
        if left == 0 {
            self.dests.remove(&node.dest);
            self.gone.insert(node.dest, Instant::now());
        }
        // Guards against destinations that never come again being remembered for ever.
        look_through(&mut self.gone, &mut self.gone_left, |_, at| at.elapsed() < GONE_KEPT);
    }
}

/// Drops what is not to be kept, once there are twice as many entries as were left: its cost does not follow how many
/// there are.
fn look_through<K: Eq + Hash, V>(
    map: &mut HashMap<K, V>,
    left: &mut usize,
    mut keep: impl FnMut(&K, &V) -> bool,
) {
    if map.len() > 2 * *left + 64 {
        map.retain(|key, value| keep(key, value));
        *left = map.len();
    }
}

/// A claim as it is put down in the journal, right before its first byte.
pub(super) struct ClaimRecord {
    journal: Rc<RefCell<Journal>>,
    key: Key,
    node: String,
    zone: Option<String>,
    written: RefCell<Option<MayHaveRun>>,
}

impl ClaimRecord {
    /// False if it cannot be put down.
    fn write(&self) -> bool {
        let mut written = self.written.borrow_mut();
        if written.is_none() {
            let claim = MayHaveRun { sent: clock::now(), node: self.node.clone(), zone: self.zone.clone() };
            if let Err(error) = self.journal.borrow_mut().claim(self.key, claim.clone()) {
                tracing::debug!(key = self.key, %error, "journal cannot record a claim; it is not sent");
                return false;
            }
            *written = Some(claim);
        }
        true
    }
}

/// The leave to send one claim, asked for right before its first byte.
pub struct Ticket {
    node: Rc<Node>,
    /// End of the wait told by its destination.
    wait: Rc<Cell<Instant>>,
    /// For how long the list that it was decided by may be acted on.
    list: Rc<ListClock>,
    not_after: Option<Instant>,
    record: Option<ClaimRecord>,
    /// When its first byte was written, and how long ago the list had been confirmed then.
    begun: Cell<Option<(Instant, Option<Duration>)>>,
    sent: Cell<bool>,
    /// It was not sent by a fault of this machine.
    local_fault: Cell<bool>,
    delivered: Cell<bool>,
    /// What the answer tells of the node's limit, and a wait that it tells whatever became of the message.
    report: Cell<Report>,
    told: Cell<Option<Duration>>,
    tells: Notify,
    tries: IntCounter,
}

impl Ticket {
    /// Guards against claims that were decided on, waited for their connection, and would be sent to a
    /// node that drains by now or may by a list that is no longer confirmed, into a wait told by now, or past the memory of an earlier
    /// claim.
    pub fn may_begin(&self) -> bool {
        self.node.is_open() && self.list.allows(Instant::now()) && self.may_go_on()
    }

    /// Whether the rest of what has begun may be written. Guards against a last byte that a full socket holds back into
    /// a told wait or past the memory of an earlier claim; a claim counts from that byte. For drains its first counts.
    pub fn may_go_on(&self) -> bool {
        let now = Instant::now();
        now >= self.wait.get() && self.not_after.is_none_or(|end| now < end)
    }

    /// To be called right before the first byte, and nothing is to be sent without its leave: the journal has the claim
    /// from here on. Guards against a claim that waits for its connection counting as one that may have run, should the
    /// process end.
    pub fn begin(&self) -> bool {
        if !self.may_begin() {
            return false;
        }
        if !self.record.as_ref().is_none_or(ClaimRecord::write) {
            self.mark_local_fault();
            return false;
        }
        // Guards against a record that took so long that the leave to send is over.
        let begins = self.may_begin();
        if begins {
            let now = Instant::now();
            self.begun.set(Some((now, self.list.age(now))));
        }
        begins
    }

    /// When its first byte was written, and how long ago the list had been confirmed then.
    pub(super) fn begun(&self) -> Option<(Instant, Option<Duration>)> {
        self.begun.get()
    }

    /// The claim as the journal has it, if it has begun.
    pub(super) fn recorded(&self) -> Option<MayHaveRun> {
        self.record.as_ref().and_then(|record| record.written.borrow().clone())
    }

    /// Puts the claim down though it has not begun: who has the journal next is told by this process what became of it.
    pub(super) fn record_unsent(&self) {
        self.record.iter().for_each(|record| _ = record.write());
    }

    /// To be called once the last byte is on its way: from here on the claim may run.
    pub fn mark_sent(&self) {
        if !self.sent.replace(true) {
            self.tries.inc();
        }
    }

    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }

    /// To be called where a fault of this machine, not of the node, keeps it from being sent.
    pub fn mark_local_fault(&self) {
        self.local_fault.set(true);
    }

    pub fn met_local_fault(&self) -> bool {
        self.local_fault.get()
    }

    /// To be called once the node has said that the message is delivered, whatever it says after that.
    pub fn mark_delivered(&self) {
        self.delivered.set(true);
    }

    pub fn tell_report(&self, report: Report) {
        self.report.set(report);
    }

    /// To be called as soon as an answer's head tells of a wait, whatever follows it: others are not sent from then on.
    pub fn tell_wait(&self, wait: Duration) {
        self.told.set(Some(wait));
        self.tells.notify_one();
        self.wait.set(self.wait.get().max(Instant::now() + wait));
    }

    /// The wait that was told, once.
    pub(super) fn take_told_wait(&self) -> Option<Duration> {
        self.told.take()
    }

    /// Done when a wait has been told.
    pub(super) async fn wait_is_told(&self) {
        self.tells.notified().await;
    }

    pub(super) fn report(&self) -> Report {
        self.report.get()
    }

    pub fn is_delivered(&self) -> bool {
        self.delivered.get()
    }
}

impl<C: Carrier> Core<C> {
    /// Takes in news of the list of execute nodes, one list after the other. Its cost for the module follows what
    /// changed, not what is listed; a long list is taken in by parts, between which jobs go on. What closes nodes is
    /// taken in before what opens others.
    pub async fn take_list(&self, list: &NodeList) {
        let _turn = self.listing.lock().await;
        let number = if list.reset { self.state.borrow_mut().nodes.next_list() } else { 0 };
        let mut news = Vec::new();
        for part in 0..list.parts() {
            if part > 0 {
                yield_now().await;
            }
            news.push(self.close(&list.part(part), number));
        }
        if list.reset {
            let gone = self.not_seen(number);
            gone.iter().for_each(|node| node.serving.set(false));
            for part in gone.chunks(LET_GO) {
                self.change(|state| part.iter().map(|node| self.drop_node(state, node)).collect());
                yield_now().await;
            }
        }
        for part in (0..list.parts()).filter(|part| news[*part]) {
            if part > 0 {
                yield_now().await;
            }
            let entries = list.part(part);
            let rules = self.rules();
            self.change(|state| {
                let taken = entries.iter().flat_map(|entry| self.take_entry(state, &rules, entry, number));
                taken.collect()
            });
        }
        self.generation.set(Some(list.generation));
        // Even if nothing changed: the module hears that the list can be had.
        self.change(|_| Vec::new());
    }

    /// Nodes that a whole list did not name.
    fn not_seen(&self, list: u32) -> Vec<Rc<Node>> {
        let state = self.state.borrow();
        state.nodes.by_id.values().filter(|node| node.seen.get() != list).cloned().collect()
    }

    /// Changes what is listed, and tells the module what it is to hear of that.
    pub(super) fn change(&self, change: impl FnOnce(&mut State) -> Vec<Endpoint>) {
        let mut state = self.state.borrow_mut();
        let entries = change(&mut state);
        state.inbox.push(Event::List { scope: ListScope::Patch, entries });
        self.wake.notify_one();
    }

    /// Done once no list is being taken in.
    pub async fn lists_taken(&self) {
        drop(self.listing.lock().await);
    }

    /// Takes in what closes nodes, and marks those that are named as seen. True if there is more that is new.
    fn close(&self, entries: &[NodeEntry], list: u32) -> bool {
        let rules = self.rules();
        let mut news = false;
        let mut closing = Vec::new();
        for entry in entries {
            let state = self.state.borrow();
            let known = state.nodes.named(&entry.instance_id);
            if let Some(node) = known.filter(|_| list > 0 && entry.lifecycle != Lifecycle::Deleted) {
                node.seen.set(list);
            }
            // One that is closed is told again: whether draining or in a state unknown is not kept.
            if entry.lifecycle != Lifecycle::Serving {
                closing.push(entry);
            } else {
                news |= !known.is_some_and(|node| node.is(entry, &rules));
            }
        }
        if !closing.is_empty() {
            self.change(|state| {
                closing.iter().flat_map(|entry| self.take_entry(state, &rules, entry, list)).collect()
            });
        }
        news
    }

    /// Takes in an entry; gives what the module is to hear of it.
    fn take_entry(&self, state: &mut State, rules: &Rules, entry: &NodeEntry, list: u32) -> Vec<Endpoint> {
        let serving = entry.lifecycle == Lifecycle::Serving;
        if serving && state.nodes.named(&entry.instance_id).is_some_and(|node| node.is(entry, rules)) {
            return Vec::new();
        }
        if entry.instance_id.len() > LONGEST_NODE_NAME {
            // Journal records must stay within the room that is kept for them.
            tracing::warn!(address = &*entry.host_port, "a node's name is too long; left out");
            return Vec::new();
        }
        let known = state.nodes.named(&entry.instance_id).cloned();
        if entry.lifecycle == Lifecycle::Deleted {
            return known.iter().map(|node| self.drop_node(state, node)).collect();
        }
        let Ok(address) = entry.host_port.parse::<SocketAddr>() else {
            let (node, address) = (&*entry.instance_id, &*entry.host_port);
            tracing::warn!(node, address, "no address; left out");
            // What is listed without one is no longer where it was.
            return known.iter().map(|node| self.drop_node(state, node)).collect();
        };
        // One that has moved is another node: what was learned of it, and connections to it, say nothing.
        let stays = known.as_ref().filter(|node| node.address == address && node.dest == entry.cell);
        let stays = stays.map(|node| node.id);
        let id = stays.unwrap_or_else(|| {
            state.nodes.last_id += 1;
            EndpointId(state.nodes.last_id)
        });
        let node = Node {
            id,
            name: (&*entry.instance_id).into(),
            address,
            dest: entry.cell,
            places: Cell::new(places(entry, rules)),
            weight: Cell::new(entry.weight.unwrap_or(f64::NAN)),
            started_ms: Cell::new(entry.started_at_ms),
            back_ms: Cell::new(known.as_ref().map_or(0, |node| node.back_ms.get())),
            serving: Cell::new(serving),
            out: Cell::new(self.disabled.borrow().contains(&entry.instance_id)),
            seen: Cell::new(list),
        };
        let heard = self.endpoint(&node, node.condition());
        match (known, stays.is_some()) {
            (Some(old), true) => {
                // Claims that are decided on look at this very record: it is changed where it stands.
                old.serving.set(serving);
                old.places.set(node.places.get());
                old.weight.set(node.weight.get());
                old.started_ms.set(node.started_ms.get());
                vec![heard]
            }
            (Some(old), false) => {
                let left = self.drop_node(state, &old);
                state.nodes.put(node);
                vec![left, heard]
            }
            (None, _) => {
                state.nodes.put(node);
                vec![heard]
            }
        }
    }

    /// Lets a node go; gives what the module is to hear of it.
    fn drop_node(&self, state: &mut State, node: &Rc<Node>) -> Endpoint {
        node.serving.set(false);
        self.carrier.forget(node);
        state.nodes.remove(node);
        state.waits.remove(&(node.dest, Some(node.id)));
        self.endpoint(node, Condition::Removed)
    }

    /// Whether there is such a destination, or was one a moment ago. Guards against holding what nobody will ever
    /// serve; while nothing is listed at all, nobody can say.
    pub(super) fn knows(&self, dest: u64) -> bool {
        self.state.borrow().nodes.knows(dest)
    }

    /// A node as the module has it. Its start is put on the module's clock; one in the future is a start just now.
    pub(super) fn endpoint(&self, node: &Node, condition: Condition) -> Endpoint {
        let started_ms = node.started_ms.get().max(node.back_ms.get());
        let started = SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(started_ms));
        let ago = started.filter(|_| started_ms > 0);
        let ago = ago.map(|at| SystemTime::now().duration_since(at).unwrap_or_default());
        let now = self.module_time(Instant::now());
        Endpoint {
            id: node.id,
            dest: DestId(node.dest),
            zone: node.zone(),
            kind: node.kind(),
            condition,
            weight: node.weight(),
            started: ago.map_or(0, |ago| now.saturating_sub(nanos(ago))),
        }
    }

    /// Leaves a node out whatever the list says of it, or takes it back. To the module it drains meanwhile, and
    /// returns as one that has just started: operators restart what they take out.
    pub fn set_out(&self, name: &str, out: bool) -> Result<(), NotOut> {
        if self.is_handed() {
            return Err(NotOut::Handed);
        }
        let was = self.disabled.borrow().contains(name);
        let node = self.state.borrow().nodes.named(name).cloned();
        if !was && node.is_none() {
            return Err(NotOut::Unknown);
        }
        self.disabled.borrow_mut().set(name, out).map_err(NotOut::Unkept)?;
        if was != out {
            tracing::info!(node = name, out, "an execute node is out by hand, or back");
        }
        if let Some(node) = node.filter(|node| node.out.replace(out) != out) {
            if !out {
                node.back_ms.set(unix_ms(SystemTime::now()));
            }
            self.change(|_| vec![self.endpoint(&node, node.condition())]);
        }
        Ok(())
    }

    /// The list could not be had.
    pub fn list_broken(&self, how: ListScope) {
        self.list_call_failed(how);
        self.state.borrow_mut().inbox.push(Event::List { scope: how, entries: Vec::new() });
        self.wake.notify_one();
    }

    /// How long an answer of discovery is waited for that is no watch's renewal; `held` says whether it is to bring changes to a list.
    pub fn list_patience(&self, held: bool) -> Duration {
        Duration::from_nanos(self.state.borrow().courier.list_timeout(held))
    }

    /// The leave of a job's claim to be sent to a node, before that time if one is given.
    pub(super) fn ticket(&self, key: Key, node: &Rc<Node>, not_after: Option<Instant>) -> Rc<Ticket> {
        let record = ClaimRecord {
            journal: self.journal.clone(),
            key,
            node: node.name.to_string(),
            zone: self.rules().names.zones.get(node.zone().0).cloned(),
            written: RefCell::default(),
        };
        Rc::new(Ticket {
            node: node.clone(),
            wait: self.wait_of(node),
            list: self.list_clock.clone(),
            not_after,
            record: Some(record),
            begun: Cell::default(),
            sent: Cell::new(false),
            local_fault: Cell::new(false),
            delivered: Cell::new(false),
            report: Cell::default(),
            told: Cell::default(),
            tells: Notify::new(),
            tries: self.figures.tries(),
        })
    }

    /// Whether nodes of its kind are routes apart.
    pub(super) fn is_apart(&self, node: &Node) -> bool {
        self.rules().settings.kinds.get(node.kind().0).and_then(|k| k.separate_routes).unwrap_or(false)
    }

    /// A wait was told there: nothing goes out before its end, nor before that of one told earlier.
    pub(super) fn begin_wait(&self, node: &Node, left: Duration) {
        let until = self.wait_of(node);
        until.set(until.get().max(Instant::now() + left));
    }

    /// End of the wait told by a node's destination, or by the node where nodes are routes apart.
    pub(super) fn wait_of(&self, node: &Node) -> Rc<Cell<Instant>> {
        let unit = (node.dest, self.is_apart(node).then_some(node.id));
        let mut state = self.state.borrow_mut();
        let State { waits, waits_left, .. } = &mut *state;
        // Guards against a wait kept for each destination that was ever called: one that is over, and that no claim
        // looks at, is none.
        let now = Instant::now();
        look_through(waits, waits_left, |_, until| Rc::strong_count(until) > 1 || until.get() > now);
        waits.entry(unit).or_insert_with(|| Rc::new(Cell::new(self.start))).clone()
    }
}

impl Node {
    pub fn zone(&self) -> ZoneId {
        ZoneId(usize::from(self.places.get().0))
    }

    pub fn kind(&self) -> KindId {
        KindId(usize::from(self.places.get().1))
    }

    /// Whether anything new may go there.
    pub(super) fn is_open(&self) -> bool {
        self.serving.get() && !self.out.get()
    }

    pub(super) fn set_back(&self, at_ms: u64) {
        self.back_ms.set(at_ms);
    }

    /// As it is listed, without what is out by hand: that is kept beside the list.
    pub(super) fn listed(&self, rules: &Rules) -> ListedNode {
        let (zone, kind) = self.places.get();
        let name = |names: &[String], place: u16| names.get(usize::from(place)).cloned().unwrap_or_default();
        ListedNode {
            name: self.name.to_string(),
            address: self.address.to_string(),
            zone: name(&rules.names.zones, zone),
            kind: name(&rules.names.kinds, kind),
            dest: self.dest,
            serving: self.serving.get(),
            weight: self.weight(),
            started_ms: self.started_ms.get(),
            back_ms: self.back_ms.get(),
        }
    }

    pub(super) fn condition(&self) -> Condition {
        if self.is_open() { Condition::Active } else { Condition::Draining }
    }

    fn weight(&self) -> Option<f64> {
        Some(self.weight.get()).filter(|weight| !weight.is_nan())
    }

    /// Whether an entry says nothing new of it.
    fn is(&self, entry: &NodeEntry, rules: &Rules) -> bool {
        self.serving.get() == (entry.lifecycle == Lifecycle::Serving)
            && self.dest == entry.cell
            && self.weight() == entry.weight
            && self.started_ms.get() == entry.started_at_ms
            && self.places.get() == places(entry, rules)
            && entry.host_port.parse() == Ok(self.address)
    }
}

/// The places of an entry's zone and kind; one that the settings do not name is none of theirs.
fn places(entry: &NodeEntry, rules: &Rules) -> (u16, u16) {
    let place = |names: &[String], name: &str| {
        let place = names.iter().position(|n| n == name).unwrap_or(names.len());
        u16::try_from(place).unwrap_or(u16::MAX)
    };
    (place(&rules.names.zones, &entry.zone), place(&rules.names.kinds, &entry.machine_type))
}

#[cfg(test)]
pub(crate) mod tests;
