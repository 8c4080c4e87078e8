//! What the tests share: a small town of workers, functions and one keeper.
#![allow(dead_code)]

use autoscaler::{
    Autoscaler, AutoscalerOptions, RunnerCommand, RunnerListing, StartedRunner, WorkerListing,
};
use protocol::{FunctionReport, FunctionUpdate, RunnerReport, RunnerStage, ZoneArrivals};
use routing::{Binding, Function, RoutingConfiguration};

pub const KEEPER: &str = "gateway-a/1";

pub fn options() -> AutoscalerOptions {
    AutoscalerOptions {
        commands_per_s: 100.0,
        ..AutoscalerOptions::default()
    }
}

pub fn worker(name: &str, zone: &str, memory_mb: u64) -> WorkerListing {
    WorkerListing {
        name: name.to_owned(),
        zone: zone.to_owned(),
        memory_mb,
        free_mb: memory_mb,
        is_draining: false,
    }
}

pub fn listed(id: &str, function: &str, worker: &str, zone: &str) -> RunnerListing {
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

/// Functions with a start of one second, a concurrency of four and an aim.
pub fn description(functions: &[(&str, u32)]) -> RoutingConfiguration {
    let mut described = RoutingConfiguration::default();
    for (place, (name, aim_ms)) in functions.iter().enumerate() {
        described.functions.push(Function {
            name: (*name).to_owned(),
            memory_mb: 100,
            start_ms: 1_000,
            concurrency: 4,
            ..Function::default()
        });
        described.bindings.push(Binding {
            name: format!("to-{name}"),
            function_index: place,
            timeout_ms: 10_000,
            latency_target_ms: *aim_ms,
            ..Binding::default()
        });
    }
    described
}

pub fn told(function: &str, arrived: u64, waiting: u32) -> FunctionReport {
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

pub fn held(id: &str, in_use: u32) -> RunnerReport {
    RunnerReport {
        id: id.to_owned(),
        in_use,
        is_up: true,
        ..RunnerReport::default()
    }
}

/// An autoscaler that knows these functions, workers and runners.
pub fn cluster(
    options: AutoscalerOptions,
    functions: &[(&str, u32)],
    workers: &[WorkerListing],
    runners: &[RunnerListing],
) -> Autoscaler {
    let mut autoscaler = Autoscaler::new(options, 0);
    autoscaler.apply_configuration(0, &description(functions));
    autoscaler.update_workers(0, workers.to_vec());
    autoscaler.update_runners(0, runners.to_vec());
    autoscaler.tick(0);
    autoscaler
}

/// The platform's positive answer to a start.
pub fn started(id: &str, port: u16) -> StartedRunner {
    StartedRunner {
        id: id.to_owned(),
        address: format!("{id}:{port}"),
    }
}

/// Nonce, function and worker of each start.
pub fn starts(orders: &[RunnerCommand]) -> Vec<(String, String, String)> {
    let starts = orders.iter().filter_map(|order| match order {
        RunnerCommand::Start {
            function,
            worker,
            nonce,
        } => Some((nonce.clone(), function.clone(), worker.clone())),
        RunnerCommand::Stop { .. } => None,
    });
    starts.collect()
}

pub fn stops(orders: &[RunnerCommand]) -> Vec<String> {
    let stops = orders.iter().filter_map(|order| match order {
        RunnerCommand::Stop { id } => Some(id.clone()),
        RunnerCommand::Start { .. } => None,
    });
    stops.collect()
}

/// Answers every start with runner r-NONCE; gives the orders.
pub fn serve(autoscaler: &mut Autoscaler, now: u64) -> Vec<RunnerCommand> {
    let orders = autoscaler.take_commands();
    for (nonce, _, _) in starts(&orders) {
        let id = format!("r-{nonce}");
        autoscaler.handle_start_result(now, &nonce, Ok(started(&id, 8080)));
    }
    orders
}

pub fn stage(news: &FunctionUpdate, id: &str) -> Option<RunnerStage> {
    let runner = news.runners.iter().find(|runner| runner.id == id);
    runner.map(|runner| runner.stage)
}

pub fn quotas(news: &FunctionUpdate) -> Vec<u32> {
    news.runners.iter().map(|runner| runner.quota).collect()
}
