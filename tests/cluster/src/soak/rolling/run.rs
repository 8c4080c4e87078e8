//! Runs one seed: starts the cluster, executes the steps under traffic and checks the guarantees.

use super::clients::RollingClient;
use super::series::{Series, Step};
use crate::disk_probe;
use crate::operator::{configuration, route, service};
use crate::relay::Direction;
use crate::runner::Runner;
use crate::simulated_cluster::SimulatedCluster;
use crate::soak::drains::{self, DrainingRunner};
use crate::soak::fault::Target;
use crate::soak::injector::Injector;
use crate::soak::ledger::Ledger;
use crate::soak::operators::{run_reader, Operator, FIRST_VERSION};
use crate::soak::tenants::{self, KeyHistory, STEADY};
use crate::soak::{oracle, recovery, system_names};
use protocol::Member;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Functions with their own routes, in addition to those of the base configuration.
const FUNCTIONS: usize = 24;
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(15);
/// Time from when the platform lists a runner as draining until it stops; the platform may let it serve for many seconds.
const RUNNER_DRAIN_TIME: Duration = Duration::from_millis(6_500);
/// Retries per window that do not count against the retry ratio.
const RETRY_SLACK: u32 = 400;
/// Delay of data from controllers to a suspended owner, and how long it lasts after the pause. Others thus learn that the owner
/// is back before the owner learns that it was removed.
const RESUME_DELAY: Duration = Duration::from_millis(250);
const RESUME_DELAY_DURATION: Duration = Duration::from_millis(800);
/// Operators that change the configuration concurrently and conflict with each other.
const OPERATORS: u64 = 2;

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct RollingOptions {
    pub seed: u64,
    /// Duration of the steps and the traffic.
    pub length: Duration,
    pub gateways: usize,
    pub clients: usize,
    /// Whether owners are suspended while one of their runners drains.
    pub pauses_owners: bool,
    /// Whether data and logs are kept even without findings.
    pub keeps_folder: bool,
}

/// Result of a run.
pub struct RollingReport {
    pub series: Series,
    /// Violated guarantees; empty if all held.
    pub findings: Vec<String>,
    pub requests: usize,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
    pub draining_runners: usize,
    pub changes: usize,
    /// Folder with data and logs, if they are kept.
    pub folder: Option<PathBuf>,
}

/// Runs one seed.
pub fn run(options: RollingOptions) -> RollingReport {
    let cluster = start_cluster(&options);
    let series = Series::draw(
        options.seed,
        options.length,
        options.gateways,
        cluster.controllers.len(),
        options.pauses_owners,
    );
    let ledger = Ledger::default();
    let mut injector = Injector::new(cluster);
    run_traffic(&mut injector, &series, &ledger, options.clients);
    recovery::check(&mut injector, &ledger);
    let received = injector.cluster.platform.request_log.all();
    let mut findings = oracle::check(&ledger, &received);
    let draining = draining_runners(&injector);
    let disturbances = injector.disturbances().with_stalls(disk_probe::stalls());
    let requests = ledger.requests();
    findings.extend(drains::check(
        &received,
        &requests,
        &draining,
        &disturbances,
    ));
    let history = KeyHistory::new(&first_configuration(options.seed), &ledger);
    let is_in_touch = tenants::in_touch_by(&disturbances);
    findings.extend(tenants::check(&history, &requests, &received, is_in_touch));
    findings.append(&mut injector.findings);
    let keeps_folder = options.keeps_folder || !findings.is_empty();
    if keeps_folder {
        injector.cluster.keep_folder();
    }
    let folder = injector.cluster.folder().to_path_buf();
    let mut outcomes = BTreeMap::new();
    for request in &requests {
        *outcomes.entry(request.outcome.label()).or_default() += 1;
    }
    RollingReport {
        series,
        outcomes,
        requests: requests.len(),
        draining_runners: draining.len(),
        changes: ledger.changes().len(),
        folder: keeps_folder.then_some(folder),
        findings,
    }
}

fn draining_runners(injector: &Injector) -> Vec<DrainingRunner> {
    let drained = injector.cluster.platform.drained_runners().into_iter();
    let draining = drained.map(|(runner, listed_at)| DrainingRunner {
        id: runner.id.clone(),
        listed_at,
    });
    draining.collect()
}

