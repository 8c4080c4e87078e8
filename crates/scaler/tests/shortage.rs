//! Scaling with runners of different speed and with too little memory, against a simulated cluster: requests
//! arrive at fixed rates, the platform executes every command, and requests queue while seats are lacking.

use configuration::{
    Configuration, FunctionSpec, PeerRef, Plan, RequestKind, RunnerState, Version, Zone, ZoneState,
};
use request_queue::{FrontReport, FunctionReport, RunnerReport};
use scaler::{
    CommandPlanner, CommandResult, FrontObservation, Observation, PlatformCommand, Scaler, Worker,
};
use std::collections::BTreeMap;

const TICK_MS: u64 = 100;
const START_MS: u64 = 500;
/// Seconds after which a queued request gives up.
const BUDGET_S: f64 = 2.0;

#[derive(Default)]
struct FunctionLoad {
    rate: f64,
    arrived: f64,
    waiting: f64,
    served: f64,
    served_in_run: f64,
}

#[derive(Default)]
struct RunningRunner {
    since: u64,
    answered: f64,
    took_ms: f64,
}

struct SimulatedCluster {
    configuration: Configuration,
    plan: Plan,
    no: u64,
    workers: Vec<Worker>,
    scaler: Scaler,
    now: u64,
    loads: BTreeMap<String, FunctionLoad>,
    running: BTreeMap<String, RunningRunner>,
    commands: CommandPlanner,
    /// Response time on each worker, in milliseconds; 100 where absent.
    response_time_ms: BTreeMap<String, f64>,
}

impl SimulatedCluster {
    fn new(functions: &[(&str, &str)], workers: usize, memory_mb: u64) -> Self {
        let mut configuration = Configuration::empty();
        for kind in ["urgent", "batch"] {
            configuration.priority_order.push(RequestKind {
                name: kind.into(),
                once: false,
            });
        }
        for (name, kind) in functions {
            configuration.function_specs.push(FunctionSpec {
                name: name.to_string(),
                memory_mb: 400,
                start_ms: START_MS,
                concurrency: 4,
                budget_ms: 2_000,
                kinds: vec![kind.to_string()],
            });
        }
        configuration.zones.push(Zone {
            name: "a".into(),
            state: ZoneState::Open,
        });
        let workers = (0..workers).map(|place| Worker {
            name: format!("w{place}"),
            zone: "a".into(),
            host: format!("10.0.0.{place}"),
            memory_mb,
            first_port: 1,
            ports: 500,
            is_leaving: false,
        });
        Self {
            loads: functions
                .iter()
                .map(|(name, _)| (name.to_string(), FunctionLoad::default()))
                .collect(),
            configuration,
            plan: Plan::default(),
            no: 0,
            workers: workers.collect(),
            scaler: Scaler::new(Box::new(|| vec![0])),
            now: 1_000,
            running: BTreeMap::new(),
            commands: CommandPlanner::default(),
            response_time_ms: BTreeMap::new(),
        }
    }

    fn set_rate(&mut self, function: &str, rate: f64) {
        self.loads.get_mut(function).unwrap().rate = rate;
    }

    fn is_warm(&self, id: &str) -> bool {
        let running = self.running.get(id);
        running.is_some_and(|running| running.since + START_MS <= self.now)
    }

    /// Actual capacity of the warm runners, in requests per second.
    fn capacity(&self, function: &str) -> f64 {
        let entries = self.plan.runners.iter().filter(|entry| {
            entry.function == function
                && entry.state == RunnerState::Wanted
                && self.is_warm(&entry.id)
        });
        entries
            .map(|entry| f64::from(entry.quota) * 1_000.0 / self.response_time(&entry.worker))
            .sum()
    }

    fn response_time(&self, worker: &str) -> f64 {
        self.response_time_ms.get(worker).copied().unwrap_or(100.0)
    }

