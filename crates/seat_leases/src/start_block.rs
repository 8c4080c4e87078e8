//! Requests that nothing can serve in time, because the function has no runner and no worker has room for one.

use crate::runner::Runner;
use crate::seats::Seats;
use protocol::StartBlock;

/// Most milliseconds for which one statement is acted on, whatever it says.
const VALID_MAX_MS: u64 = 5_000;
/// Least milliseconds after which a refused request is to come back.
const RETRY_AFTER_MIN_MS: u64 = 250;
/// Most milliseconds after which a refused request is told to come back.
const RETRY_AFTER_MAX_MS: u64 = 60_000;

/// A [`StartBlock`] on the clock of the keeper that was told it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldBlock {
    ready_at: Option<u64>,
    retry_at: u64,
    expires_at: u64,
}

impl HeldBlock {
    pub fn new(now: u64, told: StartBlock) -> Self {
        Self {
            ready_at: told.earliest_ready_ms.map(|wait| now + u64::from(wait)),
            retry_at: now + u64::from(told.retry_after_ms),
            expires_at: now + u64::from(told.valid_ms).min(VALID_MAX_MS),
        }
    }

    /// Whether no new runner can be up before `ends_at`.
    fn rules_out(&self, now: u64, ends_at: u64) -> bool {
        now < self.expires_at && self.ready_at.is_none_or(|at| at >= ends_at)
    }

    fn retry_after_ms(&self, now: u64) -> u32 {
        let wait_ms = self.retry_at.saturating_sub(now);
        wait_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS) as u32
    }
}

impl Seats {
    /// Milliseconds after which a request is to come back that nothing can serve before `ends_at`; none where a
    /// runner that is here, rests or starts, or a new one, may still do so.
    pub fn hopeless_until(&self, now: u64, ends_at: u64) -> Option<u32> {
        let block = self.start_block?;
        let may_serve = |runner: &Runner| runner.serves() || runner.is_awaited();
        if self.runners.iter().any(may_serve) || !block.rules_out(now, ends_at) {
            return None;
        }
        Some(block.retry_after_ms(now))
    }

    /// Requests that wait without hope: their place in line and after how many milliseconds each is to come back.
    pub fn hopeless(&self, now: u64) -> Vec<((u8, u64), u32)> {
        let waiting = self.waiting.iter();
        let hopeless = waiting.filter_map(|(place, one)| {
            let retry_after_ms = self.hopeless_until(now, one.ends_at)?;
            Some((*place, retry_after_ms))
        });
        hopeless.collect()
    }
}
