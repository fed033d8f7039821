//! An upgrade of a relay that has both fronts.
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::platform::{Platform, lost};
use crate::process::Record;
use crate::push::Push;

pub fn play(root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Vec<String>> {
    let push = Push::start(root, record, 4, Duration::from_millis(100))?;
    let mut platform = Platform::start(root, record, &[Duration::from_millis(300); 2], 8, 40)?;
    platform.arguments = push.arguments();
    let (mut relay, admin) = platform.relay("first")?;
    if !platform.says_ready(admin, Duration::from_secs(10)) || !platform.in_use(Duration::from_secs(10)) {
        return Err(io::Error::other("the relay does not start"));
    }
    let mut messages = Vec::new();
    let mut hand_in = |count: usize| {
        for number in 0..count {
            let id = format!("{:04}", messages.len() + 1);
            messages.push(platform.hand_in(&id, "ticket-order", 1 + number % 2, Duration::from_secs(12)));
        }
        messages.len()
    };
    hand_in(4);
    sleep(Duration::from_millis(500));
    let mut faults = Vec::new();
    let mut second = None;
    if trouble {
        let (process, admin) = platform.relay("second")?;
        record.say("upgrade: the second process is started");
        if !platform.says_ready(admin, Duration::from_secs(6)) {
            return Err(io::Error::other("the second process does not say that it is ready"));
        }
        record.say("upgrade: the second process says that it is ready");
        second = Some(process);
    }
    hand_in(20);
    if trouble {
        record.say("upgrade: SIGTERM to the first process");
        relay.signal("TERM");
        let ended = relay.wait(Duration::from_millis(3700));
        record.say(format!("upgrade: the first process has ended: {ended:?}"));
    }
    sleep(Duration::from_secs(3));
    if let Some(status) = second.as_mut().and_then(|second| second.wait(Duration::ZERO)) {
        let text = format!("the second process has ended after it said that it was ready: {status}");
        record.say(&text);
        faults.push(text);
    }
    let end = messages.iter().map(|message| message.deadline).max().expect("messages were sent");
    sleep((end + Duration::from_millis(400)).saturating_duration_since(Instant::now()));
    let taken = messages.iter().filter(|message| matches!(message.answer, 200 | 202)).count();
    let lost = lost(&platform, record, &messages);
    record.say(format!("{} orders sent, {taken} taken on, {} lost", messages.len(), lost.len()));
    faults.extend(lost);
    if taken < messages.len() / 2 {
        return Err(io::Error::other("too few orders were taken on"));
    }
    Ok(faults)
}
