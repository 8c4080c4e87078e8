//! Figures at one moment.

use invariants::Invariant;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::{ConstCounter, Counter};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::{ConstGauge, Gauge};
use prometheus_client::registry::Registry;

/// Label of a series, such as `reason="no seat in time"`.
type Label = [(String, String); 1];

/// Figures of one daemon at one moment, by name. All names begin with `hallkeel_`.
pub struct Snapshot {
    registry: Registry,
}

impl Default for Snapshot {
    fn default() -> Self {
        Self::new()
    }
}

impl Snapshot {
    /// The figures that every daemon has: the violations of each invariant.
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

    /// A count that only rises within an incarnation. The suffix `_total` is added to its name.
    pub fn counter(&mut self, name: &str, help: &str, value: u64) {
        self.registry.register(name, help, ConstCounter::new(value));
    }

    /// A figure that rises and falls. One beyond the range of the format is shown as its largest value.
    pub fn gauge(&mut self, name: &str, help: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.registry.register(name, help, ConstGauge::new(value));
    }

    /// Counts of one name, each with another value of a label.
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

    /// Figures of one name, each with another value of a label.
    pub fn labelled_gauge<'a>(
        &mut self,
        name: &str,
        help: &str,
        label: &str,
        values: impl Iterator<Item = (&'a str, u64)>,
    ) {
        let family = Family::<Label, Gauge>::default();
        for (value, figure) in values {
            let series = family.get_or_create(&[(label.to_string(), value.to_string())]);
            series.set(i64::try_from(figure).unwrap_or(i64::MAX));
        }
        self.registry.register(name, help, family);
    }

    /// The figures as text.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
