//! How many calls to the platform are under way at a time.

use crate::codec::PlatformRequest;
use crate::controller_connections::ControllerConnections;
use crate::platform_client::{PlatformClient, PlatformEndpoint, RequestPurpose};
use std::net::{Ipv4Addr, TcpListener};

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
