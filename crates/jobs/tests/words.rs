//! Word that comes late, or about an earlier bid, changes nothing; word that must come comes.

use jobs::{digest, Claim, JobAction, JobAdmission, JobCoordinator, UnacknowledgedResults};
use protocol::{
    JobAttempt, JobCompletion, JobResult, JobVerdict, LeaseRequest, RegisterResponse, RequestId,
};
use speedy::Readable;

const KEY: &str = "k";

fn pass() -> JobAdmission {
    JobAdmission::new(KEY.into(), digest("POST", "/sign", b"build"), true, 7)
}

fn bid(ticket: u64, mark: JobAttempt) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(ticket),
        function: "sign".into(),
        timeout_ms: 4_000,
        job: Some(mark),
        ..LeaseRequest::default()
    }
}

/// Number and value of the newest question to a controller.
fn asked(actions: &[JobAction]) -> (u64, Vec<u8>) {
    let mut asks = actions.iter().filter_map(|action| match action {
        JobAction::AccessRegister {
            number,
            value: bytes,
            ..
        } => Some((*number, bytes.clone())),
        _ => None,
    });
    asks.next_back().expect("nothing was asked")
}

/// A keeper with a job that runs for gateway g1, ticket 4.
fn running(pass: &mut JobAdmission) -> (JobCoordinator, Vec<u8>) {
    let mut jobs = JobCoordinator::new(1, 10_000);
    jobs.request_arrived(0, "g1", "a", bid(4, pass.begin_attempt("k1")));
    let (number, claim) = asked(&jobs.take_actions());
    jobs.register_responded(1, number, RegisterResponse::Written(1));
    pass.claimed(1);
    jobs.take_actions();
    (jobs, claim)
}

fn end(pass: &JobAdmission, result: JobResult) -> JobCompletion {
    pass.completion(RequestId(4), "sign", result)
}

#[test]
fn the_end_of_an_earlier_bid_does_not_end_the_one_that_stands() {
    let mut pass = pass();
    let (mut jobs, _) = running(&mut pass);
    let old = end(&pass, JobResult::NotRun);
    jobs.request_arrived(5, "g1", "a", bid(4, pass.begin_attempt("k1")));
    let (number, _) = asked(&jobs.take_actions());
    jobs.register_responded(6, number, RegisterResponse::Written(2));
    jobs.request_arrived(7, "g2", "a", bid(9, self::pass().begin_attempt("k1")));
    jobs.take_actions();
    jobs.attempt_completed(8, "g1", old);
    assert!(
        jobs.take_actions().is_empty(),
        "the copy is let run beside the first"
    );
    jobs.attempt_completed(9, "g1", end(&pass, JobResult::NotRun));
    let actions = jobs.take_actions();
    assert!(matches!(&actions[0], JobAction::RequestLease { gateway, .. } if gateway == "g2"));
}

#[test]
fn a_runner_without_a_seat_says_itself_that_it_did_not_run() {
    let mut pass = pass();
    let (mut jobs, _) = running(&mut pass);
    jobs.request_arrived(2, "g2", "a", bid(9, self::pass().begin_attempt("k1")));
    jobs.take_actions();
    assert!(jobs.lease_rejected(3, "g1", RequestId(4), 300));
    let actions = jobs.take_actions();
    let told = JobVerdict::NotRun(300);
    assert_eq!(
        actions,
        [JobAction::NotifyVerdict {
            gateway: "g1".into(),
            request_id: RequestId(4),
            attempt: 1,
            verdict: told
        }]
    );
    jobs.attempt_completed(4, "g1", end(&pass, JobResult::NotRun));
    assert!(
        matches!(&jobs.take_actions()[0], JobAction::RequestLease { gateway, .. } if gateway == "g2")
    );
}

