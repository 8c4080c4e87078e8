//! How often a function is called, over a span long enough to tell functions apart that are called once in some seconds.

/// Milliseconds after which a call counts for a third.
const TIME_CONSTANT_MS: f64 = 10_000.0;
/// Milliseconds of observation below which a rate would be a guess.
const OBSERVED_MIN_MS: u64 = 1_000;

/// A decaying count of calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CallRate {
    weight: f64,
    updated_at: u64,
    /// When calls could be seen first, of this function or any other; none before the first call of this one.
    observed_since: Option<u64>,
}

impl CallRate {
    /// Counts calls. Any call of any function could be seen since a time.
    pub fn record(&mut self, now: u64, count: u64, observed_since: u64) {
        self.weight = self.decayed(now) + count as f64;
        self.updated_at = now;
        self.observed_since = Some(observed_since);
    }

    /// Calls that are expected within so many milliseconds.
    pub fn expected_within(&self, now: u64, span_ms: f64) -> f64 {
        let observed_ms = self.observed_ms(now).max(OBSERVED_MIN_MS);
        let observed = observed_ms as f64 / TIME_CONSTANT_MS;
        // What a steady rate of one call a millisecond would have left of its count.
        let unit_rate_weight = TIME_CONSTANT_MS * (1.0 - (-observed).exp());
        self.decayed(now) / unit_rate_weight * span_ms
    }

    /// Milliseconds for which calls could be seen; 0 where none has been.
    pub fn observed_ms(&self, now: u64) -> u64 {
        let since = self.observed_since.unwrap_or(now);
        now.saturating_sub(since)
    }

    fn decayed(&self, now: u64) -> f64 {
        let passed_ms = now.saturating_sub(self.updated_at) as f64;
        self.weight * (-passed_ms / TIME_CONSTANT_MS).exp()
    }
}
