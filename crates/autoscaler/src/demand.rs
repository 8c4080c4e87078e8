use scaler::Forecast;
use std::collections::{BTreeMap, VecDeque};

const SAMPLE_MS: u64 = 250;
const WINDOW_MS: u64 = 1_000;
const FADE: f64 = 0.8;
/// A rush is read off so short a time.
const RUSH_MS: u64 = 250;

/// Arrivals of one function over a sliding window, and what they are forecast to be.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    total: u64,
    samples: VecDeque<(u64, u64)>,
    sampled_at: u64,
    forecast: Forecast,
    by_zone: BTreeMap<String, f64>,
}

impl Arrivals {
    pub fn add(&mut self, now: u64, zone: &str, count: u64) {
        if self.samples.is_empty() {
            self.samples.push_back((now, self.total));
            self.sampled_at = now;
        }
        self.total += count;
        self.place(zone, count);
    }

    /// Calls that came from a zone, at no known rate.
    pub fn place(&mut self, zone: &str, count: u64) {
        *self.by_zone.entry(zone.to_owned()).or_default() += count as f64;
    }

    /// Takes a sample when one is due.
    pub fn sample(&mut self, now: u64) {
        if self.samples.is_empty() || now < self.sampled_at + SAMPLE_MS {
            return;
        }
        // After a pause the filter takes the samples that it missed, up to a window of them.
        let missed = ((now - self.sampled_at) / SAMPLE_MS).min(4 * WINDOW_MS / SAMPLE_MS);
        let measured = self.measured(now);
        for _ in 0..missed {
            self.forecast.observe(measured);
            self.by_zone.values_mut().for_each(|count| *count *= FADE);
        }
        self.by_zone.retain(|_, count| *count > 0.01);
        self.sampled_at = now;
        self.samples.push_back((now, self.total));
        while self.samples.len() > 1 && self.samples[1].0 + WINDOW_MS <= now {
            self.samples.pop_front();
        }
    }

    /// Arrivals within about the last window.
    pub fn lately(&self, now: u64) -> u64 {
        let is_old = |sample: &&(u64, u64)| sample.0 + WINDOW_MS <= now;
        let base = self.samples.iter().rev().find(is_old);
        let base = base.or(self.samples.front());
        base.map_or(0, |(_, total)| self.total - total)
    }

    pub fn measured(&self, now: u64) -> f64 {
        let is_old = |sample: &&(u64, u64)| sample.0 + WINDOW_MS <= now;
        let base = self.samples.iter().rev().find(is_old);
        let since = base.map_or(now.saturating_sub(WINDOW_MS), |(at, _)| *at);
        let passed = now.saturating_sub(since).max(WINDOW_MS);
        self.lately(now) as f64 * 1_000.0 / passed as f64
    }

    /// Arrivals a second in the last moments, less what chance alone may bring.
    pub fn rushing(&self, now: u64) -> f64 {
        let Some((at, before)) = self.samples.back().copied() else {
            return 0.0;
        };
        // The newest sample may be only just taken; the one before it then tells more.
        let former = self.samples.iter().rev().nth(1).copied();
        let (at, before) = match former {
            Some(former) if now < at + RUSH_MS / 2 => former,
            _ => (at, before),
        };
        let count = (self.total - before) as f64;
        let passed = now.saturating_sub(at).max(RUSH_MS) as f64;
        (count - 3.0 * count.sqrt()).max(0.0) * 1_000.0 / passed
    }

    pub fn forecast(&self) -> f64 {
        self.forecast.rate()
    }

    pub fn by_zone(&self) -> &BTreeMap<String, f64> {
        &self.by_zone
    }

    /// Forgets what led to the present rate; the function sleeps.
    pub fn rest(&mut self) {
        self.samples.clear();
        self.forecast = Forecast::default();
        self.by_zone.clear();
    }
}
