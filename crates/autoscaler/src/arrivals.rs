//! Arrival rate of one function: measured over a sliding window, forecast by the design's Kalman filter, and measured over
//! a short window to react to bursts before the filter does.

use scaler::Forecast;
use std::collections::{BTreeMap, VecDeque};

/// Milliseconds between two samples of the arrival counter. Each sample is one observation of the forecast filter.
const SAMPLE_INTERVAL_MS: u64 = 250;
/// Length in milliseconds of the window over which the rate is measured.
const RATE_WINDOW_MS: u64 = 1_000;
/// Length in milliseconds of the window over which a burst is measured.
const BURST_WINDOW_MS: u64 = 250;
/// Standard deviations of a Poisson count that are subtracted from a burst, so that random variation is not taken for one.
const BURST_DEVIATIONS: f64 = 3.0;
/// Factor by which the arrival count of each zone decays at each sample.
const ZONE_COUNT_DECAY: f64 = 0.97;
/// A zone is dropped once its decayed count is not above this.
const ZONE_COUNT_MIN: f64 = 0.01;

/// Value of the arrival counter at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: u64,
    total: u64,
}

/// Arrivals of one function. Rates are in requests per second, times in milliseconds of the autoscaler's clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    total: u64,
    samples: VecDeque<Sample>,
    sampled_at: u64,
    forecast: Forecast,
    by_zone: BTreeMap<String, f64>,
}

impl Arrivals {
    /// Counts requests that arrived at a gateway in this zone since its last report.
    pub fn record(&mut self, now: u64, zone: &str, count: u64) {
        if self.samples.is_empty() {
            self.samples.push_back(Sample {
                at: now,
                total: self.total,
            });
            self.sampled_at = now;
        }
        self.total += count;
        self.record_zone(zone, count);
    }

    /// Counts requests for their zone only. Their arrival time is unknown, so they do not contribute to the rate.
    pub fn record_zone(&mut self, zone: &str, count: u64) {
        *self.by_zone.entry(zone.to_owned()).or_default() += count as f64;
    }

    /// Takes a sample if the sample interval has passed.
    pub fn sample(&mut self, now: u64) {
        if self.samples.is_empty() || now < self.sampled_at + SAMPLE_INTERVAL_MS {
            return;
        }
        // After a pause, the filter is fed the missed samples, at most four rate windows of them.
        let max_missed = 4 * RATE_WINDOW_MS / SAMPLE_INTERVAL_MS;
        let missed = ((now - self.sampled_at) / SAMPLE_INTERVAL_MS).min(max_missed);
        let measured_rate = self.measured_rate(now);
        for _ in 0..missed {
            self.forecast.observe(measured_rate);
            self.by_zone
                .values_mut()
                .for_each(|count| *count *= ZONE_COUNT_DECAY);
        }
        self.by_zone.retain(|_, count| *count > ZONE_COUNT_MIN);
        self.sampled_at = now;
        self.samples.push_back(Sample {
            at: now,
            total: self.total,
        });
        while self.samples.len() > 1 && self.samples[1].at + RATE_WINDOW_MS <= now {
            self.samples.pop_front();
        }
    }

    /// Number of arrivals within approximately the last rate window.
    pub fn recent_count(&self, now: u64) -> u64 {
        let base = self.window_start(now).or(self.samples.front());
        base.map_or(0, |sample| self.total - sample.total)
    }

    /// Rate over approximately the last rate window.
    pub fn measured_rate(&self, now: u64) -> f64 {
        let since = self
            .window_start(now)
            .map_or(now.saturating_sub(RATE_WINDOW_MS), |sample| sample.at);
        let passed = now.saturating_sub(since).max(RATE_WINDOW_MS);
        self.recent_count(now) as f64 * 1_000.0 / passed as f64
    }

    /// Rate over the burst window, reduced by what random variation may account for.
    pub fn burst_rate(&self, now: u64) -> f64 {
        let Some(newest) = self.samples.back().copied() else {
            return 0.0;
        };
        // If the newest sample is too recent to measure a rate from, the one before it is the base.
        let base = match self.samples.iter().rev().nth(1).copied() {
            Some(previous) if now < newest.at + BURST_WINDOW_MS / 2 => previous,
            _ => newest,
        };
        let count = (self.total - base.total) as f64;
        let passed = now.saturating_sub(base.at).max(BURST_WINDOW_MS) as f64;
        (count - BURST_DEVIATIONS * count.sqrt()).max(0.0) * 1_000.0 / passed
    }

    /// Rate forecast by the Kalman filter.
    pub fn forecast_rate(&self) -> f64 {
        self.forecast.rate()
    }

    /// Decayed arrival counts by zone.
    pub fn by_zone(&self) -> &BTreeMap<String, f64> {
        &self.by_zone
    }

    /// Clears the samples, the forecast and the counts by zone when the function becomes idle. The total is kept.
    pub fn reset(&mut self) {
        self.samples.clear();
        self.forecast = Forecast::default();
        self.by_zone.clear();
    }

    /// The newest sample that is at least one rate window old.
    fn window_start(&self, now: u64) -> Option<&Sample> {
        let mut newest_first = self.samples.iter().rev();
        newest_first.find(|sample| sample.at + RATE_WINDOW_MS <= now)
    }
}
