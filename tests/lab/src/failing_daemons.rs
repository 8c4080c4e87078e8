use crate::context::ScenarioContext;
use crate::deployment::LabError;

pub fn front_killed(context: &mut ScenarioContext) -> Result<(), LabError> {
    kill_fronts(context, &[0])
}

pub fn fronts_herd(context: &mut ScenarioContext) -> Result<(), LabError> {
    kill_fronts(context, &[0, 1, 2])
}

pub fn kill_fronts(context: &mut ScenarioContext, places: &[usize]) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    for place in places {
        context.fleet.fronts[*place].kill();
    }
    context.until(9.0);
    let dir = context.fleet.dir.clone();
    for place in places {
        context.fleet.fronts[*place].start(&dir)?;
    }
    context.closes();
    Ok(())
}

pub fn front_frozen(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    context.fleet.fronts[1].signal(libc::SIGSTOP);
    context.until(9.0);
    context.fleet.fronts[1].signal(libc::SIGCONT);
    context.closes();
    Ok(())
}

pub fn core_killed(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    let place = context.role_holder().unwrap_or(0);
    context.fails();
    context.fleet.cores[place].kill();
    context.until(9.0);
    let next = context.role_holder();
    context.expect(next.is_some(), "no core took the duty within 4 s");
    let dir = context.fleet.dir.clone();
    context.fleet.cores[place].start(&dir)?;
    context.closes();
    Ok(())
}

pub fn scaler_frozen(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    let place = context.role_holder().unwrap_or(0);
    context.fails();
    context.fleet.cores[place].signal(libc::SIGSTOP);
    context.until(10.0);
    context.fleet.cores[place].signal(libc::SIGCONT);
    context.closes();
    context.until(12.0);
    let holders = context.fleet.cores.iter().filter(|core| {
        let status = core.get_json("/status");
        status.is_some_and(|status| status["duty"]["here"] == true)
    });
    let count = holders.count();
    context.expect(count == 1, "not exactly one core scales after the wake");
    Ok(())
}

pub fn core_split(context: &mut ScenarioContext) -> Result<(), LabError> {
    let name = context.role_holder().map(|place| format!("core-{place}"));
    cut_off(context, &name.unwrap_or_else(|| "core-0".into()))
}

pub fn front_cut_off(context: &mut ScenarioContext) -> Result<(), LabError> {
    cut_off(context, "front-2")
}

pub fn cut_off(context: &mut ScenarioContext, name: &str) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    if let Some(relays) = &context.fleet.relays {
        relays.cut_off(name);
    }
    context.until(11.0);
    if let Some(relays) = &context.fleet.relays {
        relays.heal();
    }
    context.closes();
    Ok(())
}

pub fn one_way(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    let names: Vec<String> = context
        .fleet
        .daemons()
        .map(|one| one.name.clone())
        .collect();
    if let Some(relays) = &context.fleet.relays {
        for name in &names {
            relays.cut_one_way("front-2", name);
        }
    }
    context.until(11.0);
    if let Some(relays) = &context.fleet.relays {
        relays.heal();
    }
    context.closes();
    Ok(())
}

/// Every daemon is killed at once and started again with its disk.
pub fn all_killed(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    for core in &mut context.fleet.cores {
        core.kill();
    }
    for front in &mut context.fleet.fronts {
        front.kill();
    }
    context.until(8.0);
    let dir = context.fleet.dir.clone();
    for core in &mut context.fleet.cores {
        core.start(&dir)?;
    }
    for front in &mut context.fleet.fronts {
        front.start(&dir)?;
    }
    context.closes();
    Ok(())
}

/// Failures of three kinds that overlap.
pub fn two_at_once(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    context.fleet.fronts[1].kill();
    context.until(6.0);
    let holder = context.role_holder().unwrap_or(0);
    context.fleet.workers[2].kill();
    context.fleet.cores[holder].signal(libc::SIGSTOP);
    context.until(11.0);
    let dir = context.fleet.dir.clone();
    context.fleet.cores[holder].signal(libc::SIGCONT);
    context.fleet.workers[2].start(&dir)?;
    context.fleet.fronts[1].start(&dir)?;
    context.closes();
    Ok(())
}
