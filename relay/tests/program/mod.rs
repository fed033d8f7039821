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
        let mut command = Command::new(env!("CARGO_BIN_EXE_onyxglade"));
        command.env_clear().env("ONYXGLADE_LOG", log).stdout(Stdio::piped()).kill_on_drop(true);
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
