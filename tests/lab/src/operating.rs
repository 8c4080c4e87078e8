use crate::context::ScenarioContext;
use crate::deployment::LabError;
use crate::failing_disks::report_put_times;
use crate::run_log::unix_now_ms;
use serde_json::Value;

pub fn set_state(configuration: &mut Value, zone: &str, state: &str) {
    for district in configuration["districts"]
        .as_array_mut()
        .into_iter()
        .flatten()
    {
        if district["name"] == zone {
            district["state"] = state.into();
        }
    }
}

pub fn evacuate(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    let start_ms = unix_now_ms();
    let (acknowledged, held) =
        context.put_edited(|configuration| set_state(configuration, "a", "evacuated"))?;
    context.closes();
    report_put_times(context, acknowledged, held);
    let bound = context.deployment.bounds.evacuation_ms;
    context
        .no_work
        .push(("a".into(), start_ms + bound, u64::MAX));
    Ok(())
}

pub fn concurrent_puts(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(2.0);
    let mut conflicts = 0;
    for round in 0..10u64 {
        let (version, configuration) = context.configuration()?;
        let texts: Vec<String> = (0..2u64)
            .map(|writer| {
                let mut edited = configuration.clone();
                edited["bounds"]["claim_ms"] = (600_000 + round * 10 + writer).into();
                edited.to_string()
            })
            .collect();
        let fleet = &context.fleet;
        let statuses: Vec<u16> = std::thread::scope(|scope| {
            let puts: Vec<_> = texts
                .iter()
                .enumerate()
                .map(|(index, text)| scope.spawn(move || fleet.put_at(index, text, version)))
                .collect();
            let responses = puts.into_iter().map(|put| put.join().ok().flatten());
            responses
                .map(|reported| reported.map_or(0, |(status, _)| status))
                .collect()
        });
        let accepted = statuses.iter().filter(|status| **status == 200).count();
        conflicts += statuses.iter().filter(|status| **status == 409).count();
        let text = format!("round {round}: {accepted} puts accepted, statuses {statuses:?}");
        context.expect(accepted <= 1, &text);
    }
    context.note(format!(
        "10 rounds: {conflicts} puts were rejected with 409"
    ));
    Ok(())
}

pub fn consecutive_puts(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(2.0);
    let mut acknowledged = Vec::new();
    let mut held = Vec::new();
    for round in 0..60u64 {
        let (first, second) = context.put_edited(|configuration| {
            configuration["bounds"]["claim_ms"] = (600_000 + round).into();
        })?;
        acknowledged.push(first.as_millis());
        held.push(second.as_millis());
    }
    acknowledged.sort_unstable();
    held.sort_unstable();
    context.note(format!(
        "60 puts: acknowledged in {} ms at the median and {} at most; held by all in {} and {}",
        acknowledged[30], acknowledged[59], held[30], held[59]
    ));
    let bound = u128::from(context.deployment.bounds.change_ms);
    context.expect(
        held[59] <= bound,
        "a put was not held by all within the bound",
    );
    Ok(())
}

pub fn largest_configuration(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(3.0);
    for size in [500, 1_000, 2_000] {
        let (acknowledged, held) = context.put_edited(|configuration| {
            let Some(function_specs) = configuration["listings"].as_array_mut() else {
                return;
            };
            let Some(last_spec) = function_specs.last().cloned() else {
                return;
            };
            for number in function_specs.len()..size {
                let mut function_spec = last_spec.clone();
                function_spec["name"] = format!("grown-{number}").into();
                function_specs.push(function_spec);
            }
        })?;
        context.note(format!("{size} listings"));
        report_put_times(context, acknowledged, held);
    }
    Ok(())
}
