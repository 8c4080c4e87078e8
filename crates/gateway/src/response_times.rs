//! Mean response time of each function, from which it is derived when a response is overdue.

use std::collections::HashMap;

/// Maximum number of functions whose response time is stored.
const FUNCTIONS_MAX: usize = 65_536;
/// Number of samples in the exponentially weighted moving average.
const EWMA_SAMPLES: f64 = 16.0;
/// Mean response time assumed before the first response, in milliseconds.
const INITIAL_MEAN_MS: f64 = 100.0;
/// A response is overdue after the mean response time multiplied by this factor.
const OVERDUE_FACTOR: f64 = 16.0;
/// Minimum time after which a response is overdue, in milliseconds.
const OVERDUE_MIN_MS: f64 = 400.0;
/// Factor by which the time grows with each further attempt. If the runner of the previous attempt was healthy and
/// still working on the request, the request takes long at any runner.
const NEXT_ATTEMPT_FACTOR: f64 = 4.0;

/// Maximum number of previous attempts that lengthen the time. Every deadline has passed by then.
const ATTEMPTS_COUNTED_MAX: u32 = 8;

/// Mean response times, in milliseconds, by function.
#[derive(Default)]
pub(crate) struct ResponseTimes {
    means_ms: HashMap<String, f64>,
}

impl ResponseTimes {
    /// Records the response time of a runner of the function.
    pub fn record(&mut self, function: &str, duration_ms: u64) {
        if let Some(mean) = self.means_ms.get_mut(function) {
            *mean += (duration_ms as f64 - *mean) / EWMA_SAMPLES;
            return;
        }
        if self.means_ms.len() >= FUNCTIONS_MAX {
            self.means_ms.clear();
        }
        self.means_ms.insert(function.into(), duration_ms as f64);
    }

    /// Milliseconds after which the response to an attempt is overdue. The first attempt has number 1.
    pub fn overdue_after_ms(&self, function: &str, attempt: u32) -> u64 {
        let mean = self.means_ms.get(function).copied();
        let mean = mean.unwrap_or(INITIAL_MEAN_MS);
        let first = (mean * OVERDUE_FACTOR).max(OVERDUE_MIN_MS);
        let attempts_before = attempt.saturating_sub(1).min(ATTEMPTS_COUNTED_MAX);
        (first * NEXT_ATTEMPT_FACTOR.powi(attempts_before as i32)) as u64
    }
}
