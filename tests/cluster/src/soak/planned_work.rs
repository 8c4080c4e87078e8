//! Planned operator work without other faults: gateway restarts in turn and settings reloads.

use super::injector::Injector;
use super::ledger::Ledger;
use std::time::{Duration, Instant};

/// Time without faults after which daemons are in touch.
const IN_TOUCH: Duration = Duration::from_millis(2_500);
/// Time after each reload or restart.
const PAUSE: Duration = Duration::from_millis(900);
/// Longest time until a restarted gateway must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of gateways restarted in a run.
const RESTARTS: usize = 2;
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(20);

/// Heals all faults, waits until daemons are in touch, then restarts and reloads gateways chosen by the seed, under traffic.
pub fn run(injector: &mut Injector, seed: u64, ledger: &Ledger) {
    injector.heal();
    if !wait_all_ready(injector) {
        return;
    }
    supervise_for(injector, IN_TOUCH);
    ledger.begin_planned_work();
    let gateways = injector.cluster.gateways.len();
    let first = seed as usize % gateways;
    for number in 0..RESTARTS {
        injector.reload_gateway((first + number + 1) % gateways);
        supervise_for(injector, PAUSE);
        let restarted = (first + number) % gateways;
        ledger.record_restart(restarted);
        injector.restart_gateway(restarted);
        supervise_for(injector, PAUSE);
        if !wait_all_ready(injector) {
            return;
        }
    }
}

/// Waits until all daemons run and all gateways are ready. Returns false on a timeout.
fn wait_all_ready(injector: &mut Injector) -> bool {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        injector.supervise();
        if injector.is_all_running() && are_gateways_ready(injector) {
            return true;
        }
        std::thread::sleep(SUPERVISION_INTERVAL);
    }
    false
}

fn are_gateways_ready(injector: &Injector) -> bool {
    let cluster = &injector.cluster;
    let mut gateways = cluster.gateways.iter();
    gateways.all(|gateway| cluster.readiness(gateway) == Some(200))
}

fn supervise_for(injector: &mut Injector, time: Duration) {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline {
        injector.supervise();
        std::thread::sleep(SUPERVISION_INTERVAL);
    }
}
