//! Frames between controllers, and a response for gateways to store.

use crate::sample::{sample, Sample};
use consensus::ConsensusMessage;
use controller::PeerFrame;
use http1::{Headers, Response};

/// One frame of each kind between controllers.
pub fn peer_frames() -> Vec<Sample<PeerFrame>> {
    let link = ConsensusMessage::Link {
        address: "10.0.0.1:7000".into(),
    };
    vec![
        sample("hello", PeerFrame::Hello("10.0.0.1:7000".into())),
        sample("message", PeerFrame::Consensus(link)),
    ]
}

/// A runner's response with a hop-by-hop header (`Connection`), which is not stored.
pub fn response() -> Response {
    let mut headers = Headers::default();
    headers.push("Content-Type", b"text/plain");
    headers.push("Connection", b"keep-alive");
    headers.push("Server-Seal", b"seal.i-1.q-1");
    Response {
        status: 201,
        headers,
        body: b"made".to_vec(),
        keeps_alive: true,
    }
}
