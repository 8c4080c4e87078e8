use routing::Documents;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// How callers and runners name what goes with requests.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Header with a request's own id.
    pub id: &'static str,
    /// Header with the milliseconds that are left.
    pub budget: &'static str,
    /// Header with a runner's seal.
    pub seal: &'static str,
    /// Header that names the runner that is meant.
    pub runner: &'static str,
    /// Header by which a runner says that it did not run a request.
    pub not_run: &'static str,
    /// Header with the seconds after which to come back.
    pub retry_after: &'static str,
    /// Whether a method and target ask for readiness.
    pub is_readiness: fn(&str, &str) -> bool,
}

/// What a daemon of the data plane needs to know.
pub struct GatewayOptions {
    /// Name, its own in the fleet.
    pub name: String,
    /// District that it stands in.
    pub district: String,
    /// Address for clients.
    pub public: SocketAddr,
    /// Address that tells whether it is ready.
    pub readiness: SocketAddr,
    /// Address for other daemons.
    pub wire: SocketAddr,
    /// Addresses of controllers, as far as they are known at the start.
    pub controllers: Vec<SocketAddr>,
    /// Names of headers and paths.
    pub manner: Manner,
    /// Reader of the operators' documents.
    pub documents: Box<dyn Documents>,
    /// Share of first tries that further tries may reach, over all daemons.
    pub retry_share: f64,
    /// Further tries allowed beside the share, over all daemons.
    pub retry_slack: f64,
    /// Milliseconds from the order to stop until the process is ended.
    pub grace_ms: u64,
    /// Milliseconds within which an acknowledged change holds everywhere.
    pub change_ms: u64,
    /// Milliseconds for which a job is remembered, above the time of any request.
    pub remembered_ms: u64,
    /// Most open lines.
    pub lines_max: usize,
    /// Reads the settings anew where they have changed: addresses of controllers that they name now.
    pub reload: Box<dyn Fn() -> Option<Vec<SocketAddr>>>,
}

impl GatewayOptions {
    /// Milliseconds between heartbeats to a controller: a tenth of the bound on changes.
    pub fn heartbeat_ms(&self) -> u64 {
        self.change_ms / 10
    }

    /// Milliseconds of silence after which another daemon is taken for gone: four heartbeats.
    pub fn silence_ms(&self) -> u64 {
        self.heartbeat_ms() * 4
    }

    /// Milliseconds that a connection to a runner may take: a tenth of the bound on changes.
    pub fn connect_ms(&self) -> u64 {
        self.change_ms / 10
    }
}

/// Why the daemon ended with a failure.
#[derive(Debug)]
pub enum GatewayError {
    /// An address could not be listened at.
    Listen(SocketAddr, io::Error),
    /// The system refused what every daemon needs.
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
