//! Scaling status of functions, as shown to operators.

use crate::function::Function;
use crate::load::Load;
use crate::state::ClusterState;

/// Measurements and the last decision of one function. Rates are in requests per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionStatus {
    /// Name of the function.
    pub function: String,
    /// Arrival rate over approximately the last second.
    pub measured_rate: f64,
    /// Forecast arrival rate.
    pub forecast_rate: f64,
    /// Number of requests waiting for a seat.
    pub waiting: u32,
    /// Rate that the runners have to serve, including the waiting requests.
    pub demand: f64,
    /// Rate that its runners can serve at their quotas, including runners that are starting.
    pub capacity: f64,
    /// Expected service time of a request at a runner, in milliseconds.
    pub service_time_ms: f64,
    /// Number of runners that are serving or starting.
    pub runners: usize,
    /// Sum of the quotas of these runners.
    pub seats: u32,
    /// Description of the last scaling decision.
    pub last_decision: String,
}

/// Returns the status of each active function, sorted by name.
pub(crate) fn function_statuses(state: &ClusterState) -> Vec<FunctionStatus> {
    let names = state.functions.active().iter();
    let statuses = names.filter_map(|name| Some(status(state, name, state.functions.get(name)?)));
    statuses.collect()
}

fn status(state: &ClusterState, name: &str, function: &Function) -> FunctionStatus {
    let load = Load::of(state, function);
    FunctionStatus {
        function: name.to_owned(),
        measured_rate: load.measured_rate,
        forecast_rate: load.forecast_rate,
        waiting: load.waiting,
        demand: load.demand,
        capacity: load.capacity,
        service_time_ms: function.service_time_ms(),
        runners: load.runners,
        seats: load.seats,
        last_decision: function.last_decision().to_owned(),
    }
}
