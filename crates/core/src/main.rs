//! `hallkeel-core`: the control plane. It votes on the registers that hold configuration, plan and idempotency
//! claims, tracks fronts, workers and runners, and runs the scaler.

mod identity;
mod operators;
mod platform;
mod puts;
mod repair;
mod scaler_role;
mod scaling;
mod set;
mod shared;
mod store;
mod update;
mod voter_membership;
mod voting;
mod witness;

use clap::Parser;
use configuration::{read_settings, CoreSettings, DaemonSettingsError};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Keeps hallkeel's state and scales its functions.
///
/// Settings come from a TOML file, from flags, or from both; flags win.
/// Exit codes: 0 stopped as asked, 1 a port or the data folder could not be opened, 2 bad settings
/// or a data folder that is not this daemon's.
#[derive(Parser, Serialize)]
#[command(name = "hallkeel-core", version)]
struct Flags {
    /// File with settings
    #[arg(long)]
    #[serde(skip)]
    settings: Option<PathBuf>,
    /// Name of this core, unique in the cluster
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<String>,
    /// District (zone) of this core
    #[arg(long = "district", value_name = "DISTRICT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "district")]
    zone: Option<String>,
    /// Address of the operator API
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    http: Option<SocketAddr>,
    /// Address for connections from the other daemons
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    wire: Option<SocketAddr>,
    /// Address at which the other daemons reach this one, if it differs from --wire
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    advertise: Option<SocketAddr>,
    /// Wire addresses of the three cores, comma-separated
    #[arg(long, value_delimiter = ',')]
    #[serde(skip_serializing_if = "Option::is_none")]
    seeds: Option<Vec<SocketAddr>>,
    /// Folder for persistent data
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    data: Option<PathBuf>,
    /// Address of the platform's API
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    platform: Option<SocketAddr>,
}

fn settings(flags: &Flags) -> Result<CoreSettings, DaemonSettingsError> {
    let settings: CoreSettings = read_settings(flags.settings.as_deref(), flags)?;
    settings.check()?;
    Ok(settings)
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let settings = match settings(&Flags::parse()) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("hallkeel-core: {fault}");
            return ExitCode::from(2);
        }
    };
    match shared::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(shared::CoreError::UnusableDataFolder(reason)) => {
            eprintln!("hallkeel-core: {reason}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("hallkeel-core: {error}");
            ExitCode::from(1)
        }
    }
}
