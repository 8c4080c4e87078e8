//! The keeper of jobs alone: whatever comes, in whatever order, it stays bounded and says what it must.

use fuzzing::seeded;
use jobs::{
    digest, is_key, register_key, Claim, ClaimHolder, ClaimState, ClaimWriter, JobAction,
    JobCoordinator,
};
use protocol::{
    JobAttempt, JobCompletion, JobResult, JobVerdict, LeaseRequest, RegisterResponse, RequestId,
};
use speedy::{Readable, Writable};

fn bid(ticket: u64, key: &str, is_once: bool) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(ticket),
        function: "sign".into(),
        timeout_ms: 4_000,
        job: Some(mark(key, is_once)),
        ..LeaseRequest::default()
    }
}

fn mark(key: &str, is_once: bool) -> JobAttempt {
    JobAttempt {
        key: key.into(),
        digest: digest("POST", "/sign", b"build"),
        at_most_once: is_once,
        incarnation: 7,
        number: 1,
    }
}

fn end(ticket: u64, key: &str, is_once: bool, result: JobResult) -> JobCompletion {
    JobCompletion {
        request_id: RequestId(ticket),
        function: "sign".into(),
        attempt: mark(key, is_once),
        register_version: u64::from(is_once),
        result,
    }
}

fn ask_of(actions: &[JobAction]) -> Option<(u64, Option<u64>, Claim)> {
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
    let told = actions.iter().filter_map(|action| match action {
        JobAction::NotifyVerdict {
            request_id: ticket,
            verdict,
            ..
        } => Some((ticket.0, verdict.clone())),
        _ => None,
    });
    told.collect()
}

fn may_leave(actions: &[JobAction]) -> Vec<u64> {
    let claimed = actions.iter().filter_map(|action| match action {
        JobAction::NotifyClaimed {
            request_id: ticket, ..
        } => Some(ticket.0),
        _ => None,
    });
    claimed.collect()
}

#[test]
fn the_seat_is_bid_for_while_the_claim_is_written() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", bid(4, "k", true));
    let actions = jobs.take_actions();
    assert!(matches!(&actions[0], JobAction::RequestLease { gateway, .. } if gateway == "g1"));
    let (number, expected, claim) = ask_of(&actions).unwrap();
    assert_eq!((expected, claim.state), (Some(0), ClaimState::Taken));
    assert!(may_leave(&actions).is_empty());
    jobs.register_responded(3, number, RegisterResponse::Written(1));
    assert_eq!(may_leave(&jobs.take_actions()), [4]);
}

#[test]
fn work_that_may_run_twice_asks_no_controller() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", bid(4, "k", false));
    jobs.request_arrived(1, "g2", "a", bid(9, "k", false));
    let actions = jobs.take_actions();
    assert!(ask_of(&actions).is_none());
    let seats = actions
        .iter()
        .filter(|one| matches!(one, JobAction::RequestLease { .. }));
    assert_eq!(seats.count(), 1);
    // The first fails: the copy that waited runs, and is not dropped.
    jobs.attempt_completed(5, "g1", end(4, "k", false, JobResult::Lost));
    let actions = jobs.take_actions();
    assert!(
        matches!(&actions[0], JobAction::RequestLease { gateway, request: bid, .. } if gateway == "g2" && bid.request_id == RequestId(9))
    );
    jobs.attempt_completed(9, "g2", end(9, "k", false, JobResult::Answer(vec![1])));
    jobs.request_arrived(10, "g3", "a", bid(2, "k", false));
    assert_eq!(
        verdicts(&jobs.take_actions()),
        [(2, JobVerdict::Answer(vec![1]))]
    );
}

#[test]
fn a_seat_refused_before_the_claim_is_known_is_no_promise_yet() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", bid(4, "k", true));
    let (number, _, _) = ask_of(&jobs.take_actions()).unwrap();
    assert!(jobs.lease_rejected(1, "g1", RequestId(4), 300));
    assert!(jobs.take_actions().is_empty());
    let done = Claim {
        digest: digest("POST", "/sign", b"build"),
        holder: ClaimHolder::default(),
        writer: ClaimWriter {
            incarnation: 9,
            claim_number: 9,
        },
        state: ClaimState::Done(Some(vec![5])),
    };
    let found = RegisterResponse::Found(2, done.write_to_vec().unwrap());
    jobs.register_responded(2, number, found);
    let told = verdicts(&jobs.take_actions());
    assert_eq!(told, [(4, JobVerdict::Answer(vec![5]))]);
}

