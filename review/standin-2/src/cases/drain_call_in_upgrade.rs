//! An operator's call `PUT /-/drain` reaches the old process of an upgrade, which says yes.
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Instant;

use super::{SLACK, need};
use crate::common::*;

/// Returns whether the rule was broken.
pub fn play(record: &Arc<Record>, trouble: bool) -> bool {
    let folder = Folder::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let clients = listener.local_addr().unwrap();
    // An ordinary partner: most calls take 0.3 s, one takes 2 s.
    let endpoint = Endpoint::start("e1", record, |ids| ok_after(if ids[0].ends_with("01") { 2000 } else { 300 }));
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
    sleep(ms(1000));
    let new = if trouble {
        let new = Relay::start(&Start { name: "new", admin: Some(second_admin), ..start }, record);
        need(wait_until(ms(6000), || admin_ready(second_admin)), "the new process is not ready");
        Some(new)
    } else {
        None
    };
    let (id, status) = submit(record, clients, "ticket-order", 7, 28_000, true);
    need(is_taken(status), "the first message was not taken on");
    need(endpoint.wait_for(&id, ms(2000)), "the first message was not sent");
    let told_to_end = Instant::now();
    if trouble {
        old.signal("TERM", record);
    }
    sleep(ms(500));
    let answer = request(first_admin, "PUT /-/drain", "", ms(1000));
    record.line(&format!("operator: PUT /-/drain at the old process's second address: {answer:?}"));
    let mut said_yes = answer.is_some_and(|status| (200..300).contains(&status));
    if !said_yes && trouble {
        // The operator was told no: the call goes to the other process.
        let answer = request(second_admin, "PUT /-/drain", "", ms(1000));
        record.line(&format!("operator: PUT /-/drain at the new process's second address: {answer:?}"));
        said_yes = answer.is_some_and(|status| (200..300).contains(&status));
    }
    need(said_yes, "nobody said yes to the drain");
    let drained = Instant::now();
    let mut ready = 0;
    while drained.elapsed() < ms(7000) {
        if trouble && told_to_end.elapsed() >= ms(3700) && !old.has_ended() {
            old.kill(record);
        }
        let answer = request(clients, "GET /ready", "", ms(400));
        record.line(&format!("front: GET /ready {:.2} s after the yes: {answer:?}", drained.elapsed().as_secs_f64()));
        ready += u32::from(answer == Some(200) && drained.elapsed() > ms(4000) + SLACK);
        sleep(ms(100));
    }
    if ready > 0 {
        let (_, status) = submit(record, clients, "ticket-order", 7, 28_000, true);
        record.line(&format!("client: a message 7 s after the yes was answered {status:?}"));
    }
    record.line(&format!("/ready said yes {ready} times later than 4 s after the operator was told yes"));
    drop(new);
    ready > 0
}
