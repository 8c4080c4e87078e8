//! Violates each invariant of the gateway on purpose and expects its check to panic.

use crate::applied_configuration::AppliedConfiguration;
use crate::client_response::ClientResponse;
use crate::connection_reuse_tests::{options, pending_request};
use crate::connections::ConnectionRole;
use crate::downstream_connection::DownstreamConnection;
use crate::gateway::Gateway;
use crate::pending_request::{RequestPhase, UpstreamAttempt};
use crate::request_accounting::RequestEnd;
use event_loop::ConnectionId;
use http1::ErrorStatus;
use jobs::JobAdmission;
use locality::Topology;
use protocol::RequestId;
use routing::RoutingConfiguration;
use std::net::{Ipv4Addr, TcpListener};

/// Time at which the checks over whole tables are due, in milliseconds.
const CHECKS_DUE_AT: u64 = 1_000;

fn gateway() -> Gateway {
    let mut gateway = Gateway::open(options()).unwrap();
    gateway.now = CHECKS_DUE_AT;
    gateway
}

/// Opens a client connection to a listener that is dropped with the test.
pub(crate) fn connect_downstream(gateway: &mut Gateway, listener: &TcpListener) -> ConnectionId {
    let role = ConnectionRole::Downstream(DownstreamConnection::accepted(0));
    let address = listener.local_addr().unwrap().to_string();
    gateway
        .connections
        .connect(&address, 1 << 10, role)
        .unwrap()
}

pub(crate) fn listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap()
}

#[test]
fn consistent_tables_pass_the_checks() {
    let (mut gateway, listener) = (gateway(), listener());
    let connection = connect_downstream(&mut gateway, &listener);
    let id = gateway
        .requests
        .add(pending_request(Some(connection), false));
    gateway.connections.downstream(connection).unwrap().request = Some(id);
    gateway.check_invariants();
    assert!(gateway.requests.remove(id, RequestEnd::Answered).is_some());
    assert_eq!(gateway.requests.counts().in_flight(), Some(0));
}

#[test]
#[should_panic(expected = "requests_are_conserved")]
fn a_client_that_waits_for_no_request_in_flight() {
    let (mut gateway, listener) = (gateway(), listener());
    let connection = connect_downstream(&mut gateway, &listener);
    gateway.connections.downstream(connection).unwrap().request = Some(RequestId(77));
    gateway.check_invariants();
}

#[test]
#[should_panic(expected = "response_reaches_its_request")]
fn a_response_on_a_connection_that_waits_for_another_request() {
    let (mut gateway, listener) = (gateway(), listener());
    let connection = connect_downstream(&mut gateway, &listener);
    gateway.connections.downstream(connection).unwrap().request = Some(RequestId(77));
    let request = pending_request(Some(connection), false);
    let response = ClientResponse::error(ErrorStatus::SERVICE_UNAVAILABLE, Vec::new(), "");
    gateway.respond(&request, response);
}

#[test]
#[should_panic(expected = "success_is_sealed")]
fn a_success_without_the_seal_of_a_runner() {
    let (mut gateway, listener) = (gateway(), listener());
    let connection = connect_downstream(&mut gateway, &listener);
    let request = pending_request(Some(connection), false);
    gateway.connections.downstream(connection).unwrap().request = Some(request.id);
    gateway.respond(&request, ClientResponse::from_runner(204, Vec::new(), b""));
}

#[test]
#[should_panic(expected = "at_most_once_is_sent_once")]
fn a_request_that_may_have_run_is_sent_again() {
    let mut request = pending_request(None, true);
    request.may_have_run = true;
    request.check_may_be_sent(&Topology::default());
}

#[test]
#[should_panic(expected = "attempts_are_bounded")]
fn a_request_is_sent_more_often_than_its_route_allows() {
    let mut request = pending_request(None, false);
    request.attempts = request.max_attempts;
    request.check_may_be_sent(&Topology::default());
}

#[test]
#[should_panic(expected = "job_is_claimed_before_it_is_sent")]
fn a_job_is_sent_without_its_claim() {
    let mut request = pending_request(None, true);
    let admission = JobAdmission::new("key".into(), [0; 16], true, 1);
    request.job = Some(Box::new(admission));
    request.check_may_be_sent(&Topology::default());
}

#[test]
#[should_panic(expected = "rejected_has_not_run")]
fn a_client_is_told_that_a_request_has_not_run_that_may_have() {
    let mut request = pending_request(None, true);
    request.may_have_run = true;
    request.check_has_not_run();
}

#[test]
#[should_panic(expected = "configuration_moves_forward")]
fn an_older_configuration_is_put_in_force() {
    let mut configuration = AppliedConfiguration::default();
    configuration.put_in_force(7, RoutingConfiguration::default());
    configuration.put_in_force(6, RoutingConfiguration::default());
}

#[test]
fn an_older_update_is_dropped() {
    let mut configuration = AppliedConfiguration::default();
    assert!(configuration.apply_evacuations(5, vec!["zone-1".into()]));
    assert!(!configuration.apply_evacuations(4, Vec::new()));
    assert!(configuration.evacuated_zones().contains("zone-1"));
}

#[test]
#[should_panic(expected = "queue_is_bounded")]
fn more_connections_are_open_than_may_be() {
    let (mut gateway, listener) = (gateway(), listener());
    connect_downstream(&mut gateway, &listener);
    gateway.options.max_connections = 0;
    gateway.check_invariants();
}

#[test]
#[should_panic(expected = "request_stays_in_its_regions")]
fn a_request_about_to_be_sent_out_of_its_regions() {
    let (mut gateway, listener) = (gateway(), listener());
    let connection = connect_downstream(&mut gateway, &listener);
    let mut pending = pending_request(None, false);
    pending.allowed_regions = vec!["home".into()];
    let attempt = UpstreamAttempt {
        owner: "owner-1".into(),
        reported_to: Vec::new(),
        runner: "runner-1".into(),
        address: "127.0.0.1:1".into(),
        zone: "away-1".into(),
        connection,
        started_at: 0,
        is_sent: false,
    };
    pending.phase = RequestPhase::Upstream(attempt);
    let zones = [("home-1", "home"), ("away-1", "away")];
    let regions = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    pending.check_may_be_sent(&Topology::new(regions.into()));
}