/// The base configuration with the functions of the run, each with a route for safe requests and one for unsafe requests.
fn rolling_configuration(version: u64) -> Value {
    let mut document = configuration(version);
    system_names::add_route(&mut document);
    let services = document["services"]
        .as_array_mut()
        .expect("there are services");
    for function in 0..FUNCTIONS {
        services.push(service(&format!("function-{function}"), 120, 4));
    }
    let routes = document["routes"].as_array_mut().expect("there are routes");
    for function in 0..FUNCTIONS {
        let name = format!("function-{function}");
        routes.push(route(&name, &format!("/{name}/"), "safe", &name));
        let once = format!("once-{function}");
        routes.push(route(&once, &format!("/{once}/"), "unsafe", &name));
    }
    document
}

fn first_configuration(seed: u64) -> Value {
    let mut document = rolling_configuration(FIRST_VERSION);
    tenants::add_tenants(&mut document, seed, Duration::ZERO);
    document
}

fn start_cluster(options: &RollingOptions) -> SimulatedCluster {
    let gateways = options.gateways;
    let builder = SimulatedCluster::builder()
        .retry_slack(RETRY_SLACK)
        .gateways(gateways);
    let builder = match options.pauses_owners {
        true => builder.relayed(),
        false => builder,
    };
    let mut cluster = builder.start();
    cluster.key = Some(STEADY[0].1);
    let document = first_configuration(options.seed);
    assert_eq!(cluster.replace(0, &document).0, 200);
    cluster.wait_ready();
    for function in 0..FUNCTIONS {
        cluster.get_until_good(function % gateways, &format!("/function-{function}/x"));
    }
    cluster
}

fn run_traffic(injector: &mut Injector, series: &Series, ledger: &Ledger, clients: usize) {
    let gateways: Vec<SocketAddr> = (0..injector.cluster.gateways.len())
        .map(|index| injector.cluster.public(index))
        .collect();
    let controllers = injector.cluster.control();
    let is_over = AtomicBool::new(false);
    let seed = series.seed;
    if series.is_planned() {
        ledger.begin_planned_work();
    }
    std::thread::scope(|scope| {
        let (gateways, controllers, is_over) = (&gateways, &controllers, &is_over);
        for number in 0..clients {
            scope.spawn(move || {
                RollingClient::new(seed, number, gateways, FUNCTIONS, ledger).run(is_over);
            });
        }
        for number in 0..OPERATORS {
            scope.spawn(move || {
                let draw = (seed, number);
                Operator::new(draw, controllers, ledger, rolling_configuration).run(is_over);
            });
        }
        scope.spawn(move || run_reader(seed, controllers, ledger, is_over));
        execute_steps(injector, series, ledger);
        is_over.store(true, Ordering::SeqCst);
        injector.heal();
        injector.supervise();
    });
    for zone in crate::simulated_cluster::ZONES {
        injector.cluster.evacuate("Finish", zone);
    }
}

fn execute_steps(injector: &mut Injector, series: &Series, ledger: &Ledger) {
    let started = Instant::now();
    let mut steps = series.steps.iter().peekable();
    let mut paused: Vec<(Instant, usize)> = Vec::new();
    let mut pending_drains: Vec<(Instant, String)> = Vec::new();
    let mut delayed: Vec<(Instant, usize)> = Vec::new();
    while started.elapsed() < series.length {
        while let Some(scheduled) = steps.next_if(|step| step.at <= started.elapsed()) {
            execute_step(injector, scheduled.step, ledger);
            match scheduled.step {
                Step::Pause(gateway, lasts) => paused.push((Instant::now() + lasts, gateway)),
                Step::PauseOwner {
                    number,
                    lasts,
                    leaves_after,
                } => {
                    if let Some((gateway, runner)) = pause_owner(injector, number) {
                        let now = Instant::now();
                        paused.push((now + lasts, gateway));
                        pending_drains.push((now + leaves_after, runner));
                        delayed.push((now + lasts + RESUME_DELAY_DURATION, gateway));
                        delay_controllers(injector, gateway, RESUME_DELAY);
                    }
                }
                _ => {}
            }
        }
        let now = Instant::now();
        for (_, runner) in pending_drains.extract_if(.., |(at, _)| *at <= now) {
            injector.cluster.platform.drain(&runner, RUNNER_DRAIN_TIME);
        }
        for (_, gateway) in delayed.extract_if(.., |(until, _)| *until <= now) {
            delay_controllers(injector, gateway, Duration::ZERO);
        }
        for (_, gateway) in paused.extract_if(.., |(until, _)| *until <= now) {
            injector.resume_gateway(gateway);
        }
        injector.supervise();
        std::thread::sleep(SUPERVISION_INTERVAL);
    }
}

