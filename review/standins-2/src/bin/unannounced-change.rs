//! Case: a machine of the core is lost right after it has acknowledged a configuration, and stays away for a while.
//!
//! An operator has two orders under way at once, at one machine: the evacuation of a zone (or its end), and a configuration
//! that moves a route from one service to another. As soon as both are acknowledged, the machine loses power (both its
//! processes are killed) and stays dark. The other two machines, a majority of the core, run on without any trouble.
//! Clients then ask them which service the moved route leads to, until the machine is back. Several rounds, each with
//! another machine.

use http1::Request;
use review_standins_2::deployment::Deployment;
use review_standins_2::platform::Service;
use review_standins_2::record::Record;
use review_standins_2::runner::{answer, Behaviour, Runner};
use review_standins_2::{client, has_trouble, ms, operator, BROKEN, COULD_NOT_RUN, HELD};
use serde_json::json;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ROUNDS: u64 = 5;
/// How long the lost machine stays dark.
const DARK: Duration = Duration::from_secs(12);
/// From here on after the acknowledgement a request must be handled by the new version: the machines are in touch again
/// `in_touch_ms` (4 s) after the loss, `apply_within_ms` (3 s) have passed, and a second more.
const BOUND: Duration = Duration::from_secs(5);
/// Time for the returned machine to settle: `sync_time_s`, and the time until all are in touch.
const SETTLE: Duration = Duration::from_secs(5);
/// The zone that is evacuated and taken back.
const ZONE: &str = "zone-c";
const UPDATE: &str = "/v1/Config.Update";

/// The service that ran each request.
type Runs = Arc<Mutex<HashMap<String, String>>>;

fn serve(runs: &Runs, runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream) -> bool {
    let id = request.headers.get_text("Request-Id").unwrap_or("");
    runs.lock()
        .unwrap()
        .insert(id.into(), runner.service.clone());
    let seal = format!("seal.{}.{id}", runner.id);
    let headers = [("Request-Id", id), ("Server-Seal", seal.as_str())];
    answer(stream, 200, &headers, runner.service.as_bytes())
}

fn ask(address: SocketAddr, id: &str, runs: &Runs) -> (Option<u16>, Option<String>) {
    let headers = [
        ("Host", "one.example"),
        ("Request-Id", id),
        ("Time-Left", "2500"),
    ];
    let answer = client::send(address, "GET", "/moving/x", &headers, b"", ms(3_500));
    let service = runs.lock().unwrap().get(id).cloned();
    (answer.map(|answer| answer.status), service)
}

/// The two orders of a round, with their targets, base versions and bodies.
struct Orders {
    evacuation: String,
    base: u64,
    change: String,
}

impl Orders {
    fn of_round(number: u64, service: &str) -> Self {
        let verb = if number % 2 == 0 { "Begin" } else { "Finish" };
        let moved = operator::route("moving", "/moving/", "safe", service, 2);
        let change = json!({ "version": number + 2, "upsert": { "routes": [moved] } });
        Self {
            evacuation: format!("/v1/Evacuation.{verb}/{ZONE}"),
            base: number + 1,
            change: change.to_string(),
        }
    }

    /// Sends both orders until they are acknowledged. Returns whether they were.
    fn send_again(&self, deployment: &Deployment) -> bool {
        let control = deployment.control();
        let within = ms(10_000);
        let one = operator::order(&control, &self.evacuation, None, b"", within);
        let body = self.change.as_bytes();
        let two = operator::order(&control, UPDATE, Some(self.base), body, within);
        one == Some(200) && two == Some(200)
    }
}

