//! Plays one case of the second review: `review-standin-2 CASE RECORD`. The exit code is 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. With `TROUBLE=0` the same is done without the disruption.
mod cases;
mod common;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else { common::cannot_run("usage: review-standin-2 CASE RECORD") };
    let record = common::Record::create(Path::new(record));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let broken = match case.as_str() {
        "drain-call-in-upgrade" => cases::drain_call_in_upgrade::play(&record, trouble),
        "silent-agent-at-start" => cases::silent_agent_at_start::play(&record, trouble),
        "wait-in-upgrade" => cases::wait_in_upgrade::play(&record, trouble),
        "emptied-folder" => cases::emptied_folder::play(&record, trouble),
        "lists-between-instances" => cases::lists_between_instances::play(&record, trouble),
        "killed-successor" => cases::killed_successor::play(&record, trouble),
        other => common::cannot_run(&format!("there is no case {other}")),
    };
    record.line(if broken { "the rule was broken" } else { "the rule held" });
    println!("{case}: {}", if broken { "the rule was broken" } else { "the rule held" });
    std::process::exit(i32::from(broken));
}
