//! Delayed messages and messages about earlier attempts have no effect; results are resent until they are persisted.

mod running_job;

use jobs::{
    AbandonedAttempts, Claim, JobAction, JobAdmission, JobCoordinator, UnacknowledgedResults,
};
use protocol::{
    JobAttempt, JobCompletion, JobResult, JobVerdict, LeaseRequest, RegisterResponse, RequestId,
};
use running_job::{admission, last_register_request, lease_request, start_job};
use speedy::Readable;

fn completion(admission: &JobAdmission, result: JobResult) -> JobCompletion {
    admission.completion(RequestId(4), "sign", result)
}

#[test]
fn the_completion_of_an_earlier_attempt_does_not_end_the_current_one() {
    let mut admission = admission();
    let (mut jobs, _) = start_job(&mut admission);
    let old_completion = completion(&admission, JobResult::NotRun);
    jobs.request_arrived(
        5,
        "g1",
        "a",
        lease_request(4, admission.begin_attempt("k1")),
    );
    let (number, _) = last_register_request(&jobs.take_actions());
    jobs.register_responded(6, number, RegisterResponse::Written(2));
    jobs.request_arrived(
        7,
        "g2",
        "a",
        lease_request(9, self::admission().begin_attempt("k1")),
    );
    jobs.take_actions();
    jobs.attempt_completed(8, "g1", old_completion);
    assert!(
        jobs.take_actions().is_empty(),
        "another request was admitted while the first one runs"
    );
    jobs.attempt_completed(9, "g1", completion(&admission, JobResult::NotRun));
    let actions = jobs.take_actions();
    assert!(matches!(&actions[0], JobAction::RequestLease { gateway, .. } if gateway == "g2"));
}

#[test]
fn a_rejected_request_is_replaced_once_its_gateway_reports_that_it_has_not_run() {
    let mut admission = admission();
    let (mut jobs, _) = start_job(&mut admission);
    jobs.request_arrived(
        2,
        "g2",
        "a",
        lease_request(9, self::admission().begin_attempt("k1")),
    );
    jobs.take_actions();
    assert!(jobs.lease_rejected(3, "g1", RequestId(4), 300));
    let actions = jobs.take_actions();
    let verdict = JobVerdict::NotRun(300);
    assert_eq!(
        actions,
        [JobAction::NotifyVerdict {
            gateway: "g1".into(),
            request_id: RequestId(4),
            attempt: 1,
            verdict
        }]
    );
    jobs.attempt_completed(4, "g1", completion(&admission, JobResult::NotRun));
    assert!(
        matches!(&jobs.take_actions()[0], JobAction::RequestLease { gateway, .. } if gateway == "g2")
    );
}

#[test]
fn the_claim_of_an_expired_job_of_this_coordinator_is_not_replaced() {
    let mut admission = admission();
    let (mut jobs, claim) = start_job(&mut admission);
    jobs.advance_clock(30_000, |_, _| false);
    assert!(jobs.is_empty());
    jobs.request_arrived(
        30_001,
        "g2",
        "a",
        lease_request(9, self::admission().begin_attempt("k1")),
    );
    let (number, _) = last_register_request(&jobs.take_actions());
    jobs.register_responded(30_002, number, RegisterResponse::Found(1, claim));
    let actions = jobs.take_actions();
    let is_join = |action: &JobAction| matches!(action, JobAction::NotifyJoined { gateway, request_id: RequestId(9), .. } if gateway == "g2");
    assert!(actions.iter().any(is_join), "{actions:?}");
    assert!(!actions
        .iter()
        .any(|action| matches!(action, JobAction::AccessRegister { .. })));
}

