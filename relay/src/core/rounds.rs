//! Decision rounds: each passes the events since the last one to the decision module and executes the actions that it
//! returns.
use slatethread::{Action, EndpointId, Event, GiveUpReason, MsgId};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use super::backlog::PutBackRequest;
use super::bundle::{Bundle, Share};
use super::{Core, IDLE_WAKEUP, Node, State, Transport};

/// An instruction to the task of one job.
pub(super) enum Order {
    /// The round that received the job is over: unless an earlier order says otherwise, it stays queued.
    Queued,
    Claim {
        node: Rc<Node>,
        limit: Duration,
        /// Set if the claim travels in a bundle.
        share: Option<Share>,
    },
    Cancel {
        attempt: u32,
    },
    Fail,
    Refuse {
        after: Option<Duration>,
        /// The decision module's reason; `None` if there are no more rounds to decide.
        why: Option<GiveUpReason>,
    },
    /// Not from the decision module: a later job replaces this one.
    Replaced,
    /// Not from the decision module: the job returns to disk to free memory, unless it is in flight.
    PutBack(mpsc::UnboundedSender<PutBackRequest>),
}

/// How long a process may be delayed between reading its clock and acting on it (the platform's rules).
const MAX_ROUND_DELAY: Duration = Duration::from_millis(150);

/// Capacity of a job's order channel: queued, a claim, its cancellation, an end and a replacement can all be pending.
pub(super) const ORDER_CAPACITY: usize = 8;

impl<C: Transport> Core<C> {
    /// Runs rounds, at least the configured step apart, until the relay winds down.
    pub async fn run_rounds(&self) {
        let mut last = Instant::now();
        while !self.winding_down.get() {
            let timer = self.state.borrow().timers.peek().map(|t| t.0.0);
            let now = Instant::now();
            let lapse = self.lease_clock.end().filter(|end| *end > now);
            let due = timer.into_iter().chain(lapse).min().unwrap_or(now + IDLE_WAKEUP);
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep_until(due.into()) => {}
            }
            let next = (last + self.rules().step()).max(Instant::now().min(due));
            sleep_until(next.into()).await;
            // Avoids decisions on outdated state: data that has arrived on sockets is processed before the round. A
            // task that yields resumes only after the runtime has polled its sockets and run the tasks that they woke.
            for _ in 0..2 {
                tokio::task::yield_now().await;
            }
            last = Instant::now();
            self.check_round_delay(last.saturating_duration_since(next));
            if !self.winding_down.get() {
                self.round(last);
            }
        }
    }

    /// Records the longest delay of a round, and logs a delay beyond [`MAX_ROUND_DELAY`].
    fn check_round_delay(&self, late: Duration) {
        self.count(|tally| tally.latest_round = tally.latest_round.max(late));
        self.metrics.record_round_delay(late);
        if late > MAX_ROUND_DELAY {
            tracing::warn!(?late, "a decision round ran late");
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
        self.log_lease_change(now);
        state.dispatcher.set_list_lease(self.lease_clock.ends_at());
        state.dispatcher.pause_calls(self.journal_health.is_failing());
        let mut actions = Vec::new();
        state.dispatcher.on_round(self.module_time(now), &events, &mut actions);
        let mut bundles = HashMap::new();
        for action in actions {
            self.execute(state, now, action, &mut bundles);
        }
        for event in &events {
            if let Event::Request(request) = event {
                send_order(state, request.msg, Order::Queued);
            }
        }
    }

    fn execute(
        &self,
        state: &mut State,
        now: Instant,
        action: Action,
        bundles: &mut HashMap<EndpointId, Rc<Bundle>>,
    ) {
        match action {
            Action::Send { msg, endpoint, timeout: limit } => {
                let Some(node) = state.nodes.get(endpoint).cloned() else {
                    tracing::error!(
                        endpoint = endpoint.0,
                        "the decision module chose a node that is not listed; the claim is not sent"
                    );
                    return;
                };
                let limit = Duration::from_nanos(limit);
                let most =
                    self.rules().settings.kinds.get(node.kind().0).and_then(|k| k.max_batch).unwrap_or(1);
                let share = (most > 1).then(|| {
                    let bundle = bundles.entry(endpoint).or_insert_with(Bundle::new);
                    if bundle.size() >= most as usize {
                        // This claim starts another call.
                        *bundle = Bundle::new();
                    }
                    bundle.share(limit)
                });
                send_order(state, msg, Order::Claim { node, limit, share });
            }
            Action::Refuse { msg, backoff, reason: why } => {
                let after = backoff.map(Duration::from_nanos);
                send_order(state, msg, Order::Refuse { after, why: Some(why) });
            }
            Action::Fail { msg } => send_order(state, msg, Order::Fail),
            Action::Cancel { msg, attempt } => send_order(state, msg, Order::Cancel { attempt }),
            Action::SetTimer { nonce, after } => {
                state.timers.push(Reverse((now + Duration::from_nanos(after), nonce)));
            }
            Action::CloseIdle { endpoint } => {
                if let Some(node) = state.nodes.get(endpoint) {
                    self.transport.close_idle(node);
                }
            }
            Action::Log { line } => tracing::info!("decision module: {}", with_node_name(state, &line)),
            Action::Subscribe { open: true } | Action::FetchList => self.list_request.notify_one(),
            Action::Subscribe { open: false } | Action::Probe { .. } | Action::SendToRelays { .. } => {
                tracing::error!(?action, "the decision module requested an unsupported action; ignored");
            }
        }
    }
}

/// Replaces the number of an execute node in the decision module's log line by the node's name.
fn with_node_name(state: &State, line: &str) -> String {
    let parts = line.strip_prefix("endpoint ").and_then(|text| text.split_once(' '));
    let node = parts.and_then(|(id, _)| state.nodes.get(EndpointId(id.parse().ok()?)));
    match (node, parts) {
        (Some(node), Some((_, what))) => format!("execute node {} {what}", node.name),
        _ => line.to_owned(),
    }
}

/// Sends an order to the task of a job, if it still runs.
pub(super) fn send_order(state: &State, msg: MsgId, order: Order) {
    if let Some(sender) = state.order_senders.get(&msg)
        && sender.try_send(order).is_err()
    {
        tracing::error!(msg = msg.0, "cannot send an order to a job's task; the order is lost");
    }
}
