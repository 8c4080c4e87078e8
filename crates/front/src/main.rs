//! `hallkeel-front`: the data plane. It accepts calls over HTTP and forwards them to runners.

mod attempts;
mod callers;
mod claims;
mod continuations;
mod operators;
mod peer_view;
mod shared;
mod unresolved_claims;
mod update;

#[cfg(test)]
#[path = "../tests/unit/unresolved_claims.rs"]
mod unresolved_claims_tests;

use clap::Parser;
use configuration::{read_settings, DaemonSettingsError, FrontSettings};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Forwards calls to runners.
///
/// Settings come from a TOML file, from flags, or from both; flags win.
/// Exit codes: 0 stopped as asked, 1 a port could not be opened, 2 bad settings.
#[derive(Parser, Serialize)]
#[command(name = "hallkeel-front", version)]
struct Flags {
    /// File with settings
    #[arg(long)]
    #[serde(skip)]
    settings: Option<PathBuf>,
    /// Name of this front, unique in the cluster
    #[arg(long)]
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<String>,
    /// District (zone) of this front
    #[arg(long = "district", value_name = "DISTRICT")]
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "district")]
    zone: Option<String>,
    /// Address for callers and operators
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
}

fn settings(flags: &Flags) -> Result<FrontSettings, DaemonSettingsError> {
    let settings: FrontSettings = read_settings(flags.settings.as_deref(), flags)?;
    settings.check()?;
    Ok(settings)
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let settings = match settings(&Flags::parse()) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("hallkeel-front: {fault}");
            return ExitCode::from(2);
        }
    };
    match shared::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hallkeel-front: {error}");
            ExitCode::from(1)
        }
    }
}