#[test]
fn a_claim_of_this_keepers_that_it_has_forgotten_is_not_taken_for_void() {
    let mut pass = pass();
    let (mut jobs, claim) = running(&mut pass);
    jobs.advance_clock(30_000, |_, _| false);
    assert!(jobs.is_empty());
    jobs.request_arrived(30_001, "g2", "a", bid(9, self::pass().begin_attempt("k1")));
    let (number, _) = asked(&jobs.take_actions());
    jobs.register_responded(30_002, number, RegisterResponse::Found(1, claim));
    let actions = jobs.take_actions();
    let joins = |action: &JobAction| matches!(action, JobAction::NotifyJoined { gateway, request_id: RequestId(9), .. } if gateway == "g2");
    assert!(actions.iter().any(joins), "{actions:?}");
    assert!(!actions
        .iter()
        .any(|action| matches!(action, JobAction::AccessRegister { .. })));
}

#[test]
fn copies_of_a_job_whose_gateway_is_gone_are_told_that_it_may_have_run() {
    let mut pass = pass();
    let (mut jobs, claim) = running(&mut pass);
    jobs.gateway_lost(10, "g1");
    jobs.request_arrived(20, "g2", "a", bid(9, self::pass().begin_attempt("k1")));
    let mut told = Vec::new();
    for now in (50..4_000).step_by(50) {
        jobs.advance_clock(now, |gateway, life| gateway == "g1" && life == 7);
        for action in jobs.take_actions() {
            match action {
                JobAction::AccessRegister {
                    number,
                    expected_version: expected,
                    ..
                } => {
                    assert_eq!(expected, None, "it is only looked at");
                    jobs.register_responded(now, number, RegisterResponse::Found(1, claim.clone()));
                }
                JobAction::NotifyVerdict {
                    request_id: ticket,
                    verdict,
                    ..
                } => told.push((now, ticket, verdict)),
                _ => {}
            }
        }
    }
    assert!(
        matches!(told[..], [(at, RequestId(9), JobVerdict::MayHaveRun)] if at < 3_000),
        "{told:?}"
    );
}

#[test]
fn a_gateway_takes_word_about_the_bid_that_stands_alone() {
    let mut pass = pass();
    assert!(!pass.may_be_sent() && pass.may_have_run_elsewhere());
    let first = pass.begin_attempt("k1").number;
    assert!(pass.is_current_attempt("k1", first) && !pass.is_current_attempt("k2", first));
    pass.claimed(3);
    assert!(pass.may_be_sent() && !pass.may_have_run_elsewhere());
    let second = pass.begin_attempt("k1").number;
    assert!(!pass.is_current_attempt("k1", first) && pass.is_current_attempt("k1", second));
    assert!(
        !pass.may_be_sent(),
        "what was told about the first bid is void"
    );
    pass.joined();
    assert!(!pass.may_be_sent() && pass.may_have_run_elsewhere());
}

#[test]
fn an_answer_is_told_until_it_is_kept() {
    let mut pass = pass();
    pass.begin_attempt("k1");
    pass.claimed(1);
    let mut ends = UnacknowledgedResults::default();
    ends.record(0, &end(&pass, JobResult::Lost));
    assert!(ends.is_empty());
    let answer = end(&pass, JobResult::Answer(vec![1]));
    ends.record(0, &answer);
    assert!(ends.take_due(200).is_empty());
    assert_eq!(ends.take_due(300), std::slice::from_ref(&answer));
    assert_eq!(ends.take_due(600), [answer]);
    ends.acknowledge(RequestId(4));
    assert!(ends.is_empty());
}

#[test]
fn an_answer_that_a_new_keeper_hears_first_is_kept_and_told() {
    let mut pass = pass();
    let (_, claim) = running(&mut pass);
    let mut other = JobCoordinator::new(2, 10_000);
    let answer = end(&pass, JobResult::Answer(vec![5]));
    other.attempt_completed(10, "g1", answer.clone());
    let (number, bytes) = asked(&other.take_actions());
    let kept = Claim::read_from_buffer(&bytes).unwrap();
    assert_eq!(kept.holder, Claim::read_from_buffer(&claim).unwrap().holder);
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
    other.request_arrived(13, "g2", "a", bid(9, self::pass().begin_attempt("k2")));
    let told = JobVerdict::Answer(vec![5]);
    assert_eq!(
        other.take_actions(),
        [JobAction::NotifyVerdict {
            gateway: "g2".into(),
            request_id: RequestId(9),
            attempt: 1,
            verdict: told
        }]
    );
}
