//! Plays one case of the review: `review-standin CASE ROOT RECORD`. With TROUBLE=0 it plays it without the disruption.
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
mod case_hook;
mod case_twice;
mod case_upgrade;
mod h2;
mod http1;
mod platform;
mod process;
mod push;

use process::Record;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: review-standin CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let root = Path::new(root);
    let played = match case.as_str() {
        "twice" => case_twice::play(root, &record, trouble),
        "hook" => case_hook::play(root, &record, trouble),
        "upgrade" => case_upgrade::play(root, &record, trouble),
        other => Err(std::io::Error::other(format!("there is no case {other}"))),
    };
    match played {
        Ok(faults) if faults.is_empty() => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(faults) => {
            faults.iter().for_each(|fault| record.line(format!("broken: {fault}")));
            faults.iter().take(5).for_each(|fault| println!("broken: {fault}"));
            record.say(format!("the rule was broken {} times", faults.len()));
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
