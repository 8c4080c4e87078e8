//! Operators' connections: reads requests from each, one at a time.

use event_loop::ConnectionId;
use http1::{HttpError, MessageLimits, Request, RequestReader};
use std::collections::HashMap;

/// Limits of an operator's request; the largest one is a complete configuration.
const REQUEST_LIMITS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: 32 << 20,
};

/// The result of reading from a connection.
pub(crate) enum OperatorInput {
    /// The request is incomplete.
    Incomplete,
    /// The request's head is complete, and the client waits for "100 Continue" before it sends the body.
    ExpectsContinue,
    /// A complete request. The next one is read after this one is finished.
    Request(Box<Request>),
    /// The received bytes are not a valid request; nothing more can be read from the connection.
    Malformed(HttpError),
}

#[derive(Default)]
struct OperatorConnection {
    reader: Box<RequestReader>,
    /// Whether a request was read and has no response yet.
    is_busy: bool,
}

/// Operators' connections on which a request may arrive or a response is pending.
#[derive(Default)]
pub(crate) struct OperatorInbox {
    connections: HashMap<ConnectionId, OperatorConnection>,
}

impl OperatorInbox {
    /// Registers a connection that an operator opened.
    pub fn accept(&mut self, connection: ConnectionId) {
        self.connections
            .insert(connection, OperatorConnection::default());
    }

    /// Removes a connection that has ended, or that is closing after its last response.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Whether a response may be sent on the connection.
    pub fn contains(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Reads received data from a connection; none while its last request has no response.
    pub fn read(
        &mut self,
        connection: ConnectionId,
        buffer: &mut Vec<u8>,
    ) -> Option<OperatorInput> {
        let operator = self.connections.get_mut(&connection)?;
        if operator.is_busy {
            return None;
        }
        Some(match operator.reader.read(buffer, &REQUEST_LIMITS) {
            Ok(None) if operator.reader.expects_continue() => OperatorInput::ExpectsContinue,
            Ok(None) => OperatorInput::Incomplete,
            Ok(Some(request)) => {
                operator.is_busy = true;
                OperatorInput::Request(Box::new(request))
            }
            Err(error) => OperatorInput::Malformed(error),
        })
    }

    /// Resets a connection for its next request, after a response was sent and the connection is kept alive.
    pub fn finish_request(&mut self, connection: ConnectionId) {
        self.accept(connection);
    }
}
