//! Settings of the autoscaler.

use locality::Topology;
use policy::ScalingPolicy;

/// Milliseconds beyond twice the lists' lag after which a runner that no list shows is taken as gone.
const UNLISTED_SLACK_MS: u64 = 1_000;
/// How many times its usual duration a start may take.
const START_LIMIT_FACTOR: u64 = 3;
/// Milliseconds that a start may take beyond that and the lists' lag.
const START_SLACK_MS: u64 = 3_000;

/// How the autoscaler decides.
#[derive(Clone, Debug, PartialEq)]
pub struct AutoscalerOptions {
    /// How many runners functions have, and where each starts.
    pub policy: ScalingPolicy,
    /// The zones with their regions.
    pub topology: Topology,
    /// Milliseconds by which the platform's lists lag.
    pub list_lag_ms: u64,
    /// Milliseconds for which a runner that the platform ends goes on serving.
    pub drain_ms: u64,
    /// Starts and stops that the platform takes in a second; at most 0.8 of it is used.
    pub commands_per_s: f64,
    /// Prefix of nonces, unique for this term.
    pub nonce_prefix: String,
    /// Term of the role lease under which this autoscaler decides; a later term supersedes it.
    pub term: u64,
}

impl Default for AutoscalerOptions {
    fn default() -> Self {
        Self {
            policy: ScalingPolicy::default(),
            topology: Topology::default(),
            list_lag_ms: 2_000,
            drain_ms: 5_000,
            commands_per_s: 10.0,
            nonce_prefix: "n".to_owned(),
            term: 1,
        }
    }
}

impl AutoscalerOptions {
    /// Milliseconds without a listing after which a runner that was listed is taken as gone.
    pub(crate) fn unlisted_ms(&self) -> u64 {
        2 * self.list_lag_ms + UNLISTED_SLACK_MS
    }

    /// Milliseconds after which a start that usually takes `start_ms` is taken as failed.
    pub(crate) fn start_limit_ms(&self, start_ms: u64) -> u64 {
        START_LIMIT_FACTOR * start_ms + self.list_lag_ms + START_SLACK_MS
    }
}
