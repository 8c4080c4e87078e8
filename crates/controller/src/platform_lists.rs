//! When the platform's lists are asked for, and the pages of the one that is being read.

use crate::codec::RunnerPage;
use autoscaler::RunnerListing;

/// Most runners of a list that are taken; a platform that names ever more pages is not followed further.
const RUNNERS_MAX: usize = 1 << 18;

/// The schedule of both lists. A time of 0 stands for never.
#[derive(Default)]
pub(crate) struct PlatformLists {
    workers_asked_at: u64,
    runners_asked_at: u64,
    /// A list of runners was begun and has not ended.
    is_reading_runners: bool,
    runners: Vec<RunnerListing>,
    /// When the last complete list of runners was asked for.
    runners_known_at: u64,
    /// Lists of runners that failed.
    failures: u64,
}

/// What follows on a page of runners.
pub(crate) enum PageProgress {
    /// Ask for the page of this name.
    Next(String),
    /// These are all runners.
    Complete(Vec<RunnerListing>),
}

impl PlatformLists {
    /// Both lists are due at once.
    pub fn begin_term(&mut self) {
        self.workers_asked_at = 0;
        self.runners_asked_at = 0;
        self.runners_known_at = 0;
    }

    /// Whether the list of workers is to be asked for now; it counts as asked for from then on.
    pub fn take_workers_due(&mut self, now: u64, interval_ms: u64) -> bool {
        let is_due = is_due(self.workers_asked_at, now, interval_ms);
        if is_due {
            self.workers_asked_at = now.max(1);
        }
        is_due
    }

    /// Whether the first page of runners is to be asked for now; the list counts as begun from then on.
    pub fn take_runners_due(&mut self, now: u64, interval_ms: u64) -> bool {
        let is_due = is_due(self.runners_asked_at, now, interval_ms) && !self.is_reading_runners;
        if is_due {
            self.runners_asked_at = now.max(1);
            self.is_reading_runners = true;
            self.runners.clear();
        }
        is_due
    }

    /// Takes a page of runners.
    pub fn add_page(&mut self, now: u64, page: RunnerPage) -> PageProgress {
        self.runners.extend(page.runners);
        if let Some(next) = page.next.filter(|_| self.runners.len() < RUNNERS_MAX) {
            return PageProgress::Next(next);
        }
        self.is_reading_runners = false;
        self.runners_known_at = self.runners_asked_at.min(now);
        PageProgress::Complete(std::mem::take(&mut self.runners))
    }

    /// A page did not come, or cannot be read. The list begins anew when it is due.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        self.drop_runners();
    }

    /// Lists of runners that failed since the start.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Milliseconds since the last complete list of runners was asked for; 0 before the first of a term.
    pub fn runners_age_ms(&self, now: u64) -> u64 {
        match self.runners_known_at {
            0 => 0,
            known_at => now.saturating_sub(known_at),
        }
    }

    /// The term is over.
    pub fn drop_runners(&mut self) {
        self.is_reading_runners = false;
        self.runners.clear();
    }
}

fn is_due(asked_at: u64, now: u64, interval_ms: u64) -> bool {
    asked_at == 0 || now >= asked_at + interval_ms
}
