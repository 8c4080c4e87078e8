//! The result as a table in Markdown.

use crate::comparison::MetricChange;
use crate::play::Reports;
use crate::report::{PRICES, WORTH};
use std::fmt::Write;

/// The table of all metrics that moved, with the verdict on each.
#[must_use]
pub fn metrics(changes: &[MetricChange]) -> String {
    let mut text = String::from(
        "| metric | base | change | median difference | least | greatest | pairs | beyond noise |\n|---|---|---|---|---|---|---|---|\n",
    );
    for change in changes.iter().filter(|change| change.has_moved()) {
        let summary = change.summary;
        let verdict = if summary.is_beyond_noise() {
            "yes"
        } else {
            "no"
        };
        // Writing to a text does not fail.
        let _ = writeln!(
            text,
            "| {} | {:.4} | {:.4} | {:+.4} | {:+.4} | {:+.4} | {} | {verdict} (p {:.2}) |",
            change.metric,
            change.base,
            change.change,
            summary.median,
            summary.least,
            summary.greatest,
            summary.pairs,
            summary.chance,
        );
    }
    text
}

/// The head of the table of an ablation.
pub const ABLATION_HEAD: &str =
    "| change | worth | least | greatest | prices | beyond noise |\n|---|---|---|---|---|---|\n";

/// The row of one change: the median difference of the worth with its spread, and that of the prices.
#[must_use]
pub fn ablation_row(label: &str, changes: &[MetricChange]) -> String {
    let find = |metric: &str| changes.iter().find(|change| change.metric == metric);
    let (Some(worth), Some(prices)) = (find(WORTH), find(PRICES)) else {
        return format!("| {label} | not played | | | | |\n");
    };
    let (summary, price) = (worth.summary, prices.summary.median);
    let verdict = if summary.is_beyond_noise() {
        "yes"
    } else {
        "no"
    };
    format!(
        "| {label} | {:+.4} | {:+.4} | {:+.4} | {price:+.4} | {verdict} (p {:.2}) |\n",
        summary.median, summary.least, summary.greatest, summary.chance
    )
}

/// Days on which a rule was broken or a fault came, with what it was.
#[must_use]
pub fn violations(label: &str, reports: &Reports) -> String {
    let mut text = String::new();
    for (day, report) in reports {
        if !report.violations.is_empty() {
            let broken = report.violations.join(", ");
            let _ = writeln!(text, "{label}: {} broke {broken}", day.label());
        }
    }
    text
}
