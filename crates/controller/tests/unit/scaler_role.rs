//! What arrives once the scaler's role is over, and before the next tick, commands nothing at the platform.
//!
//! A controller stood still for four seconds and woke. Its consensus knew at once that its lease was over ("consensus: scaler
//! role lost term=1099511627778" at 44.066 s), the scaler only with the next tick ("scaler: role lost" at 44.103 s), and in
//! between the ends of calls to the platform let 78 waiting starts leave under that term, while another controller had scaled
//! under the next one since 41.1 s.

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

/// A platform of which lists alone are asked.
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
        unreachable!("nothing is answered")
    }

    fn list_workers(&self) -> PlatformRequest {
        list("/workers")
    }

    fn read_workers(&self, _: &[u8]) -> Result<Vec<WorkerListing>, UnreadableResponse> {
        unreachable!("nothing is answered")
    }

    fn start(&self, _: &str, _: &str, _: &str, _: FencingToken<'_>) -> PlatformRequest {
        unreachable!("nothing is started")
    }

    fn read_start(&self, _: u16, _: &[u8]) -> StartResult {
        unreachable!("nothing is started")
    }

    fn stop(&self, _: &str, _: FencingToken<'_>) -> PlatformRequest {
        unreachable!("nothing is stopped")
    }

    fn is_stopped(&self, _: u16) -> bool {
        unreachable!("nothing is stopped")
    }
}

/// A scaler with calls to the platform on their way, as of the time at which its role is over.
struct Scaling {
    scaler: Scaler,
    options: ControllerOptions,
    connections: ControllerConnections,
    gateways: GatewayTable,
    _platform: TcpListener,
}

impl Scaling {
    fn begin() -> Self {
        let platform = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let options = ControllerOptions {
            platform_address: Some(platform.local_addr().unwrap()),
            platform_codec: Box::new(ListsOnly),
            ..controller_options()
        };
        let connections = ControllerConnections::new(64, options.lease_ms()).unwrap();
        let mut scaling = Self {
            scaler: Scaler::default(),
            options,
            connections,
            gateways: GatewayTable::default(),
            _platform: platform,
        };
        let configuration = CommittedConfiguration::default();
        scaling.with_role(Some(TERM), |scaler, context| {
            assert!(scaler.begin_term(TERM, &configuration, context));
            scaler.poll(context);
        });
        assert!(scaling.connections.len() > 0, "the platform was asked");
        scaling
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

/// A connection that carries nothing.
fn other_connection(scaling: &mut Scaling) -> ConnectionId {
    let address = scaling.options.platform_address.unwrap();
    let kind = crate::controller_connections::ControllerConnection::Platform;
    let connection = scaling.connections.connect(address, kind).unwrap();
    scaling.connections.close(connection);
    connection
}

#[test]
fn each_event_after_the_role_is_over_ends_all_calls() {
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
            let mut scaling = Scaling::begin();
            let connection = other_connection(&mut scaling);
            scaling.with_role(term, |scaler, context| event(scaler, connection, context));
            assert_eq!(scaling.connections.len(), 0, "{term:?}");
        }
    }
}

#[test]
fn events_under_the_role_end_no_calls() {
    let mut scaling = Scaling::begin();
    let connection = other_connection(&mut scaling);
    let before = scaling.connections.len();
    scaling.with_role(Some(TERM), |scaler, context| {
        scaler.handle_closed(connection, context);
        scaler.handle_reports("gateway-1", &[], context);
    });
    assert_eq!(scaling.connections.len(), before);
}
