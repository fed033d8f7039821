//! The cases. Each returns whether the rule was broken.
pub mod drain_call_in_upgrade;
pub mod emptied_folder;
pub mod killed_successor;
pub mod lists_between_instances;
pub mod silent_agent_at_start;
pub mod wait_in_upgrade;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::common::*;

/// The rules' slack on sockets, and the time for which a relay may be held up between its clock and its write.
const SLACK: Duration = Duration::from_millis(50);
const HELD_UP: Duration = Duration::from_millis(150);
const DRAIN_GRACE: Duration = Duration::from_millis(500);

fn need(done: bool, what: &str) {
    if !done {
        cannot_run(what);
    }
}

/// A message that a client handed in: its id, when, and whether it was taken on.
struct Message {
    id: String,
    sent: Instant,
    taken: bool,
}

/// Hands messages for destination 7 in for a time, one each `pause`, on connections of their own.
fn send_for(
    record: &Arc<Record>,
    relay: SocketAddr,
    class: &'static str,
    left: u64,
    time: Duration,
    pause: u64,
) -> Vec<Message> {
    let end = Instant::now() + time;
    let mut senders = Vec::new();
    while Instant::now() < end {
        let record = record.clone();
        senders.push(thread::spawn(move || {
            let sent = Instant::now();
            let (id, status) = submit(&record, relay, class, 7, left, class == "ticket-order");
            Message { id, sent, taken: is_taken(status) }
        }));
        sleep(ms(pause));
    }
    senders.into_iter().map(|sender| sender.join().unwrap_or_else(|_| cannot_run("a client failed"))).collect()
}

/// The messages, all for one destination, that were taken on and lost: an endpoint of another destination got them, later than `limit`, and
/// they were neither delivered to one of their own nor ended by a notice in time.
fn lost_to_another(
    record: &Record,
    messages: &[Message],
    left: u64,
    own: &Endpoint,
    other: &Endpoint,
    discovery: &Discovery,
    limit: Instant,
) -> usize {
    let notices = discovery.notices.lock().unwrap();
    let mut lost = 0;
    for Message { id, sent, .. } in messages.iter().filter(|message| message.taken) {
        let due = *sent + ms(left) + ms(300) + SLACK;
        let calls = |endpoint: &Endpoint| endpoint.calls().into_iter().filter(|call| call.ids.contains(id)).collect::<Vec<_>>();
        let Some(wrong) = calls(other).into_iter().find(|call| call.arrived > limit) else { continue };
        let delivered = calls(own).iter().any(|call| call.status == 200);
        let ended = notices.iter().any(|(at, text)| *at <= due && text.contains(id.as_str()));
        let after = wrong.arrived.duration_since(limit).as_secs_f64();
        record.line(&format!(
            "{id} went to an endpoint of another destination, {after:.3} s later than the rule allows; delivered: {delivered}, ended: {ended}"
        ));
        lost += usize::from(!delivered && !ended);
    }
    record.line(&format!("{lost} messages were taken on and lost to an endpoint of another destination"));
    lost
}
