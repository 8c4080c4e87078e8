use crate::deployment::LabError;
use oxhttp::model::{Body, Method, Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use transport::{call, json, read_body, serve, text};

const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age of the lists while they are late.
const LATE: Duration = Duration::from_secs(10);
const TOO_SLOW: Duration = Duration::from_secs(4);

/// A worker as the stand-in platform knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerRecord {
    pub name: String,
    #[serde(rename = "district")]
    pub zone: String,
    pub host: String,
    pub memory_mb: u64,
    pub first_port: u16,
    pub ports: u16,
    pub state: String,
    /// Address of the worker's own process.
    pub control: SocketAddr,
}

#[derive(Clone, Debug, Serialize)]
struct RunnerRecord {
    id: String,
    function: String,
    worker: String,
    port: u16,
    memory_mb: u64,
    state: String,
    #[serde(skip)]
    since: Instant,
}

#[derive(Deserialize)]
struct RunnerStartRequest {
    function: String,
    worker: String,
    port: u16,
    memory_mb: u64,
    key: String,
}

#[derive(Clone, Default)]
struct Lists {
    workers: Vec<WorkerRecord>,
    runners: BTreeMap<String, RunnerRecord>,
}

#[derive(Default)]
struct State {
    lists: Lists,
    /// Lists as they were, the oldest first.
    past: VecDeque<(Instant, Lists)>,
    term: u64,
    injected_fault: Option<(InjectedFault, Instant)>,
}

/// What is wrong with the platform for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedFault {
    /// It answers after longer than anyone waits.
    Slow,
    /// It refuses every call with 503.
    Refuse,
    /// Its lists are no JSON.
    Garbage,
    /// Its lists are ten seconds old.
    Late,
    /// Its lists miss the first worker, which is alive, and all that runs there.
    Forget,
    /// Its lists go on naming runners that are gone.
    Ghosts,
    /// It carries out each command, and answers 503.
    Unheard,
}

impl State {
    fn injected_fault(&self) -> Option<InjectedFault> {
        let (injected_fault, until) = self.injected_fault?;
        (Instant::now() < until).then_some(injected_fault)
    }
}

/// Stands in for the platform: it starts and stops runners as it is asked, and its lists lag.
pub fn run(http: SocketAddr, workers: &str, lag_ms: u64) -> Result<(), LabError> {
    let workers: Vec<WorkerRecord> =
        serde_json::from_str(workers).map_err(|error| LabError::Input(error.to_string()))?;
    let state = Arc::new(Mutex::new(State {
        lists: Lists {
            workers,
            ..Lists::default()
        },
        ..State::default()
    }));
    let watched = state.clone();
    thread::spawn(move || watch_workers(&watched));
    let lag = Duration::from_millis(lag_ms);
    let serving = state.clone();
    serve(http, 256, Duration::from_secs(30), move |request| {
        handle(&serving, lag, request)
    })
    .map_err(|error| LabError::Fleet(error.to_string()))?;
    loop {
        thread::sleep(lag / 4 + Duration::from_millis(5));
        let mut state = state.lock();
        let now = (Instant::now(), state.lists.clone());
        state.past.push_back(now);
        let kept = lag.max(LATE);
        while state.past.len() > 1 && state.past[1].0.elapsed() >= kept {
            state.past.pop_front();
        }
    }
}

