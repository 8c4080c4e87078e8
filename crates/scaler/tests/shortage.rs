//! Runners that differ in speed, and memory that is short: a town whose functions are called at
//! given rates, whose platform starts what the plan says, and whose work waits where seats lack.

use configuration::{
    Configuration, FunctionSpec, PeerRef, Plan, RequestKind, RunnerState, Version, Zone, ZoneState,
};
use request_queue::{FrontReport, FunctionReport, RunnerReport};
use scaler::{
    CommandPlanner, CommandResult, FrontObservation, Observation, PlatformCommand, Scaler, Worker,
};
use std::collections::BTreeMap;

const TICK: u64 = 100;
const START: u64 = 500;
/// Work waits no longer than its budget.
const BUDGET: f64 = 2.0;

#[derive(Default)]
struct Work {
    rate: f64,
    arrived: f64,
    waiting: f64,
    served: f64,
    served_lately: f64,
}

#[derive(Default)]
struct Alive {
    since: u64,
    answered: f64,
    took_ms: f64,
}

struct Town {
    configuration: Configuration,
    plan: Plan,
    no: u64,
    workers: Vec<Worker>,
    scaler: Scaler,
    now: u64,
    works: BTreeMap<String, Work>,
    alive: BTreeMap<String, Alive>,
    commands: CommandPlanner,
    /// Milliseconds of an answer on each worker.
    response_time_ms: BTreeMap<String, f64>,
}

impl Town {
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
                start_ms: START,
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
            works: functions
                .iter()
                .map(|(name, _)| (name.to_string(), Work::default()))
                .collect(),
            configuration,
            plan: Plan::default(),
            no: 0,
            workers: workers.collect(),
            scaler: Scaler::new(Box::new(|| vec![0])),
            now: 1_000,
            alive: BTreeMap::new(),
            commands: CommandPlanner::default(),
            response_time_ms: BTreeMap::new(),
        }
    }

    fn call(&mut self, function: &str, rate: f64) {
        self.works.get_mut(function).unwrap().rate = rate;
    }

    fn is_warm(&self, id: &str) -> bool {
        let alive = self.alive.get(id);
        alive.is_some_and(|alive| alive.since + START <= self.now)
    }

    /// Throughput by what the runners really do.
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
            let alive = self.alive.get(&entry.id);
            RunnerReport {
                runner: entry.id.clone(),
                epoch: entry.owner_epoch,
                is_active: true,
                is_warm: self.is_warm(&entry.id),
                answered: alive.map_or(0, |alive| alive.answered as u64),
                took_ms: alive.map_or(0, |alive| alive.took_ms as u64 * (alive.answered as u64)),
                ..RunnerReport::default()
            }
        });
        let functions = self.works.iter().map(|(name, work)| FunctionReport {
            function: name.clone(),
            arrived: work.arrived as u64,
            waiting: work.waiting as u32,
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
        for work in self.works.values_mut() {
            work.served_lately = 0.0;
        }
        let end = self.now + milliseconds;
        while self.now < end {
            self.now += TICK;
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
                        let alive = Alive {
                            since: self.now,
                            ..Alive::default()
                        };
                        self.alive.insert(entry.id.clone(), alive);
                        CommandResult::Accepted
                    }
                    PlatformCommand::Stop(id) => {
                        self.alive.remove(id);
                        CommandResult::Gone
                    }
                };
                self.commands.on_result(&command, result);
            }
        }
    }

    fn serve(&mut self) {
        let seconds = TICK as f64 / 1_000.0;
        for name in self.works.keys().cloned().collect::<Vec<_>>() {
            let capacity = self.capacity(&name);
            let work = self.works.get_mut(&name).unwrap();
            work.arrived += work.rate * seconds;
            let most = capacity * seconds;
            let served = (work.waiting + work.rate * seconds).min(most);
            work.waiting = (work.waiting + work.rate * seconds - served)
                .min(work.rate * BUDGET)
                .max(0.0);
            work.served += served;
            work.served_lately += served;
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
            let quotas: f64 = warm
                .iter()
                .map(|(_, response_time)| 1.0 / response_time)
                .sum();
            for (id, response_time) in warm {
                let alive = self.alive.entry(id).or_default();
                alive.answered += served * (1.0 / response_time) / quotas;
                alive.took_ms = response_time;
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
        let work = &self.works[function];
        work.served_lately / (work.rate * seconds)
    }
}

#[test]
fn capacity_is_the_sum_of_what_each_runner_carries() {
    let mut town = Town::new(&[("f", "batch")], 3, 800);
    for (worker, response_time) in [("w0", 60.0), ("w1", 180.0), ("w2", 600.0)] {
        town.response_time_ms.insert(worker.into(), response_time);
    }
    town.call("f", 90.0);
    town.run(30_000);
    let (reported, real) = (town.scaler.decisions()["f"].capacity, town.capacity("f"));
    let off = 100.0 * (reported - real).abs() / real;
    assert!(
        off < 5.0,
        "{reported:.1}/s were predicted, {real:.1}/s are carried"
    );
    assert!(real > 90.0 && town.runners("f") >= 3, "{real:.1}/s");
    let paces: Vec<u32> = town
        .plan
        .runners
        .iter()
        .map(|one| one.response_time_ms)
        .collect();
    assert!(
        paces.contains(&60) && paces.iter().any(|response_time| *response_time > 100),
        "{paces:?}"
    );
}

#[test]
fn a_higher_priority_takes_memory_from_a_lower_one_but_not_its_last_runner() {
    let functions = [("low", "batch"), ("high", "urgent")];
    let mut town = Town::new(&functions, 2, 1_200);
    town.call("low", 500.0);
    town.run(10_000);
    assert_eq!((town.runners("low"), town.runners("high")), (5, 1));
    town.call("high", 500.0);
    town.run(15_000);
    assert_eq!((town.runners("low"), town.runners("high")), (1, 5));
}

#[test]
fn functions_of_one_priority_share_memory_by_what_they_need() {
    let functions = [("first", "batch"), ("second", "batch"), ("third", "batch")];
    let mut town = Town::new(&functions, 3, 1_600);
    town.call("first", 480.0);
    town.run(10_000);
    assert_eq!(town.runners("first"), 10);
    town.call("second", 480.0);
    town.call("third", 120.0);
    town.run(20_000);
    let counts = functions.map(|(name, _)| town.runners(name));
    assert!(
        counts[0] <= 6 && counts[1] >= 4 && counts[2] >= 1,
        "{counts:?}"
    );
    town.run(20_000);
    let shares = functions.map(|(name, _)| town.share(name, 20.0));
    let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(
        least > 0.25,
        "{shares:?} of what is asked, with 480/s for 1080/s"
    );
    let settled = town.no;
    town.run(10_000);
    assert!(town.no - settled < 10, "runners are not moved to and fro");
}

#[test]
fn more_functions_than_memory_holds_take_turns_and_none_starves() {
    let names: Vec<String> = (0..24).map(|number| format!("f{number:02}")).collect();
    let functions: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "batch")).collect();
    let mut town = Town::new(&functions, 3, 1_600);
    for name in &names {
        town.call(name, 4.0);
    }
    town.run(120_000);
    let served: Vec<f64> = names.iter().map(|name| town.share(name, 120.0)).collect();
    let least = served.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(least > 0.1, "{served:?}");
    let all: f64 = served.iter().sum::<f64>() / served.len() as f64;
    assert!(all > 0.35, "{all} of all, where half fits at once");
}
