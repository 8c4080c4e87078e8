//! One keeper by the runners of a function and by its functions.

use crate::meter::{live, median_ns, tell_fit, timed, Markdown};
use crate::town;
use protocol::{frame, LeaseOutcome, LeaseRelease, LeaseRequest, Message, RequestId};
use seat_leases::{LeaseAction, LeaseOwner};
use std::hint::black_box;

pub fn run() {
    by_runners();
    by_functions();
    by_tickets();
}

fn bid(ticket: u64, function: usize) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(ticket),
        function: town::function_name(function),
        priority: 1,
        timeout_ms: 6_000,
        excluded_runners: Vec::new(),
        job: None,
    }
}

fn release(ticket: u64) -> LeaseRelease {
    LeaseRelease {
        request_id: RequestId(ticket),
        outcome: LeaseOutcome::Succeeded,
        duration_ms: 60,
    }
}

/// Bids and releases with three quarters of the seats lent; nanoseconds of a call.
fn call_ns(keeper: &mut LeaseOwner, runners: usize, calls: u64) -> f64 {
    let lent = (runners as u64 * 3 / 4).max(1);
    for ticket in 0..lent {
        keeper.request_lease(0, "edge-0001", "north-a", bid(ticket, 0));
    }
    let mut sum = 0;
    let mut granted = 0;
    timed(&mut sum, || {
        for call in 0..calls {
            keeper.release(call, "edge-0001", &release(call));
            keeper.request_lease(call, "edge-0001", "north-a", bid(call + lent, 0));
            let actions = keeper.take_actions();
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
        let mut keeper = LeaseOwner::default();
        keeper.update_runners(0, town::news(0, runners, 1));
        let held = (live() - before) as f64;
        let news = town::news(0, runners, 2);
        let mut ns: Vec<f64> = (0..3)
            .map(|_| {
                let mut keeper = LeaseOwner::default();
                keeper.update_runners(0, town::news(0, runners, 1));
                call_ns(&mut keeper, runners, 2_000_000 / (runners as u64 + 500))
            })
            .collect();
        ns.sort_by(f64::total_cmp);
        let report = keeper.reports(1_000_000, true);
        let bytes = frame(&Message::FunctionReports(report)).len() as f64;
        let times = 20_000 / (runners as u32 + 10) + 1;
        let report_ns = median_ns(times, || {
            let report = keeper.reports(1_000_000, true);
            black_box(frame(&Message::FunctionReports(report)));
        });
        let news_bytes = frame(&Message::FunctionUpdates(vec![news.clone()])).len() as f64;
        let news_ns = median_ns(times, || keeper.update_runners(0, news.clone()));
        let size = runners as f64;
        calls.push((size, ns[1] / 1e3));
        reports.push((size, bytes));
        memory.push((size, held));
        table.row(&[
            size,
            ns[1] / 1e3,
            bytes,
            report_ns / 1e3,
            news_bytes,
            news_ns / 1e3,
            held,
        ]);
    }
    tell_fit("us a call", "instances", &calls);
    tell_fit("bytes of a report", "instances", &reports);
    tell_fit("bytes of memory", "instances", &memory);
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
        let mut keeper = LeaseOwner::default();
        for function in 0..functions {
            let mut news = town::news(function, 1, 1);
            news.runners[0].id = town::instance_id(function);
            keeper.update_runners(0, news);
        }
        let held = (live() - before) as f64 / functions as f64;
        let idle_ns = median_ns(200, || keeper.tick(1));
        for function in (0..functions).step_by(10) {
            keeper.request_lease(
                1,
                "edge-0001",
                "north-a",
                bid(2 * function as u64, function),
            );
            keeper.request_lease(
                1,
                "edge-0001",
                "north-a",
                bid(2 * function as u64 + 1, function),
            );
        }
        let waiting_ns = median_ns(200, || keeper.tick(2));
        idle.push((functions as f64, idle_ns / 1e3));
        waiting.push((functions as f64, waiting_ns / 1e3));
        table.row(&[functions as f64, held, idle_ns / 1e3, waiting_ns / 1e3]);
    }
    tell_fit("us an idle tick", "functions", &idle);
    tell_fit("us a tick with 1 in 10 waiting", "functions", &waiting);
}

fn by_tickets() {
    let columns = [
        "requests held here",
        "us to forget a gateway that holds 1 in 100",
    ];
    let table = Markdown::head("A gateway goes, by requests that a keeper holds", &columns);
    for tickets in [100, 1_000, 8_000] {
        let mut sums: Vec<u64> = (0..5)
            .map(|_| {
                let mut keeper = LeaseOwner::default();
                for function in 0..tickets / 10 {
                    keeper.update_runners(0, town::news(function, 10, 1));
                }
                for ticket in 0..tickets {
                    let gateway = town::gateway_name(ticket % 100);
                    keeper.request_lease(1, &gateway, "north-a", bid(ticket as u64, ticket / 10));
                }
                let mut sum = 0;
                timed(&mut sum, || keeper.remove_gateway(2, "edge-0001"));
                sum
            })
            .collect();
        sums.sort_unstable();
        table.row(&[tickets as f64, sums[2] as f64 / 1e3]);
    }
}
