//! Interfaces to the formats of the operators' API and the platform's API. The daemon's crate implements them.

use autoscaler::{RunnerListing, StartError, StartedRunner, WorkerListing};
use http1::Headers;
use operator_commands::{BaseVersion, CommandKind};
use routing::ConfigurationFormat;
use std::fmt;

/// A request to the platform's API.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header fields in addition to those that HTTP requires.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
}

/// The result of a start: the started runner, or why there is none.
pub type StartResult = Result<StartedRunner, StartError>;

/// Identifies the sender of a start or stop, so that the platform can reject requests of a superseded term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FencingToken<'a> {
    /// Name of the controller that holds the role lease.
    pub holder: &'a str,
    /// Term under which it holds the lease; a higher term supersedes all lower ones.
    pub term: u64,
}

/// Why an operator's request contains no command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandParseError {
    /// The target does not exist in the operators' API.
    UnknownTarget,
    /// The target exists, but the request is rejected with this HTTP status.
    Rejected(u16),
}

/// Why a response of the platform cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableResponse(pub String);

impl fmt::Display for UnreadableResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for UnreadableResponse {}

/// One page of the platform's runner list.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerPage {
    /// The runners of this page.
    pub runners: Vec<RunnerListing>,
    /// Token of the next page; none on the last page.
    pub next: Option<String>,
}

/// The format of the operators' API. An implementation translates only, and makes no decisions.
pub trait OperatorCodec {
    /// Parser of the configuration documents.
    fn configuration_format(&self) -> &dyn ConfigurationFormat;
    /// The version that the operator gave a document.
    fn document_version(&self, document: &[u8]) -> Option<u64>;
    /// Parses the kind of command that a request's method and target denote.
    fn parse_command(&self, method: &str, target: &str) -> Result<CommandKind, CommandParseError>;
    /// The version on which a change is based, according to the request's headers.
    fn base_version(&self, headers: &Headers) -> BaseVersion;
}

/// The format of the platform's API. An implementation translates only, and makes no decisions.
pub trait PlatformCodec {
    /// Builds a request for a page of the runner list; the first page if no token is given.
    fn list_runners(&self, page: Option<&str>) -> PlatformRequest;
    /// Parses a page of the runner list.
    fn read_runners(&self, body: &[u8]) -> Result<RunnerPage, UnreadableResponse>;
    /// Builds a request for the worker list.
    fn list_workers(&self) -> PlatformRequest;
    /// Parses the worker list.
    fn read_workers(&self, body: &[u8]) -> Result<Vec<WorkerListing>, UnreadableResponse>;
    /// Builds a request to start a runner. It is idempotent: repeating it with the same nonce starts no second runner.
    fn start(
        &self,
        function: &str,
        worker: &str,
        nonce: &str,
        fence: FencingToken<'_>,
    ) -> PlatformRequest;
    /// Parses the response to a start.
    fn read_start(&self, status: u16, body: &[u8]) -> StartResult;
    /// Builds a request to stop the runner with this id.
    fn stop(&self, id: &str, fence: FencingToken<'_>) -> PlatformRequest;
    /// Whether this status of a response to a stop confirms that the runner is stopped.
    fn is_stopped(&self, status: u16) -> bool;
}
