use crate::deployment::LabFault;
use crate::failing_disks::put_figures;
use crate::judge;
use crate::keeping_on::KeepingOn;
use crate::ledger::unix_now_ms;
use crate::operating::set_state;
use crate::stage::Stage;
use serde_json::Value;
use std::time::Instant;

fn listing<'a>(blueprint: &'a mut Value, name: &str) -> Option<&'a mut Value> {
    let listings = blueprint["listings"].as_array_mut()?;
    listings.iter_mut().find(|one| one["name"] == name)
}

/// Callers that keep their connections ask on while the daemons are restarted one by one, and some
/// answers take long.
pub fn rolling_restart(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(3.0);
    stage.may_lose = false;
    stage.may_refuse = false;
    let rare = stage.deployment.groups[1].prefix.clone();
    for function in stage.deployment.functions(&rare).iter().take(20) {
        stage.mischief(function, Some("slow"), 0.3);
    }
    let fronts = stage.fleet.fronts.iter().map(|front| front.http).collect();
    let group = stage.deployment.groups[0].clone();
    let kind = group.kinds.last().cloned().unwrap_or_default();
    let keeping_on = KeepingOn::begin(fronts, &format!("{}-000", group.prefix), &kind);
    stage.fails();
    let dir = stage.fleet.dir.clone();
    let began = Instant::now();
    for place in 0..stage.fleet.fronts.len() {
        let front = &mut stage.fleet.fronts[place];
        front.signal(libc::SIGTERM);
        let code = front.wait();
        stage.expect(code == Some(0), "a front did not stop in order");
        stage.start_front(place)?;
    }
    for place in 0..stage.fleet.cores.len() {
        let core = &mut stage.fleet.cores[place];
        core.signal(libc::SIGTERM);
        let code = core.wait();
        core.start(&dir)?;
        stage.expect(code == Some(0), "a core did not stop in order");
        stage.fleet.wait_until("the core is back", |fleet| {
            let status = fleet.cores[place].get_json("/status");
            status.is_some_and(|status| status["era"].as_u64() > Some(0))
        })?;
    }
    stage.note(format!(
        "all restarted in {:.1} s",
        began.elapsed().as_secs_f64()
    ));
    stage.closes();
    stage.until(50.0);
    let (asked, kept, cut) = keeping_on.end();
    stage.note(format!(
        "{asked} asks of callers that keep their connections, {kept} on one used before, {cut} cut"
    ));
    stage.expect(kept > 100, "hardly any connection was kept");
    stage.expect(
        cut == 0,
        "kept connections were cut with a request under way",
    );
    Ok(())
}

/// Planned changes of every kind, under slow answers: nothing in flight may be lost.
pub fn planned_changes(stage: &mut Stage) -> Result<(), LabFault> {
    stage.may_lose = false;
    let groups = stage.deployment.groups.clone();
    for group in &groups {
        for function in stage.deployment.functions(&group.prefix).iter().take(20) {
            stage.mischief(function, Some("slow"), 0.1);
        }
    }
    let busy = format!("{}-000", groups[0].prefix);
    let rare = format!("{}-001", groups[1].prefix);
    stage.until(3.0);
    stage.put_edited(|blueprint| blueprint["bounds"]["cooldown_ms"] = 2_000.into())?;
    stage.until(8.0);
    stage.put_edited(|blueprint| {
        if let Some(listing) = listing(blueprint, &busy) {
            listing["concurrency"] = 2.into();
        }
    })?;
    stage.until(11.0);
    stage.put_edited(|blueprint| {
        let listings = blueprint["listings"].as_array_mut();
        listings
            .into_iter()
            .for_each(|all| all.retain(|one| one["name"] != rare.as_str()));
    })?;
    stage.until(14.0);
    stage.put_edited(|blueprint| set_state(blueprint, "b", "evacuated"))?;
    stage.until(20.0);
    stage.put_edited(|blueprint| set_state(blueprint, "b", "open"))?;
    stage.until(23.0);
    let name = stage.fleet.workers[0].name.clone();
    let uri = format!("http://{}/lab/leave/{name}", stage.fleet.platform.http);
    let told = stage.post(&uri, Vec::new());
    stage.expect(told == Some(200), "the platform did not take the leave");
    Ok(())
}

