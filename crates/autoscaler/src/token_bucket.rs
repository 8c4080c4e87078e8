//! Rate limit of commands to the platform.

/// Share of the platform's rate that is used. The rest is the burst, so that what is used within any second stays below
/// the platform's rate.
const RATE_SHARE: f64 = 0.8;

/// Tokens for starts and stops; one command takes one.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: u64,
}

impl TokenBucket {
    /// A full bucket for a platform that takes so many commands a second.
    pub fn new(platform_per_s: f64, now: u64) -> Self {
        let burst = ((1.0 - RATE_SHARE) * platform_per_s).max(1.0);
        Self {
            tokens_per_s: RATE_SHARE * platform_per_s,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Adds the tokens of the time that passed.
    pub fn refill(&mut self, now: u64) {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1_000.0;
        self.tokens = (self.tokens + passed_s * self.tokens_per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether there is a token to take.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token. Call only if [`TokenBucket::has_token`].
    pub fn take(&mut self) {
        debug_assert!(self.has_token(), "a command beyond the rate");
        self.tokens -= 1.0;
    }
}
