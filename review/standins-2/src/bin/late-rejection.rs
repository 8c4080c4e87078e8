//! Case: a runner in trouble repeats an answer with which it turned a request away, where its next answer is due.
//!
//! Five services with one client each, which sends unsafe requests one after the other. Each runner turns every twelfth
//! request away once (503 with `Not-Run`), as a full runner does, and runs it when it comes again. For five seconds, three
//! of the five services' runners are in trouble: 3 in 100 of their answers come twice, the second time late, on the same
//! connection, where the next answer is due.

use http1::Request;
use review_standins_2::deployment::Deployment;
use review_standins_2::platform::Service;
use review_standins_2::record::Record;
use review_standins_2::runner::{answer, answer_bytes, Behaviour, Runner};
use review_standins_2::{client, has_trouble, ms, operator, BROKEN, COULD_NOT_RUN, HELD};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVICES: usize = 5;
/// Services whose runners are in trouble: a share of 0.6.
const TROUBLED: usize = 3;
/// One request in so many is turned away at its first arrival.
const TURNED_AWAY_EACH: usize = 12;
/// At most one answer in so many comes twice: a share of 0.03.
const DOUBLED_EACH: usize = 34;
/// Work of an urgent request, in milliseconds.
const WORK_MS: u64 = 90;
/// Calm time before the trouble, its length, and calm time after it.
const CALM: Duration = Duration::from_secs(8);
const TROUBLE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(3);

#[derive(Default)]
struct State {
    arrivals: HashMap<String, u32>,
    runs: HashMap<String, u32>,
    requests: HashMap<String, usize>,
    /// Answers of runners in trouble during the trouble, and how many of them come twice.
    answers: usize,
    doubled: usize,
    /// The surplus answer that is due on a connection, by the peer's address.
    surplus: HashMap<SocketAddr, Vec<u8>>,
}

struct Runners {
    state: Mutex<State>,
    is_troubled: AtomicBool,
    record: Arc<Record>,
}

impl Runners {
    fn is_in_trouble(&self, runner: &Runner) -> bool {
        let mut troubled = (0..TROUBLED).map(service_name);
        self.is_troubled.load(Ordering::SeqCst) && troubled.any(|name| name == runner.service)
    }

    fn serve(&self, runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request
            .headers
            .get_text("Request-Id")
            .unwrap_or("")
            .to_string();
        let Ok(peer) = stream.peer_addr() else {
            return false;
        };
        let is_in_trouble = self.is_in_trouble(runner);
        let mut state = self.state.lock().unwrap();
        state.answers += usize::from(is_in_trouble);
        let arrivals = state.arrivals.entry(id.clone()).or_default();
        *arrivals += 1;
        if *arrivals == 1 {
            let requests = state.requests.entry(runner.service.clone()).or_default();
            *requests += 1;
            if *requests % TURNED_AWAY_EACH == 0 {
                return self.turn_away(state, (runner, &id), peer, stream);
            }
        }
        let run = state.runs.entry(id.clone()).or_default();
        *run += 1;
        let run = *run;
        let surplus = state.surplus.remove(&peer);
        drop(state);
        let record = &self.record;
        record.line(format!(
            "runner {}: begins to run {id}, run {run}",
            runner.id
        ));
        std::thread::sleep(ms(WORK_MS / 2));
        if let Some(bytes) = surplus {
            record.line(format!("runner {}: the surplus answer leaves", runner.id));
            let _ = stream.write_all(&bytes);
        }
        std::thread::sleep(ms(WORK_MS / 2));
        let seal = format!("seal.{}.{id}.{run}", runner.id);
        let headers = [("Request-Id", id.as_str()), ("Server-Seal", seal.as_str())];
        answer(stream, 200, &headers, format!("ran {id}").as_bytes())
    }

    fn turn_away(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        (runner, id): (&Runner, &str),
        peer: SocketAddr,
        stream: &mut TcpStream,
    ) -> bool {
        let headers = [("Not-Run", "1"), ("Request-Id", id)];
        let may_double = state.answers / DOUBLED_EACH > state.doubled;
        let is_doubled = has_trouble() && self.is_in_trouble(runner) && may_double;
        if is_doubled {
            state.doubled += 1;
            let bytes = answer_bytes(503, &headers, b"full");
            state.surplus.insert(peer, bytes);
        }
        drop(state);
        let id = id.to_string();
        let line = format!(
            "runner {}: turns {id} away, to come twice: {is_doubled}",
            runner.id
        );
        self.record.line(line);
        answer(stream, 503, &headers, b"full")
    }
}

