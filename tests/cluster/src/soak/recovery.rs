//! Checks after all faults have ended: every gateway serves again, no acknowledged change is lost, and no resource has leaked.

use super::injector::Injector;
use super::ledger::{Ledger, ReadRecord};
use super::operators::{read, version_of};
use super::oracle;
use crate::daemon::{Daemon, CONTROL};
use crate::disk_probe::Deadline;
use crate::metrics::{metric_value, scrape_metrics};
use std::time::{Duration, Instant};

/// Time within which the cluster must recover.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time within which gateways must become idle after the traffic; longer than any request may take.
const IDLE_WITHIN: Duration = Duration::from_secs(9);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const TARGETS: [&str; 3] = ["/read/x", "/write/x", "/rare/x"];
/// Consecutive successes required on each route at each gateway.
const SUCCESSES: usize = 4;
/// Memory limit of each process, as in the settings.
const MEMORY_MAX_KB: u64 = 260 << 10;
/// Allowed descriptors of an idle process, far above what links and pooled runner connections need: at least this many, and in a
/// large cluster some for all runners and two for each gateway.
const IDLE_DESCRIPTORS_MIN: usize = 250;
const IDLE_DESCRIPTORS_FOR_RUNNERS: usize = 150;
const LINKS_PER_GATEWAY_MAX: usize = 2;

/// Waits for recovery and checks the final state. Findings are added to those of the injector.
pub fn check(injector: &mut Injector, ledger: &Ledger) {
    wait_for_processes(injector);
    check_service(injector);
    let last = read_everywhere(injector);
    let violations = oracle::check_final_reads(ledger, &last);
    injector.findings.extend(violations);
    check_idle(injector);
    check_metrics(injector);
}

fn wait_for_processes(injector: &mut Injector) {
    let deadline = Deadline::after(RECOVERY);
    while !injector.is_all_running() && !deadline.is_over() {
        injector.supervise();
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Checks that every gateway responds successfully on every route, several times in a row, within [`RECOVERY`].
fn check_service(injector: &mut Injector) {
    let deadline = Deadline::after(RECOVERY);
    for index in 0..injector.cluster.gateways.len() {
        for target in TARGETS {
            if let Some(last) = wait_for_successes(injector, index, target, deadline) {
                let name = &injector.cluster.gateways[index].name;
                let finding = format!("RECOVER: {name} does not serve {target}: {last}");
                injector.findings.push(finding);
            }
            injector.supervise();
        }
    }
}

/// Returns the last status if there were not enough consecutive successes in time.
fn wait_for_successes(
    injector: &Injector,
    index: usize,
    target: &'static str,
    deadline: Deadline,
) -> Option<String> {
    let mut successes = 0;
    let mut last = "no request was sent".to_string();
    while successes < SUCCESSES {
        if deadline.is_over() {
            return Some(last);
        }
        let (_, response) = injector.cluster.get(index, target);
        let status = response.map(|response| response.status);
        last = format!("{status:?}");
        successes = if status == Some(200) {
            successes + 1
        } else {
            0
        };
        if successes == 0 {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    None
}

/// The configuration as returned by each controller.
fn read_everywhere(injector: &mut Injector) -> Vec<ReadRecord> {
    let mut last = Vec::new();
    for controller in 0..injector.cluster.controllers.len() {
        let address = injector.cluster.controllers[controller].at(CONTROL);
        let deadline = Deadline::after(RECOVERY);
        let found = loop {
            let sent_at = Instant::now();
            let document = read(address);
            if document.is_some() || deadline.is_over() {
                break document.map(|document| (sent_at, document));
            }
            std::thread::sleep(POLL_INTERVAL);
        };
        match found {
            Some((sent_at, document)) => last.push(ReadRecord {
                controller,
                sent_at,
                version: version_of(&document),
                document,
            }),
            None => {
                let finding = format!(
                    "RECOVER: control-{} does not respond to reads",
                    controller + 1
                );
                injector.findings.push(finding);
            }
        }
    }
    last
}

/// Checks that no requests are in flight or waiting and no seats are leased after the traffic ended.
fn check_idle(injector: &mut Injector) {
    let deadline = Deadline::after(IDLE_WITHIN);
    for index in 0..injector.cluster.gateways.len() {
        loop {
            let gateway = &injector.cluster.gateways[index];
            let held = nonzero_metrics(gateway);
            if held.is_empty() {
                break;
            }
            if deadline.is_over() {
                let finding = format!("LEAK: {} is idle and holds {held:?}", gateway.name);
                injector.findings.push(finding);
                break;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

fn nonzero_metrics(gateway: &Daemon) -> Vec<String> {
    let Some(text) = scrape_metrics(gateway) else {
        return vec!["no metrics".into()];
    };
    let names = ["requests_in_flight", "requests_waiting", "seats_leased"];
    let held = names
        .iter()
        .filter(|name| metric_value(&text, name) != Some(0))
        .map(|name| format!("{name}={:?}", metric_value(&text, name)));
    held.collect()
}

fn check_metrics(injector: &mut Injector) {
    let mut findings = Vec::new();
    let daemons = injector.cluster.controllers.iter();
    for daemon in daemons.chain(&injector.cluster.gateways) {
        findings.extend(invariant_violations(daemon));
        findings.extend(resource_findings(daemon, injector.cluster.gateways.len()));
    }
    findings.extend(differing_metrics(
        &injector.cluster.gateways,
        &["configuration_version", "evacuations_version", "members"],
    ));
    let versions = "committed_version{register=\"configuration\"}";
    findings.extend(differing_metrics(
        &injector.cluster.controllers,
        &[versions, "voters", "contact"],
    ));
    injector.findings.extend(findings);
}

fn invariant_violations(daemon: &Daemon) -> Vec<String> {
    let Some(text) = scrape_metrics(daemon) else {
        return vec![format!("{} serves no metrics", daemon.name)];
    };
    let lines = text.lines();
    let violated = lines
        .filter(|line| line.starts_with("hallkeel_invariant_violations_total{"))
        .filter(|line| !line.ends_with(" 0"));
    violated
        .map(|line| format!("INVARIANT: {}: {line}", daemon.name))
        .collect()
}

/// Reports metrics that differ between daemons of one kind.
fn differing_metrics(daemons: &[Daemon], names: &[&str]) -> Vec<String> {
    let deadline = Deadline::after(RECOVERY);
    let mut findings = Vec::new();
    for name in names {
        loop {
            let values: Vec<Option<u64>> = daemons
                .iter()
                .map(|daemon| metric_value(&scrape_metrics(daemon)?, name))
                .collect();
            if values.windows(2).all(|pair| pair[0] == pair[1]) {
                break;
            }
            if deadline.is_over() {
                findings.push(format!("{name} differs: {values:?}"));
                break;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    findings
}

fn resource_findings(daemon: &Daemon, gateways: usize) -> Vec<String> {
    let Some(pid) = daemon.pid() else {
        return vec![format!("{} is not running", daemon.name)];
    };
    let mut findings = Vec::new();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_kb = peak.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
    if peak_kb.is_none_or(|peak| peak > MEMORY_MAX_KB) {
        findings.push(format!("MEMORY: {} took {peak_kb:?} KB", daemon.name));
    }
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    let for_links = gateways * LINKS_PER_GATEWAY_MAX;
    if descriptors > IDLE_DESCRIPTORS_MIN.max(IDLE_DESCRIPTORS_FOR_RUNNERS + for_links) {
        let name = &daemon.name;
        findings.push(format!(
            "LEAK: {name} is idle and holds {descriptors} descriptors"
        ));
    }
    findings
}
