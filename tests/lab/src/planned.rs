use crate::context::ScenarioContext;
use crate::deployment::LabError;
use crate::failing_disks::report_put_times;
use crate::judge;
use crate::keep_alive_callers::KeepAliveCallers;
use crate::operating::set_state;
use crate::run_log::unix_now_ms;
use serde_json::Value;
use std::time::Instant;

fn function_spec<'a>(configuration: &'a mut Value, name: &str) -> Option<&'a mut Value> {
    let function_specs = configuration["listings"].as_array_mut()?;
    function_specs.iter_mut().find(|one| one["name"] == name)
}

/// Callers that keep their connections ask on while the daemons are restarted one by one, and some
/// answers take long.
pub fn rolling_restart(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(3.0);
    context.may_lose = false;
    context.may_refuse = false;
    let rare = context.deployment.groups[1].prefix.clone();
    for function in context.deployment.functions(&rare).iter().take(20) {
        context.runner_fault(function, Some("slow"), 0.3);
    }
    let fronts = context
        .fleet
        .fronts
        .iter()
        .map(|front| front.http)
        .collect();
    let group = context.deployment.groups[0].clone();
    let kind = group.kinds.last().cloned().unwrap_or_default();
    let callers = KeepAliveCallers::start(fronts, &format!("{}-000", group.prefix), &kind);
    context.fails();
    let dir = context.fleet.dir.clone();
    let began = Instant::now();
    for place in 0..context.fleet.fronts.len() {
        let front = &mut context.fleet.fronts[place];
        front.signal(libc::SIGTERM);
        let code = front.wait();
        context.expect(code == Some(0), "a front did not stop in order");
        context.start_front(place)?;
    }
    for place in 0..context.fleet.cores.len() {
        let core = &mut context.fleet.cores[place];
        core.signal(libc::SIGTERM);
        let code = core.wait();
        core.start(&dir)?;
        context.expect(code == Some(0), "a core did not stop in order");
        context.fleet.wait_until("the core is back", |fleet| {
            let status = fleet.cores[place].get_json("/status");
            status.is_some_and(|status| status["era"].as_u64() > Some(0))
        })?;
    }
    context.note(format!(
        "all restarted in {:.1} s",
        began.elapsed().as_secs_f64()
    ));
    context.closes();
    context.until(50.0);
    let (asked, kept, cut) = callers.stop();
    context.note(format!(
        "{asked} asks of callers that keep their connections, {kept} on one used before, {cut} cut"
    ));
    context.expect(kept > 100, "hardly any connection was kept");
    context.expect(
        cut == 0,
        "kept connections were cut with a request under way",
    );
    Ok(())
}

/// Planned changes of every kind, under slow answers: nothing in flight may be lost.
pub fn planned_changes(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.may_lose = false;
    let groups = context.deployment.groups.clone();
    for group in &groups {
        for function in context.deployment.functions(&group.prefix).iter().take(20) {
            context.runner_fault(function, Some("slow"), 0.1);
        }
    }
    let busy = format!("{}-000", groups[0].prefix);
    let rare = format!("{}-001", groups[1].prefix);
    context.until(3.0);
    context.put_edited(|configuration| configuration["bounds"]["cooldown_ms"] = 2_000.into())?;
    context.until(8.0);
    context.put_edited(|configuration| {
        if let Some(function_spec) = function_spec(configuration, &busy) {
            function_spec["concurrency"] = 2.into();
        }
    })?;
    context.until(11.0);
    context.put_edited(|configuration| {
        let function_specs = configuration["listings"].as_array_mut();
        function_specs
            .into_iter()
            .for_each(|all| all.retain(|one| one["name"] != rare.as_str()));
    })?;
    context.until(14.0);
    context.put_edited(|configuration| set_state(configuration, "b", "evacuated"))?;
    context.until(20.0);
    context.put_edited(|configuration| set_state(configuration, "b", "open"))?;
    context.until(23.0);
    let name = context.fleet.workers[0].name.clone();
    let uri = format!("http://{}/lab/leave/{name}", context.fleet.platform.http);
    let reported = context.post(&uri, Vec::new());
    context.expect(reported == Some(200), "the platform did not take the leave");
    Ok(())
}

/// A change that is felt at the runners, while one front is frozen, one cut off and one killed: a
/// lowered concurrency, a removed listing, a kind that is no longer taken, a closed zone.
pub fn change_in_deed(context: &mut ScenarioContext) -> Result<(), LabError> {
    let groups = context.deployment.groups.clone();
    let name = |group: usize, number: usize| format!("{}-{number:03}", groups[group].prefix);
    let (lowered, unkind, removed) = (name(0, 0), name(0, 1), name(0, 2));
    let gone_kind = groups[0].kinds.last().cloned().unwrap_or_default();
    context.until(5.0);
    context.fleet.fronts[1].signal(libc::SIGSTOP);
    if let Some(relays) = &context.fleet.relays {
        relays.cut_off("front-2");
    }
    let dir = context.fleet.dir.clone();
    context.fleet.fronts[0].kill();
    context.fleet.fronts[0].start(&dir)?;
    let (version, mut configuration) = context.configuration()?;
    if let Some(function_spec) = function_spec(&mut configuration, &lowered) {
        function_spec["concurrency"] = 1.into();
    }
    if let Some(function_spec) = function_spec(&mut configuration, &unkind) {
        let kinds = function_spec["kinds"].as_array_mut();
        kinds
            .into_iter()
            .for_each(|kinds| kinds.retain(|kind| *kind != gone_kind.as_str()));
    }
    let function_specs = configuration["listings"].as_array_mut();
    function_specs
        .into_iter()
        .for_each(|all| all.retain(|one| one["name"] != removed.as_str()));
    set_state(&mut configuration, "c", "evacuated");
    let began = Instant::now();
    let reported = context.fleet.put(&configuration.to_string(), version);
    let acknowledged_at = unix_now_ms();
    context.expect(
        reported.is_some_and(|(status, _)| status == 200),
        "the put was not taken",
    );
    context.note(format!(
        "acknowledged in {} ms",
        began.elapsed().as_millis()
    ));
    let bounds = context.deployment.bounds.clone();
    context
        .changes_made
        .push((lowered, "lowered", acknowledged_at + bounds.change_ms));
    context
        .changes_made
        .push((removed, "removed", acknowledged_at + bounds.change_ms));
    let kind_since = acknowledged_at + bounds.change_ms;
    context.gone_kind = Some((unkind, gone_kind, kind_since));
    context
        .no_work
        .push(("c".into(), acknowledged_at + bounds.evacuation_ms, u64::MAX));
    context.until(8.0);
    context.fleet.fronts[1].signal(libc::SIGCONT);
    context.until(10.0);
    if let Some(relays) = &context.fleet.relays {
        relays.heal();
    }
    context.wanted = vec![judge::IN_FLIGHT, judge::WARMING, judge::WRONG];
    Ok(())
}

/// A zone that was evacuated is let in again, and works.
pub fn reopened(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(3.0);
    context.put_edited(|configuration| set_state(configuration, "c", "evacuated"))?;
    context.until(14.0);
    context.fails();
    let (acknowledged, held) =
        context.put_edited(|configuration| set_state(configuration, "c", "open"))?;
    context.reopened = Some(("c".into(), unix_now_ms()));
    context.closes();
    report_put_times(context, acknowledged, held);
    // The others are closed, so that the zone must carry the work.
    context.put_edited(|configuration| {
        set_state(configuration, "a", "evacuated");
        set_state(configuration, "b", "evacuated");
    })?;
    Ok(())
}
