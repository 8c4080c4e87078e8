use locality::Topology;
use policy::Policy;
use routing::ConfigurationFormat;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};

/// Names by which clients and runners pass a request's metadata over HTTP. The platform sets them.
#[derive(Clone, Copy, Debug)]
pub struct HttpConventions {
    /// Header with the id that the client gave the request; a response bears the id of its request.
    pub request_id: &'static str,
    /// Header with the milliseconds until the request times out.
    pub timeout: &'static str,
    /// Header with the runner's seal, by which a response is known to come from a runner.
    pub seal: &'static str,
    /// Header with the id of the runner for which a request is meant.
    pub runner: &'static str,
    /// Header with the key of the client's tenant; only the gateway sees it.
    pub credential: &'static str,
    /// Header with the name of the client's tenant, which the gateway sets.
    pub tenant: &'static str,
    /// Header by which a runner states that it did not run a request.
    pub not_run: &'static str,
    /// Header with the seconds after which a rejected client may retry.
    pub retry_after: &'static str,
    /// Whether a method and target are a readiness check.
    pub is_readiness_check: fn(&str, &str) -> bool,
}

/// Configuration of one gateway, read once at the start.
pub struct GatewayOptions {
    /// Name of the gateway, unique in the fleet.
    pub name: String,
    /// Zone in which it stands.
    pub zone: String,
    /// The zones of the system with their regions.
    pub topology: Topology,
    /// Options of the policies by which it decides.
    pub policy: Policy,
    /// Address at which it listens for clients.
    pub client_address: SocketAddr,
    /// Address at which it listens for readiness checks.
    pub readiness_address: SocketAddr,
    /// Address at which it tells its figures; none where it tells none.
    pub metrics_address: Option<SocketAddr>,
    /// Address at which it listens for other gateways and for operators' status requests.
    pub peer_address: SocketAddr,
    /// The ip at which it listens for other gateways, where that is not the one of `peer_address` by which they know it.
    pub peer_listen_ip: Option<IpAddr>,
    /// Controllers that are known at the start; a controller's heartbeat names the others.
    pub controller_addresses: Vec<SocketAddr>,
    /// Names of the HTTP headers that it reads and writes.
    pub conventions: HttpConventions,
    /// Parser of the operators' documents.
    pub configuration_format: Box<dyn ConfigurationFormat>,
    /// Retries allowed per first attempt, over all gateways.
    pub retry_ratio: f64,
    /// Retries allowed beside the ratio, over all gateways.
    pub retry_slack: f64,
    /// Milliseconds from the signal to stop until the process is killed.
    pub shutdown_grace_ms: u64,
    /// Milliseconds within which an acknowledged change is in force at every gateway.
    pub apply_within_ms: u64,
    /// Milliseconds for which a job's result is retained, longer than any request lasts.
    pub job_retention_ms: u64,
    /// Memory that the process may take, in bytes.
    pub memory_bytes: u64,
    /// Most open connections.
    pub max_connections: usize,
    /// Reads the settings again: the controllers that they name now, or none where the file has not changed.
    pub reload_controllers: Box<dyn Fn() -> Option<Vec<SocketAddr>>>,
}

impl GatewayOptions {
    /// Where it listens for other gateways.
    pub fn peer_listen_address(&self) -> SocketAddr {
        let ip = self.peer_listen_ip.unwrap_or(self.peer_address.ip());
        SocketAddr::new(ip, self.peer_address.port())
    }

    /// Milliseconds between heartbeats to a controller: a tenth of [`apply_within_ms`](Self::apply_within_ms).
    pub fn heartbeat_ms(&self) -> u64 {
        self.apply_within_ms / 10
    }

    /// Milliseconds of silence after which a peer is taken for dead: four heartbeats.
    pub fn silence_ms(&self) -> u64 {
        self.heartbeat_ms() * 4
    }

    /// Milliseconds within which a connection to a runner must be established: a tenth of [`apply_within_ms`](Self::apply_within_ms).
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
            Self::System(error) => write!(formatter, "the system refused: {error}"),
        }
    }
}

impl std::error::Error for GatewayError {}