/// Sends both orders to one machine at once. Returns when both were acknowledged, if they were at the first try.
fn order_both(
    deployment: &Deployment,
    machine: usize,
    orders: &Orders,
    record: &Record,
) -> Option<Instant> {
    let address = deployment.control()[machine];
    let (mut first, mut second) = (
        client::Connection::open(address)?,
        client::Connection::open(address)?,
    );
    let target = &orders.evacuation;
    let evacuation = client::request_bytes("POST", target, &[("Host", "control")], b"");
    let base = orders.base.to_string();
    let headers = [
        ("Host", "control"),
        ("Content-Type", "application/json"),
        ("Base-Version", base.as_str()),
    ];
    let change = client::request_bytes("POST", UPDATE, &headers, orders.change.as_bytes());
    let began = Instant::now();
    first.send(&evacuation);
    second.send(&change);
    let one = first.receive(ms(1_000)).map(|answer| answer.status);
    let one_after = began.elapsed();
    let two = second.receive(ms(1_000)).map(|answer| answer.status);
    let acknowledged = Instant::now();
    let two_after = acknowledged.duration_since(began);
    let is_acknowledged = one == Some(200) && two == Some(200);
    record.line(format!(
        "operator: {target} is answered {one:?} after {one_after:?}, version {} {two:?} after {two_after:?}",
        orders.base + 1
    ));
    is_acknowledged.then_some(acknowledged)
}

/// One round. Returns whether the rule was broken; `None` if the deployment does not take orders. Without acknowledgements
/// at the first try there is no loss in the round.
fn round(deployment: &mut Deployment, number: u64, runs: &Runs, record: &Record) -> Option<bool> {
    let machine = (number % 3) as usize;
    let service = if number % 2 == 0 { "second" } else { "first" };
    let orders = Orders::of_round(number, service);
    let Some(acknowledged) = order_both(deployment, machine, &orders, record) else {
        let is_taken = orders.send_again(deployment);
        std::thread::sleep(SETTLE);
        return is_taken.then_some(false);
    };
    if has_trouble() {
        deployment.controllers[machine].kill();
        deployment.gateways[machine].kill();
        let after = acknowledged.elapsed();
        record.line(format!(
            "{} loses power, {after:?} after the acknowledgement",
            deployment.controllers[machine].name
        ));
    }
    let mut is_broken = false;
    let mut count = 0;
    while acknowledged.elapsed() < DARK {
        for index in (0..3).filter(|index| *index != machine) {
            count += 1;
            let id = format!("q{number}-{index}-{count:04}");
            let sent = acknowledged.elapsed();
            let (status, ran) = ask(deployment.public(index), &id, runs);
            let name = &deployment.gateways[index].name;
            record.line(format!(
                "client: {id}, sent to {name} {sent:?} after the acknowledgement, is answered {status:?}, run by {ran:?}"
            ));
            let is_old = ran.is_some_and(|ran| ran != service);
            if sent > BOUND && is_old {
                record.line(format!(
                    "CONFIG: {id} is handled as only a version before {} allows",
                    number + 2
                ));
                is_broken = true;
            }
        }
        std::thread::sleep(ms(200));
    }
    if has_trouble() {
        deployment.controllers[machine]
            .start(&deployment.shared, false)
            .ok()?;
        deployment.gateways[machine]
            .start(&deployment.shared, false)
            .ok()?;
        record.line(format!("{} is back", deployment.controllers[machine].name));
    }
    std::thread::sleep(SETTLE);
    Some(is_broken)
}

fn run(record: &Arc<Record>) -> Option<bool> {
    let mut deployment = Deployment::start()?;
    let runs = Runs::default();
    let mut services = Vec::new();
    for name in ["first", "second"] {
        let shared = Arc::clone(&runs);
        let behaviour: Behaviour = Arc::new(
            move |runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream| {
                serve(&shared, runner, request, stream)
            },
        );
        let service = Service {
            memory_mb: 512,
            boot_ms: 300,
            concurrency: 8,
            behaviour,
        };
        deployment.platform.add_service(name, service);
        services.push(operator::service(name, 512, 300, 8));
    }
    let routes = vec![operator::route("moving", "/moving/", "safe", "first", 2)];
    let document = operator::configuration(1, routes, services);
    if deployment.replace(0, &document) != Some(200) || !deployment.wait_ready() {
        return None;
    }
    std::thread::sleep(SETTLE);
    let mut broken = 0;
    let mut played = 0;
    for number in 0..ROUNDS {
        let Some(is_broken) = round(&mut deployment, number, &runs, record) else {
            record.line(format!("round {number}: the orders were not taken"));
            return None;
        };
        played += 1;
        broken += u32::from(is_broken);
        record.line(format!("round {number}: broken {is_broken}"));
    }
    record.line(format!("rounds {played}, broken {broken}"));
    Some(broken > 0)
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
