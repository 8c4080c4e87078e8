//! The soak's check of requests that runners reject because they are at their concurrency limit.

use cluster::request_log::{ReceivedRequest, RequestOutcome};
use cluster::soak::limits::{check, REJECTIONS_MAX, WINDOW};
use std::time::{Duration, Instant};

fn received(service: &str, outcome: RequestOutcome, at: Instant) -> ReceivedRequest {
    ReceivedRequest {
        id: String::new(),
        service: service.into(),
        runner: String::new(),
        zone: String::new(),
        method: String::new(),
        target: String::new(),
        body: Vec::new(),
        tenants: Vec::new(),
        keys: Vec::new(),
        headers: Default::default(),
        outcome,
        at,
    }
}

/// `count` rejections of a service, evenly spaced over a duration.
fn rejections(service: &str, count: usize, from: Instant, over: Duration) -> Vec<ReceivedRequest> {
    let step = over / count as u32;
    let times = (0..count as u32).map(|number| from + step * number);
    times
        .map(|at| received(service, RequestOutcome::OverCapacity, at))
        .collect()
}

#[test]
fn too_many_rejections_of_one_service_within_a_window_are_reported() {
    let from = Instant::now();
    let many = rejections("stamp", REJECTIONS_MAX + 1, from, WINDOW);
    assert_eq!(check(&many, from).len(), 1);
    let few = rejections("stamp", REJECTIONS_MAX, from, WINDOW);
    assert!(check(&few, from).is_empty());
}

#[test]
fn rejections_of_other_services_windows_kinds_and_times_are_not_added_up() {
    let from = Instant::now();
    let mut all = rejections("stamp", REJECTIONS_MAX, from, WINDOW);
    all.extend(rejections("count", REJECTIONS_MAX, from, WINDOW));
    all.extend(rejections(
        "stamp",
        REJECTIONS_MAX,
        from + WINDOW * 2,
        WINDOW,
    ));
    all.push(received("stamp", RequestOutcome::Rejected, from));
    assert!(check(&all, from).is_empty());
    let early = rejections("stamp", REJECTIONS_MAX * 2, from, WINDOW);
    assert!(check(&early, from + WINDOW).is_empty());
}
