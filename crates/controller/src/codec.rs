//! Ports to the forms in which operators and the platform speak. The daemon's crate implements them.

use autoscaler::{RunnerListing, StartError, StartedRunner, WorkerListing};
use http1::Headers;
use operator_commands::{BaseVersion, CommandKind};
use routing::ConfigurationFormat;
use std::fmt;

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

/// Names the writer of a start or stop, so that the platform rejects one whose term is over.
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

/// Why an answer of the platform cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableResponse(pub String);

impl fmt::Display for UnreadableResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for UnreadableResponse {}

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
    fn configuration_format(&self) -> &dyn ConfigurationFormat;
    /// The operator's version that a document bears.
    fn document_version(&self, document: &[u8]) -> Option<u64>;
    /// What a request asks for, by its method and target.
    fn parse_command(&self, method: &str, target: &str) -> Result<CommandKind, CommandParseError>;
    /// The version on which a change builds.
    fn base_version(&self, headers: &Headers) -> BaseVersion;
}

/// The forms of the platform's API. It translates and decides nothing.
pub trait PlatformCodec {
    /// Asks for a page of the list of runners; the first one where none is named.
    fn list_runners(&self, page: Option<&str>) -> PlatformRequest;
    /// Reads such a page.
    fn read_runners(&self, body: &[u8]) -> Result<RunnerPage, UnreadableResponse>;
    /// Asks for the list of workers.
    fn list_workers(&self) -> PlatformRequest;
    /// Reads that list.
    fn read_workers(&self, body: &[u8]) -> Result<Vec<WorkerListing>, UnreadableResponse>;
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
