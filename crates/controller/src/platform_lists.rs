//! The schedule of requests for the platform's lists, and the pages of a runner list that is being read.

use crate::codec::RunnerPage;
use autoscaler::RunnerListing;

/// Maximum number of runners read from one list; bounds the pages read from a platform that never ends its list.
const RUNNERS_MAX: usize = 1 << 18;

/// The schedule of both lists. A time of 0 means never.
#[derive(Default)]
pub(crate) struct PlatformLists {
    workers_requested_at: u64,
    runners_requested_at: u64,
    /// Whether a runner list was requested and is incomplete.
    is_reading_runners: bool,
    runners: Vec<RunnerListing>,
    /// When the last complete runner list was requested.
    complete_list_requested_at: u64,
    /// Number of runner lists that failed.
    failures: u64,
}

/// The result of reading a page of runners.
pub(crate) enum PageProgress {
    /// The page with this token must be requested next.
    Next(String),
    /// The list is complete, with these runners.
    Complete(Vec<RunnerListing>),
}

impl PlatformLists {
    /// Starts a term: both lists are due immediately.
    pub fn begin_term(&mut self) {
        self.workers_requested_at = 0;
        self.runners_requested_at = 0;
        self.complete_list_requested_at = 0;
    }

    /// Returns whether the worker list is due, and if so records it as requested.
    pub fn take_workers_due(&mut self, now: u64, interval_ms: u64) -> bool {
        let is_due = is_due(self.workers_requested_at, now, interval_ms);
        if is_due {
            self.workers_requested_at = now.max(1);
        }
        is_due
    }

    /// Returns whether the first page of the runner list is due, and if so records it as requested.
    pub fn take_runners_due(&mut self, now: u64, interval_ms: u64) -> bool {
        let is_due =
            is_due(self.runners_requested_at, now, interval_ms) && !self.is_reading_runners;
        if is_due {
            self.runners_requested_at = now.max(1);
            self.is_reading_runners = true;
            self.runners.clear();
        }
        is_due
    }

    /// Adds a page of runners.
    pub fn add_page(&mut self, now: u64, page: RunnerPage) -> PageProgress {
        self.runners.extend(page.runners);
        if let Some(next) = page.next.filter(|_| self.runners.len() < RUNNERS_MAX) {
            return PageProgress::Next(next);
        }
        self.is_reading_runners = false;
        self.complete_list_requested_at = self.runners_requested_at.min(now);
        PageProgress::Complete(std::mem::take(&mut self.runners))
    }

    /// Discards the runner list, a page of which failed or is malformed. It is requested from its first page when it is next
    /// due.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        self.discard_runners();
    }

    /// Number of runner lists that failed since the start.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Milliseconds since the last complete runner list was requested; 0 before the first of a term.
    pub fn runners_age_ms(&self, now: u64) -> u64 {
        match self.complete_list_requested_at {
            0 => 0,
            requested_at => now.saturating_sub(requested_at),
        }
    }

    /// Discards an incomplete runner list.
    pub fn discard_runners(&mut self) {
        self.is_reading_runners = false;
        self.runners.clear();
    }
}

fn is_due(requested_at: u64, now: u64, interval_ms: u64) -> bool {
    requested_at == 0 || now >= requested_at + interval_ms
}
