//! Many requests for the same jobs, in a simulated cluster with and without faults.

mod cluster;

use cluster::{ClientOutcome, Cluster, Event, FaultRates, MS, NO_FAULTS};
use rand::Rng;
use std::collections::BTreeMap;

const FAULTS: FaultRates = FaultRates {
    rejected: 0.1,
    connection_lost: 0.05,
    client_left: 0.1,
    ..NO_FAULTS
};

/// Schedules client requests for a job at random gateways within a time span.
fn request_job(cluster: &mut Cluster, job: usize, requests: usize, span_ms: u64) {
    let count = cluster.nodes.len();
    for _ in 0..requests {
        let index = cluster.random.random_range(0..count);
        let delay = cluster.random.random_range(0..span_ms * MS);
        cluster.schedule(delay, Event::Request(index, job));
    }
}

#[test]
fn all_requests_of_a_job_get_the_response_of_its_single_run() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed, 4, NO_FAULTS);
        for job in 0..20 {
            request_job(&mut cluster, job, 6, 600);
        }
        cluster.run(8_000);
        for job in 0..20 {
            let outcomes = cluster.oracle.outcomes(job);
            assert_eq!(cluster.oracle.runs[&job].len(), 1, "seed {seed}, job {job}");
            let is_answer = |outcome: &ClientOutcome| matches!(outcome, ClientOutcome::Answer(_));
            assert!(
                outcomes.len() == 6 && outcomes.iter().all(is_answer),
                "seed {seed}: {outcomes:?}"
            );
        }
    }
}

#[test]
fn the_claim_delays_at_most_once_jobs_by_about_one_register_write() {
    let mut claim_delays = Vec::new();
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 4, NO_FAULTS);
        for job in 0..100 {
            request_job(&mut cluster, job, 1, 5_000);
        }
        cluster.run(8_000);
        claim_delays.append(&mut cluster.oracle.claim_delays);
    }
    claim_delays.sort_unstable();
    let at = |share: usize| claim_delays[(claim_delays.len() - 1) * share / 100];
    println!(
        "delay added by the claim, with up to 0.8 ms per message and 1.5 ms per sync: median {} µs, 99 % {} µs, maximum {} µs of {}",
        at(50),
        at(99),
        at(100),
        claim_delays.len()
    );
    assert!(claim_delays.len() == 1_000 && at(50) < 5 * MS && at(99) < 20 * MS);
}

/// With a retention time of seconds, jobs do run again, but not before their retention time is over.
#[test]
fn jobs_rerun_only_after_their_retention_time() {
    let mut reruns = 0;
    for seed in 0..40 {
        let retention_ms = 9_000;
        let fault_rates = FaultRates {
            retention_ms,
            ..FAULTS
        };
        let mut cluster = Cluster::new(seed, 4, fault_rates);
        // Retention starts at the claim. The run follows within the request's timeout of at most 4 s, so two runs may be closer
        // than the retention time by that much.
        cluster.oracle.min_rerun_interval = (retention_ms - 4_000) * MS;
        for controller in 0..3 {
            let delay = cluster.random.random_range(0..retention_ms * MS);
            let incarnation = cluster.controllers[controller].incarnation;
            cluster.schedule(delay, Event::AdvanceJobWindow(controller, incarnation));
        }
        for job in (0..20).step_by(2) {
            request_job(&mut cluster, job, 40, 120_000);
        }
        for _ in 0..40 {
            let span = cluster.random.random_range(50..6_000);
            cluster.run(span);
            cluster.inject_fault();
        }
        cluster.end_faults();
        cluster.run(5_000);
        let runs = cluster.oracle.runs.values().map(|runs| runs.len() - 1);
        reruns += runs.sum::<usize>();
        for controller in &cluster.controllers {
            assert!(
                controller.acceptor.len() <= 12,
                "{} registers are held",
                controller.acceptor.len()
            );
        }
    }
    println!("reruns of jobs after their retention time: {reruns}");
    assert!(reruns > 500, "only {reruns} reruns");
}

fn is_decided(outcome: &ClientOutcome) -> bool {
    matches!(
        outcome,
        ClientOutcome::Answer(_) | ClientOutcome::MayHaveRun | ClientOutcome::NotRun
    )
}

/// Runs a seed under faults. Returns the cluster, and the outcomes of requests that are repeated afterwards.
fn run_with_faults(seed: u64) -> (Cluster, BTreeMap<&'static str, usize>) {
    let mut cluster = Cluster::new(seed, 4, FAULTS);
    for job in 0..30 {
        request_job(&mut cluster, job, 4, 9_000);
    }
    for _ in 0..14 {
        let span = cluster.random.random_range(50..1_000);
        cluster.run(span);
        cluster.inject_fault();
    }
    cluster.run(2_000);
    cluster.end_faults();
    cluster.run(4_500);
    for client_request in &cluster.oracle.client_requests {
        assert!(
            client_request.outcome.is_some(),
            "seed {seed}: {client_request:?} got no outcome"
        );
    }
    let counts = repeat_requests(seed, &mut cluster);
    (cluster, counts)
}

/// Repeats requests for each job, and counts their outcomes.
fn repeat_requests(seed: u64, cluster: &mut Cluster) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    let before = cluster.oracle.client_requests.len();
    for job in 0..30 {
        request_job(cluster, job, 2, 100);
    }
    cluster.run(5_000);
    for client_request in &cluster.oracle.client_requests[before..] {
        let (_, outcome) = client_request.outcome.as_ref().expect("no outcome");
        assert!(is_decided(outcome), "seed {seed}: {client_request:?}");
        let at_most_once = client_request.job.is_multiple_of(2);
        let has_run = cluster.oracle.runs.contains_key(&client_request.job);
        assert!(
            has_run || *outcome == ClientOutcome::MayHaveRun,
            "seed {seed}: {client_request:?}"
        );
        let name = match (outcome, at_most_once) {
            (ClientOutcome::Answer(_), true) => "once answered",
            (ClientOutcome::Answer(_), false) => "safe answered",
            (_, true) => "once not answered",
            (_, false) => "safe not answered",
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}

#[test]
fn no_at_most_once_job_runs_twice_under_faults_and_its_responses_survive_them() {
    let mut total_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for seed in 0..200 {
        let (cluster, counts) = run_with_faults(seed);
        for (name, count) in counts {
            *total_counts.entry(name).or_insert(0) += count;
        }
        for job in (0..30).step_by(2) {
            let answers = cluster.oracle.outcomes(job);
            let mut answers: Vec<&ClientOutcome> = answers
                .iter()
                .filter(|outcome| matches!(outcome, ClientOutcome::Answer(_)))
                .collect();
            answers.sort();
            answers.dedup();
            assert!(answers.len() <= 1, "seed {seed}, job {job}: {answers:?}");
        }
    }
    println!("outcomes of repeated requests after the faults: {total_counts:?}");
    let count_of = |name: &str| total_counts.get(name).copied().unwrap_or(0);
    assert_eq!(count_of("safe not answered"), 0);
    assert!(
        count_of("once answered") > count_of("once not answered"),
        "{total_counts:?}"
    );
}
