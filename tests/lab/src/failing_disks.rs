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
    put_figures(context, acknowledged, held);
    Ok(())
}

pub fn put_figures(context: &mut ScenarioContext, acknowledged: Duration, held: Duration) {
    context.note(format!(
        "a put was acknowledged in {} ms and held by all in {} ms",
        acknowledged.as_millis(),
        held.as_millis()
    ));
    let bound = Duration::from_millis(context.deployment.bounds.change_ms);
    context.expect(held <= bound, "a put was not held by all within the bound");
}

/// Waits until all voters vote, the newcomer among them.
fn until_all_vote(context: &mut ScenarioContext, newcomer: &str) {
    let began = Instant::now();
    let all_vote = |context: &ScenarioContext| {
        let reported = context
            .fleet
            .cores
            .iter()
            .find_map(|core| core.get_json("/voters"));
        let voters =
            reported.map(|reported| reported["voters"].as_array().cloned().unwrap_or_default());
        let voters: Vec<Value> = voters.unwrap_or_default();
        let is_new = |voter: &Value| voter["address"] == newcomer;
        voters.iter().any(is_new) && voters.iter().all(|voter| voter["votes"] == true)
    };
    while !all_vote(context) && began.elapsed() < Duration::from_secs(25) {
        std::thread::sleep(Duration::from_millis(50));
    }
    context.note(format!(
        "all voters voted again after {:.1} s",
        began.elapsed().as_secs_f64()
    ));
}

pub fn disk_replaced(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(4.0);
    context.fails();
    context.fleet.cores[2].kill();
    context.closes();
    let zone = context.deployment.cores[2].clone();
    context.fleet.add_core(2, &zone)?;
    let newcomer = context.fleet.wire_address(3);
    until_all_vote(context, &newcomer);
    // The newcomer must carry a majority together with one old voter.
    context.fleet.cores[1].kill();
    context.until(33.0);
    let (acknowledged, held) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(context, acknowledged, held);
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
    let emptied = context.fleet.wire_address(2);
    until_all_vote(context, &emptied);
    context.fleet.cores[1].kill();
    context.until(20.0);
    let (acknowledged, held) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(context, acknowledged, held);
    Ok(())
}

pub fn empty_disk(context: &ScenarioContext, place: usize) -> Result<(), LabError> {
    let data = context.fleet.dir.join("data").join(format!("core-{place}"));
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
    for place in 0..3 {
        context.fleet.cores[place].kill();
        empty_disk(context, place)?;
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
    put_figures(context, acknowledged, held);
    Ok(())
}

pub fn disk_lost_rush(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(0.3);
    context.fails();
    let place = context.role_holder().unwrap_or(0);
    context.fleet.cores[place].kill();
    context.closes();
    Ok(())
}

/// Each core in turn is lost for good and replaced by an empty one at a new address; then every
/// front is restarted, with the new cores as its seeds.
pub fn seeds_replaced(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(3.0);
    context.fails();
    for place in 0..3 {
        let zone = context.deployment.cores[place].clone();
        context.fleet.add_core(place, &zone)?;
        context.fleet.cores[place].kill();
        let newcomer = context.fleet.wire_address(3 + place);
        until_all_vote(context, &newcomer);
    }
    let seeds: Vec<String> = (3..6)
        .map(|place| context.fleet.wire_address(place))
        .collect();
    for place in 0..context.fleet.fronts.len() {
        let front = &mut context.fleet.fronts[place];
        front.signal(libc::SIGTERM);
        front.wait();
        front.set_flag("--seeds", &seeds.join(","));
        context.start_front(place)?;
    }
    context.closes();
    let (acknowledged, held) = context.put_edited(|configuration| {
        configuration["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(context, acknowledged, held);
    Ok(())
}
