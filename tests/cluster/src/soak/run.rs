//! Runs one seed: starts the cluster, injects faults under traffic, heals them and checks the guarantees.

use super::injector::Injector;
use super::jobs;
use super::ledger::Ledger;
use super::misbehaving;
use super::operators::{run_reader, Operator, FIRST_VERSION};
use super::oracle;
use super::planned_work;
use super::schedule::{Schedule, ScheduledFault};
use super::system_names;
use super::tenants::{self, KeyHistory, STEADY};
use super::traffic::Client;
use super::{ledger::ClientOutcome, ledger::ClientRecord, recovery};
use crate::disk_probe;
use crate::operator::{configuration, route};
use crate::simulated_cluster::SimulatedCluster;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: usize = 20;
const JOB_CLIENTS: u64 = 3;
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(20);
/// Retries per window that do not count against the retry ratio.
const RETRY_SLACK: u32 = 200;

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    pub seed: u64,
    /// Duration of faults and traffic.
    pub length: Duration,
}

/// Result of a run.
pub struct SoakReport {
    pub schedule: Schedule,
    /// Violated guarantees; empty if all held.
    pub findings: Vec<String>,
    pub requests: usize,
    pub answered: usize,
    pub jobs: usize,
    pub changes: usize,
    pub reads: usize,
    /// Folder with data and logs, if there are findings.
    pub folder: Option<PathBuf>,
}

/// Runs one seed.
pub fn run(options: SoakOptions) -> SoakReport {
    let cluster = start_cluster(options.seed);
    let (gateways, controllers) = (cluster.gateways.len(), cluster.controllers.len());
    let schedule = Schedule::draw(options.seed, options.length, gateways, controllers);
    let ledger = Ledger::default();
    let mut injector = Injector::new(cluster);
    run_traffic(&mut injector, &schedule, &ledger);
    recovery::check(&mut injector, &ledger);
    let received = injector.cluster.platform.request_log.all();
    let mut findings = oracle::check(&ledger, &received);
    let history = KeyHistory::new(&first_configuration(options.seed), &ledger);
    // While faults overlap, only guarantees without a time limit are checked.
    let planned_from = ledger.planned_from();
    let disturbances = injector.disturbances().with_stalls(disk_probe::stalls());
    let is_in_touch = |request: &ClientRecord, at: Instant| {
        let is_calm = planned_from.is_some_and(|from| at >= from);
        is_calm && disturbances.is_in_touch(request.gateway, at)
    };
    let requests = ledger.requests();
    findings.extend(tenants::check(&history, &requests, &received, is_in_touch));
    findings.append(&mut injector.findings);
    let folder = injector.cluster.folder().to_path_buf();
    if !findings.is_empty() {
        injector.cluster.keep_folder();
    }
    report(schedule, findings, &ledger, folder)
}

/// The base configuration with a route whose targets look like the system's, and one of another host for jobs.
fn soak_configuration(version: u64) -> Value {
    let mut document = configuration(version);
    system_names::add_route(&mut document);
    jobs::add_other_host(&mut document);
    document
}

fn first_configuration(seed: u64) -> Value {
    let mut document = soak_configuration(FIRST_VERSION);
    let routes = document["routes"].as_array_mut().expect("there are routes");
    routes.push(route("moving", "/moving/", "safe", "plain"));
    tenants::add_tenants(&mut document, seed, Duration::ZERO);
    document
}

fn start_cluster(seed: u64) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::builder()
        .retry_slack(RETRY_SLACK)
        .relayed()
        .start();
    cluster.key = Some(STEADY[0].1);
    let document = first_configuration(seed);
    assert_eq!(cluster.replace(0, &document).0, 200);
    cluster.wait_ready();
    for index in 0..cluster.gateways.len() {
        cluster.get_until_good(index, "/read/x");
    }
    cluster
}

fn run_traffic(injector: &mut Injector, schedule: &Schedule, ledger: &Ledger) {
    let gateways: Vec<SocketAddr> = (0..injector.cluster.gateways.len())
        .map(|index| injector.cluster.public(index))
        .collect();
    let controllers = injector.cluster.control();
    let is_over = AtomicBool::new(false);
    let seed = schedule.seed;
    std::thread::scope(|scope| {
        let (gateways, controllers, is_over) = (&gateways, &controllers, &is_over);
        for number in 0..CLIENTS {
            scope.spawn(move || Client::new(seed, number, gateways, ledger).run(is_over));
        }
        scope.spawn(move || misbehaving::run(seed, gateways, ledger, is_over));
        for number in 0..JOB_CLIENTS {
            scope.spawn(move || jobs::run(seed, number, gateways, ledger, is_over));
        }
        scope.spawn(move || {
            Operator::new((seed, 0), controllers, ledger, soak_configuration).run(is_over)
        });
        scope.spawn(move || run_reader(seed, controllers, ledger, is_over));
        inject(injector, schedule);
        planned_work::run(injector, seed, ledger);
        is_over.store(true, Ordering::SeqCst);
        // Clients end after their last request, which may need running daemons.
        injector.heal();
        injector.supervise();
    });
    finish_evacuations(injector);
}

/// Ends evacuations that an operator began but did not finish before it stopped.
fn finish_evacuations(injector: &mut Injector) {
    let deadline = Instant::now() + Duration::from_secs(3);
    while !injector.is_all_running() && Instant::now() < deadline {
        injector.supervise();
        std::thread::sleep(SUPERVISION_INTERVAL);
    }
    for zone in crate::simulated_cluster::ZONES {
        injector.cluster.evacuate("Finish", zone);
    }
}

fn inject(injector: &mut Injector, schedule: &Schedule) {
    let started = Instant::now();
    let mut pending: Vec<ScheduledFault> = schedule.faults.clone();
    let mut active: Vec<ScheduledFault> = Vec::new();
    while started.elapsed() < schedule.length || !active.is_empty() {
        let now = started.elapsed();
        for fault in take(&mut active, |fault| fault.ends <= now) {
            injector.end(&fault);
        }
        for fault in take(&mut pending, |fault| fault.begins <= now) {
            injector.begin(&fault);
            active.push(fault);
        }
        injector.supervise();
        std::thread::sleep(SUPERVISION_INTERVAL);
    }
}

/// Removes and returns the matching faults, in order.
fn take(
    faults: &mut Vec<ScheduledFault>,
    matches: impl Fn(&ScheduledFault) -> bool,
) -> Vec<ScheduledFault> {
    let (taken, remaining) = faults.iter().partition(|fault| matches(fault));
    *faults = remaining;
    taken
}

fn report(
    schedule: Schedule,
    findings: Vec<String>,
    ledger: &Ledger,
    folder: PathBuf,
) -> SoakReport {
    let requests = ledger.requests();
    let answered = requests
        .iter()
        .filter(|request| request.outcome == ClientOutcome::Answered(200));
    SoakReport {
        schedule,
        answered: answered.count(),
        requests: requests.len(),
        jobs: ledger.jobs().len(),
        changes: ledger.changes().len(),
        reads: ledger.reads().len(),
        folder: (!findings.is_empty()).then_some(folder),
        findings,
    }
}
