//! The job coordinator on its own: its transitions, its memory bounds, and its robustness against arbitrary events.

mod sign_request;

use fuzzing::seeded;
use jobs::{
    is_valid_idempotency_key, register_key, Claim, ClaimHolder, ClaimState, ClaimWriter, JobAction,
    JobCoordinator,
};
use protocol::{
    JobAttempt, JobCompletion, JobResult, JobVerdict, LeaseRequest, RegisterResponse, RequestId,
};
use sign_request::sign_request;
use speedy::{Readable, Writable};

fn lease_request(request: u64, key: &str, at_most_once: bool) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(request),
        function: "sign".into(),
        timeout_ms: 4_000,
        job: Some(attempt(key, at_most_once)),
        ..LeaseRequest::default()
    }
}

fn attempt(key: &str, at_most_once: bool) -> JobAttempt {
    JobAttempt {
        key: key.into(),
        digest: sign_request(b"build").digest(),
        at_most_once,
        incarnation: 7,
        number: 1,
    }
}

fn completion(request: u64, key: &str, at_most_once: bool, result: JobResult) -> JobCompletion {
    JobCompletion {
        request_id: RequestId(request),
        function: "sign".into(),
        attempt: attempt(key, at_most_once),
        register_version: u64::from(at_most_once),
        result,
    }
}

fn register_request_of(actions: &[JobAction]) -> Option<(u64, Option<u64>, Claim)> {
    actions.iter().find_map(|action| match action {
        JobAction::AccessRegister {
            number,
            expected_version: expected,
            value: bytes,
            ..
        } => {
            let claim = Claim::read_from_buffer(bytes).unwrap_or_default();
            Some((*number, *expected, claim))
        }
        _ => None,
    })
}

fn verdicts(actions: &[JobAction]) -> Vec<(u64, JobVerdict)> {
    let verdicts = actions.iter().filter_map(|action| match action {
        JobAction::NotifyVerdict {
            request_id: request,
            verdict,
            ..
        } => Some((request.0, verdict.clone())),
        _ => None,
    });
    verdicts.collect()
}

fn claimed_requests(actions: &[JobAction]) -> Vec<u64> {
    let claimed = actions.iter().filter_map(|action| match action {
        JobAction::NotifyClaimed {
            request_id: request,
            ..
        } => Some(request.0),
        _ => None,
    });
    claimed.collect()
}

#[test]
fn the_lease_is_requested_while_the_claim_is_written() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", lease_request(4, "k", true));
    let actions = jobs.take_actions();
    assert!(matches!(&actions[0], JobAction::RequestLease { gateway, .. } if gateway == "g1"));
    let (number, expected, claim) = register_request_of(&actions).unwrap();
    assert_eq!((expected, claim.state), (Some(0), ClaimState::Taken));
    assert!(claimed_requests(&actions).is_empty());
    jobs.register_responded(3, number, RegisterResponse::Written(1));
    assert_eq!(claimed_requests(&jobs.take_actions()), [4]);
}

#[test]
fn jobs_that_may_run_more_than_once_use_no_register() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", lease_request(4, "k", false));
    jobs.request_arrived(1, "g2", "a", lease_request(9, "k", false));
    let actions = jobs.take_actions();
    assert!(register_request_of(&actions).is_none());
    let lease_requests = actions
        .iter()
        .filter(|action| matches!(action, JobAction::RequestLease { .. }));
    assert_eq!(lease_requests.count(), 1);
    // The first request fails: the waiting one is run rather than dropped.
    jobs.attempt_completed(5, "g1", completion(4, "k", false, JobResult::Lost));
    let actions = jobs.take_actions();
    assert!(
        matches!(&actions[0], JobAction::RequestLease { gateway, request: lease_request, .. } if gateway == "g2" && lease_request.request_id == RequestId(9))
    );
    jobs.attempt_completed(
        9,
        "g2",
        completion(9, "k", false, JobResult::Answer(vec![1])),
    );
    jobs.request_arrived(10, "g3", "a", lease_request(2, "k", false));
    assert_eq!(
        verdicts(&jobs.take_actions()),
        [(2, JobVerdict::Answer(vec![1]))]
    );
}

#[test]
fn a_rejection_is_held_back_until_the_claim_is_known() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", lease_request(4, "k", true));
    let (number, _, _) = register_request_of(&jobs.take_actions()).unwrap();
    assert!(jobs.lease_rejected(1, "g1", RequestId(4), 300));
    assert!(jobs.take_actions().is_empty());
    let done = Claim {
        digest: sign_request(b"build").digest(),
        holder: ClaimHolder::default(),
        writer: ClaimWriter {
            incarnation: 9,
            claim_number: 9,
        },
        state: ClaimState::Done(Some(vec![5])),
    };
    let found = RegisterResponse::Found(2, done.write_to_vec().unwrap());
    jobs.register_responded(2, number, found);
    let verdicts = verdicts(&jobs.take_actions());
    assert_eq!(verdicts, [(4, JobVerdict::Answer(vec![5]))]);
}

