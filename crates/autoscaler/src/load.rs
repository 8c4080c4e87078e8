//! Demand and capacity of one function at one moment: what the design's alpha and beta compare.

use crate::function::Function;
use crate::state::ClusterState;
use std::fmt;

/// Requests that wait are to be served within this share of the latency target...
const BACKLOG_TARGET_SHARE: f64 = 1.0;
/// ...but within no less than so many seconds...
const BACKLOG_TIMEOUT_MIN_S: f64 = 0.3;
/// ...and no more.
const BACKLOG_TIMEOUT_MAX_S: f64 = 0.5;

/// Demand and capacity of a function. Rates are in requests a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Rate over about the last second.
    pub measured_rate: f64,
    /// Rate that the Kalman filter forecasts.
    pub forecast_rate: f64,
    /// Rate of a burst that the filter has not followed yet.
    pub burst_rate: f64,
    /// Requests that wait for a seat.
    pub waiting: u32,
    /// Requests that runners hold.
    pub in_flight: u32,
    /// Rate to be carried, with what waits.
    pub demand: f64,
    /// Rate that the quotas of all runners carry, also of those that start.
    pub capacity: f64,
    /// The quotas of these runners, summed.
    pub seats: u32,
    /// Their number.
    pub runners: usize,
}

impl Load {
    /// The load of a function now.
    pub fn of(state: &ClusterState, function: &Function) -> Self {
        let mut load = Self::default();
        load.add_arrivals(state, function);
        let serving = load.add_runners(state, function);
        let configuration = function.configuration();
        let target_s = f64::from(configuration.latency_target_ms) / 1_000.0;
        let timeout_s =
            (target_s * BACKLOG_TARGET_SHARE).clamp(BACKLOG_TIMEOUT_MIN_S, BACKLOG_TIMEOUT_MAX_S);
        // What runs now serves some of those that wait before any new runner is up.
        let start_s = configuration.start_ms as f64 / 1_000.0;
        let served = (serving - load.rate()).max(0.0) * start_s;
        let unserved = (f64::from(load.waiting) - served).max(0.0);
        load.demand = load.rate() + unserved / timeout_s;
        load
    }

    /// Rate of the arrivals, without what waits.
    pub fn rate(&self) -> f64 {
        self.measured_rate
            .max(self.forecast_rate)
            .max(self.burst_rate)
    }

    fn add_arrivals(&mut self, state: &ClusterState, function: &Function) {
        if function.has_recent_demand(state.now, &state.options) {
            let arrivals = function.arrivals();
            self.measured_rate = arrivals.measured_rate(state.now);
            let policy = &state.options.policy;
            if policy.forecasts {
                self.forecast_rate = arrivals.forecast_rate();
            }
            if policy.follows_bursts {
                self.burst_rate = arrivals.burst_rate(state.now);
            }
        }
        self.waiting = function.waiting(state.now);
    }

    /// Adds the runners; returns the rate that those which are up can carry.
    fn add_runners(&mut self, state: &ClusterState, function: &Function) -> f64 {
        let mut serving = 0.0;
        for (_, runner) in state.runners_of(function) {
            if let Some(id) = &runner.id {
                self.in_flight += function.reports().in_flight(id);
            }
            if runner.counts_as_capacity() {
                let capacity = f64::from(runner.quota) * state.seat_rate(runner);
                self.capacity += capacity;
                serving += if runner.is_up { capacity } else { 0.0 };
                self.seats += runner.quota;
                self.runners += 1;
            }
        }
        serving
    }
}

/// As log lines tell it: rates in requests a second.
impl fmt::Display for Load {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "rate={:.1} demand={:.1} capacity={:.1} waiting={} in_flight={} runners={}",
            self.rate(),
            self.demand,
            self.capacity,
            self.waiting,
            self.in_flight,
            self.runners
        )
    }
}
