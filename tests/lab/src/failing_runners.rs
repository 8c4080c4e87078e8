use crate::deployment::LabFault;
use crate::judge;
use crate::ledger::unix_now_ms;
use crate::stage::Stage;

pub fn misbehave(stage: &mut Stage, mischief: &str, share: f64) -> Result<(), LabFault> {
    stage.until(4.0);
    // A runner that never answers, or late, ends its try with the budget, so that none is tried again.
    if !matches!(mischief, "slow" | "stall") {
        stage.wanted.push(judge::RETRIES);
    }
    let groups = stage.deployment.groups.clone();
    let functions = groups.iter().flat_map(|group| {
        let names = stage.deployment.functions(&group.prefix);
        names.into_iter().take(2)
    });
    let functions: Vec<String> = functions.collect();
    stage.fails();
    for function in &functions {
        stage.mischief(function, Some(mischief), share);
    }
    stage.until(12.0);
    for function in &functions {
        stage.mischief(function, None, 0.0);
    }
    stage.closes();
    Ok(())
}

/// Everyone arrives at once; the failure closes with the arrival.
pub fn rush(stage: &mut Stage) -> Result<(), LabFault> {
    stage.fails();
    stage.until(1.0);
    stage.closes();
    Ok(())
}

pub fn zone_lost(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    lose_zone(stage);
    Ok(())
}

pub fn zone_lost_rush(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(0.3);
    lose_zone(stage);
    Ok(())
}

fn lose_zone(stage: &mut Stage) {
    stage.fails();
    let deployment = stage.deployment.clone();
    for (place, district) in deployment.cores.iter().enumerate() {
        if district == "c" {
            stage.fleet.cores[place].kill();
        }
    }
    for (place, district) in deployment.fronts.iter().enumerate() {
        if district == "c" {
            stage.fleet.fronts[place].kill();
        }
    }
    for worker in &mut stage.fleet.workers {
        if worker.name.starts_with("worker-c") {
            worker.kill();
        }
    }
    stage.closes();
}

pub fn workers_crash(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    for place in [0, 1] {
        stage.fleet.workers[place].kill();
    }
    stage.until(10.0);
    let dir = stage.fleet.dir.clone();
    for place in [0, 1] {
        stage.fleet.workers[place].start(&dir)?;
    }
    stage.closes();
    Ok(())
}

pub fn worker_leaving(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    let name = stage.fleet.workers[0].name.clone();
    let uri = format!("http://{}/lab/leave/{name}", stage.fleet.platform.http);
    let told = stage.post(&uri, Vec::new());
    stage.expect(told == Some(200), "the platform did not take the leave");
    stage.closes();
    // The platform's lists lag; the bound counts from when they tell it.
    let lag = stage.deployment.list_lag_ms;
    let since = unix_now_ms() + lag + stage.deployment.bounds.change_ms;
    stage.until(20.0);
    let ledger = stage.fleet.dir.join("ledgers").join(&name);
    let text = std::fs::read_to_string(ledger).unwrap_or_default();
    let late = text.lines().filter(|line| {
        let time = line
            .split(' ')
            .next()
            .and_then(|word| word.parse::<u64>().ok());
        time.is_some_and(|time| time > since)
    });
    let count = late.count();
    stage.note(format!(
        "{count} runs on the leaving worker after the bound"
    ));
    stage.expect(count == 0, "a leaving worker got new work after the bound");
    Ok(())
}

pub fn address_reused(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    let holder = stage.duty_holder().unwrap_or(0);
    let runners = stage.fleet.cores[holder].runners();
    let groups = stage.deployment.groups.clone();
    let (busy, rare) = (&groups[0].prefix, &groups[1].prefix);
    let found = runners.iter().find(|runner| {
        let function = runner["function"].as_str().unwrap_or_default();
        function == format!("{busy}-000")
    });
    let Some(runner) = found else {
        return Err(LabFault::Fleet("no runner of the first function".into()));
    };
    let text = |field: &str| runner[field].as_str().unwrap_or_default().to_string();
    let worker = stage
        .fleet
        .workers
        .iter()
        .find(|one| one.name == text("worker"));
    let control = worker
        .map(|worker| worker.http.to_string())
        .unwrap_or_default();
    stage.fails();
    stage.post(&format!("http://{control}/stop/{}", text("id")), Vec::new());
    let order = serde_json::json!({
        "id": "stranger.1", "function": format!("{rare}-000"),
        "address": text("address"), "key": "00",
    });
    let body = serde_json::to_vec(&order).unwrap_or_default();
    let told = stage.post(&format!("http://{control}/start"), body);
    stage.expect(told == Some(202), "the stranger did not start");
    stage.wanted.push(judge::MISDIRECTED);
    stage.closes();
    Ok(())
}
