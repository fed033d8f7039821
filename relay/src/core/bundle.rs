//! Bundled claims: the claims that the decision module sends to one node in one round travel as one call if the node
//! accepts several messages per call. They succeed or fail together.
//!
//! Each job still runs in its own task, which adds its message to the bundle. The first task to join makes the call for
//! all of them, once every other task has joined or dropped out. If any task gives up, the whole call is cancelled: the
//! task's job may be sent again, and a message must not be in flight twice.
use bytes::Bytes;
use futures_util::future::select_all;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

use super::{Node, SendPermit, Transport};
use crate::job::{Job, Outcome};

/// A message in a call with several messages.
#[derive(Clone)]
pub struct BundledMessage {
    pub id: String,
    pub fields: Vec<(String, Bytes)>,
    pub body: Bytes,
    pub permit: Rc<SendPermit>,
}

/// The claims that one round sends to one node in one call.
pub(super) struct Bundle {
    /// The shortest time limit of all claims: they have a common timeout, since they use one connection.
    limit: Cell<Duration>,
    /// Claims that may still join.
    pending: Cell<usize>,
    size: Cell<usize>,
    joined: RefCell<Vec<(BundledMessage, oneshot::Sender<Outcome>)>>,
    all_joined: Notify,
}

/// A claim's membership in a bundle. Once it is dropped, the bundle no longer waits for the claim to join.
pub(super) struct Share(Rc<Bundle>);

impl Bundle {
    pub fn new() -> Rc<Self> {
        Rc::new(Bundle {
            limit: Cell::new(Duration::MAX),
            pending: Cell::new(0),
            size: Cell::new(0),
            joined: RefCell::default(),
            all_joined: Notify::new(),
        })
    }

    pub fn size(&self) -> usize {
        self.size.get()
    }

    pub fn share(self: &Rc<Self>, limit: Duration) -> Share {
        self.limit.set(self.limit.get().min(limit));
        self.pending.set(self.pending.get() + 1);
        self.size.set(self.size.get() + 1);
        Share(self.clone())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let left = self.0.pending.get() - 1;
        self.0.pending.set(left);
        if left == 0 {
            self.0.all_joined.notify_one();
        }
    }
}

impl Share {
    /// The timeout of the call.
    pub fn limit(&self) -> Duration {
        self.0.limit.get()
    }

    /// Sends the claim together with the others; returns this claim's outcome.
    pub async fn claim<C: Transport>(
        self,
        transport: &C,
        job: &Job,
        node: &Node,
        limit: Duration,
        permit: &Rc<SendPermit>,
    ) -> Outcome {
        if self.0.size() == 1 {
            return transport.claim(job, node, limit, permit).await;
        }
        let bundle = self.0.clone();
        let is_leader = bundle.joined.borrow().is_empty();
        let (sender, receiver) = oneshot::channel();
        let message = BundledMessage {
            id: job.id.clone(),
            fields: job.fields.clone(),
            body: job.body.clone(),
            permit: permit.clone(),
        };
        bundle.joined.borrow_mut().push((message, sender));
        let begun = Instant::now();
        drop(self);
        if !is_leader {
            return match receiver.await {
                Ok(outcome) => outcome,
                // The leader was cancelled, and the connection was closed with it.
                Err(_) if !permit.is_sent() => Outcome::NotSent,
                Err(_) if begun.elapsed() + TIMEOUT_TOLERANCE >= limit => Outcome::TimedOut,
                Err(_) => Outcome::Reset,
            };
        }
        drop(receiver);
        bundle.all_joined.notified().await;
        let mut joined = bundle.joined.take();
        if joined.len() == 1 {
            return transport.claim(job, node, limit, permit).await;
        }
        let messages: Vec<_> = joined.iter().map(|(message, _)| message.clone()).collect();
        let outcomes = {
            let others = joined.iter_mut().skip(1).map(|(_, sender)| Box::pin(sender.closed()));
            tokio::select! {
                biased;
                outcomes = transport.claim_bundle(&messages, node, limit) => outcomes,
                _ = select_all(others) => {
                    let cancelled = |message: &BundledMessage|
                        if message.permit.is_sent() { Outcome::Reset } else { Outcome::NotSent };
                    messages.iter().map(cancelled).collect()
                }
            }
        };
        let mut outcomes = outcomes.into_iter();
        let own = outcomes.next().unwrap_or(Outcome::Error);
        for ((_, sender), outcome) in joined.into_iter().skip(1).zip(outcomes) {
            // Fails only if the task has given up meanwhile.
            let _ = sender.send(outcome);
        }
        own
    }
}

/// The claims of one call notice its timeout within this time of each other.
const TIMEOUT_TOLERANCE: Duration = Duration::from_millis(20);

#[cfg(test)]
mod tests;
