//! The simulated platform, with an API to list, start and stop runners.

use super::request_log::RequestLog;
use super::runner::{respond, Runner};
use super::server::Server;
use http1::Request;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Runners per page of the list.
const PAGE_SIZE: usize = 2;

#[derive(Clone, Debug)]
pub struct Service {
    pub memory_mb: u64,
    pub boot_ms: u64,
    pub concurrency: usize,
}

pub struct Worker {
    pub name: String,
    pub zone: String,
    pub memory_mb: u64,
}

#[derive(Default)]
struct RunnerTimeline {
    listed: Option<Instant>,
    drains_since: Option<Instant>,
    ended: Option<Instant>,
}

#[derive(Default)]
struct State {
    services: BTreeMap<String, Service>,
    workers: Vec<Worker>,
    runners: Vec<(Arc<Runner>, RunnerTimeline)>,
    nonces: HashMap<(String, String), usize>,
    scalers: Vec<(String, u64)>,
    stops: usize,
}

/// How the platform's API fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ApiFault {
    #[default]
    None,
    /// Calls hang and get no response.
    Down,
    /// Every call gets a 429 response.
    Rejects,
    /// Calls are executed but their responses are dropped.
    DropsResponses,
}

/// Time until the connection of an unanswered call is closed.
const DOWN_HANG_TIME: Duration = Duration::from_millis(1_500);

/// The platform's API and its workers, on which runners are started.
pub struct Platform {
    pub request_log: Arc<RequestLog>,
    pub list_lag: Duration,
    pub drops_begin_responses: AtomicBool,
    fault: Mutex<ApiFault>,
    runners_ip: IpAddr,
    state: Mutex<State>,
}

impl Platform {
    pub fn new(runners_ip: IpAddr, list_lag: Duration, workers: Vec<Worker>) -> Arc<Self> {
        Arc::new(Self {
            request_log: Arc::default(),
            list_lag,
            drops_begin_responses: AtomicBool::new(false),
            fault: Mutex::new(ApiFault::None),
            runners_ip,
            state: Mutex::new(State {
                workers,
                ..State::default()
            }),
        })
    }

    /// Serves the API at an address.
    pub fn open(self: &Arc<Self>, address: SocketAddr) -> Server {
        let platform = Arc::clone(self);
        Server::open(address, move |request, stream| {
            platform.serve(request, stream)
        })
    }

    pub fn add_services(&self, services: impl Iterator<Item = (String, Service)>) {
        self.state.lock().unwrap().services.extend(services);
    }

    pub fn runners(&self) -> Vec<Arc<Runner>> {
        let state = self.state.lock().unwrap();
        state
            .runners
            .iter()
            .map(|(runner, _)| Arc::clone(runner))
            .collect()
    }

    /// Runners of a service that currently accept connections.
    pub fn running_runners(&self, service: &str) -> Vec<Arc<Runner>> {
        let runners = self.runners().into_iter();
        runners
            .filter(|one| one.service == service && one.is_up())
            .collect()
    }

    /// Name of the daemon that sent the last start or stop.
    pub fn scaler_name(&self) -> Option<String> {
        let state = self.state.lock().unwrap();
        state.scalers.last().map(|(name, _)| name.clone())
    }

    /// Terms of the scaler in the order of the starts and stops received.
    pub fn terms(&self) -> Vec<u64> {
        let state = self.state.lock().unwrap();
        state.scalers.iter().map(|(_, term)| *term).collect()
    }

    pub fn starts(&self) -> usize {
        self.state.lock().unwrap().runners.len()
    }

    pub fn stops(&self) -> usize {
        self.state.lock().unwrap().stops
    }

