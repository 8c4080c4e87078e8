//! One function: its configuration, the demand that its owners report, and the state that scaling decisions keep.

use crate::arrivals::Arrivals;
use crate::call_rate::CallRate;
use crate::function_configuration::FunctionConfiguration;
use crate::options::AutoscalerOptions;
use crate::owner_reports::OwnerReports;
use protocol::{FunctionReport, ZoneArrivals};
use std::collections::BTreeSet;

/// Service time in milliseconds that is assumed until one has been measured.
pub(crate) const DEFAULT_SERVICE_TIME_MS: f64 = 60.0;

/// Records that no worker had room for a function without runners.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacityShortage {
    /// Time of the failed placement.
    pub found_at: u64,
    /// Earliest time at which a worker may have room; `None` if no known change would free enough memory.
    pub room_at: Option<u64>,
}

/// A function that is in the configuration or still has runners.
#[derive(Clone, Debug)]
pub(crate) struct Function {
    configuration: FunctionConfiguration,
    arrivals: Arrivals,
    calls: CallRate,
    reports: OwnerReports,
    runners: BTreeSet<u64>,
    service_time_ms: f64,
    busy_at: Option<u64>,
    below_beta_since: Option<u64>,
    starts_paused_until: u64,
    covering_paused_until: u64,
    shortage: Option<CapacityShortage>,
    update_number: u64,
    last_decision: &'static str,
}

impl Function {
    /// Creates a function without runners and reports.
    pub fn new(configuration: FunctionConfiguration) -> Self {
        Self {
            configuration,
            arrivals: Arrivals::default(),
            calls: CallRate::default(),
            reports: OwnerReports::default(),
            runners: BTreeSet::new(),
            service_time_ms: DEFAULT_SERVICE_TIME_MS,
            busy_at: None,
            below_beta_since: None,
            starts_paused_until: 0,
            covering_paused_until: 0,
            shortage: None,
            update_number: 0,
            last_decision: "",
        }
    }

    /// Its configuration.
    pub fn configuration(&self) -> &FunctionConfiguration {
        &self.configuration
    }

    /// Replaces its configuration.
    pub fn set_configuration(&mut self, configuration: FunctionConfiguration) {
        self.configuration = configuration;
    }

    /// Marks the function as removed from the configuration.
    pub fn unconfigure(&mut self) {
        self.configuration.is_configured = false;
    }

    /// Arrival counts and rates.
    pub fn arrivals(&self) -> &Arrivals {
        &self.arrivals
    }

    /// Number of calls expected within `span_ms` milliseconds, based on the recent call rate.
    pub fn expected_calls(&self, now: u64, span_ms: f64) -> f64 {
        self.calls.expected_within(now, span_ms)
    }

    /// Samples the arrivals if the sample interval has passed.
    pub fn sample_arrivals(&mut self, now: u64) {
        self.arrivals.sample(now);
    }

    /// Clears the measured rates when the function becomes idle.
    pub fn reset_arrivals(&mut self) {
        self.arrivals.reset();
    }

    /// The last report of each of its owners.
    pub fn reports(&self) -> &OwnerReports {
        &self.reports
    }

    /// Stores an owner's report, except for the arrivals, which [`Function::record_arrivals`] records.
    pub fn store_report(&mut self, owner: &str, report: &FunctionReport, now: u64) {
        self.reports.entry(owner).replace(report, now);
    }

    /// Counts the requests that arrived since the owner's last report. `observed_since` is the time since which calls of
    /// any function have been observed.
    pub fn record_arrivals(
        &mut self,
        owner: &str,
        report: &FunctionReport,
        now: u64,
        observed_since: u64,
    ) {
        let is_new = !self.reports.contains(owner);
        let known = self.reports.entry(owner);
        let mut waiting = u64::from(report.waiting);
        for ZoneArrivals { zone, count } in &report.arrivals {
            let mut arrived = known.update_arrival_counter(zone, *count);
            if is_new {
                // The counters of a new owner started at an unknown time, so no rate can be derived from them. Only the
                // requests that are still waiting are counted, for their zones.
                arrived = arrived.min(waiting);
                waiting -= arrived;
            }
            if arrived == 0 {
                continue;
            }
            if is_new {
                self.arrivals.record_zone(zone, arrived);
            } else {
                self.arrivals.record(now, zone, arrived);
            }
            self.calls.record(now, arrived, observed_since);
            self.busy_at = Some(now);
        }
    }

