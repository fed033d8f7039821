//! The rig's command line.
use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::task::LocalSet;

use onyxglade_lab::relay;
use onyxglade_rig::draw::draw;
use onyxglade_rig::history::History;
use onyxglade_rig::play::{Programs, play};
use onyxglade_rig::report::Outcome;
use onyxglade_rig::schedule::Schedule;
use onyxglade_rig::shrink::shrink;
use onyxglade_rig::soak;

/// Runs many processes of the relay and injects faults according to a schedule.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a schedule. The exit code is 0 if all invariants and expectations held, 1 if not, 2 if the schedule could not be played
    Play {
        file: PathBuf,
        /// Folder for result.json, history.json, schedule.toml and seconds.csv
        #[arg(long)]
        out: PathBuf,
        /// Seed to use instead of the file's
        #[arg(long)]
        seed: Option<u64>,
        #[command(flatten)]
        options: PlayOptions,
    },
    /// Play a schedule several times, such as one that failed once
    Replay {
        file: PathBuf,
        #[arg(long, default_value_t = 3)]
        times: usize,
        #[command(flatten)]
        options: PlayOptions,
    },
    /// Play schedules with faults drawn from consecutive seeds until one fails, and print that one
    Hunt {
        /// The schedule to which faults are added
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Number of faults added to each schedule
        #[arg(long, default_value_t = 4)]
        faults: usize,
        #[command(flatten)]
        options: PlayOptions,
    },
    /// Play schedules drawn entirely from seeds: series of signals, and faults of system calls, disk and clock, some with idle clients.
    /// Each failure is printed with its seed; the exit code is 1 if there was any
    Soak {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 50)]
        seeds: u64,
        /// Number of schedules played in parallel
        #[arg(long, default_value_t = 4)]
        at_once: usize,
        /// Folder for the schedules that failed
        #[arg(long)]
        out: Option<PathBuf>,
        #[command(flatten)]
        options: PlayOptions,
    },
    /// Shorten a schedule that fails, and print the result
    Shrink {
        file: PathBuf,
        /// Maximum number of plays
        #[arg(long, default_value_t = 40)]
        plays: usize,
        #[command(flatten)]
        options: PlayOptions,
    },
}

#[derive(Args, Clone)]
struct PlayOptions {
    /// Path of the relay's program; by default the one next to the rig's own
    #[arg(long)]
    program: Option<PathBuf>,
    /// Path of the previous version's program, for schedules in which some relays run it
    #[arg(long = "before", value_name = "BEFORE")]
    previous: Option<PathBuf>,
    /// Show no progress
    #[arg(long)]
    quiet: bool,
}

fn main() -> ExitCode {
    match run(CommandLine::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Play { file, out, seed, options } => {
            let mut schedule = Schedule::read(&file)?;
            schedule.seed = seed.unwrap_or(schedule.seed);
            let (outcome, history) = play_once(&schedule, &options, Some(&out))?;
            outcome.write(&schedule, &history, &out)?;
            print_outcome(&outcome);
            Ok(outcome.passed())
        }
        Command::Replay { file, times, options } => {
            let schedule = Schedule::read(&file)?;
            let mut passed = true;
            for _ in 0..times {
                let (outcome, _) = play_once(&schedule, &options, None)?;
                print_outcome(&outcome);
                passed &= outcome.passed();
            }
            Ok(passed)
        }
        Command::Hunt { file, seed, seeds, faults, options } => {
            let base = Schedule::read(&file)?;
            for seed in seed..seed.saturating_add(seeds) {
                let drawn = draw(&base, seed, faults);
                let (outcome, _) = play_once(&drawn, &options, None)?;
                print_outcome(&outcome);
                if !outcome.passed() {
                    println!("{}", drawn.to_toml());
                    return Ok(false);
                }
            }
            Ok(true)
        }
        Command::Soak { seed, seeds, at_once, out, options } => {
            soak(seed, seeds, at_once, out.as_deref(), &options)
        }
        Command::Shrink { file, plays, options } => {
            let schedule = Schedule::read(&file)?;
            let mut error = None;
            let shortest = shrink(&schedule, plays, |shorter| match play_once(shorter, &options, None) {
                Ok((outcome, _)) => !outcome.passed(),
                Err(why) => {
                    error = Some(why);
                    false
                }
            });
            error.map_or(Ok(()), Err)?;
            println!("{}", shortest.to_toml());
            Ok(true)
        }
    }
}

/// Plays drawn schedules, several in parallel.
fn soak(
    first: u64,
    seeds: u64,
    at_once: usize,
    out: Option<&Path>,
    options: &PlayOptions,
) -> Result<bool, String> {
    let options = PlayOptions { quiet: true, ..options.clone() };
    let next = AtomicU64::new(first);
    let end = first.saturating_add(seeds);
    let failed = Mutex::new(Vec::new());
    let play_seeds = || -> Result<(), String> {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= end {
                return Ok(());
            }
            let drawn = soak::schedule(seed);
            let (outcome, history) = play_once(&drawn, &options, out)?;
            print_outcome(&outcome);
            if !outcome.passed() {
                failed.lock().expect("no thread panics while holding the lock").push(seed);
                if let Some(out) = out {
                    outcome.write(&drawn, &history, &out.join(&drawn.name))?;
                }
            }
        }
    };
    std::thread::scope(|scope| {
        let players: Vec<_> = (0..at_once.max(1)).map(|_| scope.spawn(play_seeds)).collect();
        players.into_iter().try_for_each(|player| player.join().expect("players do not panic"))
    })?;
    let mut failed = failed.into_inner().expect("no thread panics while holding the lock");
    failed.sort_unstable();
    println!("soak: {seeds} seeds from {first}, {} failed: {failed:?}", failed.len());
    Ok(failed.is_empty())
}

/// Plays a schedule once. If it fails and `out` is given, the relays' temporary folders are kept.
fn play_once(
    schedule: &Schedule,
    options: &PlayOptions,
    out: Option<&Path>,
) -> Result<(Outcome, History), String> {
    let current = options.program.clone().map_or_else(relay::program, Ok)?;
    let programs = Programs { current, previous: options.previous.clone() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start the async runtime: {e}"))?;
    let folder = tempfile::tempdir().map_err(|e| format!("cannot create a folder for the relays: {e}"))?;
    let played = LocalSet::new().block_on(&runtime, play(schedule, &programs, folder.path(), !options.quiet));
    if played.as_ref().map_or(true, |(outcome, _)| !outcome.passed()) && out.is_some() {
        eprintln!("the relays' folders are kept in {}", folder.keep().display());
    }
    played
}

fn print_outcome(outcome: &Outcome) {
    for (name, why) in &outcome.violations {
        println!("invariant violated: {name}: {why}");
    }
    for why in &outcome.failed_expectations {
        println!("expectation failed: {why}");
    }
    println!("{}", outcome.summary_line());
}
