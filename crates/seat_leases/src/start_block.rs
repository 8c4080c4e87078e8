//! The scaler's statement that no new runner of a function can be up for some time, converted to the owner's clock.

use protocol::StartBlock;

/// Maximum validity of one statement in milliseconds, regardless of the validity that it states.
const VALID_MAX_MS: u64 = 5_000;
/// Minimum retry delay of a rejected request in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 250;
/// Maximum retry delay of a rejected request in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 60_000;

/// A [`StartBlock`] with times in the receiving owner's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedStartBlock {
    ready_at: Option<u64>,
    retry_at: u64,
    expires_at: u64,
}

impl ReceivedStartBlock {
    pub fn new(now: u64, block: StartBlock) -> Self {
        let ready_in_ms = block.earliest_ready_ms;
        Self {
            ready_at: ready_in_ms.map(|wait_ms| now + u64::from(wait_ms)),
            retry_at: now + u64::from(block.retry_after_ms),
            expires_at: now + u64::from(block.valid_ms).min(VALID_MAX_MS),
        }
    }

    /// Whether no new runner can be up before the deadline.
    pub fn rules_out(&self, now: u64, deadline: u64) -> bool {
        now < self.expires_at && self.ready_at.is_none_or(|at| at >= deadline)
    }

    /// Milliseconds after which to retry a rejected request.
    pub fn retry_after_ms(&self, now: u64) -> u32 {
        let wait_ms = self.retry_at.saturating_sub(now);
        wait_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS) as u32
    }
}
