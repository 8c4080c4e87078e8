use crate::action::{QueuedRequest, Rejection};
use crate::scheduler::SeatScheduler;

/// Maximum number of attempts of one request that end before a runner is reached.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

impl SeatScheduler {
    /// Counts the first attempt of a request, which is sent now. The credit it earns may release deferred requests.
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
            self.enqueue(now, queued_request);
        }
    }

    /// Queues a repeatable request again after a failed attempt. Returns false if its budget has expired or
    /// the retry budget has no credit.
    pub fn retry(&mut self, now: u64, queued_request: QueuedRequest) -> bool {
        if now >= queued_request.budget_end || !self.retry_budget.take() {
            return false;
        }
        self.enqueue(now, queued_request);
        self.dispatch(now);
        true
    }

    /// Queues a request again whose seat became invalid before anything was sent, at most a few times.
    pub fn requeue_unsent(&mut self, now: u64, queued_request: QueuedRequest) {
        if let Some(queued_request) = self.count_unsent(queued_request) {
            self.enqueue(now, queued_request);
            self.dispatch(now);
        }
    }

    /// Queues a request again whose runner was unreachable. It counts as a retry: it is queued at once if there
    /// is credit, and otherwise as soon as first attempts have earned some.
    pub fn requeue_unreached(&mut self, now: u64, queued_request: QueuedRequest) {
        let Some(queued_request) = self.count_unsent(queued_request) else {
            return;
        };
        if self.deferred.len() >= self.configuration.bounds.queue_max as usize {
            return self.reject(queued_request, Rejection::Unreachable);
        }
        self.deferred.push_back(queued_request);
        self.resend_deferred(now);
        self.dispatch(now);
    }

    fn count_unsent(&mut self, mut queued_request: QueuedRequest) -> Option<QueuedRequest> {
        queued_request.unsent += 1;
        if queued_request.unsent > MAX_UNSENT_ATTEMPTS {
            self.reject(queued_request, Rejection::Unreachable);
            return None;
        }
        Some(queued_request)
    }

    pub(crate) fn reject_expired_deferred(&mut self, now: u64) {
        let (expired, remaining): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|queued_request| queued_request.budget_end <= now);
        self.deferred = remaining.into();
        for queued_request in expired {
            self.reject(queued_request, Rejection::Unreachable);
        }
    }
}
