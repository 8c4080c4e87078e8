//! `hallkeel-hollow`: hollow daemons in one process, which measure what each role costs as the site grows.

mod configuration;
mod controllers;
mod fleet;
mod fleet_tables;
mod lease_owner;
mod meter;
mod request_path;
mod scaler;
mod synthetic_site;
mod wire;
mod wire_daemons;
mod wire_gateways;

use clap::{Parser, Subcommand};
use std::path::PathBuf;

#[global_allocator]
static ALLOCATOR: meter::Counting = meter::Counting;

/// Measures what each role costs as the site grows; each table is Markdown.
#[derive(Parser)]
#[command(name = "hallkeel-hollow", version)]
struct Flags {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// A gateway's own part of a call: bytes, lookup, election, frames.
    #[command(name = "carrier")]
    RequestPath,
    /// An owner by runners of a function and by functions.
    #[command(name = "keeper")]
    LeaseOwner,
    /// The scaler by instances and functions.
    Scaler,
    /// A change of the configuration by functions.
    Configuration,
    /// The consensus by controllers and size of value.
    Controllers,
    /// Keepers and scaler together in virtual time.
    Fleet {
        /// Gateways.
        #[arg(long, default_value_t = 50)]
        gateways: usize,
        /// Functions.
        #[arg(long, default_value_t = 2_000)]
        functions: usize,
        /// Instances.
        #[arg(long, default_value_t = 5_000)]
        instances: usize,
        /// Calls a second.
        #[arg(long, default_value_t = 6_600.0)]
        calls: f64,
        /// Virtual seconds that are measured, after as many that are not.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
    },
    /// Real controllers and real_gateways on loopback with hollow gateways.
    Wire {
        /// Hollow gateways.
        #[arg(long, default_value_t = 50)]
        gateways: usize,
        /// Functions of the configuration.
        #[arg(long, default_value_t = 2_000)]
        functions: usize,
        /// Instances that the platform lists, ten a function.
        #[arg(long, default_value_t = 0)]
        instances: usize,
        /// Controllers.
        #[arg(long, default_value_t = 5)]
        controllers: usize,
        /// Gateways.
        #[arg(long, default_value_t = 2)]
        real_gateways: usize,
        /// Seconds of each measured part.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
        /// Folder with the programs.
        #[arg(long)]
        programs: PathBuf,
    },
}

fn main() {
    match Flags::parse().command {
        Command::RequestPath => request_path::run(),
        Command::LeaseOwner => lease_owner::run(),
        Command::Scaler => scaler::run(),
        Command::Configuration => configuration::run(),
        Command::Controllers => controllers::run(),
        Command::Fleet {
            gateways,
            functions,
            instances,
            calls,
            seconds,
        } => fleet::run(gateways, functions, instances, calls, seconds),
        Command::Wire {
            gateways,
            functions,
            instances,
            controllers,
            real_gateways,
            seconds,
            programs,
        } => {
            let size = wire::Size {
                gateways,
                functions,
                instances,
                controllers,
                real_gateways,
                seconds,
            };
            wire::run(&size, &programs);
        }
    }
}
