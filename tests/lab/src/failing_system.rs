use crate::context::ScenarioContext;
use crate::deployment::LabError;
use crate::fault_injection;
use std::time::{Duration, Instant};

const HOUR_MS: i64 = 3_600_000;

fn command(context: &ScenarioContext, name: &str, words: &str) -> Result<(), LabError> {
    fault_injection::command(&context.fleet.dir, name, words)
}

/// One disk machine's disk fails in some way for eight seconds; its voter closes where a write or sync
/// failed, and must vote again by itself.
pub fn disk(context: &mut ScenarioContext, words: &str) -> Result<(), LabError> {
    context.until(4.0);
    let holder = context.role_holder().unwrap_or(0);
    let name = format!("core-{holder}");
    context.fails();
    command(context, &name, words)?;
    context.until(6.0);
    let began = Instant::now();
    let (acknowledged, _) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    context.note(format!(
        "a put beside it was acknowledged in {} ms, {} ms with the asking",
        acknowledged.as_millis(),
        began.elapsed().as_millis()
    ));
    context.until(12.0);
    let is_closed = words != "stall" && !votes(context, &context.fleet.wire_address(holder));
    command(context, &name, "")?;
    context.note(format!("its voter had closed: {is_closed}"));
    context.expect(
        is_closed == (words != "stall"),
        "a failed disk was trusted, or a slow one was not",
    );
    context.closes();
    let address = context.fleet.wire_address(holder);
    let took = context
        .fleet
        .wait_until("the voter votes again", |fleet| votes_in(fleet, &address))?;
    context.note(format!(
        "it voted again by itself after {:.1} s",
        took.as_secs_f64()
    ));
    let bound = Duration::from_millis(context.deployment.bounds.return_ms);
    context.expect(
        took <= bound,
        "the voter did not vote again within the bound",
    );
    let during = context.failed;
    context.flawless = during;
    Ok(())
}

fn votes(context: &ScenarioContext, address: &str) -> bool {
    votes_in(&context.fleet, address)
}

fn votes_in(fleet: &crate::fleet::Fleet, address: &str) -> bool {
    let mut cores = fleet.cores.iter();
    let reported = cores.find_map(|core| core.get_json("/voters"));
    let voters = reported.and_then(|reported| reported["voters"].as_array().cloned());
    let mut voters = voters.unwrap_or_default().into_iter();
    voters.any(|voter| voter["address"] == address && voter["votes"] == true)
}

/// Right after a put was acknowledged all disk machines lose power, with all that was not synced; five
/// times. The put must be in force when they are back.
pub fn power_lost(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(3.0);
    context.fails();
    let dir = context.fleet.dir.clone();
    let mut lost = 0;
    for round in 0..5u64 {
        let wanted = 600_000 + round;
        let began = Instant::now();
        while !context.put_once(|configuration| configuration["bounds"]["claim_ms"] = wanted.into())
        {
            if began.elapsed() > Duration::from_secs(10) {
                return Err(LabError::Broken("no put was taken for ten seconds".into()));
            }
        }
        for core in &mut context.fleet.cores {
            core.kill();
        }
        for place in 0..context.fleet.cores.len() {
            let name = context.fleet.cores[place].name.clone();
            lost += fault_injection::lose_unsynced(&dir, &name)?;
            context.fleet.cores[place].start(&dir)?;
        }
        context
            .fleet
            .wait_until("a core is certain of the blueprint", |fleet| {
                let reported = fleet.cores[0].get_json("/blueprint");
                reported.is_some_and(|reported| reported["certain"] == true)
            })?;
        let (version, after) = context.configuration()?;
        let found = &after["bounds"]["claim_ms"];
        let text = format!("put {wanted} was lost with the power: {found} at version {version}");
        context.expect(*found == wanted, &text);
    }
    context.closes();
    context.note(format!(
        "5 losses of power, {lost} unsynced bytes went with them"
    ));
    Ok(())
}

/// Wall clocks jump an hour ahead for four seconds and then an hour back for four; no name is all.
pub fn clocks(context: &mut ScenarioContext, names: &[&str]) -> Result<(), LabError> {
    let all: Vec<String> = context
        .fleet
        .daemons()
        .map(|one| one.name.clone())
        .collect();
    let names: Vec<String> = if names.is_empty() {
        all
    } else {
        names.iter().map(ToString::to_string).collect()
    };
    context.until(4.0);
    context.fails();
    for jump in [HOUR_MS, -HOUR_MS] {
        for name in &names {
            command(context, name, &format!("wall={jump}"))?;
        }
        context.until(if jump > 0 { 7.5 } else { 11.5 });
        let reported = clocks_told(context);
        context.note(format!(
            "jump of {} min: clocks told to be off: {reported}",
            jump / 60_000
        ));
        context.expect(
            reported > 0 || names.len() > 1,
            "no core tells of the clock",
        );
        context.until(if jump > 0 { 8.0 } else { 12.0 });
    }
    for name in &names {
        command(context, name, "")?;
    }
    context.closes();
    Ok(())
}

/// Daemons whose clocks a core tells to be off by more than a second.
fn clocks_told(context: &ScenarioContext) -> usize {
    let mut cores = context.fleet.cores.iter();
    let status = cores.find_map(|core| core.get_json("/status"));
    let lines = status.and_then(|status| status["clocks"].as_array().cloned());
    let lines = lines.unwrap_or_default();
    let off = |line: &&serde_json::Value| line["off_ms"].as_i64().unwrap_or(0).abs() > 1_000;
    lines.iter().filter(off).count()
}
