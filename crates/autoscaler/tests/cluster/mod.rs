//! Shared test helpers: builders for workers, runners, functions and the reports of one owner.
#![allow(dead_code)]

use autoscaler::{
    Autoscaler, AutoscalerOptions, RunnerCommand, RunnerListing, StartedRunner, WorkerListing,
};
use protocol::{FunctionReport, FunctionUpdate, RunnerReport, RunnerStage, ZoneArrivals};
use routing::{Binding, Function, RoutingConfiguration};

/// Name of the gateway that owns the functions.
pub const OWNER: &str = "gateway-a/1";

/// Options with a command rate that is high enough not to limit the tests.
pub fn options() -> AutoscalerOptions {
    AutoscalerOptions {
        commands_per_s: 100.0,
        ..AutoscalerOptions::default()
    }
}

/// The listing of a worker without runners.
pub fn worker_listing(name: &str, zone: &str, memory_mb: u64) -> WorkerListing {
    WorkerListing {
        name: name.to_owned(),
        zone: zone.to_owned(),
        memory_mb,
        free_mb: memory_mb,
        is_draining: false,
    }
}

/// The listing of a runner with a capacity of four concurrent requests.
pub fn runner_listing(id: &str, function: &str, worker: &str, zone: &str) -> RunnerListing {
    RunnerListing {
        id: id.to_owned(),
        function: function.to_owned(),
        address: format!("{id}:8080"),
        zone: zone.to_owned(),
        worker: worker.to_owned(),
        capacity: 4,
        is_terminating: false,
    }
}

/// A configuration of functions with a start time of one second, a concurrency of four and the given latency targets in
/// milliseconds.
pub fn configuration(functions: &[(&str, u32)]) -> RoutingConfiguration {
    let mut configuration = RoutingConfiguration::default();
    for (index, (name, latency_target_ms)) in functions.iter().enumerate() {
        configuration.functions.push(Function {
            name: (*name).to_owned(),
            memory_mb: 100,
            start_ms: 1_000,
            concurrency: 4,
            ..Function::default()
        });
        configuration.bindings.push(Binding {
            name: format!("to-{name}"),
            function_index: index,
            timeout_ms: 10_000,
            latency_target_ms: *latency_target_ms,
            ..Binding::default()
        });
    }
    configuration
}

/// A report without runners. All requests arrived in zone a.
pub fn function_report(function: &str, arrived: u64, waiting: u32) -> FunctionReport {
    FunctionReport {
        function: function.to_owned(),
        arrivals: vec![ZoneArrivals {
            zone: "a".to_owned(),
            count: arrived,
        }],
        waiting,
        ..FunctionReport::default()
    }
}

/// A report on a runner that is up.
pub fn runner_report(id: &str, in_use: u32) -> RunnerReport {
    RunnerReport {
        id: id.to_owned(),
        in_use,
        is_up: true,
        ..RunnerReport::default()
    }
}

/// An autoscaler that has received this configuration and these lists.
pub fn autoscaler_with(
    options: AutoscalerOptions,
    functions: &[(&str, u32)],
    workers: &[WorkerListing],
    runners: &[RunnerListing],
) -> Autoscaler {
    let mut autoscaler = Autoscaler::new(options, 0);
    autoscaler.apply_configuration(0, &configuration(functions));
    autoscaler.update_workers(0, workers.to_vec());
    autoscaler.update_runners(0, runners.to_vec());
    autoscaler.tick(0);
    autoscaler
}

/// The platform's response to a successful start.
pub fn started(id: &str, port: u16) -> StartedRunner {
    StartedRunner {
        id: id.to_owned(),
        address: format!("{id}:{port}"),
    }
}

/// A start command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    pub nonce: String,
    pub function: String,
    pub worker: String,
}

/// The start commands among `commands`.
pub fn starts(commands: &[RunnerCommand]) -> Vec<Start> {
    let starts = commands.iter().filter_map(|command| match command {
        RunnerCommand::Start {
            function,
            worker,
            nonce,
        } => Some(Start {
            nonce: nonce.clone(),
            function: function.clone(),
            worker: worker.clone(),
        }),
        RunnerCommand::Stop { .. } => None,
    });
    starts.collect()
}

/// The ids of the runners that `commands` stop.
pub fn stops(commands: &[RunnerCommand]) -> Vec<String> {
    let stops = commands.iter().filter_map(|command| match command {
        RunnerCommand::Stop { id } => Some(id.clone()),
        RunnerCommand::Start { .. } => None,
    });
    stops.collect()
}

/// Takes the commands and answers every start with the runner `r-NONCE`. Returns the commands.
pub fn answer_starts(autoscaler: &mut Autoscaler, now: u64) -> Vec<RunnerCommand> {
    let commands = autoscaler.take_commands();
    for start in starts(&commands) {
        let id = format!("r-{}", start.nonce);
        autoscaler.handle_start_result(now, &start.nonce, Ok(started(&id, 8080)));
    }
    commands
}

/// The stage of a runner in an update; `None` if the update does not include it.
pub fn stage(update: &FunctionUpdate, id: &str) -> Option<RunnerStage> {
    let runner = update.runners.iter().find(|runner| runner.id == id);
    runner.map(|runner| runner.stage)
}

/// The quotas of all runners in an update.
pub fn quotas(update: &FunctionUpdate) -> Vec<u32> {
    update.runners.iter().map(|runner| runner.quota).collect()
}
