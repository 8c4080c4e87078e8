//! Requests to the platform's API: some in flight, each on a connection of its own, the others waiting.

use crate::codec::PlatformRequest;
use crate::controller_connections::{
    ControllerConnection, ControllerConnections, PLATFORM_INBOX_MAX,
};
use event_loop::ConnectionId;
use http1::{write_request, MessageLimits, Response, ResponseReader};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Most connections to the platform. One carries a call at a time, so that with the platform 40 ms away eight of them would
/// carry 80 starts a second, whatever rate the platform takes.
const CONNECTIONS_MAX: usize = 64;
/// Most requests that wait for a connection.
const WAITING_MAX: usize = 4_096;
/// Largest answer of the platform: a page of its list of runners.
const RESPONSE_LIMITS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: PLATFORM_INBOX_MAX,
};

/// What a request to the platform is for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RequestPurpose {
    /// The list of workers.
    ListWorkers,
    /// A page of the list of runners.
    ListRunners,
    /// The start with this nonce.
    Start(String),
    /// The stop of the runner with this id.
    Stop(String),
}

/// How a request to the platform ended.
pub(crate) enum PlatformOutcome {
    /// It was answered.
    Answered(RequestPurpose, Box<Response>),
    /// It was not answered. It may have been carried out all the same.
    Failed(RequestPurpose),
}

struct WaitingRequest {
    request: PlatformRequest,
    purpose: RequestPurpose,
}

struct InFlightRequest {
    purpose: RequestPurpose,
    reader: ResponseReader,
    ends_at: u64,
}

/// Requests to the platform and the connections that carry them.
#[derive(Default)]
pub(crate) struct PlatformClient {
    waiting: VecDeque<WaitingRequest>,
    in_flight: HashMap<ConnectionId, InFlightRequest>,
    idle: Vec<ConnectionId>,
}

/// Where the platform is, and for how long a request may take.
#[derive(Clone, Copy)]
pub(crate) struct PlatformEndpoint {
    /// Address of its API; without one every request fails.
    pub address: Option<SocketAddr>,
    /// Milliseconds that a request may take.
    pub timeout_ms: u64,
}

impl PlatformClient {
    /// Lets a request wait for a connection. Gives its purpose back where too many wait.
    pub fn enqueue(
        &mut self,
        request: PlatformRequest,
        purpose: RequestPurpose,
    ) -> Result<(), RequestPurpose> {
        if self.waiting.len() >= WAITING_MAX {
            return Err(purpose);
        }
        self.waiting.push_back(WaitingRequest { request, purpose });
        Ok(())
    }

    /// Sends waiting requests while there are connections for them. Returns those that failed at once.
    pub fn send_waiting(
        &mut self,
        now: u64,
        endpoint: PlatformEndpoint,
        connections: &mut ControllerConnections,
    ) -> Vec<RequestPurpose> {
        let mut failed = Vec::new();
        while let Some(waiting) = self.waiting.pop_front() {
            let Some(address) = endpoint.address else {
                failed.push(waiting.purpose);
                continue;
            };
            if self.drop_ended_idle(connections) && self.in_flight.len() >= CONNECTIONS_MAX {
                self.waiting.push_front(waiting);
                return failed;
            }
            let Some(connection) = self.connection(address, connections) else {
                failed.push(waiting.purpose);
                continue;
            };
            connections.send(connection, &encode(&waiting.request, address));
            let in_flight = InFlightRequest {
                purpose: waiting.purpose,
                reader: ResponseReader::new(false),
                ends_at: now + endpoint.timeout_ms,
            };
            self.in_flight.insert(connection, in_flight);
        }
        failed
    }

    /// Drops idle connections that the platform has ended. Returns whether no idle one is left.
    fn drop_ended_idle(&mut self, connections: &ControllerConnections) -> bool {
        while let Some(connection) = self.idle.last() {
            if connections.is_open(*connection) {
                return false;
            }
            self.idle.pop();
        }
        true
    }

    /// An idle connection, or a new one.
    fn connection(
        &mut self,
        address: SocketAddr,
        connections: &mut ControllerConnections,
    ) -> Option<ConnectionId> {
        let idle = self.idle.pop();
        idle.or_else(|| connections.connect(address, ControllerConnection::Platform))
    }

    /// Closes the connections whose requests took too long, and sends others in their place. Returns the requests that
    /// failed, in the order in which they did.
    pub fn expire(
        &mut self,
        now: u64,
        endpoint: PlatformEndpoint,
        connections: &mut ControllerConnections,
    ) -> Vec<RequestPurpose> {
        let in_flight = self.in_flight.iter();
        let late = in_flight.filter(|(_, request)| request.ends_at <= now);
        let late: Vec<ConnectionId> = late.map(|(connection, _)| *connection).collect();
        let mut failed = Vec::new();
        for connection in late {
            // A call that a cut holds up would arrive after its end, perhaps under a term that is over by then.
            connections.reset(connection);
            if let Some(purpose) = self.remove(connection) {
                failed.push(purpose);
                failed.extend(self.send_waiting(now, endpoint, connections));
            }
        }
        failed.extend(self.send_waiting(now, endpoint, connections));
        failed
    }

    /// A connection has ended. Returns the request that it carried, which has failed.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<RequestPurpose> {
        self.idle.retain(|idle| *idle != connection);
        let request = self.in_flight.remove(&connection)?;
        Some(request.purpose)
    }

    /// Reads what arrived on a connection. None while the answer is not complete.
    pub fn receive(
        &mut self,
        connection: ConnectionId,
        connections: &mut ControllerConnections,
    ) -> Option<PlatformOutcome> {
        let Some(request) = self.in_flight.get_mut(&connection) else {
            // Nothing was asked on it: what arrives is no answer.
            self.idle.retain(|idle| *idle != connection);
            connections.close(connection);
            return None;
        };
        let buffer = connections.read_buffer(connection)?;
        match request.reader.read(buffer, &RESPONSE_LIMITS) {
            Ok(None) => None,
            Ok(Some(response)) => {
                let request = self.in_flight.remove(&connection)?;
                self.release(connection, response.keeps_alive, connections);
                let response = Box::new(response);
                Some(PlatformOutcome::Answered(request.purpose, response))
            }
            Err(error) => {
                log::warn!("scaler: platform response malformed error={error}");
                connections.close(connection);
                self.remove(connection).map(PlatformOutcome::Failed)
            }
        }
    }

    fn release(
        &mut self,
        connection: ConnectionId,
        keeps_alive: bool,
        connections: &mut ControllerConnections,
    ) {
        if keeps_alive {
            self.idle.push(connection);
        } else {
            connections.close(connection);
        }
    }

    /// Forgets all requests and closes all connections.
    pub fn reset(&mut self, connections: &mut ControllerConnections) {
        let client = std::mem::take(self);
        for connection in client.in_flight.into_keys() {
            connections.reset(connection);
        }
        for connection in client.idle {
            connections.close(connection);
        }
    }
}

fn encode(request: &PlatformRequest, address: SocketAddr) -> Vec<u8> {
    let host = address.to_string();
    let mut headers: Vec<(&str, &[u8])> = vec![("Host", host.as_bytes())];
    if !request.body.is_empty() {
        headers.push(("Content-Type", b"application/json"));
    }
    let own = request.headers.iter();
    headers.extend(own.map(|(name, value)| (*name, value.as_bytes())));
    let mut out = Vec::new();
    write_request(
        &mut out,
        request.method,
        &request.target,
        headers.into_iter(),
        &request.body,
    );
    out
}
