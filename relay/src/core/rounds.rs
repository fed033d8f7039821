//! The module's rounds: what has happened goes in, what it orders is carried out.
use slatethread::{Action, EndpointId, Event, GiveUpReason, MsgId};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use super::backlog::Parked;
use super::bundle::{Bundle, Share};
use super::{Carrier, Core, FAR_OFF, Node, State};

/// What the module orders for one job.
pub(super) enum Order {
    /// The round that took it in is over.
    Held,
    Claim {
        node: Rc<Node>,
        limit: Duration,
        /// It travels with others.
        share: Option<Share>,
    },
    Cancel {
        attempt: u32,
    },
    Fail,
    Refuse {
        after: Option<Duration>,
        /// The module's reason; none where no round decides any more.
        why: Option<GiveUpReason>,
    },
    /// Not the module's: a later job takes its place.
    Replaced,
    /// Not the module's: its place in memory is another's, and it goes back to disk unless it is out.
    PutBack(mpsc::UnboundedSender<Parked>),
}

/// A process may be held up for so long between reading its clock and acting (the platform's rules).
const HOLD_UP: Duration = Duration::from_millis(150);

/// Orders that can be waiting for one job: held, a claim, its cancellation, an end, another in its place.
pub(super) const ORDERS: usize = 8;

impl<C: Carrier> Core<C> {
    /// Plays rounds, no closer than the settings' step, until the relay winds down.
    pub async fn rounds(&self) {
        let mut last = Instant::now();
        while !self.winding_down.get() {
            let timer = self.state.borrow().timers.peek().map(|t| t.0.0);
            let now = Instant::now();
            let lapse = self.list_clock.end().filter(|end| *end > now);
            let due = timer.into_iter().chain(lapse).min().unwrap_or(now + FAR_OFF);
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(due.into()) => {}
            }
            let next = (last + self.rules().step()).max(Instant::now().min(due));
            sleep_until(next.into()).await;
            // Guards against acting on old news: what has arrived on sockets is read before the round. A
            // yielding task goes on after the runtime has looked at its sockets and run what they woke.
            for _ in 0..2 {
                tokio::task::yield_now().await;
            }
            last = Instant::now();
            self.watch_hold_up(last.saturating_duration_since(next));
            if !self.winding_down.get() {
                self.round(last);
            }
        }
    }

    /// Keeps how late rounds were at most; tells the log of one that was too late for what it acts on.
    fn watch_hold_up(&self, late: Duration) {
        self.count(|tally| tally.latest_round = tally.latest_round.max(late));
        self.figures.round_was_late(late);
        if late > HOLD_UP {
            tracing::warn!(?late, "held up: a round came late");
        }
    }

    pub(super) fn round(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let mut events = std::mem::take(&mut state.inbox);
        while let Some(Reverse((_, nonce))) = state.timers.peek().copied().filter(|t| t.0.0 <= now) {
            state.timers.pop();
            events.push(Event::Timer { nonce });
        }
        self.watch_lease(now);
        state.courier.set_list_lease(self.list_clock.ends_at());
        state.courier.pause_calls(self.journal_health.is_failing());
        let mut actions = Vec::new();
        state.courier.on_round(self.module_time(now), &events, &mut actions);
        let mut bundles = HashMap::new();
        for action in actions {
            self.act(state, now, action, &mut bundles);
        }
        for event in &events {
            if let Event::Request(request) = event {
                order(state, request.msg, Order::Held);
            }
        }
    }

    fn act(
        &self,
        state: &mut State,
        now: Instant,
        action: Action,
        bundles: &mut HashMap<EndpointId, Rc<Bundle>>,
    ) {
        match action {
            Action::Send { msg, endpoint, timeout: limit } => {
                let Some(node) = state.nodes.get(endpoint).cloned() else {
                    tracing::error!(endpoint = endpoint.0, "the module named a node that is not listed");
                    return;
                };
                let limit = Duration::from_nanos(limit);
                let most =
                    self.rules().settings.kinds.get(node.kind().0).and_then(|k| k.max_batch).unwrap_or(1);
                let share = (most > 1).then(|| {
                    let bundle = bundles.entry(endpoint).or_insert_with(Bundle::new);
                    if bundle.size() >= most as usize {
                        // The module has begun another call.
                        *bundle = Bundle::new();
                    }
                    bundle.share(limit)
                });
                order(state, msg, Order::Claim { node, limit, share });
            }
            Action::Refuse { msg, backoff, reason: why } => {
                let after = backoff.map(Duration::from_nanos);
                order(state, msg, Order::Refuse { after, why: Some(why) });
            }
            Action::Fail { msg } => order(state, msg, Order::Fail),
            Action::Cancel { msg, attempt } => order(state, msg, Order::Cancel { attempt }),
            Action::SetTimer { nonce, after } => {
                state.timers.push(Reverse((now + Duration::from_nanos(after), nonce)));
            }
            Action::CloseIdle { endpoint } => {
                if let Some(node) = state.nodes.get(endpoint) {
                    self.carrier.close_idle(node);
                }
            }
            Action::Log { line } => tracing::info!("module: {}", named(state, &line)),
            Action::Subscribe { open: true } | Action::FetchList => self.follow.notify_one(),
            Action::Subscribe { open: false } | Action::Probe { .. } | Action::SendToRelays { .. } => {
                tracing::error!(?action, "the module asked for what no front offers");
            }
        }
    }
}

/// A line of the module's with the name of its execute node in place of the number.
fn named(state: &State, line: &str) -> String {
    let rest = line.strip_prefix("endpoint ").and_then(|rest| rest.split_once(' '));
    let node = rest.and_then(|(id, _)| state.nodes.get(EndpointId(id.parse().ok()?)));
    match (node, rest) {
        (Some(node), Some((_, what))) => format!("execute node {} {what}", node.name),
        _ => line.to_owned(),
    }
}

pub(super) fn order(state: &State, msg: MsgId, order: Order) {
    if let Some(seat) = state.seats.get(&msg)
        && seat.try_send(order).is_err()
    {
        tracing::error!(msg = msg.0, "a job does not take its orders");
    }
}