    fn fronts(&self) -> BTreeMap<String, FrontObservation> {
        let runners = self.plan.runners.iter().map(|entry| {
            let state = self.running.get(&entry.id);
            RunnerReport {
                runner: entry.id.clone(),
                epoch: entry.owner_epoch,
                is_active: true,
                is_warm: self.is_warm(&entry.id),
                answered: state.map_or(0, |state| state.answered as u64),
                took_ms: state.map_or(0, |state| state.took_ms as u64 * (state.answered as u64)),
                ..RunnerReport::default()
            }
        });
        let functions = self.loads.iter().map(|(name, load)| FunctionReport {
            function: name.clone(),
            arrived: load.arrived as u64,
            waiting: load.waiting as u32,
            ..FunctionReport::default()
        });
        let report = FrontReport {
            plan: Version {
                epoch: 1,
                no: self.no,
            },
            functions: functions.collect(),
            runners: runners.collect(),
            ..FrontReport::default()
        };
        let peer = PeerRef {
            name: "front".into(),
            incarnation: 1,
        };
        let observation = FrontObservation {
            peer,
            heard_at: self.now,
            report,
        };
        BTreeMap::from([("front".to_string(), observation)])
    }

    fn run(&mut self, milliseconds: u64) {
        for load in self.loads.values_mut() {
            load.served_in_run = 0.0;
        }
        let end = self.now + milliseconds;
        while self.now < end {
            self.now += TICK_MS;
            self.serve();
            let fronts = self.fronts();
            let observation = Observation {
                now: self.now,
                next: Version {
                    epoch: 1,
                    no: self.no + 1,
                },
                term: 7,
                configuration: &self.configuration,
                plan: &self.plan,
                workers: &self.workers,
                listed: &[],
                fronts: &fronts,
            };
            if let Some(plan) = self.scaler.run(&observation, &self.commands) {
                self.plan = plan;
                self.no += 1;
            }
            for command in self.commands.due(self.now, &self.plan, &[], 1_000, 10_000) {
                let result = match &command {
                    PlatformCommand::Start(entry) => {
                        let running = RunningRunner {
                            since: self.now,
                            ..RunningRunner::default()
                        };
                        self.running.insert(entry.id.clone(), running);
                        CommandResult::Accepted
                    }
                    PlatformCommand::Stop(id) => {
                        self.running.remove(id);
                        CommandResult::Gone
                    }
                };
                self.commands.on_result(&command, result);
            }
        }
    }

    fn serve(&mut self) {
        let seconds = TICK_MS as f64 / 1_000.0;
        for name in self.loads.keys().cloned().collect::<Vec<_>>() {
            let capacity = self.capacity(&name);
            let load = self.loads.get_mut(&name).unwrap();
            load.arrived += load.rate * seconds;
            let max_served = capacity * seconds;
            let served = (load.waiting + load.rate * seconds).min(max_served);
            load.waiting = (load.waiting + load.rate * seconds - served)
                .min(load.rate * BUDGET_S)
                .max(0.0);
            load.served += served;
            load.served_in_run += served;
            let warm: Vec<(String, f64)> = self
                .plan
                .runners
                .iter()
                .filter(|entry| {
                    entry.function == name
                        && entry.state == RunnerState::Wanted
                        && self.is_warm(&entry.id)
                })
                .map(|entry| {
                    let response_time = self.response_time(&entry.worker);
                    (entry.id.clone(), response_time)
                })
                .collect();
            let total_speed: f64 = warm
                .iter()
                .map(|(_, response_time)| 1.0 / response_time)
                .sum();
            for (id, response_time) in warm {
                let running = self.running.entry(id).or_default();
                running.answered += served * (1.0 / response_time) / total_speed;
                running.took_ms = response_time;
            }
        }
    }

    fn runners(&self, function: &str) -> usize {
        let entries = self.plan.runners.iter();
        entries
            .filter(|one| one.function == function && one.state == RunnerState::Wanted)
            .count()
    }

