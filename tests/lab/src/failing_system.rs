use crate::deployment::LabFault;
use crate::fault_injection;
use crate::stage::Stage;
use std::time::{Duration, Instant};

const HOUR_MS: i64 = 3_600_000;

fn order(stage: &Stage, name: &str, words: &str) -> Result<(), LabFault> {
    fault_injection::order(&stage.fleet.dir, name, words)
}

/// One disk machine's disk fails in some way for eight seconds; its voter closes where a write or sync
/// failed, and must vote again by itself.
pub fn disk(stage: &mut Stage, words: &str) -> Result<(), LabFault> {
    stage.until(4.0);
    let holder = stage.duty_holder().unwrap_or(0);
    let name = format!("core-{holder}");
    stage.fails();
    order(stage, &name, words)?;
    stage.until(6.0);
    let began = Instant::now();
    let (acknowledged, _) = stage.put_edited(|blueprint| {
        blueprint["bounds"]["claim_ms"] = 700_000.into();
    })?;
    stage.note(format!(
        "a put beside it was acknowledged in {} ms, {} ms with the asking",
        acknowledged.as_millis(),
        began.elapsed().as_millis()
    ));
    stage.until(12.0);
    let is_closed = words != "stall" && !votes(stage, &stage.fleet.wire_address(holder));
    order(stage, &name, "")?;
    stage.note(format!("its voter had closed: {is_closed}"));
    stage.expect(
        is_closed == (words != "stall"),
        "a failed disk was trusted, or a slow one was not",
    );
    stage.closes();
    let address = stage.fleet.wire_address(holder);
    let took = stage
        .fleet
        .wait_until("the voter votes again", |fleet| votes_in(fleet, &address))?;
    stage.note(format!(
        "it voted again by itself after {:.1} s",
        took.as_secs_f64()
    ));
    let bound = Duration::from_millis(stage.deployment.bounds.return_ms);
    stage.expect(
        took <= bound,
        "the voter did not vote again within the bound",
    );
    let during = stage.failed;
    stage.flawless = during;
    Ok(())
}

fn votes(stage: &Stage, address: &str) -> bool {
    votes_in(&stage.fleet, address)
}

fn votes_in(fleet: &crate::fleet::Fleet, address: &str) -> bool {
    let mut cores = fleet.cores.iter();
    let told = cores.find_map(|core| core.get_json("/voters"));
    let voters = told.and_then(|told| told["voters"].as_array().cloned());
    let mut voters = voters.unwrap_or_default().into_iter();
    voters.any(|voter| voter["address"] == address && voter["votes"] == true)
}

/// Right after a put was acknowledged all disk machines lose power, with all that was not synced; five
/// times. The put must be in force when they are back.
pub fn power_lost(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(3.0);
    stage.fails();
    let dir = stage.fleet.dir.clone();
    let mut lost = 0;
    for round in 0..5u64 {
        let wanted = 600_000 + round;
        let began = Instant::now();
        while !stage.put_once(|blueprint| blueprint["bounds"]["claim_ms"] = wanted.into()) {
            if began.elapsed() > Duration::from_secs(10) {
                return Err(LabFault::Broken("no put was taken for ten seconds".into()));
            }
        }
        for core in &mut stage.fleet.cores {
            core.kill();
        }
        for place in 0..stage.fleet.cores.len() {
            let name = stage.fleet.cores[place].name.clone();
            lost += fault_injection::lose_unsynced(&dir, &name)?;
            stage.fleet.cores[place].start(&dir)?;
        }
        stage
            .fleet
            .wait_until("a core is certain of the blueprint", |fleet| {
                let told = fleet.cores[0].get_json("/blueprint");
                told.is_some_and(|told| told["certain"] == true)
            })?;
        let (version, after) = stage.blueprint()?;
        let found = &after["bounds"]["claim_ms"];
        let text = format!("put {wanted} was lost with the power: {found} at version {version}");
        stage.expect(*found == wanted, &text);
    }
    stage.closes();
    stage.note(format!(
        "5 losses of power, {lost} unsynced bytes went with them"
    ));
    Ok(())
}

/// Wall clocks jump an hour ahead for four seconds and then an hour back for four; no name is all.
pub fn clocks(stage: &mut Stage, names: &[&str]) -> Result<(), LabFault> {
    let all: Vec<String> = stage.fleet.daemons().map(|one| one.name.clone()).collect();
    let names: Vec<String> = if names.is_empty() {
        all
    } else {
        names.iter().map(ToString::to_string).collect()
    };
    stage.until(4.0);
    stage.fails();
    for jump in [HOUR_MS, -HOUR_MS] {
        for name in &names {
            order(stage, name, &format!("wall={jump}"))?;
        }
        stage.until(if jump > 0 { 7.5 } else { 11.5 });
        let told = clocks_told(stage);
        stage.note(format!(
            "jump of {} min: clocks told to be off: {told}",
            jump / 60_000
        ));
        stage.expect(told > 0 || names.len() > 1, "no core tells of the clock");
        stage.until(if jump > 0 { 8.0 } else { 12.0 });
    }
    for name in &names {
        order(stage, name, "")?;
    }
    stage.closes();
    Ok(())
}

/// Daemons whose clocks a core tells to be off by more than a second.
fn clocks_told(stage: &Stage) -> usize {
    let mut cores = stage.fleet.cores.iter();
    let status = cores.find_map(|core| core.get_json("/status"));
    let lines = status.and_then(|status| status["clocks"].as_array().cloned());
    let lines = lines.unwrap_or_default();
    let off = |line: &&serde_json::Value| line["off_ms"].as_i64().unwrap_or(0).abs() > 1_000;
    lines.iter().filter(off).count()
}
