//! Call rate of a function, averaged over a period long enough to distinguish functions that are called only once every
//! few seconds.

/// Time constant in milliseconds of the exponential decay: after this time, a call counts for 1/e, about a third.
const TIME_CONSTANT_MS: f64 = 10_000.0;
/// Minimum observation time in milliseconds that is assumed. A rate over a shorter time would be unreliable.
const OBSERVED_MIN_MS: u64 = 1_000;

/// An exponentially decaying count of calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallRate {
    weight: f64,
    updated_at: u64,
    /// Time since which calls of any function have been observed; `None` before the first call of this function.
    observed_since: Option<u64>,
}

impl CallRate {
    /// Counts calls. `observed_since` is the time since which calls of any function have been observed.
    pub fn record(&mut self, now: u64, count: u64, observed_since: u64) {
        self.weight = self.decayed(now) + count as f64;
        self.updated_at = now;
        self.observed_since = Some(observed_since);
    }

    /// Number of calls expected within `span_ms` milliseconds.
    pub fn expected_within(&self, now: u64, span_ms: f64) -> f64 {
        let observed_ms = self.observed_ms(now).max(OBSERVED_MIN_MS);
        let observed = observed_ms as f64 / TIME_CONSTANT_MS;
        // The decayed count that a constant rate of one call per millisecond would have reached by now.
        let unit_rate_weight = TIME_CONSTANT_MS * (1.0 - (-observed).exp());
        self.decayed(now) / unit_rate_weight * span_ms
    }

    /// Milliseconds for which calls have been observed; 0 if this function has not been called.
    pub fn observed_ms(&self, now: u64) -> u64 {
        let since = self.observed_since.unwrap_or(now);
        now.saturating_sub(since)
    }

    fn decayed(&self, now: u64) -> f64 {
        let passed_ms = now.saturating_sub(self.updated_at) as f64;
        self.weight * (-passed_ms / TIME_CONSTANT_MS).exp()
    }
}
