use autoscaler::{RunnerListing, StartError, StartedRunner, WorkerListing};
use http1::Headers;
use operator_commands::{BaseVersion, CommandKind};
use routing::ConfigurationFormat;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A request to the platform's API.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformRequest {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header fields beside those that HTTP needs.
    pub headers: Vec<(&'static str, String)>,
    /// Body, empty where there is none.
    pub body: Vec<u8>,
}

/// What came of a start: the runner's id and address, or why there is none.
pub type StartResult = Result<StartedRunner, StartError>;

/// Names the writer of a start or stop, so that the platform refuses one whose term is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken<'a> {
    /// Name of the controller that holds the role lease.
    pub holder: &'a str,
    /// Term under which it holds the lease; a higher term supersedes all lower ones.
    pub term: u64,
}

/// Why an operator's request names no command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandParseError {
    /// The target is none of the operators' API.
    UnknownTarget,
    /// The target is known, and the request is answered with this status.
    Rejected(u16),
}

/// One page of the platform's list of runners.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerPage {
    /// The runners of this page.
    pub runners: Vec<RunnerListing>,
    /// Names the page that follows; none on the last one.
    pub next: Option<String>,
}

/// The forms of the operators' API. It translates and decides nothing.
pub trait OperatorCodec {
    /// Reader of the operators' documents.
    fn documents(&self) -> &dyn ConfigurationFormat;
    /// The operator's version that a document bears.
    fn version_of(&self, document: &[u8]) -> Option<u64>;
    /// What a request asks for, by its method and target.
    fn parse_command(&self, method: &str, target: &str) -> Result<CommandKind, CommandParseError>;
    /// The version on which a change builds.
    fn base_version(&self, headers: &Headers) -> BaseVersion;
}

/// The forms of the platform's API. It translates and decides nothing.
pub trait PlatformCodec {
    /// Asks for a page of the list of runners; the first one where none is named.
    fn list_runners(&self, page: Option<&str>) -> PlatformRequest;
    /// Reads such a page; the error says what is wrong with it.
    fn read_runners(&self, body: &[u8]) -> Result<RunnerPage, String>;
    /// Asks for the list of workers.
    fn list_workers(&self) -> PlatformRequest;
    /// Reads that list; the error says what is wrong with it.
    fn read_workers(&self, body: &[u8]) -> Result<Vec<WorkerListing>, String>;
    /// Asks for a start. A start that is sent again with the same nonce starts nothing more.
    fn start(
        &self,
        function: &str,
        worker: &str,
        nonce: &str,
        fence: FencingToken<'_>,
    ) -> PlatformRequest;
    /// Reads the answer to a start.
    fn read_start(&self, status: u16, body: &[u8]) -> StartResult;
    /// Asks for a stop of the runner with this id.
    fn stop(&self, id: &str, fence: FencingToken<'_>) -> PlatformRequest;
    /// Whether the answer to a stop says that it is done.
    fn is_stopped(&self, status: u16) -> bool;
}

/// Reads the addresses of controllers anew; none where the settings have not changed or cannot be read.
pub type SeedReloader = Box<dyn Fn() -> Option<Vec<SocketAddr>>>;

/// Settings of a controller that stores the configuration on its disk.
pub struct ControllerOptions {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Zone that it stands in.
    pub zone: String,
    /// All zones of the system.
    pub zones: Vec<String>,
    /// Address at which it listens for operators.
    pub operator_address: SocketAddr,
    /// Address at which it listens for gateways.
    pub gateway_address: SocketAddr,
    /// Address at which it listens for the other controllers.
    pub consensus_address: SocketAddr,
    /// Consensus addresses of controllers, as far as they are known at the start.
    pub seeds: Vec<SocketAddr>,
    /// Port at which every controller listens for gateways.
    pub gateway_port: u16,
    /// The whole system starts for the first time, on empty disks.
    pub is_first_start: bool,
    /// Folder for all that must survive a restart.
    pub data_dir: PathBuf,
    /// Address of the platform's API.
    pub platform_address: Option<SocketAddr>,
    /// Milliseconds by which the platform's lists lag.
    pub list_lag_ms: u64,
    /// Starts and stops that the platform takes in a second.
    pub starts_per_second: f64,
    /// Milliseconds for which a draining runner may get requests.
    pub drain_ms: u64,
    /// Milliseconds within which an acknowledged change holds everywhere.
    pub propagation_timeout_ms: u64,
    /// Milliseconds after which a machine that came back holds everything again.
    pub resync_ms: u64,
    /// Milliseconds from the request to stop until the process is killed.
    pub grace_period_ms: u64,
    /// Milliseconds for which a job is remembered, at least.
    pub job_retention_ms: u64,
    /// Controllers that vote where there are enough of them.
    pub voters_wanted: usize,
    /// Most open connections.
    pub connections_max: usize,
    /// Forms of the operators' API.
    pub operator_codec: Box<dyn OperatorCodec>,
    /// Forms of the platform's API.
    pub platform_codec: Box<dyn PlatformCodec>,
    /// Reads the other controllers' consensus addresses anew.
    pub reload_seeds: SeedReloader,
}

impl ControllerOptions {
    /// Milliseconds between heartbeats: a twentieth of the bound on changes.
    pub fn heartbeat_ms(&self) -> u64 {
        self.propagation_timeout_ms / 20
    }

    /// Milliseconds of the scaler's role lease: two fifths of the bound on changes.
    pub fn lease_ms(&self) -> u64 {
        self.propagation_timeout_ms * 2 / 5
    }

    /// Milliseconds of silence after which a gateway is considered gone: a third of the bound on changes.
    pub fn silence_ms(&self) -> u64 {
        self.propagation_timeout_ms / 3
    }

    /// Milliseconds between looks at the platform's lists: a quarter of the bound on leaving runners.
    pub fn list_every_ms(&self) -> u64 {
        self.drain_ms / 4
    }

    /// Milliseconds that a call to the platform may take: a third of the bound on changes.
    pub fn call_ms(&self) -> u64 {
        self.propagation_timeout_ms / 3
    }
}

/// Why the daemon ended with a failure.
#[derive(Debug)]
pub enum ControllerError {
    /// An address could not be listened at.
    Listen(SocketAddr, io::Error),
    /// The data folder could not be used.
    Data(String),
    /// The system refused what every daemon needs.
    System(io::Error),
}

impl fmt::Display for ControllerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => {
                write!(formatter, "cannot listen at {address}: {error}")
            }
            Self::Data(reason) => write!(formatter, "the data folder cannot be used: {reason}"),
            Self::System(error) => write!(formatter, "the system refused: {error}"),
        }
    }
}

impl std::error::Error for ControllerError {}
