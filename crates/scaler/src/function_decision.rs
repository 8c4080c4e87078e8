use serde::Serialize;

/// Why a function has the runners and quotas that it has.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FunctionDecision {
    /// Requests a second that came in.
    pub measured: f64,
    /// Requests a second that are expected.
    pub forecast: f64,
    /// Requests that wait at the fronts.
    pub waiting: u32,
    /// Demand that is scaled for: the forecast and what waits.
    pub demand: f64,
    /// Requests a second that the runners carry.
    pub capacity: f64,
    /// Milliseconds of one answer, as learnt.
    #[serde(rename = "pace_ms")]
    pub response_time_ms: Option<f64>,
    /// Runners that count.
    pub runners: usize,
    /// Seats of these runners.
    pub seats: u32,
    /// What was decided last, and why.
    pub reason: String,
}
