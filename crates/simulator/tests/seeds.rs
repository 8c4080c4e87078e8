//! Runs the simulator over fixed sets of seeds. A run that violates an invariant prints its seed, faults and violations.

use simulator::{Config, Fault, Verdict, World};

/// Runs seeds without violations. Each of the required checks must have examined cases, so that a sweep does not pass
/// without having produced what it is meant to test.
fn sweep(seeds: std::ops::Range<u64>, config: &Config, required_checks: &[&str]) -> Vec<Verdict> {
    let mut runs = 0;
    let mut puts = 0;
    let mut emptied = 0;
    let mut case_counts = std::collections::BTreeMap::new();
    let count = seeds.end - seeds.start;
    let mut verdicts = Vec::new();
    for seed in seeds {
        let verdict = World::new(config.clone(), seed).run();
        assert!(verdict.violations.is_empty(), "{verdict:#?}");
        runs += verdict.runs as u64;
        puts += verdict.puts as u64;
        let is_emptying =
            |(_, fault): &&(u64, Fault)| matches!(fault, Fault::EmptyDisk(..) | Fault::Wipe(_));
        emptied += verdict.faults.iter().filter(is_emptying).count();
        for (check, times) in &verdict.case_counts {
            *case_counts.entry(*check).or_insert(0) += times;
        }
        verdicts.push(verdict);
    }
    assert!(runs > 1_000 * count, "only {runs} runs");
    assert!(puts > count, "only {puts} puts were acknowledged");
    assert!(
        emptied as u64 > count / 10,
        "only {emptied} disks were emptied"
    );
    for check in required_checks {
        let times = case_counts.get(check).copied().unwrap_or(0);
        assert!(
            times as u64 >= count / 2,
            "check {check} examined only {times} cases"
        );
    }
    verdicts
}

#[test]
fn no_invariant_is_violated_over_a_first_set_of_seeds() {
    sweep(
        0..40,
        &Config::default(),
        &["answers", "warming", "retries", "leaving", "misdirected"],
    );
}

#[test]
fn no_invariant_is_violated_over_a_second_set_of_seeds() {
    sweep(1_000..1_040, &Config::default(), &["answers", "warming"]);
}

#[test]
fn no_invariant_is_violated_with_few_fronts_and_high_load() {
    let config = Config {
        fronts: 3,
        functions: 3,
        requests_per_s: 90.0,
        ..Config::default()
    };
    sweep(2_000..2_030, &config, &["answers", "warming"]);
}

#[test]
fn no_invariant_is_violated_when_seats_are_scarce_and_responses_are_lost() {
    let config = Config {
        requests_per_s: 120.0,
        response_time_ms: 250,
        response_loss: 0.2,
        ..Config::default()
    };
    sweep(3_000..3_040, &config, &["answers", "warming", "retries"]);
}

#[test]
fn no_response_is_accepted_that_is_not_the_runners_own() {
    let config = Config {
        runner_fault_share: 0.3,
        ..Config::default()
    };
    sweep(4_000..4_020, &config, &["answers", "retries"]);
}

/// Claims are kept for ten seconds, and callers repeat a key up to fifteen seconds later.
#[test]
fn no_idempotency_key_runs_twice_while_claims_expire() {
    let config = Config {
        claim_ms: 10_000,
        ..Config::default()
    };
    let required_checks = ["ageing", "keys refused by their time"];
    sweep(5_000..5_020, &config, &required_checks);
}

#[test]
fn a_new_epoch_after_a_wipe_restores_the_values_that_fronts_hold() {
    let mut founded = 0;
    for seed in 6_000..6_024 {
        let at = 9_000 + (seed - 6_000) * 100;
        let mut faults = vec![(at, Fault::Wipe(500 + 200 * (seed % 10)))];
        match seed % 4 {
            0 => faults.push((at + 2_500, Fault::Freeze("core-0".into(), 3_000))),
            1 => faults.push((at + 2_500, Fault::Kill("core-0".into(), 400))),
            2 => faults.push((at + 100, Fault::Kill("front-1".into(), 2_000))),
            _ => faults.push((at - 100, Fault::PendingPut("core-1".into()))),
        }
        let config = Config {
            scripted_faults: Some(faults),
            ..Config::default()
        };
        let verdict = World::new(config, seed).run();
        assert!(verdict.violations.is_empty(), "{verdict:#?}");
        founded += verdict
            .case_counts
            .get("eras founded")
            .copied()
            .unwrap_or(0);
    }
    assert!(founded >= 24, "{founded} epochs were bootstrapped");
}

/// Draining a worker makes its runners drain, stop and start elsewhere. Each seed kills the core that holds the scaler
/// role 50 ms later in this process.
#[test]
fn the_scaler_may_be_killed_in_each_step_of_a_drain_a_stop_and_a_start() {
    let (mut killed, mut left) = (0, 0);
    for seed in 7_000..7_030 {
        let config = Config {
            scripted_faults: Some(vec![
                (9_000, Fault::LeaveWorker("worker-0".into())),
                (9_000, Fault::LeaveWorker("worker-1".into())),
                (10_400 + 50 * (seed - 7_000), Fault::KillScaler(1_000)),
                (15_500, Fault::StayWorker("worker-0".into())),
                (15_500, Fault::StayWorker("worker-1".into())),
            ]),
            ..Config::default()
        };
        let verdict = World::new(config, seed).run();
        assert!(verdict.violations.is_empty(), "{verdict:#?}");
        killed += verdict.case_counts.get("duty killed").copied().unwrap_or(0);
        left += verdict.case_counts.get("leaving").copied().unwrap_or(0);
    }
    assert!(
        killed >= 25 && left > 30,
        "{killed} kills, {left} runs on leaving workers"
    );
}

/// A front is partitioned or suspended while configurations are put, so that it cannot receive them.
#[test]
fn a_partitioned_front_does_not_work_under_an_older_configuration() {
    let (mut puts, mut runs) = (0, 0);
    for seed in 8_000..8_012 {
        let mut faults = vec![match seed % 2 {
            0 => (9_000, Fault::CutOff("front-1".into())),
            _ => (9_000, Fault::Freeze("front-1".into(), 3_000)),
        }];
        faults.extend(
            (0..8).map(|number| (9_300 + number * 400, Fault::PendingPut("core-1".into()))),
        );
        faults.push((16_000, Fault::Heal));
        let config = Config {
            scripted_faults: Some(faults),
            ..Config::default()
        };
        let verdict = World::new(config, seed).run();
        assert!(verdict.violations.is_empty(), "{verdict:#?}");
        puts += verdict.puts;
        runs += verdict.runs;
    }
    assert!(puts >= 36 && runs > 10_000, "{puts} puts, {runs} runs");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || format!("{:?}", World::new(Config::default(), 7).run());
    assert_eq!(run(), run());
}
