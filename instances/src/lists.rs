//! Lists between instances: who asks the list service, from whom all others have its word, and how old that word is.
//!
//! Few ask, the first by [`rank`]; each instance holds links to two that come before it and hears the word there. What is said
//! carries the span of time in which the list service said it, on the hearer's own clock: a word replaces another if the service
//! surely said it later, or may have and it has the higher generation. So no older list replaces a newer one, and a generation that
//! falls is taken up as soon as it is surely the later word. Where nobody's word is fresh, instances ask in turn, few at a time.
//!
//! A state machine: [`Lists::handle`] takes the time and what happened, and gives what is to be done.
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

/// Each side of a link says so often what it holds.
const BEAT: Duration = Duration::from_millis(400);
/// A link on which nothing came for so long is given up: its far side hangs or is cut off.
const SILENT: Duration = Duration::from_secs(2);
/// Beats that may be echoed yet.
const ECHOED: usize = 16;
/// Bytes of entries in one part.
const PART: usize = 256 * 1024;
/// Seeds are counted as there for so long after the start: they start together with all others.
const SEEDS_ASSUMED: Duration = Duration::from_secs(2);
/// An instance that is not among the first waits so long for others' word before its turn begins: the first have had an answer by
/// then, and one that is alone still serves within its first second.
const GRACE: Duration = Duration::from_millis(500);
/// See [`rank::poll_delay`].
const PERIOD: Duration = Duration::from_secs(1);
/// A link that could not be had, or broke, is tried again after a pause that doubles between these.
const TRY_AGAIN: Duration = Duration::from_millis(300);
const TRY_AGAIN_MOST: Duration = Duration::from_secs(10);
/// One of the first asks again so soon after a call that failed: its pause doubles between these.
const ASK_AGAIN: Duration = Duration::from_millis(250);
const ASK_AGAIN_MOST: Duration = Duration::from_secs(1);
/// Others are linked to in place of those that still do no sooner than this, and by lot up to twice that: views that are still
/// filling make everybody's choice another every moment.
const CHOOSE_AGAIN: Duration = Duration::from_secs(5);
/// Two that pass on different lists for so long do not merely lag: the service is asked which is its own.
const ODD: Duration = Duration::from_secs(2);
/// A list that the service itself does not know of is not heeded for so long, whoever passes it on; and so many such lists.
const FALSE: Duration = Duration::from_secs(60);
const MOST_FALSE: usize = 64;
/// What is wanted is asked for again after so long.
const WANT_AGAIN: Duration = Duration::from_secs(1);

