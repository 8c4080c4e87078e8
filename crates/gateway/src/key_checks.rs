//! Handles requests whose API key was revoked, or assigned to another tenant, after they were admitted.

use crate::client_identity::KeyStatus;
use crate::gateway::Gateway;
use crate::pending_request::{PendingRequest, RequestPhase};
use crate::request_accounting::RequestEnd;
use http1::ErrorStatus;
use protocol::{JobResult, RequestId};

impl Gateway {
    /// Handles a new configuration: ends the unsent requests whose key no longer belongs to their tenant.
    pub fn recheck_keys(&mut self) {
        let tenants = self.configuration.tenants();
        self.tenant_counts.retain(tenants.as_ref());
        let is_unsent = |request: &PendingRequest| request.client.is_some() && !request.is_sent();
        for id in self.requests.ids(is_unsent) {
            self.end_if_key_invalid(id);
        }
    }

    /// Ends an unsent request whose key no longer belongs to its tenant. Returns whether it was ended.
    pub fn end_if_key_invalid(&mut self, id: RequestId) -> bool {
        let tenants = self.configuration.tenants();
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let Some(client) = &request.client else {
            return false;
        };
        match client.recheck(tenants.as_ref()) {
            KeyStatus::Held => return false,
            KeyStatus::Moved => {
                self.withdraw_request(id);
                self.reject(id, 0, "the key of the request is another tenant's now");
            }
            KeyStatus::Revoked => {
                self.withdraw_request(id);
                self.end_revoked(id);
            }
        }
        true
    }

    fn end_revoked(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(id, RequestEnd::Rejected) else {
            return;
        };
        let result = match request.may_have_run {
            true => JobResult::Lost,
            false => JobResult::NotRun,
        };
        self.complete_job(&request, result);
        let reason = "the key of the request was taken away";
        self.respond_with_error(&request, ErrorStatus::UNAUTHORIZED, reason);
    }

    /// Releases the lease, or cancels the lease request, of a request that no longer needs a runner.
    pub fn withdraw_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        match &request.phase {
            RequestPhase::Upstream(attempt) => {
                let owner = attempt.owner.clone();
                self.abandon_attempt(id);
                self.void_job_attempt(&owner, id);
            }
            RequestPhase::AwaitingLease { .. } | RequestPhase::Backoff => {
                self.cancel_lease_request(id);
            }
        }
    }
}
