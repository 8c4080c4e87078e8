//! A fleet of gateways over three regions, whose owners come, go and lose sight of one another. A runner never gets more requests than
//! its quota where ownership moves by plan or links between gateways are cut, and no request is forgotten whatever happens.
//!
//! `FLEET_SEEDS=0-200 cargo test --release -p seat_leases --test ownership_fleet` plays more seeds than the usual ones.

mod fleet;

use fleet::{Fleet, FleetOptions, BUSY_FUNCTIONS};
use rand::Rng;

const REQUESTS_PER_SECOND: f64 = 500.0;
/// Milliseconds for which a runner that leaves is away.
const LEFT_FOR_MS: u64 = 7_000;
/// Seeds that are played where nothing else is asked for.
const SEEDS: u64 = 12;

fn seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("FLEET_SEEDS").unwrap_or_default();
    let bounds = asked.split_once('-');
    let asked = bounds.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    asked.unwrap_or(0..SEEDS)
}

/// A fleet that has run for a second.
fn fleet(seed: u64, gateways: usize, is_agreed: bool) -> Fleet {
    let mut fleet = Fleet::new(&FleetOptions {
        seed,
        gateways,
        functions: 60,
        is_agreed,
    });
    fleet.run_until(1_000, REQUESTS_PER_SECOND);
    fleet
}

fn run(fleet: &mut Fleet, span_ms: u64) {
    fleet.run_until(fleet.now + span_ms, REQUESTS_PER_SECOND);
}

/// Whatever happened, requests are served again once it is calm, and within the quotas.
fn assert_calm_is_served(fleet: &mut Fleet, seed: u64) {
    run(fleet, 4_000);
    let calm_since = fleet.now;
    let before = fleet.outcomes.over_quota;
    run(fleet, 4_500);
    let outcomes = &fleet.outcomes;
    assert!(
        outcomes.last_timed_out_arrival < calm_since,
        "seed {seed}: requests were forgotten: {outcomes:?}"
    );
    assert_eq!(outcomes.over_quota, before, "seed {seed}: {outcomes:?}");
    // Without clients every seat comes back to its owner.
    fleet.run_until(fleet.now + 6_000, 1e-9);
    assert_eq!(fleet.usage(), (0, 0), "seed {seed}: seats were lost");
}

/// Gateways stop by plan and come back, and scalers follow one another.
fn play_planned_moves(fleet: &mut Fleet) {
    for step in 0..12 {
        let up = fleet.up();
        let index = up[fleet.random.random_range(0..up.len())];
        fleet.terminate(index);
        run(fleet, 700);
        fleet.kill(index);
        if step % 3 == 2 {
            fleet.begin_term();
        }
        run(fleet, 150);
        fleet.restart(index);
        let calm = fleet.random.random_range(5..300);
        run(fleet, calm);
    }
}

/// Links between two gateways carry nothing for a while, one way or both ways.
fn play_cut_links(fleet: &mut Fleet, gateways: usize) {
    for _ in 0..8 {
        let one = fleet.random.random_range(0..gateways);
        let others: Vec<usize> = (0..gateways).filter(|other| *other != one).collect();
        let count = fleet.random.random_range(1..=others.len() / 2);
        let both = fleet.random.random_bool(0.5);
        for other in &others[..count] {
            fleet.cut_link(one, *other, both);
        }
        let span = fleet.random.random_range(300..3_000);
        run(fleet, span);
        for other in &others[..count] {
            fleet.heal_link(one, *other);
        }
        run(fleet, 300);
    }
}

/// Gateways die, stand still and are cut off, at any moment and several at a time, with and without a scaler.
fn play_losses(fleet: &mut Fleet, gateways: usize) {
    for step in 0..8 {
        let drawn = [(); 3].map(|()| fleet.random.random_range(0..gateways));
        let up = fleet.up();
        let mut chosen: Vec<usize> = drawn.into_iter().filter(|one| up.contains(one)).collect();
        chosen.sort_unstable();
        chosen.dedup();
        let kinds: Vec<u8> = chosen
            .iter()
            .map(|_| fleet.random.random_range(0..3))
            .collect();
        if step % 4 == 3 {
            fleet.set_scaler(false);
        }
        for (index, kind) in chosen.iter().zip(&kinds) {
            match kind {
                0 => fleet.kill(*index),
                1 => fleet.freeze(*index),
                _ => fleet.cut_off(*index),
            }
            let pause = fleet.random.random_range(1..200);
            run(fleet, pause);
        }
        let span = fleet.random.random_range(100..2_500);
        run(fleet, span);
        if step % 4 == 3 {
            fleet.set_scaler(true);
        }
        for (index, kind) in chosen.iter().zip(&kinds) {
            match kind {
                0 => fleet.restart(*index),
                1 => fleet.thaw(*index),
                _ => fleet.join_again(*index),
            }
            run(fleet, 20);
        }
        run(fleet, 800);
    }
}

