//! In an upgrade, a call with several messages is out at the old process; its answer takes all of them and tells a wait.
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{SLACK, need};
use crate::common::*;

/// Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    const WAIT: Duration = Duration::from_millis(970);
    let folder = Folder::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clients = listener.local_addr().unwrap();
    let endpoint = Endpoint::start("e1", record, |ids| match ids.len() {
        1 => ok_after(500),
        _ => Reply { hold: ms(1000), status: 200, headers: "Retry-After: 0.970\r\n".into() },
    });
    let discovery = Discovery::start(
        Mode::Pushed,
        record,
        &[("s-1", entry("s-1", endpoint.address, "distributor", "dar-es-salaam", 7, "SERVING"))],
    );
    let known = discovery.whole();
    let (first_admin, second_admin) = (free_address(), free_address());
    let start = Start {
        folder: &folder,
        name: "old",
        listen: clients,
        discovery: discovery.address,
        admin: Some(first_admin),
        passed: Some(&listener),
        known: &known,
        settings: DAR,
    };
    let mut old = Relay::start(&start, record);
    need(wait_until(ms(10_000), || admin_ready(first_admin) && is_ready(clients)), "the relay is not ready");
    sleep(ms(1000));
    let new = trouble.then(|| Relay::start(&Start { name: "new", admin: Some(second_admin), ..start }, record));
    if trouble {
        need(wait_until(ms(6000), || admin_ready(second_admin)), "the new process is not ready");
    }
    // The first message takes the destination's window; those behind it wait, and go in one call.
    for _ in 0..5 {
        let (_, status) = submit(record, clients, "status", 7, 8000, false);
        need(is_taken(status), "a message was not taken on");
    }
    let batch = || endpoint.calls().into_iter().find(|call| call.ids.len() > 1);
    need(wait_until(ms(3000), || batch().is_some()), "there was no call with several messages");
    let told_to_end = Instant::now();
    if trouble {
        old.signal("TERM", record);
    }
    need(wait_until(ms(3000), || batch().is_some_and(|call| call.over.is_some())), "the call was not answered");
    let answered = batch().and_then(|call| call.over).unwrap();
    sleep(ms(150));
    for _ in 0..4 {
        submit(record, clients, "status", 7, 8000, false);
        sleep(ms(100));
    }
    sleep(ms(3000));
    if !old.has_ended() && trouble {
        sleep(ms(3700).saturating_sub(told_to_end.elapsed()));
        old.kill(record);
    }
    drop(new);
    let (from, to) = (answered + ms(100) + SLACK, answered + WAIT - SLACK);
    let early: Vec<_> = endpoint.calls().into_iter().filter(|c| c.arrived > from && c.arrived < to).collect();
    for call in &early {
        let after = call.arrived.duration_since(answered).as_secs_f64();
        record.line(&format!("e1: {} arrived {after:.3} s into a wait of 0.970 s", call.ids.join(" ")));
    }
    !early.is_empty()
}
