use figment::providers::{Format, Serialized, Toml};
use figment::Figment;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// An error in a daemon's settings, in one sentence.
#[derive(Debug)]
pub struct DaemonSettingsError(pub String);

impl fmt::Display for DaemonSettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "settings: {}", self.0)
    }
}

impl std::error::Error for DaemonSettingsError {}

/// Settings of `hallkeel-front`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// Name of this front, unique in the deployment.
    pub name: String,
    /// Availability zone that it runs in.
    #[serde(rename = "district")]
    pub zone: String,
    /// Listen address for callers and operators (HTTP).
    pub http: SocketAddr,
    /// Listen address for the other daemons.
    pub wire: SocketAddr,
    /// Address at which the other daemons reach this one, if it differs from `wire`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Wire addresses of the three cores with a disk.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of concurrent attempts of this front.
    #[serde(default = "default_attempts")]
    #[serde(rename = "tries_max")]
    pub max_attempts: usize,
    /// Maximum number of concurrent client connections.
    #[serde(default = "default_connections")]
    pub connections_max: usize,
}

/// Settings of `hallkeel-core`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoreSettings {
    /// Name of this core, unique in the deployment.
    pub name: String,
    /// Availability zone that it runs in.
    #[serde(rename = "district")]
    pub zone: String,
    /// Listen address for operators (HTTP).
    pub http: SocketAddr,
    /// Listen address for the other daemons.
    pub wire: SocketAddr,
    /// Address at which the other daemons reach this one, if it differs from `wire`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Wire addresses of the three cores with a disk; at the first start these form the voter set.
    pub seeds: Vec<SocketAddr>,
    /// Directory of the persistent data.
    pub data: PathBuf,
    /// Address of the platform's API.
    pub platform: SocketAddr,
}

fn default_attempts() -> usize {
    256
}

fn default_connections() -> usize {
    2_048
}

/// Reads settings from a file, if one is given; command-line flags override its values.
pub fn read_settings<T: DeserializeOwned>(
    file: Option<&Path>,
    flags: impl Serialize,
) -> Result<T, DaemonSettingsError> {
    let mut figment = Figment::new();
    if let Some(path) = file {
        if !path.is_file() {
            return Err(DaemonSettingsError(format!(
                "no file at {}",
                path.display()
            )));
        }
        figment = figment.merge(Toml::file_exact(path));
    }
    figment
        .merge(Serialized::defaults(flags))
        .extract()
        .map_err(|validation_error| DaemonSettingsError(validation_error.to_string()))
}

fn check_common(name: &str, zone: &str, seeds: &[SocketAddr]) -> Result<(), DaemonSettingsError> {
    for (field, text) in [("name", name), ("district", zone)] {
        let is_valid = !text.is_empty()
            && text.len() <= 64
            && text
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_');
        if !is_valid {
            return Err(DaemonSettingsError(format!(
                "{field} must be 1 to 64 letters, digits, '-' or '_', found {text:?}"
            )));
        }
    }
    let mut distinct = seeds.to_vec();
    distinct.sort();
    distinct.dedup();
    if distinct.len() != 3 || seeds.len() != 3 {
        return Err(DaemonSettingsError(format!(
            "seeds must be three different addresses, found {}",
            seeds.len()
        )));
    }
    Ok(())
}

impl FrontSettings {
    /// Address at which the other daemons reach this one.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.wire)
    }

    /// Checks the constraints that the types cannot express.
    pub fn check(&self) -> Result<(), DaemonSettingsError> {
        check_common(&self.name, &self.zone, &self.seeds)?;
        if self.max_attempts == 0 || self.connections_max == 0 {
            return Err(DaemonSettingsError(
                "tries_max and connections_max must be above zero".into(),
            ));
        }
        Ok(())
    }
}

impl CoreSettings {
    /// Address at which the other daemons reach this one.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.wire)
    }

    /// Checks the constraints that the types cannot express.
    pub fn check(&self) -> Result<(), DaemonSettingsError> {
        check_common(&self.name, &self.zone, &self.seeds)
    }
}
