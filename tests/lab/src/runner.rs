use crate::run_log::RunLog;
use hmac::{Hmac, Mac};
use parking_lot::Mutex;
use rand::Rng;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const HEAD_MAX: usize = 16 * 1024;
const BODY_MAX: usize = 1 << 20;

/// How a stand-in runner misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunnerFault {
    /// It runs the request and closes the connection.
    LoseAnswer,
    /// It runs the request and sends bytes that are no HTTP.
    Garbage,
    /// It runs the request and sends half of the answer.
    Truncate,
    /// It runs the request and does not seal the answer.
    NoSeal,
    /// It seals another request's answer.
    Foreign,
    /// It runs the request and never answers.
    Stall,
    /// It works ten times as long.
    Slow,
}

/// What a function's runners do wrong, and in which share of requests.
pub type RunnerFaults = Arc<Mutex<HashMap<String, (RunnerFault, f64)>>>;

/// What a runner is started with.
#[derive(Clone, Debug, Deserialize)]
pub struct RunnerStart {
    /// Its id.
    pub id: String,
    /// Its function.
    pub function: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Key for its seals, in hex.
    pub key: String,
    /// Whether it runs requests that are meant for another runner, against the contract.
    #[serde(default)]
    pub takes_any: bool,
}

/// A runner that serves until it is stopped.
pub struct Runner {
    pub command: RunnerStart,
    is_stopped: Arc<AtomicBool>,
}

struct Inside {
    command: RunnerStart,
    key: Vec<u8>,
    pace_ms: u64,
    run_log: Arc<RunLog>,
    runner_faults: RunnerFaults,
    times: Arc<AtomicU32>,
    in_flight: AtomicU32,
}

struct Asked {
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .filter_map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Runner {
    /// Starts a runner that takes connections after its start time.
    pub fn start(
        command: RunnerStart,
        start_ms: u64,
        pace_ms: u64,
        run_log: Arc<RunLog>,
        runner_faults: RunnerFaults,
        times: Arc<AtomicU32>,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let inside = Arc::new(Inside {
            key: unhex(&command.key),
            command: command.clone(),
            pace_ms,
            run_log,
            runner_faults,
            times,
            in_flight: AtomicU32::new(0),
        });
        let stopped = is_stopped.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(start_ms));
            if let Err(error) = accept(&inside, &stopped) {
                log::error!("lab: runner {} cannot listen: {error}", inside.command.id);
            }
        });
        Self {
            command,
            is_stopped,
        }
    }

    /// Stops taking connections; what runs goes on.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.command.address, Duration::from_millis(200));
    }
}

fn accept(inside: &Arc<Inside>, is_stopped: &AtomicBool) -> io::Result<()> {
    if is_stopped.load(Ordering::SeqCst) {
        return Ok(());
    }
    let listener = TcpListener::bind(inside.command.address)?;
    for stream in listener.incoming() {
        if is_stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let Ok(stream) = stream else {
            continue;
        };
        let inside = inside.clone();
        thread::spawn(move || {
            let _ = serve(&inside, stream);
        });
    }
    Ok(())
}

fn read_request(stream: &mut TcpStream) -> io::Result<Option<Asked>> {
    let mut bytes = Vec::new();
    let mut part = [0; 8 * 1024];
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut request = httparse::Request::new(&mut headers);
        let parsed = request.parse(&bytes).map_err(io::Error::other)?;
        if let httparse::Status::Complete(head) = parsed {
            let headers: HashMap<String, String> = request
                .headers
                .iter()
                .map(|header| {
                    let value = String::from_utf8_lossy(header.value).into_owned();
                    (header.name.to_ascii_lowercase(), value)
                })
                .collect();
            let length = headers
                .get("content-length")
                .and_then(|length| length.parse::<usize>().ok())
                .unwrap_or(0);
            if length > BODY_MAX {
                return Ok(None);
            }
            let mut body = bytes.split_off(head);
            while body.len() < length {
                let read = stream.read(&mut part)?;
                if read == 0 {
                    return Ok(None);
                }
                body.extend_from_slice(&part[..read]);
            }
            return Ok(Some(Asked { headers, body }));
        }
        let read = stream.read(&mut part)?;
        if read == 0 || bytes.len() > HEAD_MAX {
            return Ok(None);
        }
        bytes.extend_from_slice(&part[..read]);
    }
}