// A worker whose process does not answer is not listed, nor are its runners.
fn watch_workers(state: &Mutex<State>) {
    let all = state.lock().lists.workers.clone();
    loop {
        for worker in &all {
            let uri = format!("http://{}/runners", worker.control);
            let answer = call(Method::GET, &uri, &[], Vec::new(), TIMEOUT / 3, 1 << 20);
            let alive: Option<Vec<String>> = answer
                .ok()
                .and_then(|answer| serde_json::from_slice(&answer.body).ok());
            let mut state = state.lock();
            let injected_fault = state.injected_fault();
            let lists = &mut state.lists;
            let is_listed = lists.workers.iter().any(|known| known.name == worker.name);
            match alive {
                None => {
                    lists.workers.retain(|known| known.name != worker.name);
                    lists.runners.retain(|_, runner| {
                        runner.worker != worker.name
                            || injected_fault == Some(InjectedFault::Ghosts)
                    });
                }
                Some(ids) => {
                    // What was started just now may have been missed by the question.
                    lists.runners.retain(|id, runner| {
                        runner.worker != worker.name
                            || ids.contains(id)
                            || injected_fault == Some(InjectedFault::Ghosts)
                            || runner.since.elapsed() < 2 * TIMEOUT
                    });
                    if !is_listed {
                        lists.workers.push(worker.clone());
                    }
                }
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
}

fn handle(state: &Mutex<State>, lag: Duration, request: &mut Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_string();
    let query = request.uri().query().unwrap_or_default().to_string();
    let body = match read_body(request, 1 << 16) {
        Ok(body) => body,
        Err(response) => return *response,
    };
    let method = request.method().clone();
    if let Some(injected_fault) = path.strip_prefix("/lab/trouble/") {
        return inject_fault(state, injected_fault);
    }
    let injected_fault = state.lock().injected_fault();
    match injected_fault {
        Some(InjectedFault::Slow) => thread::sleep(TOO_SLOW),
        Some(InjectedFault::Refuse) => return text(503, "not now"),
        Some(InjectedFault::Garbage) if method == Method::GET => return json(200, &"}{"),
        Some(InjectedFault::Garbage) => return text(500, "}{"),
        _ => {}
    }
    if method == Method::GET {
        let state = state.lock();
        let age = if injected_fault == Some(InjectedFault::Late) {
            LATE
        } else {
            lag
        };
        let mut lagging = state.past.iter().rev();
        let lagging = lagging.find(|(at, _)| at.elapsed() >= age);
        let mut lists = lagging.map_or_else(Lists::default, |(_, lists)| lists.clone());
        if injected_fault == Some(InjectedFault::Forget) && !lists.workers.is_empty() {
            let name = lists.workers.remove(0).name;
            lists.runners.retain(|_, runner| runner.worker != name);
        }
        return match path.as_str() {
            "/v1/workers" => json(200, &serde_json::json!({ "workers": lists.workers })),
            "/v1/runners" => {
                let runners: Vec<_> = lists.runners.values().collect();
                json(200, &serde_json::json!({ "runners": runners }))
            }
            _ => text(404, "no such path"),
        };
    }
    if let Some(worker) = path.strip_prefix("/lab/leave/") {
        return leave(state, worker);
    }
    let Some(id) = path.strip_prefix("/v1/runners/") else {
        return text(404, "no such path");
    };
    let term = query
        .strip_prefix("term=")
        .and_then(|term| term.parse::<u64>().ok());
    let Some(term) = term else {
        return text(400, "say the term: ?term=<number>");
    };
    {
        let mut state = state.lock();
        if term < state.term {
            return text(409, "a higher term is known");
        }
        state.term = term;
    }
    let answer = match method {
        Method::PUT => start(state, id, &body),
        Method::DELETE => stop(state, id),
        _ => text(405, "start with PUT and stop with DELETE"),
    };
    if injected_fault == Some(InjectedFault::Unheard) {
        return text(503, "done, and not told");
    }
    answer
}

/// `<fault>/<seconds>`
fn inject_fault(state: &Mutex<State>, command: &str) -> Response<Body> {
    let Some((name, seconds)) = command.split_once('/') else {
        return text(400, "say the trouble and for how many seconds");
    };
    let injected_fault = serde_json::from_value(serde_json::Value::from(name));
    let (Ok(injected_fault), Ok(seconds)) = (injected_fault, seconds.parse()) else {
        return text(400, "no such trouble");
    };
    let until = Instant::now() + Duration::from_secs(seconds);
    state.lock().injected_fault = Some((injected_fault, until));
    json(200, &serde_json::json!({}))
}

fn leave(state: &Mutex<State>, name: &str) -> Response<Body> {
    let mut state = state.lock();
    for worker in &mut state.lists.workers {
        if worker.name == name {
            worker.state = "leaving".into();
        }
    }
    json(200, &serde_json::json!({}))
}

fn start(state: &Mutex<State>, id: &str, body: &[u8]) -> Response<Body> {
    let Ok(command) = serde_json::from_slice::<RunnerStartRequest>(body) else {
        return text(400, "no start order");
    };
    let (control, host) = {
        let mut state = state.lock();
        let lists = &mut state.lists;
        if lists.runners.contains_key(id) {
            return json(202, &serde_json::json!({ "state": "starting" }));
        }
        let found = lists
            .workers
            .iter()
            .find(|known| known.name == command.worker);
        let Some(worker) = found else {
            return text(422, "no such worker");
        };
        let there = lists
            .runners
            .values()
            .filter(|runner| runner.worker == worker.name);
        let used: u64 = there.map(|runner| runner.memory_mb).sum();
        if used + command.memory_mb > worker.memory_mb {
            return text(422, "the worker has not the memory");
        }
        let (control, host) = (worker.control, worker.host.clone());
        let line = RunnerRecord {
            id: id.to_string(),
            function: command.function.clone(),
            worker: command.worker.clone(),
            port: command.port,
            memory_mb: command.memory_mb,
            state: "up".into(),
            since: Instant::now(),
        };
        lists.runners.insert(id.to_string(), line);
        (control, host)
    };
    let reported = serde_json::json!({
        "id": id,
        "function": command.function,
        "address": format!("{host}:{}", command.port),
        "key": command.key,
    });
    let body = serde_json::to_vec(&reported).unwrap_or_default();
    let uri = format!("http://{control}/start");
    match call(Method::POST, &uri, &[], body, TIMEOUT, 1 << 16) {
        Ok(answer) if answer.status == 202 => json(202, &reported),
        _ => {
            state.lock().lists.runners.remove(id);
            text(503, "the worker did not answer")
        }
    }
}

fn stop(state: &Mutex<State>, id: &str) -> Response<Body> {
    let control = {
        let state = state.lock();
        let Some(runner) = state.lists.runners.get(id) else {
            return json(200, &serde_json::json!({ "state": "gone" }));
        };
        let workers = &state.lists.workers;
        let found = workers.iter().find(|known| known.name == runner.worker);
        found.map(|worker| worker.control)
    };
    let is_stopped = control.is_none_or(|control| {
        let uri = format!("http://{control}/stop/{id}");
        call(Method::POST, &uri, &[], Vec::new(), TIMEOUT, 1 << 16)
            .is_ok_and(|answer| answer.status == 200)
    });
    if !is_stopped {
        return text(503, "the worker did not answer");
    }
    state.lock().lists.runners.remove(id);
    json(200, &serde_json::json!({ "state": "gone" }))
}
