//! The number of concurrent requests to the platform, and the end of requests that are given up.

use crate::codec::PlatformRequest;
use crate::controller_connections::ControllerConnections;
use crate::platform_client::{PlatformClient, PlatformEndpoint, RequestPurpose};
use std::io::{ErrorKind, Read};
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

/// Maximum number of concurrent requests: at a response time of 80 ms they allow 800 requests per second.
const CONNECTIONS_MAX: usize = 64;

fn request() -> PlatformRequest {
    PlatformRequest {
        method: "POST",
        target: "/begin".into(),
        headers: Vec::new(),
        body: Vec::new(),
    }
}

#[test]
fn requests_beyond_the_connection_limit_are_queued_and_none_is_lost() {
    let platform = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let mut connections = ControllerConnections::new(256, 1_000).unwrap();
    let endpoint = PlatformEndpoint {
        address: Some(platform.local_addr().unwrap()),
        timeout_ms: 1_000,
    };
    let mut client = PlatformClient::default();
    for number in 0..CONNECTIONS_MAX + 36 {
        let purpose = RequestPurpose::Start(number.to_string());
        assert!(client.enqueue(request(), purpose).is_ok());
    }
    assert!(client.send_queued(0, endpoint, &mut connections).is_empty());
    assert_eq!(connections.len(), CONNECTIONS_MAX);
    // The platform never responds: requests in flight time out, and the queued ones take their place.
    let failed = client.expire(1_000, endpoint, &mut connections);
    assert_eq!(failed.len(), CONNECTIONS_MAX);
    assert_eq!(connections.len(), 36);
}

/// How a connection ends at the platform once the client has given up its request.
fn error_at_platform(
    give_up: impl FnOnce(&mut PlatformClient, PlatformEndpoint, &mut ControllerConnections),
) -> ErrorKind {
    let platform = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let mut connections = ControllerConnections::new(8, 1_000).unwrap();
    let endpoint = PlatformEndpoint {
        address: Some(platform.local_addr().unwrap()),
        timeout_ms: 1_000,
    };
    let mut client = PlatformClient::default();
    let purpose = RequestPurpose::Start("nonce".into());
    assert!(client.enqueue(request(), purpose).is_ok());
    client.send_queued(0, endpoint, &mut connections);
    let (mut platform_connection, _) = platform.accept().unwrap();
    let mut events = Vec::new();
    connections.poll(Duration::from_millis(20), &mut events);
    give_up(&mut client, endpoint, &mut connections);
    platform_connection
        .read_to_end(&mut Vec::new())
        .unwrap_err()
        .kind()
}

// Regression: the network link of a scaler was cut for six seconds, so that it gave up its requests and lost the role. Half a
// second after the link was restored, those requests arrived: "start from edge-gebze-a-1, fence 1099511627777" at 11.5 s, after
// "fence 1099511627778" from the next scaler at 8.5 s.
#[test]
fn a_request_that_is_given_up_does_not_reach_the_platform() {
    let expired = error_at_platform(|client, endpoint, connections| {
        client.expire(1_000, endpoint, connections);
    });
    assert_eq!(expired, ErrorKind::ConnectionReset);
    let discarded = error_at_platform(|client, _, connections| client.reset(connections));
    assert_eq!(discarded, ErrorKind::ConnectionReset);
}
