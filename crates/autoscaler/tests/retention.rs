//! How long the last runner of an idle function is retained, depending on how often the function is called.

mod cluster;

use autoscaler::{Autoscaler, AutoscalerOptions, RunnerCommand};
use cluster::*;
use policy::ScalingPolicy;
use protocol::{FunctionReport, RunnerReport, RunnerStage};

/// Milliseconds between two steps of the simulation.
const STEP_MS: u64 = 50;
/// Duration of a start in milliseconds; must equal `start_ms` in `configuration`.
const START_MS: u64 = 1_000;
/// Service time of a request, in milliseconds.
const WORK_MS: u64 = 100;

fn options() -> AutoscalerOptions {
    AutoscalerOptions {
        policy: ScalingPolicy {
            adapts_retention: true,
            break_even_starts: 3.5,
            rare_retention_starts: 0.2,
            frequent_retention_starts: 7.0,
            ..ScalingPolicy::default()
        },
        list_lag_ms: 100,
        ..cluster::options()
    }
}

/// One function that has no runner until it is called, the calls to it, and the runner that serves them.
struct Calls {
    autoscaler: Autoscaler,
    now: u64,
    arrived: u64,
    /// Id of the runner, and the time from which it is up.
    runner: Option<(String, u64)>,
    is_waiting: bool,
    in_flight_until: u64,
    starts: usize,
}

impl Calls {
    fn new() -> Self {
        let workers = [worker_listing("w-1", "a", 1_000)];
        Self {
            autoscaler: autoscaler_with(options(), &[("f", 9_000)], &workers, &[]),
            now: 0,
            arrived: 0,
            runner: None,
            is_waiting: false,
            in_flight_until: 0,
            starts: 0,
        }
    }

    /// Advances by one step. A request waits from its call until the runner is up, and is then in flight for `WORK_MS`.
    fn step(&mut self, called_at: &[u64]) {
        self.now += STEP_MS;
        let is_up = self.runner.as_ref().is_some_and(|(_, at)| *at <= self.now);
        let arrived = called_at.iter().filter(|at| **at <= self.now).count() as u64;
        self.is_waiting |= arrived > std::mem::replace(&mut self.arrived, arrived);
        if self.is_waiting && is_up {
            self.is_waiting = false;
            self.in_flight_until = self.now + WORK_MS;
        }
        let (is_waiting, is_running) = (self.is_waiting, self.now < self.in_flight_until);
        let runners = self.runner.iter().map(|(id, _)| RunnerReport {
            is_up,
            ..runner_report(id, u32::from(is_running))
        });
        let update = self.autoscaler.update_version("f").number;
        let report = FunctionReport {
            runners: runners.collect(),
            update_number: update,
            ..function_report("f", self.arrived, u32::from(is_waiting))
        };
        self.autoscaler.handle_report(self.now, OWNER, &report);
        self.autoscaler.tick(self.now);
        // The owner receives each update before its next report.
        let _ = self.autoscaler.take_updates();
        for command in answer_starts(&mut self.autoscaler, self.now) {
            match command {
                RunnerCommand::Start { nonce, .. } => {
                    self.starts += 1;
                    self.runner = Some((format!("r-{nonce}"), self.now + START_MS));
                }
                RunnerCommand::Stop { id } => {
                    self.autoscaler.handle_stop_result(self.now, &id, true);
                    self.runner = None;
                }
            }
        }
    }

    /// Number of starts within one minute of calls at this interval.
    fn starts_of(interval_ms: u64) -> usize {
        let called_at: Vec<u64> = (1_000..60_000).step_by(interval_ms as usize).collect();
        let mut calls = Self::new();
        while calls.now < 60_000 {
            calls.step(&called_at);
        }
        calls.starts
    }

    /// Milliseconds for which the runner is retained after the last call.
    fn retained_after(called_at: &[u64]) -> u64 {
        let last = *called_at.last().expect("there is a call");
        let mut calls = Self::new();
        while calls.now < last + START_MS + WORK_MS || calls.runner.is_some() {
            calls.step(called_at);
            assert!(calls.now < 120_000, "the runner is never stopped");
        }
        calls.now - last
    }
}

#[test]
fn a_function_that_is_called_often_is_started_once() {
    assert_eq!(Calls::starts_of(2_000), 1);
}

#[test]
fn a_function_that_is_called_rarely_is_started_for_each_call() {
    assert_eq!(Calls::starts_of(12_000), 5);
}

#[test]
fn the_runner_of_a_rarely_called_function_is_stopped_soon_after_its_request() {
    let rare: Vec<u64> = (1_000..50_000).step_by(16_000).collect();
    let retained_ms = Calls::retained_after(&rare);
    assert!(retained_ms < START_MS + WORK_MS + 1_000, "{retained_ms} ms");
}

#[test]
fn the_runner_of_a_frequently_called_function_is_retained_for_one_to_two_break_even_times() {
    let frequent: Vec<u64> = (1_000..30_000).step_by(1_000).collect();
    let retained_ms = Calls::retained_after(&frequent);
    assert!(retained_ms >= 3_500, "{retained_ms} ms");
    assert!(retained_ms <= 2 * 3_500 + 1_000, "{retained_ms} ms");
}

#[test]
fn a_new_scaler_keeps_runners_of_functions_whose_call_rate_is_unknown() {
    let workers = [worker_listing("w-1", "a", 1_000)];
    let runners = [runner_listing("r-1", "f", "w-1", "a")];
    let mut autoscaler = autoscaler_with(options(), &[("f", 9_000)], &workers, &runners);
    let idle = FunctionReport {
        runners: vec![runner_report("r-1", 0)],
        ..function_report("f", 40, 0)
    };
    for now in (100..2_500).step_by(100) {
        autoscaler.handle_report(now, OWNER, &idle);
        autoscaler.tick(now);
        let update = autoscaler.update_for("f", now);
        assert_eq!(
            stage(&update, "r-1"),
            Some(RunnerStage::Serving),
            "at {now}"
        );
    }
}
