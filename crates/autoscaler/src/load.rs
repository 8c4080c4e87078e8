//! Current demand and capacity of one function, which the design's thresholds alpha and beta compare.

use crate::function::Function;
use crate::state::ClusterState;
use std::fmt;

/// Share of the latency target within which waiting requests should be served.
const BACKLOG_TARGET_SHARE: f64 = 1.0;
/// Lower bound in seconds of the time within which waiting requests should be served.
const BACKLOG_TIMEOUT_MIN_S: f64 = 0.3;
/// Upper bound in seconds of the time within which waiting requests should be served.
const BACKLOG_TIMEOUT_MAX_S: f64 = 0.5;

/// Demand and capacity of a function. Rates are in requests per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Arrival rate over approximately the last second.
    pub measured_rate: f64,
    /// Arrival rate forecast by the Kalman filter.
    pub forecast_rate: f64,
    /// Arrival rate of a burst that the filter does not reflect yet.
    pub burst_rate: f64,
    /// Number of requests waiting for a seat.
    pub waiting: u32,
    /// Number of requests in flight at runners.
    pub in_flight: u32,
    /// Rate that the runners have to serve, including the waiting requests.
    pub demand: f64,
    /// Rate that all runners can serve at their quotas, including runners that are starting.
    pub capacity: f64,
    /// Sum of the quotas of these runners.
    pub seats: u32,
    /// Number of these runners.
    pub runners: usize,
}

impl Load {
    /// Computes the current load of a function.
    pub fn of(state: &ClusterState, function: &Function) -> Self {
        let mut load = Self::default();
        load.add_arrivals(state, function);
        let serving = load.add_runners(state, function);
        let configuration = function.configuration();
        let target_s = f64::from(configuration.latency_target_ms) / 1_000.0;
        let timeout_s =
            (target_s * BACKLOG_TARGET_SHARE).clamp(BACKLOG_TIMEOUT_MIN_S, BACKLOG_TIMEOUT_MAX_S);
        // Part of the waiting requests is served by the running runners before a new runner could be up.
        let start_s = configuration.start_ms as f64 / 1_000.0;
        let served = (serving - load.rate()).max(0.0) * start_s;
        let unserved = (f64::from(load.waiting) - served).max(0.0);
        load.demand = load.rate() + unserved / timeout_s;
        load
    }

    /// Highest of the measured, forecast and burst arrival rates, without the waiting requests.
    pub fn rate(&self) -> f64 {
        self.measured_rate
            .max(self.forecast_rate)
            .max(self.burst_rate)
    }

    /// Adds the arrival rates, if the function has recent demand, and the waiting requests.
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

    /// Adds the runners. Returns the rate that those that are up can serve.
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

/// Formats the load for log lines, with rates in requests per second.
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
