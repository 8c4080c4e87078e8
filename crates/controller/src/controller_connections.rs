//! The connections that a controller has, by kind.

use crate::connections::{ConnectionKind, Connections};
use crate::error::ControllerError;
use crate::metrics_service::METRICS_INBOX_MAX;
use crate::options::ControllerOptions;

/// Most unread bytes of a connection to a gateway or another controller; a frame must fit in.
const LINK_INBOX_MAX: usize = 16 << 20;
/// Most unread bytes of an answer of the platform.
pub(crate) const PLATFORM_INBOX_MAX: usize = 16 << 20;
/// Most unread bytes of an operator's connection; the largest request must fit in.
pub(crate) const OPERATOR_INBOX_MAX: usize = 40 << 20;

/// What a controller's connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ControllerConnection {
    /// An operator sends commands.
    Operator,
    /// A gateway asks for the configuration and reports about functions.
    Gateway,
    /// Another controller, of the consensus.
    Peer,
    /// The platform's API.
    Platform,
    /// Somebody asks for this controller's figures.
    Metrics,
}

impl ConnectionKind for ControllerConnection {
    fn inbox_max(self) -> usize {
        match self {
            Self::Operator => OPERATOR_INBOX_MAX,
            Self::Gateway | Self::Peer => LINK_INBOX_MAX,
            Self::Metrics => METRICS_INBOX_MAX,
            Self::Platform => PLATFORM_INBOX_MAX,
        }
    }
}

/// All connections of a controller.
pub(crate) type ControllerConnections = Connections<ControllerConnection>;

impl ControllerConnections {
    /// Listens at the addresses of the settings. A connection breaks whose peer is silent for as long as a role lease.
    pub fn open(options: &ControllerOptions) -> Result<Self, ControllerError> {
        let mut connections = Self::new(options.connections_max, options.lease_ms())?;
        connections.listen(options.operator_address, ControllerConnection::Operator)?;
        let gateways = options.listen_address(options.gateway_address);
        connections.listen(gateways, ControllerConnection::Gateway)?;
        let peers = options.listen_address(options.consensus_address);
        connections.listen(peers, ControllerConnection::Peer)?;
        connections.listen_for_metrics(options.metrics_address, ControllerConnection::Metrics);
        Ok(connections)
    }
}
