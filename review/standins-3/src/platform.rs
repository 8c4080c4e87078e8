//! The platform's interfaces and the runners that it starts.

use crate::http::{answer, Connection, Message};
use crate::record::Record;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const IDLE: Duration = Duration::from_secs(60);
/// How long the list of runners lags.
const LAG: Duration = Duration::from_millis(300);
const WORKER_MB: usize = 40_000;
const BOOT: Duration = Duration::from_millis(300);
pub const MEMORY_MB: usize = 256;

/// A runner, as its behaviour sees it.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub worker: usize,
    pub concurrency: usize,
    busy: AtomicUsize,
    listed: Mutex<Option<Instant>>,
    ended: Mutex<Option<Instant>>,
}

/// What a runner does with a request for which it has a slot: takes the connection and the request. Returns false if the connection is to be closed.
pub type Behaviour = dyn Fn(&Runner, &mut Connection, &Message) -> bool + Send + Sync + 'static;

/// A start or a stop that the platform received.
#[derive(Clone, Debug)]
pub struct Act {
    pub at: Instant,
    pub holder: String,
    pub service: String,
}

pub struct Platform {
    record: Arc<Record>,
    zones: Vec<String>,
    services: HashMap<String, usize>,
    behaviour: Box<Behaviour>,
    runners_ip: String,
    runners: Mutex<Vec<Arc<Runner>>>,
    acts: Mutex<Vec<Act>>,
    nonces: Mutex<HashMap<String, usize>>,
}