#[test]
fn without_controllers_once_work_is_told_in_half_its_time_that_it_was_not_run() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", bid(4, "k", true));
    for now in (0..1_999).step_by(50) {
        jobs.advance_clock(now, |_, _| false);
    }
    assert!(verdicts(&jobs.take_actions()).is_empty());
    jobs.advance_clock(2_000, |_, _| false);
    let actions = jobs.take_actions();
    let told = verdicts(&actions);
    assert!(matches!(told[..], [(4, JobVerdict::NotRun(_))]));
    // The claim may come to stand all the same: it is taken back.
    let (_, _, claim) = ask_of(&actions).unwrap();
    assert_eq!(claim.state, ClaimState::Free);
}

#[test]
fn keys_are_visible_ascii_and_not_long() {
    for key in ["", " ", "a b", "k\u{e9}", "a\tb", &"k".repeat(201)] {
        assert!(!is_key(key.as_bytes()), "{key:?}");
    }
    for key in ["1", "a-b_c/d", &"k".repeat(200)] {
        assert!(is_key(key.as_bytes()), "{key:?}");
    }
    assert_ne!(register_key("ab", "c"), register_key("a", "bc"));
    assert_ne!(digest("GET", "/a", b""), digest("GET", "/", b"a"));
}

#[test]
fn the_table_is_bounded_and_what_runs_is_never_pushed_out() {
    let mut jobs = JobCoordinator::new(1, 600_000);
    jobs.request_arrived(0, "g1", "a", bid(1, "running", true));
    let (number, _, _) = ask_of(&jobs.take_actions()).unwrap();
    jobs.register_responded(0, number, RegisterResponse::Written(1));
    for ticket in 2..60_000 {
        let key = format!("k{ticket}");
        let is_once = ticket % 2 == 0;
        let result = JobResult::Answer(vec![0; 2_000]);
        jobs.request_arrived(ticket, "g1", "a", bid(ticket, &key, false));
        jobs.attempt_completed(ticket, "g1", end(ticket, &key, false, result));
        if is_once {
            jobs.advance_clock(ticket, |_, _| false);
        }
        jobs.take_actions();
    }
    assert!(jobs.len() <= 50_000 && jobs.response_bytes() <= 32 << 20);
    jobs.request_arrived(60_000, "g2", "a", bid(1, "running", true));
    let actions = jobs.take_actions();
    assert!(
        matches!(actions[..], [JobAction::NotifyJoined { .. }]),
        "{actions:?}"
    );
    jobs.advance_clock(2_000_000, |_, _| true);
    assert!(jobs.len() <= 1, "{} jobs are old", jobs.len());
}

seeded! {
    fn nothing_that_comes_makes_it_panic_or_grow(deeds: Vec<(u8, u8, u8)>) -> bool {
        let mut jobs = JobCoordinator::new(1, 10_000);
        let (mut now, mut asks) = (0, Vec::new());
        for (deed, one, other) in deeds {
            let (ticket, key) = (u64::from(one % 4), format!("k{}", other % 2));
            let gateway = if one % 8 < 4 { "g1" } else { "g2" };
            match deed % 8 {
                0 | 1 => jobs.request_arrived(now, gateway, "a", bid(ticket, &key, true)),
                2 => {
                    let results = [JobResult::NotRun, JobResult::Lost, JobResult::Answer(vec![one])];
                    let result = results[usize::from(other) % 3].clone();
                    jobs.attempt_completed(now, gateway, end(ticket, &key, true, result));
                }
                3 if !asks.is_empty() => {
                    let number = asks.remove(usize::from(one) % asks.len());
                    let said = match other % 4 {
                        0 | 1 => RegisterResponse::Written(u64::from(one)),
                        2 => RegisterResponse::Unavailable,
                        _ => RegisterResponse::Found(u64::from(one), vec![other; 3]),
                    };
                    jobs.register_responded(now, number, said);
                }
                4 => {
                    jobs.lease_rejected(now, gateway, RequestId(ticket), 100);
                }
                5 => jobs.gateway_lost(now, gateway),
                _ => {
                    now += u64::from(other);
                    jobs.advance_clock(now, |_, life| life != 7);
                }
            }
            let actions = jobs.take_actions();
            asks.extend(actions.iter().filter_map(|action| match action {
                JobAction::AccessRegister { number, .. } => Some(*number),
                _ => None,
            }));
        }
        jobs.len() <= 2
    }
}
