use crate::deployment::LabFault;
use crate::stage::Stage;
use serde_json::Value;
use std::time::{Duration, Instant};

pub fn disk_machine_lost(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    stage.fleet.cores[1].kill();
    stage.closes();
    stage.until(10.0);
    let (acknowledged, held) = stage.put_edited(|blueprint| {
        blueprint["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(stage, acknowledged, held);
    Ok(())
}

pub fn put_figures(stage: &mut Stage, acknowledged: Duration, held: Duration) {
    stage.note(format!(
        "a put was acknowledged in {} ms and held by all in {} ms",
        acknowledged.as_millis(),
        held.as_millis()
    ));
    let bound = Duration::from_millis(stage.deployment.bounds.change_ms);
    stage.expect(held <= bound, "a put was not held by all within the bound");
}

/// Waits until all voters vote, the newcomer among them.
fn until_all_vote(stage: &mut Stage, newcomer: &str) {
    let began = Instant::now();
    let all_vote = |stage: &Stage| {
        let told = stage
            .fleet
            .cores
            .iter()
            .find_map(|core| core.get_json("/voters"));
        let voters = told.map(|told| told["voters"].as_array().cloned().unwrap_or_default());
        let voters: Vec<Value> = voters.unwrap_or_default();
        let is_new = |voter: &Value| voter["address"] == newcomer;
        voters.iter().any(is_new) && voters.iter().all(|voter| voter["votes"] == true)
    };
    while !all_vote(stage) && began.elapsed() < Duration::from_secs(25) {
        std::thread::sleep(Duration::from_millis(50));
    }
    stage.note(format!(
        "all voters voted again after {:.1} s",
        began.elapsed().as_secs_f64()
    ));
}

pub fn disk_replaced(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(4.0);
    stage.fails();
    stage.fleet.cores[2].kill();
    stage.closes();
    let district = stage.deployment.cores[2].clone();
    stage.fleet.add_core(2, &district)?;
    let newcomer = stage.fleet.wire_address(3);
    until_all_vote(stage, &newcomer);
    // The newcomer must carry a majority together with one old voter.
    stage.fleet.cores[1].kill();
    stage.until(33.0);
    let (acknowledged, held) = stage.put_edited(|blueprint| {
        blueprint["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(stage, acknowledged, held);
    Ok(())
}

pub fn disk_emptied(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(4.0);
    stage.fails();
    stage.fleet.cores[2].kill();
    empty_disk(stage, 2)?;
    let dir = stage.fleet.dir.clone();
    stage.fleet.cores[2].start(&dir)?;
    stage.closes();
    let emptied = stage.fleet.wire_address(2);
    until_all_vote(stage, &emptied);
    stage.fleet.cores[1].kill();
    stage.until(20.0);
    let (acknowledged, held) = stage.put_edited(|blueprint| {
        blueprint["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(stage, acknowledged, held);
    Ok(())
}

pub fn empty_disk(stage: &Stage, place: usize) -> Result<(), LabFault> {
    let data = stage.fleet.dir.join("data").join(format!("core-{place}"));
    std::fs::remove_dir_all(data).map_err(|error| LabFault::Fleet(error.to_string()))
}

pub fn cores_down(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    for core in &mut stage.fleet.cores {
        core.kill();
    }
    stage.until(15.0);
    let dir = stage.fleet.dir.clone();
    for core in &mut stage.fleet.cores {
        core.start(&dir)?;
    }
    stage.closes();
    Ok(())
}

pub fn wipe(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    let before = stage.blueprint()?;
    stage.fails();
    for place in 0..3 {
        stage.fleet.cores[place].kill();
        empty_disk(stage, place)?;
    }
    stage.until(8.0);
    let dir = stage.fleet.dir.clone();
    for core in &mut stage.fleet.cores {
        core.start(&dir)?;
    }
    stage.closes();
    stage.until(28.0);
    let after = stage.blueprint()?;
    stage.expect(before.1 == after.1, "the blueprint changed with the wipe");
    let (acknowledged, held) = stage.put_edited(|blueprint| {
        blueprint["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(stage, acknowledged, held);
    Ok(())
}

pub fn disk_lost_rush(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(0.3);
    stage.fails();
    let place = stage.duty_holder().unwrap_or(0);
    stage.fleet.cores[place].kill();
    stage.closes();
    Ok(())
}

/// Each core in turn is lost for good and replaced by an empty one at a new address; then every
/// front is restarted, with the new cores as its seeds.
pub fn seeds_replaced(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(3.0);
    stage.fails();
    for place in 0..3 {
        let district = stage.deployment.cores[place].clone();
        stage.fleet.add_core(place, &district)?;
        stage.fleet.cores[place].kill();
        let newcomer = stage.fleet.wire_address(3 + place);
        until_all_vote(stage, &newcomer);
    }
    let seeds: Vec<String> = (3..6)
        .map(|place| stage.fleet.wire_address(place))
        .collect();
    for place in 0..stage.fleet.fronts.len() {
        let front = &mut stage.fleet.fronts[place];
        front.signal(libc::SIGTERM);
        front.wait();
        front.set_flag("--seeds", &seeds.join(","));
        stage.start_front(place)?;
    }
    stage.closes();
    let (acknowledged, held) = stage.put_edited(|blueprint| {
        blueprint["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(stage, acknowledged, held);
    Ok(())
}
