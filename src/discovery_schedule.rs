//! When discovery is asked for the list of endpoints, how long an answer is waited for, and what is done for
//! want of a list.
//!
//! Owns the pauses between calls to discovery. It knows no list and sends nothing. Discovery is one service
//! for all couriers and answers one call after another; a call that has waited too long there is thrown away,
//! though not its cost. A fleet that asks together, or again at once, is answered by nobody. Nobody knows how
//! fast it is, so each courier has a turn: a span in which, by its reckoning, all couriers can be answered
//! once. It asks at a random moment of its turn; what failed or waited long widens the turn, answers and a
//! time without failure make it what it was.
//!
//! A courier that holds a list acts on it under a lease ([`crate::ListLease`]). Where a watch that went well
//! breaks, it asks within what is left of that; after a call that failed it keeps to its turn, since asking
//! sooner is what keeps all others from being answered. A courier without a list sends nothing, and keeps to
//! its turn from the start.
use crate::choice::Dispatcher;
use crate::interface::{Action, ListScope, Nanos, Settings};
use crate::state::{Message, Random, SECOND, nanos, secs};

/// The timer that ends a pause.
pub const ASK_NONCE: u64 = 2;
/// Least width of a turn: a single courier asks again this soon.
const LEAST_TURN: Nanos = SECOND / 20;
/// After a call of its own that failed, a courier with a list asks again no sooner than about this.
const LEAST_AGAIN: Nanos = SECOND / 4;
/// Turn for each courier of the tier that holds a list, in seconds: it asks for changes, which is the cheaper
/// call.
const TURN_LISTED: f64 = 0.01;
/// The same for couriers without a list: a fifth is left over, so that what lots bring together is worked
/// off.
const TURN_UNLISTED: f64 = 0.1;
/// Without a wait a turn of couriers with a list is doubled up to so many times the first: discovery may turn
/// away at the door, or be down, and then all are to ask soon after its return.
const AT_DOOR: f64 = 8.0;
/// A refused connection widens a turn so many times, up to the same bound: nobody is there.
const REFUSED: Nanos = 4;
/// Turns grow with what was waited up to so many seconds for each courier: a discovery that takes that long
/// for a call is still worked off.
const WIDEST_TURN: f64 = 1.6;
/// The same for couriers with a list, whose calls are the cheaper ones: a few of them never wait that long
/// for one another.
const WIDEST_TURN_LISTED: f64 = 0.4;
/// Who is turned away sooner met no queue, or one that turns away at the door: its wait tells nothing of
/// discovery's speed.
const QUEUED: Nanos = SECOND;
/// Who waited for so long in vain had as much before it, and that was only a part of what all asked.
const WAITED: Nanos = 3;
/// An answer with the first list may take so long: what discovery has to tell counts as told by then.
const FIRST_LIST_PATIENCE: Nanos = 6 * SECOND;
/// An answer with changes is waited for at least so long, and at most so long in a first turn: longer than
/// discovery was seen to keep calls waiting, so that nobody gives up a place in the queue to join it at the
/// end.
const PATIENCE: (Nanos, Nanos) = (5 * SECOND / 2, 8 * SECOND);
/// ... by so many seconds for each courier that may stand in the queue.
const PATIENCE_EACH: f64 = 0.1;
/// What is kept of a lease for the call itself when its beginning is drawn.
const CALL_RESERVE: Nanos = SECOND;
/// Where the list may be acted on for so long, asks are spread over so many turns: there is no hurry.
const UNHURRIED: f64 = 4.0;

/// The pauses of one courier.
#[derive(Default)]
pub struct DiscoverySchedule {
    /// How many couriers share one discovery.
    couriers: f64,
    /// Something was listed once: a drain may be told of it.
    listed: bool,
    /// The time in which all couriers have their turn, as far as this one knows.
    turn: Nanos,
    /// When a call failed last, whether one was answered since, and how long without a failure is quiet.
    failed_at: Option<Nanos>,
    answered: bool,
    quiet: Nanos,
    /// The first ask has been decided on.
    pub started: bool,
    /// When the call was begun that is out.
    asked_at: Option<Nanos>,
    /// When the next one begins.
    next_at: Nanos,
}