fn execute_step(injector: &mut Injector, step: Step, ledger: &Ledger) {
    match step {
        Step::Restart(gateway) => {
            if injector.is_serving(Target::Gateway(gateway)) {
                ledger.record_restart(gateway);
                injector.restart_gateway(gateway);
            }
        }
        Step::RestartController(controller) => {
            if injector.is_serving(Target::Controller(controller)) {
                injector.restart_controller(controller);
            }
        }
        Step::Pause(gateway, _) => injector.pause_gateway(gateway),
        Step::Kill(gateway, lasts) => injector.kill_gateway(gateway, lasts),
        Step::Reload(gateway) => injector.reload_gateway(gateway),
        Step::DrainRunner(number) => drain_runner(injector, number),
        // Handled by the caller, because its second part comes later.
        Step::PauseOwner { .. } => {}
    }
}

/// Suspends the owner of a busy runner. Returns the gateway and the runner to drain.
fn pause_owner(injector: &mut Injector, number: usize) -> Option<(usize, String)> {
    let busy: Vec<_> = active_runners(injector)
        .into_iter()
        .filter(|runner| runner.in_flight() > 0)
        .collect();
    let runner = busy.get(number % busy.len().max(1))?;
    let owner = owner_of(injector, &runner.service)?;
    injector.pause_gateway(owner);
    Some((owner, runner.id.clone()))
}

/// Sets the delay of data from controllers to a gateway.
fn delay_controllers(injector: &Injector, gateway: usize, delay: Duration) {
    let cluster = &injector.cluster;
    let to = &cluster.gateways[gateway].name;
    let controllers = cluster.controllers.iter();
    let directions = controllers.map(|controller| Direction::new(&controller.name, to));
    cluster.network.delay(&directions.collect(), delay);
}

/// The gateway that owns a function according to the ownership table of the serving gateways.
fn owner_of(injector: &mut Injector, function: &str) -> Option<usize> {
    let gateways = 0..injector.cluster.gateways.len();
    let serving: Vec<usize> = gateways
        .filter(|gateway| injector.is_serving(Target::Gateway(*gateway)))
        .collect();
    let name = |gateway: &usize| injector.cluster.gateways[*gateway].name.clone();
    let members = serving.iter().map(|gateway| Member {
        name: name(gateway),
        ..Member::default()
    });
    let table = seat_leases::OwnershipTable::agreed(protocol::OwnershipTable {
        members: members.collect(),
        ..protocol::OwnershipTable::default()
    });
    let owner = table.owner_of(function)?.name.clone();
    serving.into_iter().find(|gateway| name(gateway) == owner)
}

/// Drains a runner that is up and not draining yet.
fn drain_runner(injector: &Injector, number: usize) {
    let active = active_runners(injector);
    if let Some(runner) = active.get(number % active.len().max(1)) {
        let platform = &injector.cluster.platform;
        platform.drain(&runner.id, RUNNER_DRAIN_TIME);
    }
}

/// Runners that are up and not draining yet.
fn active_runners(injector: &Injector) -> Vec<Arc<Runner>> {
    let platform = &injector.cluster.platform;
    let drained = platform.drained_runners();
    let is_draining = |id: &str| drained.iter().any(|(runner, _)| runner.id == id);
    let running = platform.runners().into_iter();
    running
        .filter(|runner| runner.is_up() && !is_draining(&runner.id))
        .collect()
}
