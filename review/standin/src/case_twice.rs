//! A second start of the command beside a push front that runs, and a planned restart some seconds later.
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::process::{Record, wait_until};
use crate::push::Push;

/// Seconds that each order has.
const TTL: u32 = 20;
/// What is let pass behind a message's time: 300 ms, and 50 ms as for every time limit.
const SLACK: Duration = Duration::from_millis(350);
/// No notice is overdue from SIGTERM until so long after the relay is ready again.
const AFTER_READY: Duration = Duration::from_millis(1500);

pub fn play(root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Vec<String>> {
    let push = Push::start(root, record, 4, Duration::from_millis(100))?;
    let mut relay = push.relay("first")?;
    let client = push.connect()?;
    for number in 1..=24 {
        client.post(&format!("/order/{number}"), TTL, &format!("order-{number}"))?;
    }
    sleep(Duration::from_secs(1));
    if trouble {
        record.say("the command is started a second time beside the running process");
        let mut second = push.relay("second")?;
        match second.wait(Duration::from_secs(5)) {
            Some(status) => record.say(format!("the second process has ended: {status}")),
            None => record.say("the second process runs"),
        }
    }
    sleep(Duration::from_secs(2));
    for number in 25..=36 {
        client.post(&format!("/order/{number}"), TTL, &format!("order-{number}"))?;
    }
    if !wait_until(Duration::from_secs(2), || client.open() == 0) {
        return Err(io::Error::other("the orders are not answered"));
    }
    sleep(Duration::from_secs(1));
    record.say("SIGTERM: a planned restart");
    let Some(status) = relay.terminate() else { return Err(io::Error::other("the relay does not end")) };
    record.say(format!("the first process has ended: {status}"));
    sleep(Duration::from_millis(600));
    let _relay = push.relay("third")?;
    push.connect()?.close();
    let ready = Instant::now();
    record.say("the relay is ready again");

    let requests = client.requests();
    let last = requests.iter().map(|request| request.written).max().expect("orders were sent");
    let end = (last + Duration::from_secs(u64::from(TTL))).max(ready + AFTER_READY) + SLACK;
    sleep(end.saturating_duration_since(Instant::now()));

    let seen = push.seen.lock().unwrap();
    let mut faults = Vec::new();
    let (mut lost, mut twice) = (0, 0);
    for request in &requests {
        let body = &request.body;
        let runs = seen.runs.get(body).map_or(&[][..], |runs| runs);
        let (status, id) = request
            .answered
            .as_ref()
            .map_or((0, ""), |(_, status, location)| (*status, location.trim_start_matches("/message/")));
        let notice = seen.notices.get(id).and_then(|notices| notices.first());
        record.line(format!(
            "{body}: sent {}, answered {status} as {id}, ran {:?}, notice {:?}",
            record.at(request.written),
            runs.iter().map(|at| record.at(*at)).collect::<Vec<_>>(),
            notice.map(|(at, text)| format!("{} {text}", record.at(*at))),
        ));
        if runs.len() > 1 {
            twice += 1;
            faults.push(format!("{body} may never be repeated, and ran {} times", runs.len()));
        }
        if matches!(status, 201 | 202) && runs.is_empty() && notice.is_none() {
            lost += 1;
            faults.push(format!("{body} was accepted, and neither delivered nor ended by a notice"));
        }
    }
    let taken =
        requests.iter().filter(|r| r.answered.as_ref().is_some_and(|a| matches!(a.1, 201 | 202))).count();
    record.say(format!("{} orders sent, {taken} accepted, {twice} ran twice, {lost} lost", requests.len()));
    if taken < requests.len() / 2 {
        return Err(io::Error::other("too few orders were accepted"));
    }
    Ok(faults)
}
