//! Events that are handled after the scaler role has ended, but before the next tick, must not cause commands to the platform.
//!
//! Regression: a controller was paused for four seconds. After that its consensus saw immediately that its lease had expired
//! ("consensus: scaler role lost term=1099511627778" at 44.066 s), but its scaler only at the next tick ("scaler: role lost" at
//! 44.103 s). In between, closed connections to the platform caused 78 queued starts to be sent under that term, although another
//! controller had been scaling under the next term since 41.1 s.

use crate::codec::{
    FencingToken, PlatformCodec, PlatformRequest, RunnerPage, StartResult, UnreadableResponse,
};
use crate::committed_configuration::CommittedConfiguration;
use crate::controller_connections::ControllerConnections;
use crate::gateway_table::GatewayTable;
use crate::operator_reads_tests::operator_call::controller_options;
use crate::options::ControllerOptions;
use crate::scaler::{Scaler, ScalerContext};
use autoscaler::WorkerListing;
use event_loop::ConnectionId;
use std::net::{Ipv4Addr, TcpListener};

const TERM: u64 = 7;

/// A platform API that supports only list requests.
struct ListsOnly;

fn list(target: &str) -> PlatformRequest {
    PlatformRequest {
        method: "GET",
        target: target.into(),
        ..PlatformRequest::default()
    }
}

impl PlatformCodec for ListsOnly {
    fn list_runners(&self, _: Option<&str>) -> PlatformRequest {
        list("/runners")
    }

    fn read_runners(&self, _: &[u8]) -> Result<RunnerPage, UnreadableResponse> {
        unreachable!("no response is sent")
    }

    fn list_workers(&self) -> PlatformRequest {
        list("/workers")
    }

    fn read_workers(&self, _: &[u8]) -> Result<Vec<WorkerListing>, UnreadableResponse> {
        unreachable!("no response is sent")
    }

    fn start(&self, _: &str, _: &str, _: &str, _: FencingToken<'_>) -> PlatformRequest {
        unreachable!("no runner is started")
    }

    fn read_start(&self, _: u16, _: &[u8]) -> StartResult {
        unreachable!("no runner is started")
    }

    fn stop(&self, _: &str, _: FencingToken<'_>) -> PlatformRequest {
        unreachable!("no runner is stopped")
    }

    fn is_stopped(&self, _: u16) -> bool {
        unreachable!("no runner is stopped")
    }
}

/// A scaler with requests to the platform in flight.
struct ScalerFixture {
    scaler: Scaler,
    options: ControllerOptions,
    connections: ControllerConnections,
    gateways: GatewayTable,
    _platform: TcpListener,
}

impl ScalerFixture {
    fn begin() -> Self {
        let platform = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let options = ControllerOptions {
            platform_address: Some(platform.local_addr().unwrap()),
            platform_codec: Box::new(ListsOnly),
            ..controller_options()
        };
        let connections = ControllerConnections::new(64, options.lease_ms()).unwrap();
        let mut fixture = Self {
            scaler: Scaler::default(),
            options,
            connections,
            gateways: GatewayTable::default(),
            _platform: platform,
        };
        let configuration = CommittedConfiguration::default();
        fixture.with_role(Some(TERM), |scaler, context| {
            assert!(scaler.begin_term(TERM, &configuration, context));
            scaler.poll(context);
        });
        assert!(fixture.connections.len() > 0, "requests are in flight");
        fixture
    }

    fn with_role(
        &mut self,
        term: Option<u64>,
        act: impl FnOnce(&mut Scaler, &mut ScalerContext<'_>),
    ) {
        let mut context = ScalerContext {
            now: 10_000,
            term,
            options: &self.options,
            connections: &mut self.connections,
            gateways: &mut self.gateways,
        };
        act(&mut self.scaler, &mut context);
    }
}

/// A connection to the platform that carried no request and was closed.
fn closed_connection(fixture: &mut ScalerFixture) -> ConnectionId {
    let address = fixture.options.platform_address.unwrap();
    let kind = crate::controller_connections::ControllerConnection::Platform;
    let connection = fixture.connections.connect(address, kind).unwrap();
    fixture.connections.close(connection);
    connection
}

#[test]
fn any_event_after_the_role_has_ended_closes_all_connections() {
    let events: [fn(&mut Scaler, ConnectionId, &mut ScalerContext<'_>); 4] = [
        |scaler, connection, context| scaler.handle_closed(connection, context),
        |scaler, connection, context| scaler.handle_readable(connection, context),
        |scaler, _, context| scaler.handle_reports("gateway-1", &[], context),
        |scaler, _, context| {
            scaler.apply_evacuations(&CommittedConfiguration::default(), context);
        },
    ];
    for term in [None, Some(TERM + 1)] {
        for event in events {
            let mut fixture = ScalerFixture::begin();
            let connection = closed_connection(&mut fixture);
            fixture.with_role(term, |scaler, context| event(scaler, connection, context));
            assert_eq!(fixture.connections.len(), 0, "{term:?}");
        }
    }
}

#[test]
fn events_while_the_role_is_held_close_no_connection() {
    let mut fixture = ScalerFixture::begin();
    let connection = closed_connection(&mut fixture);
    let before = fixture.connections.len();
    fixture.with_role(Some(TERM), |scaler, context| {
        scaler.handle_closed(connection, context);
        scaler.handle_reports("gateway-1", &[], context);
    });
    assert_eq!(fixture.connections.len(), before);
}