fn service_name(index: usize) -> String {
    format!("imza-{index}")
}

/// Sends requests to one service until the end. Returns whether the rule was broken.
fn send_requests(
    index: usize,
    address: SocketAddr,
    runners: &Runners,
    sent: &AtomicUsize,
    until: Instant,
) -> bool {
    let mut is_broken = false;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        sent.fetch_add(1, Ordering::SeqCst);
        let id = format!("q{index}-{number:05x}");
        let headers = [
            ("Host", "one.example"),
            ("Request-Id", id.as_str()),
            ("Time-Left", "2500"),
        ];
        let target = format!("/urgent-{index}/{number}");
        let answer = client::send(address, "POST", &target, &headers, b"build", ms(3_500));
        let status = answer.map(|answer| answer.status);
        let runs = runners
            .state
            .lock()
            .unwrap()
            .runs
            .get(&id)
            .copied()
            .unwrap_or(0);
        let record = &runners.record;
        record.line(format!(
            "client: {id} is answered {status:?}, runs so far {runs}"
        ));
        let is_refused = matches!(status, Some(408 | 421 | 429 | 503));
        if is_refused && runs > 0 {
            record.line(format!("REFUSED: {id} was told {status:?} and was run"));
            is_broken = true;
        }
        std::thread::sleep(ms(5));
    }
    is_broken
}

fn run(record: &Arc<Record>) -> Option<bool> {
    let runners = Arc::new(Runners {
        state: Mutex::default(),
        is_troubled: AtomicBool::new(false),
        record: Arc::clone(record),
    });
    let deployment = Deployment::start()?;
    let mut routes = Vec::new();
    let mut services = Vec::new();
    for name in (0..SERVICES).map(service_name) {
        let shared = Arc::clone(&runners);
        let behaviour: Behaviour = Arc::new(
            move |runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream| {
                shared.serve(runner, request, stream)
            },
        );
        let service = Service {
            memory_mb: 1_024,
            boot_ms: 750,
            concurrency: 8,
            behaviour,
        };
        deployment.platform.add_service(&name, service);
        let prefix = format!("/urgent-{}/", services.len());
        let route = operator::route(&format!("r-{name}"), &prefix, "unsafe", &name, 3);
        routes.push(route);
        services.push(operator::service(&name, 1_024, 750, 8));
    }
    let document = operator::configuration(1, routes, services);
    if deployment.replace(0, &document) != Some(200) || !deployment.wait_ready() {
        return None;
    }
    let sent = AtomicUsize::new(0);
    let until = Instant::now() + CALM + TROUBLE + AFTER;
    let mut is_broken = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..SERVICES)
            .map(|index| {
                let (address, runners, sent) = (deployment.public(index % 3), &*runners, &sent);
                scope.spawn(move || send_requests(index, address, runners, sent, until))
            })
            .collect();
        std::thread::sleep(CALM);
        record.line("the trouble begins");
        runners.is_troubled.store(true, Ordering::SeqCst);
        std::thread::sleep(TROUBLE);
        runners.is_troubled.store(false, Ordering::SeqCst);
        record.line("the trouble ends");
        clients
            .into_iter()
            .map(|client| client.join().unwrap_or(false))
            .fold(false, |a, b| a | b)
    });
    std::thread::sleep(ms(1_000));
    let state = runners.state.lock().unwrap();
    for (id, runs) in state.runs.iter().filter(|(_, runs)| **runs > 1) {
        record.line(format!("TWICE: {id} was run {runs} times"));
        is_broken = true;
    }
    let (sent, ran) = (sent.load(Ordering::SeqCst), state.runs.len());
    let (answers, doubled) = (state.answers, state.doubled);
    record.line(format!(
        "sent {sent}, run {ran}, answers of runners in trouble {answers}, doubled {doubled}"
    ));
    let is_sound = ran * 10 > sent * 9 && (doubled > 0) == has_trouble();
    is_sound.then_some(is_broken)
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
