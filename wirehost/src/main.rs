//! Runs slatethread instances on the simulator's wire. It only translates: the library makes every decision.
#![forbid(unsafe_code)]

use slatethread_wirehost::wire;
use std::io::{self, BufRead, BufWriter, Write};

fn run() -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut output = BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let at_line = |e: String| format!("line {}: {e}", number + 1);
        let line = line.map_err(|e| at_line(e.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        if let Some(reply) = host.handle_line(&line).map_err(at_line)? {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| at_line(e.to_string()))?;
        }
    }
    host.finish()
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slatethread-wirehost: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