#[test]
fn requests_waiting_for_a_job_of_a_lost_gateway_are_told_that_it_may_have_run() {
    let mut admission = admission();
    let (mut jobs, claim) = start_job(&mut admission);
    jobs.gateway_lost(10, "g1");
    jobs.request_arrived(
        20,
        "g2",
        "a",
        lease_request(9, self::admission().begin_attempt("k1")),
    );
    let mut verdicts = Vec::new();
    for now in (50..4_000).step_by(50) {
        jobs.advance_clock(now, |gateway, incarnation| {
            gateway == "g1" && incarnation == 7
        });
        for action in jobs.take_actions() {
            match action {
                JobAction::AccessRegister {
                    number,
                    expected_version: expected,
                    ..
                } => {
                    assert_eq!(expected, None, "the register is only read");
                    jobs.register_responded(now, number, RegisterResponse::Found(1, claim.clone()));
                }
                JobAction::NotifyVerdict {
                    request_id: request,
                    verdict,
                    ..
                } => verdicts.push((now, request, verdict)),
                _ => {}
            }
        }
    }
    assert!(
        matches!(verdicts[..], [(at, RequestId(9), JobVerdict::MayHaveRun)] if at < 3_000),
        "{verdicts:?}"
    );
}

#[test]
fn a_gateway_accepts_messages_about_the_current_attempt_only() {
    let mut admission = admission();
    assert!(!admission.may_be_sent() && admission.may_have_run_elsewhere());
    let first = admission.begin_attempt("k1").number;
    assert!(
        admission.is_current_attempt("k1", first) && !admission.is_current_attempt("k2", first)
    );
    admission.set_claimed(3);
    assert!(admission.may_be_sent() && !admission.may_have_run_elsewhere());
    let second = admission.begin_attempt("k1").number;
    assert!(
        !admission.is_current_attempt("k1", first) && admission.is_current_attempt("k1", second)
    );
    assert!(
        !admission.may_be_sent(),
        "messages about the first attempt no longer apply"
    );
    admission.set_joined();
    assert!(!admission.may_be_sent() && admission.may_have_run_elsewhere());
}

#[test]
fn a_result_is_resent_until_it_is_persisted() {
    let mut admission = admission();
    admission.begin_attempt("k1");
    admission.set_claimed(1);
    let mut unacknowledged_results = UnacknowledgedResults::default();
    unacknowledged_results.record(0, &completion(&admission, JobResult::Lost));
    assert!(unacknowledged_results.is_empty());
    let answer = completion(&admission, JobResult::Answer(vec![1]));
    unacknowledged_results.record(0, &answer);
    assert!(unacknowledged_results.take_due(200).is_empty());
    assert_eq!(
        unacknowledged_results.take_due(300),
        std::slice::from_ref(&answer)
    );
    assert_eq!(unacknowledged_results.take_due(600), [answer]);
    unacknowledged_results.acknowledge(RequestId(4));
    assert!(unacknowledged_results.is_empty());
}

#[test]
fn a_result_that_a_new_owner_receives_first_is_stored_and_published() {
    let mut admission = admission();
    let (_, claim) = start_job(&mut admission);
    let mut other = JobCoordinator::new(2, 10_000);
    let answer = completion(&admission, JobResult::Answer(vec![5]));
    other.attempt_completed(10, "g1", answer.clone());
    let (number, bytes) = last_register_request(&other.take_actions());
    let done = Claim::read_from_buffer(&bytes).unwrap();
    assert_eq!(done.holder, Claim::read_from_buffer(&claim).unwrap().holder);
    other.register_responded(11, number, RegisterResponse::Written(2));
    assert_eq!(
        other.take_actions(),
        [JobAction::NotifyPersisted {
            gateway: "g1".into(),
            request_id: RequestId(4)
        }]
    );
    other.attempt_completed(12, "g1", answer);
    assert_eq!(
        other.take_actions(),
        [JobAction::NotifyPersisted {
            gateway: "g1".into(),
            request_id: RequestId(4)
        }]
    );
    other.request_arrived(
        13,
        "g2",
        "a",
        lease_request(9, self::admission().begin_attempt("k2")),
    );
    let verdict = JobVerdict::Answer(vec![5]);
    assert_eq!(
        other.take_actions(),
        [JobAction::NotifyVerdict {
            gateway: "g2".into(),
            request_id: RequestId(9),
            attempt: 1,
            verdict
        }]
    );
}

/// A partition delays the lease request of a first attempt, while the second attempt claims the job at another coordinator.
struct DelayedAttempt {
    admission: JobAdmission,
    delayed: LeaseRequest,
    /// The claim that the other coordinator wrote to the register for the second attempt.
    claim: Vec<u8>,
}

