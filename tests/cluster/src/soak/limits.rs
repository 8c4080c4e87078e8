//! Judges LIMIT: in calm time the runners of one service reject few requests as over their concurrency.

use crate::request_log::{ReceivedRequest, RequestOutcome};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time over which rejections are counted, wherever it lies.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Most rejections of one service within it.
pub const REJECTIONS_MAX: usize = 10;

/// The services whose runners rejected too many requests within a window after a time, with how many.
pub fn judge(received: &[ReceivedRequest], from: Instant) -> Vec<String> {
    let mut by_service: BTreeMap<&str, Vec<&ReceivedRequest>> = BTreeMap::new();
    for request in received {
        if request.outcome == RequestOutcome::OverCapacity && request.at >= from {
            let rejected = by_service.entry(&request.service).or_default();
            rejected.push(request);
        }
    }
    let mut broken = Vec::new();
    for (service, mut rejected) in by_service {
        rejected.sort_unstable_by_key(|request| request.at);
        let most = most_within(&rejected);
        if most.len() > REJECTIONS_MAX {
            broken.push(explain(service, most, from, received));
        }
    }
    broken
}

/// The window with the most rejections.
fn most_within<'a, 'b>(rejected: &'a [&'b ReceivedRequest]) -> &'a [&'b ReceivedRequest] {
    let windows = (0..rejected.len()).map(|first| {
        let following = &rejected[first..];
        let ends_at = following[0].at + WINDOW;
        &following[..following.partition_point(|request| request.at < ends_at)]
    });
    windows.max_by_key(|window| window.len()).unwrap_or(&[])
}

/// Time within which a runner notices that the connection of a request on which it works was closed.
const NOTICED_WITHIN: Duration = Duration::from_millis(100);

/// The request on which a runner still worked though its gateway had closed the connection, as another one was rejected.
fn abandoned_beside<'a>(
    rejected: &ReceivedRequest,
    received: &'a [ReceivedRequest],
) -> Option<&'a ReceivedRequest> {
    received.iter().find(|one| {
        let is_noticed_later = one.at >= rejected.at && one.at < rejected.at + NOTICED_WITHIN;
        one.outcome == RequestOutcome::Abandoned
            && one.runner == rejected.runner
            && is_noticed_later
    })
}

/// Which runners rejected which requests, and when.
fn explain(
    service: &str,
    rejected: &[&ReceivedRequest],
    from: Instant,
    received: &[ReceivedRequest],
) -> String {
    let each = rejected.iter().map(|request| {
        let after = request.at.saturating_duration_since(from);
        let text = format!("{}@{} {after:.1?}", request.id, request.runner);
        match abandoned_beside(request, received) {
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
    let each: Vec<String> = each.collect();
    let count = rejected.len();
    format!(
        "LIMIT: {count} rejections of {service} in {WINDOW:?}: {}",
        each.join(", ")
    )
}
