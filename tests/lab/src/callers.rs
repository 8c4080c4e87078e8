use crate::deployment::{Deployment, Stream};
use crate::run_log::unix_now_ms;
use crossbeam::channel::unbounded;
use oxhttp::model::Method;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use transport::{call, CallError, CallResponse};

/// Callers at once in ordinary traffic. The load is open-loop below this bound.
const CALLERS: usize = 800;
const STACK: usize = 128 * 1024;
/// How long a caller goes on asking for one piece of work.
const TIMEOUT: Duration = Duration::from_secs(20);

/// One HTTP request of a caller and its response.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// Its number, which the runner writes down.
    pub call: String,
    /// Outcome of its response: `answered`, `not-run`, `unknown`; without an answer `refused`, where
    /// nothing was sent, or `cut`, where the connection broke after that.
    pub outcome: String,
    /// Reason that went with it.
    pub reason: String,
    /// Whether a success was the runner's whole answer to this very request.
    pub is_right: bool,
}

/// One piece of work that a caller wanted done, over all its requests.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    pub kind: String,
    pub function: String,
    /// When it was due, in milliseconds since 1970.
    pub due_ms: u64,
    /// How late the first request left, since callers are bounded.
    pub late: Duration,
    /// From when it was due until the last answer.
    pub took: Duration,
    pub attempts: Vec<AttemptRecord>,
    pub is_done: bool,
}

struct Due {
    at: Instant,
    at_unix_ms: u64,
    stream: usize,
    function: String,
}

/// When calls are due: each stream at its rate, and crowds within the first half second.
fn schedule(deployment: &Deployment, seconds: u64, with_crowd: bool, seed: u64) -> Vec<(f64, Due)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut due = Vec::new();
    for (place, stream) in deployment.streams.iter().enumerate() {
        let functions = deployment.functions(&stream.group);
        let mut add = |time: f64, number: usize, random: &mut StdRng| {
            // A crowd goes round all functions, so that the rare ones are called together.
            let chosen = if time < 0.0 {
                number
            } else {
                random.random_range(0..functions.len())
            };
            let entry = Due {
                at: Instant::now(),
                at_unix_ms: 0,
                stream: place,
                function: functions[chosen % functions.len()].clone(),
            };
            due.push((time.abs(), entry));
        };
        let mut time = 0.0;
        while stream.rate > 0.0 && time < seconds as f64 {
            time += -(1.0 - random.random::<f64>()).ln() / stream.rate;
            add(time, 0, &mut random);
        }
        if with_crowd {
            for number in 0..stream.crowd {
                let time = -(random.random::<f64>() * 0.5 + f64::MIN_POSITIVE);
                add(time, number, &mut random);
            }
        }
    }
    due.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    due
}

/// Sends a deployment's traffic for some seconds and gives every wish that came of it.
pub fn send(
    deployment: &Deployment,
    fronts: &[SocketAddr],
    seconds: u64,
    with_crowd: bool,
    seed: u64,
) -> Vec<PlannedCall> {
    send_by(CALLERS, deployment, fronts, seconds, with_crowd, seed)
}

/// The same, by so many callers.
pub fn send_by(
    callers: usize,
    deployment: &Deployment,
    fronts: &[SocketAddr],
    seconds: u64,
    with_crowd: bool,
    seed: u64,
) -> Vec<PlannedCall> {
    let (sender, receiver) = unbounded::<Due>();
    let planned_calls = Arc::new(Mutex::new(Vec::new()));
    let deployment = Arc::new(deployment.clone());
    let numbers = Arc::new(AtomicU64::new(0));
    let fronts: Arc<Vec<SocketAddr>> = Arc::new(fronts.to_vec());
    let callers: Vec<_> = (0..callers)
        .filter_map(|_| {
            let (receiver, planned_calls) = (receiver.clone(), planned_calls.clone());
            let (deployment, numbers) = (deployment.clone(), numbers.clone());
            let fronts = fronts.clone();
            let caller = move || {
                for due in &receiver {
                    let stream = &deployment.streams[due.stream];
                    let planned_call = pursue(&deployment, stream, &due, &fronts, &numbers, seed);
                    planned_calls.lock().push(planned_call);
                }
            };
            let builder = thread::Builder::new().stack_size(STACK);
            builder.spawn(caller).ok()
        })
        .collect();
    drop(receiver);
    let began = Instant::now();
    let began_unix = unix_now_ms();
    for (time, mut due) in schedule(&deployment, seconds, with_crowd, seed) {
        due.at = began + Duration::from_secs_f64(time);
        due.at_unix_ms = began_unix + (time * 1_000.0) as u64;
        thread::sleep(due.at.saturating_duration_since(Instant::now()));
        let _ = sender.send(due);
    }
    drop(sender);
    for caller in callers {
        let _ = caller.join();
    }
    let planned_calls = std::mem::take(&mut *planned_calls.lock());
    planned_calls
}

