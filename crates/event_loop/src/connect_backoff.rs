//! How long an attempt to connect may take before it is given up and made anew.
//!
//! A machine without power answers nothing, and the system repeats its own attempt only after a second, when the machine may long be back.

/// Attempts after which the time doubles.
const ATTEMPTS_PER_DOUBLING: u32 = 2;
/// Most doublings.
const DOUBLINGS_MAX: u32 = 4;

/// Attempts in a row to connect to one address of which no connection came.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectBackoff {
    count: u32,
}

impl ConnectBackoff {
    /// An attempt was given up.
    pub fn record_timeout(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    /// A connection was established.
    pub fn reset(&mut self) {
        self.count = 0;
    }

    /// Milliseconds within which the next attempt must succeed, where the first has so many.
    #[must_use]
    pub fn timeout_ms(self, first_ms: u64) -> u64 {
        first_ms << (self.count / ATTEMPTS_PER_DOUBLING).min(DOUBLINGS_MAX)
    }
}
