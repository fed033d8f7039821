//! Command line of the test bench.
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;

use onyxglade_lab::capacity::simulated_instances::MemorySubject;
use onyxglade_lab::capacity::{self, Subject};
use onyxglade_lab::experiment::Experiment;
use onyxglade_lab::report::{Outcome, compare};
use onyxglade_lab::{play, relay};

/// Runs experiments with emulated partners against the real relay and in virtual time.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment. The exit code is 0 if all expectations are met, 1 if not, 2 if it could not be run
    Run {
        file: PathBuf,
        /// Output folder for result.json, the time series and report.html
        #[arg(long)]
        out: PathBuf,
        /// Run in virtual time only
        #[arg(long)]
        only_virtual: bool,
        /// Hide the progress bar
        #[arg(long)]
        quiet: bool,
    },
    /// Run a proxy that only forwards messages, configured by a relay file: the lower bound for cost
    /// comparisons
    Floor { file: PathBuf },
    /// Measure how costs grow with size and check the slopes against docs/capacity.toml. The exit code is 0
    /// if they are within their bounds, 1 if not, 2 if something could not be measured
    Capacity {
        /// Output folder for result.json and the plots
        #[arg(long)]
        out: PathBuf,
        /// Measure only this subject; may be given several times
        #[arg(long)]
        only: Vec<Subject>,
        /// Measure the smaller sizes only, which takes about a minute
        #[arg(long)]
        quick: bool,
        /// Seed of all random draws
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A bound that is listed as a known failure: it is judged and printed, and the exit code is that of all others;
        /// may be given several times
        #[arg(long, value_name = "BOUND")]
        known_failure: Vec<String>,
    },
    /// Internal step of `capacity` that needs its own process: allocates the given objects and prints the
    /// bytes they take
    #[command(hide = true)]
    Hold {
        #[arg(value_enum)]
        held: MemorySubject,
        /// Number of objects
        size: usize,
        seed: u64,
    },
    /// Compare two results side by side
    Compare {
        /// A result.json file or the folder that contains it
        a: PathBuf,
        b: PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Run { file, out, only_virtual, quiet } => run(&file, &out, only_virtual, quiet),
        Command::Floor { file } => onyxglade_lab::baseline_proxy::run(&file).map(|()| true),
        Command::Capacity { out, only, quick, seed, known_failure } => {
            measure_capacity(&only, &capacity::Options { quick, out, seed }, &known_failure)
        }
        Command::Hold { held, size, seed } => {
            println!("{}", held.resident_bytes(size, seed));
            Ok(true)
        }
        Command::Compare { a, b } => read_outcome(&a).and_then(|a| {
            print!("{}", compare(&a, &read_outcome(&b)?));
            Ok(true)
        }),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}

fn measure_capacity(
    only: &[Subject],
    options: &capacity::Options,
    known_failures: &[String],
) -> Result<bool, String> {
    let report = capacity::run(only, options).map_err(|fault| fault.to_string())?;
    for verdict in report.verdicts.iter().filter(|verdict| !verdict.holds) {
        let (bound, value) = (&verdict.bound, verdict.value);
        println!(
            "bound not met: {} {:?} is {value}, least {}, most {}",
            bound.name, bound.part, bound.least, bound.most
        );
    }
    for name in known_failures {
        println!("{}", report.known_failure(name)?);
    }
    println!("{}", report.line());
    Ok(report.holds_but_for(known_failures))
}

fn read_outcome(path: &Path) -> Result<Outcome, String> {
    let path = if path.is_dir() { path.join("result.json") } else { path.to_owned() };
    let text = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn run(file: &Path, out: &Path, only_virtual: bool, quiet: bool) -> Result<bool, String> {
    let experiment = Experiment::read(file)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the async runtime: {e}"))?;
    let default_sizes = [experiment.dests()];
    let sizes: &[usize] = if experiment.sizes.is_empty() { &default_sizes } else { &experiment.sizes };
    let mut legs = Vec::new();
    for repeat in 0..experiment.repeats {
        for &size in sizes {
            if !only_virtual {
                let program = relay::program()?;
                let folder =
                    tempfile::tempdir().map_err(|e| format!("cannot create a folder for the relays: {e}"))?;
                let leg = LocalSet::new().block_on(
                    &runtime,
                    play::on_sockets(&experiment, &program, folder.path(), size, repeat, !quiet),
                );
                if leg.is_err() {
                    // Keep the folder: the relay's log in it helps to find the cause.
                    eprintln!(
                        "the run failed; the relays' folder is kept for inspection: {}",
                        folder.keep().display()
                    );
                }
                let mut leg = leg?;
                if experiment.relay.floor {
                    let lab = std::env::current_exe()
                        .map_err(|e| format!("cannot determine the path of the lab binary: {e}"))?;
                    let folder = tempfile::tempdir()
                        .map_err(|e| format!("cannot create a folder for the baseline proxy: {e}"))?;
                    let baseline = play::on_sockets(&experiment, &lab, folder.path(), size, repeat, !quiet);
                    leg.add_baseline(&LocalSet::new().block_on(&runtime, baseline)?);
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
        println!("expectation not met: {} is {value}, least {:?}, most {:?}", e.figure, e.least, e.most);
    }
    println!("{}", outcome.line());
    Ok(outcome.held())
}
