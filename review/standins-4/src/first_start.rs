//! One of the three first machines is killed while the whole system starts for the first time, and comes back with its
//! disk. From then on all is calm, and the operator's first configuration must be acknowledged.

use crate::configuration::FIRST_CONFIGURATION;
use crate::deployment::Deployment;
use crate::http;
use crate::platform::Platform;
use crate::record::Record;
use crate::Verdict;
use std::thread;
use std::time::Duration;

/// All machines start within 0.3 s of each other; e2 is the first.
const OTHERS_START_MS: u64 = 280;
const KILLED_AT_MS: u64 = 150;
/// The processes are started again after a second: `node_kill` lets them be down for up to 3.5 s.
const BACK_AT_MS: u64 = 1_150;
const IN_TOUCH_MS: u64 = 4_000;
const ACK_WITHIN_MS: u64 = 5_000;
const MS_PER_ROUTE: u64 = 3;
const ROUTES: u64 = 2;
/// How long the operator goes on after the bound.
const PATIENCE_MS: u64 = 30_000;

/// Runs the scenario.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::new(record)?;
    let platform = Platform::start(deployment.platform(), deployment.network(), record);
    platform.map_err(|error| error.to_string())?;
    let begun_ms = record.now_ms();
    let wait_until = |at_ms: u64| {
        let left = (begun_ms + at_ms).saturating_sub(record.now_ms());
        thread::sleep(Duration::from_millis(left));
    };
    deployment.start(2, true)?;
    if has_trouble {
        wait_until(KILLED_AT_MS);
        deployment.kill(2);
    }
    wait_until(OTHERS_START_MS);
    deployment.start(0, true)?;
    deployment.start(1, true)?;
    let mut last_event_ms = record.now_ms();
    if has_trouble {
        wait_until(BACK_AT_MS);
        // Only when the whole system starts for the first time is `first_start` true; this is one machine's return.
        deployment.start(2, false)?;
        last_event_ms = record.now_ms();
    }
    let settled_ms = last_event_ms + IN_TOUCH_MS;
    let bound_ms = settled_ms + ACK_WITHIN_MS + MS_PER_ROUTE * ROUTES;
    record.line(&format!(
        "the core is settled from {:.3} s on, so the order must be acknowledged by {:.3} s",
        settled_ms as f64 / 1e3,
        bound_ms as f64 / 1e3
    ));
    let path = "/v1/Config.Replace";
    let acked = deployment.order(path, 0, FIRST_CONFIGURATION, bound_ms + PATIENCE_MS);
    record.line(&format!(
        "gateways ready: {:?}",
        deployment.are_ready(&[0, 1, 2])
    ));
    let Some(acked) = acked else {
        record.line("the first configuration was never acknowledged");
        return Ok(Verdict::Broken);
    };
    if acked > bound_ms {
        return Ok(Verdict::Broken);
    }
    serve(record, &deployment)?;
    Ok(Verdict::Held)
}

/// Shows that the deployment serves once it is configured.
fn serve(record: &Record, deployment: &Deployment) -> Result<(), String> {
    let mut served = 0;
    for number in 0..20 {
        thread::sleep(Duration::from_millis(100));
        let id = format!("{number:016x}");
        let headers = [
            ("Host", "shop.example"),
            ("Request-Id", id.as_str()),
            ("Time-Left", "4000"),
        ];
        let timeout = Duration::from_millis(4_000);
        let address = deployment.public(number % 3);
        let answer = http::call(address, "GET", "/stock/x", &headers, b"", timeout);
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("request {id} at {address}: {status}"));
        served += usize::from(status == 200);
    }
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(())
}
