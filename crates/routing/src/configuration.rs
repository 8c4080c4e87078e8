//! The operator's routing configuration, in the form that the daemons use.

use crate::tenants::TenantDirectory;
use std::collections::BTreeSet;
use std::fmt;

/// A routing configuration. It is applied or rejected as a whole.
///
/// This is the parsed form; `operator_commands::ConfigurationRecord` is the stored document with its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfiguration {
    /// Version assigned by the operator; it only increases.
    pub version: u64,
    /// Bindings (routes) of hosts and path prefixes to functions.
    pub bindings: Vec<Binding>,
    /// Functions.
    pub functions: Vec<Function>,
    /// Limits on clients' requests and connections.
    pub limits: Limits,
    /// Tenants that may send requests. `None` if the operators define no tenants; then everybody may send requests.
    pub tenants: Option<TenantDirectory>,
}

/// A binding (route): requests for a host whose path starts with a prefix are sent to a function.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Binding {
    /// Name, unique in the configuration.
    pub name: String,
    /// Host name in lower case, without a port.
    pub host: String,
    /// Path prefix, starting and ending with a slash.
    pub prefix: String,
    /// Index into [`RoutingConfiguration::functions`].
    pub function_index: usize,
    /// Whether a request may run at most once.
    pub at_most_once: bool,
    /// Request timeout in milliseconds.
    pub timeout_ms: u32,
    /// Latency target in milliseconds: responses within it have the highest value.
    pub latency_target_ms: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of attempts for one request, each at a different runner.
    pub max_attempts: u32,
    /// Regions to which its requests are restricted; empty if all regions are allowed.
    pub allowed_regions: Vec<String>,
    /// Whether it accepts requests without an API key even if tenants are defined.
    pub is_public: bool,
    /// Header in which clients name the jobs of their requests: copies of a job run once and share its response. `None` if no
    /// header has this meaning; then each request runs for itself.
    pub idempotency_header: Option<String>,
}

/// A function, with the resource needs and limits of its runners.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Function {
    /// Name of the function.
    pub name: String,
    /// Memory that one runner uses on its worker, in megabytes.
    pub memory_mb: u64,
    /// Average time in milliseconds from a runner's start until it is up.
    pub start_ms: u64,
    /// Maximum number of concurrent requests at one runner.
    pub concurrency: u32,
    /// Maximum number of connections that one runner accepts from all gateways together.
    pub connections: u32,
    /// Path of the health check, if there is one.
    pub health_path: Option<String>,
    /// Duration of a runner's warm-up (slow start) in milliseconds.
    pub warm_up_ms: u64,
    /// Requests per second that a runner can process during its warm-up; 0 if the operator does not specify a rate.
    pub warm_up_requests_per_s: f64,
}

/// Size and time limits for clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request's header section in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Time in milliseconds within which a request must be received completely.
    pub header_timeout_ms: u64,
    /// Time in milliseconds after which an idle connection is closed.
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

/// Why a configuration document is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationError {
    /// The document cannot be parsed.
    Unreadable(String),
    /// The document can be parsed but violates a rule.
    Invalid(String),
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => {
                write!(formatter, "it cannot be read: {reason}")
            }
            Self::Invalid(reason) => write!(formatter, "it may not be: {reason}"),
        }
    }
}

impl std::error::Error for ConfigurationError {}

/// The document format of operators' configurations, implemented by the `platform` crate.
pub trait ConfigurationFormat {
    /// Parses and validates a document.
    fn parse(&self, document: &[u8]) -> Result<RoutingConfiguration, ConfigurationError>;
    /// Applies a change of individual items to a parsed configuration. The result equals that of parsing the document with the
    /// change merged in, at a lower cost.
    fn apply_change(
        &self,
        base: &RoutingConfiguration,
        change: &[u8],
    ) -> Result<RoutingConfiguration, ConfigurationError>;
    /// Names of the unknown parts of a document, such as `routes.colour`, which are ignored. Empty by default, for formats
    /// without unknown parts.
    fn unknown_parts(&self, _document: &[u8]) -> BTreeSet<String> {
        BTreeSet::new()
    }
    /// Names of the unknown parts of a change, as they are named in the whole document.
    fn unknown_parts_of_change(&self, _change: &[u8]) -> BTreeSet<String> {
        BTreeSet::new()
    }
    /// Merges a change of individual items into a document and returns the complete new document.
    fn merge_change(&self, document: &[u8], change: &[u8]) -> Result<Vec<u8>, ConfigurationError>;
}