impl DelayedAttempt {
    fn new() -> Self {
        let mut admission = admission();
        let delayed = lease_request(4, admission.begin_attempt("k1"));
        let mut other = JobCoordinator::new(2, 10_000);
        let second = lease_request(4, admission.begin_attempt("k2"));
        other.request_arrived(0, "g1", "a", second);
        let (_, claim) = last_register_request(&other.take_actions());
        admission.set_claimed(1);
        Self {
            admission,
            delayed,
            claim,
        }
    }
}

fn writes(actions: &[JobAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, JobAction::AccessRegister { .. }))
}

#[test]
fn a_delayed_request_of_an_earlier_attempt_does_not_take_over_the_claim() {
    let DelayedAttempt { delayed, claim, .. } = DelayedAttempt::new();
    let mut jobs = JobCoordinator::new(1, 10_000);
    let abandoned = delayed.job.clone().expect("a job");
    jobs.request_arrived(10, "g1", "a", delayed);
    let (number, _) = last_register_request(&jobs.take_actions());
    jobs.register_responded(11, number, RegisterResponse::Found(1, claim));
    let actions = jobs.take_actions();
    assert!(
        !writes(&actions),
        "the claim of a later attempt is overwritten: {actions:?}"
    );
    // The gateway had abandoned the first attempt, which implies nothing about the second.
    jobs.attempt_completed(12, "g1", not_run(abandoned));
    jobs.request_arrived(
        13,
        "g2",
        "a",
        lease_request(9, self::admission().begin_attempt("k1")),
    );
    let actions = jobs.take_actions();
    let is_admitted = actions
        .iter()
        .any(|action| matches!(action, JobAction::RequestLease { gateway, .. } if gateway == "g2"));
    assert!(
        !is_admitted && !writes(&actions),
        "another request was admitted: {actions:?}"
    );
}

#[test]
fn a_delayed_request_of_an_earlier_attempt_is_dropped_if_a_later_one_is_known() {
    let mut admission = admission();
    let delayed = lease_request(4, admission.begin_attempt("k1"));
    let (mut jobs, _) = start_job(&mut admission);
    jobs.request_arrived(5, "g1", "a", delayed.clone());
    let actions = jobs.take_actions();
    assert!(actions.is_empty(), "while it runs: {actions:?}");
    jobs.gateway_lost(6, "g1");
    jobs.request_arrived(7, "g1", "a", delayed);
    let actions = jobs.take_actions();
    assert!(
        actions.is_empty(),
        "while it may run elsewhere: {actions:?}"
    );
}

#[test]
fn a_later_attempt_takes_over_the_claim_of_its_request() {
    let DelayedAttempt {
        mut admission,
        claim,
        ..
    } = DelayedAttempt::new();
    let mut jobs = JobCoordinator::new(1, 10_000);
    let third = lease_request(4, admission.begin_attempt("k1"));
    jobs.request_arrived(10, "g1", "a", third);
    let (number, _) = last_register_request(&jobs.take_actions());
    jobs.register_responded(11, number, RegisterResponse::Found(1, claim));
    assert!(writes(&jobs.take_actions()));
}

/// Returns the completion that a gateway sends for an attempt that it abandoned before sending the request to a runner.
fn not_run(attempt: JobAttempt) -> JobCompletion {
    JobCompletion {
        request_id: RequestId(4),
        function: "sign".into(),
        attempt,
        register_version: 0,
        result: JobResult::NotRun,
    }
}

#[test]
fn only_attempts_up_to_the_last_abandoned_one_are_known_not_to_have_run() {
    let mut abandoned = AbandonedAttempts::default();
    let mut admission = admission();
    admission.begin_attempt("k1");
    admission.begin_attempt("k2");
    abandoned.record(&completion(&admission, JobResult::NotRun));
    assert!(abandoned.find(RequestId(4), 1).is_some());
    assert!(abandoned.find(RequestId(4), 2).is_some());
    assert!(abandoned.find(RequestId(4), 3).is_none());
    assert!(abandoned.find(RequestId(5), 1).is_none());
    admission.begin_attempt("k1");
    abandoned.record(&completion(&admission, JobResult::Lost));
    assert!(abandoned.find(RequestId(4), 3).is_none());
}
