//! Helpers for tests: a coordinator with a running job.
#![allow(dead_code)]

#[path = "../sign_request/mod.rs"]
mod sign_request;

use jobs::{JobAction, JobAdmission, JobCoordinator};
use protocol::{JobAttempt, LeaseRequest, RegisterResponse, RequestId};
use sign_request::sign_request;

pub const KEY: &str = "k";

pub fn admission() -> JobAdmission {
    JobAdmission::new(KEY.into(), sign_request(b"build").digest(), true, 7)
}

pub fn lease_request(request: u64, attempt: JobAttempt) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(request),
        function: "sign".into(),
        timeout_ms: 4_000,
        job: Some(attempt),
        ..LeaseRequest::default()
    }
}

/// Returns the number and value of the last register request among the actions.
pub fn last_register_request(actions: &[JobAction]) -> (u64, Vec<u8>) {
    let mut register_requests = actions.iter().filter_map(|action| match action {
        JobAction::AccessRegister {
            number,
            value: bytes,
            ..
        } => Some((*number, bytes.clone())),
        _ => None,
    });
    register_requests.next_back().expect("no register request")
}

/// Returns a coordinator whose job is run by request 4 of gateway g1, and the claim that it wrote to the register.
pub fn start_job(admission: &mut JobAdmission) -> (JobCoordinator, Vec<u8>) {
    let mut jobs = JobCoordinator::new(1, 10_000);
    jobs.request_arrived(
        0,
        "g1",
        "a",
        lease_request(4, admission.begin_attempt("k1")),
    );
    let (number, claim) = last_register_request(&jobs.take_actions());
    jobs.register_responded(1, number, RegisterResponse::Written(1));
    admission.set_claimed(1);
    jobs.take_actions();
    (jobs, claim)
}
