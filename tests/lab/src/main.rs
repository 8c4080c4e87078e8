//! `hallkeel-lab`: stand-ins for the platform, its workers and the callers, and a whole fleet on
//! one machine. It is for trying and testing, never for operating.

mod callers;
mod context;
mod cost;
mod deployment;
mod failing_daemons;
mod failing_disks;
mod failing_platform;
mod failing_runners;
mod failing_speeds;
mod failing_system;
mod fault_injection;
mod fleet;
mod interface;
mod interface_operators;
mod judge;
mod keep_alive_callers;
mod load;
mod member;
mod operating;
mod planned;
mod platform;
mod relay;
mod replay;
mod run_log;
mod runner;
mod scenario;
mod scenarios;
mod session;
mod soak;
mod watch;
mod worker;

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Stand-ins and trials for hallkeel, on one machine.
///
/// Exit codes: 0 good, 1 a check was broken, 2 bad arguments or files, 3 the fleet did not come up.
#[derive(Parser)]
#[command(name = "hallkeel-lab", version)]
struct Flags {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Print the blueprint that a deployment file describes
    #[command(name = "blueprint")]
    Configuration {
        /// Deployment file
        deployment: PathBuf,
    },
    /// Bring a whole fleet up on loopback and keep it until Ctrl-C
    Fleet {
        /// Deployment file
        deployment: PathBuf,
        /// Folder for settings, data and logs; it is emptied first
        #[arg(long, default_value = "run/fleet")]
        dir: PathBuf,
    },
    /// Bring a fleet up, send steady traffic and then a rush, and judge it
    Run {
        /// Deployment file
        deployment: PathBuf,
        /// Seconds of steady traffic
        #[arg(long, default_value_t = 60)]
        steady: u64,
        /// Seconds of the rush
        #[arg(long, default_value_t = 60)]
        rush: u64,
        /// Folder for settings, data and logs; it is emptied first
        #[arg(long, default_value = "run/fleet")]
        dir: PathBuf,
        /// File that the report is written to; standard output where none is named
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Bring a failure about against a running fleet and judge what comes of it
    Scenario {
        /// Name of the scenario, or `all`; without it they are listed
        name: Option<String>,
        /// How often all are run
        #[arg(long, default_value_t = 1)]
        repeat: u32,
        /// Deployment file
        #[arg(long, default_value = "deploy/union.toml")]
        deployment: PathBuf,
        /// Folder for settings, data and logs; it is emptied first
        #[arg(long, default_value = "run/scenario")]
        dir: PathBuf,
        /// File that a line with the verdict and figures is added to
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Send a recorded HAR file's requests to a front on this machine, paced as recorded
    Replay {
        /// HAR 1.2 file
        file: PathBuf,
        /// The front's address
        #[arg(long)]
        front: SocketAddr,
    },
    /// Check every answer that callers and operators are promised, against real processes
    Interface {
        /// Deployment file
        #[arg(default_value = "deploy/small.toml")]
        deployment: PathBuf,
        /// Folder for settings, data and logs; it is emptied first
        #[arg(long, default_value = "run/interface")]
        dir: PathBuf,
    },
    /// Send some times a deployment's crowd and traffic, each to a fresh fleet
    Load {
        /// Deployment file
        deployment: PathBuf,
        /// Crowds from sleep, as factors of the deployment's own
        #[arg(long, value_delimiter = ',')]
        crowds: Vec<f64>,
        /// Sustained traffic, as factors of the deployment's own
        #[arg(long, value_delimiter = ',')]
        rates: Vec<f64>,
        /// Seconds of each
        #[arg(long, default_value_t = 20)]
        seconds: u64,
        /// Folder for settings, data and logs; it is emptied first
        #[arg(long, default_value = "run/load")]
        dir: PathBuf,
        /// File that the report is written to; standard output where none is named
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Measure what a front adds to a call, what a call costs, and what daemons take
    Cost {
        /// Deployment file
        #[arg(default_value = "deploy/cost.toml")]
        deployment: PathBuf,
        /// Folder for settings, data and logs; it is emptied first
        #[arg(long, default_value = "run/cost")]
        dir: PathBuf,
        /// File that the lines are added to; standard output where none is named
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Draw failures of all kinds from a seed, for as long as asked, and judge what comes of them
    Soak {
        /// Deployment file
        deployment: PathBuf,
        /// How long
        #[arg(long, default_value_t = 120)]
        seconds: u64,
        /// Seed of the course
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Folder for settings, data and logs; it is emptied first
        #[arg(long, default_value = "run/soak")]
        dir: PathBuf,
        /// File that a line with the verdict and figures is added to
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Run many seeds of the simulator
    Simulate {
        /// First seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// How many seeds
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
    },
    /// Stand in for the platform
    #[command(hide = true)]
    Platform {
        #[arg(long)]
        http: SocketAddr,
        #[arg(long)]
        workers: String,
        #[arg(long)]
        lag_ms: u64,
    },
    /// Stand in for a worker and its runners
    #[command(hide = true)]
    Worker {
        #[arg(long)]
        http: SocketAddr,
        #[arg(long)]
        deployment: PathBuf,
        #[arg(long = "ledger", value_name = "LEDGER")]
        run_log: PathBuf,
    },
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let result = match Flags::parse().command {
        Command::Configuration { deployment } => session::print_configuration(&deployment),
        Command::Fleet { deployment, dir } => session::keep_fleet(&deployment, &dir),
        Command::Run {
            deployment,
            steady,
            rush,
            dir,
            report,
        } => session::run(&deployment, steady, rush, &dir, report.as_deref()),
        Command::Scenario { name: None, .. } => scenario::list(),
        Command::Scenario {
            name: Some(name),
            repeat,
            deployment,
            dir,
            report,
        } if name == "all" => scenario::run_all(&deployment, &dir, report.as_deref(), repeat),
        Command::Scenario {
            name: Some(name),
            deployment,
            dir,
            report,
            ..
        } => scenario::run(&name, &deployment, &dir, report.as_deref()),
        Command::Replay { file, front } => replay::run(&file, front),
        Command::Interface { deployment, dir } => interface::run(&deployment, &dir),
        Command::Load {
            deployment,
            crowds,
            rates,
            seconds,
            dir,
            report,
        } => load::run(
            &deployment,
            &crowds,
            &rates,
            seconds,
            &dir,
            report.as_deref(),
        ),
        Command::Cost {
            deployment,
            dir,
            report,
        } => cost::run(&deployment, &dir, report.as_deref()),
        Command::Soak {
            deployment,
            seconds,
            seed,
            dir,
            report,
        } => soak::run(&deployment, seconds, seed, &dir, report.as_deref()),
        Command::Simulate { from, seeds } => session::simulate(from, seeds),
        Command::Platform {
            http,
            workers,
            lag_ms,
        } => platform::run(http, &workers, lag_ms),
        Command::Worker {
            http,
            deployment,
            run_log,
        } => worker::run(http, &deployment, &run_log),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("hallkeel-lab: {fault}");
            ExitCode::from(fault.code())
        }
    }
}
