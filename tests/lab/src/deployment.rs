use configuration::{Bounds, Configuration, FunctionSpec, RequestKind, Zone, ZoneState};
use figment::providers::{Format, Toml};
use figment::Figment;
use serde::Deserialize;
use std::fmt;
use std::path::Path;

/// Why the lab stopped.
#[derive(Debug)]
pub enum LabError {
    /// A check was broken.
    Broken(String),
    /// Arguments or a file are no good.
    Input(String),
    /// The fleet did not come up.
    Fleet(String),
}

impl LabError {
    /// The process's exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Broken(_) => 1,
            Self::Input(_) => 2,
            Self::Fleet(_) => 3,
        }
    }
}

impl fmt::Display for LabError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(text) | Self::Input(text) | Self::Fleet(text) => formatter.write_str(text),
        }
    }
}

/// A whole deployment in one file: machines, workers, functions and their traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// First of the ports that are used on loopback.
    pub base_port: u16,
    /// How far the platform's lists lag, in milliseconds.
    pub list_lag_ms: u64,
    /// Names of the zones.
    #[serde(rename = "districts")]
    pub zones: Vec<String>,
    /// Zone of each core.
    pub cores: Vec<String>,
    /// Zone of each front.
    pub fronts: Vec<String>,
    /// Workers in each zone.
    pub workers_each: usize,
    /// Memory of each worker.
    pub worker_memory_mb: u64,
    /// Kinds of requests, the most urgent first.
    pub kinds: Vec<RequestKind>,
    /// Groups of functions.
    pub groups: Vec<Group>,
    /// Streams of calls.
    pub streams: Vec<Stream>,
    /// Bounds for the configuration.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Functions that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Names are this and a number.
    pub prefix: String,
    /// How many.
    pub count: usize,
    /// As in the listing.
    pub memory_mb: u64,
    /// As in the listing.
    pub start_ms: u64,
    /// As in the listing.
    pub concurrency: u32,
    /// As in the listing.
    pub budget_ms: u64,
    /// As in the listing.
    pub kinds: Vec<String>,
    /// How long the stand-in runner works on one request, in milliseconds, within a third of it.
    pub pace_ms: u64,
}

/// A stream of calls of one kind over a group's functions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Kind of its requests.
    pub kind: String,
    /// Prefix of the group.
    pub group: String,
    /// Calls a second over all functions of the group.
    pub rate: f64,
    /// Calls that all come within the first half second of a rush.
    pub crowd: usize,
    /// Whether its callers ask again at once, and often, when they are turned away.
    #[serde(default)]
    pub is_hasty: bool,
}

impl Deployment {
    /// Reads a deployment file.
    pub fn read(path: &Path) -> Result<Self, LabError> {
        if !path.is_file() {
            return Err(LabError::Input(format!("no file at {}", path.display())));
        }
        let read: Result<Self, _> = Figment::from(Toml::file_exact(path)).extract();
        let deployment =
            read.map_err(|fault| LabError::Input(format!("{}: {fault}", path.display())))?;
        let faults = configuration::check(&deployment.configuration());
        if !faults.is_empty() {
            let text = format!("{}: {faults:?}", path.display());
            return Err(LabError::Input(text));
        }
        Ok(deployment)
    }

    /// Names of a group's functions.
    pub fn functions(&self, prefix: &str) -> Vec<String> {
        let group = self.groups.iter().find(|group| group.prefix == prefix);
        let count = group.map_or(0, |group| group.count);
        (0..count)
            .map(|number| format!("{prefix}-{number:03}"))
            .collect()
    }

    /// The group of a function.
    pub fn group_of(&self, function: &str) -> Option<&Group> {
        let prefix = function.rsplit_once('-')?.0;
        self.groups.iter().find(|group| group.prefix == prefix)
    }

    /// The configuration that operators would put.
    pub fn configuration(&self) -> Configuration {
        let function_specs = self.groups.iter().flat_map(|group| {
            let names = self.functions(&group.prefix).into_iter();
            names.map(|name| FunctionSpec {
                name,
                memory_mb: group.memory_mb,
                start_ms: group.start_ms,
                concurrency: group.concurrency,
                budget_ms: group.budget_ms,
                kinds: group.kinds.clone(),
            })
        });
        let zones = self.zones.iter().map(|name| Zone {
            name: name.clone(),
            state: ZoneState::Open,
        });
        Configuration {
            function_specs: function_specs.collect(),
            priority_order: self.kinds.clone(),
            zones: zones.collect(),
            bounds: Bounds {
                worker_memory_mb: self.worker_memory_mb,
                ..self.bounds.clone()
            },
        }
    }
}
