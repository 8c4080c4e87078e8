/// How the autoscaler decides. The ratios without a source in the design are ours.
#[derive(Clone, Debug, PartialEq)]
pub struct AutoscalerOptions {
    /// Share of the capacity above which a demand asks for more.
    pub alpha: f64,
    /// Share of the capacity below which quotas fall once it is calm.
    pub beta: f64,
    /// Milliseconds by which the platform's lists lag.
    pub list_lag_ms: u64,
    /// Milliseconds for which a runner that the platform ends goes on serving.
    pub drain_ms: u64,
    /// Starts and stops that the platform takes in a second; at most 0.8 of it is used.
    pub commands_per_s: f64,
    /// Prefix of nonces, unique for this duty's term.
    pub nonce_prefix: String,
    /// Term of the duty.
    pub term: u64,
    /// Starts' durations of silence after which a function's last runner ends (ours).
    pub retention_starts: f64,
    /// Starts' durations of calm after which quotas fall (ours).
    pub cooldown_starts: f64,
    /// Places a runner in the callers' zone first where the function has none there (ours). It
    /// goes before the design's least-occupied worker and keeps calls inside a zone.
    pub prefers_callers_zone: bool,
}

impl Default for AutoscalerOptions {
    fn default() -> Self {
        Self {
            alpha: 0.8,
            beta: 0.5,
            list_lag_ms: 2_000,
            drain_ms: 5_000,
            commands_per_s: 10.0,
            nonce_prefix: "n".to_owned(),
            term: 1,
            retention_starts: 3.0,
            cooldown_starts: 4.0,
            prefers_callers_zone: true,
        }
    }
}

impl AutoscalerOptions {
    pub(crate) fn unlisted_ms(&self) -> u64 {
        2 * self.list_lag_ms + 1_000
    }

    pub(crate) fn start_limit_ms(&self, start_ms: u64) -> u64 {
        3 * start_ms + self.list_lag_ms + 3_000
    }
}
