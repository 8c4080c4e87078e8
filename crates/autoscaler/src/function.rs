//! One function: its configuration, its demand as reported by its owners, and the state of its last decisions.

use crate::arrivals::Arrivals;
use crate::call_rate::CallRate;
use crate::function_configuration::FunctionConfiguration;
use crate::options::AutoscalerOptions;
use crate::owner_reports::OwnerReports;
use protocol::{FunctionReport, ZoneArrivals};
use std::collections::BTreeSet;

/// Milliseconds that a request is expected to take before any was answered.
pub(crate) const DEFAULT_SERVICE_TIME_MS: f64 = 60.0;

/// No worker had room for a function that has no runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CapacityShortage {
    /// When that was found.
    pub found_at: u64,
    /// When a worker may have room at the earliest; none where nothing is known that would make it.
    pub room_at: Option<u64>,
}

/// A function that is configured, or that still has runners.
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
    /// A function without runners of which nothing was reported.
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

    /// What the configuration says of it.
    pub fn configuration(&self) -> &FunctionConfiguration {
        &self.configuration
    }

    /// Takes a new configuration.
    pub fn set_configuration(&mut self, configuration: FunctionConfiguration) {
        self.configuration = configuration;
    }

    /// The configuration no longer names it.
    pub fn unconfigure(&mut self) {
        self.configuration.is_configured = false;
    }

    /// Its arrivals.
    pub fn arrivals(&self) -> &Arrivals {
        &self.arrivals
    }

    /// Calls that are expected within so many milliseconds, by how often it was called lately.
    pub fn expected_calls(&self, now: u64, span_ms: f64) -> f64 {
        self.calls.expected_within(now, span_ms)
    }

    /// Takes a sample of the arrivals when one is due.
    pub fn sample_arrivals(&mut self, now: u64) {
        self.arrivals.sample(now);
    }

    /// Forgets the measured rate when the function goes idle.
    pub fn reset_arrivals(&mut self) {
        self.arrivals.reset();
    }

    /// What its owners reported.
    pub fn reports(&self) -> &OwnerReports {
        &self.reports
    }

    /// Stores an owner's report. The arrivals are recorded by [`Function::record_arrivals`].
    pub fn store_report(&mut self, owner: &str, report: &FunctionReport, now: u64) {
        self.reports.entry(owner).replace(report, now);
    }

    /// Counts what arrived since the owner's last report. Calls of any function could be seen since a time.
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
                // The counters of a new owner began at an unknown time, so they give no rate. Only the requests that still
                // wait are counted, for their zones.
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

    /// Forgets what an owner reported.
    pub fn remove_owner(&mut self, owner: &str) {
        self.reports.remove(owner);
    }

    /// Serials of its runners.
    pub fn runners(&self) -> &BTreeSet<u64> {
        &self.runners
    }

    /// Adds one of its runners.
    pub fn add_runner(&mut self, serial: u64) {
        self.runners.insert(serial);
    }

    /// Removes one of its runners.
    pub fn remove_runner(&mut self, serial: u64) {
        self.runners.remove(&serial);
    }

    /// Milliseconds that a request is expected to take at a runner that answered none yet.
    pub fn service_time_ms(&self) -> f64 {
        self.service_time_ms
    }

    /// Sets the expected service time from measurements.
    pub fn set_service_time_ms(&mut self, service_time_ms: f64) {
        self.service_time_ms = service_time_ms;
    }

    /// Requests arrived, waited or were in flight at this time.
    pub fn mark_busy(&mut self, now: u64) {
        self.busy_at = Some(now);
    }

    /// Requests that wait for a seat.
    pub fn waiting(&self, now: u64) -> u32 {
        self.reports.waiting(now)
    }

    /// Whether requests wait or are in flight, or the last activity is within the retention time.
    pub fn has_recent_demand(&self, now: u64, options: &AutoscalerOptions) -> bool {
        if self.waiting(now) > 0 || self.reports.has_requests_in_flight(now) {
            return true;
        }
        let policy = &options.policy;
        let retention_ms = self.configuration.retention_ms(&self.calls, now, policy);
        self.busy_at.is_some_and(|at| now < at + retention_ms)
    }

    /// Since when the demand has been below beta; none where it is not.
    pub fn below_beta_since(&self) -> Option<u64> {
        self.below_beta_since
    }

    /// Begins or ends the cooldown.
    pub fn set_below_beta_since(&mut self, since: Option<u64>) {
        self.below_beta_since = since;
    }

    /// Whether starts are paused, because the platform does not know the function or no worker had room.
    pub fn is_start_paused(&self, now: u64) -> bool {
        now < self.starts_paused_until
    }

    /// Pauses starts until a time.
    pub fn pause_starts(&mut self, until: u64) {
        self.starts_paused_until = until;
    }

    /// Whether starts for routes that may use none of the runners are paused, because the last one found no room.
    pub fn is_covering_paused(&self, now: u64) -> bool {
        now < self.covering_paused_until
    }

    /// Pauses starts for routes that may use none of the runners.
    pub fn pause_covering(&mut self, until: u64) {
        self.covering_paused_until = until;
    }

    /// Ends the pause of starts.
    pub fn resume_starts(&mut self) {
        self.starts_paused_until = 0;
    }

    /// The shortage that the last start met while there was no runner.
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

    /// Number of the last update about its runners; 0 before the first.
    pub fn update_number(&self) -> u64 {
        self.update_number
    }

    /// Sets the number of the update that is sent.
    pub fn set_update_number(&mut self, number: u64) {
        self.update_number = number;
    }

    /// What was decided last, for operators.
    pub fn last_decision(&self) -> &'static str {
        self.last_decision
    }

    /// Sets what was decided last.
    pub fn set_last_decision(&mut self, decision: &'static str) {
        self.last_decision = decision;
    }
}
