//! Formats results as Markdown tables.

use crate::comparison::MetricChange;
use crate::play::Reports;
use crate::report::{PRICES, WORTH};
use std::fmt::Write;

/// Table of all metrics that changed, with the significance of each.
#[must_use]
pub fn metrics(changes: &[MetricChange]) -> String {
    let mut text = String::from(
        "| metric | base | change | median difference | least | greatest | pairs | beyond noise |\n|---|---|---|---|---|---|---|---|\n",
    );
    for change in changes.iter().filter(|change| change.differs()) {
        let summary = change.summary;
        let verdict = if summary.is_significant() {
            "yes"
        } else {
            "no"
        };
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "| {} | {:.4} | {:.4} | {:+.4} | {:+.4} | {:+.4} | {} | {verdict} (p {:.2}) |",
            change.metric,
            change.base,
            change.change,
            summary.median,
            summary.min,
            summary.max,
            summary.pairs,
            summary.p_value,
        );
    }
    text
}

/// Header of the ablation table.
pub const ABLATION_HEAD: &str =
    "| change | worth | least | greatest | prices | beyond noise |\n|---|---|---|---|---|---|\n";

/// Row of the ablation table: median, smallest and largest difference of the worth, and median difference of the prices.
#[must_use]
pub fn ablation_row(label: &str, changes: &[MetricChange]) -> String {
    let find = |metric: &str| changes.iter().find(|change| change.metric == metric);
    let (Some(worth), Some(prices)) = (find(WORTH), find(PRICES)) else {
        return format!("| {label} | not played | | | | |\n");
    };
    let (summary, price) = (worth.summary, prices.summary.median);
    let verdict = if summary.is_significant() {
        "yes"
    } else {
        "no"
    };
    format!(
        "| {label} | {:+.4} | {:+.4} | {:+.4} | {price:+.4} | {verdict} (p {:.2}) |\n",
        summary.median, summary.min, summary.max, summary.p_value
    )
}

/// One line for each day with rule violations or a fault.
#[must_use]
pub fn violations(label: &str, reports: &Reports) -> String {
    let mut text = String::new();
    for (day, report) in reports {
        if !report.violations.is_empty() {
            let violated = report.violations.join(", ");
            let _ = writeln!(text, "{label}: {} broke {violated}", day.label());
        }
    }
    text
}
