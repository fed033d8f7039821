//! Hosts slatethread couriers on the simulator's wire. Translation only: every decision is the library's.
#![forbid(unsafe_code)]

use slatethread_wirehost::wire;
use std::io::{self, BufRead, BufWriter, Write};

fn run() -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut output = BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let fault = |e: String| format!("line {}: {e}", number + 1);
        let line = line.map_err(|e| fault(e.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        if let Some(reply) = host.take_line(&line).map_err(fault)? {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| fault(e.to_string()))?;
        }
    }
    host.finish()
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("slatethread-wirehost: {fault}");
            std::process::ExitCode::FAILURE
        }
    }
}
