//! Time since the start of the daemon in whole milliseconds, and its periodic ticks.

use std::time::{Duration, Instant};

/// Milliseconds between ticks, at which timeouts and retries are checked.
const TICK_INTERVAL_MS: u64 = 50;

/// A monotonic clock that starts at zero.
pub(crate) struct Clock {
    started_at: Instant,
    last_tick_at: u64,
}

impl Clock {
    /// Starts at zero; the first tick is due after one interval.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
            last_tick_at: 0,
        }
    }

    /// Milliseconds since the start, measured at the call.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Returns whether a tick is due, and if so schedules the next one.
    pub fn take_tick(&mut self, now: u64) -> bool {
        let is_due = now >= self.last_tick_at + TICK_INTERVAL_MS;
        if is_due {
            self.last_tick_at = now;
        }
        is_due
    }

    /// Time until the next tick, at least one millisecond.
    pub fn until_tick(&self, now: u64) -> Duration {
        let next = self.last_tick_at + TICK_INTERVAL_MS;
        Duration::from_millis(next.saturating_sub(now).max(1))
    }

    /// The time between ticks.
    pub fn tick_interval() -> Duration {
        Duration::from_millis(TICK_INTERVAL_MS)
    }
}
