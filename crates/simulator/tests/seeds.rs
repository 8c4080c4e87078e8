//! A fixed set of seeds. Each prints itself with its failures where it breaks a line.

use simulator::{Config, Fault, World};

fn sweep(seeds: std::ops::Range<u64>, config: &Config) {
    let mut runs = 0;
    let mut puts = 0;
    let mut emptied = 0;
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let verdict = World::new(config.clone(), seed).run();
        assert!(verdict.broken.is_empty(), "{verdict:#?}");
        runs += verdict.runs as u64;
        puts += verdict.puts as u64;
        let is_emptying = |(_, fault): &&(u64, Fault)| matches!(fault, Fault::EmptyDisk(..));
        emptied += verdict.faults.iter().filter(is_emptying).count();
    }
    assert!(runs > 1_000 * count, "only {runs} runs");
    assert!(puts > count, "only {puts} puts were acknowledged");
    assert!(emptied > 3, "only {emptied} disks were emptied");
}

#[test]
fn no_line_is_broken_over_a_first_set_of_seeds() {
    sweep(0..40, &Config::default());
}

#[test]
fn no_line_is_broken_over_a_second_set_of_seeds() {
    sweep(1_000..1_040, &Config::default());
}

#[test]
fn no_line_is_broken_with_few_fronts_and_much_work() {
    let config = Config {
        fronts: 3,
        functions: 3,
        rate: 90.0,
        ..Config::default()
    };
    sweep(2_000..2_030, &config);
}

#[test]
fn no_line_is_broken_when_seats_are_short_and_answers_are_lost() {
    let config = Config {
        rate: 120.0,
        pace_ms: 250,
        answer_loss: 0.2,
        ..Config::default()
    };
    sweep(3_000..3_040, &config);
}

#[test]
fn one_seed_gives_one_course() {
    let run = || format!("{:?}", World::new(Config::default(), 7).run());
    assert_eq!(run(), run());
}
