use crate::context::ScenarioContext;
use crate::deployment::LabError;
use crate::judge;
use crate::run_log::unix_now_ms;

pub fn inject_runner_fault(
    context: &mut ScenarioContext,
    runner_fault: &str,
    share: f64,
) -> Result<(), LabError> {
    context.until(4.0);
    // With a slow or stalled runner, the attempt uses up the whole time budget, so the call is not retried.
    if !matches!(runner_fault, "slow" | "stall") {
        context.wanted.push(judge::RETRIES);
    }
    let groups = context.deployment.groups.clone();
    let functions = groups.iter().flat_map(|group| {
        let names = context.deployment.functions(&group.prefix);
        names.into_iter().take(2)
    });
    let functions: Vec<String> = functions.collect();
    context.fails();
    for function in &functions {
        context.runner_fault(function, Some(runner_fault), share);
    }
    context.until(12.0);
    for function in &functions {
        context.runner_fault(function, None, 0.0);
    }
    context.closes();
    Ok(())
}

/// All callers arrive at once; the failure window ends after the first second.
pub fn rush(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.fails();
    context.until(1.0);
    context.closes();
    Ok(())
}

pub fn zone_lost(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    lose_zone(context);
    Ok(())
}

pub fn zone_lost_rush(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(0.3);
    lose_zone(context);
    Ok(())
}

fn lose_zone(context: &mut ScenarioContext) {
    context.fails();
    let deployment = context.deployment.clone();
    for (index, zone) in deployment.cores.iter().enumerate() {
        if zone == "c" {
            context.fleet.cores[index].kill();
        }
    }
    for (index, zone) in deployment.fronts.iter().enumerate() {
        if zone == "c" {
            context.fleet.fronts[index].kill();
        }
    }
    for worker in &mut context.fleet.workers {
        if worker.name.starts_with("worker-c") {
            worker.kill();
        }
    }
    context.closes();
}

pub fn workers_crash(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    for index in [0, 1] {
        context.fleet.workers[index].kill();
    }
    context.until(10.0);
    let dir = context.fleet.dir.clone();
    for index in [0, 1] {
        context.fleet.workers[index].start(&dir)?;
    }
    context.closes();
    Ok(())
}

pub fn worker_leaving(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    context.fails();
    let name = context.fleet.workers[0].name.clone();
    let uri = format!("http://{}/lab/leave/{name}", context.fleet.platform.http);
    let reported = context.post(&uri, Vec::new());
    context.expect(
        reported == Some(200),
        "the platform did not accept the leave command",
    );
    context.closes();
    // The platform's lists are delayed; the bound counts from the time when they show the change.
    let lag = context.deployment.list_lag_ms;
    let since = unix_now_ms() + lag + context.deployment.bounds.change_ms;
    context.until(20.0);
    let run_log = context.fleet.dir.join("ledgers").join(&name);
    let text = std::fs::read_to_string(run_log).unwrap_or_default();
    let late_runs = text.lines().filter(|line| {
        let time = line
            .split(' ')
            .next()
            .and_then(|word| word.parse::<u64>().ok());
        time.is_some_and(|time| time > since)
    });
    let count = late_runs.count();
    context.note(format!(
        "{count} runs on the leaving worker after the bound"
    ));
    context.expect(count == 0, "a leaving worker got new work after the bound");
    Ok(())
}

pub fn address_reused(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.until(5.0);
    let holder = context.role_holder().unwrap_or(0);
    let runners = context.fleet.cores[holder].runners();
    let groups = context.deployment.groups.clone();
    let (busy, rare) = (&groups[0].prefix, &groups[1].prefix);
    let busy_runner = runners.iter().find(|runner| {
        let function = runner["function"].as_str().unwrap_or_default();
        function == format!("{busy}-000")
    });
    let Some(runner) = busy_runner else {
        return Err(LabError::Fleet("no runner of the first function".into()));
    };
    let text = |field: &str| runner[field].as_str().unwrap_or_default().to_string();
    let worker = context
        .fleet
        .workers
        .iter()
        .find(|candidate| candidate.name == text("worker"));
    let control = worker
        .map(|worker| worker.http.to_string())
        .unwrap_or_default();
    context.fails();
    context.post(&format!("http://{control}/stop/{}", text("id")), Vec::new());
    let command = serde_json::json!({
        "id": "stranger.1", "function": format!("{rare}-000"),
        "address": text("address"), "key": "00",
    });
    let body = serde_json::to_vec(&command).unwrap_or_default();
    let reported = context.post(&format!("http://{control}/start"), body);
    context.expect(reported == Some(202), "the stranger did not start");
    context.wanted.push(judge::MISDIRECTED);
    context.closes();
    Ok(())
}