    /// Drains a runner: the list shows it as draining at once, and it stops after the given time.
    /// Returns the moment from which the list shows it as draining.
    pub fn drain(self: &Arc<Self>, id: &str, after: Duration) -> Instant {
        let mut state = self.state.lock().unwrap();
        let found = state.runners.iter_mut().find(|(runner, _)| runner.id == id);
        let (runner, timeline) = found.expect("no such runner");
        let now = Instant::now();
        timeline.drains_since = Some(now);
        let (runner, platform) = (Arc::clone(runner), Arc::clone(self));
        std::thread::spawn(move || {
            std::thread::sleep(after);
            runner.stop();
            platform.ended(&runner.id);
        });
        now
    }

    /// Runners that were drained, with the moment from which the list shows it.
    pub fn drained_runners(&self) -> Vec<(Arc<Runner>, Instant)> {
        let state = self.state.lock().unwrap();
        let runners = state.runners.iter();
        let drained = runners
            .filter_map(|(runner, timeline)| Some((Arc::clone(runner), timeline.drains_since?)));
        drained.collect()
    }

    /// Sets how the API fails from now on.
    pub fn set_fault(&self, fault: ApiFault) {
        *self.fault.lock().unwrap() = fault;
    }

    /// The oldest runner that is still up.
    fn oldest_running(&self) -> Option<Arc<Runner>> {
        self.runners().into_iter().find(|runner| runner.is_up())
    }

    /// Crashes the oldest runner; the list still shows it for [`Platform::list_lag`].
    pub fn crash_one(&self) {
        if let Some(runner) = self.oldest_running() {
            runner.crash();
            self.ended(&runner.id);
        }
    }

    /// Drains the oldest runner, which stops after the given time.
    pub fn drain_one(self: &Arc<Self>, after: Duration) {
        if let Some(runner) = self.oldest_running() {
            self.drain(&runner.id, after);
        }
    }

    /// Whether no runner has requests in flight.
    pub fn is_idle(&self) -> bool {
        self.runners().iter().all(|runner| runner.in_flight() == 0)
    }

    pub fn close(&self) {
        for runner in self.runners() {
            runner.crash();
        }
    }

    fn ended(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        if let Some((_, timeline)) = state.runners.iter_mut().find(|(runner, _)| runner.id == id) {
            timeline.ended.get_or_insert(Instant::now());
        }
    }

    fn serve(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> bool {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let fault = *self.fault.lock().unwrap();
        match fault {
            ApiFault::None | ApiFault::DropsResponses => {}
            ApiFault::Down => {
                std::thread::sleep(DOWN_HANG_TIME);
                return false;
            }
            ApiFault::Rejects => return respond(stream, 429, &[], b"{}", true),
        }
        let reply = match (request.method.as_str(), path) {
            ("GET", "/v1/workers") => self.workers(),
            ("GET", "/instances") => self.instances(query),
            ("POST", "/v1/begin") => {
                let reply = self.begin(request);
                if self.drops_begin_responses.load(Ordering::SeqCst) {
                    return false;
                }
                reply
            }
            ("POST", "/v1/stop") => self.stop(request),
            _ => (404, json!({})),
        };
        if fault == ApiFault::DropsResponses {
            return false;
        }
        let body = reply.1.to_string();
        let headers = [("Content-Type", "application/json")];
        respond(stream, reply.0, &headers, body.as_bytes(), true)
    }

    fn free_mb(state: &State, worker: &Worker) -> u64 {
        let held = state
            .runners
            .iter()
            .filter(|(runner, _)| runner.worker == worker.name && !runner.is_ended());
        let memory = |name: &String| state.services.get(name).map_or(0, |one| one.memory_mb);
        let held = held.map(|(runner, _)| memory(&runner.service));
        worker.memory_mb.saturating_sub(held.sum())
    }

    fn workers(&self) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        let list = state.workers.iter().map(|worker| {
            json!({ "name": worker.name, "zone": worker.zone, "memory_mb": worker.memory_mb,
                    "free_memory_mb": Self::free_mb(&state, worker), "state": "ready" })
        });
        (200, json!({ "worker_list": list.collect::<Vec<Value>>() }))
    }