impl Platform {
    /// Serves the interfaces at an address. `services` has the concurrency of each service.
    pub fn open(
        address: &str,
        runners_ip: &str,
        zones: &[&str],
        services: &[(&str, usize)],
        record: &Arc<Record>,
        behaviour: Box<Behaviour>,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let services = services
            .iter()
            .map(|(name, size)| (name.to_string(), *size));
        let platform = Arc::new(Self {
            record: Arc::clone(record),
            zones: zones.iter().map(|zone| zone.to_string()).collect(),
            services: services.collect(),
            behaviour,
            runners_ip: runners_ip.to_string(),
            runners: Mutex::default(),
            acts: Mutex::default(),
            nonces: Mutex::default(),
        });
        let own = Arc::clone(&platform);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Some(message) = connection.read(IDLE) {
                        let (status, body) = own.serve(&message);
                        let headers = [("Content-Type", "application/json")];
                        if !connection.send(&answer(status, &headers, body.as_bytes())) {
                            break;
                        }
                    }
                });
            }
        });
        Ok(platform)
    }

    /// The starts and stops received so far.
    pub fn acts(&self) -> Vec<Act> {
        self.acts.lock().unwrap().clone()
    }

    fn record_act(&self, message: &Message) {
        let holder = message.header("Duty-Holder").unwrap_or("").to_string();
        let fence = message.header("Fence-Number").unwrap_or("");
        let body = message.text();
        let path = message.word(1);
        self.record.line(&format!(
            "platform: {path} by {holder}, fence {fence}: {body}"
        ));
        let service = field(&body, "service").or_else(|| {
            let id = field(&body, "id")?;
            let runners = self.runners.lock().unwrap();
            let stopped = runners.iter().find(|one| one.id == id)?;
            Some(stopped.service.clone())
        });
        self.acts.lock().unwrap().push(Act {
            at: Instant::now(),
            holder,
            service: service.unwrap_or_default(),
        });
    }

    /// The runners that are up.
    pub fn running(&self) -> Vec<Arc<Runner>> {
        let runners = self.runners.lock().unwrap();
        let is_up = |one: &&Arc<Runner>| {
            one.listed.lock().unwrap().is_some() && one.ended.lock().unwrap().is_none()
        };
        runners.iter().filter(is_up).cloned().collect()
    }

    fn serve(self: &Arc<Self>, message: &Message) -> (u16, String) {
        let target = message.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match (message.word(0), path) {
            ("GET", "/v1/workers") => self.workers(),
            ("GET", "/instances") => self.instances(query),
            ("POST", "/v1/begin") => {
                self.record_act(message);
                self.begin(&message.text())
            }
            ("POST", "/v1/stop") => {
                self.record_act(message);
                self.stop(&message.text())
            }
            _ => (404, "{}".into()),
        }
    }

    fn free_mb(&self, worker: usize) -> usize {
        let runners = self.runners.lock().unwrap();
        let held = runners
            .iter()
            .filter(|one| one.worker == worker && one.ended.lock().unwrap().is_none());
        WORKER_MB.saturating_sub(MEMORY_MB * held.count())
    }

    fn workers(&self) -> (u16, String) {
        let list = self.zones.iter().enumerate().map(|(index, zone)| {
            let (free, whole) = (self.free_mb(index), WORKER_MB);
            format!(
                r#"{{"name":"w-{index}","zone":"{zone}","memory_mb":{whole},"free_memory_mb":{free},"state":"ready"}}"#
            )
        });
        let list: Vec<String> = list.collect();
        (200, format!(r#"{{"worker_list":[{}]}}"#, list.join(",")))
    }

    fn instances(&self, query: &str) -> (u16, String) {
        let zone = query
            .split('&')
            .find_map(|field| field.strip_prefix("zone="));
        let is_visible =
            |at: &Mutex<Option<Instant>>| at.lock().unwrap().is_some_and(|at| at.elapsed() >= LAG);
        let runners = self.runners.lock().unwrap();
        let listed = runners
            .iter()
            .filter(|one| is_visible(&one.listed) && !is_visible(&one.ended));
        let listed = listed.filter(|one| zone.is_none_or(|zone| zone == self.zones[one.worker]));
        let listed = listed.map(|one| {
            format!(
                r#"{{"id":"{}","service":"{}","address":"{}","zone":"{}","version":"v1","capacity":{},"state":"ready","cold_left_ms":0,"worker_id":"w-{}"}}"#,
                one.id, one.service, one.address, self.zones[one.worker], one.concurrency, one.worker
            )
        });
        let listed: Vec<String> = listed.collect();
        (
            200,
            format!(
                r#"{{"instances":[{}],"next_token":null}}"#,
                listed.join(",")
            ),
        )
    }

    fn begin(self: &Arc<Self>, body: &str) -> (u16, String) {
        let service = field(body, "service").unwrap_or_default();
        let worker = field(body, "worker_id").unwrap_or_default();
        let Some(nonce) = field(body, "request_nonce") else {
            return (400, "{}".into());
        };
        let Some(concurrency) = self.services.get(&service).copied() else {
            return (400, "{}".into());
        };
        let worker: Option<usize> = worker.strip_prefix("w-").and_then(|text| text.parse().ok());
        let Some(worker) = worker.filter(|index| *index < self.zones.len()) else {
            return (409, "{}".into());
        };
        let key = format!("{service} {nonce}");
        let mut nonces = self.nonces.lock().unwrap();
        if let Some(index) = nonces.get(&key) {
            let one = &self.runners.lock().unwrap()[*index];
            return (
                200,
                format!(r#"{{"id":"{}","address":"{}"}}"#, one.id, one.address),
            );
        }
        if self.free_mb(worker) < MEMORY_MB {
            return (409, "{}".into());
        }
        let mut runners = self.runners.lock().unwrap();
        let index = runners.len();
        let address: SocketAddr = format!("{}:{}", self.runners_ip, 10_000 + index)
            .parse()
            .unwrap();
        let runner = Arc::new(Runner {
            id: format!("i-{index:08x}"),
            service: service.clone(),
            address,
            worker,
            concurrency,
            busy: AtomicUsize::new(0),
            listed: Mutex::default(),
            ended: Mutex::default(),
        });
        self.record.line(&format!(
            "platform: starts {} of {service} on w-{worker}",
            runner.id
        ));
        runners.push(Arc::clone(&runner));
        nonces.insert(key, index);
        let own = Arc::clone(self);
        let answer = format!(r#"{{"id":"{}","address":"{address}"}}"#, runner.id);
        std::thread::spawn(move || {
            std::thread::sleep(BOOT);
            own.listen(&runner);
        });
        (200, answer)
    }

    fn stop(&self, body: &str) -> (u16, String) {
        let id = field(body, "id").unwrap_or_default();
        let runners = self.runners.lock().unwrap();
        let Some(one) = runners.iter().find(|one| one.id == id) else {
            return (404, "{}".into());
        };
        self.record.line(&format!("platform: stops {id}"));
        one.ended.lock().unwrap().get_or_insert(Instant::now());
        (200, "{}".into())
    }

    fn listen(self: &Arc<Self>, runner: &Arc<Runner>) {
        let Ok(listener) = TcpListener::bind(runner.address) else {
            self.record
                .line(&format!("runner {}: its address is in use", runner.id));
            return;
        };
        *runner.listed.lock().unwrap() = Some(Instant::now());
        for stream in listener.incoming().flatten() {
            if runner.ended.lock().unwrap().is_some() {
                return;
            }
            let (own, runner) = (Arc::clone(self), Arc::clone(runner));
            std::thread::spawn(move || own.serve_runner(&runner, Connection::new(stream)));
        }
    }

    fn serve_runner(&self, runner: &Runner, mut connection: Connection) {
        while let Some(request) = connection.read(IDLE) {
            let id = request.header("Request-Id").unwrap_or("").to_string();
            if request
                .header("Target-Instance")
                .is_some_and(|target| target != runner.id)
            {
                connection.send(&answer(421, &[("Not-Run", "1"), ("Request-Id", &id)], b""));
                continue;
            }
            let busy = runner.busy.fetch_add(1, Ordering::SeqCst) + 1;
            let stays = if busy > runner.concurrency {
                self.record
                    .line(&format!("runner {}: {id} turned away, full", runner.id));
                let bytes = answer(503, &[("Not-Run", "1"), ("Request-Id", &id)], b"full");
                connection.send(&bytes)
            } else {
                (self.behaviour)(runner, &mut connection, &request)
            };
            runner.busy.fetch_sub(1, Ordering::SeqCst);
            if !stays {
                return;
            }
        }
    }
}

/// The text of a field of a flat JSON object.
pub fn field(body: &str, name: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{name}\""))?.1;
    let rest = rest.trim_start().strip_prefix(':')?.trim_start();
    Some(rest.strip_prefix('"')?.split('"').next()?.to_string())
}
