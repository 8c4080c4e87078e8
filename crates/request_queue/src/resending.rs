use crate::action::{QueuedRequest, Rejection};
use crate::scheduler::SeatScheduler;

/// Attempts of one request that may end before a runner was reached.
const UNSENT_MAX: u32 = 4;

impl SeatScheduler {
    /// Counts the first try of a request, which is sent now. What waits for credit may go then.
    pub fn count_first_attempt(&mut self, now: u64) {
        let bounds = &self.configuration.bounds;
        let floor = f64::from(bounds.retry_floor) / self.plan.membership.len().max(1) as f64;
        self.retry_budget.earn(bounds.retry_share, floor);
        self.resend_deferred(now);
    }

    fn resend_deferred(&mut self, now: u64) {
        while self.retry_budget.has_credit() {
            let Some(queued_request) = self.deferred.pop_front() else {
                return;
            };
            self.retry_budget.take();
            self.hold(now, queued_request);
        }
    }

    /// A repeatable request whose try failed asks to be tried again; it is held or refused.
    pub fn retry(&mut self, now: u64, queued_request: QueuedRequest) -> bool {
        if now >= queued_request.budget_end || !self.retry_budget.take() {
            return false;
        }
        self.hold(now, queued_request);
        self.settle(now);
        true
    }

    /// A request whose seat was no longer good before anything was sent is held again, a few times
    /// at most.
    pub fn requeue_unsent(&mut self, now: u64, queued_request: QueuedRequest) {
        if let Some(queued_request) = self.count_unsent(queued_request) {
            self.hold(now, queued_request);
            self.settle(now);
        }
    }

    /// A request whose runner was not there is sent again, as one of the retries: at once where
    /// there is credit, and otherwise as soon as first attempts have earned it.
    pub fn requeue_unreached(&mut self, now: u64, queued_request: QueuedRequest) {
        let Some(queued_request) = self.count_unsent(queued_request) else {
            return;
        };
        if self.deferred.len() >= self.configuration.bounds.queue_max as usize {
            return self.refuse(queued_request, Rejection::Unreachable);
        }
        self.deferred.push_back(queued_request);
        self.resend_deferred(now);
        self.settle(now);
    }

    fn count_unsent(&mut self, mut queued_request: QueuedRequest) -> Option<QueuedRequest> {
        queued_request.unsent += 1;
        if queued_request.unsent > UNSENT_MAX {
            self.refuse(queued_request, Rejection::Unreachable);
            return None;
        }
        Some(queued_request)
    }

    pub(crate) fn refuse_late_deferred(&mut self, now: u64) {
        let (over, owned): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|queued_request| queued_request.budget_end <= now);
        self.deferred = owned.into();
        for queued_request in over {
            self.refuse(queued_request, Rejection::Unreachable);
        }
    }
}
