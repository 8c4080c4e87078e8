use locality::Topology;
use policy::Policy;
use routing::ConfigurationFormat;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};

/// Names of the HTTP headers that carry a request's metadata. The platform sets them.
#[derive(Clone, Copy, Debug)]
pub struct HttpConventions {
    /// Header with the request id set by the client; a response repeats the id of its request.
    pub request_id: &'static str,
    /// Header with the milliseconds until the request times out.
    pub timeout: &'static str,
    /// Header with the runner's seal, which shows that a response was sent by a runner.
    pub seal: &'static str,
    /// Header with the id of the runner to which a request is addressed.
    pub runner: &'static str,
    /// Header with the API key of the client's tenant; it is not forwarded to runners.
    pub credential: &'static str,
    /// Header with the name of the client's tenant, set by the gateway.
    pub tenant: &'static str,
    /// Header by which a runner states that it did not run a request.
    pub not_run: &'static str,
    /// Header with the seconds after which a rejected client may retry.
    pub retry_after: &'static str,
    /// Whether a request with this method and target is a readiness check.
    pub is_readiness_check: fn(&str, &str) -> bool,
}

impl HttpConventions {
    /// Headers that show which request a message belongs to and who sent it. They are forwarded even if the sender's
    /// `Connection` header lists them.
    pub fn protected_headers(&self) -> [&'static str; 2] {
        [self.request_id, self.seal]
    }
}

/// Options of one gateway, read once at startup.
pub struct GatewayOptions {
    /// Name of the gateway, unique in the fleet.
    pub name: String,
    /// Zone in which the gateway runs.
    pub zone: String,
    /// All zones with their regions.
    pub topology: Topology,
    /// Parameters of its scheduling and connection policies.
    pub policy: Policy,
    /// Address at which it listens for clients.
    pub client_address: SocketAddr,
    /// Address at which it listens for readiness checks.
    pub readiness_address: SocketAddr,
    /// Address of the metrics endpoint; `None` disables it.
    pub metrics_address: Option<SocketAddr>,
    /// Address at which it listens for other gateways and for operators' status requests.
    pub peer_address: SocketAddr,
    /// IP address to listen on for other gateways, if it differs from the advertised one in `peer_address`.
    pub peer_listen_ip: Option<IpAddr>,
    /// Controllers known at startup; heartbeats of controllers name the others.
    pub controller_addresses: Vec<SocketAddr>,
    /// Names of the HTTP headers that it reads and writes.
    pub conventions: HttpConventions,
    /// Parser of the operators' documents.
    pub configuration_format: Box<dyn ConfigurationFormat>,
    /// Retries allowed per first attempt, summed over all gateways.
    pub retry_ratio: f64,
    /// Retries allowed in addition to the ratio, summed over all gateways.
    pub retry_slack: f64,
    /// Milliseconds from the stop signal until the process is killed.
    pub shutdown_grace_ms: u64,
    /// Milliseconds within which every gateway has applied an acknowledged change.
    pub apply_within_ms: u64,
    /// Milliseconds for which a job's result is retained; longer than any request may take.
    pub job_retention_ms: u64,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Rereads the settings and returns the controllers they name, or `None` if the file has not changed.
    pub reload_controllers: Box<dyn Fn() -> Option<Vec<SocketAddr>>>,
}

impl GatewayOptions {
    /// Address to listen on for other gateways.
    pub fn peer_listen_address(&self) -> SocketAddr {
        let ip = self.peer_listen_ip.unwrap_or(self.peer_address.ip());
        SocketAddr::new(ip, self.peer_address.port())
    }

    /// Interval of heartbeats to a controller, in milliseconds: a tenth of
    /// [`apply_within_ms`](Self::apply_within_ms).
    pub fn heartbeat_ms(&self) -> u64 {
        self.apply_within_ms / 10
    }

    /// Milliseconds without a message after which a peer is considered dead: four heartbeat intervals.
    pub fn silence_ms(&self) -> u64 {
        self.heartbeat_ms() * 4
    }

    /// Timeout for connecting to a runner, in milliseconds: a tenth of [`apply_within_ms`](Self::apply_within_ms).
    pub fn connect_timeout_ms(&self) -> u64 {
        self.apply_within_ms / 10
    }
}

/// Why the gateway could not start.
#[derive(Debug)]
pub enum GatewayError {
    /// A listening socket could not be bound.
    Listen(SocketAddr, io::Error),
    /// Signal handlers or the poller could not be set up.
    System(io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => {
                write!(formatter, "cannot listen at {address}: {error}")
            }
            Self::System(error) => write!(formatter, "operating system error: {error}"),
        }
    }
}

impl std::error::Error for GatewayError {}
