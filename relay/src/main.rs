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

/// Exit code if another process uses a state folder or an address that this one needs.
const EXIT_IN_USE: u8 = 3;

/// Relays messages to partner systems outside its control.
///
/// Without a command, runs the relay. The platform front is enabled if BALANCER_CONFIG is set, the push front if the
/// file given with --config has a table [push]. SIGHUP reloads the configuration, SIGTERM shuts down within 3.5 s.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: Run,
}

#[derive(Subcommand)]
enum Command {
    /// Run the configured fronts (the default)
    Run(Run),
    /// Check a configuration file: the relay's own (TOML) or the platform's (JSON). Prints each error with its key;
    /// exits with 0 if there are none, else with 2
    Check { file: PathBuf },
    /// Show the other instances as seen by a running relay
    Instances {
        /// The relay's admin address
        address: SocketAddr,
        /// Print JSON instead of a table
        #[arg(long)]
        json: bool,
    },
    /// Show the messages queued on disk by a running relay
    Backlog {
        /// The relay's admin address
        address: SocketAddr,
        /// Show only the destination with this number
        #[arg(long)]
        dest: Option<u64>,
        /// Print JSON instead of a table
        #[arg(long)]
        json: bool,
    },
    /// Create a certificate authority and certificates for trying out TLS: authority.pem, server.pem and client.pem, each
    /// with its key
    MakeCertificates {
        folder: PathBuf,
        /// Host name in the certificates, besides localhost and 127.0.0.1; may be repeated
        #[arg(long = "name")]
        names: Vec<String>,
    },
    /// Convert upstream and location blocks of an nginx configuration to the relay's own format, on standard output; parts
    /// that cannot be converted are reported on standard error
    ImportNginx { file: PathBuf },
}

#[derive(Args)]
struct Run {
    /// The relay's own configuration file, such as deploy/push.toml
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Log filter, such as `info` or `onyxglade=debug`
    #[arg(long, env = "ONYXGLADE_LOG", default_value = "info", value_name = "FILTER")]
    log: String,
    /// Log format
    #[arg(long, env = "ONYXGLADE_LOG_FORMAT", default_value = "text", value_name = "FORMAT")]
    log_format: LogFormat,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Time, level, target and fields on one line
    Text,
    /// The same as one JSON object per line
    Json,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => start(cli.run),
        Some(Command::Run(run)) => start(run),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Instances { address, json }) => instances(address, json),
        Some(Command::Backlog { address, dest, json }) => backlog(address, dest, json),
        Some(Command::MakeCertificates { folder, names }) => make_certificates(&folder, &names),
        Some(Command::ImportNginx { file }) => import_nginx(&file),
    }
}

fn start(args: Run) -> ExitCode {
    // An invalid filter must not prevent the relay from running.
    let filter = EnvFilter::try_new(&args.log);
    let error = filter.as_ref().err().map(ToString::to_string);
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter.unwrap_or_else(|_| EnvFilter::new("info")))
        .with_ansi(false);
    match args.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).with_current_span(false).init(),
    }
    if let Some(error) = error {
        tracing::warn!(
            filter = args.log,
            fault = error,
            "ONYXGLADE_LOG: the filter cannot be parsed; logging at level info"
        );
    }
    match actix_rt::System::new().block_on(run::run(args.config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(run::Error::Configuration(message)) => {
            tracing::error!("{message}");
            ExitCode::from(2)
        }
        Err(run::Error::InUse(message)) => {
            tracing::error!("{message}");
            ExitCode::from(EXIT_IN_USE)
        }
        Err(run::Error::Other(message)) => {
            tracing::error!("{message}");
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
        Err(error) => {
            eprintln!("{address}: {error}");
            ExitCode::from(2)
        }
    }
}

fn backlog(address: SocketAddr, destination: Option<u64>, json: bool) -> ExitCode {
    match actix_rt::System::new().block_on(report::fetch(address, destination)) {
        Ok(report) if json => {
            println!("{}", serde_json::to_string_pretty(&report).expect("a report can be serialized"));
            ExitCode::SUCCESS
        }
        Ok(report) => {
            print!("{}", report::table(&report));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{address}: {error}");
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
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

fn check(file: &Path) -> ExitCode {
    match config::check(file) {
        Ok(summary) => {
            println!("{}: valid: {summary}", file.display());
            ExitCode::SUCCESS
        }
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{}: {error}", file.display()));
            ExitCode::from(2)
        }
    }
}

/// Prints the converted file to standard output, and what was not converted to standard error.
fn import_nginx(file: &Path) -> ExitCode {
    match import::import_file(file) {
        Ok((text, diagnostics)) => {
            diagnostics.iter().for_each(|diagnostic| eprintln!("{}: {diagnostic}", file.display()));
            match std::io::stdout().write_all(text.as_bytes()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::FAILURE,
            }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