/// A change that is felt at the runners, while one front is frozen, one cut off and one killed: a
/// lowered concurrency, a removed listing, a kind that is no longer taken, a closed district.
pub fn change_in_deed(stage: &mut Stage) -> Result<(), LabFault> {
    let groups = stage.deployment.groups.clone();
    let name = |group: usize, number: usize| format!("{}-{number:03}", groups[group].prefix);
    let (lowered, unkind, removed) = (name(0, 0), name(0, 1), name(0, 2));
    let gone_kind = groups[0].kinds.last().cloned().unwrap_or_default();
    stage.until(5.0);
    stage.fleet.fronts[1].signal(libc::SIGSTOP);
    if let Some(relays) = &stage.fleet.relays {
        relays.cut_off("front-2");
    }
    let dir = stage.fleet.dir.clone();
    stage.fleet.fronts[0].kill();
    stage.fleet.fronts[0].start(&dir)?;
    let (version, mut blueprint) = stage.blueprint()?;
    if let Some(listing) = listing(&mut blueprint, &lowered) {
        listing["concurrency"] = 1.into();
    }
    if let Some(listing) = listing(&mut blueprint, &unkind) {
        let kinds = listing["kinds"].as_array_mut();
        kinds
            .into_iter()
            .for_each(|kinds| kinds.retain(|kind| *kind != gone_kind.as_str()));
    }
    let listings = blueprint["listings"].as_array_mut();
    listings
        .into_iter()
        .for_each(|all| all.retain(|one| one["name"] != removed.as_str()));
    set_state(&mut blueprint, "c", "evacuated");
    let began = Instant::now();
    let told = stage.fleet.put(&blueprint.to_string(), version);
    let acknowledged_at = unix_now_ms();
    stage.expect(
        told.is_some_and(|(status, _)| status == 200),
        "the put was not taken",
    );
    stage.note(format!(
        "acknowledged in {} ms",
        began.elapsed().as_millis()
    ));
    let bounds = stage.deployment.bounds.clone();
    stage
        .deeds
        .push((lowered, "lowered", acknowledged_at + bounds.change_ms));
    stage
        .deeds
        .push((removed, "removed", acknowledged_at + bounds.change_ms));
    let kind_since = acknowledged_at + bounds.change_ms;
    stage.gone_kind = Some((unkind, gone_kind, kind_since));
    stage
        .no_work
        .push(("c".into(), acknowledged_at + bounds.evacuation_ms, u64::MAX));
    stage.until(8.0);
    stage.fleet.fronts[1].signal(libc::SIGCONT);
    stage.until(10.0);
    if let Some(relays) = &stage.fleet.relays {
        relays.heal();
    }
    stage.wanted = vec![judge::IN_FLIGHT, judge::WARMING, judge::WRONG];
    Ok(())
}

/// A district that was evacuated is let in again, and works.
pub fn reopened(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(3.0);
    stage.put_edited(|blueprint| set_state(blueprint, "c", "evacuated"))?;
    stage.until(14.0);
    stage.fails();
    let (acknowledged, held) = stage.put_edited(|blueprint| set_state(blueprint, "c", "open"))?;
    stage.reopened = Some(("c".into(), unix_now_ms()));
    stage.closes();
    put_figures(stage, acknowledged, held);
    // The others are closed, so that the district must carry the work.
    stage.put_edited(|blueprint| {
        set_state(blueprint, "a", "evacuated");
        set_state(blueprint, "b", "evacuated");
    })?;
    Ok(())
}