impl DiscoverySchedule {
    /// Takes up how many couriers there are.
    pub fn settle(&mut self, settings: &Settings) {
        // Where lists are pushed, who has them is on this machine and serves nobody else; where they are
        // shared, who asks is decided elsewhere.
        let couriers = settings.relays.filter(|_| settings.list_on_request && !settings.list_shared);
        self.couriers = f64::from(couriers.unwrap_or(1).max(1));
        self.quiet = settings.rules.list_poll_interval.unwrap_or(10 * SECOND);
        self.turn = self.turn.max(self.first_turn());
    }

    /// Time from `now` until the first ask, where `left` is left of the lease on the list.
    pub fn start(&mut self, now: Nanos, left: Option<Nanos>, random: &mut Random) -> Nanos {
        let own = nanos(TURN_UNLISTED);
        let spread = if self.listed { self.unhurried(left) } else { self.turn.saturating_sub(own) };
        // A few of them are no crowd.
        let few = spread <= if self.listed { LEAST_AGAIN } else { 0 };
        self.pause(now, if few { 0 } else { nanos(secs(spread) * random.unit()) })
    }

    /// A call begins.
    pub fn asked(&mut self, now: Nanos) {
        self.asked_at = Some(now);
    }

    /// A list has come, or changes; whether it names anything.
    pub fn told(&mut self, any: bool) {
        let first = any && !self.listed;
        self.listed |= any;
        if first {
            self.turn = self.first_turn();
        }
        (self.asked_at, self.answered) = (None, true);
    }

    /// Time until the next ask after a call that failed, where `left` is left of the lease on the list.
    pub fn failed(&mut self, now: Nanos, how: ListScope, left: Option<Nanos>, random: &mut Random) -> Nanos {
        let asked_at = self.asked_at.take();
        let anew = self.failed_at.is_none_or(|at| now > at + self.quiet.max(2 * self.turn));
        if std::mem::take(&mut self.answered) && anew {
            // Only after a time without failure: answers may break off every other time.
            self.turn = self.first_turn();
        }
        self.failed_at = Some(now);
        let lot = random.unit();
        let after = if !self.listed {
            self.widen_unlisted(how, asked_at.map_or(0, |at| now.saturating_sub(at)));
            nanos(secs(self.turn) * (0.5 + lot))
        } else if how == ListScope::Unreachable {
            self.turn = (self.turn * REFUSED).min(self.most_at_door()).max(self.turn);
            let soon = left.filter(|left| *left > 0).map_or(self.turn, |left| self.turn.min(left / 2));
            nanos(secs(soon.max(LEAST_AGAIN)) * (0.5 + lot))
        } else if let Some(asked_at) = asked_at {
            // What broke off had been begun: that it took long is no sign of a queue.
            let waited = if how == ListScope::Truncated { 0 } else { now.saturating_sub(asked_at) };
            self.after_queue(waited, lot)
        } else if anew {
            // A watch that went well until now.
            LEAST_TURN / 2 + nanos(secs(self.unhurried(left)) * lot)
        } else {
            self.after_queue(0, lot)
        };
        self.pause(now, after)
    }

    /// After a call in vain that had its own place in the queue for so long.
    fn after_queue(&mut self, waited: Nanos, lot: f64) -> Nanos {
        if waited >= QUEUED {
            let wider = (waited * WAITED).max(2 * self.first_turn()).min(self.widest());
            self.turn = self.turn.max(wider);
        }
        let after = nanos(secs(self.turn) * (0.5 + lot));
        if waited < QUEUED {
            self.turn = (self.turn * 2).min(self.most_at_door()).max(self.turn);
        }
        after
    }

    fn widen_unlisted(&mut self, how: ListScope, waited: Nanos) {
        if how != ListScope::Unreachable && waited >= QUEUED {
            self.turn = (self.turn * 2).max(waited * WAITED).min(self.widest());
        }
    }

    /// The time within which to ask where the list may be acted on for now: all of that, if the fleet is
    /// large.
    fn unhurried(&self, left: Option<Nanos>) -> Nanos {
        let wide = self.turn.max(nanos(UNHURRIED * TURN_LISTED * self.couriers));
        match left {
            None => wide,
            Some(left) if left > CALL_RESERVE => wide.min(left - CALL_RESERVE),
            Some(_) => self.turn,
        }
    }

