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
    pub fn add_page(&mut self, page: RunnerPage) -> PageProgress {
        self.runners.extend(page.runners);
        if let Some(next) = page.next.filter(|_| self.runners.len() < RUNNERS_MAX) {
            return PageProgress::Next(next);
        }
        self.is_reading_runners = false;
        PageProgress::Complete(std::mem::take(&mut self.runners))
    }

    /// A page cannot be read.
    pub fn end_runners(&mut self) {
        self.is_reading_runners = false;
    }

    /// No answer came to a page, or the term is over.
    pub fn drop_runners(&mut self) {
        self.is_reading_runners = false;
        self.runners.clear();
    }
}

fn is_due(asked_at: u64, now: u64, interval_ms: u64) -> bool {
    asked_at == 0 || now >= asked_at + interval_ms
}
