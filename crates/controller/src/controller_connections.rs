//! The kinds of connections that a controller has.

use crate::connections::{ConnectionKind, Connections};
use crate::error::ControllerError;
use crate::metrics_service::METRICS_INBOX_MAX;
use crate::options::ControllerOptions;

/// Maximum unread bytes on a connection to a gateway or another controller; the largest frame must fit.
const LINK_INBOX_MAX: usize = 16 << 20;
/// Maximum unread bytes on a connection to the platform; a complete response must fit.
pub(crate) const PLATFORM_INBOX_MAX: usize = 16 << 20;
/// Maximum unread bytes on an operator's connection; the largest request must fit.
pub(crate) const OPERATOR_INBOX_MAX: usize = 40 << 20;

/// The purpose of a controller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ControllerConnection {
    /// An operator that sends commands.
    Operator,
    /// A gateway that requests the configuration and reports on functions.
    Gateway,
    /// Another controller, for consensus messages.
    Peer,
    /// The platform's API.
    Platform,
    /// A client of the metrics endpoint.
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
    /// Listens on the configured addresses. A connection fails if its peer acknowledges nothing for the duration of a role
    /// lease.
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
