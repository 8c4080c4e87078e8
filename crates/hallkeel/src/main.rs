//! `hallkeel`: the operator's tool over the whole fleet.

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

/// The operator's tool over a whole hallkeel fleet.
///
/// Exit codes: 0 done, 1 refused, stale or undecided, 2 bad arguments or files, 3 no core answered.
#[derive(Parser)]
#[command(name = "hallkeel", version)]
struct Flags {
    /// Addresses of the cores' operator ports, with commas between
    #[arg(long, env = "HALLKEEL_CORES", value_delimiter = ',', global = true)]
    cores: Vec<SocketAddr>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the whole fleet: daemons, versions, duty, functions and runners
    Status {
        /// Print everything as JSON
        #[arg(long)]
        json: bool,
        /// Show every runner too
        #[arg(long)]
        runners: bool,
    },
    /// Show the fleet again and again until Ctrl-C
    Watch {
        /// Seconds between
        #[arg(long, default_value_t = 2)]
        every: u64,
    },
    /// Show gateways and controllers by what they tell at their wire addresses
    Fleet {
        /// Wire addresses of gateways and controllers
        daemons: Vec<SocketAddr>,
        /// Show what the scaler thinks of this function
        #[arg(long)]
        function: Option<String>,
        /// Print everything as JSON
        #[arg(long)]
        json: bool,
    },
    /// Show what each tenant has sent to these gateways: requests, those that were rejected, share
    Tenants {
        /// Wire addresses of gateways
        gateways: Vec<SocketAddr>,
        /// Print everything as JSON
        #[arg(long)]
        json: bool,
    },
    /// Print the blueprint in force
    Get,
    /// Hand over a whole blueprint
    Put {
        /// File with the blueprint as JSON
        file: PathBuf,
        /// Version that must be in force; without it the one in force now is taken
        #[arg(long)]
        expected: Option<u64>,
        /// Short note for the history
        #[arg(long, default_value = "")]
        note: String,
    },
    /// Check a blueprint without putting it
    Check {
        /// File with the blueprint as JSON
        file: PathBuf,
    },
    /// Show how the blueprint in force came to be
    History,
    /// Change fields of the blueprint in force: listings.sign-000.concurrency=4
    Change {
        /// Path and new value; the value is JSON, or else text
        #[arg(required = true)]
        fields: Vec<String>,
    },
    /// Take all work out of a district
    Evacuate {
        /// Name of the district
        #[arg(value_name = "DISTRICT")]
        zone: String,
    },
    /// Let work into a district again
    Reopen {
        /// Name of the district
        #[arg(value_name = "DISTRICT")]
        zone: String,
    },
    /// Let a front finish its work, hand its runners over and stop
    Drain {
        /// Name of the front
        front: String,
    },
    /// Tell why a function has these runners and quotas
    Explain {
        /// Name of the function
        function: String,
    },
    /// Show the disk machines whose majority decides, or put an empty core in the place of one
    Voters {
        #[command(subcommand)]
        action: VotersAction,
    },
    /// Print every daemon's counts as JSON
    Metrics,
}

#[derive(Subcommand)]
enum VotersAction {
    /// Show the voters, and whether each answers and votes
    List,
    /// Put an empty core in the place of a voter; both by wire address
    Replace {
        /// The voter that leaves
        old: SocketAddr,
        /// The empty core that takes its place
        new: SocketAddr,
    },
}

fn run(flags: Flags) -> Result<(), CliError> {
    // Only gateways and controllers are asked without cores.
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
    // SAFETY: nothing else runs yet; a reader that goes away then ends the tool quietly.
    unsafe {
        libc::signal(libc::SIGPIPE, libc::SIG_DFL);
    }
    match run(Flags::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("hallkeel: {fault}");
            ExitCode::from(fault.code())
        }
    }
}
