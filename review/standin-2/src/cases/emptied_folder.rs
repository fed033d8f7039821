//! The machine of a relay is lost, so that its folder is empty when it is back; meanwhile a new endpoint, of another destination, was listed at
//! the address of one that has gone, and discovery has gone down since.
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;

use super::{DRAIN_GRACE, HELD_UP, SLACK, lost_to_another, need, send_for};
use crate::common::*;

/// Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    const TIME: u64 = 28_000;
    let folder = Folder::new();
    let listen = free_address();
    let gone = Endpoint::start("s-1 (destination 7)", record, |_| ok_after(300));
    let own = Endpoint::start("s-2 (destination 7)", record, |_| ok_after(300));
    let discovery = Discovery::start(
        Mode::Asked,
        record,
        &[
            ("s-1", entry("s-1", gone.address, "big-operators", "hall-b", 7, "SERVING")),
            ("s-2", entry("s-2", own.address, "big-operators", "hall-b", 7, "SERVING")),
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
    send_for(record, listen, "ticket-order", TIME, ms(1500), 150);
    sleep(ms(1000));
    record.line("s-1 has gone; the list is late");
    gone.end();
    sleep(ms(1900));
    relay.kill(record);
    let killed = Instant::now();
    sleep(ms(50));
    let other = Endpoint::start_at(gone.address, "s-9 (destination 8)", record, |_| ok_after(300));
    sleep(ms(50));
    discovery.change("s-1", entry("s-1", gone.address, "big-operators", "hall-b", 7, "DELETED"));
    sleep(ms(850));
    discovery.change("s-9", entry("s-9", other.address, "big-operators", "hall-b", 8, "SERVING"));
    let changed = Instant::now();
    sleep(ms(7200).saturating_sub(killed.elapsed()));
    let down = Instant::now();
    if trouble {
        discovery.set_down(true);
    }
    sleep(ms(7600).saturating_sub(killed.elapsed()));
    folder.empty_state();
    record.line("the folder is empty");
    let _relay = Relay::start(&Start { name: "second", ..start }, record);
    need(wait_until(ms(10_000), || is_ready(listen)), "the relay is not ready again");
    let ready = Instant::now();
    record.line("the relay is ready again");
    let messages = send_for(record, listen, "ticket-order", TIME, ms(7000), 150);
    sleep(ms(8000).saturating_sub(down.elapsed()));
    if trouble {
        discovery.set_down(false);
    }
    let last = messages.iter().map(|message| message.sent).max().unwrap_or(ready);
    sleep((last + ms(TIME + 500)).saturating_duration_since(Instant::now()));
    // The change counts as told 6 s after discovery had it; this counts from the ready that came later.
    let limit = ready.max(changed + ms(6000)) + DRAIN_GRACE + HELD_UP + SLACK;
    lost_to_another(record, &messages, TIME, &own, &other, &discovery, limit) > 0
}
