//! Claims that travel as one call: what the module sends to one node in one round, where that node takes several
//! messages in a call. They share one fate.
//!
//! Each job's life goes on by itself and joins with its part; the first to join takes the call out for all once every
//! other has joined or will not. Who gives up takes the call back for all: a message of it must not be out twice.
use bytes::Bytes;
use futures_util::future::select_all;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, oneshot};

use super::{Node, SendPermit, Transport};
use crate::job::{Job, Outcome};

/// One of the messages of a call.
#[derive(Clone)]
pub struct BundledMessage {
    pub id: String,
    pub fields: Vec<(String, Bytes)>,
    pub body: Bytes,
    pub permit: Rc<SendPermit>,
}

/// What one round sends to one node.
pub(super) struct Bundle {
    /// The shortest time that one of them may take: they have one time-out, since they have one connection.
    limit: Cell<Duration>,
    /// Claims that have not joined yet, and may.
    awaited: Cell<usize>,
    size: Cell<usize>,
    joined: RefCell<Vec<(BundledMessage, oneshot::Sender<Outcome>)>>,
    gathered: Notify,
}

/// A claim's share in a bundle; without it the bundle goes on alone.
pub(super) struct Share(Rc<Bundle>);

impl Bundle {
    pub fn new() -> Rc<Self> {
        Rc::new(Bundle {
            limit: Cell::new(Duration::MAX),
            awaited: Cell::new(0),
            size: Cell::new(0),
            joined: RefCell::default(),
            gathered: Notify::new(),
        })
    }

    pub fn size(&self) -> usize {
        self.size.get()
    }

    pub fn share(self: &Rc<Self>, limit: Duration) -> Share {
        self.limit.set(self.limit.get().min(limit));
        self.awaited.set(self.awaited.get() + 1);
        self.size.set(self.size.get() + 1);
        Share(self.clone())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let left = self.0.awaited.get() - 1;
        self.0.awaited.set(left);
        if left == 0 {
            self.0.gathered.notify_one();
        }
    }
}

impl Share {
    /// The time-out of the call.
    pub fn limit(&self) -> Duration {
        self.0.limit.get()
    }

    /// Takes the claim out together with the others, and gives its own outcome.
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
        let leads = bundle.joined.borrow().is_empty();
        let (tell, told) = oneshot::channel();
        let part = BundledMessage {
            id: job.id.clone(),
            fields: job.fields.clone(),
            body: job.body.clone(),
            permit: permit.clone(),
        };
        bundle.joined.borrow_mut().push((part, tell));
        let begun = Instant::now();
        drop(self);
        if !leads {
            return match told.await {
                Ok(outcome) => outcome,
                // Its connection is gone with the one that gave up.
                Err(_) if !permit.is_sent() => Outcome::NotSent,
                Err(_) if begun.elapsed() + NEARLY >= limit => Outcome::TimedOut,
                Err(_) => Outcome::Reset,
            };
        }
        drop(told);
        bundle.gathered.notified().await;
        let mut joined = bundle.joined.take();
        if joined.len() == 1 {
            return transport.claim(job, node, limit, permit).await;
        }
        let parts: Vec<_> = joined.iter().map(|(part, _)| part.clone()).collect();
        let outcomes = {
            let others = joined.iter_mut().skip(1).map(|(_, tell)| Box::pin(tell.closed()));
            tokio::select! {
                biased;
                outcomes = transport.claim_bundle(&parts, node, limit) => outcomes,
                _ = select_all(others) => {
                    let cut = |part: &BundledMessage| if part.permit.is_sent() { Outcome::Reset } else { Outcome::NotSent };
                    parts.iter().map(cut).collect()
                }
            }
        };
        let mut outcomes = outcomes.into_iter();
        let own = outcomes.next().unwrap_or(Outcome::Error);
        for ((_, tell), outcome) in joined.into_iter().skip(1).zip(outcomes) {
            // Who is gone has given up.
            let _ = tell.send(outcome);
        }
        own
    }
}

/// Time-outs of one call are told within so much of each other.
const NEARLY: Duration = Duration::from_millis(20);

#[cfg(test)]
mod tests;
