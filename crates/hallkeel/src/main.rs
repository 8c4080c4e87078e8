//! `hallkeel`: the command line tool for operators of a fleet.

mod changes;
mod cores;
mod fleet;
mod fronts;
mod show;
mod tenants;
mod wire;

use clap::{Parser, Subcommand};
use cores::{CliError, Cores};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Command line tool for operators of a hallkeel fleet.
///
/// Exit codes: 0 done, 1 rejected, stale or undecided, 2 invalid arguments or files, 3 no daemon responded.
#[derive(Parser)]
#[command(name = "hallkeel", version)]
struct Flags {
    /// Addresses of the cores' operator ports, separated by commas
    #[arg(long, env = "HALLKEEL_CORES", value_delimiter = ',', global = true)]
    cores: Vec<SocketAddr>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the whole fleet: daemons, versions, scaling role, functions and runners
    Status {
        /// Print everything as JSON
        #[arg(long)]
        json: bool,
        /// Also show every runner
        #[arg(long)]
        runners: bool,
    },
    /// Show the status of the fleet periodically until Ctrl-C
    Watch {
        /// Interval in seconds
        #[arg(long, default_value_t = 2)]
        every: u64,
    },
    /// Show the status of gateways and controllers
    Fleet {
        /// Wire addresses of gateways and controllers
        daemons: Vec<SocketAddr>,
        /// Show only the scaler's status of this function
        #[arg(long)]
        function: Option<String>,
        /// Print everything as JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the usage of each tenant at these gateways: requests, rejected requests, share
    Tenants {
        /// Wire addresses of gateways
        gateways: Vec<SocketAddr>,
        /// Print everything as JSON
        #[arg(long)]
        json: bool,
    },
    /// Print the current configuration (blueprint)
    Get,
    /// Replace the whole configuration
    Put {
        /// File with the configuration as JSON
        file: PathBuf,
        /// Version that must be current for the change to apply; defaults to the current one
        #[arg(long)]
        expected: Option<u64>,
        /// Short note for the history
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Validate a configuration without applying it
    Check {
        /// File with the configuration as JSON
        file: PathBuf,
    },
    /// Show the history of the configuration
    History,
    /// Change fields of the current configuration: listings.sign-000.concurrency=4
    Change {
        /// Path and new value, path=value; a value that is not valid JSON is taken as text
        #[arg(required = true)]
        fields: Vec<String>,
    },
    /// Evacuate a district: move all work out of it
    Evacuate {
        /// Name of the district
        #[arg(value_name = "DISTRICT")]
        zone: String,
    },
    /// Reopen an evacuated district
    Reopen {
        /// Name of the district
        #[arg(value_name = "DISTRICT")]
        zone: String,
    },
    /// Drain a front: it finishes its work, hands over its runners and stops
    Drain {
        /// Name of the front
        front: String,
    },
    /// Explain why a function has its current runners and quotas
    Explain {
        /// Name of the function
        function: String,
    },
    /// Show the voters (the cores whose majority decides) or replace one
    Voters {
        #[command(subcommand)]
        action: VotersAction,
    },
    /// Print the metrics of every daemon as JSON
    Metrics,
}

#[derive(Subcommand)]
enum VotersAction {
    /// Show the voters, and whether each of them responds and votes
    List,
    /// Replace a voter with an empty core; both are given by wire address
    Replace {
        /// Voter to remove
        old: SocketAddr,
        /// Empty core that replaces it
        new: SocketAddr,
    },
}

fn run(flags: Flags) -> Result<(), CliError> {
    // `fleet` and `tenants` need no cores; all other commands return the error for an empty list.
    let cores = Cores::new(flags.cores);
    match flags.command {
        Command::Fleet {
            daemons,
            function,
            json,
        } => fleet::show(&daemons, function.as_deref(), json),
        Command::Tenants { gateways, json } => tenants::show(&gateways, json),
        Command::Status { json, runners } => show::status(&cores?, json, runners),
        Command::Watch { every } => show::watch(&cores?, every),
        Command::Get => changes::get(&cores?),
        Command::Put {
            file,
            expected,
            note,
        } => changes::put(&cores?, &file, expected, &note),
        Command::Check { file } => changes::check(&cores?, &file),
        Command::History => changes::history(&cores?),
        Command::Change { fields } => changes::change(&cores?, &fields),
        Command::Evacuate { zone } => changes::zone(&cores?, &zone, "evacuated"),
        Command::Reopen { zone } => changes::zone(&cores?, &zone, "open"),
        Command::Drain { front } => changes::drain(&cores?, &front),
        Command::Explain { function } => show::explain(&cores?, &function),
        Command::Voters {
            action: VotersAction::List,
        } => show::voters(&cores?),
        Command::Voters {
            action: VotersAction::Replace { old, new },
        } => changes::replace_voter(&cores?, old, new),
        Command::Metrics => show::metrics(&cores?),
    }
}

fn main() -> ExitCode {
    // SAFETY: no other thread runs yet. With the default action, a closed output pipe ends the tool without a panic.
    unsafe {
        libc::signal(libc::SIGPIPE, libc::SIG_DFL);
    }
    match run(Flags::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hallkeel: {error}");
            ExitCode::from(error.code())
        }
    }
}