    /// Removes the report of an owner.
    pub fn remove_owner(&mut self, owner: &str) {
        self.reports.remove(owner);
    }

    /// Serials of its runners in the runner table.
    pub fn runners(&self) -> &BTreeSet<u64> {
        &self.runners
    }

    /// Adds the serial of a runner.
    pub fn add_runner(&mut self, serial: u64) {
        self.runners.insert(serial);
    }

    /// Removes the serial of a runner.
    pub fn remove_runner(&mut self, serial: u64) {
        self.runners.remove(&serial);
    }

    /// Service time in milliseconds that is expected of a runner without measurements.
    pub fn service_time_ms(&self) -> f64 {
        self.service_time_ms
    }

    /// Sets the expected service time, derived from measurements.
    pub fn set_service_time_ms(&mut self, service_time_ms: f64) {
        self.service_time_ms = service_time_ms;
    }

    /// Records that requests arrived, waited or were in flight at this time.
    pub fn mark_busy(&mut self, now: u64) {
        self.busy_at = Some(now);
    }

    /// Number of requests waiting for a seat.
    pub fn waiting(&self, now: u64) -> u32 {
        self.reports.waiting(now)
    }

    /// Whether requests are waiting or in flight, or the last activity is within the retention time.
    pub fn has_recent_demand(&self, now: u64, options: &AutoscalerOptions) -> bool {
        if self.waiting(now) > 0 || self.reports.has_requests_in_flight(now) {
            return true;
        }
        let policy = &options.policy;
        let retention_ms = self.configuration.retention_ms(&self.calls, now, policy);
        self.busy_at.is_some_and(|at| now < at + retention_ms)
    }

    /// Time since which the demand has been below beta of the capacity; `None` if it is not.
    pub fn below_beta_since(&self) -> Option<u64> {
        self.below_beta_since
    }

    /// Starts or ends the cooldown.
    pub fn set_below_beta_since(&mut self, since: Option<u64>) {
        self.below_beta_since = since;
    }

    /// Whether starts are paused because the platform does not know the function or no worker had room.
    pub fn is_start_paused(&self, now: u64) -> bool {
        now < self.starts_paused_until
    }

    /// Pauses starts until the given time.
    pub fn pause_starts(&mut self, until: u64) {
        self.starts_paused_until = until;
    }

    /// Whether starts for routes that may use none of the runners are paused because the last one found no room.
    pub fn is_covering_paused(&self, now: u64) -> bool {
        now < self.covering_paused_until
    }

    /// Pauses starts for routes that may use none of the runners until the given time.
    pub fn pause_covering(&mut self, until: u64) {
        self.covering_paused_until = until;
    }

    /// Ends the pause of starts.
    pub fn resume_starts(&mut self) {
        self.starts_paused_until = 0;
    }

    /// The shortage recorded by the last failed placement while the function had no runner.
    pub fn shortage(&self) -> Option<CapacityShortage> {
        self.shortage
    }

    /// Replaces the recorded shortage and returns the previous one.
    pub fn replace_shortage(
        &mut self,
        shortage: Option<CapacityShortage>,
    ) -> Option<CapacityShortage> {
        std::mem::replace(&mut self.shortage, shortage)
    }

    /// Number of the last update about its runners; 0 before the first one.
    pub fn update_number(&self) -> u64 {
        self.update_number
    }

    /// Sets the number of the last update.
    pub fn set_update_number(&mut self, number: u64) {
        self.update_number = number;
    }

    /// Description of the last scaling decision, for operators.
    pub fn last_decision(&self) -> &'static str {
        self.last_decision
    }

    /// Sets the description of the last scaling decision.
    pub fn set_last_decision(&mut self, decision: &'static str) {
        self.last_decision = decision;
    }
}
