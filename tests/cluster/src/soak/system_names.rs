//! Targets and headers of clients' requests that look like names of the system. At the clients' address none of them has a
//! meaning: the requests are served like any other.

use crate::client::ClientRequest;
use crate::operator::route;
use crate::runner::{FAULT, LISTED_SEAL};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

/// Targets of the platform, of operators and of readiness checks, below the prefix of one route.
const TARGETS: [&str; 6] = [
    "/v1/readiness",
    "/v1/readiness?verbose=1",
    "/v1/Config.Read",
    "/v1/Evacuation.Begin/north-a",
    "/v1/workers",
    "/v1/stop",
];
const PREFIX: &str = "/v1/";
const ROUTE: &str = "versioned";
/// Headers that have a meaning in other messages and none in a client's request.
const HEADERS: [(&str, &str); 10] = [
    ("Server-Seal", "forged"),
    ("Target-Instance", "i-forged"),
    ("Not-Run", "1"),
    ("Retry-After", "5"),
    ("Base-Version", "1"),
    ("Duty-Holder", "edge-1"),
    ("Fence-Number", "1"),
    ("Instance-Id", "i-forged"),
    ("Cold-For", "60000"),
    ("Expect", "the-unexpected"),
];
/// One request in this many that may run several times asks for one of the targets.
const TARGET_ONE_IN: u32 = 8;
/// One request in this many bears one of the headers.
const HEADER_ONE_IN: u32 = 5;
/// One request in this many asks its runner to list the seal in the `Connection` header of its response.
const LISTED_SEAL_ONE_IN: u32 = 15;
/// Gives these draws a different sequence than those of the client.
const SEED_OFFSET: u64 = 0x6e61_6d65;

/// Adds a route for the targets to a configuration.
pub fn add_route(document: &mut Value) {
    let routes = document["routes"].as_array_mut();
    let routes = routes.expect("there are routes");
    routes.push(route(ROUTE, PREFIX, "safe", "plain"));
}

/// Gives some of a client's requests targets and headers that look like names of the system.
pub struct SystemNames {
    random: StdRng,
}

impl SystemNames {
    /// Creates the draws of the client with this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed ^ SEED_OFFSET),
        }
    }

    /// Replaces the target of some requests, which must not be at-most-once.
    pub fn draw_target(&mut self, request: &mut ClientRequest) {
        if self.random.random_ratio(1, TARGET_ONE_IN) {
            request.target = TARGETS[self.random.random_range(0..TARGETS.len())].into();
        }
    }

    /// Adds headers to some requests.
    pub fn draw_headers(&mut self, request: ClientRequest) -> ClientRequest {
        let mut request = request;
        if self.random.random_ratio(1, HEADER_ONE_IN) {
            let (name, value) = HEADERS[self.random.random_range(0..HEADERS.len())];
            request = request.with(name, value);
        }
        let asks_for_fault = request.headers.iter().any(|(name, _)| *name == FAULT);
        if !asks_for_fault && self.random.random_ratio(1, LISTED_SEAL_ONE_IN) {
            request = request.with(FAULT, LISTED_SEAL);
        }
        request
    }
}
