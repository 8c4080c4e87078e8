//! Time since the start of the daemon, in whole milliseconds, and its regular ticks.

use std::time::{Duration, Instant};

/// Milliseconds between ticks, at which time-outs and retries are looked at.
const TICK_INTERVAL_MS: u64 = 50;

/// A monotonic clock that begins at zero.
pub(crate) struct Clock {
    started_at: Instant,
    ticked_at: u64,
}

impl Clock {
    /// Begins at zero, with the first tick one interval away.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            ticked_at: 0,
        }
    }

    /// Milliseconds since the start, at this very moment.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Whether a tick is due; it counts as done from then on.
    pub fn take_tick(&mut self, now: u64) -> bool {
        let is_due = now >= self.ticked_at + TICK_INTERVAL_MS;
        if is_due {
            self.ticked_at = now;
        }
        is_due
    }

    /// Time until the next tick, at least a millisecond.
    pub fn until_tick(&self, now: u64) -> Duration {
        let next = self.ticked_at + TICK_INTERVAL_MS;
        Duration::from_millis(next.saturating_sub(now).max(1))
    }

    /// Time between ticks.
    pub fn tick_interval() -> Duration {
        Duration::from_millis(TICK_INTERVAL_MS)
    }
}
