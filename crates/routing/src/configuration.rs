use std::fmt;

/// One whole description of what is served. It is taken entire or refused entire.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfiguration {
    /// The operator's own version, which only rises.
    pub version: u64,
    /// Bindings (routes).
    pub bindings: Vec<Binding>,
    /// Functions.
    pub functions: Vec<Function>,
    /// What clients may send.
    pub limits: Limits,
}

/// One binding (route): requests for a host whose path begins with a prefix go to a function.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Binding {
    /// Name, its own in the description.
    pub name: String,
    /// Host in lower case, without a port.
    pub host: String,
    /// Prefix, with a slash at both ends.
    pub prefix: String,
    /// Place in [`RoutingConfiguration::functions`].
    pub function_index: usize,
    /// A request may run once at most.
    pub at_most_once: bool,
    /// Longest time that a request is held, in milliseconds.
    pub timeout_ms: u32,
    /// Time within which an answer is worth most, in milliseconds.
    pub latency_target_ms: u32,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most runners that one request may be sent to.
    pub max_attempts: u32,
    /// Regions that its requests must not leave; empty where any will do.
    pub allowed_regions: Vec<String>,
}

/// One function: what a runner of it needs and may carry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Function {
    /// Name.
    pub name: String,
    /// Memory that one runner takes on its worker, in megabytes.
    pub memory_mb: u64,
    /// Milliseconds that a start takes on the average.
    pub start_ms: u64,
    /// Most requests that one runner may hold at once.
    pub concurrency: u32,
    /// Most connections that one runner takes from all callers together.
    pub connections: u32,
    /// Path that tells whether a runner is well, where it has one.
    pub health_path: Option<String>,
    /// Milliseconds for which a runner stays cold after its start.
    pub warm_up_ms: u64,
    /// Requests a second that a cold runner bears; 0 where it is not told.
    pub warm_up_requests_per_s: f64,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Milliseconds that a whole request may take to arrive.
    pub header_timeout_ms: u64,
    /// Milliseconds that a connection may stay idle.
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

/// Why a document is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationError {
    /// It cannot be read whole.
    Unreadable(String),
    /// It can be read, and says something that may not be.
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

/// Port to the form in which operators write descriptions.
pub trait ConfigurationFormat {
    /// Reads and checks a whole document.
    fn parse(&self, document: &[u8]) -> Result<RoutingConfiguration, ConfigurationError>;
    /// Applies a change of named items to a description that was read before; the same as reading the whole new
    /// document, and cheaper.
    fn apply_change(
        &self,
        base: &RoutingConfiguration,
        change: &[u8],
    ) -> Result<RoutingConfiguration, ConfigurationError>;
    /// Applies a change of named items to a document; gives the whole new document.
    fn merge_change(&self, document: &[u8], change: &[u8]) -> Result<Vec<u8>, ConfigurationError>;
}
