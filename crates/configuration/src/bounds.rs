use serde::{Deserialize, Serialize};

/// Bounds of the whole system. Every other time or share in the daemons is a ratio to one of these.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// An acknowledged change holds everywhere within this time, in milliseconds.
    pub change_ms: u64,
    /// An evacuated zone gets no more work after this time, in milliseconds.
    pub evacuation_ms: u64,
    /// Window over which retries are counted, in milliseconds.
    pub retry_window_ms: u64,
    /// Share of first attempts that retries may reach in the window.
    pub retry_share: f64,
    /// Retries allowed in the window beside the share, over all fronts.
    pub retry_floor: u32,
    /// Service is back this long after a failure has closed, in milliseconds.
    pub return_ms: u64,
    /// Demand above this share of the capacity makes the scaler grow.
    pub alpha: f64,
    /// Demand below this share of the capacity lets the scaler shrink.
    pub beta: f64,
    /// Calm time before the scaler shrinks, in milliseconds.
    pub cooldown_ms: u64,
    /// Memory of the largest worker, in megabytes.
    pub worker_memory_mb: u64,
    /// Starts that one worker may have under way at once.
    pub worker_starts: u32,
    /// Most requests that one front holds for one function.
    #[serde(rename = "holding_max")]
    pub queue_max: u32,
    /// Largest request or answer body, in bytes.
    pub body_max: u64,
    /// How long an idempotency key is remembered, in milliseconds.
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
    /// A front's quorum lease: half the bound on changes, so that a cut-off front is quiet
    /// well before a change must hold everywhere.
    pub fn lease_ms(&self) -> u64 {
        self.change_ms / 2
    }

    /// Time between heartbeats: a fifth of the lease, so that four may be lost.
    pub fn heartbeat_ms(&self) -> u64 {
        (self.lease_ms() / 5).max(1)
    }

    /// Window in which a lent seat must start: a sixth of the bound on changes.
    pub fn seat_window_ms(&self) -> u64 {
        self.change_ms / 6
    }

    /// Slack for connecting and for clocks that run apart: a twelfth of the bound on changes.
    pub fn slack_ms(&self) -> u64 {
        self.change_ms / 12
    }

    /// Time between runs of a front's or the scaler's loop: a thirtieth of the bound on changes.
    pub fn tick_ms(&self) -> u64 {
        (self.change_ms / 30).max(1)
    }

    /// Time that one question to another daemon may take: a third of the lease.
    pub fn ask_ms(&self) -> u64 {
        self.lease_ms() / 3
    }

    /// Time that a call to the platform may take: two thirds of the bound on changes.
    pub fn platform_ms(&self) -> u64 {
        self.change_ms * 2 / 3
    }

    /// Time that a role's holder may be silent before the role is vacant: the same as the lease.
    pub fn role_lease_ms(&self) -> u64 {
        self.lease_ms()
    }
}
