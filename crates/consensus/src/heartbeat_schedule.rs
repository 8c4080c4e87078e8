//! When the next heartbeat leaves, and which number it bears.

/// Least time between two heartbeats, also where something new is to be said, in milliseconds.
const MIN_INTERVAL_MS: u64 = 10;

/// When heartbeats leave: at regular intervals, and sooner where something has changed.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatSchedule {
    next_at: u64,
    last_sent_at: Option<u64>,
    is_requested: bool,
    /// Number of the newest heartbeat of this incarnation.
    number: u64,
}

impl HeartbeatSchedule {
    /// A heartbeat is due at once.
    pub fn new(now: u64) -> Self {
        Self {
            next_at: now,
            last_sent_at: None,
            is_requested: true,
            number: 0,
        }
    }

    /// Asks for a heartbeat before the regular one, since something has changed that others want to know.
    pub fn request(&mut self) {
        self.is_requested = true;
    }

    /// Asks for a heartbeat that does not even wait for the least interval.
    pub fn request_at_once(&mut self) {
        self.is_requested = true;
        self.last_sent_at = None;
    }

    /// Makes the regular heartbeat due now.
    pub fn expire(&mut self, now: u64) {
        self.next_at = now;
    }

    /// Whether a heartbeat is to leave now.
    pub fn is_due(&self, now: u64) -> bool {
        let is_rested = self
            .last_sent_at
            .is_none_or(|sent_at| now >= sent_at + MIN_INTERVAL_MS);
        now >= self.next_at || (self.is_requested && is_rested)
    }

    /// A heartbeat leaves now; the next regular one follows after the interval. Returns the heartbeat's number.
    pub fn start_heartbeat(&mut self, now: u64, interval_ms: u64) -> u64 {
        self.is_requested = false;
        self.last_sent_at = Some(now);
        self.next_at = now + interval_ms;
        self.number += 1;
        self.number
    }
}
