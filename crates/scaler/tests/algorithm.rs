//! The ordinary path of Algorithm 1, and where the scaler leaves it.

use configuration::{
    Configuration, FunctionSpec, PeerRef, Plan, RequestKind, RunnerState, Version, Zone, ZoneState,
};
use fuzzing::{seeded, TestResult};
use request_queue::{FrontReport, FunctionReport, RunnerReport};
use scaler::{
    grow, shrink, CommandPlanner, CommandResult, FrontObservation, Observation, PlatformCommand,
    RunnerQuota, Scaler, Worker,
};
use std::collections::BTreeMap;

fn runner_quota(id: &str, quota: u32, max_quota: u32, seat_rate: f64) -> RunnerQuota {
    RunnerQuota {
        id: id.into(),
        quota,
        max_quota,
        seat_rate,
    }
}

#[test]
fn quotas_rise_stepwise_on_the_fastest_runner_first() {
    let mut runner_quotas = vec![
        runner_quota("slow", 1, 4, 5.0),
        runner_quota("fast", 1, 4, 10.0),
    ];
    let rest = grow(&mut runner_quotas, 12.0);
    assert!(rest <= 0.0);
    assert_eq!(
        (runner_quotas[0].id.as_str(), runner_quotas[0].quota),
        ("fast", 3)
    );
    assert_eq!(runner_quotas[1].quota, 1);
}

seeded! {
    fn growing_closes_the_gap_or_uses_all_quotas(quotas: Vec<(u8, u8)>, gap: u16) -> bool {
        let mut runner_quotas: Vec<RunnerQuota> = quotas
            .iter()
            .enumerate()
            .map(|(place, (quota, more))| {
                let quota = u32::from(*quota % 8);
                runner_quota(&place.to_string(), quota, quota + u32::from(*more % 8), 3.0)
            })
            .collect();
        let rest = grow(&mut runner_quotas, f64::from(gap));
        let is_full = runner_quotas.iter().all(|runner_quota| runner_quota.quota == runner_quota.max_quota);
        runner_quotas.iter().all(|runner_quota| runner_quota.quota <= runner_quota.max_quota) && (rest <= 0.0 || is_full)
    }

    fn shrinking_keeps_a_seat_and_takes_no_more_than_the_surplus(
        quotas: Vec<u8>, surplus: u16
    ) -> TestResult {
        let mut runner_quotas: Vec<RunnerQuota> = quotas
            .iter()
            .enumerate()
            .map(|(place, quota)| runner_quota(&place.to_string(), u32::from(*quota % 8), 8, 3.0))
            .collect();
        let before: u32 = runner_quotas.iter().map(|runner_quota| runner_quota.quota).sum();
        if before == 0 {
            return TestResult::discard();
        }
        shrink(&mut runner_quotas, f64::from(surplus));
        let after: u32 = runner_quotas.iter().map(|runner_quota| runner_quota.quota).sum();
        let taken = f64::from(before - after) * 3.0;
        TestResult::from_bool(after >= 1 && taken <= f64::from(surplus))
    }
}

/// A small fleet whose platform and owners do at once what the plan says.
struct Yard {
    configuration: Configuration,
    plan: Plan,
    no: u64,
    workers: Vec<Worker>,
    scaler: Scaler,
    now: u64,
    arrived: u64,
    waiting: u32,
    answered: u64,
}

impl Yard {
    fn new(functions: usize, memory_mb: u64) -> Self {
        let mut configuration = Configuration::empty();
        for number in 0..functions {
            configuration.function_specs.push(FunctionSpec {
                name: format!("f{number}"),
                memory_mb: 400,
                start_ms: 100,
                concurrency: 4,
                budget_ms: 1_000,
                kinds: vec!["k".into()],
            });
        }
        configuration.priority_order.push(RequestKind {
            name: "k".into(),
            once: false,
        });
        let workers = ["a", "a", "b"].iter().enumerate();
        let workers = workers.map(|(place, zone)| Worker {
            name: format!("w{place}"),
            zone: zone.to_string(),
            host: format!("10.0.0.{place}"),
            memory_mb,
            first_port: 1,
            ports: 50,
            is_leaving: false,
        });
        for name in ["a", "b"] {
            configuration.zones.push(Zone {
                name: name.into(),
                state: ZoneState::Open,
            });
        }
        Self {
            configuration,
            plan: Plan::default(),
            no: 0,
            workers: workers.collect(),
            scaler: Scaler::new(Box::new(|| vec![0])),
            now: 1_000,
            arrived: 0,
            waiting: 0,
            answered: 0,
        }
    }

    fn fronts(&self) -> BTreeMap<String, FrontObservation> {
        let peer = PeerRef {
            name: "front".into(),
            incarnation: 1,
        };
        let runners = self.plan.runners.iter().map(|entry| RunnerReport {
            runner: entry.id.clone(),
            epoch: entry.owner_epoch,
            is_active: true,
            is_warm: true,
            answered: self.answered,
            took_ms: self.answered * 100,
            ..RunnerReport::default()
        });
        let report = FrontReport {
            plan: Version {
                epoch: 1,
                no: self.no,
            },
            functions: vec![FunctionReport {
                function: "f0".into(),
                arrived: self.arrived,
                waiting: self.waiting,
                ..FunctionReport::default()
            }],
            runners: runners.collect(),
            ..FrontReport::default()
        };
        let observation = FrontObservation {
            peer,
            heard_at: self.now,
            report,
        };
        BTreeMap::from([("front".to_string(), observation)])
    }

