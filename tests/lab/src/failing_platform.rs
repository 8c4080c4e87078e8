use crate::context::ScenarioContext;
use crate::deployment::LabError;
use crate::member::Member;
use std::collections::BTreeSet;

/// Injects a platform fault for twelve seconds; no warm runner may be stopped because of it.
pub fn platform(context: &mut ScenarioContext, injected_fault: &str) -> Result<(), LabError> {
    context.fails();
    inject_fault(context, injected_fault, 12);
    context.until(1.0);
    let before = warm_runners(context);
    context.until(12.0);
    context.closes();
    let after = warm_runners(context);
    let lost: Vec<&String> = before.difference(&after).collect();
    context.note(format!(
        "{} of {} warm runners were given up, {} are new",
        lost.len(),
        before.len(),
        after.difference(&before).count()
    ));
    context.expect(!before.is_empty(), "no runner was warm");
    context.expect(
        lost.is_empty(),
        "healthy runners were stopped for the platform's sake",
    );
    context.may_lose = false;
    Ok(())
}

/// A worker crashes while the platform keeps listing the runners that ran on it.
pub fn ghosts(context: &mut ScenarioContext) -> Result<(), LabError> {
    inject_fault(context, "ghosts", 20);
    context.until(3.0);
    context.fails();
    context.fleet.workers[0].kill();
    context.until(8.0);
    let dir = context.fleet.dir.clone();
    context.fleet.workers[0].start(&dir)?;
    context.closes();
    Ok(())
}

/// The platform process is stopped for twenty seconds during a burst of arrivals.
pub fn platform_down(context: &mut ScenarioContext) -> Result<(), LabError> {
    context.fails();
    context.fleet.platform.signal(libc::SIGSTOP);
    context.until(20.0);
    context.fleet.platform.signal(libc::SIGCONT);
    context.closes();
    Ok(())
}

fn inject_fault(context: &mut ScenarioContext, injected_fault: &str, seconds: u64) {
    let platform = context.fleet.platform.http;
    let uri = format!("http://{platform}/lab/trouble/{injected_fault}/{seconds}");
    let reported = context.post(&uri, Vec::new());
    context.expect(
        reported == Some(200),
        "the platform did not accept the fault",
    );
}

/// Ids of the runners that their owners report as warm.
fn warm_runners(context: &ScenarioContext) -> BTreeSet<String> {
    let runners = context.fleet.fronts.iter().flat_map(Member::runners);
    runners
        .filter(|runner| runner["warm"] == true)
        .map(|runner| runner["runner"].as_str().unwrap_or_default().to_string())
        .collect()
}
