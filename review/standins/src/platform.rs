//! Stand-ins for the platform's API and for the runners that it starts.

use crate::http::{read_message, respond, Message};
use crate::record::Record;
use std::collections::HashMap;
use std::io::Read;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A service as the platform knows it.
#[derive(Clone)]
pub struct Service {
    pub name: String,
    pub memory_mb: u64,
    pub boot_ms: u64,
    pub concurrency: usize,
    /// How long a request runs.
    pub work_ms: u64,
}

/// A request that a runner ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub seal: String,
    pub body: Vec<u8>,
    /// Whether the whole answer was written before the connection ended.
    pub is_answered: bool,
}

struct Runner {
    id: String,
    service: Service,
    worker: usize,
    address: SocketAddr,
    is_up: AtomicBool,
    is_ended: AtomicBool,
    in_flight: AtomicUsize,
    up_since: Mutex<Option<Instant>>,
}

struct State {
    /// Who sent the last start or stop.
    holder: Option<String>,
    runners: Vec<Arc<Runner>>,
    nonces: HashMap<(String, String), usize>,
}

/// The platform with its workers and runners.
pub struct Platform {
    zones: Vec<String>,
    worker_mb: u64,
    runner_ip: IpAddr,
    services: Vec<Service>,
    list_lag: Duration,
    state: Mutex<State>,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Platform {
    /// One worker in each zone.
    pub fn open(
        address: SocketAddr,
        runner_ip: IpAddr,
        zones: &[&str],
        worker_mb: u64,
        services: Vec<Service>,
        record: &Record,
    ) -> std::io::Result<Arc<Self>> {
        let platform = Arc::new(Self {
            zones: zones.iter().map(|zone| zone.to_string()).collect(),
            worker_mb,
            runner_ip,
            services,
            list_lag: Duration::from_millis(400),
            state: Mutex::new(State {
                holder: None,
                runners: Vec::new(),
                nonces: HashMap::new(),
            }),
            runs: Mutex::new(Vec::new()),
            record: record.clone(),
        });
        let listener = TcpListener::bind(address)?;
        let served = Arc::clone(&platform);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = Arc::clone(&served);
                std::thread::spawn(move || platform.serve(stream));
            }
        });
        Ok(platform)
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The holder of the duty, by the last start or stop.
    pub fn holder(&self) -> Option<String> {
        self.state.lock().unwrap().holder.clone()
    }

    fn answer(self: &Arc<Self>, request: &Message) -> (u16, String) {
        if let Some(holder) = request.header("Duty-Holder") {
            self.state.lock().unwrap().holder = Some(holder.to_string());
        }
        let (method, target) = request.target();
        let path = target.split('?').next().unwrap_or("");
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (method, path) {
            ("GET", "/instances") => (200, self.instances()),
            ("GET", "/v1/workers") => (200, self.workers()),
            ("POST", "/v1/begin" | "/v1/stop") if !has_fence(request) => (400, "{}".into()),
            ("POST", "/v1/begin") => self.begin(&body),
            ("POST", "/v1/stop") => self.stop(&body),
            _ => (404, "{}".into()),
        }
    }

    fn instances(&self) -> String {
        let state = self.state.lock().unwrap();
        let listed = state.runners.iter().filter(|runner| {
            let up_since = *runner.up_since.lock().unwrap();
            let is_ended = runner.is_ended.load(Ordering::SeqCst);
            !is_ended && up_since.is_some_and(|since| since.elapsed() >= self.list_lag)
        });
        let listed: Vec<String> = listed
            .map(|runner| {
                format!(
                    r#"{{"id":"{}","service":"{}","address":"{}","zone":"{}","version":"v1","capacity":{},"state":"ready","cold_left_ms":0,"worker_id":"w-{}"}}"#,
                    runner.id,
                    runner.service.name,
                    runner.address,
                    self.zones[runner.worker],
                    runner.service.concurrency,
                    runner.worker
                )
            })
            .collect();
        format!(
            r#"{{"instances":[{}],"next_token":null}}"#,
            listed.join(",")
        )
    }

    fn free_mb(&self, state: &State, worker: usize) -> u64 {
        let live = state.runners.iter();
        let live = live
            .filter(|runner| runner.worker == worker && !runner.is_ended.load(Ordering::SeqCst));
        let used: u64 = live.map(|runner| runner.service.memory_mb).sum();
        self.worker_mb.saturating_sub(used)
    }

    fn workers(&self) -> String {
        let state = self.state.lock().unwrap();
        let workers: Vec<String> = self
            .zones
            .iter()
            .enumerate()
            .map(|(worker, zone)| {
                format!(
                    r#"{{"name":"w-{worker}","zone":"{zone}","memory_mb":{},"free_memory_mb":{},"state":"ready"}}"#,
                    self.worker_mb,
                    self.free_mb(&state, worker)
                )
            })
            .collect();
        format!(r#"{{"worker_list":[{}]}}"#, workers.join(","))
    }

    fn begin(self: &Arc<Self>, body: &str) -> (u16, String) {
        let field = |name| text_field(body, name);
        let (Some(service), Some(worker), Some(nonce)) =
            (field("service"), field("worker_id"), field("request_nonce"))
        else {
            return (400, "{}".into());
        };
        let service = self.services.iter().find(|known| known.name == service);
        let Some(service) = service else {
            return (400, "{}".into());
        };
        let worker = worker
            .strip_prefix("w-")
            .and_then(|number| number.parse().ok());
        let Some(worker) = worker.filter(|worker: &usize| *worker < self.zones.len()) else {
            return (409, "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        let known = state.nonces.get(&(service.name.clone(), nonce.clone()));
        if let Some(known) = known {
            return (200, started(&state.runners[*known]));
        }
        if self.free_mb(&state, worker) < service.memory_mb {
            return (409, "{}".into());
        }
        let Ok(address) = self.free_address() else {
            return (409, "{}".into());
        };
        let runner = Arc::new(Runner {
            id: format!("i-{}", state.runners.len() + 1),
            service: service.clone(),
            worker,
            address,
            is_up: AtomicBool::new(false),
            is_ended: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            up_since: Mutex::new(None),
        });
        let number = state.runners.len();
        state.nonces.insert((service.name.clone(), nonce), number);
        state.runners.push(Arc::clone(&runner));
        self.record.line(&format!(
            "platform starts {} of {}",
            runner.id, service.name
        ));
        let answer = started(&runner);
        let platform = Arc::clone(self);
        std::thread::spawn(move || platform.boot(&runner));
        (200, answer)
    }

    /// An address at which nothing listens: a listener finds it and is closed at once.
    fn free_address(&self) -> std::io::Result<SocketAddr> {
        TcpListener::bind(SocketAddr::new(self.runner_ip, 0))?.local_addr()
    }

    fn stop(&self, body: &str) -> (u16, String) {
        let id = text_field(body, "id").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let Some(runner) = state.runners.iter().find(|runner| runner.id == id) else {
            return (404, "{}".into());
        };
        runner.is_ended.store(true, Ordering::SeqCst);
        // The listener's thread notices with the next connection.
        let _ = TcpStream::connect(runner.address);
        self.record.line(&format!("platform stops {id}"));
        (200, "{}".into())
    }

    fn boot(self: &Arc<Self>, runner: &Arc<Runner>) {
        std::thread::sleep(Duration::from_millis(runner.service.boot_ms));
        let Ok(listener) = TcpListener::bind(runner.address) else {
            runner.is_ended.store(true, Ordering::SeqCst);
            return;
        };
        runner.is_up.store(true, Ordering::SeqCst);
        *runner.up_since.lock().unwrap() = Some(Instant::now());
        for stream in listener.incoming().flatten() {
            if runner.is_ended.load(Ordering::SeqCst) {
                return;
            }
            let (platform, runner) = (Arc::clone(self), Arc::clone(runner));
            std::thread::spawn(move || platform.run_on(&runner, stream));
        }
    }

    /// Serves one connection of a runner.
    fn run_on(&self, runner: &Runner, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut rest) {
            let id = request.header("Request-Id").unwrap_or("").to_string();
            let target = request.header("Target-Instance");
            if target.is_some_and(|target| target != runner.id) {
                let headers = [("Not-Run", "1"), ("Request-Id", id.as_str())];
                if respond(&mut stream, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let in_flight = runner.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
            if in_flight > runner.service.concurrency {
                runner.in_flight.fetch_sub(1, Ordering::SeqCst);
                let headers = [("Not-Run", "1"), ("Request-Id", id.as_str())];
                if respond(&mut stream, 503, &headers, b"full").is_err() {
                    return;
                }
                continue;
            }
            let is_connected = self.run(runner, &request, &id, &mut stream);
            if !is_connected {
                return;
            }
        }
    }

    /// Runs one request. Returns whether the connection may carry another one.
    fn run(&self, runner: &Runner, request: &Message, id: &str, stream: &mut TcpStream) -> bool {
        let (method, path) = request.target();
        let host = request.header("Host").unwrap_or("");
        let body = format!("{method} {host}{path} ran as {id} at {}\n", runner.id);
        let number = {
            let mut runs = self.runs.lock().unwrap();
            let seal = format!("seal-{}", runs.len() + 1);
            runs.push(Run {
                request_id: id.to_string(),
                seal,
                body: body.clone().into_bytes(),
                is_answered: false,
            });
            runs.len() - 1
        };
        let seal = format!("seal-{}", number + 1);
        self.record.line(&format!(
            "runner {} of {} runs {id}: {method} {host}{path} ({} bytes), {seal}",
            runner.id,
            runner.service.name,
            request.body.len()
        ));
        let is_connected = work(stream, Duration::from_millis(runner.service.work_ms));
        runner.in_flight.fetch_sub(1, Ordering::SeqCst);
        if !is_connected {
            self.record.line(&format!(
                "runner {} sees the connection of {id} close during its work",
                runner.id
            ));
            return false;
        }
        let headers = [("Request-Id", id), ("Server-Seal", seal.as_str())];
        let is_answered = respond(stream, 200, &headers, body.as_bytes()).is_ok();
        self.runs.lock().unwrap()[number].is_answered = is_answered;
        is_answered
    }
}

/// Works for a while. Returns whether the connection is still open at the end, and stops early if it closes.
fn work(stream: &mut TcpStream, duration: Duration) -> bool {
    let began = Instant::now();
    let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
    let mut is_connected = true;
    while is_connected && began.elapsed() < duration {
        // Nothing may arrive before the response, so a read either times out or tells that the connection ended.
        let mut byte = [0; 1];
        is_connected = match stream.read(&mut byte) {
            Ok(_) => false,
            Err(error) => matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ),
        };
    }
    let _ = stream.set_read_timeout(None);
    is_connected
}

fn has_fence(request: &Message) -> bool {
    request.header("Duty-Holder").is_some() && request.header("Fence-Number").is_some()
}

fn started(runner: &Runner) -> String {
    format!(r#"{{"id":"{}","address":"{}"}}"#, runner.id, runner.address)
}

/// The value of a text field of a flat JSON object without escapes.
fn text_field(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\""))?;
    let rest = rest.trim_start().strip_prefix(':')?.trim_start();
    let (value, _) = rest.strip_prefix('"')?.split_once('"')?;
    Some(value.to_string())
}
