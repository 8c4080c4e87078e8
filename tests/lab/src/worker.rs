use crate::deployment::{Deployment, LabError};
use crate::run_log::RunLog;
use crate::runner::{Runner, RunnerFault, RunnerFaults, RunnerStart};
use oxhttp::model::{Body, Method, Request, Response};
use parking_lot::Mutex;
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use transport::{json, read_body, serve, text};

#[derive(Deserialize)]
struct RunnerFaultRequest {
    function: String,
    #[serde(rename = "mischief")]
    runner_fault: Option<RunnerFault>,
    share: f64,
}

struct WorkerState {
    deployment: Deployment,
    runners: Mutex<HashMap<String, Runner>>,
    run_log: Arc<RunLog>,
    runner_faults: RunnerFaults,
    /// Factor by which the duration of all runs on this worker is multiplied.
    slowdown: Arc<AtomicU32>,
}

/// Runs a fake worker, which starts and stops fake runners within its own process.
pub fn run(http: SocketAddr, deployment: &Path, run_log: &Path) -> Result<(), LabError> {
    let opened_log = RunLog::open(run_log).map_err(|error| LabError::Input(error.to_string()))?;
    let state = WorkerState {
        deployment: Deployment::read(deployment)?,
        runners: Mutex::default(),
        run_log: Arc::new(opened_log),
        runner_faults: RunnerFaults::default(),
        slowdown: Arc::new(AtomicU32::new(1)),
    };
    serve(http, 64, Duration::from_secs(30), move |request| {
        handle(&state, request)
    })
    .map_err(|error| LabError::Fleet(error.to_string()))?;
    loop {
        thread::park();
    }
}

fn handle(state: &WorkerState, request: &mut Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_string();
    let body = match read_body(request, 1 << 16) {
        Ok(body) => body,
        Err(response) => return *response,
    };
    match (request.method(), path.as_str()) {
        (&Method::POST, "/start") => start(state, &body),
        (&Method::POST, "/mischief") => runner_fault(state, &body),
        (&Method::POST, path) if path.starts_with("/slow/") => {
            let slowdown = path.trim_start_matches("/slow/").parse().unwrap_or(1);
            state.slowdown.store(slowdown, Ordering::Relaxed);
            json(200, &serde_json::json!({ "times": slowdown }))
        }
        (&Method::GET, "/runners") => {
            let runners = state.runners.lock();
            json(200, &runners.keys().collect::<Vec<_>>())
        }
        (&Method::POST, path) if path.starts_with("/stop/") => {
            let removed = state
                .runners
                .lock()
                .remove(path.trim_start_matches("/stop/"));
            if let Some(runner) = removed {
                runner.stop();
            }
            json(200, &serde_json::json!({ "state": "gone" }))
        }
        _ => text(404, "no such path"),
    }
}

fn start(state: &WorkerState, body: &[u8]) -> Response<Body> {
    let Ok(command) = serde_json::from_slice::<RunnerStart>(body) else {
        return text(400, "no runner order");
    };
    let Some(group) = state.deployment.group_of(&command.function) else {
        return text(422, "no such function in the deployment");
    };
    let mut runners = state.runners.lock();
    runners.entry(command.id.clone()).or_insert_with(|| {
        Runner::start(
            command,
            group.start_ms,
            group.pace_ms,
            state.run_log.clone(),
            state.runner_faults.clone(),
            state.slowdown.clone(),
        )
    });
    json(202, &serde_json::json!({ "state": "starting" }))
}

fn runner_fault(state: &WorkerState, body: &[u8]) -> Response<Body> {
    let Ok(command) = serde_json::from_slice::<RunnerFaultRequest>(body) else {
        return text(400, "no mischief order");
    };
    let mut runner_faults = state.runner_faults.lock();
    match command.runner_fault {
        Some(runner_fault) => runner_faults.insert(command.function, (runner_fault, command.share)),
        None => runner_faults.remove(&command.function),
    };
    json(200, &serde_json::json!({}))
}
