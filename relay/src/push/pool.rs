//! The connections to one gateway: how many there are, which one a claim's stream goes on, and when one ends. Free of
//! I/O and clocks: what happened goes in, with the time; what is to be done comes out as [`Order`]s.
//!
//! A claim is in one place at a time: it waits, or it has a stream on one connection, until it leaves. A connection that
//! is going away, is doubted, or has as many streams as it may have gets no new one.
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use crate::config::PoolLimits as Limits;

/// A connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineId(u64);

/// A claim that waits for a stream or has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId(u64);

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Open a connection; [`Pool::connected`] or [`Pool::failed`] tells what came of it.
    Dial(LineId),
    /// Ping it; [`Pool::heard`] tells that the answer came.
    Ping(LineId),
    /// Close it: it has no streams.
    Close(LineId),
    /// Break it off: it is silent. Its claims find out by themselves.
    Break(LineId),
    /// The claim may open a stream there.
    Grant(ClaimId, LineId),
    /// The claim gets no stream.
    Deny(ClaimId, Denial),
}

/// Why a claim gets no stream. It never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No connection came up.
    Unconnected,
    /// The gateway is listed no more.
    Withdrawn,
}

/// How a claim left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Left {
    /// Something of the gateway's came for it.
    Heard,
    /// It was given up, or ended with its connection.
    Unheard,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dialling,
    Open,
    /// Nothing new goes on it.
    Leaving,
    /// The connection is no more; claims on it have not all found out yet.
    Ended,
}

struct Line {
    state: State,
    /// Streams that the gateway allows.
    allowed: usize,
    /// Claims with a stream on it, and since when.
    streams: BTreeMap<ClaimId, Instant>,
    /// When something last came on it.
    heard: Instant,
    /// A ping is out since then.
    pinged: Option<Instant>,
    /// A claim was given up on it of which nothing was heard.
    doubted: bool,
    /// When its last stream ended.
    idle: Instant,
}

impl Line {
    fn room(&self, limits: &Limits) -> usize {
        let usable = self.state == State::Open && !self.doubted;
        if usable { limits.streams.min(self.allowed).saturating_sub(self.streams.len()) } else { 0 }
    }

    fn is_live(&self) -> bool {
        matches!(self.state, State::Dialling | State::Open)
    }
}

/// The connections to one gateway.
pub struct Pool {
    limits: Limits,
    lines: BTreeMap<LineId, Line>,
    waiting: VecDeque<ClaimId>,
    /// Where each claim with a stream has it.
    places: BTreeMap<ClaimId, LineId>,
    /// When a connection last did not come up.
    refused: Option<Instant>,
    next: u64,
}

impl Pool {
    pub fn new(limits: Limits) -> Self {
        let (lines, places) = (BTreeMap::new(), BTreeMap::new());
        Pool { limits, lines, waiting: VecDeque::new(), places, refused: None, next: 0 }
    }

