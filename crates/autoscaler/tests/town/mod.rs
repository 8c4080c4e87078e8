//! What the tests share: a small town of workers, functions and one keeper.
#![allow(dead_code)]

use autoscaler::{Launcher, Options, Order, RunnerSight, WorkerSight};
use protocol::{FunctionNews, FunctionReport, RunnerReport, RunnerStage};
use routing::{Binding, Description, Function};

pub const KEEPER: &str = "gateway-a/1";

pub fn options() -> Options {
    Options {
        starts_per_s: 100.0,
        ..Options::default()
    }
}

pub fn worker(name: &str, district: &str, memory_mb: u64) -> WorkerSight {
    WorkerSight {
        name: name.to_owned(),
        district: district.to_owned(),
        memory_mb,
        free_mb: memory_mb,
        is_leaving: false,
    }
}

pub fn listed(id: &str, function: &str, worker: &str, district: &str) -> RunnerSight {
    RunnerSight {
        id: id.to_owned(),
        function: function.to_owned(),
        address: format!("{id}:8080"),
        district: district.to_owned(),
        worker: worker.to_owned(),
        capacity: 4,
        is_leaving: false,
    }
}

/// Functions with a start of one second, a concurrency of four and an aim.
pub fn description(functions: &[(&str, u32)]) -> Description {
    let mut described = Description::default();
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
            function: place,
            timeout_ms: 10_000,
            aim_ms: *aim_ms,
            ..Binding::default()
        });
    }
    described
}

pub fn told(function: &str, arrived: u64, waiting: u32) -> FunctionReport {
    FunctionReport {
        function: function.to_owned(),
        arrived: vec![("a".to_owned(), arrived)],
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

/// A launcher that knows these functions, workers and runners.
pub fn town(
    options: Options,
    functions: &[(&str, u32)],
    workers: &[WorkerSight],
    runners: &[RunnerSight],
) -> Launcher {
    let mut launcher = Launcher::new(options, 0);
    launcher.describe(0, &description(functions));
    launcher.see_workers(0, workers.to_vec());
    launcher.see_runners(0, runners.to_vec());
    launcher.tick(0);
    launcher
}

/// Nonce, function and worker of each start.
pub fn starts(orders: &[Order]) -> Vec<(String, String, String)> {
    let starts = orders.iter().filter_map(|order| match order {
        Order::Start {
            function,
            worker,
            nonce,
        } => Some((nonce.clone(), function.clone(), worker.clone())),
        Order::Stop { .. } => None,
    });
    starts.collect()
}

pub fn stops(orders: &[Order]) -> Vec<String> {
    let stops = orders.iter().filter_map(|order| match order {
        Order::Stop { id } => Some(id.clone()),
        Order::Start { .. } => None,
    });
    stops.collect()
}

/// Answers every start with runner r-NONCE; gives the orders.
pub fn serve(launcher: &mut Launcher, now: u64) -> Vec<Order> {
    let orders = launcher.orders();
    for (nonce, _, _) in starts(&orders) {
        let id = format!("r-{nonce}");
        launcher.started(now, &nonce, Ok((id.clone(), format!("{id}:8080"))));
    }
    orders
}

pub fn stage(news: &FunctionNews, id: &str) -> Option<RunnerStage> {
    let runner = news.runners.iter().find(|runner| runner.id == id);
    runner.map(|runner| runner.stage)
}

pub fn quotas(news: &FunctionNews) -> Vec<u32> {
    news.runners.iter().map(|runner| runner.quota).collect()
}
