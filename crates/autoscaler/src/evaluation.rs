//! Periodic evaluation of active functions, independent of reports.

use crate::owner_reports::{OwnerReport, REPORT_TIMEOUT_MS};
use crate::scaling_decision::decide;
use crate::state::ClusterState;

/// Samples the arrivals of a function, makes a scaling decision, and deactivates the function if it is idle and has no
/// runners.
pub(crate) fn evaluate(state: &mut ClusterState, name: &str) {
    let now = state.now;
    let limit_ms = state.functions.longest_timeout_ms().max(REPORT_TIMEOUT_MS);
    let Some(function) = state.functions.get_mut(name) else {
        state.functions.deactivate(name);
        return;
    };
    function.sample_arrivals(now);
    let has_recent_requests =
        |report: &OwnerReport| report.is_within(limit_ms, now) && report.has_requests_in_flight();
    if function.reports().iter().any(has_recent_requests) {
        function.mark_busy(now);
    }
    update_service_time(state, name);
    decide(state, name);
    let Some(function) = state.functions.get_mut(name) else {
        return;
    };
    if function.has_recent_demand(now, &state.options) {
        return;
    }
    function.reset_arrivals();
    if function.runners().is_empty() && !function.configuration().is_prewarmed() {
        state.functions.deactivate(name);
        state.functions.remove_unconfigured(name);
    }
}

/// Sets the service time expected of new runners to the median of the service times measured at the function's runners.
fn update_service_time(state: &mut ClusterState, name: &str) {
    let Some(function) = state.functions.get(name) else {
        return;
    };
    let runners = state.runners_of(function);
    let measured = runners.filter_map(|(_, runner)| runner.service_time.measured_ms());
    let mut times_ms: Vec<f64> = measured.collect();
    if times_ms.is_empty() {
        return;
    }
    times_ms.sort_by(f64::total_cmp);
    let median_ms = times_ms[times_ms.len() / 2];
    if let Some(function) = state.functions.get_mut(name) {
        function.set_service_time_ms(median_ms);
    }
}