fn respond(stream: &mut TcpStream, status: &str, extra: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n{extra}\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

fn seal_of(key: &[u8], queued_request: &str, runner: &str, body: &[u8]) -> String {
    let digest = hex(&Sha256::digest(body));
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length is a key");
    mac.update(format!("{queued_request}\n{runner}\n200\napplication/json\n{digest}").as_bytes());
    hex(&mac.finalize().into_bytes())
}

fn serve(inside: &Inside, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let Some(asked) = read_request(&mut stream)? else {
        return Ok(());
    };
    if header(&asked, "hallkeel-runner") != inside.command.id && !inside.command.takes_any {
        let command = &inside.command;
        let call = call_of(&asked);
        inside
            .run_log
            .note_misdirected(&command.id, &command.function, &call);
        return respond(&mut stream, "421 Misdirected Request", "", b"{}");
    }
    let runner_fault = work(inside, &asked);
    // The work is over before its answer leaves: whoever has the answer may send the next request.
    inside.in_flight.fetch_sub(1, Ordering::SeqCst);
    let result = answer(inside, &mut stream, &asked, runner_fault);
    let _ = stream.shutdown(Shutdown::Both);
    result
}

fn header(asked: &Asked, name: &str) -> String {
    asked.headers.get(name).cloned().unwrap_or_default()
}

fn call_of(asked: &Asked) -> String {
    let sent: serde_json::Value = serde_json::from_slice(&asked.body).unwrap_or_default();
    sent["call"].as_str().unwrap_or("-").to_string()
}

/// Runs a request, and gives what will go wrong with its answer.
fn work(inside: &Inside, asked: &Asked) -> Option<RunnerFault> {
    let call = call_of(asked);
    let key = asked
        .headers
        .get("idempotency-key")
        .cloned()
        .unwrap_or_else(|| "-".into());
    let command = &inside.command;
    inside.run_log.note(
        &command.id,
        &command.function,
        &call,
        &key,
        &inside.in_flight,
    );
    let runner_fault = inside.runner_faults.lock().get(&command.function).copied();
    let runner_fault = runner_fault
        .filter(|(_, share)| rand::rng().random_bool(share.clamp(0.0, 1.0)))
        .map(|(runner_fault, _)| runner_fault);
    let spread = rand::rng().random_range(0.67..1.33);
    let times = f64::from(inside.times.load(Ordering::Relaxed));
    let factor = if runner_fault == Some(RunnerFault::Slow) {
        10.0 * times
    } else {
        times
    };
    let budget_ms: u64 = header(asked, "hallkeel-budget-ms").parse().unwrap_or(1_000);
    let work_ms = match runner_fault {
        Some(RunnerFault::Stall) => budget_ms,
        _ => ((inside.pace_ms as f64 * spread * factor) as u64).min(budget_ms),
    };
    thread::sleep(Duration::from_millis(work_ms));
    runner_fault
}

fn answer(
    inside: &Inside,
    stream: &mut TcpStream,
    asked: &Asked,
    runner_fault: Option<RunnerFault>,
) -> io::Result<()> {
    let command = &inside.command;
    let answer = serde_json::json!({ "call": call_of(asked), "function": command.function });
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    let queued_request = header(asked, "hallkeel-ticket");
    let seal = seal_of(&inside.key, &queued_request, &command.id, &body);
    let sealed = format!("hallkeel-seal: {seal}\r\n");
    match runner_fault {
        None | Some(RunnerFault::Slow) => respond(stream, "200 OK", &sealed, &body),
        Some(RunnerFault::LoseAnswer | RunnerFault::Stall) => Ok(()),
        Some(RunnerFault::Garbage) => stream.write_all(&[0xde, 0xad, 0xbe, 0xef, 0x0a]),
        Some(RunnerFault::Truncate) => {
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n{sealed}\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes())?;
            stream.write_all(&body[..body.len() / 2])
        }
        Some(RunnerFault::NoSeal) => respond(stream, "200 OK", "", &body),
        Some(RunnerFault::Foreign) => {
            let foreign = serde_json::json!({ "call": "foreign", "function": command.function });
            let foreign = serde_json::to_vec(&foreign).unwrap_or_default();
            respond(stream, "200 OK", &sealed, &foreign)
        }
    }
}
