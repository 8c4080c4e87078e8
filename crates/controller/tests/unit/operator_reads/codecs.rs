//! Formats of the operators' API and the platform's API, as far as these tests use them.

use crate::codec::{
    CommandParseError, FencingToken, OperatorCodec, PlatformCodec, PlatformRequest, RunnerPage,
    StartResult, UnreadableResponse,
};
use autoscaler::WorkerListing;
use http1::Headers;
use operator_commands::{BaseVersion, CommandKind};
use routing::{ConfigurationError, ConfigurationFormat, RoutingConfiguration};

/// The only zone.
pub const ZONE: &str = "zone-1";
/// Target of a request that reads the configuration.
pub const READ_TARGET: &str = "/configuration";
/// Target of a request that begins the zone's evacuation.
pub const EVACUATE_TARGET: &str = "/evacuation";

/// An operators' API without configuration documents.
pub struct TestCodec;

impl OperatorCodec for TestCodec {
    fn configuration_format(&self) -> &dyn ConfigurationFormat {
        self
    }

    fn document_version(&self, _: &[u8]) -> Option<u64> {
        None
    }

    fn parse_command(&self, _: &str, target: &str) -> Result<CommandKind, CommandParseError> {
        match target {
            READ_TARGET => Ok(CommandKind::Read),
            EVACUATE_TARGET => Ok(CommandKind::BeginEvacuation(ZONE.into())),
            _ => Err(CommandParseError::UnknownTarget),
        }
    }

    fn base_version(&self, _: &Headers) -> BaseVersion {
        BaseVersion::Missing
    }
}

impl ConfigurationFormat for TestCodec {
    fn parse(&self, _: &[u8]) -> Result<RoutingConfiguration, ConfigurationError> {
        unreachable!("no document is replaced")
    }

    fn apply_change(
        &self,
        _: &RoutingConfiguration,
        _: &[u8],
    ) -> Result<RoutingConfiguration, ConfigurationError> {
        unreachable!("no document is changed")
    }

    fn merge_change(&self, _: &[u8], _: &[u8]) -> Result<Vec<u8>, ConfigurationError> {
        unreachable!("no document is changed")
    }
}

/// A platform API that is never called.
pub struct NoPlatform;

impl PlatformCodec for NoPlatform {
    fn list_runners(&self, _: Option<&str>) -> PlatformRequest {
        unreachable!("no platform is called")
    }

    fn read_runners(&self, _: &[u8]) -> Result<RunnerPage, UnreadableResponse> {
        unreachable!("no platform is called")
    }

    fn list_workers(&self) -> PlatformRequest {
        unreachable!("no platform is called")
    }

    fn read_workers(&self, _: &[u8]) -> Result<Vec<WorkerListing>, UnreadableResponse> {
        unreachable!("no platform is called")
    }

    fn start(&self, _: &str, _: &str, _: &str, _: FencingToken<'_>) -> PlatformRequest {
        unreachable!("no platform is called")
    }

    fn read_start(&self, _: u16, _: &[u8]) -> StartResult {
        unreachable!("no platform is called")
    }

    fn stop(&self, _: &str, _: FencingToken<'_>) -> PlatformRequest {
        unreachable!("no platform is called")
    }

    fn is_stopped(&self, _: u16) -> bool {
        unreachable!("no platform is called")
    }
}