    fn widest(&self) -> Nanos {
        let widest = if self.listed { WIDEST_TURN_LISTED } else { WIDEST_TURN };
        nanos(widest * self.couriers)
    }

    fn most_at_door(&self) -> Nanos {
        nanos(AT_DOOR * TURN_LISTED * self.couriers).max(LEAST_AGAIN)
    }

    fn pause(&mut self, now: Nanos, after: Nanos) -> Nanos {
        self.next_at = now + after;
        after
    }

    /// How long an answer is waited for that is no watch's renewal; `held` says whether it is to bring
    /// changes to a list.
    pub fn patience(&self, held: bool) -> Nanos {
        if !held {
            return self.turn.max(FIRST_LIST_PATIENCE);
        }
        let (least, most) = PATIENCE;
        nanos(PATIENCE_EACH * self.couriers).clamp(least, most).max(self.turn / 2)
    }

    /// Time until a list may be there for who has none, or none that may be acted on. Of a call that is out
    /// it is known only how long it has been: half of that is hoped for.
    pub fn awaited(&self, now: Nanos, lapsed: bool) -> Nanos {
        match self.asked_at {
            _ if self.listed && !lapsed => 0,
            Some(at) => now.saturating_sub(at) / 2,
            None => self.next_at.saturating_sub(now),
        }
    }

    fn first_turn(&self) -> Nanos {
        nanos(self.couriers * if self.listed { TURN_LISTED } else { TURN_UNLISTED }).max(LEAST_TURN)
    }
}

impl Dispatcher {
    /// How long an answer of discovery is waited for that is no watch's renewal, in nanoseconds; `held` says
    /// whether it is to bring changes to a list that is held.
    pub fn list_timeout(&self, held: bool) -> Nanos {
        self.schedule.patience(held)
    }

    /// Until when the list may be acted on ([`crate::ListLease`]), on the rounds' clock; none where there is
    /// no such bound. Holds until it is set again.
    pub fn set_list_lease(&mut self, until: Option<Nanos>) {
        self.list_until = until;
    }

    /// Whether the list may not be acted on.
    pub(crate) fn list_lapsed(&self, now: Nanos) -> bool {
        self.list_until.is_some_and(|until| now >= until)
    }

    /// What is left of the lease on the list, where there is one.
    pub(crate) fn list_left(&self, now: Nanos) -> Option<Nanos> {
        self.list_until.map(|until| until.saturating_sub(now))
    }

    /// Time until there may be a list to act on.
    pub(crate) fn list_awaited(&self, now: Nanos) -> Nanos {
        self.schedule.awaited(now, self.list_lapsed(now))
    }

    /// Asks for the first time, where the list is to be asked for. In a first round, what is listed has come
    /// in.
    pub(crate) fn ask_first(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !std::mem::replace(&mut self.schedule.started, true) && self.settings.list_on_request {
            let after = self.schedule.start(now, self.list_left(now), &mut self.random);
            self.ask(now, after, actions);
        }
    }

    /// A call to discovery failed.
    pub(crate) fn list_failed(&mut self, now: Nanos, how: ListScope, actions: &mut Vec<Action>) {
        let after = self.schedule.failed(now, how, self.list_left(now), &mut self.random);
        self.ask(now, after, actions);
        let pause = secs(after);
        actions.push(Action::Log { line: format!("list unavailable, asking again in {pause:.2} s") });
    }

    /// Asks for the list, now or after a pause.
    pub(crate) fn ask(&mut self, now: Nanos, after: Nanos, actions: &mut Vec<Action>) {
        if after > 0 {
            actions.push(Action::SetTimer { nonce: ASK_NONCE, after });
        } else {
            self.schedule.asked(now);
            actions.push(Action::Subscribe { open: true });
        }
    }

    /// Whether there is no list to act on, and will not be before half of the time is over in which a message
    /// meets its aim (its end, once that is past). Given back now, it may be served by another courier yet.
    pub(crate) fn outlasted(&self, now: Nanos, message: &Message) -> bool {
        let awaited = self.list_awaited(now);
        let end = if now < message.aim_at { message.aim_at } else { message.deadline };
        awaited > 0 && now + 2 * awaited > end
    }
}
