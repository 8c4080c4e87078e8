//! Real daemons as child processes, and the made-up platform that they ask.

use crate::synthetic_site;
use crate::wire::Size;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

const INTERNAL: u16 = 7_100;
const OPERATORS: u16 = 7_200;
const PUBLIC: u16 = 7_300;
const READINESS: u16 = 7_301;
const PLATFORM: &str = "127.0.43.1:7400";
/// Milliseconds within which a change is to hold everywhere.
pub const CHANGE_MS: u64 = 11_000;

/// A daemon that was started here and ends with this value.
pub struct Daemon {
    pub name: String,
    child: Child,
}

impl Daemon {
    /// Processor time since its start, in seconds.
    pub fn cpu_s(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let text = text.unwrap_or_default();
        let fields = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            / 100.0
    }

    fn status(&self, field: &str) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(field));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1e3
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All daemons of a run.
pub struct Fleet {
    pub daemons: Vec<Daemon>,
    controllers: usize,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var_os("HOLLOW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn controller_ip(place: usize) -> String {
    format!("127.0.41.{}", place + 1)
}

fn settings(name: &str, ip: &str, zone: &str, folder: &Path, seeds: &[String]) -> String {
    // All name the same seeds in the same order, their own address among them.
    let seeds: Vec<String> = seeds
        .iter()
        .map(|ip| format!("\"{ip}:{INTERNAL}\""))
        .collect();
    let zones = synthetic_site::ZONES.iter();
    let zones: Vec<String> = zones
        .map(|zone| format!("\"{zone}\" = \"{}\"", &zone[..5]))
        .collect();
    format!(
        "node_name = \"{name}\"\nip_address = \"{ip}\"\nzone = \"{zone}\"\n\
         internal_ports = [{INTERNAL}, {}]\nseed_addrs = [{}]\nfirst_start = true\n\
         data_path = \"{}\"\n[zones]\n{}\n[listen_addrs]\npublic_http = \"{ip}:{PUBLIC}\"\n\
         readiness = \"{ip}:{READINESS}\"\ncontrol_api = \"{ip}:{OPERATORS}\"\n\
         [limits]\nmemory_mb = 2000\nmax_files = 19000\n[tolerated_losses]\nmachine_losses = 2\n\
         [rule_bounds]\napply_within_ms = {CHANGE_MS}\nsync_time_s = 10.0\ndrain_ms = 5000\n\
         [cloud_api]\naddress = \"{PLATFORM}\"\nrate_per_s = 20.0\nmax_lag_ms = 2000\n\
         duty_per_s = 0.1\n",
        INTERNAL + 9,
        seeds.join(", "),
        folder.join(name).display(),
        zones.join("\n"),
    )
}

impl Fleet {
    /// Starts the platform and all daemons.
    pub fn start(size: &Size, programs: &Path) -> Self {
        serve_platform(size.instances);
        let folder = std::env::temp_dir().join(format!("hallkeel-hollow-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder can be made");
        let mut fleet = Self {
            daemons: Vec::new(),
            controllers: size.controllers,
            folder,
        };
        let seeds: Vec<String> = (0..size.controllers).map(controller_ip).collect();
        for (place, ip) in seeds.iter().enumerate() {
            fleet.spawn(
                programs,
                "hallkeel-controller",
                &format!("controller-{place}"),
                ip,
                place,
                &seeds,
            );
        }
        for place in 0..size.real_gateways {
            let ip = format!("127.0.42.{}", place + 1);
            fleet.spawn(
                programs,
                "hallkeel-gateway",
                &format!("gateway-{place}"),
                &ip,
                place,
                &seeds,
            );
        }
        fleet
    }

    fn spawn(
        &mut self,
        programs: &Path,
        program: &str,
        name: &str,
        ip: &str,
        place: usize,
        seeds: &[String],
    ) {
        let path = self.folder.join(format!("{name}.toml"));
        let text = settings(name, ip, synthetic_site::zone(place), &self.folder, seeds);
        fs::create_dir_all(self.folder.join(name)).expect("a folder can be made");
        fs::write(&path, text).expect("settings can be written");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log can be made");
        let mut command = Command::new(programs.join(program));
        // Safety: one system call, which ends the daemon with this process.
        unsafe {
            command.pre_exec(|| {
                libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
                Ok(())
            });
        }
        let child = command
            .arg("--settings")
            .arg(&path)
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("a daemon can be started");
        let name = name.to_string();
        self.daemons.push(Daemon { name, child });
    }

    /// Where controllers listen for gateways.
    pub fn controllers(&self) -> Vec<SocketAddr> {
        let addresses =
            (0..self.controllers).map(|place| format!("{}:{INTERNAL}", controller_ip(place)));
        addresses
            .filter_map(|address| address.parse().ok())
            .collect()
    }

    /// Where the first controller listens for operators.
    pub fn operators(&self) -> SocketAddr {
        let address = format!("{}:{OPERATORS}", controller_ip(0));
        address.parse().expect("it is an address")
    }

    /// Resident memory of each, in megabytes.
    pub fn rss(&self) -> Vec<f64> {
        self.daemons
            .iter()
            .map(|daemon| daemon.status("VmRSS:"))
            .collect()
    }

    /// The most that each had resident, in megabytes.
    pub fn peaks(&self) -> Vec<f64> {
        self.daemons
            .iter()
            .map(|daemon| daemon.status("VmHWM:"))
            .collect()
    }
}

/// Gives an operator's order and tells the status of its answer.
pub fn operate(address: SocketAddr, target: &str, base: u64, body: &[u8]) -> Result<u16, String> {
    let give = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        let head = format!(
            "POST {target} HTTP/1.1\r\nHost: {address}\r\nBase-Version: {base}\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        let text = String::from_utf8_lossy(&answer).into_owned();
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        if status != Some(200) {
            eprintln!("operator: {text}");
        }
        Ok(status.unwrap_or(0))
    };
    give().map_err(|error| error.to_string())
}

/// Answers lists of workers and instances; takes no other call.
fn serve_platform(instances: usize) {
    let workers = synthetic_site::workers(instances);
    let listings = (0..instances).map(|place| synthetic_site::listing(place, place / 10, &workers));
    let list = Arc::new(synthetic_site::list_body(&listings.collect::<Vec<_>>()));
    let workers: Vec<serde_json::Value> = workers
        .iter()
        .map(|one| {
            serde_json::json!({ "name": one.name, "zone": one.zone, "state": "ready",
                "memory_mb": one.memory_mb, "free_memory_mb": one.free_mb })
        })
        .collect();
    let workers = Arc::new(
        serde_json::json!({ "worker_list": workers })
            .to_string()
            .into_bytes(),
    );
    let listener = TcpListener::bind(PLATFORM).expect("the platform's address is free");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, workers) = (Arc::clone(&list), Arc::clone(&workers));
            std::thread::spawn(move || answer(stream, &list, &workers));
        }
    });
}

fn answer(mut stream: TcpStream, list: &[u8], workers: &[u8]) {
    let mut inbox = Vec::new();
    let mut piece = [0; 4_096];
    while let Ok(count @ 1..) = stream.read(&mut piece) {
        inbox.extend_from_slice(&piece[..count]);
        while let Some(end) = inbox.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&inbox[..end]).into_owned();
            inbox.drain(..end + 4);
            let (status, body): (&str, &[u8]) = if head.starts_with("GET /instances") {
                ("200 OK", list)
            } else if head.starts_with("GET") {
                ("200 OK", workers)
            } else {
                inbox.clear();
                ("429 Too Many Requests", b"")
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(body))
                .is_err()
            {
                return;
            }
        }
    }
}
