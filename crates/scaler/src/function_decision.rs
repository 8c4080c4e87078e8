use serde::Serialize;

/// Inputs and outcome of the latest scaling decision for one function.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FunctionDecision {
    /// Measured arrivals, in requests per second.
    pub measured: f64,
    /// Forecast arrivals, in requests per second.
    pub forecast: f64,
    /// Requests queued at the fronts.
    pub waiting: u32,
    /// Demand to provide capacity for, in requests per second: the forecast plus the rate needed for queued requests.
    pub demand: f64,
    /// Requests per second that the counted runners can serve at their quotas.
    pub capacity: f64,
    /// Measured response time in milliseconds; none before the first response.
    #[serde(rename = "pace_ms")]
    pub response_time_ms: Option<f64>,
    /// Number of runners that count towards the capacity.
    pub runners: usize,
    /// Sum of the quotas of these runners.
    pub seats: u32,
    /// The latest change that was decided, with its reason.
    pub reason: String,
}
