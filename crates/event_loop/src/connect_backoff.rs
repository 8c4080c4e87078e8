//! Timeouts for connection attempts, with exponential backoff.
//!
//! A machine without power doesn't respond at all, and the kernel retransmits the SYN only after a second. The machine may be back
//! long before that, so an attempt is abandoned and retried earlier.

/// Number of timed-out attempts after which the timeout doubles.
const ATTEMPTS_PER_DOUBLING: u32 = 2;
/// Maximum number of doublings.
const DOUBLINGS_MAX: u32 = 4;

/// Counts consecutive timed-out attempts to connect to one address, and derives the next timeout from them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectBackoff {
    count: u32,
}

impl ConnectBackoff {
    /// Counts an attempt that timed out.
    pub fn record_timeout(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// Resets the count after a connection was established.
    pub fn reset(&mut self) {
        self.count = 0;
    }

    /// Timeout of the next attempt in milliseconds, given that of the first.
    #[must_use]
    pub fn timeout_ms(self, first_ms: u64) -> u64 {
        first_ms << (self.count / ATTEMPTS_PER_DOUBLING).min(DOUBLINGS_MAX)
    }
}
