use crate::deployment::{Deployment, LabError};
use crate::fault_injection;
use crate::member::Member;
use crate::platform::WorkerRecord;
use crate::relay::Relays;
use oxhttp::model::Method;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use transport::call;

const START_TIMEOUT: Duration = Duration::from_secs(30);
const PORTS_EACH: u16 = 400;
/// Relays listen so far above the ports that they stand before.
pub const RELAY_STEP: u16 = 100;

/// What a fleet must be able to suffer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Needs {
    /// Links between daemons can be cut.
    pub relays: bool,
    /// Disks and clocks of daemons can fail.
    pub fault_injection: bool,
}

/// A whole fleet on loopback. Dropping it ends every process that it started.
pub struct Fleet {
    pub cores: Vec<Member>,
    pub fronts: Vec<Member>,
    pub workers: Vec<Member>,
    pub platform: Member,
    /// Where all messages between daemons pass, in fleets whose links can be cut.
    pub relays: Option<Relays>,
    pub dir: PathBuf,
    seeds: Vec<String>,
    base: u16,
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn fleet_fault(error: impl std::fmt::Display) -> LabError {
    LabError::Fleet(error.to_string())
}

/// Port that a daemon listens on for other daemons.
pub fn wire_port(base: u16, name: &str) -> SocketAddr {
    let (role, place) = name.rsplit_once('-').unwrap_or((name, "0"));
    let place: u16 = place.parse().unwrap_or(0);
    local(base + if role == "core" { 20 } else { 60 } + place)
}

/// Address at which other daemons reach a daemon.
pub fn reached_at(base: u16, name: &str, with_relays: bool) -> SocketAddr {
    let own = wire_port(base, name);
    if with_relays {
        return local(own.port() + RELAY_STEP);
    }
    own
}

fn core_member(
    base: u16,
    place: usize,
    zone: &str,
    seeds: &str,
    dir: &Path,
    with_relays: bool,
) -> Member {
    let name = format!("core-{place}");
    let http = local(base + 10 + place as u16);
    let data = dir.join("data").join(&name).display().to_string();
    let flags = [
        ("--name", name.clone()),
        ("--district", zone.to_string()),
        ("--http", http.to_string()),
        ("--wire", wire_port(base, &name).to_string()),
        (
            "--advertise",
            reached_at(base, &name, with_relays).to_string(),
        ),
        ("--seeds", seeds.to_string()),
        ("--data", data),
        ("--platform", local(base).to_string()),
    ];
    Member::new(&name, http, "hallkeel-core", arguments(&flags))
}

fn ledger_path(dir: &Path, worker: &str) -> PathBuf {
    dir.join("ledgers").join(worker)
}

impl Fleet {
    /// Brings a fleet up in an emptied folder and puts the deployment's configuration.
    pub fn up(
        deployment: &Deployment,
        file: &Path,
        dir: &Path,
        needs: Needs,
    ) -> Result<Self, LabError> {
        let with_relays = needs.relays;
        if dir.exists() {
            fs::remove_dir_all(dir).map_err(fleet_fault)?;
        }
        for folder in ["logs", "data", "ledgers"] {
            fs::create_dir_all(dir.join(folder)).map_err(fleet_fault)?;
        }
        let mut fleet = Self::planned(deployment, file, dir, with_relays);
        if with_relays {
            let names = fleet.daemons().map(|daemon| daemon.name.clone());
            let relays = Relays::open(deployment.base_port, &names.collect::<Vec<_>>());
            fleet.relays = Some(relays.map_err(fleet_fault)?);
        }
        if needs.fault_injection {
            for daemon in fleet.cores.iter_mut().chain(&mut fleet.fronts) {
                fault_injection::load_into(daemon, dir)?;
            }
        }
        let members = fleet.workers.iter_mut().chain([&mut fleet.platform]);
        for member in members.chain(&mut fleet.cores).chain(&mut fleet.fronts) {
            member.start(dir)?;
        }
        fleet.wait_until("cores and fronts answer", |fleet| {
            fleet
                .daemons()
                .all(|member| member.get("/status").is_some())
        })?;
        fleet.wait_until("a front is on the roster and has standing", |fleet| {
            fleet.fronts.iter().all(|front| {
                let status = front.get_json("/status");
                status.is_some_and(|status| status["standing"] == true)
            })
        })?;
        Ok(fleet)
    }

