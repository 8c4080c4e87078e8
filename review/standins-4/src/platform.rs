//! The platform: its lists, and the runners that it starts. A runner is a listener of its own on a loopback address.

use crate::http::{self, Message};
use crate::record::Record;
use std::collections::HashMap;
use std::io::BufReader;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["pest-a", "pest-b", "pest-c"];
const WORKER_MB: u64 = 7_287;
const RUNNER_MB: u64 = 512;
const BOOT: Duration = Duration::from_millis(500);
const LIST_LAG: Duration = Duration::from_millis(200);
const WORK: Duration = Duration::from_millis(20);
const RUNNER_PORT: u16 = 8_500;

struct Runner {
    id: String,
    service: String,
    worker: String,
    address: SocketAddr,
    started: Instant,
    stopped: Arc<AtomicBool>,
}

#[derive(Default)]
struct State {
    runners: Vec<Runner>,
    by_nonce: HashMap<(String, String), usize>,
}

/// The platform's API.
#[derive(Clone)]
pub struct Platform {
    network: u8,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Platform {
    /// Listens on its address.
    pub fn start(address: SocketAddr, network: u8, record: &Record) -> std::io::Result<Self> {
        let platform = Self {
            network,
            state: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind(address)?;
        let server = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(platform)
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        while let Some(request) = http::read(&mut reader) {
            let (status, body) = self.answer(&request);
            let first = format!("HTTP/1.1 {status} -");
            let headers = [("Content-Type", "application/json")];
            if http::write(&mut stream, &first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.first.split(' ').nth(1).unwrap_or_default();
        let path = target.split('?').next().unwrap_or_default();
        match path {
            "/instances" => (200, self.instances()),
            "/v1/workers" => (200, self.workers()),
            "/v1/begin" => self.begin(&request.text()),
            "/v1/stop" => self.stop(&request.text()),
            _ => (404, "{}".into()),
        }
    }

    fn instances(&self) -> String {
        let Ok(state) = self.state.lock() else {
            return String::new();
        };
        let listed = state.runners.iter().filter(|runner| {
            runner.started.elapsed() > BOOT + LIST_LAG && !runner.stopped.load(Ordering::Relaxed)
        });
        let listed: Vec<String> = listed
            .map(|runner| {
                let zone = runner.worker.trim_start_matches("w-");
                format!(
                    r#"{{"id":"{}","service":"{}","address":"{}","zone":"{zone}","version":"v1","capacity":4,"state":"ready","cold_left_ms":0,"worker_id":"{}"}}"#,
                    runner.id, runner.service, runner.address, runner.worker
                )
            })
            .collect();
        format!(
            r#"{{"instances":[{}],"next_token":null}}"#,
            listed.join(",")
        )
    }

    fn workers(&self) -> String {
        let Ok(state) = self.state.lock() else {
            return String::new();
        };
        let workers = ZONES.map(|zone| {
            let name = format!("w-{zone}");
            let running = state.runners.iter().filter(|runner| {
                runner.worker == name && !runner.stopped.load(Ordering::Relaxed)
            });
            let free = WORKER_MB.saturating_sub(running.count() as u64 * RUNNER_MB);
            format!(
                r#"{{"name":"{name}","zone":"{zone}","memory_mb":{WORKER_MB},"free_memory_mb":{free},"state":"ready"}}"#
            )
        });
        format!(r#"{{"worker_list":[{}]}}"#, workers.join(","))
    }

    fn begin(&self, body: &str) -> (u16, String) {
        let fields = ["service", "worker_id", "request_nonce"].map(|name| field(body, name));
        let [Some(service), Some(worker), Some(nonce)] = fields else {
            return (400, "{}".into());
        };
        let Ok(mut state) = self.state.lock() else {
            return (503, "{}".into());
        };
        let key = (service.clone(), nonce);
        let index = match state.by_nonce.get(&key) {
            Some(index) => *index,
            None => {
                let runner = self.start_runner(state.runners.len(), service, worker);
                state.runners.push(runner);
                let index = state.runners.len() - 1;
                state.by_nonce.insert(key, index);
                index
            }
        };
        let runner = &state.runners[index];
        let answer = format!(r#"{{"id":"{}","address":"{}"}}"#, runner.id, runner.address);
        (200, answer)
    }

    fn start_runner(&self, index: usize, service: String, worker: String) -> Runner {
        let ip = Ipv4Addr::new(
            127,
            self.network,
            100 + (index / 200) as u8,
            1 + (index % 200) as u8,
        );
        let address = SocketAddr::new(IpAddr::V4(ip), RUNNER_PORT);
        let stopped = Arc::new(AtomicBool::new(false));
        let runner = Runner {
            id: format!("i-{index:06x}"),
            service,
            worker,
            address,
            started: Instant::now(),
            stopped: Arc::clone(&stopped),
        };
        let (id, record) = (runner.id.clone(), self.record.clone());
        thread::spawn(move || {
            thread::sleep(BOOT);
            let Ok(listener) = TcpListener::bind(address) else {
                return;
            };
            for stream in listener.incoming().flatten() {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (id, record) = (id.clone(), record.clone());
                thread::spawn(move || run_requests(stream, &id, &record));
            }
        });
        runner
    }

    fn stop(&self, body: &str) -> (u16, String) {
        let Some(id) = field(body, "id") else {
            return (400, "{}".into());
        };
        let Ok(state) = self.state.lock() else {
            return (503, "{}".into());
        };
        let Some(runner) = state.runners.iter().find(|runner| runner.id == id) else {
            return (404, "{}".into());
        };
        runner.stopped.store(true, Ordering::Relaxed);
        // The listener ends with this connection.
        let _ = TcpStream::connect_timeout(&runner.address, Duration::from_millis(200));
        (200, "{}".into())
    }
}

/// A runner's connection: runs each request that names this runner, and seals the answer.
fn run_requests(mut stream: TcpStream, id: &str, record: &Record) {
    let Ok(reader) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reader);
    while let Some(request) = http::read(&mut reader) {
        let request_id = request.header("request-id").unwrap_or_default().to_string();
        let target = request.header("target-instance").unwrap_or(id);
        let written = if target == id {
            record.line(&format!(
                "runner {id} runs request {request_id}: {}",
                request.first
            ));
            thread::sleep(WORK);
            let seal = format!("seal.{id}.{request_id}");
            let headers = [("Request-Id", request_id.as_str()), ("Server-Seal", &seal)];
            http::write(&mut stream, "HTTP/1.1 200 OK", &headers, b"done")
        } else {
            let headers = [("Request-Id", request_id.as_str()), ("Not-Run", "1")];
            http::write(
                &mut stream,
                "HTTP/1.1 421 Misdirected Request",
                &headers,
                b"",
            )
        };
        if written.is_err() {
            return;
        }
    }
}

/// The text of a field of a flat JSON object whose texts need no escapes.
fn field(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\""))?;
    let (_, rest) = rest.split_once('"')?;
    let (value, _) = rest.split_once('"')?;
    Some(value.to_string())
}
