//! Rate limiter for commands to the platform.

/// Share of the platform's rate limit that is used as the refill rate. The rest is the burst size, so that the commands
/// within any one second do not exceed the platform's limit.
const RATE_SHARE: f64 = 0.8;

/// Token bucket for starts and stops. Each command takes one token.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: u64,
}

impl TokenBucket {
    /// Creates a full bucket for a platform that accepts `platform_per_s` commands per second.
    pub fn new(platform_per_s: f64, now: u64) -> Self {
        let burst = ((1.0 - RATE_SHARE) * platform_per_s).max(1.0);
        Self {
            tokens_per_s: RATE_SHARE * platform_per_s,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Adds the tokens for the time since the last refill.
    pub fn refill(&mut self, now: u64) {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1_000.0;
        self.tokens = (self.tokens + passed_s * self.tokens_per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether a token is available.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token. Must be called only if [`TokenBucket::has_token`] returns true.
    pub fn take(&mut self) {
        debug_assert!(self.has_token(), "a command was sent without a token");
        self.tokens -= 1.0;
    }
}
