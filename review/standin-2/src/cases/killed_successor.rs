//! In an upgrade the new process is killed behind the handover and started again, while the old one still has a call out.
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Instant;

use super::{SLACK, need};
use crate::common::*;

/// Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let folder = Folder::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clients = listener.local_addr().unwrap();
    // An ordinary partner: most calls take 0.35 s, the eleventh takes 1.15 s.
    let counter = AtomicUsize::new(0);
    let endpoint = Endpoint::start("e1", record, move |_| {
        ok_after(if counter.fetch_add(1, Ordering::SeqCst) == 10 { 1150 } else { 350 })
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
    for _ in 0..10 {
        let (id, status) = submit(record, clients, "ticket-order", 7, 28_000, true);
        need(is_taken(status), "a message was not taken on");
        let answered = || endpoint.calls().iter().any(|call| call.ids.contains(&id) && call.over.is_some());
        need(wait_until(ms(3000), answered), "a message was not sent");
        sleep(ms(60));
    }
    let mut new = Relay::start(&Start { name: "new", admin: Some(second_admin), ..start }, record);
    need(wait_until(ms(6000), || admin_ready(second_admin)), "the new process is not ready");
    let (id, status) = submit(record, clients, "ticket-order", 7, 28_000, true);
    need(is_taken(status), "the message was not taken on");
    need(endpoint.wait_for(&id, ms(2000)), "the message was not sent");
    let told_to_end = Instant::now();
    old.signal("TERM", record);
    need(wait_until(ms(3000), || is_ready(clients)), "the new process does not serve");
    record.line("the new process serves");
    let third = trouble.then(|| {
        sleep(ms(50));
        new.kill(record);
        sleep(ms(600));
        Relay::start(&Start { name: "third", admin: Some(second_admin), ..start }, record)
    });
    sleep(ms(3700).saturating_sub(told_to_end.elapsed()));
    if !old.has_ended() {
        old.kill(record);
    }
    sleep(ms(500));
    drop((new, third));
    let calls: Vec<_> = endpoint.calls().into_iter().filter(|call| call.ids.contains(&id)).collect();
    let copies = calls.iter().enumerate().filter(|(n, call)| {
        calls[..*n].iter().any(|earlier| earlier.over.is_none_or(|over| over > call.arrived + SLACK))
    });
    let copies = copies.count();
    record.line(&format!("{copies} calls with {id} arrived while an earlier one was out"));
    copies > 0
}
