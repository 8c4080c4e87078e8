use autoscaler::{RunnerSight, StartFault, WorkerSight};
use http1::Headers;
use operator_commands::{BaseVersion, OrderKind};
use routing::Documents;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A call to the platform.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
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
pub type StartReply = Result<(String, String), StartFault>;

/// Port to how operators and the platform speak. It translates and decides nothing.
pub trait Translator {
    /// Reader of the operators' documents.
    fn documents(&self) -> &dyn Documents;
    /// The operator's version that a document bears.
    fn version_of(&self, document: &[u8]) -> Option<u64>;
    /// What an operator's request asks for; a status where it is wrong, none where it is no such call.
    fn operator_call(&self, method: &str, target: &str) -> Option<Result<OrderKind, u16>>;
    /// The version on which a change builds.
    fn base_version(&self, headers: &Headers) -> BaseVersion;
    /// Asks for a page of the list of runners.
    fn list_runners(&self, page: Option<&str>) -> Call;
    /// Reads such a page, with the name of the next.
    fn read_runners(&self, body: &[u8]) -> Result<(Vec<RunnerSight>, Option<String>), String>;
    /// Asks for the list of workers.
    fn list_workers(&self) -> Call;
    /// Reads that list.
    fn read_workers(&self, body: &[u8]) -> Result<Vec<WorkerSight>, String>;
    /// Asks for a start.
    fn start(&self, function: &str, worker: &str, nonce: &str, fence: (&str, u64)) -> Call;
    /// Reads the answer to a start.
    fn read_start(&self, status: u16, body: &[u8]) -> StartReply;
    /// Asks for a stop.
    fn stop(&self, id: &str, fence: (&str, u64)) -> Call;
    /// Whether the answer to a stop says that it is done.
    fn is_stopped(&self, status: u16) -> bool;
}

/// Reads addresses of controllers anew, where the settings have changed.
pub type Reload = Box<dyn Fn() -> Option<Vec<SocketAddr>>>;

/// What a daemon of the control plane needs to know.
pub struct ControllerOptions {
    /// Name, its own in the fleet.
    pub name: String,
    /// District that it stands in.
    pub district: String,
    /// Districts that there are.
    pub districts: Vec<String>,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for gateways.
    pub gateways: SocketAddr,
    /// Address for the other controllers.
    pub consensus: SocketAddr,
    /// Consensus addresses of controllers, as far as they are known at the start.
    pub seeds: Vec<SocketAddr>,
    /// Port at which every controller listens for gateways.
    pub gateways_port: u16,
    /// The whole system starts for the first time, on empty disks.
    pub is_first_start: bool,
    /// Folder for everything that must last.
    pub data: PathBuf,
    /// Address of the platform's API.
    pub platform: Option<SocketAddr>,
    /// Milliseconds by which the platform's lists lag.
    pub list_lag_ms: u64,
    /// Starts and stops that the platform takes in a second.
    pub starts_per_s: f64,
    /// Milliseconds for which a leaving runner may get requests.
    pub drain_ms: u64,
    /// Milliseconds within which an acknowledged change holds everywhere.
    pub change_ms: u64,
    /// Milliseconds after which a machine that came back holds everything again.
    pub sync_ms: u64,
    /// Milliseconds from the order to stop until the process is ended.
    pub grace_ms: u64,
    /// Milliseconds for which a job is remembered, at least.
    pub remembered_ms: u64,
    /// Controllers that vote where there are enough of them.
    pub voters_wanted: usize,
    /// Most open lines.
    pub lines_max: usize,
    /// How operators and the platform speak.
    pub translator: Box<dyn Translator>,
    /// Reads the settings anew: the controllers' consensus addresses, where the settings have changed.
    pub reload: Reload,
}

impl ControllerOptions {
    /// Milliseconds between heartbeats: a twentieth of the bound on changes.
    pub fn heartbeat_ms(&self) -> u64 {
        self.change_ms / 20
    }

    /// Lease of the duty to scale: two fifths of the bound on changes.
    pub fn lease_ms(&self) -> u64 {
        self.change_ms * 2 / 5
    }

    /// Milliseconds of silence after which a gateway is taken for gone: a third of the bound on changes.
    pub fn silence_ms(&self) -> u64 {
        self.change_ms / 3
    }

    /// Milliseconds between looks at the platform's lists: a quarter of the bound on leaving runners.
    pub fn list_every_ms(&self) -> u64 {
        self.drain_ms / 4
    }

    /// Milliseconds that a call to the platform may take: a third of the bound on changes.
    pub fn call_ms(&self) -> u64 {
        self.change_ms / 3
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
