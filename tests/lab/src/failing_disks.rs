use crate::context::ScenarioContext;
use crate::deployment::LabError;
use serde_json::Value;
use std::time::{Duration, Instant};

pub fn disk_machine_lost(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    context.fleet.cores[1].kill();
    context.closes();
    context.until(10.0);
    let (acknowledged, held) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    report_put_times(context, acknowledged, held);
    Ok(())
}

pub fn report_put_times(context: &mut ScenarioContext, acknowledged: Duration, held: Duration) {
    context.note(format!(
        "a put was acknowledged in {} ms and held by all in {} ms",
        acknowledged.as_millis(),
        held.as_millis()
    ));
    let bound = Duration::from_millis(context.deployment.bounds.change_ms);
    context.expect(held <= bound, "a put was not held by all within the bound");
}

/// Waits until all voters vote, including the new one, but at most 25 seconds.
fn wait_until_all_vote(context: &mut ScenarioContext, new_voter: &str) {
    let start = Instant::now();
    let all_vote = |context: &ScenarioContext| {
        let reported = context
            .fleet
            .cores
            .iter()
            .find_map(|core| core.get_json("/voters"));
        let voters =
            reported.map(|reported| reported["voters"].as_array().cloned().unwrap_or_default());
        let voters: Vec<Value> = voters.unwrap_or_default();
        let is_new = |voter: &Value| voter["address"] == new_voter;
        voters.iter().any(is_new) && voters.iter().all(|voter| voter["votes"] == true)
    };
    while !all_vote(context) && start.elapsed() < Duration::from_secs(25) {
        std::thread::sleep(Duration::from_millis(50));
    }
    context.note(format!(
        "all voters voted again after {:.1} s",
        start.elapsed().as_secs_f64()
    ));
}

pub fn disk_replaced(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(4.0);
    context.fails();
    context.fleet.cores[2].kill();
    context.closes();
    let zone = context.deployment.cores[2].clone();
    context.fleet.add_core(2, &zone)?;
    let new_voter = context.fleet.wire_address(3);
    wait_until_all_vote(context, &new_voter);
    // With another core killed, the new voter must form a majority with the one remaining old voter.
    context.fleet.cores[1].kill();
    context.until(33.0);
    let (acknowledged, held) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    report_put_times(context, acknowledged, held);
    Ok(())
}

pub fn disk_emptied(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(4.0);
    context.fails();
    context.fleet.cores[2].kill();
    empty_disk(context, 2)?;
    let dir = context.fleet.dir.clone();
    context.fleet.cores[2].start(&dir)?;
    context.closes();
    let emptied_voter = context.fleet.wire_address(2);
    wait_until_all_vote(context, &emptied_voter);
    context.fleet.cores[1].kill();
    context.until(20.0);
    let (acknowledged, held) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    report_put_times(context, acknowledged, held);
    Ok(())
}

pub fn empty_disk(context: &ScenarioContext, index: usize) -> Result<(), LabError> {
    let data = context.fleet.dir.join("data").join(format!("core-{index}"));
    std::fs::remove_dir_all(data).map_err(|error| LabError::Fleet(error.to_string()))
}

pub fn cores_down(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    for core in &mut context.fleet.cores {
        core.kill();
    }
    context.until(15.0);
    let dir = context.fleet.dir.clone();
    for core in &mut context.fleet.cores {
        core.start(&dir)?;
    }
    context.closes();
    Ok(())
}

pub fn wipe(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    let before = context.configuration()?;
    context.fails();
    for index in 0..3 {
        context.fleet.cores[index].kill();
        empty_disk(context, index)?;
    }
    context.until(8.0);
    let dir = context.fleet.dir.clone();
    for core in &mut context.fleet.cores {
        core.start(&dir)?;
    }
    context.closes();
    context.until(28.0);
    let after = context.configuration()?;
    context.expect(before.1 == after.1, "the blueprint changed with the wipe");
    let (acknowledged, held) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    report_put_times(context, acknowledged, held);
    Ok(())
}

pub fn disk_lost_rush(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(0.3);
    context.fails();
    let index = context.role_holder().unwrap_or(0);
    context.fleet.cores[index].kill();
    context.closes();
    Ok(())
}

/// Each core in turn is lost permanently and replaced by an empty one at a new address; then every
/// front is restarted with the new cores as its seeds.
pub fn seeds_replaced(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(3.0);
    context.fails();
    for index in 0..3 {
        let zone = context.deployment.cores[index].clone();
        context.fleet.add_core(index, &zone)?;
        context.fleet.cores[index].kill();
        let new_voter = context.fleet.wire_address(3 + index);
        wait_until_all_vote(context, &new_voter);
    }
    let seeds: Vec<String> = (3..6)
        .map(|index| context.fleet.wire_address(index))
        .collect();
    for index in 0..context.fleet.fronts.len() {
        let front = &mut context.fleet.fronts[index];
        front.signal(libc::SIGTERM);
        front.wait();
        front.set_flag("--seeds", &seeds.join(","));
        context.start_front(index)?;
    }
    context.closes();
    let (acknowledged, held) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    report_put_times(context, acknowledged, held);
    Ok(())
}