    fn planned(deployment: &Deployment, file: &Path, dir: &Path, with_relays: bool) -> Self {
        let base = deployment.base_port;
        let seeds: Vec<String> = (0..deployment.cores.len())
            .map(|place| reached_at(base, &format!("core-{place}"), with_relays).to_string())
            .collect();
        let all_seeds = seeds.join(",");
        let platform_http = local(base);
        let mut lines = Vec::new();
        let mut workers = Vec::new();
        for (place, zone) in deployment.zones.iter().enumerate() {
            for number in 0..deployment.workers_each {
                let command = (place * deployment.workers_each + number) as u16;
                let name = format!("worker-{zone}{number}");
                let control = local(base + 80 + command);
                lines.push(WorkerRecord {
                    name: name.clone(),
                    zone: zone.clone(),
                    host: "127.0.0.1".into(),
                    memory_mb: deployment.worker_memory_mb,
                    first_port: base + 200 + command * PORTS_EACH,
                    ports: PORTS_EACH,
                    state: "up".into(),
                    control,
                });
                let mut arguments = arguments(&[("--http", control.to_string())]);
                arguments.insert(0, "worker".into());
                arguments.extend(self::arguments(&[
                    ("--deployment", file.display().to_string()),
                    ("--ledger", ledger_path(dir, &name).display().to_string()),
                ]));
                workers.push(Member::new(&name, control, "hallkeel-lab", arguments));
            }
        }
        let mut platform_arguments = arguments(&[
            ("--http", platform_http.to_string()),
            (
                "--workers",
                serde_json::to_string(&lines).unwrap_or_default(),
            ),
            ("--lag-ms", deployment.list_lag_ms.to_string()),
        ]);
        platform_arguments.insert(0, "platform".into());
        let cores = deployment
            .cores
            .iter()
            .enumerate()
            .map(|(place, zone)| core_member(base, place, zone, &all_seeds, dir, with_relays));
        let fronts = deployment.fronts.iter().enumerate().map(|(place, zone)| {
            let name = format!("front-{place}");
            let http = local(base + 40 + place as u16);
            let flags = [
                ("--name", name.clone()),
                ("--district", zone.clone()),
                ("--http", http.to_string()),
                ("--wire", wire_port(base, &name).to_string()),
                (
                    "--advertise",
                    reached_at(base, &name, with_relays).to_string(),
                ),
                ("--seeds", all_seeds.clone()),
            ];
            Member::new(&name, http, "hallkeel-front", arguments(&flags))
        });
        Self {
            cores: cores.collect(),
            fronts: fronts.collect(),
            platform: Member::new(
                "platform",
                platform_http,
                "hallkeel-lab",
                platform_arguments,
            ),
            workers,
            relays: None,
            dir: dir.to_path_buf(),
            seeds,
            base,
        }
    }

    /// An empty core at a new address, that stands in the place of another among the seeds.
    pub fn add_core(&mut self, instead_of: usize, zone: &str) -> Result<(), LabError> {
        let place = self.cores.len();
        self.seeds[instead_of] = self.wire_address(place);
        let seeds = self.seeds.join(",");
        let mut core = core_member(self.base, place, zone, &seeds, &self.dir, false);
        core.start(&self.dir)?;
        self.cores.push(core);
        Ok(())
    }

    /// Wire address of a core.
    pub fn wire_address(&self, place: usize) -> String {
        wire_port(self.base, &format!("core-{place}")).to_string()
    }

    /// All daemons of hallkeel itself.
    pub fn daemons(&self) -> impl Iterator<Item = &Member> {
        self.cores.iter().chain(&self.fronts)
    }

    /// Waits for a condition.
    pub fn wait_until(
        &self,
        what: &str,
        is_so: impl Fn(&Self) -> bool,
    ) -> Result<Duration, LabError> {
        let began = Instant::now();
        while !is_so(self) {
            if began.elapsed() > START_TIMEOUT {
                return Err(LabError::Fleet(format!("waited in vain until {what}")));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(began.elapsed())
    }

    /// Puts a configuration and gives the answer's status and body.
    pub fn put(&self, text: &str, expected: u64) -> Option<(u16, serde_json::Value)> {
        (0..self.cores.len()).find_map(|place| self.put_at(place, text, expected))
    }

    /// Puts a configuration at one core.
    pub fn put_at(
        &self,
        place: usize,
        text: &str,
        expected: u64,
    ) -> Option<(u16, serde_json::Value)> {
        let core = &self.cores[place];
        let uri = format!("http://{}/blueprint?expected={expected}", core.http);
        let timeout = Duration::from_secs(10);
        let body = text.as_bytes().to_vec();
        let answer = call(Method::PUT, &uri, &[], body, timeout, 1 << 20).ok()?;
        let reported = serde_json::from_slice(&answer.body).unwrap_or_default();
        Some((answer.status, reported))
    }

    /// Whether every runner that the plan wants is warm at its owner.
    pub fn is_warm(&self, functions: usize) -> bool {
        let mut warm = std::collections::HashSet::new();
        for front in &self.fronts {
            let Some(status) = front.get_json("/status") else {
                continue;
            };
            let runners = status["runners"].as_array().cloned().unwrap_or_default();
            for runner in runners.iter().filter(|runner| runner["warm"] == true) {
                let id = runner["runner"].as_str().unwrap_or_default();
                warm.insert(id.split('.').next().unwrap_or_default().to_string());
            }
        }
        warm.len() >= functions
    }
}

fn arguments(flags: &[(&str, String)]) -> Vec<String> {
    let pairs = flags.iter();
    pairs
        .flat_map(|(flag, value)| [flag.to_string(), value.clone()])
        .collect()
}