    /// Takes up other limits. What is over them ends by itself.
    pub fn settle(&mut self, limits: Limits) {
        self.limits = limits;
    }

    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Whether there is nothing left to look after.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty() && self.waiting.is_empty()
    }

    /// A claim wants a stream; it is granted or denied one sooner or later, unless it leaves before.
    pub fn want(&mut self, now: Instant, orders: &mut Vec<Order>) -> ClaimId {
        self.next += 1;
        let claim = ClaimId(self.next);
        self.waiting.push_back(claim);
        self.serve(now, orders);
        claim
    }

    /// A claim has no more use of its stream, or of its wait for one.
    pub fn leave(&mut self, now: Instant, claim: ClaimId, how: Left, orders: &mut Vec<Order>) {
        let Some(id) = self.places.remove(&claim) else {
            return self.waiting.retain(|c| *c != claim);
        };
        let line = self.lines.get_mut(&id).expect("claims have streams on known lines");
        let since = line.streams.remove(&claim);
        line.idle = now;
        match how {
            Left::Heard => self.hear(now, id),
            // Guards against a connection that has died without a word taking claim after claim with it.
            Left::Unheard if since.is_some_and(|since| line.heard < since) && line.state == State::Open => {
                line.doubted = true;
                if line.pinged.is_none() {
                    line.pinged = Some(now);
                    orders.push(Order::Ping(id));
                }
            }
            Left::Unheard => {}
        }
        self.end_if_done(id, orders);
        self.serve(now, orders);
    }

    /// A connection is up; the gateway allows so many streams.
    pub fn connected(&mut self, now: Instant, id: LineId, allowed: usize, orders: &mut Vec<Order>) {
        match self.lines.get_mut(&id).filter(|line| line.state == State::Dialling) {
            Some(line) => {
                (line.state, line.allowed, line.heard, line.idle) = (State::Open, allowed, now, now);
                self.serve(now, orders);
            }
            // Withdrawn meanwhile.
            None => orders.push(Order::Close(id)),
        }
    }

    /// A connection did not come up. Where no other is up or on its way, nobody waits in vain.
    pub fn failed(&mut self, now: Instant, id: LineId, orders: &mut Vec<Order>) {
        if self.lines.get(&id).is_some_and(|line| line.state == State::Dialling) {
            self.lines.remove(&id);
        }
        self.refused = Some(now);
        if !self.lines.values().any(|line| line.state == State::Open) {
            // Those that it was for: the others have another on its way.
            let lost = self.waiting.len().saturating_sub(self.awaited());
            orders.extend(self.waiting.drain(..lost).map(|claim| Order::Deny(claim, Denial::Unconnected)));
        }
        self.serve(now, orders);
    }

    /// Streams that the connections on their way are good for.
    fn awaited(&self) -> usize {
        let dialling = self.lines.values().filter(|l| l.state == State::Dialling).count();
        dialling.saturating_mul(self.limits.streams.max(1))
    }

    /// The gateway allows so many streams now; none at all is possible.
    pub fn allows(&mut self, now: Instant, id: LineId, allowed: usize, orders: &mut Vec<Order>) {
        if let Some(line) = self.lines.get_mut(&id).filter(|line| line.allowed != allowed) {
            line.allowed = allowed;
            self.serve(now, orders);
        }
    }

    /// A ping was answered, or something else came.
    pub fn heard(&mut self, now: Instant, id: LineId, orders: &mut Vec<Order>) {
        self.hear(now, id);
        self.serve(now, orders);
    }

    fn hear(&mut self, now: Instant, id: LineId) {
        if let Some(line) = self.lines.get_mut(&id) {
            (line.heard, line.pinged, line.doubted) = (now, None, false);
        }
    }

    /// The gateway takes nothing more on this connection (GOAWAY, or an answer that says so). What is open goes on.
    pub fn going_away(&mut self, now: Instant, id: LineId, orders: &mut Vec<Order>) {
        if let Some(line) = self.lines.get_mut(&id).filter(|line| line.state == State::Open) {
            line.state = State::Leaving;
            self.end_if_done(id, orders);
            self.serve(now, orders);
        }
    }

    /// The connection has ended.
    pub fn closed(&mut self, now: Instant, id: LineId, orders: &mut Vec<Order>) {
        if let Some(line) = self.lines.get_mut(&id) {
            line.state = State::Ended;
            self.end_if_done(id, orders);
            self.serve(now, orders);
        }
    }

    /// The gateway is listed no more, or elsewhere: nothing new, and what is idle is closed.
    pub fn withdraw(&mut self, orders: &mut Vec<Order>) {
        orders.extend(self.waiting.drain(..).map(|claim| Order::Deny(claim, Denial::Withdrawn)));
        self.lines.retain(|_, line| line.state != State::Dialling);
        for id in self.lines.keys().copied().collect::<Vec<_>>() {
            let line = self.lines.get_mut(&id).expect("just seen");
            line.state = if line.state == State::Open { State::Leaving } else { line.state };
            self.end_if_done(id, orders);
        }
    }

    /// Closes what has no streams.
    pub fn close_idle(&mut self, now: Instant, orders: &mut Vec<Order>) {
        self.close_if(orders, |_| true);
        // Claims may wait although there was one: the gateway allowed no stream on it.
        self.serve(now, orders);
    }

    /// Time has passed: idle connections are closed, quiet ones pinged, silent ones broken off.
    pub fn tick(&mut self, now: Instant, orders: &mut Vec<Order>) {
        let Limits { quiet, pong, idle, .. } = self.limits;
        self.close_if(orders, |line| now >= line.idle + idle);
        let mut silent = Vec::new();
        for (id, line) in &mut self.lines {
            if !matches!(line.state, State::Open | State::Leaving) {
                continue;
            }
            match line.pinged {
                Some(since) if now >= since + pong => silent.push(*id),
                None if !line.streams.is_empty() && now >= line.heard + quiet => {
                    line.pinged = Some(now);
                    orders.push(Order::Ping(*id));
                }
                _ => {}
            }
        }
        for id in silent {
            orders.push(Order::Break(id));
            self.closed(now, id, orders);
        }
        self.serve(now, orders);
    }

    fn close_if(&mut self, orders: &mut Vec<Order>, unwanted: impl Fn(&Line) -> bool) {
        self.lines.retain(|id, line| {
            let close = line.state == State::Open && line.streams.is_empty() && unwanted(line);
            orders.extend(close.then_some(Order::Close(*id)));
            !close
        });
    }

    fn end_if_done(&mut self, id: LineId, orders: &mut Vec<Order>) {
        let done =
            |line: &Line| line.streams.is_empty() && matches!(line.state, State::Leaving | State::Ended);
        if self.lines.get(&id).is_some_and(done) {
            let line = self.lines.remove(&id).expect("just seen");
            orders.extend((line.state == State::Leaving).then_some(Order::Close(id)));
        }
    }

    /// Grants streams, oldest claim first, and dials where there are more claims than room.
    fn serve(&mut self, now: Instant, orders: &mut Vec<Order>) {
        while let Some(claim) = self.waiting.front().copied()
            && let Some(id) = self.pick()
        {
            self.waiting.pop_front();
            self.lines.get_mut(&id).expect("picked").streams.insert(claim, now);
            self.places.insert(claim, id);
            orders.push(Order::Grant(claim, id));
        }
        loop {
            let live = self.lines.values().filter(|l| l.is_live()).count();
            if self.awaited() >= self.waiting.len() || live >= self.limits.connections.max(1) {
                return;
            }
            // Guards against dialling on and on at a gateway that allows no further connection.
            let open = self.lines.values().any(|line| line.state == State::Open);
            if open && self.refused.is_some_and(|at| now < at + self.limits.dial) {
                return;
            }
            self.next += 1;
            let (id, streams) = (LineId(self.next), BTreeMap::new());
            let line = Line {
                state: State::Dialling,
                allowed: 0,
                streams,
                heard: now,
                pinged: None,
                doubted: false,
                idle: now,
            };
            self.lines.insert(id, line);
            orders.push(Order::Dial(id));
        }
    }

    /// The connection for the next stream: the oldest that is less than half full, so that the others come to stand idle
    /// and are closed, else the one with the most room.
    fn pick(&self) -> Option<LineId> {
        let mut open = self.lines.iter().map(|(id, line)| (line.room(&self.limits), line.streams.len(), *id));
        let spacious = open.clone().find(|(room, used, _)| room > used);
        let best =
            spacious.or_else(|| open.by_ref().max_by_key(|(room, _, id)| (*room, std::cmp::Reverse(*id))));
        best.filter(|(room, _, _)| *room > 0).map(|(_, _, id)| id)
    }
}

#[cfg(test)]
mod tests;
