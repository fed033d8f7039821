//! In an upgrade, a partner at its limit refuses a call of the old process and tells a wait.
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::{SLACK, need};
use crate::common::*;

/// Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    const WAIT: Duration = Duration::from_millis(1200);
    let folder = Folder::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clients = listener.local_addr().unwrap();
    let at_limit = Arc::new(AtomicBool::new(false));
    let limit = at_limit.clone();
    // Calls take 0.3 s; one that arrives while the partner is at its limit is refused after 0.1 s.
    let endpoint = Endpoint::start("e1", record, move |_| match limit.swap(false, Ordering::SeqCst) {
        true => Reply { hold: ms(100), status: 429, headers: "Retry-After: 1.200\r\n".into() },
        false => ok_after(300),
    });
    let discovery = Discovery::start(
        Mode::Asked,
        record,
        &[("s-1", entry("s-1", endpoint.address, "big-operators", "hall-b", 7, "SERVING"))],
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
        settings: KULKU,
    };
    let mut old = Relay::start(&start, record);
    need(wait_until(ms(10_000), || admin_ready(first_admin) && is_ready(clients)), "the relay is not ready");
    sleep(ms(500));
    let new = trouble.then(|| Relay::start(&Start { name: "new", admin: Some(second_admin), ..start }, record));
    if trouble {
        need(wait_until(ms(6000), || admin_ready(second_admin)), "the new process is not ready");
    }
    // Ordinary traffic: one message behind another.
    for _ in 0..8 {
        let (id, status) = submit(record, clients, "disruption-notice", 7, 6000, false);
        need(is_taken(status), "a message was not taken on");
        let answered = || endpoint.calls().iter().any(|call| call.ids.contains(&id) && call.over.is_some());
        need(wait_until(ms(3000), answered), "a message was not sent");
        sleep(ms(40));
    }
    at_limit.store(true, Ordering::SeqCst);
    submit(record, clients, "disruption-notice", 7, 6000, false);
    need(wait_until(ms(3000), || !at_limit.load(Ordering::SeqCst)), "no call arrived at the limit");
    let told_to_end = Instant::now();
    if trouble {
        old.signal("TERM", record);
    }
    let refused = || endpoint.calls().into_iter().find(|call| call.status == 429).and_then(|call| call.over);
    need(wait_until(ms(3000), || refused().is_some()), "no call was refused");
    let answered = refused().unwrap();
    for _ in 0..12 {
        submit(record, clients, "disruption-notice", 7, 6000, false);
        sleep(ms(100));
    }
    sleep(ms(3700).saturating_sub(told_to_end.elapsed()));
    if trouble && !old.has_ended() {
        old.kill(record);
    }
    drop(new);
    let (from, to) = (answered + ms(100) + SLACK, answered + WAIT - SLACK);
    let early: Vec<_> = endpoint.calls().into_iter().filter(|c| c.arrived > from && c.arrived < to).collect();
    for call in &early {
        let after = call.arrived.duration_since(answered).as_secs_f64();
        record.line(&format!("e1: {} arrived {after:.3} s into a wait of 1.200 s", call.ids.join(" ")));
    }
    !early.is_empty()
}
