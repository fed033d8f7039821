//! The laboratory's command line.
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;

use onyxglade_lab::capacity::simulated_instances::MemorySubject;
use onyxglade_lab::capacity::{self, Subject};
use onyxglade_lab::experiment::Experiment;
use onyxglade_lab::report::{Outcome, compare};
use onyxglade_lab::{play, relay};

/// Plays experiments with emulated partners against the real relay, and in virtual time.
#[derive(Parser)]
#[command(version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play an experiment. The exit code is 0 if its expectations held, 1 if not, 2 if it could not be played
    Run {
        file: PathBuf,
        /// Where result.json, the time series and report.html go
        #[arg(long)]
        out: PathBuf,
        /// Only in virtual time
        #[arg(long)]
        only_virtual: bool,
        /// No progress is shown
        #[arg(long)]
        quiet: bool,
    },
    /// Forward messages by a relay's file without deciding anything: the lower bound that costs are compared with
    Floor { file: PathBuf },
    /// Measure how costs grow with size, and hold the slopes against docs/capacity.toml. The exit code is 0 if they are
    /// within their bounds, 1 if not, 2 if something could not be measured
    Capacity {
        /// Where result.json and the plots go
        #[arg(long)]
        out: PathBuf,
        /// Measure only this; may be given several times
        #[arg(long)]
        only: Vec<Subject>,
        /// The smaller sizes only, about a minute
        #[arg(long)]
        quick: bool,
        /// Seed of all that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A part of `capacity` that needs a process of its own: hold something in memory, and print the bytes that it takes
    #[command(hide = true)]
    Hold {
        #[arg(value_enum)]
        held: MemorySubject,
        /// How many
        size: usize,
        seed: u64,
    },
    /// Put two results side by side
    Compare {
        /// A result.json, or the folder that it is in
        a: PathBuf,
        b: PathBuf,
    },
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Run { file, out, only_virtual, quiet } => run(&file, &out, only_virtual, quiet),
        Command::Floor { file } => onyxglade_lab::baseline_proxy::run(&file).map(|()| true),
        Command::Capacity { out, only, quick, seed } => {
            measure_capacity(&only, &capacity::Options { quick, out, seed })
        }
        Command::Hold { held, size, seed } => {
            println!("{}", held.resident_bytes(size, seed));
            Ok(true)
        }
        Command::Compare { a, b } => read(&a).and_then(|a| {
            print!("{}", compare(&a, &read(&b)?));
            Ok(true)
        }),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}

fn measure_capacity(only: &[Subject], options: &capacity::Options) -> Result<bool, String> {
    let report = capacity::run(only, options).map_err(|fault| fault.to_string())?;
    for verdict in report.verdicts.iter().filter(|verdict| !verdict.holds) {
        let (bound, value) = (&verdict.bound, verdict.value);
        println!(
            "not held: {} {:?} is {value}, least {}, most {}",
            bound.name, bound.part, bound.least, bound.most
        );
    }
    println!("{}", report.line());
    Ok(report.holds())
}

fn read(path: &Path) -> Result<Outcome, String> {
    let path = if path.is_dir() { path.join("result.json") } else { path.to_owned() };
    let text = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(file: &Path, out: &Path, only_virtual: bool, quiet: bool) -> Result<bool, String> {
    let experiment = Experiment::read(file)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let own = [experiment.dests()];
    let sizes: &[usize] = if experiment.sizes.is_empty() { &own } else { &experiment.sizes };
    let mut legs = Vec::new();
    for repeat in 0..experiment.repeats {
        for &size in sizes {
            if !only_virtual {
                let program = relay::program()?;
                let folder = tempfile::tempdir().map_err(|e| format!("a folder for the relays: {e}"))?;
                let leg = LocalSet::new().block_on(
                    &runtime,
                    play::on_sockets(&experiment, &program, folder.path(), size, repeat, !quiet),
                );
                if leg.is_err() {
                    // What the relay wrote is kept for whoever looks for the cause.
                    eprintln!("the relays' folder is kept: {}", folder.keep().display());
                }
                let mut leg = leg?;
                if experiment.relay.floor {
                    let own = std::env::current_exe().map_err(|e| format!("where the lab is: {e}"))?;
                    let folder =
                        tempfile::tempdir().map_err(|e| format!("a folder for the baseline proxy: {e}"))?;
                    let baseline = play::on_sockets(&experiment, &own, folder.path(), size, repeat, !quiet);
                    leg.beside(&LocalSet::new().block_on(&runtime, baseline)?);
                }
                legs.push(leg);
            }
            if experiment.virtual_time || only_virtual {
                legs.push(play::in_virtual_time(&experiment, size, repeat));
            }
        }
    }
    let outcome = Outcome::new(&experiment, legs);
    outcome.write(&experiment, out)?;
    for e in outcome.expectations.iter().filter(|e| !e.held) {
        let value = e.value.map_or("missing".into(), |v| format!("{v:.3}"));
        println!("not held: {} is {value}, least {:?}, most {:?}", e.figure, e.least, e.most);
    }
    println!("{}", outcome.line());
    Ok(outcome.held())
}
