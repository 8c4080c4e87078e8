//! Case: many clients of one zone come at once, with bodies at the configured limit.
//!
//! Clients keep their connections. Each sends a short safe request and then, over the same connection, one unsafe request
//! after the other, with a body of `max_body_bytes`; the runners work on each for a second and a half. The crowd: for four
//! seconds there are three times as many clients.

use http1::Request;
use review_standins_2::deployment::Deployment;
use review_standins_2::platform::Service;
use review_standins_2::record::Record;
use review_standins_2::runner::{answer, Behaviour, Runner};
use review_standins_2::{client, has_trouble, ms, operator, BROKEN, COULD_NOT_RUN, HELD};
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Clients on calm days, and how many times as many come in a crowd.
const CLIENTS: usize = 120;
const CROWD: usize = 3;
const BODY_BYTES: usize = 262_144;
const WORK_MS: u64 = 1_500;
const TIME_LEFT: Duration = Duration::from_millis(4_000);
/// More connections than this must be closed without an answer: "more than three times".
const ALLOWED: usize = 3;
const CALM: Duration = Duration::from_secs(12);
const CROWDED: Duration = Duration::from_secs(4);

#[derive(Default)]
struct State {
    begun: HashMap<String, Instant>,
    answered: HashSet<String>,
    broken_off: HashSet<String>,
}

fn serve(
    state: &Mutex<State>,
    runner: &Arc<Runner>,
    request: &Request,
    stream: &mut TcpStream,
) -> bool {
    let id = request
        .headers
        .get_text("Request-Id")
        .unwrap_or("")
        .to_string();
    let in_flight = runner.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
    if in_flight > runner.concurrency {
        runner.in_flight.fetch_sub(1, Ordering::SeqCst);
        return answer(
            stream,
            503,
            &[("Not-Run", "1"), ("Request-Id", &id)],
            b"full",
        );
    }
    let is_long = request.method == "POST";
    if is_long {
        state
            .lock()
            .unwrap()
            .begun
            .insert(id.clone(), Instant::now());
        std::thread::sleep(ms(WORK_MS));
    }
    runner.in_flight.fetch_sub(1, Ordering::SeqCst);
    let seal = format!("seal.{}.{id}", runner.id);
    let headers = [("Request-Id", id.as_str()), ("Server-Seal", seal.as_str())];
    let is_written = answer(stream, 200, &headers, format!("ran {id}").as_bytes());
    if is_long {
        let mut state = state.lock().unwrap();
        if is_written {
            state.answered.insert(id);
        } else {
            state.broken_off.insert(id);
        }
    }
    is_written
}

struct Tally {
    served: AtomicUsize,
    refused: AtomicUsize,
    lost: AtomicUsize,
    other: AtomicUsize,
}

/// A client: one kept connection at a time, one request at a time.
fn send_requests(
    number: usize,
    address: SocketAddr,
    is_over: &AtomicBool,
    state: &Mutex<State>,
    tally: &Tally,
    record: &Record,
) {
    let body = vec![b'b'; BODY_BYTES];
    let mut connection: Option<client::Connection> = None;
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("q{number:03x}-{count:04x}");
        if connection.is_none() {
            connection = client::Connection::open(address);
            let Some(opened) = connection.as_mut() else {
                std::thread::sleep(ms(100));
                continue;
            };
            let first = format!("{id}-first");
            let headers = [
                ("Host", "one.example"),
                ("Request-Id", first.as_str()),
                ("Time-Left", "4000"),
            ];
            opened.send(&client::request_bytes("GET", "/look/x", &headers, b""));
            let is_kept = opened
                .receive(ms(4_500))
                .is_some_and(|answer| answer.keeps_alive);
            if !is_kept {
                connection = None;
                std::thread::sleep(ms(100));
                continue;
            }
        }
        let Some(kept) = connection.as_mut() else {
            continue;
        };
        let headers = [
            ("Host", "one.example"),
            ("Request-Id", id.as_str()),
            ("Time-Left", "4000"),
        ];
        let is_sent = kept.send(&client::request_bytes("POST", "/sign/x", &headers, &body));
        let sent_at = Instant::now();
        let status = kept.receive(ms(4_500)).map(|answer| answer.status);
        let waited = sent_at.elapsed();
        match status {
            Some(200) => tally.served.fetch_add(1, Ordering::SeqCst),
            Some(429 | 503) => tally.refused.fetch_add(1, Ordering::SeqCst),
            Some(_) => tally.other.fetch_add(1, Ordering::SeqCst),
            None => {
                connection = None;
                let has_begun = state.lock().unwrap().begun.contains_key(&id);
                if is_sent && has_begun && waited < TIME_LEFT {
                    record.line(format!("client: {id} was begun by a runner, and its kept connection was closed after {waited:?} without an answer"));
                    tally.lost.fetch_add(1, Ordering::SeqCst)
                } else {
                    tally.other.fetch_add(1, Ordering::SeqCst)
                }
            }
        };
        if status != Some(200) {
            std::thread::sleep(ms(250));
        }
    }
}

