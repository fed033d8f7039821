//! The relay's own program with a second front, for tests that need no stage round it. Each uses a part of what is here.
#![allow(dead_code)]
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

/// A relay that runs until it is dropped.
pub struct Program {
    pub child: Child,
    /// What it logs from its readiness on.
    pub lines: Lines<BufReader<ChildStdout>>,
    /// Where its second front listens.
    pub address: SocketAddr,
}

impl Program {
    /// Starts it with a file of its own and waits until its second front is ready.
    pub async fn start(file: &Path, log: &str) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_onyxglade"));
        command.env_clear().env("ONYXGLADE_LOG", log).stdout(Stdio::piped()).kill_on_drop(true);
        let mut child = command.arg("--config").arg(file).spawn().expect("the relay");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        loop {
            let line = lines.next_line().await.expect("a log").expect("it starts");
            if line.contains("push front is ready") {
                let at = line.split("listen=").nth(1).and_then(|at| at.trim().parse().ok());
                return Program { child, lines, address: at.expect("an address") };
            }
        }
    }
}
