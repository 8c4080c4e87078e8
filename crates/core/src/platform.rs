use crate::shared::Shared;
use configuration::RunnerEntry;
use oxhttp::model::Method;
use scaler::{CommandResult, ListedRunner, ListedState, PlatformCommand, Worker};
use serde::Deserialize;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use transport::call;

const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// The latest lists read from the platform. They lag behind the actual state.
#[derive(Default)]
pub struct PlatformLists {
    pub workers: Vec<Worker>,
    pub runners: Vec<ListedRunner>,
}

#[derive(Deserialize)]
struct WorkerEntry {
    name: String,
    #[serde(rename = "district")]
    zone: String,
    host: String,
    memory_mb: u64,
    first_port: u16,
    ports: u16,
    state: String,
}

#[derive(Deserialize)]
struct ListedRunnerEntry {
    id: String,
    state: String,
    #[serde(default)]
    worker: String,
    #[serde(default)]
    port: u16,
}

#[derive(Deserialize)]
struct WorkerList {
    workers: Vec<WorkerEntry>,
}

#[derive(Deserialize)]
struct RunnerList {
    runners: Vec<ListedRunnerEntry>,
}

fn get<T: for<'a> Deserialize<'a>>(
    platform: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Option<T> {
    let uri = format!("http://{platform}{path}");
    let response = call(
        Method::GET,
        &uri,
        &[],
        Vec::new(),
        timeout,
        MAX_RESPONSE_BYTES,
    )
    .ok()?;
    if response.status != 200 {
        return None;
    }
    serde_json::from_slice(&response.body).ok()
}

fn read_lists(platform: SocketAddr, timeout: Duration) -> Option<PlatformLists> {
    let workers: WorkerList = get(platform, "/v1/workers", timeout)?;
    let runners: RunnerList = get(platform, "/v1/runners", timeout)?;
    let is_leaving = |state: &str| state == "leaving";
    let address_of = |line: &ListedRunnerEntry| {
        let mut workers = workers.workers.iter();
        let worker = workers.find(|worker| worker.name == line.worker)?;
        Some(format!("{}:{}", worker.host, line.port))
    };
    let listed = runners.runners.iter().map(|line| ListedRunner {
        state: if is_leaving(&line.state) {
            ListedState::Leaving
        } else {
            ListedState::Up
        },
        id: line.id.clone(),
        address: address_of(line),
    });
    let listed = listed.collect();
    Some(PlatformLists {
        workers: workers
            .workers
            .into_iter()
            .map(|line| Worker {
                is_leaving: is_leaving(&line.state),
                name: line.name,
                zone: line.zone,
                host: line.host,
                memory_mb: line.memory_mb,
                first_port: line.first_port,
                ports: line.ports,
            })
            .collect(),
        runners: listed,
    })
}

/// Polls the platform's lists at the heartbeat interval. The previous lists are kept if it does not answer.
pub fn poll_lists(shared: &Shared) {
    loop {
        let bounds = shared.store.committed().configuration.bounds.clone();
        let timeout = Duration::from_millis(bounds.lease_ms());
        match read_lists(shared.settings.platform, timeout) {
            Some(lists) => shared.platform.store(Arc::new(lists)),
            None => log::warn!("platform: lists could not be read"),
        }
        thread::sleep(Duration::from_millis(bounds.heartbeat_ms()));
    }
}

/// Sends one command to the platform and classifies the response.
pub fn execute(
    platform: SocketAddr,
    command: &PlatformCommand,
    term: u64,
    timeout: Duration,
) -> CommandResult {
    let (method, path, body) = match command {
        PlatformCommand::Start(entry) => (
            Method::PUT,
            format!("/v1/runners/{}?term={term}", entry.id),
            start_body(entry),
        ),
        PlatformCommand::Stop(id) => (
            Method::DELETE,
            format!("/v1/runners/{id}?term={term}"),
            Vec::new(),
        ),
    };
    let uri = format!("http://{platform}{path}");
    let headers = [("content-type", "application/json")];
    let Ok(response) = call(method, &uri, &headers, body, timeout, MAX_RESPONSE_BYTES) else {
        return CommandResult::NoResponse;
    };
    match (command, response.status) {
        (_, 409) => CommandResult::StaleTerm,
        (PlatformCommand::Start(_), 200..=299) => CommandResult::Accepted,
        (PlatformCommand::Start(_), 400..=499) => CommandResult::Refused,
        (PlatformCommand::Stop(_), 200 | 404) => CommandResult::Gone,
        (PlatformCommand::Stop(_), 202) => CommandResult::Accepted,
        _ => CommandResult::NoResponse,
    }
}

fn start_body(entry: &RunnerEntry) -> Vec<u8> {
    let key = entry.key.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    });
    let port = entry.address.rsplit(':').next().unwrap_or_default();
    let body = serde_json::json!({
        "function": entry.function,
        "worker": entry.worker,
        "port": port.parse::<u16>().unwrap_or_default(),
        "memory_mb": entry.memory_mb,
        "key": key,
    });
    serde_json::to_vec(&body).unwrap_or_default()
}
