//! One run: the cluster is started, the series and traffic go on, and the promises are judged.

use super::clients::RollingClient;
use super::series::{Series, Step};
use crate::disk_probe;
use crate::operator::{configuration, route, service};
use crate::relay::Direction;
use crate::runner::Runner;
use crate::simulated_cluster::SimulatedCluster;
use crate::soak::drains::{self, LeavingRunner};
use crate::soak::fault::Target;
use crate::soak::injector::Injector;
use crate::soak::ledger::Ledger;
use crate::soak::operators::{run_reader, Operator, FIRST_VERSION};
use crate::soak::tenants::{self, KeyHistory, STEADY};
use crate::soak::{calm, oracle};
use protocol::Member;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Functions with routes of their own, beside those of the base configuration.
const FUNCTIONS: usize = 24;
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(15);
/// Time from the platform's word that a runner leaves until it ends. The platform may let it serve for many seconds.
const RUNNER_LEAVES_AFTER: Duration = Duration::from_millis(6_500);
/// Retries that are free in each span.
const RETRY_SLACK: u32 = 400;
/// Delay of what controllers tell an owner that stands still, and the time after its pause for which that lasts: others hear of its return
/// before it hears that it was removed.
const WAKING_DELAY: Duration = Duration::from_millis(250);
const WAKING_DELAY_LASTS: Duration = Duration::from_millis(800);
/// Operators who change the configuration, each in the way of the other.
const OPERATORS: u64 = 2;

/// What a run is made of.
#[derive(Clone, Copy, Debug)]
pub struct RollingOptions {
    pub seed: u64,
    /// Time for which the series and the traffic last.
    pub length: Duration,
    pub gateways: usize,
    pub clients: usize,
    /// Whether owners stand still as a runner of theirs leaves.
    pub aims_at_owners: bool,
    /// Whether data and logs are kept also where nothing was found.
    pub keeps_folder: bool,
}

/// What came of a run.
pub struct RollingReport {
    pub series: Series,
    /// Everything that broke a promise; empty where all held.
    pub findings: Vec<String>,
    pub requests: usize,
    /// Requests by how they ended.
    pub outcomes: BTreeMap<String, usize>,
    pub leaving_runners: usize,
    pub changes: usize,
    /// Where the data and logs are, if they are kept.
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
        options.aims_at_owners,
    );
    let ledger = Ledger::default();
    let mut injector = Injector::new(cluster);
    run_traffic(&mut injector, &series, &ledger, options.clients);
    calm::judge(&mut injector, &ledger);
    let received = injector.cluster.platform.request_log.all();
    let mut findings = oracle::judge(&ledger, &received);
    let leaving = leaving_runners(&injector);
    let disturbances = injector.disturbances().with_stalls(disk_probe::stalls());
    let requests = ledger.requests();
    findings.extend(drains::judge(&received, &requests, &leaving, &disturbances));
    let history = KeyHistory::new(&first_configuration(options.seed), &ledger);
    let is_in_touch = tenants::in_touch_by(&disturbances);
    findings.extend(tenants::judge(&history, &requests, &received, is_in_touch));
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
        leaving_runners: leaving.len(),
        changes: ledger.changes().len(),
        folder: keeps_folder.then_some(folder),
        findings,
    }
}

fn leaving_runners(injector: &Injector) -> Vec<LeavingRunner> {
    let drained = injector.cluster.platform.drained_runners().into_iter();
    let leaving = drained.map(|(runner, listed_at)| LeavingRunner {
        id: runner.id.clone(),
        listed_at,
    });
    leaving.collect()
}

/// The base configuration with the functions of the run, each with a route for requests that may be repeated and one for those that must not.
fn rolling_configuration(version: u64) -> Value {
    let mut document = configuration(version);
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
    let builder = match options.aims_at_owners {
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
        play(injector, series, ledger);
        is_over.store(true, Ordering::SeqCst);
        injector.heal();
        injector.supervise();
    });
    for zone in crate::simulated_cluster::ZONES {
        injector.cluster.evacuate("Finish", zone);
    }
}

fn play(injector: &mut Injector, series: &Series, ledger: &Ledger) {
    let started = Instant::now();
    let mut steps = series.steps.iter().peekable();
    let mut paused: Vec<(Instant, usize)> = Vec::new();
    let mut leaving: Vec<(Instant, String)> = Vec::new();
    let mut delayed: Vec<(Instant, usize)> = Vec::new();
    while started.elapsed() < series.length {
        while let Some(scheduled) = steps.next_if(|step| step.at <= started.elapsed()) {
            take_step(injector, scheduled.step, ledger);
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
                        leaving.push((now + leaves_after, runner));
                        delayed.push((now + lasts + WAKING_DELAY_LASTS, gateway));
                        delay_controllers(injector, gateway, WAKING_DELAY);
                    }
                }
                _ => {}
            }
        }
        let now = Instant::now();
        for (_, runner) in leaving.extract_if(.., |(at, _)| *at <= now) {
            injector
                .cluster
                .platform
                .drain(&runner, RUNNER_LEAVES_AFTER);
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

fn take_step(injector: &mut Injector, step: Step, ledger: &Ledger) {
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
        // It has two parts, of which the second comes later.
        Step::PauseOwner { .. } => {}
    }
}

/// Lets the owner of a runner that works stand still. Returns the gateway, and the runner that is to leave.
fn pause_owner(injector: &mut Injector, number: usize) -> Option<(usize, String)> {
    let working: Vec<_> = staying_runners(injector)
        .into_iter()
        .filter(|runner| runner.in_flight() > 0)
        .collect();
    let runner = working.get(number % working.len().max(1))?;
    let owner = owner_of(injector, &runner.service)?;
    injector.pause_gateway(owner);
    Some((owner, runner.id.clone()))
}

/// What controllers tell a gateway takes so much longer from now on.
fn delay_controllers(injector: &Injector, gateway: usize, delay: Duration) {
    let cluster = &injector.cluster;
    let to = &cluster.gateways[gateway].name;
    let controllers = cluster.controllers.iter();
    let directions = controllers.map(|controller| Direction::new(&controller.name, to));
    cluster.network.delay(&directions.collect(), delay);
}

/// The gateway that owns a function by the table of those that serve.
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

/// Lets one of the runners leave that run and do not leave yet.
fn drain_runner(injector: &Injector, number: usize) {
    let staying = staying_runners(injector);
    if let Some(runner) = staying.get(number % staying.len().max(1)) {
        let platform = &injector.cluster.platform;
        platform.drain(&runner.id, RUNNER_LEAVES_AFTER);
    }
}

/// Runners that run and do not leave yet.
fn staying_runners(injector: &Injector) -> Vec<Arc<Runner>> {
    let platform = &injector.cluster.platform;
    let drained = platform.drained_runners();
    let leaves = |id: &str| drained.iter().any(|(runner, _)| runner.id == id);
    let running = platform.runners().into_iter();
    running
        .filter(|runner| runner.is_up() && !leaves(&runner.id))
        .collect()
}
