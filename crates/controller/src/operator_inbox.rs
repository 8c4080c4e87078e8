//! Operators' connections: reads one request after another off each.

use event_loop::ConnectionId;
use http1::{HttpError, MessageLimits, Request, RequestReader};
use std::collections::HashMap;

/// Largest request of an operator: a complete configuration.
const REQUEST_LIMITS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: 32 << 20,
};

/// What a connection brought.
pub(crate) enum OperatorInput {
    /// A request has not arrived completely.
    Incomplete,
    /// A request's head has arrived, and the client waits for "100 Continue" before it sends the body.
    ExpectsContinue,
    /// A complete request. The next one is read once this one has ended.
    Request(Box<Request>),
    /// The bytes are no request; nothing more can be read from the connection.
    Malformed(HttpError),
}

#[derive(Default)]
struct OperatorConnection {
    reader: Box<RequestReader>,
    /// A request was read and not answered yet.
    is_busy: bool,
}

/// Operators' connections that may bring a request, or wait for an answer.
#[derive(Default)]
pub(crate) struct OperatorInbox {
    connections: HashMap<ConnectionId, OperatorConnection>,
}

impl OperatorInbox {
    /// An operator opened a connection.
    pub fn accept(&mut self, connection: ConnectionId) {
        self.connections
            .insert(connection, OperatorConnection::default());
    }

    /// A connection has ended, or is closed once its last answer has left.
    pub fn remove(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
    }

    /// Whether an answer may be sent on the connection.
    pub fn contains(&self, connection: ConnectionId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Reads what arrived on a connection; none while its last request is not answered.
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

    /// The last request was answered, and the connection is kept for the next one.
    pub fn finish_request(&mut self, connection: ConnectionId) {
        self.accept(connection);
    }
}
