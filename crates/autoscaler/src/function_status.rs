//! What operators are shown of a function's scaling.

use crate::function::Function;
use crate::load::Load;
use crate::state::ClusterState;

/// What the autoscaler measured of one function and decided about it. Rates are in requests a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FunctionStatus {
    /// The function.
    pub function: String,
    /// Rate over about the last second.
    pub measured_rate: f64,
    /// Rate that is forecast.
    pub forecast_rate: f64,
    /// Requests that wait for a seat.
    pub waiting: u32,
    /// Rate to be carried, with what waits.
    pub demand: f64,
    /// Rate that its runners carry.
    pub capacity: f64,
    /// Milliseconds that a request takes at a runner.
    pub service_time_ms: f64,
    /// Runners that serve or start.
    pub runners: usize,
    /// Their quotas, summed.
    pub seats: u32,
    /// Last decision about it.
    pub last_decision: String,
}

/// The status of each function that is not asleep, by name.
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