fn is_once(deployment: &Deployment, kind: &str) -> bool {
    let mut kinds = deployment.kinds.iter();
    kinds.any(|known| known.name == kind && known.once)
}

fn pursue(
    deployment: &Deployment,
    stream: &Stream,
    due: &Due,
    fronts: &[SocketAddr],
    numbers: &AtomicU64,
    seed: u64,
) -> PlannedCall {
    let number = numbers.fetch_add(1, Ordering::Relaxed);
    let key =
        is_once(deployment, &stream.kind).then(|| format!("{}-{seed}-{number}", unix_now_ms()));
    let mut planned_call = PlannedCall {
        kind: stream.kind.clone(),
        function: due.function.clone(),
        due_ms: due.at_unix_ms,
        late: due.at.elapsed(),
        took: Duration::ZERO,
        attempts: Vec::new(),
        is_done: false,
    };
    let most = if stream.is_hasty { 6 } else { 4 };
    for ask_no in 0..most {
        let front = fronts[(number as usize + ask_no) % fronts.len()];
        let call_no = format!("{seed}-{number}-{ask_no}");
        let (ask, pause) = ask_once(due, stream, key.as_deref(), front, &call_no);
        let is_answered = ask.outcome == "answered";
        planned_call.is_done = is_answered && ask.is_right;
        let is_elsewhere = matches!(ask.reason.as_str(), "draining" | "no-standing")
            || matches!(ask.outcome.as_str(), "refused" | "cut");
        let is_over = is_answered || (ask.outcome == "unknown" && key.is_none());
        planned_call.attempts.push(ask);
        if is_over || due.at.elapsed() > TIMEOUT {
            break;
        }
        if !stream.is_hasty && !is_elsewhere {
            thread::sleep(pause);
        }
    }
    planned_call.took = due.at.elapsed();
    planned_call
}

fn ask_once(
    due: &Due,
    stream: &Stream,
    key: Option<&str>,
    front: SocketAddr,
    call_no: &str,
) -> (AttemptRecord, Duration) {
    // Work under one key must keep one body, so the number of the request is not in it.
    let body_no = key.unwrap_or(call_no);
    let body = serde_json::json!({ "call": body_no, "function": due.function });
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let uri = format!("http://{front}/call/{}", due.function);
    let mut headers = vec![
        ("content-type", "application/json"),
        ("hallkeel-kind", stream.kind.as_str()),
    ];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let answer = call(Method::POST, &uri, &headers, body, TIMEOUT, 1 << 20);
    let mut ask = AttemptRecord {
        call: body_no.to_string(),
        outcome: "cut".into(),
        reason: String::new(),
        is_right: false,
    };
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            if matches!(error, CallError::NotConnected(_)) {
                ask.outcome = "refused".into();
            }
            return (ask, Duration::from_millis(200));
        }
    };
    let reported: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    ask.outcome = outcome_of(&answer);
    ask.reason = reported["reason"].as_str().unwrap_or_default().to_string();
    ask.is_right = answer.status == 200
        && reported["call"] == body_no
        && reported["function"] == due.function.as_str();
    let pause = reported["retry_after_ms"].as_u64().unwrap_or(1_000);
    (ask, Duration::from_millis(pause))
}

fn outcome_of(answer: &CallResponse) -> String {
    let outcome = answer.headers.get("hallkeel-outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok());
    outcome.unwrap_or("none").to_string()
}
