//! When to report a function to the scaler.

/// Milliseconds between reports of a function while a request is waiting or a runner is gone.
const URGENT_INTERVAL_MS: u64 = 15;
/// Milliseconds after which waiting requests are reported again, because the scaler drops information that is not
/// refreshed.
const REMINDER_INTERVAL_MS: u64 = 500;

/// Reporting state of one function.
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

    /// Uses the shorter interval for the next report, if there is a change to report.
    pub fn mark_urgent(&mut self) {
        self.is_urgent = true;
    }

    pub fn is_changed(&self) -> bool {
        self.is_changed
    }

    /// Whether there is a change to report and the urgent or regular interval since the last report has passed.
    pub fn is_due(&self, now: u64, regular_interval_ms: u64) -> bool {
        let interval_ms = if self.is_urgent {
            URGENT_INTERVAL_MS
        } else {
            regular_interval_ms
        };
        self.is_changed && now >= self.reported_at + interval_ms
    }

    /// Whether waiting requests have to be reported again.
    pub fn is_reminder_due(&self, now: u64) -> bool {
        now >= self.reported_at + REMINDER_INTERVAL_MS
    }

    pub fn record_report(&mut self, now: u64) {
        self.reported_at = now;
        self.is_changed = false;
        self.is_urgent = false;
    }
}
