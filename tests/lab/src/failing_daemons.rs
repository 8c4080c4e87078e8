use crate::deployment::LabFault;
use crate::stage::Stage;

pub fn front_killed(stage: &mut Stage) -> Result<(), LabFault> {
    kill_fronts(stage, &[0])
}

pub fn fronts_herd(stage: &mut Stage) -> Result<(), LabFault> {
    kill_fronts(stage, &[0, 1, 2])
}

pub fn kill_fronts(stage: &mut Stage, places: &[usize]) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    for place in places {
        stage.fleet.fronts[*place].kill();
    }
    stage.until(9.0);
    let dir = stage.fleet.dir.clone();
    for place in places {
        stage.fleet.fronts[*place].start(&dir)?;
    }
    stage.closes();
    Ok(())
}

pub fn front_frozen(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    stage.fleet.fronts[1].signal(libc::SIGSTOP);
    stage.until(9.0);
    stage.fleet.fronts[1].signal(libc::SIGCONT);
    stage.closes();
    Ok(())
}

pub fn core_killed(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    let place = stage.duty_holder().unwrap_or(0);
    stage.fails();
    stage.fleet.cores[place].kill();
    stage.until(9.0);
    let next = stage.duty_holder();
    stage.expect(next.is_some(), "no core took the duty within 4 s");
    let dir = stage.fleet.dir.clone();
    stage.fleet.cores[place].start(&dir)?;
    stage.closes();
    Ok(())
}

pub fn duty_frozen(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    let place = stage.duty_holder().unwrap_or(0);
    stage.fails();
    stage.fleet.cores[place].signal(libc::SIGSTOP);
    stage.until(10.0);
    stage.fleet.cores[place].signal(libc::SIGCONT);
    stage.closes();
    stage.until(12.0);
    let holders = stage.fleet.cores.iter().filter(|core| {
        let status = core.get_json("/status");
        status.is_some_and(|status| status["duty"]["here"] == true)
    });
    let count = holders.count();
    stage.expect(count == 1, "not exactly one core scales after the wake");
    Ok(())
}

pub fn core_split(stage: &mut Stage) -> Result<(), LabFault> {
    let name = stage.duty_holder().map(|place| format!("core-{place}"));
    cut_off(stage, &name.unwrap_or_else(|| "core-0".into()))
}

pub fn front_cut_off(stage: &mut Stage) -> Result<(), LabFault> {
    cut_off(stage, "front-2")
}

pub fn cut_off(stage: &mut Stage, name: &str) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    if let Some(relays) = &stage.fleet.relays {
        relays.cut_off(name);
    }
    stage.until(11.0);
    if let Some(relays) = &stage.fleet.relays {
        relays.heal();
    }
    stage.closes();
    Ok(())
}

pub fn one_way(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    let names: Vec<String> = stage.fleet.daemons().map(|one| one.name.clone()).collect();
    if let Some(relays) = &stage.fleet.relays {
        for name in &names {
            relays.cut_one_way("front-2", name);
        }
    }
    stage.until(11.0);
    if let Some(relays) = &stage.fleet.relays {
        relays.heal();
    }
    stage.closes();
    Ok(())
}

/// Every daemon is killed at once and started again with its disk.
pub fn all_killed(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    for core in &mut stage.fleet.cores {
        core.kill();
    }
    for front in &mut stage.fleet.fronts {
        front.kill();
    }
    stage.until(8.0);
    let dir = stage.fleet.dir.clone();
    for core in &mut stage.fleet.cores {
        core.start(&dir)?;
    }
    for front in &mut stage.fleet.fronts {
        front.start(&dir)?;
    }
    stage.closes();
    Ok(())
}

/// Failures of three kinds that overlap.
pub fn two_at_once(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    stage.fleet.fronts[1].kill();
    stage.until(6.0);
    let holder = stage.duty_holder().unwrap_or(0);
    stage.fleet.workers[2].kill();
    stage.fleet.cores[holder].signal(libc::SIGSTOP);
    stage.until(11.0);
    let dir = stage.fleet.dir.clone();
    stage.fleet.cores[holder].signal(libc::SIGCONT);
    stage.fleet.workers[2].start(&dir)?;
    stage.fleet.fronts[1].start(&dir)?;
    stage.closes();
    Ok(())
}
