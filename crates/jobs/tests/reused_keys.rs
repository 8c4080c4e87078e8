//! A key that is reused for another request while the new owner of its function does not know the job yet.

mod sign_request;

use jobs::{JobAction, JobCoordinator};
use protocol::{
    JobAttempt, JobCompletion, JobResult, JobVerdict, LeaseRequest, RegisterResponse, RequestId,
};
use sign_request::sign_request;

const KEY: &str = "k";
const RUN: &[u8] = b"build";
const OTHER: &[u8] = b"another build";

fn attempt(body: &[u8]) -> JobAttempt {
    JobAttempt {
        key: KEY.into(),
        digest: sign_request(body).digest(),
        at_most_once: true,
        incarnation: 7,
        number: 1,
    }
}

fn lease_request(request: u64, body: &[u8]) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(request),
        function: "sign".into(),
        timeout_ms: 4_000,
        job: Some(attempt(body)),
        ..LeaseRequest::default()
    }
}

/// The end of a run under a claim that another owner wrote.
fn completion(result: JobResult) -> JobCompletion {
    JobCompletion {
        request_id: RequestId(4),
        function: "sign".into(),
        attempt: attempt(RUN),
        register_version: 5,
        result,
    }
}

fn verdicts(jobs: &mut JobCoordinator) -> Vec<(u64, JobVerdict)> {
    let actions = jobs.take_actions();
    let verdicts = actions.into_iter().filter_map(|action| match action {
        JobAction::NotifyVerdict {
            request_id,
            verdict,
            ..
        } => Some((request_id.0, verdict)),
        _ => None,
    });
    verdicts.collect()
}

// Guards against an answer of another request: the run ended at a former owner, and its completion reaches the next one while that
// one is claiming the key for a request that differs.
#[test]
fn a_completion_answers_no_request_that_differs_from_its_own() {
    let results = [
        JobResult::Answer(vec![1]),
        JobResult::TooLarge,
        JobResult::Lost,
    ];
    for result in results {
        let mut jobs = JobCoordinator::new(1, 600_000);
        jobs.request_arrived(0, "g2", "a", lease_request(9, OTHER));
        jobs.request_arrived(1, "g3", "a", lease_request(10, OTHER));
        jobs.take_actions();
        jobs.attempt_completed(2, "g1", completion(result.clone()));
        let mut resolved = verdicts(&mut jobs);
        resolved.sort_by_key(|(request, _)| *request);
        let other = JobVerdict::OtherRequest;
        assert_eq!(resolved, [(9, other.clone()), (10, other)], "{result:?}");
    }
}

// Guards against the same once the completion is known: copies get the answer, and requests that differ do not.
#[test]
fn a_completion_answers_its_copies() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g2", "a", lease_request(9, OTHER));
    jobs.attempt_completed(1, "g1", completion(JobResult::Answer(vec![1])));
    jobs.take_actions();
    jobs.request_arrived(2, "g2", "a", lease_request(11, RUN));
    jobs.request_arrived(3, "g3", "a", lease_request(12, OTHER));
    let expected = [
        (11, JobVerdict::Answer(vec![1])),
        (12, JobVerdict::OtherRequest),
    ];
    assert_eq!(verdicts(&mut jobs), expected);
}

// Guards against a late claim of the request that differs: it was answered, so a write of its claim admits nobody.
#[test]
fn the_claim_of_a_request_that_was_rejected_admits_nobody() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g2", "a", lease_request(9, OTHER));
    let actions = jobs.take_actions();
    let number = actions.iter().find_map(|action| match action {
        JobAction::AccessRegister { number, .. } => Some(*number),
        _ => None,
    });
    jobs.attempt_completed(1, "g1", completion(JobResult::Answer(vec![1])));
    jobs.take_actions();
    jobs.register_responded(2, number.unwrap(), RegisterResponse::Written(6));
    let actions = jobs.take_actions();
    let admits = |action: &JobAction| matches!(action, JobAction::NotifyClaimed { .. });
    assert!(!actions.iter().any(admits), "{actions:?}");
}
