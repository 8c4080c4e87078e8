//! Two machines of the core are replaced, as planned work: each successor is started and has its time, then the machine that
//! it replaces is stopped with SIGTERM, one after the other. Then all is calm, and the configuration that was acknowledged
//! before must be read back.

use crate::configuration::{FIRST_CONFIGURATION, SECOND_CONFIGURATION};
use crate::deployment::Deployment;
use crate::platform::Platform;
use crate::record::Record;
use crate::Verdict;
use std::thread;
use std::time::Duration;

const PATH: &str = "/v1/Config.Replace";
const IN_TOUCH_MS: u64 = 4_000;
/// A new machine counts as lost for 4 s after its start (`sync_time_s`). Each is given one second more.
const SUCCESSOR_MS: u64 = 5_000;
/// The pause between the SIGTERM of the first machine and that of the second one; the site files have 1.0 to 1.4 s between
/// the steps of a `roll_term`.
const GAP_MS: u64 = 2_000;
/// How long the operator asks: at least `in_touch_ms`.
const READ_MS: u64 = 30_000;
const ANSWER_MS: u64 = 10_000;

/// Runs the scenario.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(record)?;
    let platform = Platform::start(deployment.platform(), deployment.network(), record);
    platform.map_err(|error| error.to_string())?;
    for machine in 0..3 {
        deployment.start(machine, true)?;
    }
    let sleep = |ms| thread::sleep(Duration::from_millis(ms));
    let first = deployment.order(PATH, 0, FIRST_CONFIGURATION, record.now_ms() + ANSWER_MS);
    first.ok_or("the first configuration was not acknowledged")?;
    sleep(IN_TOUCH_MS);
    for successor in [3, 4] {
        deployment.start(successor, false)?;
        sleep(SUCCESSOR_MS);
    }
    let second = deployment.order(PATH, 1, SECOND_CONFIGURATION, record.now_ms() + ANSWER_MS);
    second.ok_or("the second configuration was not acknowledged")?;
    record.line(
        "version 4 is acknowledged; the successors have had their time, and nothing counts as lost",
    );
    sleep(IN_TOUCH_MS);
    let mut remaining = vec![0, 1, 2, 3, 4];
    if has_trouble {
        deployment.terminate(0)?;
        sleep(GAP_MS);
        deployment.terminate(1)?;
        deployment.wait_for_end(0)?;
        deployment.wait_for_end(1)?;
        remaining.retain(|machine| *machine > 1);
        record.line(
            "machines e0 and e1 are gone for good; e2, e3 and e4 run, and nothing else happens",
        );
    }
    sleep(IN_TOUCH_MS);
    record.line("the core is settled, and its machines are in touch");
    let document = deployment.read_back(&remaining, record.now_ms() + READ_MS);
    let is_current = document.is_some_and(|document| document.contains("\"version\":4"));
    record.line(&format!(
        "gateways of machines {remaining:?} ready: {:?}",
        deployment.are_ready(&remaining)
    ));
    if !is_current {
        record.line("the acknowledged configuration did not come");
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}
