//! Case: over the life of a gateway, machines that serve `control` come and go.
//!
//! The core is three machines with a disk; three more machines have no disk and take clients only. Machines without a disk
//! that serve `control` join and leave, and the settings files name them as seeds while they are there. At last each machine of the core is
//! replaced by an empty one at another address, one after the other. Then everything is calm, and the routes are moved.

use http1::Request;
use review_standins_2::daemon::{Daemon, Role};
use review_standins_2::deployment::{Deployment, ZONES};
use review_standins_2::platform::Service;
use review_standins_2::record::Record;
use review_standins_2::runner::{answer, Behaviour, Runner};
use review_standins_2::{client, has_trouble, ms, operator, BROKEN, COULD_NOT_RUN, HELD};
use serde_json::json;
use std::net::TcpStream;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often the settings name other seeds, three each time.
const TURNOVERS: u8 = 22;
/// Time between two turnovers; the daemons look at their settings files in between.
const TURNOVER_EACH: Duration = Duration::from_millis(1_500);
/// `sync_time_s` of the settings, in which a new machine still counts as lost, and some more.
const SYNC: Duration = Duration::from_millis(4_800);
/// `in_touch_ms` and more, with no event at all.
const CALM: Duration = Duration::from_millis(6_000);
/// `apply_within_ms` of the settings and a second more.
const APPLIED: Duration = Duration::from_millis(4_000);
/// Rounds of requests after the change, one at each machine for each route.
const CHECKS: usize = 4;
/// Routes that are moved, each with a service of its own before.
const ROUTES: usize = 10;

/// The machines' processes, and the machines without a disk.
struct Play<'a> {
    deployment: Deployment,
    fronts: Vec<Daemon>,
    record: &'a Record,
}

impl Play<'_> {
    fn ip(&self, last: u8) -> Ipv4Addr {
        let [first, second, third, _] = self.deployment.gateways[0].ip.octets();
        Ipv4Addr::new(first, second, third, last)
    }

    fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.fronts[index].ip.into(), 8020)
    }

    /// Starts the gateways of three machines without a disk.
    fn start_fronts(&mut self) -> std::io::Result<()> {
        for (index, zone) in ZONES.iter().enumerate() {
            let name = format!("edge-{zone}-2");
            let ip = self.ip(21 + index as u8);
            let mut front =
                Daemon::new(&self.deployment.folder, &name, zone, ip, Role::Gateway).without_disk();
            front.start(&self.deployment.shared, true)?;
            self.fronts.push(front);
        }
        Ok(())
    }

    /// All settings files name these machines as seeds from now on.
    fn turn_over(&mut self, seeds: Vec<Ipv4Addr>) -> std::io::Result<()> {
        self.deployment.shared.seeds = seeds;
        let shared = &self.deployment.shared;
        let daemons = self.deployment.controllers.iter();
        let daemons = daemons.chain(&self.deployment.gateways).chain(&self.fronts);
        for daemon in daemons {
            daemon.write_settings(shared, false)?;
            daemon.signal("HUP");
        }
        Ok(())
    }

    /// Three machines without a disk join and serve `control`, the settings name them as seeds, and they leave again.
    fn join_and_leave(&mut self, number: u8) -> std::io::Result<()> {
        let mut joined = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let name = format!("edge-{zone}-{}", 10 + number);
            let ip = self.ip(40 + 3 * number + index as u8);
            let mut daemon =
                Daemon::new(&self.deployment.folder, &name, zone, ip, Role::Controller)
                    .without_disk();
            daemon.start(&self.deployment.shared, false)?;
            joined.push(daemon);
        }
        let seeds: Vec<Ipv4Addr> = joined.iter().map(|daemon| daemon.ip).collect();
        std::thread::sleep(ms(200));
        if has_trouble() {
            self.turn_over(seeds.clone())?;
            self.record
                .line(format!("the settings name {seeds:?} as seeds"));
        }
        std::thread::sleep(TURNOVER_EACH - ms(200));
        for daemon in &joined {
            daemon.signal("TERM");
        }
        for mut daemon in joined {
            review_standins_2::wait_until(ms(1_000), || !daemon.runs());
        }
        Ok(())
    }

    /// A machine of the core is taken away for good, and an empty one comes at another address.
    fn replace(&mut self, index: usize) -> std::io::Result<()> {
        let ip = self.ip(31 + index as u8);
        let zone = ZONES[index];
        let name = format!("edge-{zone}-3");
        let folder = self.deployment.folder.clone();
        self.deployment.controllers[index].kill();
        self.deployment.gateways[index].kill();
        let mut controller = Daemon::new(&folder, &name, zone, ip, Role::Controller);
        let mut gateway = Daemon::new(&folder, &name, zone, ip, Role::Gateway);
        let others = self.deployment.controllers.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index);
        self.deployment.shared.seeds = others.map(|(_, daemon)| daemon.ip).collect();
        controller.start(&self.deployment.shared, false)?;
        gateway.start(&self.deployment.shared, false)?;
        self.deployment.controllers[index] = controller;
        self.deployment.gateways[index] = gateway;
        self.record
            .line(format!("core: the machine of {zone} is replaced by {ip}"));
        Ok(())
    }

    /// Sends a request to a machine without a disk; whether it is handled as only the older version allows.
    fn check(&self, front: usize, route: usize, number: usize, acknowledged: Instant) -> bool {
        let id = format!("q{front}-{route}-{number}");
        let sent = acknowledged.elapsed();
        let answer = ask(self.front(front), route, &id);
        let name = &self.fronts[front].name;
        self.record.line(format!(
            "client: {id}, sent to {name} {sent:?} after the acknowledgement, is answered {answer:?}"
        ));
        answer.is_some_and(|(status, ran)| status == 200 && ran.starts_with("old"))
    }

    fn are_fronts_ready(&self) -> bool {
        let headers = [("Host", "platform")];
        self.fronts.iter().all(|front| {
            let address = SocketAddr::new(front.ip.into(), 8022);
            review_standins_2::wait_until(ms(10_000), || {
                client::send(address, "GET", "/v1/readiness", &headers, b"", ms(900))
                    .is_some_and(|answer| answer.status == 200)
            })
        })
    }
}

