//! Client of the platform's API. Each request in flight has a connection of its own; further requests are queued.

use crate::codec::PlatformRequest;
use crate::controller_connections::{
    ControllerConnection, ControllerConnections, PLATFORM_INBOX_MAX,
};
use event_loop::ConnectionId;
use http1::{write_request, MessageLimits, Response, ResponseReader};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of connections to the platform. Each carries one request at a time: with a latency of 40 ms to the platform,
/// eight connections would limit starts to 80 per second, whatever rate the platform accepts.
const CONNECTIONS_MAX: usize = 64;
/// Maximum number of requests queued for a connection.
const QUEUE_MAX: usize = 4_096;
/// Limits of a platform response; the largest one is a page of the runner list.
const RESPONSE_LIMITS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: PLATFORM_INBOX_MAX,
};

/// The purpose of a request to the platform.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RequestPurpose {
    /// Fetches the worker list.
    ListWorkers,
    /// Fetches a page of the runner list.
    ListRunners,
    /// Starts a runner, with this nonce.
    Start(String),
    /// Stops the runner with this id.
    Stop(String),
}

/// The outcome of a request to the platform.
pub(crate) enum PlatformOutcome {
    /// A response was received.
    Answered(RequestPurpose, Box<Response>),
    /// No response was received. The request may have been executed nevertheless.
    Failed(RequestPurpose),
}

struct QueuedRequest {
    request: PlatformRequest,
    purpose: RequestPurpose,
}

struct InFlightRequest {
    purpose: RequestPurpose,
    reader: ResponseReader,
    deadline: u64,
}

/// Requests to the platform, and the connections that carry them.
#[derive(Default)]
pub(crate) struct PlatformClient {
    queued: VecDeque<QueuedRequest>,
    in_flight: HashMap<ConnectionId, InFlightRequest>,
    idle: Vec<ConnectionId>,
}

/// The platform's address and the timeout of requests to it.
#[derive(Clone, Copy)]
pub(crate) struct PlatformEndpoint {
    /// Address of the platform's API; without one, every request fails.
    pub address: Option<SocketAddr>,
    /// Timeout of a request in milliseconds.
    pub timeout_ms: u64,
}

impl PlatformClient {
    /// Queues a request until a connection is available. Returns its purpose as the error if the queue is full.
    pub fn enqueue(
        &mut self,
        request: PlatformRequest,
        purpose: RequestPurpose,
    ) -> Result<(), RequestPurpose> {
        if self.queued.len() >= QUEUE_MAX {
            return Err(purpose);
        }
        self.queued.push_back(QueuedRequest { request, purpose });
        Ok(())
    }

    /// Sends queued requests while connections are available. Returns those that failed immediately.
    pub fn send_queued(
        &mut self,
        now: u64,
        endpoint: PlatformEndpoint,
        connections: &mut ControllerConnections,
    ) -> Vec<RequestPurpose> {
        let mut failed = Vec::new();
        while let Some(queued) = self.queued.pop_front() {
            let Some(address) = endpoint.address else {
                failed.push(queued.purpose);
                continue;
            };
            if self.drop_closed_idle(connections) && self.in_flight.len() >= CONNECTIONS_MAX {
                self.queued.push_front(queued);
                return failed;
            }
            let Some(connection) = self.take_connection(address, connections) else {
                failed.push(queued.purpose);
                continue;
            };
            connections.send(connection, &encode(&queued.request, address));
            let in_flight = InFlightRequest {
                purpose: queued.purpose,
                reader: ResponseReader::new(false),
                deadline: now + endpoint.timeout_ms,
            };
            self.in_flight.insert(connection, in_flight);
        }
        failed
    }

    /// Drops closed connections from the end of the idle list until an open one is found. Returns whether none is left.
    fn drop_closed_idle(&mut self, connections: &ControllerConnections) -> bool {
        while let Some(connection) = self.idle.last() {
            if connections.is_open(*connection) {
                return false;
            }
            self.idle.pop();
        }
        true
    }

    /// Takes an idle connection, or opens a new one.
    fn take_connection(
        &mut self,
        address: SocketAddr,
        connections: &mut ControllerConnections,
    ) -> Option<ConnectionId> {
        let idle = self.idle.pop();
        idle.or_else(|| connections.connect(address, ControllerConnection::Platform))
    }

    /// Resets the connections of requests that have timed out, and sends queued requests in their place. Returns the requests
    /// that failed, in the order of their failure.
    pub fn expire(
        &mut self,
        now: u64,
        endpoint: PlatformEndpoint,
        connections: &mut ControllerConnections,
    ) -> Vec<RequestPurpose> {
        let in_flight = self.in_flight.iter();
        let timed_out = in_flight.filter(|(_, request)| request.deadline <= now);
        let timed_out: Vec<ConnectionId> = timed_out.map(|(connection, _)| *connection).collect();
        let mut failed = Vec::new();
        for connection in timed_out {
            // A reset discards the request: after a network partition, it could otherwise still reach the platform, perhaps
            // after its term ended.
            connections.reset(connection);
            if let Some(purpose) = self.remove(connection) {
                failed.push(purpose);
                failed.extend(self.send_queued(now, endpoint, connections));
            }
        }
        failed.extend(self.send_queued(now, endpoint, connections));
        failed
    }

    /// Removes a connection that has ended. Returns the request that it carried, which has failed.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<RequestPurpose> {
        self.idle.retain(|idle| *idle != connection);
        let request = self.in_flight.remove(&connection)?;
        Some(request.purpose)
    }

    /// Reads received data from a connection. None while the response is incomplete.
    pub fn receive(
        &mut self,
        connection: ConnectionId,
        connections: &mut ControllerConnections,
    ) -> Option<PlatformOutcome> {
        let Some(request) = self.in_flight.get_mut(&connection) else {
            // No request is in flight on it, so this data is not a response.
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

    /// Discards all requests, and closes all connections.
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
    let extra = request.headers.iter();
    headers.extend(extra.map(|(name, value)| (*name, value.as_bytes())));
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
