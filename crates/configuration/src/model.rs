use crate::Bounds;
use serde::{Deserialize, Serialize};

/// Everything that hallkeel serves, as one document. It is accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// All functions that may be called.
    #[serde(rename = "listings")]
    pub function_specs: Vec<FunctionSpec>,
    /// Kinds of requests, the most urgent first.
    #[serde(rename = "ranking")]
    pub priority_order: Vec<RequestKind>,
    /// Zones, and whether they accept requests.
    #[serde(rename = "districts")]
    pub zones: Vec<Zone>,
    /// System-wide limits, from which the daemons derive their times and shares.
    #[serde(default)]
    pub bounds: Bounds,
}

/// A function: what its runners need and how much load they may carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionSpec {
    /// Name by which callers address it.
    pub name: String,
    /// Memory of one runner on its worker, in megabytes.
    pub memory_mb: u64,
    /// Time from the start of a runner until it can serve, in milliseconds.
    pub start_ms: u64,
    /// Maximum number of concurrent requests of one runner.
    pub concurrency: u32,
    /// Maximum time budget of a request, in milliseconds; a runner gives up by then.
    pub budget_ms: u64,
    /// Kinds of requests that the function accepts; the first is the default.
    pub kinds: Vec<String>,
}

/// A kind of request. Its position in [`Configuration::priority_order`] is its priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name, used by functions and callers.
    pub name: String,
    /// Whether requests of this kind must never run twice.
    #[serde(default)]
    pub once: bool,
}

/// An availability zone of the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name, the same as in the daemons' settings and the platform's list of workers.
    pub name: String,
    /// Whether it accepts requests.
    #[serde(default)]
    pub state: ZoneState,
}

/// Whether a zone accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ZoneState {
    /// The zone gets requests.
    #[default]
    Open,
    /// The zone gets no new requests, and its runners are moved to other zones.
    Evacuated,
}

impl Configuration {
    /// Returns the specification of a function.
    pub fn function_spec(&self, function: &str) -> Option<&FunctionSpec> {
        self.function_specs
            .iter()
            .find(|function_spec| function_spec.name == function)
    }

    /// Returns the priority of a kind (0 is the most urgent) and the kind itself.
    pub fn kind(&self, name: &str) -> Option<(u8, &RequestKind)> {
        let index = self
            .priority_order
            .iter()
            .position(|kind| kind.name == name)?;
        Some((index as u8, &self.priority_order[index]))
    }

    /// Whether a zone accepts requests; a zone that is not in the configuration does not.
    pub fn is_open(&self, zone: &str) -> bool {
        self.zones
            .iter()
            .any(|known| known.name == zone && known.state == ZoneState::Open)
    }

    /// The longest budget of any function, in milliseconds; 0 if there are no functions.
    pub fn longest_budget_ms(&self) -> u64 {
        let budgets = self
            .function_specs
            .iter()
            .map(|function_spec| function_spec.budget_ms);
        budgets.max().unwrap_or(0)
    }

    /// An empty configuration, in force until an operator sets the first one.
    pub fn empty() -> Self {
        Self {
            function_specs: Vec::new(),
            priority_order: Vec::new(),
            zones: Vec::new(),
            bounds: Bounds::default(),
        }
    }
}
