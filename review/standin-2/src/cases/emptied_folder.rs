//! The machine of a relay is lost, so that its folder is empty when it is back; an endpoint began to drain meanwhile, and discovery has
//! gone down since.
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;

use super::{SLACK, HELD_UP, DRAIN_GRACE, need, calls_after, send_for};
use crate::common::*;

/// Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let folder = Folder::new();
    let listen = free_address();
    let draining = Endpoint::start("e1", record, |_| ok_after(300));
    let serving = Endpoint::start("e2", record, |_| ok_after(300));
    let discovery = Discovery::start(
        Mode::Asked,
        record,
        &[
            ("s-1", entry("s-1", draining.address, "big-operators", "hall-b", 7, "SERVING")),
            ("s-2", entry("s-2", serving.address, "big-operators", "hall-b", 7, "SERVING")),
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
        settings: KULKU,
    };
    let mut relay = Relay::start(&start, record);
    need(wait_until(ms(10_000), || is_ready(listen)), "the relay is not ready");
    send_for(record, listen, "disruption-notice", ms(2000), 150);
    sleep(ms(1000));
    relay.kill(record);
    let killed = Instant::now();
    sleep(ms(100));
    discovery.change("s-1", entry("s-1", draining.address, "big-operators", "hall-b", 7, "DRAINING"));
    let changed = Instant::now();
    sleep(ms(7200).saturating_sub(killed.elapsed()));
    let down = Instant::now();
    if trouble {
        discovery.set_down(true);
    }
    sleep(ms(7600).saturating_sub(killed.elapsed()));
    folder.empty_state();
    record.line("the folder is empty");
    let mut relay = Relay::start(&Start { name: "second", ..start }, record);
    need(wait_until(ms(10_000), || is_ready(listen)), "the relay is not ready again");
    let ready = Instant::now();
    record.line("the relay is ready again");
    send_for(record, listen, "disruption-notice", ms(7000), 150);
    sleep(ms(8000).saturating_sub(down.elapsed()));
    if trouble {
        discovery.set_down(false);
    }
    sleep(ms(1500));
    relay.kill(record);
    // The change counts as told 6 s after discovery had it; this counts from the ready that came later.
    let told = ready.max(changed + ms(6000));
    let late = calls_after(record, &draining, "e1", told + DRAIN_GRACE + HELD_UP + SLACK);
    record.line(&format!("{late} calls to the draining endpoint later than the rule allows"));
    late > 0
}