/// Gateways die and come back, some twice within seconds, others stop by plan, while one runner of a busy function after the other leaves and
/// is back some time later. A scaler is there all the time.
fn play_leaving_runners(fleet: &mut Fleet) {
    let mut left: Vec<(usize, usize, u64)> = Vec::new();
    for _ in 0..60 {
        let now = fleet.now;
        for (function, place, _) in left.extract_if(.., |(.., at)| *at + LEFT_FOR_MS <= now) {
            fleet.runner_changes(function, place, false);
        }
        let function = fleet.random.random_range(0..BUSY_FUNCTIONS);
        if !left.iter().any(|(other, ..)| *other == function) {
            let place = fleet.random.random_range(0..3);
            fleet.runner_changes(function, place, true);
            left.push((function, place, fleet.now));
        }
        let up = fleet.up();
        let index = up[fleet.random.random_range(0..up.len())];
        if fleet.random.random_bool(0.3) {
            fleet.terminate(index);
            run(fleet, 400);
        }
        fleet.kill(index);
        run(fleet, 150);
        fleet.restart(index);
        let again_after = fleet.random.random_range(50..2_500);
        run(fleet, again_after);
        if fleet.random.random_bool(0.5) && fleet.up().contains(&index) {
            fleet.kill(index);
            run(fleet, 100);
            fleet.restart(index);
        }
        run(fleet, 60);
    }
    for (function, place, _) in left {
        fleet.runner_changes(function, place, false);
    }
}

/// Whatever is played, no runner gets more requests than its quota, and calm is served.
fn assert_within_quotas(play: impl Fn(&mut Fleet)) {
    for seed in seeds() {
        let mut fleet = fleet(seed, 20, true);
        play(&mut fleet);
        assert_eq!(
            fleet.outcomes.over_quota, 0,
            "seed {seed}: {:?}",
            fleet.outcomes
        );
        assert_calm_is_served(&mut fleet, seed);
    }
}

#[test]
fn planned_moves_never_exceed_a_quota() {
    assert_within_quotas(play_planned_moves);
}

#[test]
fn cut_links_never_exceed_a_quota() {
    assert_within_quotas(|fleet| play_cut_links(fleet, 20));
}

#[test]
fn no_request_reaches_a_runner_long_after_it_left() {
    for seed in seeds() {
        let mut fleet = fleet(seed, 20, true);
        play_leaving_runners(&mut fleet);
        assert_eq!(fleet.outcomes.late, 0, "seed {seed}: {:?}", fleet.outcomes);
        assert_calm_is_served(&mut fleet, seed);
    }
}

#[test]
fn lost_gateways_leave_no_request_behind() {
    let (mut sent, mut over_quota) = (0, 0);
    for seed in seeds() {
        let mut fleet = fleet(seed, 75, true);
        play_losses(&mut fleet, 75);
        sent += fleet.outcomes.served;
        over_quota += fleet.outcomes.over_quota;
        assert_calm_is_served(&mut fleet, seed);
    }
    println!("over a quota: {over_quota} of {sent} requests");
}

/// What the agreement is for: the same without it.
#[test]
fn without_an_agreed_table_owners_exceed_quotas() {
    let mut over_quota = 0;
    for seed in 0..4 {
        let mut planned = fleet(seed, 20, false);
        play_planned_moves(&mut planned);
        let mut cut = fleet(seed, 20, false);
        play_cut_links(&mut cut, 20);
        over_quota += planned.outcomes.over_quota + cut.outcomes.over_quota;
    }
    assert!(over_quota > 0);
    println!("over a quota without an agreed table: {over_quota}");
}