/// Sends a request to a machine; its status and the service that ran it.
fn ask(address: SocketAddr, route: usize, id: &str) -> Option<(u16, String)> {
    let headers = [
        ("Host", "one.example"),
        ("Request-Id", id),
        ("Time-Left", "2500"),
    ];
    let answer = client::send(
        address,
        "GET",
        &format!("/moving-{route}/x"),
        &headers,
        b"",
        ms(3_500),
    );
    answer.map(|answer| {
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        (answer.status, body)
    })
}

/// Clients of the machines without a disk, one request a second at each for each route, until the process ends.
fn send_all_the_time(addresses: Vec<SocketAddr>, record: &Arc<Record>) {
    for (index, address) in addresses.into_iter().enumerate() {
        for route in 0..ROUTES {
            let record = Arc::clone(record);
            std::thread::spawn(move || {
                for number in 0.. {
                    let id = format!("w{index}-{route}-{number}");
                    let answer = ask(address, route, &id);
                    record.line(format!("client: {id} is answered {answer:?}"));
                    std::thread::sleep(ms(1_000));
                }
            });
        }
    }
}

/// The route under this number, which leads to a service.
fn moving(number: usize, service: &str) -> serde_json::Value {
    let (name, prefix) = (format!("moving-{number}"), format!("/moving-{number}/"));
    operator::route(&name, &prefix, "safe", service, 2)
}

fn serve(runner: &Arc<Runner>, request: &Request, stream: &mut TcpStream) -> bool {
    let id = request.headers.get_text("Request-Id").unwrap_or("");
    let seal = format!("seal.{}.{id}", runner.id);
    let headers = [("Request-Id", id), ("Server-Seal", seal.as_str())];
    answer(stream, 200, &headers, runner.service.as_bytes())
}

fn run(record: &Arc<Record>) -> Option<bool> {
    let mut play = Play {
        deployment: Deployment::start()?,
        fronts: Vec::new(),
        record,
    };
    play.start_fronts().ok()?;
    let mut services = Vec::new();
    let mut routes = Vec::new();
    let old = (0..ROUTES).map(|number| format!("old-{number}"));
    for name in old.clone().chain(["new".to_string()]) {
        let behaviour: Behaviour = Arc::new(serve);
        let service = Service {
            memory_mb: 512,
            boot_ms: 300,
            concurrency: 8,
            behaviour,
        };
        play.deployment.platform.add_service(&name, service);
        services.push(operator::service(&name, 512, 300, 8));
    }
    for (number, service) in old.enumerate() {
        routes.push(moving(number, &service));
    }
    let document = operator::configuration(1, routes, services);
    if play.deployment.replace(0, &document) != Some(200)
        || !play.deployment.wait_ready()
        || !play.are_fronts_ready()
    {
        return None;
    }
    let addresses = (0..play.fronts.len()).map(|index| play.front(index));
    send_all_the_time(addresses.collect(), record);
    for number in 0..TURNOVERS {
        play.join_and_leave(number).ok()?;
    }
    for index in 0..ZONES.len() {
        play.replace(index).ok()?;
        std::thread::sleep(SYNC);
    }
    // The settings name the machines of the core as they are now, whose list is as old as `seed_delay_s` allows.
    let core = play.deployment.controllers.iter().map(|one| one.ip);
    play.turn_over(core.collect()).ok()?;
    record.line(
        "calm from here on; the settings of all machines name the three machines of the core",
    );
    std::thread::sleep(CALM);
    let moved: Vec<_> = (0..ROUTES).map(|number| moving(number, "new")).collect();
    let change = json!({ "version": 2, "upsert": { "routes": moved } }).to_string();
    let control = play.deployment.control();
    let body = change.as_bytes();
    let status = operator::order(&control, "/v1/Config.Update", Some(1), body, ms(8_000));
    let acknowledged = Instant::now();
    record.line(format!(
        "operator: version 2, which moves the routes, is answered {status:?}"
    ));
    if status != Some(200) {
        return None;
    }
    std::thread::sleep(APPLIED);
    let mut old = 0;
    for number in 0..CHECKS {
        old += std::thread::scope(|scope| {
            let all = (0..play.fronts.len())
                .flat_map(|front| (0..ROUTES).map(move |route| (front, route)));
            let play = &play;
            let checks: Vec<_> = all
                .map(|(front, route)| {
                    scope.spawn(move || play.check(front, route, number, acknowledged))
                })
                .collect();
            let results = checks
                .into_iter()
                .map(|check| check.join().unwrap_or(false));
            results.filter(|is_old| *is_old).count()
        });
        std::thread::sleep(ms(500));
    }
    record.line(format!(
        "{old} of {} requests are handled as only version 1 allows",
        CHECKS * ROUTES * play.fronts.len()
    ));
    Some(old > 0)
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
