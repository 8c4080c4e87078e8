//! Timing and numbering of heartbeats.

/// Minimum interval between two heartbeats, even if a change is to be reported, in milliseconds.
const MIN_INTERVAL_MS: u64 = 10;

/// Schedules heartbeats at regular intervals, and earlier when there is a change to report.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatSchedule {
    next_at: u64,
    last_sent_at: Option<u64>,
    is_requested: bool,
    /// Number of the latest heartbeat of this incarnation.
    number: u64,
}

impl HeartbeatSchedule {
    /// The first heartbeat is due immediately.
    pub fn new(now: u64) -> Self {
        Self {
            next_at: now,
            last_sent_at: None,
            is_requested: true,
            number: 0,
        }
    }

    /// Requests a heartbeat before the regular one, because there is a change to report.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Requests a heartbeat that ignores the minimum interval.
    pub fn request_at_once(&mut self) {
        self.is_requested = true;
        self.last_sent_at = None;
    }

    /// Makes the regular heartbeat due now.
    pub fn expire(&mut self, now: u64) {
        self.next_at = now;
    }

    /// Whether a heartbeat is due.
    pub fn is_due(&self, now: u64) -> bool {
        let has_min_interval_elapsed = self
            .last_sent_at
            .is_none_or(|sent_at| now >= sent_at + MIN_INTERVAL_MS);
        now >= self.next_at || (self.is_requested && has_min_interval_elapsed)
    }

    /// Records that a heartbeat is being sent and schedules the next regular one. Returns the number of the
    /// heartbeat.
    pub fn start_heartbeat(&mut self, now: u64, interval_ms: u64) -> u64 {
        self.is_requested = false;
        self.last_sent_at = Some(now);
        self.next_at = now + interval_ms;
        self.number += 1;
        self.number
    }
}
