//! Runs the relay's own program with a push front, for tests without the scenario language. Each of them uses only a part of
//! this module.
#![allow(dead_code)]
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

/// A relay process; killed when dropped.
pub struct Program {
    pub child: Child,
    /// Log lines after the one that reports readiness.
    pub lines: Lines<BufReader<ChildStdout>>,
    /// The address of the push front.
    pub address: SocketAddr,
}

impl Program {
    /// Starts the relay with a relay file and waits until its push front is ready.
    pub async fn start(file: &Path, log: &str) -> Program {
        Program::start_with(file, log, &[]).await
    }

    /// Starts the relay with a relay file and these environment variables.
    pub async fn start_with(file: &Path, log: &str, variables: &[(&str, &Path)]) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_onyxglade"));
        command.env_clear().env("ONYXGLADE_LOG", log).stdout(Stdio::piped()).kill_on_drop(true);
        command.envs(variables.iter().copied());
        let mut child = command.arg("--config").arg(file).spawn().expect("the relay");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        loop {
            let line = lines.next_line().await.expect("a log").expect("the relay starts");
            if line.contains("push front is ready") {
                let at = line.split("listen=").nth(1).and_then(|at| at.trim().parse().ok());
                return Program { child, lines, address: at.expect("an address") };
            }
        }
    }
}

/// The most memory that a process had resident, in MB.
pub fn peak_resident_mb(child: &Child) -> f64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", child.id().expect("it runs"))).expect("a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its peak");
    let kilobytes: f64 = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
    kilobytes * 1024.0 / 1e6
}
