//! A fixed set of seeds. Each prints itself with its failures where it breaks a line.

use simulator::{Config, Fault, Verdict, World};

/// Runs seeds, and holds what the oracle looked at against what the set was made to bring about.
fn sweep(seeds: std::ops::Range<u64>, config: &Config, looked_at: &[&str]) -> Vec<Verdict> {
    let mut runs = 0;
    let mut puts = 0;
    let mut emptied = 0;
    let mut looked = std::collections::BTreeMap::new();
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
            *looked.entry(*check).or_insert(0) += times;
        }
        verdicts.push(verdict);
    }
    assert!(runs > 1_000 * count, "only {runs} runs");
    assert!(puts > count, "only {puts} puts were acknowledged");
    assert!(
        emptied as u64 > count / 10,
        "only {emptied} disks were emptied"
    );
    for check in looked_at {
        let times = looked.get(check).copied().unwrap_or(0);
        assert!(
            times as u64 >= count / 2,
            "{check} was looked at {times} times"
        );
    }
    verdicts
}

#[test]
fn no_line_is_broken_over_a_first_set_of_seeds() {
    sweep(
        0..40,
        &Config::default(),
        &["answers", "warming", "retries", "leaving", "misdirected"],
    );
}

#[test]
fn no_line_is_broken_over_a_second_set_of_seeds() {
    sweep(1_000..1_040, &Config::default(), &["answers", "warming"]);
}

#[test]
fn no_line_is_broken_with_few_fronts_and_much_work() {
    let config = Config {
        fronts: 3,
        functions: 3,
        requests_per_s: 90.0,
        ..Config::default()
    };
    sweep(2_000..2_030, &config, &["answers", "warming"]);
}

#[test]
fn no_line_is_broken_when_seats_are_short_and_answers_are_lost() {
    let config = Config {
        requests_per_s: 120.0,
        response_time_ms: 250,
        response_loss: 0.2,
        ..Config::default()
    };
    sweep(3_000..3_040, &config, &["answers", "warming", "retries"]);
}

#[test]
fn no_answer_is_taken_that_is_not_the_runners_own() {
    let config = Config {
        runner_fault_share: 0.3,
        ..Config::default()
    };
    sweep(4_000..4_020, &config, &["answers", "retries"]);
}

/// Keys are remembered for ten seconds, and asked for again up to fifteen seconds later.
#[test]
fn no_key_runs_twice_while_claims_are_forgotten() {
    let config = Config {
        claim_ms: 10_000,
        ..Config::default()
    };
    let looked_at = ["ageing", "keys refused by their time"];
    sweep(5_000..5_020, &config, &looked_at);
}

#[test]
fn epochs_begin_after_a_wipe_from_what_fronts_hold() {
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
    assert!(founded >= 24, "{founded} eras were founded");
}

/// A worker that leaves makes runners drain, stop and start elsewhere; the scaling core is killed a
/// little later into it with each seed.
#[test]
fn the_scaler_is_killed_in_each_step_of_a_drain_a_stop_and_a_start() {
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

/// A front is cut off, or stands still, while descriptions are put that it cannot hear of.
#[test]
fn a_front_that_hears_nothing_works_under_no_older_description() {
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
fn one_seed_gives_one_course() {
    let run = || format!("{:?}", World::new(Config::default(), 7).run());
    assert_eq!(run(), run());
}