    fn instances(&self, query: &str) -> (u16, Value) {
        let token = query
            .split('&')
            .find_map(|field| field.strip_prefix("page_token="));
        let start: usize = token
            .and_then(|token| token.strip_prefix("p-")?.parse().ok())
            .unwrap_or(0);
        let state = self.state.lock().unwrap();
        let is_visible = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() >= self.list_lag);
        // A runner that crashed stays listed for the lag.
        let is_listed =
            |timeline: &RunnerTimeline| is_visible(timeline.listed) && !is_visible(timeline.ended);
        let listed: Vec<Value> = state
            .runners
            .iter()
            .filter(|(_, timeline)| is_listed(timeline))
            .map(|(runner, timeline)| {
                let is_draining = timeline.drains_since.is_some();
                json!({ "id": runner.id, "service": runner.service, "address": runner.address.to_string(),
                        "zone": runner.zone, "version": "v1", "capacity": runner.concurrency,
                        "state": if is_draining { "draining" } else { "ready" }, "cold_left_ms": 0,
                        "worker_id": runner.worker })
            })
            .collect();
        let end = (start + PAGE_SIZE).min(listed.len());
        let next = (end < listed.len()).then(|| format!("p-{end}"));
        let page = listed.get(start..end).unwrap_or(&[]);
        (200, json!({ "instances": page, "next_token": next }))
    }

    fn begin(self: &Arc<Self>, request: &Request) -> (u16, Value) {
        let command: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (service, worker) = (command["service"].as_str(), command["worker_id"].as_str());
        let nonce = command["request_nonce"].as_str();
        let mut state = self.state.lock().unwrap();
        let known = service.and_then(|name| Some((name, state.services.get(name)?.clone())));
        let (Some((name, service)), Some(worker), Some(nonce)) = (known, worker, nonce) else {
            return (400, json!({}));
        };
        let key = (name.to_string(), nonce.to_string());
        if let Some(index) = state.nonces.get(&key) {
            let runner = &state.runners[*index].0;
            return (
                200,
                json!({ "id": runner.id, "address": runner.address.to_string() }),
            );
        }
        let found = state.workers.iter().find(|one| one.name == worker);
        let Some(worker) = found.filter(|one| Self::free_mb(&state, one) >= service.memory_mb)
        else {
            return (409, json!({}));
        };
        let index = state.runners.len();
        let address = SocketAddr::new(self.runners_ip, 10_000 + index as u16);
        let runner = Arc::new(Runner::new(
            (format!("i-{index:x}"), name.to_string()),
            (worker.name.clone(), worker.zone.clone()),
            address,
            service.concurrency,
            Arc::clone(&self.request_log),
        ));
        let timeline = RunnerTimeline::default();
        state.runners.push((Arc::clone(&runner), timeline));
        state.nonces.insert(key, index);
        state.scalers.extend(fencing_token(request));
        let platform = Arc::clone(self);
        let reply = json!({ "id": runner.id, "address": address.to_string() });
        std::thread::spawn(move || {
            // Simulates the boot time.
            std::thread::sleep(Duration::from_millis(service.boot_ms));
            runner.boot();
            platform.state.lock().unwrap().runners[index].1.listed = Some(Instant::now());
        });
        (200, reply)
    }

    fn stop(&self, request: &Request) -> (u16, Value) {
        let command: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let id = command["id"].as_str().unwrap_or_default();
        let Some(runner) = self.runners().into_iter().find(|one| one.id == id) else {
            return (404, json!({}));
        };
        runner.stop();
        self.ended(id);
        let mut state = self.state.lock().unwrap();
        state.stops += 1;
        state.scalers.extend(fencing_token(request));
        (200, json!({}))
    }
}

fn fencing_token(request: &Request) -> Option<(String, u64)> {
    let scaler = request.headers.get_text("Duty-Holder")?.to_string();
    let number = request.headers.get_text("Fence-Number")?.parse().ok()?;
    Some((scaler, number))
}
