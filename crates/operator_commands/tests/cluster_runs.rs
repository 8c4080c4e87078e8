//! Seeded runs of several operators whose commands are lost, doubled and sent again. What was accepted is acknowledged again or
//! left undecided, what was rejected is never in force, and no two changes of one base are acknowledged.

mod cluster;

use cluster::{Cluster, Settings};

#[derive(Default)]
struct Totals {
    chosen: usize,
    acknowledged_again: usize,
    stale: usize,
    undecided: usize,
}

fn run_all(seeds: std::ops::Range<u64>, settings: impl Fn() -> Settings) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, settings());
        cluster.run();
        totals.chosen += cluster.oracle.chosen_count();
        totals.acknowledged_again += cluster.oracle.acknowledged_again;
        totals.stale += cluster.oracle.stale;
        totals.undecided += cluster.oracle.undecided;
    }
    println!(
        "{} accepted, {} acknowledged again, {} stale, {} undecided",
        totals.chosen, totals.acknowledged_again, totals.stale, totals.undecided
    );
    totals
}

#[test]
fn operators_under_losses_restarts_and_replacements() {
    let totals = run_all(0..160, || Settings {
        operators: 3,
        steps: 1_500,
        loss: 0.05,
        longest_pause: 60,
        has_faults: true,
    });
    assert!(totals.chosen > 5_000 && totals.acknowledged_again > 500 && totals.stale > 500);
}

#[test]
fn a_storm_of_changes_with_commands_sent_again_long_after() {
    let totals = run_all(1_000..1_004, || Settings {
        operators: 4,
        steps: 12_000,
        loss: 0.02,
        longest_pause: 700,
        has_faults: true,
    });
    assert!(totals.chosen > 2_000, "{} accepted", totals.chosen);
}
