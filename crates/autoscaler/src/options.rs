//! Settings of the autoscaler.

use locality::Topology;
use policy::ScalingPolicy;

/// Milliseconds in addition to twice the list lag after which a runner that no list shows is considered gone.
const UNLISTED_SLACK_MS: u64 = 1_000;
/// Multiple of its usual duration that a start may take.
const START_LIMIT_FACTOR: u64 = 3;
/// Milliseconds that a start may take in addition to that multiple and the list lag.
const START_SLACK_MS: u64 = 3_000;

/// Settings of one autoscaler instance.
#[derive(Clone, Debug, PartialEq)]
pub struct AutoscalerOptions {
    /// Policy that determines how many runners functions have and where each is started.
    pub policy: ScalingPolicy,
    /// Zones and the regions to which they belong.
    pub topology: Topology,
    /// Milliseconds by which the platform's lists may lag behind the actual state.
    pub list_lag_ms: u64,
    /// Milliseconds for which a runner that the platform terminates continues to serve.
    pub drain_ms: u64,
    /// Starts and stops that the platform accepts per second. The sustained command rate is at most 0.8 of this.
    pub commands_per_s: f64,
    /// Prefix of the nonces of starts, unique to this term.
    pub nonce_prefix: String,
    /// Term of the role lease under which this autoscaler makes decisions. A later term supersedes it.
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
    /// Milliseconds without a listing after which a runner that was listed before is considered gone.
    pub(crate) fn unlisted_ms(&self) -> u64 {
        2 * self.list_lag_ms + UNLISTED_SLACK_MS
    }

    /// Milliseconds after which a start that usually takes `start_ms` is considered failed.
    pub(crate) fn start_limit_ms(&self, start_ms: u64) -> u64 {
        START_LIMIT_FACTOR * start_ms + self.list_lag_ms + START_SLACK_MS
    }
}