#[test]
fn without_controllers_at_most_once_jobs_are_rejected_after_half_their_timeout() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", lease_request(4, "k", true));
    for now in (0..1_999).step_by(50) {
        jobs.advance_clock(now, |_, _| false);
    }
    assert!(verdicts(&jobs.take_actions()).is_empty());
    jobs.advance_clock(2_000, |_, _| false);
    let actions = jobs.take_actions();
    let verdicts = verdicts(&actions);
    assert!(matches!(verdicts[..], [(4, JobVerdict::NotRun(_))]));
    // The claim may have been written nevertheless, so it is released.
    let (_, _, claim) = register_request_of(&actions).unwrap();
    assert_eq!(claim.state, ClaimState::Free);
}

#[test]
fn valid_keys_are_visible_ascii_up_to_the_maximum_length() {
    for key in ["", " ", "a b", "k\u{e9}", "a\tb", &"k".repeat(201)] {
        assert!(!is_valid_idempotency_key(key.as_bytes()), "{key:?}");
    }
    for key in ["1", "a-b_c/d", &"k".repeat(200)] {
        assert!(is_valid_idempotency_key(key.as_bytes()), "{key:?}");
    }
    assert_ne!(register_key("ab", "c"), register_key("a", "bc"));
}

#[test]
fn the_table_is_bounded_and_running_jobs_are_never_evicted() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", lease_request(1, "running", true));
    let (number, _, _) = register_request_of(&jobs.take_actions()).unwrap();
    jobs.register_responded(0, number, RegisterResponse::Written(1));
    for request in 2..60_000 {
        let key = format!("k{request}");
        let at_most_once = request % 2 == 0;
        let result = JobResult::Answer(vec![0; 2_000]);
        jobs.request_arrived(request, "g1", "a", lease_request(request, &key, false));
        jobs.attempt_completed(request, "g1", completion(request, &key, false, result));
        if at_most_once {
            jobs.advance_clock(request, |_, _| false);
        }
        jobs.take_actions();
    }
    assert!(jobs.len() <= 50_000 && jobs.response_bytes() <= 32 << 20);
    jobs.request_arrived(60_000, "g2", "a", lease_request(1, "running", true));
    let actions = jobs.take_actions();
    assert!(
        matches!(actions[..], [JobAction::NotifyJoined { .. }]),
        "{actions:?}"
    );
    jobs.advance_clock(2_000_000, |_, _| true);
    assert!(jobs.len() <= 1, "{} expired jobs are left", jobs.len());
}

seeded! {
    fn no_sequence_of_events_causes_a_panic_or_unbounded_growth(events: Vec<(u8, u8, u8)>) -> bool {
        let mut jobs = JobCoordinator::new(1, 10_000);
        let (mut now, mut register_requests) = (0, Vec::new());
        for (event, first, second) in events {
            let (request, key) = (u64::from(first % 4), format!("k{}", second % 2));
            let gateway = if first % 8 < 4 { "g1" } else { "g2" };
            match event % 8 {
                0 | 1 => jobs.request_arrived(now, gateway, "a", lease_request(request, &key, true)),
                2 => {
                    let results = [JobResult::NotRun, JobResult::Lost, JobResult::Answer(vec![first])];
                    let result = results[usize::from(second) % 3].clone();
                    jobs.attempt_completed(now, gateway, completion(request, &key, true, result));
                }
                3 if !register_requests.is_empty() => {
                    let number = register_requests.remove(usize::from(first) % register_requests.len());
                    let response = match second % 4 {
                        0 | 1 => RegisterResponse::Written(u64::from(first)),
                        2 => RegisterResponse::Unavailable,
                        _ => RegisterResponse::Found(u64::from(first), vec![second; 3]),
                    };
                    jobs.register_responded(now, number, response);
                }
                4 => {
                    jobs.lease_rejected(now, gateway, RequestId(request), 100);
                }
                5 => jobs.gateway_lost(now, gateway),
                _ => {
                    now += u64::from(second);
                    jobs.advance_clock(now, |_, incarnation| incarnation != 7);
                }
            }
            let actions = jobs.take_actions();
            register_requests.extend(actions.iter().filter_map(|action| match action {
                JobAction::AccessRegister { number, .. } => Some(*number),
                _ => None,
            }));
        }
        jobs.len() <= 2
    }
}