    fn share(&self, function: &str, seconds: f64) -> f64 {
        let load = &self.loads[function];
        load.served_in_run / (load.rate * seconds)
    }
}

#[test]
fn capacity_is_the_sum_of_the_rates_of_runners_of_different_speed() {
    let mut cluster = SimulatedCluster::new(&[("f", "batch")], 3, 800);
    for (worker, response_time) in [("w0", 60.0), ("w1", 180.0), ("w2", 600.0)] {
        cluster
            .response_time_ms
            .insert(worker.into(), response_time);
    }
    cluster.set_rate("f", 90.0);
    cluster.run(30_000);
    let (reported, real) = (
        cluster.scaler.decisions()["f"].capacity,
        cluster.capacity("f"),
    );
    let error_percent = 100.0 * (reported - real).abs() / real;
    assert!(
        error_percent < 5.0,
        "the scaler reports {reported:.1}/s, the runners serve {real:.1}/s"
    );
    assert!(real > 90.0 && cluster.runners("f") >= 3, "{real:.1}/s");
    let response_times: Vec<u32> = cluster
        .plan
        .runners
        .iter()
        .map(|one| one.response_time_ms)
        .collect();
    assert!(
        response_times.contains(&60)
            && response_times
                .iter()
                .any(|response_time| *response_time > 100),
        "{response_times:?}"
    );
}

#[test]
fn a_higher_priority_takes_memory_from_a_lower_one_but_not_its_last_runner() {
    let functions = [("low", "batch"), ("high", "urgent")];
    let mut cluster = SimulatedCluster::new(&functions, 2, 1_200);
    cluster.set_rate("low", 500.0);
    cluster.run(10_000);
    assert_eq!((cluster.runners("low"), cluster.runners("high")), (5, 1));
    cluster.set_rate("high", 500.0);
    cluster.run(15_000);
    assert_eq!((cluster.runners("low"), cluster.runners("high")), (1, 5));
}

#[test]
fn functions_of_one_priority_share_memory_by_demand() {
    let functions = [("first", "batch"), ("second", "batch"), ("third", "batch")];
    let mut cluster = SimulatedCluster::new(&functions, 3, 1_600);
    cluster.set_rate("first", 480.0);
    cluster.run(10_000);
    assert_eq!(cluster.runners("first"), 10);
    cluster.set_rate("second", 480.0);
    cluster.set_rate("third", 120.0);
    cluster.run(20_000);
    let counts = functions.map(|(name, _)| cluster.runners(name));
    assert!(
        counts[0] <= 6 && counts[1] >= 4 && counts[2] >= 1,
        "{counts:?}"
    );
    cluster.run(20_000);
    let shares = functions.map(|(name, _)| cluster.share(name, 20.0));
    let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(
        least > 0.25,
        "{shares:?} of the demand served, with a capacity of 480/s for 1080/s"
    );
    let plan_no_before = cluster.no;
    cluster.run(10_000);
    assert!(
        cluster.no - plan_no_before < 10,
        "runners must not move back and forth"
    );
}

#[test]
fn functions_that_do_not_all_fit_into_memory_take_turns_and_none_starves() {
    let names: Vec<String> = (0..24).map(|number| format!("f{number:02}")).collect();
    let functions: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "batch")).collect();
    let mut cluster = SimulatedCluster::new(&functions, 3, 1_600);
    for name in &names {
        cluster.set_rate(name, 4.0);
    }
    cluster.run(120_000);
    let served: Vec<f64> = names
        .iter()
        .map(|name| cluster.share(name, 120.0))
        .collect();
    let least = served.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(least > 0.1, "{served:?}");
    let mean: f64 = served.iter().sum::<f64>() / served.len() as f64;
    assert!(
        mean > 0.35,
        "on average {mean} of the requests were served, where half of the functions fit at once"
    );
}