/// What is told beforehand.
#[derive(Clone, Debug)]
pub struct ListsConfig {
    /// This instance's address.
    pub me: SocketAddr,
    /// As for [`crate::SwimConfig`].
    pub seeds: Vec<SocketAddr>,
    /// About how many instances there are.
    pub expected: u32,
    /// The list is to be no older than this. Half of it is let pass before others than the first ask.
    pub must_ask_in: Duration,
    /// Longest list that is taken, in bytes of its entries.
    pub max_bytes: usize,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum ListsInput {
    /// Who is there, without this instance.
    Members(Vec<SocketAddr>),
    /// A link stands, to whom this instance wanted one or from somebody.
    Opened {
        /// Its number.
        link: u64,
        /// Where to, where this instance wanted it.
        to: Option<SocketAddr>,
    },
    /// A link could not be had.
    OpenFailed(SocketAddr),
    /// A link has ended.
    Closed(u64),
    /// Something was said on a link.
    Received(u64, LinkMessage),
    /// The list service is being called.
    CallStarted,
    /// It answered.
    CallAnswered {
        /// When the call began.
        began: At,
        /// As it counts.
        generation: u64,
        /// These are all that there are, not only what changed.
        whole: bool,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// It did not, or its answer broke off; then what it had to tell is had at once.
    CallFailed {
        /// The answer broke off.
        torn: bool,
    },
    /// It is time: see [`Lists::due`].
    TimerDue,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListsOutput {
    /// A link is to be had.
    Open(SocketAddr),
    /// A link is to be ended.
    Close(u64),
    /// A word is to be sent on a link.
    Send(u64, LinkMessage),
    /// Whether the list service is to be called, from now on.
    Poll(bool),
    /// The list that is held is another: see [`Lists::changes_since`].
    ListChanged,
}

/// A list and when the list service said that it is the one: at or after `from`, and at or before `to`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownList {
    /// Which list.
    pub version: ListVersion,
    /// How often the service had lost its memory by then, as far as that was seen.
    pub resets: u64,
    /// See above.
    pub earliest: At,
    /// See above.
    pub latest: At,
    /// Who asked the service.
    pub origin: SocketAddr,
    /// Over how many others its word came.
    pub hops: u8,
}

impl KnownList {
    /// Whether it is the service's later word: surely, or it may be and comes later as the service counts.
    fn supersedes(&self, other: &KnownList) -> bool {
        if self.earliest >= other.latest {
            return self.version != other.version;
        }
        let counted = |known: &KnownList| (known.resets, known.version);
        self.version != other.version && self.latest > other.earliest && counted(self) > counted(other)
    }

    fn confirm(&mut self, by: &KnownList) {
        self.resets = self.resets.max(by.resets);
        if by.earliest > self.earliest {
            (self.earliest, self.origin, self.hops) = (by.earliest, by.origin, by.hops);
        }
        self.latest = self.latest.max(by.latest);
    }

    fn told(&self, now: At) -> ListStatus {
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

/// A link that stands.
struct Link {
    /// Whom this instance wanted to hear.
    to: Option<SocketAddr>,
    heard: At,
    /// Numbers said and when, the last ones.
    beats: VecDeque<(u64, At)>,
    /// The last number heard; 0 is none.
    echo: u64,
    /// What the far side holds, with the time of that.
    told: Option<KnownList>,
    /// Which list it holds, as it says.
    holds: Option<ListVersion>,
    /// The list that was last sent there.
    sent: Option<ListVersion>,
    /// When the list was last asked for there.
    wanted: Option<At>,
    /// Parts of what is being said there.
    coming: Vec<Entry>,
    coming_bytes: usize,
}

/// Lists of one instance.
pub struct Lists {
    config: ListsConfig,
    begun: At,
    random: StdRng,
    members: Vec<SocketAddr>,
    /// All that are known, this one among them, in their order, and its place.
    order: Vec<SocketAddr>,
    place: usize,
    /// See [`rank::parents`].
    parents: Vec<SocketAddr>,
    assumed: bool,
    catalog: Catalog,
    held: Option<KnownList>,
    /// The service's last word to this instance itself.
    direct: Option<KnownList>,
    /// That word does not fit what is held: all of the list is to be asked for.
    doubt: bool,
    /// The call that is out: the list that it asks from, if not for all.
    asking: Option<Option<ListVersion>>,
    failures: u32,
    not_before: At,
    /// When this instance asks in place of those who do not have the service's word.
    ask_at: Option<At>,
    turn: bool,
    links: BTreeMap<u64, Link>,
    opening: BTreeSet<SocketAddr>,
    /// Who could not be had: until when, and the pause.
    away: HashMap<SocketAddr, (At, Duration)>,
    /// Lists that others went on passing on and the service did not know of, and until when they are not heeded.
    false_ones: HashMap<ListVersion, At>,
    /// What different ones say, and since when.
    odd: Option<(BTreeSet<ListVersion>, At)>,
    choose_at: At,
    beat_at: At,
}

impl Lists {
    /// An instance that has just started and holds nothing.
    pub fn new(config: ListsConfig, seed: u64, now: At) -> Self {
        let mut lists = Lists {
            begun: now,
            random: StdRng::seed_from_u64(seed),
            members: Vec::new(),
            order: Vec::new(),
            place: 0,
            parents: Vec::new(),
            assumed: true,
            catalog: Catalog::default(),
            held: None,
            direct: None,
            doubt: false,
            asking: None,
            failures: 0,
            not_before: now,
            ask_at: None,
            turn: false,
            links: BTreeMap::new(),
            opening: BTreeSet::new(),
            away: HashMap::new(),
            false_ones: HashMap::new(),
            odd: None,
            choose_at: now,
            beat_at: now,
            config,
        };
        lists.put_in_order();
        lists
    }

    /// When it is to hear of the time next.
    pub fn due(&self) -> At {
        self.beat_at
    }

    /// What is held.
    pub fn current(&self) -> Option<KnownList> {
        self.held
    }

    /// What who holds such a list has not.
    pub fn changes_since(&self, held: Option<ListVersion>) -> Difference {
        self.catalog.changes_since(held)
    }

    /// The generation from which the list service is to be asked on; none where all of the list is.
    pub fn watch_index(&self) -> Option<u64> {
        self.held.filter(|_| !self.doubt).map(|held| held.version.generation)
    }

    /// Links that stand, those that this instance wanted and those that others did.
    pub fn links(&self) -> (usize, usize) {
        let mine = self.links.values().filter(|link| link.to.is_some()).count();
        (mine, self.links.len() - mine)
    }

    /// Takes what happened at a time of this machine's monotonic clock.
    pub fn handle(&mut self, now: At, heard: ListsInput) -> Vec<ListsOutput> {
        let mut todo = Vec::new();
        match heard {
            ListsInput::Members(members) => {
                self.members = members;
                self.put_in_order();
            }
            ListsInput::Opened { link, to } => self.opened(now, link, to, &mut todo),
            ListsInput::OpenFailed(to) => {
                self.opening.remove(&to);
                self.put_away(now, to);
            }
            ListsInput::Closed(link) => self.closed(now, link),
            ListsInput::Received(link, word) => self.said(now, link, word, &mut todo),
            ListsInput::CallStarted => {
                self.asking = Some(self.held.filter(|_| !self.doubt).map(|held| held.version))
            }
            ListsInput::CallAnswered { began, generation, whole, entries } => {
                self.answered(now, began, (generation, whole, entries), &mut todo);
            }
            ListsInput::CallFailed { torn } => self.failed(now, torn),
            ListsInput::TimerDue => self.beat(now, &mut todo),
        }
        if self.assumed && now >= self.begun + SEEDS_ASSUMED {
            self.assumed = false;
            self.put_in_order();
        }
        self.take(now, &mut todo);
        self.take_turn(now, &mut todo);
        self.choose(now, &mut todo);
        todo
    }

    fn put_in_order(&mut self) {
        let assumed = if self.assumed { &self.config.seeds[..] } else { &[] };
        let known = self.members.iter().chain(assumed).copied().chain([self.config.me]);
        self.order = rank::order(known, &self.config.seeds);
        self.place = self.order.iter().position(|one| *one == self.config.me).expect("among them");
        self.parents = rank::parents(&self.order, self.place);
        self.away.retain(|who, _| self.order.contains(who));
    }

    /// Half of the time in which the list is to be asked for: longer than the first take to hear it anew and all others
    /// over three links, and time enough to take their place.
    fn stale(&self) -> Duration {
        self.config.must_ask_in / 2
    }

    fn is_fresh(&self, known: &KnownList, now: At) -> bool {
        now < known.earliest + self.stale()
    }

    fn is_false(&self, known: &KnownList, now: At) -> bool {
        self.false_ones.get(&known.version).is_some_and(|until| now < *until)
    }

    /// Whose word counts: the service's own to this instance; else that of those it chose to hear, who come before it, as long as one of
    /// the first has the word; else, since then it may come from anywhere, that of all; where none of it is fresh, all of that too.
    fn heeded(&self, now: At) -> Vec<(Option<u64>, KnownList)> {
        if let Some(direct) = self.direct.filter(|direct| self.is_fresh(direct, now)) {
            return vec![(None, direct)];
        }
        let told = |fits: &dyn Fn(&Link, &KnownList) -> bool| -> Vec<_> {
            let told = self.links.iter().filter_map(|(number, link)| Some((Some(*number), link, link.told?)));
            let told = told.filter(|(.., known)| !self.is_false(known, now));
            told.filter(|(_, link, known)| fits(link, known))
                .map(|(number, _, known)| (number, known))
                .collect()
        };
        let before = |one: SocketAddr| self.order[..self.place].contains(&one);
        let chosen = told(&|link, known| link.to.is_some_and(before) && self.is_fresh(known, now));
        let first = &self.order[..self.order.len().min(rank::POLLERS)];
        if chosen.iter().any(|(_, known)| first.contains(&known.origin)) {
            return chosen;
        }
        let fresh = told(&|_, known| self.is_fresh(known, now));
        if fresh.is_empty() { told(&|_, _| true) } else { fresh }
    }

    /// Takes up what counts: what is held is confirmed, and what supersedes it is asked for, of one who has it.
    fn take(&mut self, now: At, todo: &mut Vec<ListsOutput>) {
        let heeded = self.heeded(now);
        if let Some(held) = &mut self.held {
            let version = held.version;
            heeded.iter().filter(|(_, known)| known.version == version).for_each(|(_, k)| held.confirm(k));
        }
        self.look_for_odd(now, &heeded);
        let held = self.held;
        let better = heeded.iter().filter(|(_, known)| held.is_none_or(|held| known.supersedes(&held)));
        let better: Vec<_> = better.filter_map(|(link, known)| Some(((*link)?, *known))).collect();
        let at = |number: &u64| self.links.get(number).and_then(|link| link.wanted);
        if better.iter().any(|(number, _)| at(number).is_some_and(|at| now < at + WANT_AGAIN)) {
            return;
        }
        // Of those that have the best, the one that was not asked before, or longest ago.
        let best = better.iter().filter(|(_, one)| !better.iter().any(|(_, other)| other.supersedes(one)));
        let best = best.map(|(number, _)| *number).min_by_key(at);
        if let Some((number, link)) = best.and_then(|number| Some((number, self.links.get_mut(&number)?))) {
            link.wanted = Some(now);
            todo.push(ListsOutput::Send(number, LinkMessage::ListRequest(held.map(|held| held.version))));
        }
    }

    /// Whether those who are heard pass on different lists, and go on doing so. Who hears the service itself keeps to what it
    /// found before.
    fn look_for_odd(&mut self, now: At, heeded: &[(Option<u64>, KnownList)]) {
        if heeded.first().is_some_and(|(link, _)| link.is_none()) {
            return;
        }
        let fresh = heeded.iter().filter(|(_, known)| self.is_fresh(known, now));
        let said: BTreeSet<_> = fresh.map(|(_, known)| known.version).collect();
        match &mut self.odd {
            _ if said.len() < 2 => self.odd = None,
            // It may be another one each time.
            Some((before, _)) => {
                before.extend(said.into_iter().take(MOST_FALSE.saturating_sub(before.len())))
            }
            None => self.odd = Some((said, now)),
        }
    }

    fn opened(&mut self, now: At, number: u64, to: Option<SocketAddr>, todo: &mut Vec<ListsOutput>) {
        if let Some(to) = to {
            self.opening.remove(&to);
        }
        let link = Link {
            to,
            heard: now,
            beats: VecDeque::new(),
            echo: 0,
            told: None,
            holds: None,
            sent: None,
            wanted: None,
            coming: Vec::new(),
            coming_bytes: 0,
        };
        self.links.insert(number, link);
        if to.is_some() {
            todo.push(ListsOutput::Send(number, LinkMessage::Subscribe));
            self.beat_on(now, number, todo);
        }
    }

    fn closed(&mut self, now: At, number: u64) {
        if let Some(to) = self.links.remove(&number).and_then(|link| link.to) {
            self.put_away(now, to);
        }
    }

    /// Ends a link as one that cannot be had.
    fn end(&mut self, now: At, number: u64, todo: &mut Vec<ListsOutput>) {
        self.closed(now, number);
        todo.push(ListsOutput::Close(number));
    }

    fn put_away(&mut self, now: At, who: SocketAddr) {
        let pause = self.away.get(&who).map_or(TRY_AGAIN, |(_, pause)| (*pause * 2).min(TRY_AGAIN_MOST));
        let until = now + pause.mul_f64(self.random.random_range(0.5..1.5));
        self.away.insert(who, (until, pause));
    }

    fn beat(&mut self, now: At, todo: &mut Vec<ListsOutput>) {
        if now < self.beat_at {
            return;
        }
        self.beat_at = now + BEAT;
        let silent: Vec<_> = self
            .links
            .iter()
            .filter(|(_, link)| now >= link.heard + SILENT)
            .map(|(number, _)| *number)
            .collect();
        for number in silent {
            self.end(now, number, todo);
        }
        for number in self.links.keys().copied().collect::<Vec<_>>() {
            self.beat_on(now, number, todo);
        }
    }

    fn beat_on(&mut self, now: At, number: u64, todo: &mut Vec<ListsOutput>) {
        let told = self.held.map(|held| held.told(now));
        let Some(link) = self.links.get_mut(&number) else { return };
        // The first is a lot, so that nothing that was said on another link echoes one of this.
        let next =
            link.beats.back().map_or_else(|| self.random.random::<u64>() / 2 + 1, |(last, _)| last + 1);
        link.beats.push_back((next, now));
        if link.beats.len() > ECHOED {
            link.beats.pop_front();
        }
        todo.push(ListsOutput::Send(
            number,
            LinkMessage::Heartbeat(Heartbeat { sequence: next, echo: link.echo, status: told }),
        ));
    }

    fn said(&mut self, now: At, number: u64, word: LinkMessage, todo: &mut Vec<ListsOutput>) {
        let Some(link) = self.links.get_mut(&number) else { return };
        link.heard = now;
        match word {
            LinkMessage::Heartbeat(beat) => {
                let first = std::mem::replace(&mut link.echo, beat.sequence) == 0;
                link.holds = beat.status.map(|told| told.version);
                link.told = beat.status.and_then(|told| link.known(now, beat.echo, &told));
                if let (Some(to), Some(_)) = (link.to, link.told) {
                    self.away.remove(&to);
                }
                let answer = first && link.beats.is_empty();
                self.pass_on(now, number, todo);
                if answer {
                    self.beat_on(now, number, todo);
                }
            }
            LinkMessage::ListRequest(base) => self.send(now, number, base, todo),
            LinkMessage::ListUpdate(news) => self.news(now, number, news, todo),
            // A link has been followed already, and whole views are asked for on links of their own.
            LinkMessage::Subscribe | LinkMessage::ViewRequest | LinkMessage::View(_) => {
                self.end(now, number, todo)
            }
        }
    }

    /// Sends what is held to who is known not to have it, if it was not sent there already: changes, or all to who holds
    /// nothing. Anybody else is told of it and asks. False if nothing was sent though there is something.
    fn pass_on(&mut self, now: At, number: u64, todo: &mut Vec<ListsOutput>) -> bool {
        let (Some(held), Some(link)) = (self.held, self.links.get(&number)) else { return true };
        let version = held.version;
        if link.echo == 0 || link.holds == Some(version) || link.sent == Some(version) {
            return true;
        }
        let base = link.holds.or(link.sent);
        let sends = base.is_none_or(|base| self.catalog.has_changes_since(base));
        if sends {
            self.send(now, number, base, todo);
        }
        sends
    }

    fn send(&mut self, now: At, number: u64, base: Option<ListVersion>, todo: &mut Vec<ListsOutput>) {
        let (Some(held), Some(link)) = (self.held, self.links.get_mut(&number)) else { return };
        link.sent = Some(held.version);
        let (echo, told) = (link.echo, held.told(now));
        let difference = self.catalog.changes_since(base);
        let mut parts = vec![Vec::new()];
        let mut bytes = 0;
        for entry in difference.entries {
            bytes += size(&entry);
            if bytes > PART && !parts.last().is_some_and(Vec::is_empty) {
                parts.push(Vec::new());
                bytes = size(&entry);
            }
            parts.last_mut().expect("one").push(entry);
        }
        let count = parts.len();
        for (n, entries) in parts.into_iter().enumerate() {
            let news =
                ListUpdate { echo, status: told, base: difference.base, entries, last: n + 1 == count };
            todo.push(ListsOutput::Send(number, LinkMessage::ListUpdate(news)));
        }
    }

    fn news(&mut self, now: At, number: u64, news: ListUpdate, todo: &mut Vec<ListsOutput>) {
        let Some(link) = self.links.get_mut(&number) else { return };
        link.coming_bytes += news.entries.iter().map(size).sum::<usize>();
        if link.coming_bytes > self.config.max_bytes {
            return self.end(now, number, todo);
        }
        link.coming.extend(news.entries);
        if !news.last {
            return;
        }
        (link.coming_bytes, link.holds) = (0, Some(news.status.version));
        let entries = std::mem::take(&mut link.coming);
        let Some(known) = link.known(now, news.echo, &news.status) else { return };
        link.told = Some(known);
        let counts = self.heeded(now).iter().any(|(from, _)| *from == Some(number));
        if !counts || self.held.is_some_and(|held| !known.supersedes(&held)) {
            return;
        }
        let whole = news.base.is_none();
        let difference = Difference { base: news.base, version: known.version, entries };
        match self.catalog.apply(&difference) {
            Some(catalog) => {
                (self.catalog, self.held) = (catalog, Some(known));
                self.spread(now, todo);
            }
            // It was from another list than is held by now; a whole one that is not what it says is none.
            None if whole => self.end(now, number, todo),
            None => todo.push(ListsOutput::Send(number, LinkMessage::ListRequest(None))),
        }
    }

    /// What is held is another list: all who may not have it hear of it at once.
    fn spread(&mut self, now: At, todo: &mut Vec<ListsOutput>) {
        todo.push(ListsOutput::ListChanged);
        for number in self.links.keys().copied().collect::<Vec<_>>() {
            if !self.pass_on(now, number, todo) {
                self.beat_on(now, number, todo);
            }
        }
    }

    /// How often the service had lost its memory when it told such a generation, to a call that began at a time. What others
    /// saw counts only if the answer surely came after it: one that was long on its way may be from before the loss.
    fn memory(&self, began: At, generation: u64) -> u64 {
        let told = self.links.values().filter_map(|link| link.told);
        match self.held {
            Some(held) if generation >= held.version.generation => held.resets,
            // A loss that others saw before is not counted again.
            Some(held) => told.map(|told| told.resets).fold(held.resets.saturating_add(1), u64::max),
            None => {
                let before = told.filter(|told| began >= told.latest);
                let lost = |told: &KnownList| u64::from(generation < told.version.generation);
                before.map(|told| told.resets.saturating_add(lost(&told))).max().unwrap_or(0)
            }
        }
    }

    fn answered(&mut self, now: At, began: At, said: (u64, bool, Vec<Entry>), todo: &mut Vec<ListsOutput>) {
        let (generation, whole, entries) = said;
        let base = self.asking.replace(self.held.map(|held| held.version)).flatten();
        (self.failures, self.not_before, self.ask_at) = (0, now, None);
        if !whole && base != Some(self.catalog.version()) {
            // Others' word came meanwhile, and the next call asks on from that.
            return;
        }
        let fell = !whole && generation < self.catalog.version().generation;
        let catalog = self.catalog.updated(generation, whole, entries);
        let origin = self.config.me;
        let resets = self.memory(began, generation);
        let known =
            KnownList { version: catalog.version(), resets, earliest: began, latest: now, origin, hops: 0 };
        self.direct = Some(known);
        match &mut self.held {
            // It lost its memory: what changed since says nothing of what is left.
            _ if fell => self.doubt = true,
            Some(held) if held.version == known.version => {
                held.confirm(&known);
                self.doubt = false;
            }
            Some(held) if !known.supersedes(held) => self.doubt = true,
            _ => {
                (self.catalog, self.held, self.doubt) = (catalog, Some(known), false);
                self.spread(now, todo);
            }
        }
        if !self.doubt
            && let Some((said, _)) = self.odd.take()
        {
            self.deny(now, generation, said);
        }
    }

    /// Of the lists that others went on passing on, those that come after what the service says now were never told by it.
    fn deny(&mut self, now: At, generation: u64, said: BTreeSet<ListVersion>) {
        self.false_ones.retain(|_, until| now < *until);
        let room = MOST_FALSE - self.false_ones.len().min(MOST_FALSE);
        let false_ones = said.into_iter().filter(|version| version.generation > generation).take(room);
        self.false_ones.extend(false_ones.map(|version| (version, now + FALSE)));
    }

    fn failed(&mut self, now: At, torn: bool) {
        // Others may have its word yet.
        (self.asking, self.direct) = (None, None);
        self.failures += 1;
        let pause = (ASK_AGAIN * (1 << self.failures.min(5)) / 2).min(ASK_AGAIN_MOST);
        // What broke off may have told of a drain.
        self.not_before = if torn { now } else { now + pause.mul_f64(self.random.random_range(0.5..1.5)) };
        // Whose turn it was has it again after all others.
        if self.ask_at.is_some() {
            let round = PERIOD * (rank::poll_delay(self.size()) + 1);
            self.ask_at = Some(now + round.mul_f64(self.random.random_range(0.5..1.5)));
        }
    }

    /// How many instances there are, as far as this one knows.
    fn size(&self) -> usize {
        self.order.len().max(self.config.expected as usize)
    }

    /// Whether this instance's place says something: it is a seed, which all know, or it knows most of all.
    fn is_placed(&self) -> bool {
        self.config.seeds.contains(&self.config.me) || 2 * self.order.len() >= self.config.expected as usize
    }

    fn take_turn(&mut self, now: At, todo: &mut Vec<ListsOutput>) {
        let due = match self.held {
            None => self.begun + GRACE,
            Some(held) => (held.earliest + self.stale()).max(self.begun + GRACE),
        };
        let odd = self.odd.as_ref().is_some_and(|(_, since)| now >= *since + ODD);
        let first = self.place < rank::POLLERS && self.is_placed();
        let wanted = if first || self.stands_in(now) {
            true
        } else if now >= due || odd {
            let at = match self.ask_at {
                Some(at) => at,
                None => {
                    let place = if self.is_placed() && !odd { self.place } else { self.lot() };
                    now.max(due) + PERIOD * rank::poll_delay(place)
                }
            };
            self.ask_at = Some(at);
            now >= at
        } else {
            self.ask_at = None;
            false
        };
        // A call for the whole list that the service may have begun on is not thrown away.
        let whole_is_out = self.asking == Some(None);
        let turn = whole_is_out || (wanted && (self.asking.is_some() || now >= self.not_before));
        if turn != self.turn {
            self.turn = turn;
            if !turn {
                // Others' word counts again at once: this instance's own would hide what is news meanwhile.
                (self.asking, self.direct) = (None, None);
            }
            todo.push(ListsOutput::Poll(turn));
        }
    }

    /// A place by lot: one's own says nothing where few are known, and nothing of who hears different lists.
    fn lot(&mut self) -> usize {
        self.random.random_range(0..self.size())
    }

    /// Whether this instance has the service's word in place of those that come before it, and none of them has it again.
    fn stands_in(&self, now: At) -> bool {
        let before = |origin: &SocketAddr| self.order[..self.place].contains(origin);
        let told = self.links.values().filter_map(|link| link.told);
        let again = told.filter(|known| self.is_fresh(known, now)).any(|known| before(&known.origin));
        self.direct.is_some_and(|direct| self.is_fresh(&direct, now)) && (!again || self.doubt)
    }

    /// Links to whom this instance is to hear.
    fn choose(&mut self, now: At, todo: &mut Vec<ListsOutput>) {
        let may = |one: &&SocketAddr| self.away.get(*one).is_none_or(|(until, _)| now >= *until);
        let chosen: Vec<_> = self.parents.iter().filter(may).take(rank::PARENTS).copied().collect();
        let linked: Vec<_> =
            self.links.iter().filter_map(|(n, link)| Some((*n, link.to?, link.told))).collect();
        let has = |one: &SocketAddr| linked.iter().any(|(_, to, _)| to == one) || self.opening.contains(one);
        let absent: Vec<_> = chosen.iter().filter(|one| !has(one)).copied().collect();
        let mut room = rank::PARENTS.saturating_sub(linked.len() + self.opening.len());
        if room == 0 && !absent.is_empty() && now >= self.choose_at && self.opening.is_empty() {
            // One more for a while; what is left over goes once the new one has spoken.
            room = usize::from(linked.len() <= rank::PARENTS);
            self.choose_at = now + CHOOSE_AGAIN.mul_f64(self.random.random_range(1.0..2.0));
        }
        for one in absent.into_iter().take(room) {
            self.opening.insert(one);
            todo.push(ListsOutput::Open(one));
        }
        let spoken =
            linked.iter().filter(|(.., told)| told.is_some_and(|told| self.is_fresh(&told, now))).count();
        if linked.len() > rank::PARENTS && spoken == linked.len() {
            let left = linked.iter().find(|(_, to, _)| !chosen.contains(to)).or(linked.last());
            if let Some((number, ..)) = left {
                self.links.remove(number);
                todo.push(ListsOutput::Close(*number));
            }
        }
    }
}

impl Link {
    /// What the far side says, on this instance's clock; none where it echoes nothing that was said here: then it is not known
    /// when it was said, nor by whom.
    fn known(&self, now: At, echo: u64, told: &ListStatus) -> Option<KnownList> {
        let (_, said) = self.beats.iter().find(|(number, _)| *number == echo)?;
        let earliest = said.saturating_sub(told.max_age);
        let latest = now.saturating_sub(told.min_age).max(earliest);
        let ListStatus { version, resets, origin, hops, .. } = *told;
        Some(KnownList { version, resets, earliest, latest, origin, hops: hops.saturating_add(1) })
    }
}

fn size((name, text): &Entry) -> usize {
    name.len() + text.as_ref().map_or(0, String::len)
}
