//! Two arms compared, day by day and metric by metric.

use crate::play::Reports;
use crate::statistics::Summary;
use std::collections::BTreeMap;

/// Changes of a metric below this are not told.
const UNCHANGED_BELOW: f64 = 5e-5;

/// How one metric changed.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricChange {
    /// Name of the metric.
    pub metric: String,
    /// Its median without the change.
    pub base: f64,
    /// Its median with the change.
    pub change: f64,
    /// The differences, in the order of the days.
    pub differences: Vec<f64>,
    /// What the differences show.
    pub summary: Summary,
}

/// All metrics that days of both arms have.
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
    /// Whether it moved on any day.
    #[must_use]
    pub fn has_moved(&self) -> bool {
        let mut differences = self.differences.iter();
        differences.any(|difference| difference.abs() >= UNCHANGED_BELOW)
    }
}
