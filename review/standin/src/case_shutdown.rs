//! SIGTERM to a push front under load: requests that it has read and not answered as it ends.
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::h2::Client;
use crate::process::Record;
use crate::push::Push;

const CONNECTIONS: usize = 4;
/// Requests that are open on a connection at a time.
const OPEN: usize = 4;
const TTL: u32 = 20;

pub fn play(root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Vec<String>> {
    let push = Push::start(root, record, 2000, Duration::from_millis(5))?;
    let mut relay = push.relay("relay")?;
    push.connect()?.close();
    let clients = (0..CONNECTIONS).map(|_| push.connect()).collect::<io::Result<Vec<Client>>>()?;
    let start = Instant::now();
    let (mut terminated, mut next) = (None, 0);
    loop {
        let now = Instant::now();
        if trouble && terminated.is_none() && now >= start + Duration::from_secs(2) {
            record.say("SIGTERM: a planned restart");
            relay.signal("TERM");
            terminated = Some(now);
        }
        let ending = !trouble && now >= start + Duration::from_secs(6);
        for (connection, client) in clients.iter().enumerate().filter(|(_, client)| client.ended().is_none())
        {
            while !ending && client.open() < OPEN {
                next += 1;
                let body = format!("order-{next}");
                // An error means that the connection has just ended: the submitter stops using it.
                if client.post(&format!("/order/{connection}"), TTL, &body).is_err() {
                    break;
                }
            }
        }
        let all_ended = clients.iter().all(|client| client.ended().is_some());
        if all_ended || ending && clients.iter().all(|client| client.open() == 0) {
            break;
        }
        if now >= start + Duration::from_secs(15) {
            return Err(io::Error::other("the connections neither end nor are answered"));
        }
        sleep(Duration::from_millis(1));
    }
    if trouble {
        match relay.wait(Duration::from_secs(4)) {
            Some(status) => record.say(format!("the relay has ended: {status}")),
            None => return Err(io::Error::other("the relay does not end within 4 s")),
        }
    }

    let seen = push.seen.lock().unwrap();
    let mut faults = Vec::new();
    let (mut sent, mut answered, mut unread, mut ran) = (0, 0, 0, 0);
    for (connection, client) in clients.iter().enumerate() {
        if let Some((at, why)) = client.ended() {
            record.line_at(at, format!("connection {connection} has ended: {why}"));
        }
        for request in client.requests() {
            sent += 1;
            let body = &request.body;
            match (&request.answered, request.read) {
                (Some((at, status, _)), _) => {
                    answered += 1;
                    record
                        .line_at(request.written, format!("{body}: answered {status} at {}", record.at(*at)));
                }
                _ if request.turned_away => record.line_at(request.written, format!("{body}: turned away")),
                (None, None) => {
                    unread += 1;
                    record.line_at(request.written, format!("{body}: not known to be read; not counted"));
                }
                (None, Some(read)) => {
                    let runs = seen.runs.get(body).map_or(0, Vec::len);
                    ran += usize::from(runs > 0);
                    let text =
                        format!("{body}: read by {}, never answered, ran {runs} times", record.at(read));
                    record.line_at(request.written, &text);
                    faults.push(text);
                }
            }
        }
    }
    record.say(format!(
        "{sent} orders sent, {answered} answered, {unread} not known to be read, {} read and never answered, {ran} of them ran",
        faults.len()
    ));
    if answered < 100 {
        return Err(io::Error::other("too few orders were answered"));
    }
    Ok(faults)
}
