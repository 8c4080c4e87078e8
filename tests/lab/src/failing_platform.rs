use crate::deployment::LabFault;
use crate::member::Member;
use crate::stage::Stage;
use std::collections::BTreeSet;

/// The platform is in trouble for twelve seconds.
pub fn platform(stage: &mut Stage, trouble: &str) -> Result<(), LabFault> {
    stage.fails();
    make_trouble(stage, trouble, 12);
    stage.until(1.0);
    let before = warm_runners(stage);
    stage.until(12.0);
    stage.closes();
    let after = warm_runners(stage);
    let lost: Vec<&String> = before.difference(&after).collect();
    stage.note(format!(
        "{} of {} warm runners were given up, {} are new",
        lost.len(),
        before.len(),
        after.difference(&before).count()
    ));
    stage.expect(!before.is_empty(), "no runner was warm");
    stage.expect(
        lost.is_empty(),
        "healthy runners were stopped for the platform's sake",
    );
    stage.may_lose = false;
    Ok(())
}

/// Workers crash while the platform's lists go on naming what ran there.
pub fn ghosts(stage: &mut Stage) -> Result<(), LabFault> {
    make_trouble(stage, "ghosts", 20);
    stage.until(3.0);
    stage.fails();
    stage.fleet.workers[0].kill();
    stage.until(8.0);
    let dir = stage.fleet.dir.clone();
    stage.fleet.workers[0].start(&dir)?;
    stage.closes();
    Ok(())
}

/// The platform stands still, as a process, while everyone arrives at once.
pub fn platform_down(stage: &mut Stage) -> Result<(), LabFault> {
    stage.fails();
    stage.fleet.platform.signal(libc::SIGSTOP);
    stage.until(20.0);
    stage.fleet.platform.signal(libc::SIGCONT);
    stage.closes();
    Ok(())
}

fn make_trouble(stage: &mut Stage, trouble: &str, seconds: u64) {
    let platform = stage.fleet.platform.http;
    let uri = format!("http://{platform}/lab/trouble/{trouble}/{seconds}");
    let told = stage.post(&uri, Vec::new());
    stage.expect(told == Some(200), "the platform did not take the trouble");
}

/// Runners that their keepers call warm.
fn warm_runners(stage: &Stage) -> BTreeSet<String> {
    let runners = stage.fleet.fronts.iter().flat_map(Member::runners);
    runners
        .filter(|runner| runner["warm"] == true)
        .map(|runner| runner["runner"].as_str().unwrap_or_default().to_string())
        .collect()
}
