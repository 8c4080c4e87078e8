//! Decides when a request is retried at another runner.

use crate::gateway::Gateway;
use protocol::RequestId;

impl Gateway {
    /// Adds the share of a request's first attempt to the retry budgets.
    pub fn deposit_retry_budget(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let gateways = self.configuration.members().len();
        self.retry_budgets
            .deposit(&request.function, request.tenant(), gateways);
    }

    /// Retries a request that was sent to a runner, if allowed. The retry counts as an attempt and against the retry
    /// budget.
    pub fn retry_sent(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        if !request.may_be_retried(self.now) || request.attempts >= request.max_attempts {
            return false;
        }
        let tenant = request.tenant().cloned();
        if !self
            .retry_budgets
            .try_withdraw(&request.function, tenant.as_ref())
        {
            return false;
        }
        self.request_lease(id);
        true
    }

    /// Retries a request that was not sent, if allowed.
    pub fn retry_unsent(&mut self, id: RequestId) -> bool {
        let request = self.requests.get(id);
        if !request.is_some_and(|request| request.may_be_retried(self.now)) {
            return false;
        }
        self.request_lease(id);
        true
    }

    /// Handles an overdue response to an idempotent request: the attempt is ended if the request can be retried.
    pub fn response_overdue(&mut self, id: RequestId, attempt_number: u32) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(attempt) = request.attempt() else {
            return;
        };
        let is_same_attempt = attempt.is_sent && request.attempts == attempt_number;
        if !is_same_attempt || request.downstream.is_none() {
            return;
        }
        // Ending this attempt only helps if another one is possible.
        let may_retry = request.may_be_retried(self.now);
        if !may_retry
            || !self
                .retry_budgets
                .has_balance(&request.function, request.tenant())
        {
            return;
        }
        let (connection, runner) = (attempt.connection, attempt.runner.clone());
        self.close_upstream(connection, &runner);
        self.attempt_broken_off(id, "the runner's answer is overdue");
    }
}
