//! The platform: lists, starts and stops runners on its workers.

use crate::runner::{answer, Behaviour, Runner};
use http1::{MessageLimits, Request, RequestReader};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lag of the list of runners, below the `max_lag_ms` of the settings.
const LIST_LAG: Duration = Duration::from_millis(300);
const PAGE: usize = 200;
const LIMITS: MessageLimits = MessageLimits {
    header_bytes: 64 << 10,
    body_bytes: 8 << 20,
};

/// A service as the platform knows it.
#[derive(Clone)]
pub struct Service {
    pub memory_mb: u64,
    pub boot_ms: u64,
    pub concurrency: usize,
    pub behaviour: Behaviour,
}

/// A worker.
pub struct Worker {
    pub name: String,
    pub zone: String,
    pub memory_mb: u64,
}

#[derive(Default)]
struct Life {
    listed: Option<Instant>,
    ended: Option<Instant>,
}

#[derive(Default)]
struct State {
    services: HashMap<String, Service>,
    workers: Vec<Worker>,
    runners: Vec<(Arc<Runner>, Life)>,
    nonces: HashMap<(String, String), usize>,
    draining: HashMap<String, Instant>,
    duties: Vec<DutyCall>,
}

/// A start or a stop that the platform received.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at: Instant,
    pub service: String,
    pub holder: String,
    pub fence: u64,
    pub is_start: bool,
}

/// The platform's state behind its API.
pub struct Platform {
    runners_ip: Ipv4Addr,
    state: Mutex<State>,
}

