//! How many calls to the platform are under way at a time.

use crate::codec::PlatformRequest;
use crate::controller_connections::ControllerConnections;
use crate::platform_client::{PlatformClient, PlatformEndpoint, RequestPurpose};
use std::io::{ErrorKind, Read};
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

/// Calls that are under way at once where the platform is far: at 80 ms each they are 800 a second.
const AT_ONCE: usize = 64;

fn request() -> PlatformRequest {
    PlatformRequest {
        method: "POST",
        target: "/begin".into(),
        headers: Vec::new(),
        body: Vec::new(),
    }
}

#[test]
fn calls_beyond_the_connections_wait_and_none_is_lost() {
    let platform = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let mut connections = ControllerConnections::new(256, 1_000).unwrap();
    let endpoint = PlatformEndpoint {
        address: Some(platform.local_addr().unwrap()),
        timeout_ms: 1_000,
    };
    let mut client = PlatformClient::default();
    for number in 0..AT_ONCE + 36 {
        let purpose = RequestPurpose::Start(number.to_string());
        assert!(client.enqueue(request(), purpose).is_ok());
    }
    assert!(client
        .send_waiting(0, endpoint, &mut connections)
        .is_empty());
    assert_eq!(connections.len(), AT_ONCE);
    // Nothing is answered: those under way fail at their time, and the others take their place.
    let failed = client.expire(1_000, endpoint, &mut connections);
    assert_eq!(failed.len(), AT_ONCE);
    assert_eq!(connections.len(), 36);
}

/// What is left of a call at the platform once its caller has given it up.
fn end_of_call(
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
    client.send_waiting(0, endpoint, &mut connections);
    let (mut call, _) = platform.accept().unwrap();
    let mut events = Vec::new();
    connections.poll(Duration::from_millis(20), &mut events);
    give_up(&mut client, endpoint, &mut connections);
    call.read_to_end(&mut Vec::new()).unwrap_err().kind()
}

// The link of a controller that scaled was cut for six seconds. It gave its calls up and lost the role; when the link was back,
// half a second later, they arrived: "start from edge-gebze-a-1, fence 1099511627777" at 11.5 s, after "fence 1099511627778"
// from the next one at 8.5 s.
#[test]
fn a_call_that_is_given_up_reaches_the_platform_no_more() {
    let expired = end_of_call(|client, endpoint, connections| {
        client.expire(1_000, endpoint, connections);
    });
    assert_eq!(expired, ErrorKind::ConnectionReset);
    let forgotten = end_of_call(|client, _, connections| client.reset(connections));
    assert_eq!(forgotten, ErrorKind::ConnectionReset);
}
