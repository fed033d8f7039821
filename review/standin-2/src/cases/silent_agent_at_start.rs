//! A relay whose list is pushed is killed; while it is away an endpoint begins to drain and discovery goes down, so that the agent is
//! silent when the relay is back.
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;

use super::{SLACK, HELD_UP, DRAIN_GRACE, need, calls_after, send_for};
use crate::common::*;

/// Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let folder = Folder::new();
    let listen = free_address();
    let draining = Endpoint::start("e1", record, |_| ok_after(200));
    let serving = Endpoint::start("e2", record, |_| ok_after(200));
    let zone = "dar-es-salaam";
    let discovery = Discovery::start(
        Mode::Pushed,
        record,
        &[
            ("s-1", entry("s-1", draining.address, "factory", zone, 7, "SERVING")),
            ("s-2", entry("s-2", serving.address, "factory", zone, 7, "SERVING")),
        ],
    );
    let known = discovery.whole();
    let start = Start {
        folder: &folder,
        name: "first",
        listen,
        discovery: discovery.address,
        admin: None,
        passed: None,
        known: &known,
        settings: DAR,
    };
    let mut relay = Relay::start(&start, record);
    need(wait_until(ms(10_000), || is_ready(listen)), "the relay is not ready");
    send_for(record, listen, "status", ms(2000), 150);
    sleep(ms(1000));
    relay.kill(record);
    let killed = Instant::now();
    sleep(ms(100));
    discovery.change("s-1", entry("s-1", draining.address, "factory", zone, 7, "DRAINING"));
    sleep(ms(200));
    if trouble {
        discovery.set_down(true);
    }
    let down = Instant::now();
    sleep(ms(600).saturating_sub(killed.elapsed()));
    let mut relay = Relay::start(&Start { name: "second", ..start }, record);
    need(wait_until(ms(10_000), || is_ready(listen)), "the relay is not ready again");
    let ready = Instant::now();
    record.line("the relay is ready again");
    send_for(record, listen, "status", ms(6000), 150);
    // Discovery is down for 8 s.
    sleep(ms(8000).saturating_sub(down.elapsed()));
    if trouble {
        discovery.set_down(false);
    }
    sleep(ms(1500));
    relay.kill(record);
    // What the agent has counts as told from the first moment of a new process; this counts from when it was ready.
    let late = calls_after(record, &draining, "e1", ready + DRAIN_GRACE + HELD_UP + SLACK);
    record.line(&format!("{late} calls to the draining endpoint later than the rule allows"));
    late > 0
}
