//! LIMIT check: without faults, the runners of a service reject few requests for being at their concurrency limit.

use crate::request_log::{ReceivedRequest, RequestOutcome};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Length of the sliding window in which rejections are counted.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Most allowed rejections of one service within the window.
pub const REJECTIONS_MAX: usize = 10;

/// Reports services whose runners rejected too many requests within a window after `from`.
pub fn check(received: &[ReceivedRequest], from: Instant) -> Vec<String> {
    let mut by_service: BTreeMap<&str, Vec<&ReceivedRequest>> = BTreeMap::new();
    for request in received {
        if request.outcome == RequestOutcome::OverCapacity && request.at >= from {
            let rejected = by_service.entry(&request.service).or_default();
            rejected.push(request);
        }
    }
    let mut violations = Vec::new();
    for (service, mut rejected) in by_service {
        rejected.sort_unstable_by_key(|request| request.at);
        let busiest = busiest_window(&rejected);
        if busiest.len() > REJECTIONS_MAX {
            violations.push(explain(service, busiest, from, received));
        }
    }
    violations
}

/// The window with the most rejections.
fn busiest_window<'a, 'b>(rejected: &'a [&'b ReceivedRequest]) -> &'a [&'b ReceivedRequest] {
    let windows = (0..rejected.len()).map(|first| {
        let following = &rejected[first..];
        let ends_at = following[0].at + WINDOW;
        &following[..following.partition_point(|request| request.at < ends_at)]
    });
    windows.max_by_key(|window| window.len()).unwrap_or(&[])
}

/// Time within which a runner notices that the connection of a request in progress was closed.
const DISCONNECT_NOTICE_TIME: Duration = Duration::from_millis(100);

/// An abandoned request that the runner still processed, after its connection was closed, when it rejected another one.
fn abandoned_during_rejection<'a>(
    rejected: &ReceivedRequest,
    received: &'a [ReceivedRequest],
) -> Option<&'a ReceivedRequest> {
    received.iter().find(|one| {
        let is_noticed_later =
            one.at >= rejected.at && one.at < rejected.at + DISCONNECT_NOTICE_TIME;
        one.outcome == RequestOutcome::Abandoned
            && one.runner == rejected.runner
            && is_noticed_later
    })
}

/// Describes which runners rejected which requests, and when.
fn explain(
    service: &str,
    rejected: &[&ReceivedRequest],
    from: Instant,
    received: &[ReceivedRequest],
) -> String {
    let entries = rejected.iter().map(|request| {
        let after = request.at.saturating_duration_since(from);
        let text = format!("{}@{} {after:.1?}", request.id, request.runner);
        match abandoned_during_rejection(request, received) {
            Some(abandoned) => {
                let noticed_after = abandoned.at.duration_since(request.at);
                format!(
                    "{text} (abandoned {} noticed {noticed_after:.1?} later)",
                    abandoned.id
                )
            }
            None => text,
        }
    });
    let entries: Vec<String> = entries.collect();
    let count = rejected.len();
    format!(
        "LIMIT: {count} rejections of {service} in {WINDOW:?}: {}",
        entries.join(", ")
    )
}
