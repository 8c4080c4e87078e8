use crate::deployment::LabFault;
use crate::ledger::unix_now_ms;
use crate::stage::Stage;
use serde_json::Value;
use std::time::{Duration, Instant};

type Act = fn(&mut Stage) -> Result<(), LabFault>;

/// A failure that is brought about while traffic runs.
pub struct Scenario {
    pub name: &'static str,
    pub about: &'static str,
    pub needs_relays: bool,
    pub with_crowd: bool,
    pub seconds: u64,
    pub act: Act,
}

fn scenario(name: &'static str, seconds: u64, act: Act, about: &'static str) -> Scenario {
    Scenario {
        name,
        about,
        needs_relays: false,
        with_crowd: false,
        seconds,
        act,
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let mut rush = scenario(
        "rush",
        15,
        |_| Ok(()),
        "everyone arrives at once, everywhere",
    );
    rush.with_crowd = true;
    let mut all = vec![
        rush,
        scenario(
            "lose-answers",
            20,
            |s| misbehave(s, "lose-answer", 0.2),
            "runners run and lose the answer",
        ),
        scenario(
            "garbage",
            20,
            |s| misbehave(s, "garbage", 0.2),
            "runners send garbage",
        ),
        scenario(
            "truncate",
            20,
            |s| misbehave(s, "truncate", 0.2),
            "runners send half an answer",
        ),
        scenario(
            "no-seal",
            20,
            |s| misbehave(s, "no-seal", 0.2),
            "runners do not seal",
        ),
        scenario(
            "foreign",
            20,
            |s| misbehave(s, "foreign", 0.2),
            "runners answer for another request",
        ),
        scenario(
            "stall",
            20,
            |s| misbehave(s, "stall", 0.05),
            "runners never answer",
        ),
        scenario(
            "slow",
            20,
            |s| misbehave(s, "slow", 0.2),
            "runners take ten times as long",
        ),
        scenario(
            "front-killed",
            25,
            front_killed,
            "a front is killed and comes back",
        ),
        scenario(
            "fronts-herd",
            30,
            fronts_herd,
            "three fronts are killed at once and come back",
        ),
        scenario(
            "front-frozen",
            25,
            front_frozen,
            "a front stands still past its lease and wakes",
        ),
        scenario(
            "core-killed",
            25,
            core_killed,
            "the scaling core is killed and comes back",
        ),
        scenario(
            "duty-frozen",
            25,
            duty_frozen,
            "the scaling core stands still and wakes",
        ),
        scenario(
            "disk-machine-lost",
            25,
            disk_machine_lost,
            "a disk machine is lost for good",
        ),
        scenario(
            "disk-replaced",
            45,
            disk_replaced,
            "a disk machine is replaced by an empty one at a new address",
        ),
        scenario(
            "disk-emptied",
            30,
            disk_emptied,
            "a disk machine comes back with an empty disk",
        ),
        scenario(
            "cores-down",
            30,
            cores_down,
            "all cores are down for ten seconds",
        ),
        scenario(
            "wipe",
            40,
            wipe,
            "all disks are wiped and the cores come back",
        ),
        scenario(
            "zone-lost",
            30,
            zone_lost,
            "every machine of a district is lost",
        ),
        scenario(
            "workers-crash",
            30,
            workers_crash,
            "two workers crash with their runners",
        ),
        scenario(
            "worker-leaving",
            25,
            worker_leaving,
            "a worker is emptied by the platform",
        ),
        scenario(
            "address-reused",
            20,
            address_reused,
            "a runner's address belongs to another function",
        ),
        scenario("evacuate", 30, evacuate, "an operator evacuates a district"),
        scenario(
            "puts-race",
            15,
            puts_race,
            "two operators put at the same moment, ten times",
        ),
        scenario(
            "puts-storm",
            25,
            puts_storm,
            "sixty puts one after the other",
        ),
        scenario(
            "blueprint-bound",
            20,
            blueprint_bound,
            "the blueprint grows to its bound of listings",
        ),
        scenario(
            "rolling-restart",
            60,
            rolling_restart,
            "every daemon is restarted in turn as planned",
        ),
    ];
    for (name, act, about) in [
        (
            "core-split",
            core_split as Act,
            "the scaling core is cut off from all daemons",
        ),
        (
            "front-cut-off",
            front_cut_off,
            "a front is cut off from all daemons",
        ),
        (
            "one-way",
            one_way,
            "a front hears the others and is not heard",
        ),
    ] {
        all.push(Scenario {
            needs_relays: true,
            ..scenario(name, 25, act, about)
        });
    }
    all
}

fn misbehave(stage: &mut Stage, mischief: &str, share: f64) -> Result<(), LabFault> {
    stage.until(4.0);
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

fn front_killed(stage: &mut Stage) -> Result<(), LabFault> {
    kill_fronts(stage, &[0])
}

fn fronts_herd(stage: &mut Stage) -> Result<(), LabFault> {
    kill_fronts(stage, &[0, 1, 2])
}

fn kill_fronts(stage: &mut Stage, places: &[usize]) -> Result<(), LabFault> {
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

fn front_frozen(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    stage.fleet.fronts[1].signal(libc::SIGSTOP);
    stage.until(9.0);
    stage.fleet.fronts[1].signal(libc::SIGCONT);
    stage.closes();
    Ok(())
}

fn core_killed(stage: &mut Stage) -> Result<(), LabFault> {
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

fn duty_frozen(stage: &mut Stage) -> Result<(), LabFault> {
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

fn disk_machine_lost(stage: &mut Stage) -> Result<(), LabFault> {
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

fn put_figures(stage: &mut Stage, acknowledged: Duration, held: Duration) {
    stage.note(format!(
        "a put was acknowledged in {} ms and held by all in {} ms",
        acknowledged.as_millis(),
        held.as_millis()
    ));
    let bound = Duration::from_millis(stage.deployment.bounds.change_ms);
    stage.expect(held <= bound, "a put was not held by all within the bound");
}

fn voters(stage: &Stage) -> Vec<Value> {
    let told = stage
        .fleet
        .cores
        .iter()
        .find_map(|core| core.get_json("/status"));
    let voters = told.map(|told| told["voters"].as_array().cloned().unwrap_or_default());
    voters.unwrap_or_default()
}

fn disk_replaced(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(4.0);
    stage.fails();
    stage.fleet.cores[2].kill();
    stage.closes();
    let district = stage.deployment.cores[2].clone();
    stage.fleet.add_core(&district)?;
    let began = Instant::now();
    let address = "3";
    while !voters(stage)
        .iter()
        .any(|voter| voter.as_str().is_some_and(|text| text.ends_with(address)))
        && began.elapsed() < Duration::from_secs(30)
    {
        std::thread::sleep(Duration::from_millis(50));
    }
    stage.note(format!(
        "the empty core was a voter after {:.1} s",
        began.elapsed().as_secs_f64()
    ));
    // The newcomer must carry a majority together with one old voter.
    stage.fleet.cores[1].kill();
    stage.until(33.0);
    let (acknowledged, held) = stage.put_edited(|blueprint| {
        blueprint["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(stage, acknowledged, held);
    Ok(())
}

fn disk_emptied(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(4.0);
    stage.fails();
    stage.fleet.cores[2].kill();
    empty_disk(stage, 2)?;
    let dir = stage.fleet.dir.clone();
    stage.fleet.cores[2].start(&dir)?;
    stage.closes();
    stage.until(14.0);
    stage.fleet.cores[1].kill();
    stage.until(18.0);
    let (acknowledged, held) = stage.put_edited(|blueprint| {
        blueprint["bounds"]["claim_ms"] = 700_000.into();
    })?;
    put_figures(stage, acknowledged, held);
    Ok(())
}

fn empty_disk(stage: &Stage, place: usize) -> Result<(), LabFault> {
    let data = stage.fleet.dir.join("data").join(format!("core-{place}"));
    std::fs::remove_dir_all(data).map_err(|error| LabFault::Fleet(error.to_string()))
}

fn cores_down(stage: &mut Stage) -> Result<(), LabFault> {
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

fn wipe(stage: &mut Stage) -> Result<(), LabFault> {
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

fn zone_lost(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
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
    Ok(())
}

fn workers_crash(stage: &mut Stage) -> Result<(), LabFault> {
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

fn worker_leaving(stage: &mut Stage) -> Result<(), LabFault> {
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

fn address_reused(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    let holder = stage.duty_holder().unwrap_or(0);
    let status = stage.fleet.cores[holder]
        .get_json("/status")
        .unwrap_or_default();
    let runners = status["runners"].as_array().cloned().unwrap_or_default();
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
    stage.closes();
    Ok(())
}

fn set_state(blueprint: &mut Value, district: &str, state: &str) {
    for known in blueprint["districts"].as_array_mut().into_iter().flatten() {
        if known["name"] == district {
            known["state"] = state.into();
        }
    }
}

fn evacuate(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(5.0);
    stage.fails();
    let began = unix_now_ms();
    let (acknowledged, held) =
        stage.put_edited(|blueprint| set_state(blueprint, "a", "evacuated"))?;
    stage.closes();
    put_figures(stage, acknowledged, held);
    let bound = stage.deployment.bounds.evacuation_ms;
    stage.no_work.push(("a".into(), began + bound));
    Ok(())
}

fn puts_race(stage: &mut Stage) -> Result<(), LabFault> {
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

fn puts_storm(stage: &mut Stage) -> Result<(), LabFault> {
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

fn blueprint_bound(stage: &mut Stage) -> Result<(), LabFault> {
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

fn rolling_restart(stage: &mut Stage) -> Result<(), LabFault> {
    stage.until(3.0);
    stage.may_lose = false;
    stage.fails();
    let dir = stage.fleet.dir.clone();
    let began = Instant::now();
    for place in 0..stage.fleet.fronts.len() {
        let front = &mut stage.fleet.fronts[place];
        front.signal(libc::SIGTERM);
        let code = front.wait();
        front.start(&dir)?;
        stage.expect(code == Some(0), "a front did not stop in order");
        stage
            .fleet
            .wait_until("the front has standing again", |fleet| {
                let status = fleet.fronts[place].get_json("/status");
                status.is_some_and(|status| status["standing"] == true)
            })?;
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
    Ok(())
}

fn core_split(stage: &mut Stage) -> Result<(), LabFault> {
    let name = stage.duty_holder().map(|place| format!("core-{place}"));
    cut_off(stage, &name.unwrap_or_else(|| "core-0".into()))
}

fn front_cut_off(stage: &mut Stage) -> Result<(), LabFault> {
    cut_off(stage, "front-2")
}

fn cut_off(stage: &mut Stage, name: &str) -> Result<(), LabFault> {
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

fn one_way(stage: &mut Stage) -> Result<(), LabFault> {
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
