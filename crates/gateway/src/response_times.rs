//! Mean response time of each function, from which it is known that a response is overdue.

use std::collections::HashMap;

/// Most functions whose response time is remembered.
const FUNCTIONS_MAX: usize = 65_536;
/// Responses over which the mean is taken; the newest weigh most.
const EWMA_SAMPLES: f64 = 16.0;
/// Milliseconds of a response that are assumed until one was seen.
const INITIAL_MEAN_MS: f64 = 100.0;
/// Mean response times after which a response is overdue.
const OVERDUE_FACTOR: f64 = 16.0;
/// Least milliseconds after which a response is overdue.
const OVERDUE_MIN_MS: f64 = 400.0;
/// Each further attempt of a request gets so many times as long: where the runner of the one before worked, and had lost nothing, the request
/// takes long wherever it runs.
const NEXT_ATTEMPT_FACTOR: f64 = 4.0;

/// Most attempts before that lengthen the time; every deadline is over by then.
const ATTEMPTS_COUNTED_MAX: u32 = 8;

/// Mean response times, in milliseconds, by function.
#[derive(Default)]
pub(crate) struct ResponseTimes {
    means_ms: HashMap<String, f64>,
}

impl ResponseTimes {
    /// A runner of the function answered after so many milliseconds.
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

    /// Milliseconds after which the response to an attempt of a request is overdue; the first one has number 1.
    pub fn overdue_after_ms(&self, function: &str, attempt: u32) -> u64 {
        let mean = self.means_ms.get(function).copied();
        let mean = mean.unwrap_or(INITIAL_MEAN_MS);
        let first = (mean * OVERDUE_FACTOR).max(OVERDUE_MIN_MS);
        let attempts_before = attempt.saturating_sub(1).min(ATTEMPTS_COUNTED_MAX);
        (first * NEXT_ATTEMPT_FACTOR.powi(attempts_before as i32)) as u64
    }
}
