//! An operator's connection to the controller that is behind.

use super::codecs::{NoPlatform, TestCodec, ZONE};
use super::controller_pair::{address_of, ControllerPair, BEHIND};
use crate::clock::Clock;
use crate::controller_connections::{ControllerConnection, ControllerConnections};
use crate::operator_service::{OperatorContext, OperatorService};
use crate::options::ControllerOptions;
use event_loop::{ConnectionId, Event};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// Timeout of one poll; polls are repeated until the expected data has arrived.
const POLL_TIMEOUT: Duration = Duration::from_millis(20);

pub fn controller_options() -> ControllerOptions {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    ControllerOptions {
        name: address_of(BEHIND),
        zone: ZONE.into(),
        zones: vec![ZONE.into()],
        topology: locality::Topology::default(),
        policy: policy::Policy::default(),
        operator_address: any_port,
        gateway_address: any_port,
        consensus_address: any_port,
        internal_listen_ip: None,
        metrics_address: None,
        seeds: Vec::new(),
        gateway_port: 0,
        is_first_start: true,
        data_dir: PathBuf::new(),
        platform_address: None,
        list_lag_ms: 0,
        platform_commands_per_s: 1.0,
        drain_ms: 1_000,
        propagation_timeout_ms: 1_000,
        resync_ms: 1_000,
        grace_period_ms: 1_000,
        job_retention_ms: 1_000,
        target_voter_count: 2,
        memory_bytes: 64 << 20,
        connections_max: 16,
        operator_codec: Box::new(TestCodec),
        platform_codec: Box::new(NoPlatform),
        reload_seeds: Box::new(|| None),
    }
}

/// The operator service of the controller that is behind, with one operator's connection.
pub struct OperatorCall {
    service: OperatorService,
    options: ControllerOptions,
    clock: Clock,
    connections: ControllerConnections,
    connection: ConnectionId,
    operator: TcpStream,
}

impl OperatorCall {
    /// Connects an operator. The service registers the connection like an accepted one.
    pub fn open() -> Self {
        let options = controller_options();
        let mut connections =
            ControllerConnections::new(options.connections_max, options.lease_ms()).unwrap();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let connection = connections
            .connect(address, ControllerConnection::Operator)
            .unwrap();
        let (operator, _) = listener.accept().unwrap();
        let mut service = OperatorService::default();
        service.accept(connection);
        Self {
            service,
            options,
            clock: Clock::start(),
            connections,
            connection,
            operator,
        }
    }

    /// Sends a request as the operator, and lets the service handle it.
    pub fn send(&mut self, target: &str, pair: &mut ControllerPair) {
        let request = format!("POST {target} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
        self.operator.write_all(request.as_bytes()).unwrap();
        self.wait_for_bytes(request.len());
        let connection = self.connection;
        let (service, mut context) = self.parts(pair);
        service.handle_readable(connection, &mut context);
    }

    fn wait_for_bytes(&mut self, length: usize) {
        let mut events: Vec<Event> = Vec::new();
        loop {
            let buffer = self.connections.read_buffer(self.connection);
            if buffer.expect("the connection is open").len() >= length {
                return;
            }
            self.connections.poll(POLL_TIMEOUT, &mut events);
        }
    }

    /// Runs the controllers until the service has nothing left to do, delivering all messages.
    pub fn finish(&mut self, pair: &mut ControllerPair) {
        loop {
            pair.exchange(|_| true);
            let completed = std::mem::take(&mut pair.completed);
            if completed.is_empty() {
                return;
            }
            for change in completed {
                assert_eq!(change.index, BEHIND);
                let (service, mut context) = self.parts(pair);
                service.handle_outcome(change.token, change.outcome, &mut context);
            }
        }
    }

    fn parts<'a>(
        &'a mut self,
        pair: &'a mut ControllerPair,
    ) -> (&'a mut OperatorService, OperatorContext<'a>) {
        let context = OperatorContext {
            now: pair.now,
            clock: &self.clock,
            options: &self.options,
            connections: &mut self.connections,
            consensus: &mut pair.members[BEHIND].consensus,
        };
        (&mut self.service, context)
    }

    /// The complete response. Closes the controller's end first, so that reading it does not block.
    pub fn into_response(mut self) -> String {
        drop(self.connections);
        let mut response = String::new();
        self.operator.read_to_string(&mut response).unwrap();
        response
    }
}
