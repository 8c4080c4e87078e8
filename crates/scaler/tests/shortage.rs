//! Runners that differ in speed, and memory that is short: a town whose functions are called at
//! given rates, whose platform starts what the plan says, and whose work waits where seats lack.

use configuration::{
    Blueprint, District, DistrictState, Kind, Listing, PeerRef, Plan, RunnerState, Version,
};
use request_queue::{FrontReport, FunctionReport, RunnerReport};
use scaler::{FrontSight, Order, OrderResult, Orders, Scaler, Sight, Worker};
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
    blueprint: Blueprint,
    plan: Plan,
    no: u64,
    workers: Vec<Worker>,
    scaler: Scaler,
    now: u64,
    works: BTreeMap<String, Work>,
    alive: BTreeMap<String, Alive>,
    orders: Orders,
    /// Milliseconds of an answer on each worker.
    pace_ms: BTreeMap<String, f64>,
}

impl Town {
    fn new(functions: &[(&str, &str)], workers: usize, memory_mb: u64) -> Self {
        let mut blueprint = Blueprint::empty();
        for kind in ["urgent", "batch"] {
            blueprint.ranking.push(Kind {
                name: kind.into(),
                once: false,
            });
        }
        for (name, kind) in functions {
            blueprint.listings.push(Listing {
                name: name.to_string(),
                memory_mb: 400,
                start_ms: START,
                concurrency: 4,
                budget_ms: 2_000,
                kinds: vec![kind.to_string()],
            });
        }
        blueprint.districts.push(District {
            name: "a".into(),
            state: DistrictState::Open,
        });
        let workers = (0..workers).map(|place| Worker {
            name: format!("w{place}"),
            district: "a".into(),
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
            blueprint,
            plan: Plan::default(),
            no: 0,
            workers: workers.collect(),
            scaler: Scaler::new(Box::new(|| vec![0])),
            now: 1_000,
            alive: BTreeMap::new(),
            orders: Orders::default(),
            pace_ms: BTreeMap::new(),
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
            .map(|entry| f64::from(entry.quota) * 1_000.0 / self.pace(&entry.worker))
            .sum()
    }

    fn pace(&self, worker: &str) -> f64 {
        self.pace_ms.get(worker).copied().unwrap_or(100.0)
    }

    fn fronts(&self) -> BTreeMap<String, FrontSight> {
        let runners = self.plan.runners.iter().map(|entry| {
            let alive = self.alive.get(&entry.id);
            RunnerReport {
                runner: entry.id.clone(),
                epoch: entry.keeper_epoch,
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
                era: 1,
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
        let sight = FrontSight {
            peer,
            heard_at: self.now,
            report,
        };
        BTreeMap::from([("front".to_string(), sight)])
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
            let sight = Sight {
                now: self.now,
                next: Version {
                    era: 1,
                    no: self.no + 1,
                },
                term: 7,
                blueprint: &self.blueprint,
                plan: &self.plan,
                workers: &self.workers,
                listed: &[],
                fronts: &fronts,
            };
            if let Some(plan) = self.scaler.run(&sight, &self.orders) {
                self.plan = plan;
                self.no += 1;
            }
            for order in self.orders.due(self.now, &self.plan, &[], 1_000, 10_000) {
                let result = match &order {
                    Order::Start(entry) => {
                        let alive = Alive {
                            since: self.now,
                            ..Alive::default()
                        };
                        self.alive.insert(entry.id.clone(), alive);
                        OrderResult::Taken
                    }
                    Order::Stop(id) => {
                        self.alive.remove(id);
                        OrderResult::Gone
                    }
                };
                self.orders.on_result(&order, result);
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
                    let pace = self.pace(&entry.worker);
                    (entry.id.clone(), pace)
                })
                .collect();
            let quotas: f64 = warm.iter().map(|(_, pace)| 1.0 / pace).sum();
            for (id, pace) in warm {
                let alive = self.alive.entry(id).or_default();
                alive.answered += served * (1.0 / pace) / quotas;
                alive.took_ms = pace;
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
    for (worker, pace) in [("w0", 60.0), ("w1", 180.0), ("w2", 600.0)] {
        town.pace_ms.insert(worker.into(), pace);
    }
    town.call("f", 90.0);
    town.run(30_000);
    let (told, real) = (town.scaler.notes()["f"].capacity, town.capacity("f"));
    let off = 100.0 * (told - real).abs() / real;
    assert!(
        off < 5.0,
        "{told:.1}/s were predicted, {real:.1}/s are carried"
    );
    assert!(real > 90.0 && town.runners("f") >= 3, "{real:.1}/s");
    let paces: Vec<u32> = town.plan.runners.iter().map(|one| one.pace_ms).collect();
    assert!(
        paces.contains(&60) && paces.iter().any(|pace| *pace > 100),
        "{paces:?}"
    );
}

#[test]
fn a_higher_rank_takes_memory_from_a_lower_one_but_not_its_last_runner() {
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
fn functions_of_one_rank_share_memory_by_what_they_need() {
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
