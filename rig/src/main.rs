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

/// Starts many processes of the relay and does harm to them, as a schedule says.
#[derive(Parser)]
#[command(version)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a schedule. The exit code is 0 if all promises were kept and all expectations held, 1 if not, 2 if it could not be
    /// played
    Play {
        file: PathBuf,
        /// Where result.json, history.json, schedule.toml and seconds.csv go
        #[arg(long)]
        out: PathBuf,
        /// In place of the file's
        #[arg(long)]
        seed: Option<u64>,
        #[command(flatten)]
        how: How,
    },
    /// Play a schedule several times, such as one that failed once
    Replay {
        file: PathBuf,
        #[arg(long, default_value_t = 3)]
        times: usize,
        #[command(flatten)]
        how: How,
    },
    /// Play schedules with faults drawn from seeds until one fails; that one is printed
    Hunt {
        /// The schedule to which faults are added
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Faults in each
        #[arg(long, default_value_t = 4)]
        faults: usize,
        #[command(flatten)]
        how: How,
    },
    /// Play schedules that are drawn whole from seeds: signals in series, system calls, disk and clock failing, some with a crowd. Each
    /// that fails is printed with its seed; the exit code is 1 if any did
    Soak {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds
        #[arg(long, default_value_t = 50)]
        seeds: u64,
        /// So many are played beside one another
        #[arg(long, default_value_t = 4)]
        at_once: usize,
        /// Where the schedules that failed go
        #[arg(long)]
        out: Option<PathBuf>,
        #[command(flatten)]
        how: How,
    },
    /// Shorten a schedule that fails; what is left is printed
    Shrink {
        file: PathBuf,
        /// At most so many plays
        #[arg(long, default_value_t = 40)]
        plays: usize,
        #[command(flatten)]
        how: How,
    },
}

#[derive(Args, Clone)]
struct How {
    /// The relay's program, in place of the one beside the rig's own
    #[arg(long)]
    program: Option<PathBuf>,
    /// The program of the version before, for schedules that have some of it
    #[arg(long)]
    before: Option<PathBuf>,
    /// No progress is shown
    #[arg(long)]
    quiet: bool,
}

fn main() -> ExitCode {
    match run(Line::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Play { file, out, seed, how } => {
            let mut schedule = Schedule::read(&file)?;
            schedule.seed = seed.unwrap_or(schedule.seed);
            let (outcome, history) = once(&schedule, &how, Some(&out))?;
            outcome.write(&schedule, &history, &out)?;
            tell(&outcome);
            Ok(outcome.held())
        }
        Command::Replay { file, times, how } => {
            let schedule = Schedule::read(&file)?;
            let mut held = true;
            for _ in 0..times {
                let (outcome, _) = once(&schedule, &how, None)?;
                tell(&outcome);
                held &= outcome.held();
            }
            Ok(held)
        }
        Command::Hunt { file, seed, seeds, faults, how } => {
            let base = Schedule::read(&file)?;
            for seed in seed..seed.saturating_add(seeds) {
                let drawn = draw(&base, seed, faults);
                let (outcome, _) = once(&drawn, &how, None)?;
                tell(&outcome);
                if !outcome.held() {
                    println!("{}", drawn.text());
                    return Ok(false);
                }
            }
            Ok(true)
        }
        Command::Soak { seed, seeds, at_once, out, how } => soak(seed, seeds, at_once, out.as_deref(), &how),
        Command::Shrink { file, plays, how } => {
            let schedule = Schedule::read(&file)?;
            let mut fault = None;
            let least = shrink(&schedule, plays, |shorter| match once(shorter, &how, None) {
                Ok((outcome, _)) => !outcome.held(),
                Err(why) => {
                    fault = Some(why);
                    false
                }
            });
            fault.map_or(Ok(()), Err)?;
            println!("{}", least.text());
            Ok(true)
        }
    }
}

/// Plays drawn schedules, several beside one another.
fn soak(first: u64, seeds: u64, at_once: usize, out: Option<&Path>, how: &How) -> Result<bool, String> {
    let how = How { quiet: true, ..how.clone() };
    let next = AtomicU64::new(first);
    let end = first.saturating_add(seeds);
    let failed = Mutex::new(Vec::new());
    let play_on = || -> Result<(), String> {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= end {
                return Ok(());
            }
            let drawn = soak::schedule(seed);
            let (outcome, history) = once(&drawn, &how, out)?;
            tell(&outcome);
            if !outcome.held() {
                failed.lock().expect("nobody panics with it").push(seed);
                if let Some(out) = out {
                    outcome.write(&drawn, &history, &out.join(&drawn.name))?;
                }
            }
        }
    };
    std::thread::scope(|scope| {
        let players: Vec<_> = (0..at_once.max(1)).map(|_| scope.spawn(play_on)).collect();
        players.into_iter().try_for_each(|player| player.join().expect("no panic"))
    })?;
    let mut failed = failed.into_inner().expect("nobody panics with it");
    failed.sort_unstable();
    println!("soak: {seeds} seeds from {first}, {} failed: {failed:?}", failed.len());
    Ok(failed.is_empty())
}

/// Plays a schedule once; the relays' folders are kept below `out` if it fails.
fn once(schedule: &Schedule, how: &How, out: Option<&Path>) -> Result<(Outcome, History), String> {
    let present = how.program.clone().map_or_else(relay::program, Ok)?;
    let programs = Programs { present, before: how.before.clone() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let folder = tempfile::tempdir().map_err(|e| format!("a folder for the relays: {e}"))?;
    let played = LocalSet::new().block_on(&runtime, play(schedule, &programs, folder.path(), !how.quiet));
    if played.as_ref().map_or(true, |(outcome, _)| !outcome.held()) && out.is_some() {
        eprintln!("the relays' folders are kept: {}", folder.keep().display());
    }
    played
}

fn tell(outcome: &Outcome) {
    for (name, why) in &outcome.promises_broken {
        println!("not kept: {name}: {why}");
    }
    for why in &outcome.expectations_not_held {
        println!("not held: {why}");
    }
    println!("{}", outcome.line());
}
