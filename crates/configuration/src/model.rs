use crate::Bounds;
use serde::{Deserialize, Serialize};

/// One whole description of what hallkeel serves. It is taken entire or refused entire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Every function that may be called.
    #[serde(rename = "listings")]
    pub function_specs: Vec<FunctionSpec>,
    /// Kinds of requests, the most urgent first.
    #[serde(rename = "ranking")]
    pub priority_order: Vec<RequestKind>,
    /// Zones and whether they take work.
    #[serde(rename = "districts")]
    pub zones: Vec<Zone>,
    /// Bounds that every other constant is a ratio of.
    #[serde(default)]
    pub bounds: Bounds,
}

/// One function: what a runner of it needs and may carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionSpec {
    /// Name that callers use.
    pub name: String,
    /// Memory that one runner takes on its worker, in megabytes.
    pub memory_mb: u64,
    /// How long a runner needs from its start until it can serve, in milliseconds.
    pub start_ms: u64,
    /// Most requests that one runner may carry at once.
    pub concurrency: u32,
    /// Longest budget of a request, in milliseconds; a runner gives up by then.
    pub budget_ms: u64,
    /// Kinds of requests that the function takes; the first is used when a caller names none.
    pub kinds: Vec<String>,
}

/// A kind of request. Its place in the ranking is its priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name that listings and callers use.
    pub name: String,
    /// Whether the work must never run twice.
    #[serde(default)]
    pub once: bool,
}

/// A zone of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name as in the daemons' settings and the platform's list of workers.
    pub name: String,
    /// Whether it takes work.
    #[serde(default)]
    pub state: ZoneState,
}

/// Whether a zone takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// Work goes there.
    #[default]
    Open,
    /// No new work goes there and its runners are moved away.
    Evacuated,
}

impl Configuration {
    /// The listing of a function.
    pub fn function_spec(&self, function: &str) -> Option<&FunctionSpec> {
        self.function_specs
            .iter()
            .find(|function_spec| function_spec.name == function)
    }

    /// The priority of a kind (0 is the most urgent) and the kind itself.
    pub fn kind(&self, name: &str) -> Option<(u8, &RequestKind)> {
        let place = self
            .priority_order
            .iter()
            .position(|kind| kind.name == name)?;
        Some((place as u8, &self.priority_order[place]))
    }

    /// Whether a zone takes work; one that is not named takes none.
    pub fn is_open(&self, zone: &str) -> bool {
        self.zones
            .iter()
            .any(|known| known.name == zone && known.state == ZoneState::Open)
    }

    /// The longest budget of any function, in milliseconds; 0 where none is listed.
    pub fn longest_budget_ms(&self) -> u64 {
        let budgets = self
            .function_specs
            .iter()
            .map(|function_spec| function_spec.budget_ms);
        budgets.max().unwrap_or(0)
    }

    /// An empty configuration: what is in force before the first put.
    pub fn empty() -> Self {
        Self {
            function_specs: Vec::new(),
            priority_order: Vec::new(),
            zones: Vec::new(),
            bounds: Bounds::default(),
        }
    }
}
