//! Requests that were not sent to a runner are answered before a draining gateway stops.

use crate::broken_invariants_tests::{connect_downstream, listener};
use crate::connection_reuse_tests::{options, pending_request};
use crate::gateway::Gateway;
use crate::pending_request::{RequestPhase, UpstreamAttempt};
use protocol::RequestId;
use std::net::TcpListener;

const GRACE_MS: u64 = 6_000;

/// A gateway that has been draining since time 0.
fn draining() -> (Gateway, TcpListener) {
    let mut options = options();
    options.shutdown_grace_ms = GRACE_MS;
    let mut gateway = Gateway::open(options).unwrap();
    gateway.draining_since = Some(0);
    (gateway, listener())
}

/// Adds a client's request that waits for a lease or was sent to its runner.
fn add_request(gateway: &mut Gateway, listener: &TcpListener, is_sent: bool) -> RequestId {
    let downstream = connect_downstream(gateway, listener);
    let mut pending = pending_request(Some(downstream), false);
    if is_sent {
        let connection = connect_downstream(gateway, listener);
        pending.phase = RequestPhase::Upstream(UpstreamAttempt {
            owner: "owner-1".into(),
            reported_to: Vec::new(),
            runner: "runner-1".into(),
            address: "127.0.0.1:1".into(),
            zone: "zone-1".into(),
            connection,
            started_at: 0,
            is_sent: true,
        });
    }
    let id = gateway.requests.add(pending);
    let connection = gateway.connections.downstream(downstream);
    connection.expect("a client").request = Some(id);
    id
}

#[test]
fn requests_that_wait_are_answered_before_the_grace_period_ends() {
    let (mut gateway, listener) = draining();
    let waiting = add_request(&mut gateway, &listener, false);
    let sent = add_request(&mut gateway, &listener, true);
    gateway.now = GRACE_MS * 10 / 12 - 1;
    assert!(!gateway.is_drained());
    assert!(gateway.requests.get(waiting).is_some());
    gateway.now = GRACE_MS * 10 / 12;
    assert!(!gateway.is_drained());
    assert!(gateway.requests.get(waiting).is_none());
    assert!(gateway.requests.get(sent).is_some());
    gateway.now = GRACE_MS * 11 / 12;
    assert!(gateway.is_drained());
}
