//! Word that comes late, or about an earlier bid, changes nothing; word that must come comes.

use jobs::{digest, Claim, Ends, JobAction, Jobs, Pass};
use protocol::{
    JobAttempt, JobCompletion, JobResult, JobVerdict, LeaseRequest, RegisterResponse, RequestId,
};
use speedy::Readable;

const KEY: &str = "k";

fn pass() -> Pass {
    Pass::new(KEY.into(), digest("POST", "/sign", b"build"), true, 7)
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
        JobAction::Ask { number, bytes, .. } => Some((*number, bytes.clone())),
        _ => None,
    });
    asks.next_back().expect("nothing was asked")
}

/// A keeper with a job that runs for gateway g1, ticket 4.
fn running(pass: &mut Pass) -> (Jobs, Vec<u8>) {
    let mut jobs = Jobs::new(1, 10_000);
    jobs.arrive(0, "g1", "a", bid(4, pass.bid("k1")));
    let (number, claim) = asked(&jobs.actions());
    jobs.said(1, number, RegisterResponse::Written(1));
    pass.claimed(1);
    jobs.actions();
    (jobs, claim)
}

fn end(pass: &Pass, result: JobResult) -> JobCompletion {
    pass.end(RequestId(4), "sign", result)
}

#[test]
fn the_end_of_an_earlier_bid_does_not_end_the_one_that_stands() {
    let mut pass = pass();
    let (mut jobs, _) = running(&mut pass);
    let old = end(&pass, JobResult::NotRun);
    jobs.arrive(5, "g1", "a", bid(4, pass.bid("k1")));
    let (number, _) = asked(&jobs.actions());
    jobs.said(6, number, RegisterResponse::Written(2));
    jobs.arrive(7, "g2", "a", bid(9, self::pass().bid("k1")));
    jobs.actions();
    jobs.ended(8, "g1", old);
    assert!(
        jobs.actions().is_empty(),
        "the copy is let run beside the first"
    );
    jobs.ended(9, "g1", end(&pass, JobResult::NotRun));
    let actions = jobs.actions();
    assert!(matches!(&actions[0], JobAction::Seat(gateway, ..) if gateway == "g2"));
}

#[test]
fn a_runner_without_a_seat_says_itself_that_it_did_not_run() {
    let mut pass = pass();
    let (mut jobs, _) = running(&mut pass);
    jobs.arrive(2, "g2", "a", bid(9, self::pass().bid("k1")));
    jobs.actions();
    assert!(jobs.refused(3, "g1", RequestId(4), 300));
    let actions = jobs.actions();
    let told = JobVerdict::NotRun(300);
    assert_eq!(
        actions,
        [JobAction::Tell("g1".into(), RequestId(4), 1, told)]
    );
    jobs.ended(4, "g1", end(&pass, JobResult::NotRun));
    assert!(matches!(&jobs.actions()[0], JobAction::Seat(gateway, ..) if gateway == "g2"));
}

#[test]
fn a_claim_of_this_keepers_that_it_has_forgotten_is_not_taken_for_void() {
    let mut pass = pass();
    let (mut jobs, claim) = running(&mut pass);
    jobs.tick(30_000, |_, _| false);
    assert!(jobs.is_empty());
    jobs.arrive(30_001, "g2", "a", bid(9, self::pass().bid("k1")));
    let (number, _) = asked(&jobs.actions());
    jobs.said(30_002, number, RegisterResponse::Found(1, claim));
    let actions = jobs.actions();
    let joins = |action: &JobAction| matches!(action, JobAction::Joined(gateway, RequestId(9), _) if gateway == "g2");
    assert!(actions.iter().any(joins), "{actions:?}");
    assert!(!actions
        .iter()
        .any(|action| matches!(action, JobAction::Ask { .. })));
}

#[test]
fn copies_of_a_job_whose_gateway_is_gone_are_told_that_it_may_have_run() {
    let mut pass = pass();
    let (mut jobs, claim) = running(&mut pass);
    jobs.forget_gateway(10, "g1");
    jobs.arrive(20, "g2", "a", bid(9, self::pass().bid("k1")));
    let mut told = Vec::new();
    for now in (50..4_000).step_by(50) {
        jobs.tick(now, |gateway, life| gateway == "g1" && life == 7);
        for action in jobs.actions() {
            match action {
                JobAction::Ask {
                    number, expected, ..
                } => {
                    assert_eq!(expected, None, "it is only looked at");
                    jobs.said(now, number, RegisterResponse::Found(1, claim.clone()));
                }
                JobAction::Tell(_, ticket, _, verdict) => told.push((now, ticket, verdict)),
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
    assert!(!pass.may_leave() && pass.is_unsure());
    let first = pass.bid("k1").number;
    assert!(pass.is_meant("k1", first) && !pass.is_meant("k2", first));
    pass.claimed(3);
    assert!(pass.may_leave() && !pass.is_unsure());
    let second = pass.bid("k1").number;
    assert!(!pass.is_meant("k1", first) && pass.is_meant("k1", second));
    assert!(
        !pass.may_leave(),
        "what was told about the first bid is void"
    );
    pass.joined();
    assert!(!pass.may_leave() && pass.is_unsure());
}

#[test]
fn an_answer_is_told_until_it_is_kept() {
    let mut pass = pass();
    pass.bid("k1");
    pass.claimed(1);
    let mut ends = Ends::default();
    ends.note(0, &end(&pass, JobResult::Lost));
    assert!(ends.is_empty());
    let answer = end(&pass, JobResult::Answer(vec![1]));
    ends.note(0, &answer);
    assert!(ends.due(200).is_empty());
    assert_eq!(ends.due(300), std::slice::from_ref(&answer));
    assert_eq!(ends.due(600), [answer]);
    ends.kept(RequestId(4));
    assert!(ends.is_empty());
}

#[test]
fn an_answer_that_a_new_keeper_hears_first_is_kept_and_told() {
    let mut pass = pass();
    let (_, claim) = running(&mut pass);
    let mut other = Jobs::new(2, 10_000);
    let answer = end(&pass, JobResult::Answer(vec![5]));
    other.ended(10, "g1", answer.clone());
    let (number, bytes) = asked(&other.actions());
    let kept = Claim::read_from_buffer(&bytes).unwrap();
    assert_eq!(kept.runner, Claim::read_from_buffer(&claim).unwrap().runner);
    other.said(11, number, RegisterResponse::Written(2));
    assert_eq!(
        other.actions(),
        [JobAction::Kept("g1".into(), RequestId(4))]
    );
    other.ended(12, "g1", answer);
    assert_eq!(
        other.actions(),
        [JobAction::Kept("g1".into(), RequestId(4))]
    );
    other.arrive(13, "g2", "a", bid(9, self::pass().bid("k2")));
    let told = JobVerdict::Answer(vec![5]);
    assert_eq!(
        other.actions(),
        [JobAction::Tell("g2".into(), RequestId(9), 1, told)]
    );
}
