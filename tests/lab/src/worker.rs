use crate::deployment::{Deployment, LabFault};
use crate::ledger::RunLedger;
use crate::runner::{Mischief, Mischiefs, Runner, RunnerOrder};
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
struct MischiefOrder {
    function: String,
    mischief: Option<Mischief>,
    share: f64,
}

struct WorkerState {
    deployment: Deployment,
    runners: Mutex<HashMap<String, Runner>>,
    ledger: Arc<RunLedger>,
    mischiefs: Mischiefs,
    /// How many times longer all its runners take.
    times: Arc<AtomicU32>,
}

/// Stands in for a worker: it starts and stops runners in its own process.
pub fn run(http: SocketAddr, deployment: &Path, ledger: &Path) -> Result<(), LabFault> {
    let open = RunLedger::open(ledger).map_err(|error| LabFault::Input(error.to_string()))?;
    let state = WorkerState {
        deployment: Deployment::read(deployment)?,
        runners: Mutex::default(),
        ledger: Arc::new(open),
        mischiefs: Mischiefs::default(),
        times: Arc::new(AtomicU32::new(1)),
    };
    serve(http, 64, Duration::from_secs(30), move |request| {
        handle(&state, request)
    })
    .map_err(|error| LabFault::Fleet(error.to_string()))?;
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
        (&Method::POST, "/mischief") => mischief(state, &body),
        (&Method::POST, path) if path.starts_with("/slow/") => {
            let times = path.trim_start_matches("/slow/").parse().unwrap_or(1);
            state.times.store(times, Ordering::Relaxed);
            json(200, &serde_json::json!({ "times": times }))
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
    let Ok(order) = serde_json::from_slice::<RunnerOrder>(body) else {
        return text(400, "no runner order");
    };
    let Some(group) = state.deployment.group_of(&order.function) else {
        return text(422, "no such function in the deployment");
    };
    let mut runners = state.runners.lock();
    runners.entry(order.id.clone()).or_insert_with(|| {
        Runner::start(
            order,
            group.start_ms,
            group.pace_ms,
            state.ledger.clone(),
            state.mischiefs.clone(),
            state.times.clone(),
        )
    });
    json(202, &serde_json::json!({ "state": "starting" }))
}

fn mischief(state: &WorkerState, body: &[u8]) -> Response<Body> {
    let Ok(order) = serde_json::from_slice::<MischiefOrder>(body) else {
        return text(400, "no mischief order");
    };
    let mut mischiefs = state.mischiefs.lock();
    match order.mischief {
        Some(mischief) => mischiefs.insert(order.function, (mischief, order.share)),
        None => mischiefs.remove(&order.function),
    };
    json(200, &serde_json::json!({}))
}
