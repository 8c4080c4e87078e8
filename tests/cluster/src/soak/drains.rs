//! DRAIN check: a gateway in touch forwards no request to a runner that has been listed as draining for more than [`DRAIN`].

use super::disturbances::Disturbances;
use super::ledger::ClientRecord;
use crate::request_log::{ReceivedRequest, RequestOutcome};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// `drain_ms` in the settings files.
pub const DRAIN: Duration = Duration::from_millis(1_500);

/// A draining runner, and since when the platform lists it as such.
#[derive(Clone, Debug)]
pub struct DrainingRunner {
    pub id: String,
    pub listed_at: Instant,
}

/// Reports requests that reached a draining runner too late.
pub fn check(
    received: &[ReceivedRequest],
    requests: &[ClientRecord],
    draining: &[DrainingRunner],
    disturbances: &Disturbances,
) -> Vec<String> {
    let listed_at: HashMap<&str, Instant> = draining
        .iter()
        .map(|runner| (runner.id.as_str(), runner.listed_at))
        .collect();
    let sender: HashMap<&str, &ClientRecord> = requests
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect();
    let mut late = Vec::new();
    for one in received {
        let reached = matches!(
            one.outcome,
            RequestOutcome::Ran | RequestOutcome::OverCapacity | RequestOutcome::Rejected
        );
        let Some(listed_at) = listed_at.get(one.runner.as_str()).filter(|_| reached) else {
            continue;
        };
        let after = one.at.saturating_duration_since(*listed_at);
        let Some(request) = sender.get(one.id.as_str()).filter(|_| after > DRAIN) else {
            continue;
        };
        if disturbances.is_in_touch(request.gateway, one.at) {
            let (runner, function) = (&one.runner, &one.service);
            late.push(format!(
                "DRAIN: {after:?} after {runner} of {function} was listed as draining: {request}"
            ));
        }
    }
    late
}
