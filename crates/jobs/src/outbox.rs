//! Queue of the actions that the gateway has not yet taken.

use crate::action::JobAction;
use crate::claim::ClaimHolder;
use crate::job::JobRequest;
use protocol::JobVerdict;

/// Actions for the gateway, in the order in which they must be carried out.
#[derive(Default)]
pub(crate) struct Outbox {
    actions: Vec<JobAction>,
}

impl Outbox {
    pub fn take(&mut self) -> Vec<JobAction> {
        std::mem::take(&mut self.actions)
    }

    pub fn request_lease(&mut self, now: u64, request: &JobRequest) {
        self.actions.push(JobAction::RequestLease {
            gateway: request.holder.gateway.clone(),
            zone: request.zone.clone(),
            request: request.lease_request(now),
        });
    }

    pub fn cancel_lease_request(&mut self, request: &JobRequest) {
        self.actions.push(JobAction::CancelLeaseRequest {
            gateway: request.holder.gateway.clone(),
            request_id: request.holder.request_id,
        });
    }

    pub fn notify_claimed(&mut self, request: &JobRequest, register_version: u64) {
        self.actions.push(JobAction::NotifyClaimed {
            gateway: request.holder.gateway.clone(),
            request_id: request.holder.request_id,
            attempt: request.attempt,
            register_version,
        });
    }

    pub fn notify_joined(&mut self, request: &JobRequest) {
        self.actions.push(JobAction::NotifyJoined {
            gateway: request.holder.gateway.clone(),
            request_id: request.holder.request_id,
            attempt: request.attempt,
        });
    }

    pub fn notify_verdict(&mut self, request: &JobRequest, verdict: JobVerdict) {
        self.actions.push(JobAction::NotifyVerdict {
            gateway: request.holder.gateway.clone(),
            request_id: request.holder.request_id,
            attempt: request.attempt,
            verdict,
        });
    }

    pub fn notify_persisted(&mut self, holder: ClaimHolder) {
        self.actions.push(JobAction::NotifyPersisted {
            gateway: holder.gateway,
            request_id: holder.request_id,
        });
    }

    pub fn access_register(
        &mut self,
        number: u64,
        key: &str,
        expected_version: Option<u64>,
        value: Vec<u8>,
        retries: u32,
    ) {
        self.actions.push(JobAction::AccessRegister {
            number,
            key: key.to_string(),
            expected_version,
            value,
            retries,
        });
    }
}
