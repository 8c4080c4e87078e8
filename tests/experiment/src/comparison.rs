//! Compares two arms by the differences of each metric on the same days.

use crate::play::Reports;
use crate::statistics::Summary;
use std::collections::BTreeMap;

/// Smaller differences of a metric count as unchanged and are not reported.
const UNCHANGED_BELOW: f64 = 5e-5;

/// How one metric differs between the arms.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricChange {
    /// Name of the metric, as in the report of a day.
    pub metric: String,
    /// Median over all days without the change.
    pub base: f64,
    /// Median over all days with the change.
    pub change: f64,
    /// Difference (change minus base) of each day, in the order of the days.
    pub differences: Vec<f64>,
    /// Statistics of the differences.
    pub summary: Summary,
}

/// Compares all metrics that both arms report for the same day.
#[must_use]
pub fn compare(base: &Reports, change: &Reports) -> Vec<MetricChange> {
    let mut pairs: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for (day, before) in base {
        let Some(after) = change.get(day) else {
            continue;
        };
        for (metric, value) in &before.metrics {
            if let Some(changed) = after.metrics.get(metric) {
                pairs.entry(metric).or_default().push((*value, *changed));
            }
        }
    }
    let changes = pairs.into_iter();
    changes
        .filter_map(|(metric, pairs)| metric_change(metric, &pairs))
        .collect()
}

fn metric_change(metric: &str, pairs: &[(f64, f64)]) -> Option<MetricChange> {
    let differences: Vec<f64> = pairs.iter().map(|(base, change)| change - base).collect();
    let summary = Summary::of(&differences)?;
    let base: Vec<f64> = pairs.iter().map(|(base, _)| *base).collect();
    let change: Vec<f64> = pairs.iter().map(|(_, change)| *change).collect();
    Some(MetricChange {
        metric: metric.to_owned(),
        base: Summary::of(&base)?.median,
        change: Summary::of(&change)?.median,
        differences,
        summary,
    })
}

impl MetricChange {
    /// Whether the metric differs on any day.
    #[must_use]
    pub fn differs(&self) -> bool {
        let mut differences = self.differences.iter();
        differences.any(|difference| difference.abs() >= UNCHANGED_BELOW)
    }
}
