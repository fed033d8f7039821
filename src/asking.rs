//! When the list of endpoints is asked for, how long an answer is waited for, and when a list may be there.
//!
//! Owns the pauses between calls to discovery: at the start, and after calls that failed. It knows no list and sends
//! nothing. Discovery is one service for all couriers and answers one call after another; a call that has waited too
//! long there is thrown away, though not its cost. A fleet that asks together, or again at once, is answered by nobody.
//!
//! What a failure says is told apart by what was heard, and by whether anything was ever listed. Who has a list may have
//! missed the word of a drain, and asks again soon. Who has none sends nothing that a drain could stop: it has its turn
//! among all couriers, and after each call that was thrown away after a wait, or waited in vain, a turn twice as wide.
use crate::interface::{ListScope, Nanos, Settings};
use crate::state::{Random, SECOND, nanos, secs};

/// The timer that ends a pause.
pub const ASK_NONCE: u64 = 2;
/// First pause after an answer that broke off: it may have told of a drain.
const FIRST: Nanos = SECOND / 20;
/// Pauses double up to so many first ones.
const MOST: Nanos = 5;
/// Longest pause for each courier of the tier, in seconds, where nothing was told: all of them together ask a dozen
/// times a second, which is what a slow discovery was seen to answer.
const SPACE: f64 = 0.08;
/// The same in the turns of couriers without a list: a fifth is left over, so that what lots bring together is worked off.
const TURN: f64 = 0.1;
/// Turns of couriers without a list grow up to so many times the first. A discovery that is a tenth as fast as `TURN`
/// wants needs ten times; one that comes back is asked no later than this by all.
const WIDEST: Nanos = 16;
/// Who is turned away sooner met no queue: discovery is down, or never took the call, and one more costs it nothing.
const QUEUED: Nanos = SECOND;
/// Who waited for so long in vain had as much before it, and that was only a part of what all asked.
const WAITED: Nanos = 3;
/// An answer may take so long: what discovery has to tell counts as told by then.
const PATIENCE: Nanos = 6 * SECOND;

/// The pauses of one courier.
#[derive(Default)]
pub struct Asking {
    /// How many couriers share one discovery, and within what time the rules want each to ask.
    couriers: f64,
    quiet: Nanos,
    pause: Nanos,
    failed_at: Nanos,
    /// An answer broke off, and none has come whole since.
    torn: bool,
    /// Something was listed once: a drain may be told of it.
    listed: bool,
    /// The time in which all couriers without a list have their turn, as far as this one knows.
    turn: Nanos,
    /// The first ask has been decided on.
    pub started: bool,
    /// When the call was begun that is out.
    asked_at: Option<Nanos>,
    /// When the next one begins.
    next_at: Nanos,
}

impl Asking {
    /// Takes up how many couriers there are, and the time within which each must ask.
    pub fn settle(&mut self, settings: &Settings) {
        // Where lists are pushed, who has them is on this machine and serves nobody else; where they are shared, who asks is
        // decided elsewhere.
        let couriers = settings.couriers.filter(|_| settings.list_on_request && !settings.list_shared);
        self.couriers = f64::from(couriers.unwrap_or(1).max(1));
        self.quiet = settings.rules.must_ask_in.unwrap_or(10 * SECOND);
        self.turn = self.turn.max(self.whole_turn());
    }

    /// When to ask first: spread over the time that discovery needs for all couriers.
    pub fn start(&mut self, now: Nanos, random: &mut Random) -> Nanos {
        let spread =
            if self.listed { (self.first() - FIRST) * MOST } else { self.whole_turn() - self.own_turn() };
        let after = if spread > 0 { nanos(secs(spread) * random.unit()) } else { 0 };
        self.next_at = now + after;
        after
    }

    /// A call begins.
    pub fn asked(&mut self, now: Nanos) {
        self.asked_at = Some(now);
    }

    /// A list has come; whether it names anything.
    pub fn told(&mut self, any: bool) {
        (self.torn, self.asked_at, self.turn) = (false, None, self.whole_turn());
        self.listed |= any;
    }

    /// When to ask again. What broke off may have told of a drain, so that is not put off, however many they are.
    pub fn failed(&mut self, now: Nanos, how: ListScope, random: &mut Random) -> Nanos {
        let waited = now.saturating_sub(self.asked_at.take().unwrap_or(now));
        self.torn |= matches!(how, ListScope::Torn | ListScope::Silent);
        let wide = if self.listed {
            let first = self.first();
            // Starts anew only after a time without failure: answers may break off every other time.
            let anew = self.pause == 0 || now > self.failed_at + self.quiet;
            self.pause = if anew { first } else { (self.pause * 2).clamp(first, first * MOST) };
            self.pause
        } else {
            if how != ListScope::Broken && waited >= QUEUED {
                self.turn = (self.turn * 2).max(waited * WAITED).min(self.whole_turn() * WIDEST);
            }
            self.turn
        };
        self.failed_at = now;
        let after = nanos(secs(wide) * (0.5 + random.unit()));
        self.next_at = now + after;
        after
    }

    /// How long an answer is waited for that brings the first list; none where one is known. Guards against giving up
    /// what discovery will come to, and being one more before all others by asking again.
    pub fn patience(&self) -> Option<Nanos> {
        (!self.listed).then_some(self.turn.max(PATIENCE))
    }

    /// Time until a list may be there for who has none. Of a call that is out it is known only how long it has been:
    /// half of that is hoped for.
    pub fn awaited(&self, now: Nanos) -> Nanos {
        match self.asked_at {
            _ if self.listed => 0,
            Some(at) => now.saturating_sub(at) / 2,
            None => self.next_at.saturating_sub(now),
        }
    }

    fn whole_turn(&self) -> Nanos {
        nanos(TURN * self.couriers)
    }

    fn own_turn(&self) -> Nanos {
        nanos(TURN)
    }

    fn first(&self) -> Nanos {
        let spaced = nanos(SPACE * self.couriers).min(self.quiet) / MOST;
        if self.torn { FIRST } else { spaced.max(FIRST) }
    }
}
