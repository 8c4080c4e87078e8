//! Seeded runs of several operators whose orders are lost, doubled and sent again. What was taken is acknowledged again or
//! left unclear, what was refused is never in force, and no two changes of one base are acknowledged.

mod town;

use town::{Settings, Town};

#[derive(Default)]
struct Totals {
    chosen: usize,
    acknowledged_again: usize,
    stale: usize,
    unclear: usize,
}

fn run_all(seeds: std::ops::Range<u64>, settings: impl Fn() -> Settings) -> Totals {
    let mut totals = Totals::default();
    for seed in seeds {
        println!("seed {seed}");
        let mut town = Town::new(seed, settings());
        town.run();
        totals.chosen += town.oracle.chosen_count();
        totals.acknowledged_again += town.oracle.acknowledged_again;
        totals.stale += town.oracle.stale;
        totals.unclear += town.oracle.unclear;
    }
    println!(
        "{} taken, {} acknowledged again, {} stale, {} unclear",
        totals.chosen, totals.acknowledged_again, totals.stale, totals.unclear
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
fn a_storm_of_changes_with_orders_sent_again_long_after() {
    let totals = run_all(1_000..1_004, || Settings {
        operators: 4,
        steps: 12_000,
        loss: 0.02,
        longest_pause: 700,
        has_faults: true,
    });
    assert!(totals.chosen > 2_000, "{} taken", totals.chosen);
}
