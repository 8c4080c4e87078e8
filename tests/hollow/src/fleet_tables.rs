//! What a run of owners and scaler came to.

use crate::fleet::{Gateway, SimulatedFleet};
use crate::meter::{live, Markdown};

/// Prints the tables of a run that was measured for so many virtual seconds.
pub fn print_figures(fleet: SimulatedFleet, seconds: f64) {
    let size = format!(
        "{} real_gateways, {} functions, {} instances at the end, {:.0} calls/s, answers take {} ms",
        fleet.gateways.len(),
        fleet.mix.functions,
        fleet.listed.len(),
        fleet.sums.calls as f64 / seconds,
        fleet.service_time_ms
    );
    println!("\n## {size}");
    let sums = &fleet.sums;
    let table = Markdown::head(
        "Messages, all daemons together",
        &["kind", "a second", "KB/s", "bytes each"],
    );
    for (name, flow) in &sums.flows {
        let messages = flow.messages as f64;
        let bytes = flow.bytes as f64;
        table.named(
            name,
            &[
                messages / seconds,
                bytes / 1e3 / seconds,
                bytes / messages.max(1.0),
            ],
        );
    }
    let count = fleet.gateways.len() as f64;
    let share = |ns: u64| ns as f64 / 1e7 / seconds;
    let columns = ["of a keeper", "mean", "the most"];
    let table = Markdown::head("Keepers", &columns);
    type Of = fn(&Gateway) -> u64;
    let rows: [(&str, Of, f64); 4] = [
        ("% of a controller", |gateway| gateway.cpu, 1e7),
        ("bids/s", |gateway| gateway.lease_requests, 1.0),
        ("KB/s in (bids, releases)", |gateway| gateway.in_bytes, 1e3),
        ("KB/s of reports", |gateway| gateway.report_bytes, 1e3),
    ];
    for (name, of, unit) in rows {
        let sum: u64 = fleet.gateways.iter().map(of).sum();
        let most = fleet.gateways.iter().map(of).max().unwrap_or(0);
        let of = |value: f64| value / unit / seconds;
        table.named(name, &[of(sum as f64) / count, of(most as f64)]);
    }
    let table = Markdown::head("The scaler", &["part", "% of a controller"]);
    table.named("reports", &[share(sums.reporting)]);
    table.named("orders and news", &[share(sums.carrying_out)]);
    table.named("ticks", &[share(sums.ticking)]);
    table.named("list of instances, read already", &[share(sums.listing)]);
    println!(
        "\nlongest tick of the scaler: {:.1} ms",
        sums.longest_tick as f64 / 1e6
    );
    println!(
        "elections by all real_gateways: {:.1} % of a controller; {:.0} starts/s, {:.0} stops/s, {:.0} refused/s",
        share(sums.electing),
        sums.starts as f64 / seconds,
        sums.stops as f64 / seconds,
        sums.refused as f64 / seconds
    );
    let before = live();
    drop(fleet.autoscaler);
    let scaler = (before - live()) as f64 / 1e6;
    let before = live();
    drop(fleet.gateways);
    let owners = (before - live()) as f64 / 1e6;
    println!(
        "memory: scaler {scaler:.1} MB, keepers {:.2} MB each",
        owners / count
    );
}
