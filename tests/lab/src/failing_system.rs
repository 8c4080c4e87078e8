use crate::context::ScenarioContext;
use crate::deployment::LabError;
use crate::fault_injection;
use std::time::{Duration, Instant};

const HOUR_MS: i64 = 3_600_000;

fn command(context: &ScenarioContext, name: &str, words: &str) -> Result<(), LabError> {
    fault_injection::command(&context.fleet.dir, name, words)
}

/// The disk of the scaling core fails or stalls for eight seconds. After a failed write or sync, its voter
/// stops voting; it must resume voting without intervention.
pub fn disk(context: &mut ScenarioContext, words: &str) -> Result<(), LabError> {
    context.until(4.0);
    let holder = context.role_holder().unwrap_or(0);
    let name = format!("core-{holder}");
    context.fails();
    command(context, &name, words)?;
    context.until(6.0);
    let start = Instant::now();
    let (acknowledged, _) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    context.note(format!(
        "a put beside it was acknowledged in {} ms, {} ms with the asking",
        acknowledged.as_millis(),
        start.elapsed().as_millis()
    ));
    context.until(12.0);
    let is_closed = words != "stall" && !is_voting(context, &context.fleet.wire_address(holder));
    command(context, &name, "")?;
    context.note(format!("its voter had closed: {is_closed}"));
    context.expect(
        is_closed == (words != "stall"),
        "a failed disk was trusted, or a slow one was not",
    );
    context.closes();
    let address = context.fleet.wire_address(holder);
    let elapsed = context.fleet.wait_until("the voter votes again", |fleet| {
        is_voting_in(fleet, &address)
    })?;
    context.note(format!(
        "it voted again by itself after {:.1} s",
        elapsed.as_secs_f64()
    ));
    let bound = Duration::from_millis(context.deployment.bounds.return_ms);
    context.expect(
        elapsed <= bound,
        "the voter did not vote again within the bound",
    );
    let during = context.failed;
    context.flawless = during;
    Ok(())
}

fn is_voting(context: &ScenarioContext, address: &str) -> bool {
    is_voting_in(&context.fleet, address)
}

fn is_voting_in(fleet: &crate::fleet::Fleet, address: &str) -> bool {
    let mut cores = fleet.cores.iter();
    let reported = cores.find_map(|core| core.get_json("/voters"));
    let voters = reported.and_then(|reported| reported["voters"].as_array().cloned());
    let mut voters = voters.unwrap_or_default().into_iter();
    voters.any(|voter| voter["address"] == address && voter["votes"] == true)
}

/// Five times, all cores lose power, and with it all unsynced data, right after a put was acknowledged.
/// The put must still be in effect when they are back.
pub fn power_lost(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(3.0);
    context.fails();
    let dir = context.fleet.dir.clone();
    let mut lost_bytes = 0;
    for round in 0..5u64 {
        let wanted = 600_000 + round;
        let start = Instant::now();
        while !context.put_once(|configuration| configuration["bounds"]["claim_ms"] = wanted.into())
        {
            if start.elapsed() > Duration::from_secs(10) {
                return Err(LabError::Broken("no put was taken for ten seconds".into()));
            }
        }
        for core in &mut context.fleet.cores {
            core.kill();
        }
        for index in 0..context.fleet.cores.len() {
            let name = context.fleet.cores[index].name.clone();
            lost_bytes += fault_injection::lose_unsynced(&dir, &name)?;
            context.fleet.cores[index].start(&dir)?;
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
        "5 losses of power, {lost_bytes} unsynced bytes went with them"
    ));
    Ok(())
}

/// The wall clocks of the named daemons (of all if `names` is empty) are an hour ahead for four seconds
/// and then an hour behind for four.
pub fn clocks(context: &mut ScenarioContext, names: &[&str]) -> Result<(), LabError> {
    let all: Vec<String> = context
        .fleet
        .daemons()
        .map(|daemon| daemon.name.clone())
        .collect();
    let names: Vec<String> = if names.is_empty() {
        all
    } else {
        names.iter().map(ToString::to_string).collect()
    };
    context.until(4.0);
    context.fails();
    for offset_ms in [HOUR_MS, -HOUR_MS] {
        for name in &names {
            command(context, name, &format!("wall={offset_ms}"))?;
        }
        context.until(if offset_ms > 0 { 7.5 } else { 11.5 });
        let reported = count_skewed_clocks(context);
        context.note(format!(
            "jump of {} min: clocks reported as skewed: {reported}",
            offset_ms / 60_000
        ));
        context.expect(
            reported > 0 || names.len() > 1,
            "no core reports the clock skew",
        );
        context.until(if offset_ms > 0 { 8.0 } else { 12.0 });
    }
    for name in &names {
        command(context, name, "")?;
    }
    context.closes();
    Ok(())
}

/// Number of daemons whose clocks a core reports as skewed by more than a second.
fn count_skewed_clocks(context: &ScenarioContext) -> usize {
    let mut cores = context.fleet.cores.iter();
    let status = cores.find_map(|core| core.get_json("/status"));
    let clocks_reported = status.and_then(|status| status["clocks"].as_array().cloned());
    let clocks_reported = clocks_reported.unwrap_or_default();
    let is_skewed =
        |clock: &&serde_json::Value| clock["off_ms"].as_i64().unwrap_or(0).abs() > 1_000;
    clocks_reported.iter().filter(is_skewed).count()
}