impl Platform {
    /// Serves the API at the address until the process ends.
    pub fn open(
        address: SocketAddr,
        runners_ip: Ipv4Addr,
        workers: Vec<Worker>,
    ) -> std::io::Result<Arc<Self>> {
        let platform = Arc::new(Self {
            runners_ip,
            state: Mutex::new(State {
                workers,
                ..State::default()
            }),
        });
        let listener = TcpListener::bind(address)?;
        let api = Arc::clone(&platform);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let api = Arc::clone(&api);
                std::thread::spawn(move || api.serve(stream));
            }
        });
        Ok(platform)
    }

    pub fn add_service(&self, name: &str, service: Service) {
        let mut state = self.state.lock().unwrap();
        state.services.insert(name.into(), service);
    }

    /// All runners that were ever started.
    pub fn runners(&self) -> Vec<Arc<Runner>> {
        let state = self.state.lock().unwrap();
        state
            .runners
            .iter()
            .map(|(runner, _)| Arc::clone(runner))
            .collect()
    }

    /// All starts and stops that were received, in their order.
    pub fn duties(&self) -> Vec<DutyCall> {
        self.state.lock().unwrap().duties.clone()
    }

    /// Marks a runner as leaving; the list shows it from now on.
    pub fn drain(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.draining.insert(id.into(), Instant::now());
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = RequestReader::new();
        let mut buffer = Vec::new();
        let mut scratch = vec![0; 16 << 10];
        loop {
            match reader.read(&mut buffer, &LIMITS) {
                Ok(Some(request)) => {
                    let (status, body) = self.call(&request);
                    let body = body.to_string();
                    let headers = [("Content-Type", "application/json")];
                    if !answer(&mut stream, status, &headers, body.as_bytes()) {
                        return;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(_) => return,
            }
            match stream.read(&mut scratch) {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.extend_from_slice(&scratch[..count]),
            }
        }
    }

    fn call(self: &Arc<Self>, request: &Request) -> (u16, Value) {
        let target = &request.target;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match (request.method.as_str(), path) {
            ("GET", "/v1/workers") => self.workers(),
            ("GET", "/instances") => self.instances(query),
            ("POST", "/v1/begin") => self.begin(request),
            ("POST", "/v1/stop") => self.stop(request),
            _ => (404, json!({})),
        }
    }

    fn workers(&self) -> (u16, Value) {
        let state = self.state.lock().unwrap();
        let list: Vec<Value> = state
            .workers
            .iter()
            .map(|worker| {
                json!({ "name": worker.name, "zone": worker.zone, "memory_mb": worker.memory_mb,
                        "free_memory_mb": free_mb(&state, worker), "state": "ready" })
            })
            .collect();
        (200, json!({ "worker_list": list }))
    }

    fn instances(&self, query: &str) -> (u16, Value) {
        let mut fields = query.split('&');
        let token = fields.find_map(|field| field.strip_prefix("page_token=p-"));
        let start: usize = token.and_then(|token| token.parse().ok()).unwrap_or(0);
        let state = self.state.lock().unwrap();
        let is_past = |at: Option<Instant>| at.is_some_and(|at| at.elapsed() >= LIST_LAG);
        let lives = state.runners.iter();
        let listed = lives.filter(|(_, life)| is_past(life.listed) && !is_past(life.ended));
        let listed: Vec<Value> = listed
            .map(|(runner, _)| {
                let is_draining = state.draining.contains_key(&runner.id);
                json!({ "id": runner.id, "service": runner.service, "address": runner.address.to_string(),
                        "zone": runner.zone, "version": "v1", "capacity": runner.concurrency,
                        "state": if is_draining { "draining" } else { "ready" }, "cold_left_ms": 0,
                        "worker_id": runner.worker })
            })
            .collect();
        let end = (start + PAGE).min(listed.len());
        let next = (end < listed.len()).then(|| format!("p-{end}"));
        let page = listed.get(start..end).unwrap_or(&[]);
        (200, json!({ "instances": page, "next_token": next }))
    }

    fn begin(self: &Arc<Self>, request: &Request) -> (u16, Value) {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let text = |name: &str| order[name].as_str().map(String::from);
        let mut state = self.state.lock().unwrap();
        let (Some(name), Some(worker), Some(nonce)) =
            (text("service"), text("worker_id"), text("request_nonce"))
        else {
            return (400, json!({}));
        };
        let Some(service) = state.services.get(&name).cloned() else {
            return (400, json!({}));
        };
        let Some(duty) = duty_call(request, &name, true) else {
            return (400, json!({}));
        };
        state.duties.push(duty);
        let key = (name.clone(), nonce);
        if let Some(index) = state.nonces.get(&key) {
            let runner = &state.runners[*index].0;
            return (
                200,
                json!({ "id": runner.id, "address": runner.address.to_string() }),
            );
        }
        let mut workers = state.workers.iter();
        let found = workers.find(|known| known.name == worker);
        let Some(worker) = found.filter(|known| free_mb(&state, known) >= service.memory_mb) else {
            return (409, json!({}));
        };
        let index = state.runners.len();
        let address = SocketAddr::new(self.runners_ip.into(), 10_000 + index as u16);
        let place = (worker.name.as_str(), worker.zone.as_str());
        let behaviour = Arc::clone(&service.behaviour);
        let runner = Runner::new(
            format!("i-{index:x}"),
            &name,
            place,
            address,
            service.concurrency,
            behaviour,
        );
        state.runners.push((Arc::clone(&runner), Life::default()));
        state.nonces.insert(key, index);
        let platform = Arc::clone(self);
        let reply = json!({ "id": runner.id, "address": address.to_string() });
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(service.boot_ms));
            if !runner.is_ended() {
                runner.boot();
                platform.state.lock().unwrap().runners[index].1.listed = Some(Instant::now());
            }
        });
        (200, reply)
    }

    fn stop(&self, request: &Request) -> (u16, Value) {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let mut lives = state.runners.iter_mut();
        let found = lives.find(|(runner, _)| Some(runner.id.as_str()) == order["id"].as_str());
        let Some((runner, life)) = found else {
            return (404, json!({}));
        };
        let Some(duty) = duty_call(request, &runner.service, false) else {
            return (400, json!({}));
        };
        runner.stop();
        life.ended.get_or_insert(Instant::now());
        state.duties.push(duty);
        (200, json!({}))
    }
}

fn free_mb(state: &State, worker: &Worker) -> u64 {
    let runners = state.runners.iter();
    let placed = runners.filter(|(runner, _)| runner.worker == worker.name && !runner.is_ended());
    let memory = |name: &String| state.services.get(name).map_or(0, |one| one.memory_mb);
    let held: u64 = placed.map(|(runner, _)| memory(&runner.service)).sum();
    worker.memory_mb.saturating_sub(held)
}

/// The holder and the fence that a start or stop bears; `None` if either is missing.
fn duty_call(request: &Request, service: &str, is_start: bool) -> Option<DutyCall> {
    Some(DutyCall {
        at: Instant::now(),
        service: service.into(),
        holder: request.headers.get_text("Duty-Holder")?.into(),
        fence: request.headers.get_text("Fence-Number")?.parse().ok()?,
        is_start,
    })
}
