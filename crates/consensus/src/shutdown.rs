//! Shutdown of a controller: its place in the voter set is handed over before the process ends.

/// The span within which a controller that shuts down may end, on its monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// It serves until then in any case, in milliseconds.
    pub serves_until: u64,
    /// It ends then even if its place was not taken over, in milliseconds.
    pub waits_until: u64,
}

/// State of a shutdown.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    times: ShutdownTimes,
    next_notice_at: u64,
}

impl Shutdown {
    /// Starts a shutdown. The first notice to spare controllers is due immediately.
    pub fn new(now: u64, times: ShutdownTimes) -> Self {
        Self {
            times,
            next_notice_at: now,
        }
    }

    /// Whether spare controllers are to be told of the shutdown now. Notices are repeated, because messages may be
    /// lost.
    pub fn poll_notice(&mut self, now: u64, interval_ms: u64) -> bool {
        let is_due = now >= self.next_notice_at;
        if is_due {
            self.next_notice_at = now + interval_ms;
        }
        is_due
    }

    /// Whether the controller may end, given whether its place was taken over or nobody can take it.
    pub fn may_end(&self, now: u64, is_dispensable: bool) -> bool {
        let has_served = now >= self.times.serves_until;
        let is_out_of_time = now >= self.times.waits_until;
        is_out_of_time || (has_served && is_dispensable)
    }
}
