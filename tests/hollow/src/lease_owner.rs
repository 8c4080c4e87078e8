//! One owner by the runners of a function and by its functions.

use crate::meter::{live, median_ns, print_fit, timed, Markdown};
use crate::synthetic_site;
use protocol::{frame, LeaseOutcome, LeaseRelease, LeaseRequest, Message, RequestId};
use seat_leases::{LeaseAction, LeaseOwner};
use std::hint::black_box;

pub fn run() {
    by_runners();
    by_functions();
    by_requests();
}

fn lease_request(request_id: u64, function: usize) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(request_id),
        function: synthetic_site::function_name(function),
        priority: 1,
        timeout_ms: 6_000,
        excluded_runners: Vec::new(),
        job: None,
    }
}

fn release(request_id: u64) -> LeaseRelease {
    LeaseRelease {
        request_id: RequestId(request_id),
        outcome: LeaseOutcome::Succeeded,
        duration_ms: 60,
    }
}

/// Requests and releases of leases with three quarters of the seats lent; nanoseconds of a call.
fn call_ns(owner: &mut LeaseOwner, runners: usize, calls: u64) -> f64 {
    let lent = (runners as u64 * 3 / 4).max(1);
    for request_id in 0..lent {
        owner.request_lease(0, "edge-0001", "north-a", lease_request(request_id, 0));
    }
    let mut sum = 0;
    let mut granted = 0;
    timed(&mut sum, || {
        for call in 0..calls {
            owner.release(call, "edge-0001", &release(call));
            owner.request_lease(call, "edge-0001", "north-a", lease_request(call + lent, 0));
            let actions = owner.take_actions();
            granted += actions
                .iter()
                .filter(|one| matches!(one, LeaseAction::Lease { .. }))
                .count();
        }
    });
    assert!(granted as u64 >= calls, "each call gets a seat");
    sum as f64 / calls as f64
}

fn by_runners() {
    let columns = [
        "instances of the function",
        "us a call (bid, seat, release)",
        "bytes of a report",
        "us a report",
        "bytes of news",
        "us to take news",
        "bytes of memory",
    ];
    let table = Markdown::head("A keeper by instances of one function", &columns);
    let (mut calls, mut reports, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for runners in [1, 10, 100, 1_000, 8_000] {
        let before = live();
        let mut owner = LeaseOwner::default();
        owner.update_runners(0, synthetic_site::update(0, runners, 1));
        let held = (live() - before) as f64;
        let update = synthetic_site::update(0, runners, 2);
        let mut ns: Vec<f64> = (0..3)
            .map(|_| {
                let mut owner = LeaseOwner::default();
                owner.update_runners(0, synthetic_site::update(0, runners, 1));
                call_ns(&mut owner, runners, 2_000_000 / (runners as u64 + 500))
            })
            .collect();
        ns.sort_by(f64::total_cmp);
        let report = owner.reports(1_000_000, true);
        let bytes = frame(&Message::FunctionReports(report)).len() as f64;
        let times = 20_000 / (runners as u32 + 10) + 1;
        let report_ns = median_ns(times, || {
            let report = owner.reports(1_000_000, true);
            black_box(frame(&Message::FunctionReports(report)));
        });
        let update_bytes = frame(&Message::FunctionUpdates(vec![update.clone()])).len() as f64;
        let update_ns = median_ns(times, || owner.update_runners(0, update.clone()));
        let size = runners as f64;
        calls.push((size, ns[1] / 1e3));
        reports.push((size, bytes));
        memory.push((size, held));
        table.row(&[
            size,
            ns[1] / 1e3,
            bytes,
            report_ns / 1e3,
            update_bytes,
            update_ns / 1e3,
            held,
        ]);
    }
    print_fit("us a call", "instances", &calls);
    print_fit("bytes of a report", "instances", &reports);
    print_fit("bytes of memory", "instances", &memory);
}

fn by_functions() {
    let columns = [
        "functions kept",
        "bytes each",
        "us a tick, all idle",
        "us a tick, 1 in 10 waits",
    ];
    let table = Markdown::head("A keeper by functions, one instance each", &columns);
    let (mut idle, mut waiting) = (Vec::new(), Vec::new());
    for functions in [36, 200, 2_000, 21_000] {
        let before = live();
        let mut owner = LeaseOwner::default();
        for function in 0..functions {
            let mut update = synthetic_site::update(function, 1, 1);
            update.runners[0].id = synthetic_site::instance_id(function);
            owner.update_runners(0, update);
        }
        let held = (live() - before) as f64 / functions as f64;
        let idle_ns = median_ns(200, || owner.tick(1));
        for function in (0..functions).step_by(10) {
            owner.request_lease(
                1,
                "edge-0001",
                "north-a",
                lease_request(2 * function as u64, function),
            );
            owner.request_lease(
                1,
                "edge-0001",
                "north-a",
                lease_request(2 * function as u64 + 1, function),
            );
        }
        let waiting_ns = median_ns(200, || owner.tick(2));
        idle.push((functions as f64, idle_ns / 1e3));
        waiting.push((functions as f64, waiting_ns / 1e3));
        table.row(&[functions as f64, held, idle_ns / 1e3, waiting_ns / 1e3]);
    }
    print_fit("us an idle tick", "functions", &idle);
    print_fit("us a tick with 1 in 10 waiting", "functions", &waiting);
}

fn by_requests() {
    let columns = [
        "requests held here",
        "us to forget a gateway that holds 1 in 100",
    ];
    let table = Markdown::head("A gateway goes, by requests that a keeper holds", &columns);
    for last_request_id in [100, 1_000, 8_000] {
        let mut sums: Vec<u64> = (0..5)
            .map(|_| {
                let mut owner = LeaseOwner::default();
                for function in 0..last_request_id / 10 {
                    owner.update_runners(0, synthetic_site::update(function, 10, 1));
                }
                for request_id in 0..last_request_id {
                    let gateway = synthetic_site::gateway_name(request_id % 100);
                    owner.request_lease(
                        1,
                        &gateway,
                        "north-a",
                        lease_request(request_id as u64, request_id / 10),
                    );
                }
                let mut sum = 0;
                timed(&mut sum, || owner.remove_gateway(2, "edge-0001"));
                sum
            })
            .collect();
        sums.sort_unstable();
        table.row(&[last_request_id as f64, sums[2] as f64 / 1e3]);
    }
}
