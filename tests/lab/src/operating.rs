use crate::deployment::LabFault;
use crate::failing_disks::put_figures;
use crate::ledger::unix_now_ms;
use crate::stage::Stage;
use serde_json::Value;

pub fn set_state(blueprint: &mut Value, district: &str, state: &str) {
    for known in blueprint["districts"].as_array_mut().into_iter().flatten() {
        if known["name"] == district {
            known["state"] = state.into();
        }
    }
}

pub fn evacuate(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    let began = unix_now_ms();
    let (acknowledged, held) =
        stage.put_edited(|blueprint| set_state(blueprint, "a", "evacuated"))?;
    stage.closes();
    put_figures(stage, acknowledged, held);
    let bound = stage.deployment.bounds.evacuation_ms;
    stage.no_work.push(("a".into(), began + bound, u64::MAX));
    Ok(())
}

pub fn puts_race(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(2.0);
    let mut stale = 0;
    for round in 0..10u64 {
        let (version, blueprint) = stage.blueprint()?;
        let texts: Vec<String> = (0..2u64)
            .map(|writer| {
                let mut own = blueprint.clone();
                own["bounds"]["claim_ms"] = (600_000 + round * 10 + writer).into();
                own.to_string()
            })
            .collect();
        let fleet = &stage.fleet;
        let answers: Vec<u16> = std::thread::scope(|scope| {
            let puts: Vec<_> = texts
                .iter()
                .enumerate()
                .map(|(place, text)| scope.spawn(move || fleet.put_at(place, text, version)))
                .collect();
            let joined = puts.into_iter().map(|put| put.join().ok().flatten());
            joined
                .map(|told| told.map_or(0, |(status, _)| status))
                .collect()
        });
        let won = answers.iter().filter(|status| **status == 200).count();
        stale += answers.iter().filter(|status| **status == 409).count();
        let text = format!("round {round}: {won} puts won, answers {answers:?}");
        stage.expect(won <= 1, &text);
    }
    stage.note(format!("10 races: {stale} losers were told 409"));
    Ok(())
}

pub fn puts_storm(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(2.0);
    let mut acknowledged = Vec::new();
    let mut held = Vec::new();
    for round in 0..60u64 {
        let (first, second) = stage.put_edited(|blueprint| {
            blueprint["bounds"]["claim_ms"] = (600_000 + round).into();
        })?;
        acknowledged.push(first.as_millis());
        held.push(second.as_millis());
    }
    acknowledged.sort_unstable();
    held.sort_unstable();
    stage.note(format!(
        "60 puts: acknowledged in {} ms at the median and {} at most; held by all in {} and {}",
        acknowledged[30], acknowledged[59], held[30], held[59]
    ));
    let bound = u128::from(stage.deployment.bounds.change_ms);
    stage.expect(
        held[59] <= bound,
        "a put was not held by all within the bound",
    );
    Ok(())
}

pub fn blueprint_bound(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(3.0);
    for size in [500, 1_000, 2_000] {
        let (acknowledged, held) = stage.put_edited(|blueprint| {
            let Some(listings) = blueprint["listings"].as_array_mut() else {
                return;
            };
            let Some(last) = listings.last().cloned() else {
                return;
            };
            for number in listings.len()..size {
                let mut listing = last.clone();
                listing["name"] = format!("grown-{number}").into();
                listings.push(listing);
            }
        })?;
        stage.note(format!("{size} listings"));
        put_figures(stage, acknowledged, held);
    }
    Ok(())
}
