//! A hook that loops for ever on the messages for one partner, while messages for another one wait.
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::{Message, Platform, lost};
use crate::process::Record;

/// Messages for the partner that the hook has nothing to do with, and the time of each.
const WAITING: usize = 16;
const TIME: Duration = Duration::from_millis(4000);
/// Messages for the other partner: one each 100 ms, from one second on.
const OTHERS: u32 = 40;

/// The hook. It has nothing to say of any message; the loop ends at once if `condition` does not hold.
fn script(condition: &str) -> String {
    format!(
        "fn admit(job) {{
    if job.dest == 2 {{
        let regions = [];
        for number in 0..250 {{ regions.push(number); }}
        let known = regions;
        while {condition} {{ }}
    }}
}}
"
    )
}

pub fn play(root: &Path, record: &Arc<Record>, trouble: bool) -> io::Result<Vec<String>> {
    // The first partner takes a second for a call, the second one 0.3 s. Neither ever fails.
    let takes = [Duration::from_millis(1000), Duration::from_millis(300)];
    let mut platform = Platform::start(root, record, &takes, 8, 80)?;
    let path = |name: &str| platform.folder.0.join(name);
    std::fs::write(path("hook.rhai"), script(if trouble { "regions == known" } else { "regions != known" }))?;
    std::fs::write(path("own.toml"), format!("[hook]\nscript = \"{}\"\n", path("hook.rhai").display()))?;
    let arguments = format!("--config {}", path("own.toml").display());
    platform.arguments = arguments;
    let (_relay, admin) = platform.relay("relay")?;
    if !platform.says_ready(admin, Duration::from_secs(10)) || !platform.in_use(Duration::from_secs(10)) {
        return Err(io::Error::other("the relay does not start"));
    }
    let start = Instant::now();
    let platform = Arc::new(platform);
    let mut messages: Vec<Message> = Vec::new();
    for number in 1..=WAITING {
        messages.push(platform.hand_in(&format!("a{number:03}"), "disruption-notice", 1, TIME));
    }
    let others: Vec<_> = (0..OTHERS)
        .map(|number| {
            let at = start + Duration::from_millis(1000) + Duration::from_millis(100) * number;
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let platform = platform.clone();
            thread::spawn(move || {
                platform.hand_in(&format!("b{number:03}"), "ticket-order", 2, Duration::from_secs(12))
            })
        })
        .collect();
    messages.extend(others.into_iter().filter_map(|other| other.join().ok()));
    let end = messages.iter().filter(|message| message.answer == 202).map(|message| message.deadline).max();
    let end = end.unwrap_or(start) + Duration::from_millis(400);
    thread::sleep(end.saturating_duration_since(Instant::now()));
    // What is late beyond any bound is found to be so, and not only late by the end of the play.
    thread::sleep(Duration::from_secs(3));
    let lost = lost(&platform, record, &messages);
    let taken = |class: char| {
        messages.iter().filter(|m| m.id.starts_with(class) && matches!(m.answer, 200 | 202)).count()
    };
    record.say(format!(
        "{WAITING} messages sent for the first partner, {} taken on; {OTHERS} sent for the second, {} taken on; {} lost",
        taken('a'),
        taken('b'),
        lost.len()
    ));
    if taken('a') < WAITING / 2 {
        return Err(io::Error::other("too few messages were taken on"));
    }
    Ok(lost)
}
