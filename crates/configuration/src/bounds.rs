use serde::{Deserialize, Serialize};

/// Limits of the whole system. Every other time or share in the daemons is derived from one of these.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Time within which an acknowledged change is in force everywhere, in milliseconds.
    pub change_ms: u64,
    /// Time after which an evacuated zone gets no more requests, in milliseconds.
    pub evacuation_ms: u64,
    /// Window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Retries allowed in the window, as a share of the first attempts.
    pub retry_share: f64,
    /// Retries allowed in the window in addition to the share, over all fronts.
    pub retry_floor: u32,
    /// Time after the end of a failure within which service is restored, in milliseconds.
    pub return_ms: u64,
    /// The scaler scales up if demand is above this share of the capacity.
    pub alpha: f64,
    /// The scaler may scale down if demand is below this share of the capacity.
    pub beta: f64,
    /// Time of low demand before the scaler scales down, in milliseconds.
    pub cooldown_ms: u64,
    /// Memory of the largest worker, in megabytes.
    pub worker_memory_mb: u64,
    /// Maximum number of runners that one worker may be starting at once.
    pub worker_starts: u32,
    /// Maximum number of requests that one front queues for one function.
    #[serde(rename = "holding_max")]
    pub queue_max: u32,
    /// Maximum size of a request or response body, in bytes.
    pub body_max: u64,
    /// Time for which an idempotency key is remembered, in milliseconds.
    pub claim_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            change_ms: 3_000,
            evacuation_ms: 5_000,
            retry_window_ms: 10_000,
            retry_share: 0.2,
            retry_floor: 10,
            return_ms: 12_000,
            alpha: 0.8,
            beta: 0.5,
            cooldown_ms: 30_000,
            worker_memory_mb: 8_000,
            worker_starts: 4,
            queue_max: 256,
            body_max: 1 << 20,
            claim_ms: 600_000,
        }
    }
}

impl Bounds {
    /// Duration of a front's quorum lease: half of `change_ms`, so that a partitioned front stops well before a
    /// change must be in force everywhere.
    pub fn lease_ms(&self) -> u64 {
        self.change_ms / 2
    }

    /// Interval of heartbeats: a fifth of the lease, so that four in a row may be lost.
    pub fn heartbeat_ms(&self) -> u64 {
        (self.lease_ms() / 5).max(1)
    }

    /// Time within which an attempt on a leased seat must start: a sixth of `change_ms`.
    pub fn seat_window_ms(&self) -> u64 {
        self.change_ms / 6
    }

    /// Safety margin for connecting and for clock drift: a twelfth of `change_ms`.
    pub fn slack_ms(&self) -> u64 {
        self.change_ms / 12
    }

    /// Interval of a front's and of the scaler's periodic work: a thirtieth of `change_ms`.
    pub fn tick_ms(&self) -> u64 {
        (self.change_ms / 30).max(1)
    }

    /// Timeout of a request to another daemon: a third of the lease.
    pub fn request_timeout_ms(&self) -> u64 {
        self.lease_ms() / 3
    }

    /// Timeout of a call to the platform: two thirds of `change_ms`.
    pub fn platform_timeout_ms(&self) -> u64 {
        self.change_ms * 2 / 3
    }

    /// Time without contact after which a role's holder loses the role: the same as the lease.
    pub fn role_lease_ms(&self) -> u64 {
        self.lease_ms()
    }
}
