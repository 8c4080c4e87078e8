//! When the scaler is reported to about one function.

/// Milliseconds between reports of a function while a request waits or a runner is gone.
const URGENT_INTERVAL_MS: u64 = 15;
/// Milliseconds after which it is reported again that requests wait, since the scaler forgets what it has not heard for
/// long.
const REMINDER_INTERVAL_MS: u64 = 500;

/// What of a function is not reported yet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportState {
    is_changed: bool,
    is_urgent: bool,
    reported_at: u64,
}

impl ReportState {
    pub fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Lets the next report leave sooner, where there is something to report.
    pub fn mark_urgent(&mut self) {
        self.is_urgent = true;
    }

    pub fn is_changed(&self) -> bool {
        self.is_changed
    }

    /// Whether there is something to report and the interval since the last report is over; where nothing is urgent, the regular one.
    pub fn is_due(&self, now: u64, regular_interval_ms: u64) -> bool {
        let interval_ms = if self.is_urgent {
            URGENT_INTERVAL_MS
        } else {
            regular_interval_ms
        };
        self.is_changed && now >= self.reported_at + interval_ms
    }

    /// Whether it was not reported for long that requests wait.
    pub fn is_reminder_due(&self, now: u64) -> bool {
        now >= self.reported_at + REMINDER_INTERVAL_MS
    }

    pub fn record_report(&mut self, now: u64) {
        self.reported_at = now;
        self.is_changed = false;
        self.is_urgent = false;
    }
}
