//! The command line.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

use onyxglade::backlog::report;
use onyxglade::{config, import, run, tls};

/// Hands messages on to partner systems that it does not control.
///
/// Without a command it runs. The platform's front is on when BALANCER_CONFIG is set, the second front when the file
/// that --config names has a table [push]. SIGHUP reads all configuration anew, SIGTERM winds down within 3.5 s.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Line {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Subcommand)]
enum Command {
    /// Run the fronts that are configured (the default)
    Run(Run),
    /// Read and check a configuration: our own file (TOML) or the platform's (JSON). Each fault is told with its key;
    /// the exit code is 0 where there is none, else 2
    Check { file: PathBuf },
    /// Show the other instances as a running relay sees them
    Instances {
        /// The relay's second address
        address: SocketAddr,
        /// As the JSON that it told
        #[arg(long)]
        json: bool,
    },
    /// Show what waits on disk at a running relay
    Backlog {
        /// The relay's second address
        address: SocketAddr,
        /// Only for the destination with this number
        #[arg(long)]
        dest: Option<u64>,
        /// As the JSON that it told
        #[arg(long)]
        json: bool,
    },
    /// Make an authority and certificates for trying out TLS: authority.pem, server.pem and client.pem with their keys
    MakeCertificates {
        folder: PathBuf,
        /// Names that they are for, besides localhost and 127.0.0.1
        #[arg(long = "name")]
        names: Vec<String>,
    },
    /// Print our own file made of nginx's upstream and location blocks; what is not carried over is told beside it
    ImportNginx { file: PathBuf },
}

#[derive(Args)]
struct Run {
    /// Our own file, such as deploy/push.toml
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// What is logged, such as `info` or `onyxglade=debug`
    #[arg(long, env = "ONYXGLADE_LOG", default_value = "info", value_name = "FILTER")]
    log: String,
    /// How a line of the log is written
    #[arg(long, env = "ONYXGLADE_LOG_FORMAT", default_value = "text", value_name = "FORMAT")]
    log_format: LogFormat,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Time, level, place and fields in a line
    Text,
    /// The same as a JSON object
    Json,
}

fn main() -> ExitCode {
    let line = Line::parse();
    match line.command {
        None => start(line.run),
        Some(Command::Run(run)) => start(run),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Instances { address, json }) => instances(address, json),
        Some(Command::Backlog { address, dest, json }) => backlog(address, dest, json),
        Some(Command::MakeCertificates { folder, names }) => make_certificates(&folder, &names),
        Some(Command::ImportNginx { file }) => import_nginx(&file),
    }
}

fn start(told: Run) -> ExitCode {
    // A filter that cannot be read must not keep a relay from its work.
    let filter = EnvFilter::try_new(&told.log);
    let fault = filter.as_ref().err().map(ToString::to_string);
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter.unwrap_or_else(|_| EnvFilter::new("info")))
        .with_ansi(false);
    match told.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).with_current_span(false).init(),
    }
    if let Some(fault) = fault {
        tracing::warn!(filter = told.log, fault, "ONYXGLADE_LOG: no such filter; info is logged");
    }
    match actix_rt::System::new().block_on(run::run(told.config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(run::Fault::Configuration(fault)) => {
            tracing::error!("{fault}");
            ExitCode::from(2)
        }
        Err(run::Fault::Other(fault)) => {
            tracing::error!("{fault}");
            ExitCode::FAILURE
        }
    }
}

fn instances(address: SocketAddr, json: bool) -> ExitCode {
    match actix_rt::System::new().block_on(onyxglade::instances::fetch_view(address)) {
        Ok(view) => {
            print!("{}", if json { format!("{view}\n") } else { onyxglade::instances::format_view(&view) });
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("{address}: {fault}");
            ExitCode::from(2)
        }
    }
}

fn backlog(address: SocketAddr, destination: Option<u64>, json: bool) -> ExitCode {
    match actix_rt::System::new().block_on(report::ask(address, destination)) {
        Ok(told) if json => {
            println!("{}", serde_json::to_string_pretty(&told).expect("a report has only plain values"));
            ExitCode::SUCCESS
        }
        Ok(told) => {
            print!("{}", report::table(&told));
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("{address}: {fault}");
            ExitCode::from(2)
        }
    }
}

fn make_certificates(folder: &Path, names: &[String]) -> ExitCode {
    match tls::generate_certificates(folder, names) {
        Ok(written) => {
            written.iter().for_each(|path| println!("{}", path.display()));
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(2)
        }
    }
}

fn check(file: &Path) -> ExitCode {
    match config::check(file) {
        Ok(summary) => {
            println!("{}: sound: {summary}", file.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{}: {fault}", file.display()));
            ExitCode::from(2)
        }
    }
}

/// Prints the file of ours, and beside it what was not carried over.
fn import_nginx(file: &Path) -> ExitCode {
    match import::import_file(file) {
        Ok((text, remarks)) => {
            remarks.iter().for_each(|remark| eprintln!("{}: {remark}", file.display()));
            match std::io::stdout().write_all(text.as_bytes()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::FAILURE,
            }
        }
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::FAILURE
        }
    }
}
