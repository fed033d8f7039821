//! The cases. Each returns whether the rule was broken.
pub mod killed_successor;
pub mod drain_call_in_upgrade;
pub mod silent_agent_at_start;
pub mod emptied_folder;
pub mod wait_in_upgrade;

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

/// New calls to an endpoint that arrived later than this.
fn calls_after(record: &Record, endpoint: &Endpoint, name: &str, limit: Instant) -> usize {
    let late: Vec<_> = endpoint.calls().into_iter().filter(|call| call.arrived > limit).collect();
    for call in &late {
        let after = call.arrived.duration_since(limit).as_secs_f64();
        record.line(&format!("{name}: {} arrived {after:.3} s too late", call.ids.join(" ")));
    }
    late.len()
}

fn send_for(record: &Arc<Record>, relay: std::net::SocketAddr, class: &'static str, time: Duration, pause: u64) {
    let end = Instant::now() + time;
    let mut senders = Vec::new();
    while Instant::now() < end {
        let record = record.clone();
        senders.push(thread::spawn(move || submit(&record, relay, class, 7, 6000, false)));
        sleep(ms(pause));
    }
    senders.into_iter().for_each(|sender| drop(sender.join()));
}