fn run(record: &Arc<Record>) -> Option<bool> {
    let state = Arc::new(Mutex::new(State::default()));
    let deployment = Deployment::start()?;
    let shared = Arc::clone(&state);
    let behaviour: Behaviour = Arc::new(
        move |runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream| {
            serve(&shared, runner, request, stream)
        },
    );
    let service = Service {
        memory_mb: 1_024,
        boot_ms: 750,
        concurrency: 8,
        behaviour,
    };
    deployment.platform.add_service("imza", service);
    let routes = vec![
        operator::route("sign", "/sign/", "unsafe", "imza", 1),
        operator::route("look", "/look/", "safe", "imza", 2),
    ];
    let services = vec![operator::service("imza", 1_024, 750, 8)];
    let document = operator::configuration(1, routes, services);
    if deployment.replace(0, &document) != Some(200) || !deployment.wait_ready() {
        return None;
    }
    let tally = Tally {
        served: AtomicUsize::new(0),
        refused: AtomicUsize::new(0),
        lost: AtomicUsize::new(0),
        other: AtomicUsize::new(0),
    };
    let is_over = AtomicBool::new(false);
    let address = deployment.public(0);
    let counts = |record: &Record| {
        let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
        record.line(format!(
            "served {}, refused {}, begun and closed without an answer {}, other {}",
            count(&tally.served),
            count(&tally.refused),
            count(&tally.lost),
            count(&tally.other)
        ));
    };
    std::thread::scope(|scope| {
        let spawn = |number: usize| {
            let (is_over, state, tally, record) = (&is_over, &*state, &tally, &**record);
            scope.spawn(move || send_requests(number, address, is_over, state, tally, record));
        };
        for number in 0..CLIENTS {
            spawn(number);
            std::thread::sleep(ms(30));
        }
        std::thread::sleep(CALM);
        counts(record);
        if has_trouble() {
            record.line("the crowd comes");
            (CLIENTS..CLIENTS * CROWD).for_each(spawn);
        }
        std::thread::sleep(CROWDED);
        counts(record);
        is_over.store(true, Ordering::SeqCst);
    });
    counts(record);
    let (served, lost) = (
        tally.served.load(Ordering::SeqCst),
        tally.lost.load(Ordering::SeqCst),
    );
    let state = state.lock().unwrap();
    record.line(format!(
        "begun {}, answered by runners {}, answers that no gateway took {}",
        state.begun.len(),
        state.answered.len(),
        state.broken_off.len()
    ));
    let mut gateways = deployment.gateways.iter();
    let evictions = gateways
        .next()
        .map_or(0, |one| one.log().matches("memory exceeded").count());
    record.line(format!(
        "closings of clients that the gateway's log tells: {evictions}"
    ));
    if served < 200 {
        return None;
    }
    if lost > ALLOWED {
        record.line(format!("LOST: {lost} requests were passed on from kept connections, and those were closed without an answer"));
    }
    Some(lost > ALLOWED)
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or("record.txt".into());
    let Ok(record) = Record::create(&path) else {
        std::process::exit(COULD_NOT_RUN);
    };
    let record = Arc::new(record);
    let code = match run(&record) {
        Some(true) => BROKEN,
        Some(false) => HELD,
        None => COULD_NOT_RUN,
    };
    record.line(format!("exit {code}"));
    std::process::exit(code);
}