    /// Lets time pass with so many arrivals a second at the first function.
    fn run(&mut self, milliseconds: u64, rate: u64) {
        let mut commands = CommandPlanner::default();
        let end = self.now + milliseconds;
        while self.now < end {
            self.now += 100;
            self.arrived += rate / 10;
            self.answered += rate / 10;
            for entry in &self.plan.runners {
                if entry.state == RunnerState::Stopping {
                    commands.on_result(
                        &PlatformCommand::Stop(entry.id.clone()),
                        CommandResult::Gone,
                    );
                }
            }
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
            if let Some(plan) = self.scaler.run(&observation, &commands) {
                self.plan = plan;
                self.no += 1;
            }
        }
    }

    fn wanted(&self, function: &str) -> Vec<(String, u32)> {
        let entries = self.plan.runners.iter();
        entries
            .filter(|one| one.function == function && one.state == RunnerState::Wanted)
            .map(|one| (one.worker.clone(), one.quota))
            .collect()
    }
}

#[test]
fn quotas_are_raised_before_a_runner_is_added_and_used_workers_come_first() {
    let mut yard = Yard::new(1, 1_000);
    yard.run(1_000, 0);
    assert_eq!(yard.wanted("f0"), vec![("w0".into(), 1)]);
    yard.run(3_000, 25);
    assert_eq!(yard.wanted("f0").len(), 1, "a quota of four carries 25/s");
    assert!(yard.wanted("f0")[0].1 >= 3);
    yard.run(4_000, 60);
    let wanted = yard.wanted("f0");
    assert!(wanted.len() >= 2, "{wanted:?}");
    assert_eq!(wanted[0], ("w0".into(), 4));
    assert_eq!(
        wanted[1].0, "w0",
        "the used worker has room for a second runner"
    );
    yard.run(4_000, 120);
    let fresh = yard.wanted("f0").iter().any(|(worker, _)| worker != "w0");
    assert!(fresh, "the used worker is full, so a fresh one is taken");
}

#[test]
fn shrinking_waits_for_a_calm_cooldown_and_keeps_one_minimal_runner() {
    let mut yard = Yard::new(1, 2_000);
    yard.run(6_000, 60);
    let before: u32 = yard.wanted("f0").iter().map(|(_, quota)| quota).sum();
    assert!(before >= 7, "{before} seats");
    yard.run(25_000, 0);
    let calm: u32 = yard.wanted("f0").iter().map(|(_, quota)| quota).sum();
    assert_eq!(calm, before, "nothing shrinks before the cooldown");
    yard.run(120_000, 0);
    assert_eq!(yard.wanted("f0").len(), 1);
    assert_eq!(yard.wanted("f0")[0].1, 1);
}

#[test]
fn queued_requests_count_as_demand_before_the_forecast_rises() {
    let mut yard = Yard::new(1, 2_000);
    yard.run(1_000, 0);
    yard.waiting = 40;
    yard.run(200, 0);
    let seats: u32 = yard.wanted("f0").iter().map(|(_, quota)| quota).sum();
    assert!(seats >= 5, "{seats} seats for 40 waiting tickets");
}

#[test]
fn where_memory_is_short_an_idle_function_sleeps_for_one_that_is_wanted() {
    let mut yard = Yard::new(7, 800);
    yard.run(2_000, 0);
    let asleep = |yard: &Yard| {
        (0..7)
            .filter(|n| yard.wanted(&format!("f{n}")).is_empty())
            .count()
    };
    assert_eq!(asleep(&yard), 1, "six runners fit");
    let sleeping = (0..7)
        .find(|n| yard.wanted(&format!("f{n}")).is_empty())
        .unwrap();
    assert_eq!(sleeping, 6);
    yard.configuration.function_specs.swap(0, 6);
    yard.configuration.function_specs[6].name = "g".into();
    yard.configuration.function_specs[0].name = "f0".into();
    yard.waiting = 3;
    yard.run(8_000, 0);
    assert!(!yard.wanted("f0").is_empty());
}

#[test]
fn growing_puts_nobody_to_sleep_and_gives_way_to_a_function_without_a_runner() {
    let mut yard = Yard::new(3, 800);
    yard.run(1_000, 0);
    yard.waiting = 200;
    yard.run(3_000, 100);
    assert_eq!(
        yard.wanted("f0").len(),
        4,
        "all memory but the others' minimal runners"
    );
    assert!(!yard.wanted("f1").is_empty() && !yard.wanted("f2").is_empty());
    // A function is listed anew, in the first place, where the queued work is reported.
    yard.configuration.function_specs[0].name = "g".into();
    for entry in &mut yard.plan.runners {
        entry.function = entry.function.replace("f0", "g");
    }
    let mut fresh = yard.configuration.function_specs[0].clone();
    fresh.name = "f0".into();
    yard.configuration.function_specs.push(fresh);
    yard.waiting = 3;
    yard.run(12_000, 0);
    let (fresh, grown) = (yard.wanted("f0").len(), yard.wanted("g").len());
    assert!(
        fresh >= 1 && grown >= 1 && fresh + grown == 4,
        "{fresh} and {grown}"
    );
}

#[test]
fn an_evacuated_zone_is_left_and_nothing_starts_there() {
    let mut yard = Yard::new(2, 2_000);
    yard.run(2_000, 10);
    yard.configuration.zones[0].state = ZoneState::Evacuated;
    yard.run(500, 10);
    let wanted = yard.wanted("f0");
    assert!(
        !wanted.is_empty() && wanted.iter().all(|(worker, _)| worker == "w2"),
        "{wanted:?}"
    );
}
