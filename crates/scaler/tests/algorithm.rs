//! Tests of Algorithm 1 (quota steps, starts, cooldown) and of the scaler's additions to it: memory shared between
//! functions, queued requests as demand, and zones under evacuation.

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
fn growing_raises_the_quota_of_the_fastest_runner_first() {
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
            .map(|(place, (quota, headroom))| {
                let quota = u32::from(*quota % 8);
                runner_quota(&place.to_string(), quota, quota + u32::from(*headroom % 8), 3.0)
            })
            .collect();
        let rest = grow(&mut runner_quotas, f64::from(gap));
        let is_full = runner_quotas.iter().all(|runner_quota| runner_quota.quota == runner_quota.max_quota);
        runner_quotas.iter().all(|runner_quota| runner_quota.quota <= runner_quota.max_quota) && (rest <= 0.0 || is_full)
    }

    fn shrinking_keeps_a_seat_and_removes_no_more_than_the_surplus(
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
        let removed_rate = f64::from(before - after) * 3.0;
        TestResult::from_bool(after >= 1 && removed_rate <= f64::from(surplus))
    }
}

/// A cluster of three workers whose platform and owners apply each plan immediately.
struct TestCluster {
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

impl TestCluster {
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

    /// Advances the clock with `rate` arrivals per second at function `f0`.
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
fn quotas_are_raised_before_a_runner_starts_and_workers_in_use_are_preferred() {
    let mut cluster = TestCluster::new(1, 1_000);
    cluster.run(1_000, 0);
    assert_eq!(cluster.wanted("f0"), vec![("w0".into(), 1)]);
    cluster.run(3_000, 25);
    assert_eq!(
        cluster.wanted("f0").len(),
        1,
        "a quota of four seats serves 25/s"
    );
    assert!(cluster.wanted("f0")[0].1 >= 3);
    cluster.run(4_000, 60);
    let wanted = cluster.wanted("f0");
    assert!(wanted.len() >= 2, "{wanted:?}");
    assert_eq!(wanted[0], ("w0".into(), 4));
    assert_eq!(
        wanted[1].0, "w0",
        "the worker in use has room for a second runner"
    );
    cluster.run(4_000, 120);
    let uses_other_worker = cluster
        .wanted("f0")
        .iter()
        .any(|(worker, _)| worker != "w0");
    assert!(
        uses_other_worker,
        "the worker in use is full, so another one is chosen"
    );
}

#[test]
fn shrinking_waits_for_the_cooldown_and_keeps_one_minimal_runner() {
    let mut cluster = TestCluster::new(1, 2_000);
    cluster.run(6_000, 60);
    let before: u32 = cluster.wanted("f0").iter().map(|(_, quota)| quota).sum();
    assert!(before >= 7, "{before} seats");
    cluster.run(25_000, 0);
    let after_wait: u32 = cluster.wanted("f0").iter().map(|(_, quota)| quota).sum();
    assert_eq!(
        after_wait, before,
        "quotas must not shrink before the cooldown"
    );
    cluster.run(120_000, 0);
    assert_eq!(cluster.wanted("f0").len(), 1);
    assert_eq!(cluster.wanted("f0")[0].1, 1);
}

#[test]
fn queued_requests_count_as_demand_before_the_forecast_rises() {
    let mut cluster = TestCluster::new(1, 2_000);
    cluster.run(1_000, 0);
    cluster.waiting = 40;
    cluster.run(200, 0);
    let seats: u32 = cluster.wanted("f0").iter().map(|(_, quota)| quota).sum();
    assert!(seats >= 5, "{seats} seats for 40 waiting requests");
}

#[test]
fn without_free_memory_an_idle_function_loses_its_runner_to_one_with_waiting_requests() {
    let mut cluster = TestCluster::new(7, 800);
    cluster.run(2_000, 0);
    let without_runner = |cluster: &TestCluster| {
        (0..7)
            .filter(|n| cluster.wanted(&format!("f{n}")).is_empty())
            .count()
    };
    assert_eq!(without_runner(&cluster), 1, "six of seven runners fit");
    let without_runner_no = (0..7)
        .find(|n| cluster.wanted(&format!("f{n}")).is_empty())
        .unwrap();
    assert_eq!(without_runner_no, 6);
    cluster.configuration.function_specs.swap(0, 6);
    cluster.configuration.function_specs[6].name = "g".into();
    cluster.configuration.function_specs[0].name = "f0".into();
    cluster.waiting = 3;
    cluster.run(8_000, 0);
    assert!(!cluster.wanted("f0").is_empty());
}

#[test]
fn growth_takes_no_last_runner_and_yields_memory_to_a_function_without_a_runner() {
    let mut cluster = TestCluster::new(3, 800);
    cluster.run(1_000, 0);
    cluster.waiting = 200;
    cluster.run(3_000, 100);
    assert_eq!(
        cluster.wanted("f0").len(),
        4,
        "f0 gets all memory except the minimal runners of the others"
    );
    assert!(!cluster.wanted("f1").is_empty() && !cluster.wanted("f2").is_empty());
    // The function with runners is renamed to g, and a new f0 is added, to which the reported queue belongs.
    cluster.configuration.function_specs[0].name = "g".into();
    for entry in &mut cluster.plan.runners {
        entry.function = entry.function.replace("f0", "g");
    }
    let mut new_spec = cluster.configuration.function_specs[0].clone();
    new_spec.name = "f0".into();
    cluster.configuration.function_specs.push(new_spec);
    cluster.waiting = 3;
    cluster.run(12_000, 0);
    let (new_count, renamed_count) = (cluster.wanted("f0").len(), cluster.wanted("g").len());
    assert!(
        new_count >= 1 && renamed_count >= 1 && new_count + renamed_count == 4,
        "{new_count} runners of f0 and {renamed_count} of g"
    );
}

#[test]
fn runners_leave_an_evacuated_zone_and_none_start_there() {
    let mut cluster = TestCluster::new(2, 2_000);
    cluster.run(2_000, 10);
    cluster.configuration.zones[0].state = ZoneState::Evacuated;
    cluster.run(500, 10);
    let wanted = cluster.wanted("f0");
    assert!(
        !wanted.is_empty() && wanted.iter().all(|(worker, _)| worker == "w2"),
        "{wanted:?}"
    );
}
