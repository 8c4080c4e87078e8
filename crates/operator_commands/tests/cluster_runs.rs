//! Seeded simulations of several operators whose commands are lost, duplicated and sent again. Accepted commands are
//! acknowledged again or left undecided, rejected commands never take effect, and of all commands with the same base version
//! at most one is acknowledged.

mod cluster;

use cluster::{Cluster, Settings};

#[derive(Default)]
struct Totals {
    committed: usize,
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
        totals.committed += cluster.oracle.committed_count();
        totals.acknowledged_again += cluster.oracle.acknowledged_again;
        totals.stale += cluster.oracle.stale;
        totals.undecided += cluster.oracle.undecided;
    }
    println!(
        "{} accepted, {} acknowledged again, {} stale, {} undecided",
        totals.committed, totals.acknowledged_again, totals.stale, totals.undecided
    );
    totals
}

#[test]
fn random_commands_with_message_loss_restarts_and_voter_replacements() {
    let totals = run_all(0..160, || Settings {
        operators: 3,
        steps: 1_500,
        loss: 0.05,
        max_pause: 60,
        has_faults: true,
    });
    assert!(totals.committed > 5_000 && totals.acknowledged_again > 500 && totals.stale > 500);
}

#[test]
fn many_commands_that_are_sent_again_after_long_pauses() {
    let totals = run_all(1_000..1_004, || Settings {
        operators: 4,
        steps: 12_000,
        loss: 0.02,
        max_pause: 700,
        has_faults: true,
    });
    assert!(totals.committed > 2_000, "{} accepted", totals.committed);
}
