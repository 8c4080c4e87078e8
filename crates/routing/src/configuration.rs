//! The operator's configuration of what is served, as the daemons use it.

use crate::tenants::TenantDirectory;
use std::collections::BTreeSet;
use std::fmt;

/// A configuration of what is served. It is applied as a whole or rejected as a whole.
///
/// This is the parsed form; `operator_commands::Configuration` is the stored document with its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfiguration {
    /// The operator's version, which only rises.
    pub version: u64,
    /// Bindings (routes).
    pub bindings: Vec<Binding>,
    /// Functions.
    pub functions: Vec<Function>,
    /// What clients may send.
    pub limits: Limits,
    /// Who may send requests; none where the operators name no tenants, so that everybody may.
    pub tenants: Option<TenantDirectory>,
}

/// A binding (route): requests for a host whose path begins with a prefix go to a function.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Binding {
    /// Name, unique in the configuration.
    pub name: String,
    /// Host in lower case, without a port.
    pub host: String,
    /// Prefix, with a slash at both ends.
    pub prefix: String,
    /// Index into [`RoutingConfiguration::functions`].
    pub function_index: usize,
    /// Whether a request may run once at most.
    pub at_most_once: bool,
    /// Milliseconds after which a request times out.
    pub timeout_ms: u32,
    /// Latency target in milliseconds: a response within it is worth most.
    pub latency_target_ms: u32,
    /// Priority; 0 goes first.
    pub priority: u8,
    /// Most attempts of one request, each at another runner.
    pub max_attempts: u32,
    /// Regions that its requests must not leave; empty where all are allowed.
    pub allowed_regions: Vec<String>,
    /// Whether it takes requests without a key where there are tenants.
    pub is_public: bool,
}

/// A function: what a runner of it needs, and what it can take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Function {
    /// Name.
    pub name: String,
    /// Memory that one runner takes on its worker, in megabytes.
    pub memory_mb: u64,
    /// Average milliseconds from a runner's start until it is up.
    pub start_ms: u64,
    /// Most requests in flight at one runner.
    pub concurrency: u32,
    /// Most connections that one runner takes from all callers together.
    pub connections: u32,
    /// Path of the health check, where there is one.
    pub health_path: Option<String>,
    /// Milliseconds after its start in which a runner warms up (slow start).
    pub warm_up_ms: u64,
    /// Requests a second that a runner takes while it warms up; 0 where the operator gives none.
    pub warm_up_requests_per_s: f64,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most bytes of a request's header section.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Milliseconds within which a request must have arrived completely.
    pub header_timeout_ms: u64,
    /// Milliseconds after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Why a document is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationError {
    /// It cannot be parsed.
    Unreadable(String),
    /// It can be parsed, and violates a rule.
    Invalid(String),
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(formatter, "it cannot be read: {reason}"),
            Self::Invalid(reason) => write!(formatter, "it may not be: {reason}"),
        }
    }
}

impl std::error::Error for ConfigurationError {}

/// The format in which operators write configurations; implemented by the platform's crate.
pub trait ConfigurationFormat {
    /// Parses and checks a document.
    fn parse(&self, document: &[u8]) -> Result<RoutingConfiguration, ConfigurationError>;
    /// Applies a change of named items to a parsed configuration. The result is the same as parsing the document with
    /// the change merged in, and cheaper.
    fn apply_change(
        &self,
        base: &RoutingConfiguration,
        change: &[u8],
    ) -> Result<RoutingConfiguration, ConfigurationError>;
    /// Names of the parts of a document that nothing here understands, such as `routes.colour`. They are without effect. A format
    /// that takes all parts has none.
    fn unknown_parts(&self, _document: &[u8]) -> BTreeSet<String> {
        BTreeSet::new()
    }
    /// The same for a change of named items, with the names that its parts have in the whole document.
    fn unknown_parts_of_change(&self, _change: &[u8]) -> BTreeSet<String> {
        BTreeSet::new()
    }
    /// Merges a change of named items into a document; gives the complete new document.
    fn merge_change(&self, document: &[u8], change: &[u8]) -> Result<Vec<u8>, ConfigurationError>;
}
