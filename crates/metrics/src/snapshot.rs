//! A snapshot of a daemon's metrics.

use invariants::Invariant;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::{ConstGauge, Gauge};
use prometheus_client::registry::Registry;

/// Label of a time series as name and value, such as `reason="no seat in time"`.
type Label = [(String, String); 1];

/// Metrics of one daemon at one point in time. All names are prefixed with `hallkeel_`.
pub struct Snapshot {
    registry: Registry,
}

impl Default for Snapshot {
    fn default() -> Self {
        Self::new()
    }
}

impl Snapshot {
    /// Creates a snapshot with the metrics that every daemon has: the number of violations of each invariant.
    #[must_use]
    pub fn new() -> Self {
        let mut snapshot = Self {
            registry: Registry::with_prefix("hallkeel"),
        };
        let violations = Invariant::ALL.iter();
        let violations = violations.map(|one| (one.name(), invariants::violations(*one)));
        snapshot.labelled_counter(
            "invariant_violations",
            "Violations of an invariant since the start",
            "name",
            violations,
        );
        snapshot
    }

    /// Adds a counter, which never decreases within an incarnation. The suffix `_total` is appended to its name.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        self.registry.register(name, help, ConstCounter::new(value));
    }

    /// Adds a gauge, which may increase and decrease. A value above `i64::MAX` is reported as `i64::MAX`.
    pub fn gauge(&mut self, name: &str, help: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.registry.register(name, help, ConstGauge::new(value));
    }

    /// Adds a counter with one series per value of a label.
    pub fn labelled_counter<'a>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl Iterator<Item = (&'a str, u64)>,
    ) {
        let family = Family::<Label, Counter>::default();
        for (value, count) in values {
            let series = family.get_or_create(&[(label.to_string(), value.to_string())]);
            series.inc_by(count);
        }
        self.registry.register(name, help, family);
    }

    /// Adds a gauge with one series per value of a label. A value above `i64::MAX` is reported as `i64::MAX`.
    pub fn labelled_gauge<'a>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl Iterator<Item = (&'a str, u64)>,
    ) {
        let family = Family::<Label, Gauge>::default();
        for (value, level) in values {
            let series = family.get_or_create(&[(label.to_string(), value.to_string())]);
            series.set(i64::try_from(level).unwrap_or(i64::MAX));
        }
        self.registry.register(name, help, family);
    }

    /// Renders the metrics in the OpenMetrics text format.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
