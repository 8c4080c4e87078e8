//! A cluster of real controller and gateway processes with a simulated platform and its runners.

use super::client::{send_request, ClientRequest};
use super::daemon::{ClusterSettings, Daemon, CONTROL, PUBLIC, READINESS};
use super::operator::{call, configuration, send_command};
use super::paths::scratch;
use super::platform::{Platform, Service, Worker};
use super::relay::{self, Network};
use super::runner::CREDENTIAL;
use super::server::Server;
use super::{seconds, wait_until};
use http1::Response;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::sync::Arc;

pub const ZONES: [&str; 3] = ["north-a", "north-b", "north-c"];
/// Default region of all zones.
const REGION: &str = "here";
const WORKER_MB: u64 = 4_096;
const PLATFORM_PORT: u16 = 8_029;
/// Ports on which daemons listen for each other.
const INTERNAL_PORTS: std::ops::RangeInclusive<u16> = 7_300..=7_302;
/// Default number of gateways, and the most for which a cluster's network has addresses.
const DEFAULT_GATEWAYS: usize = 4;
const MAX_GATEWAYS: usize = 170;
/// Offset of the last octet of the address on which a daemon listens behind its relay.
const BEHIND_RELAY_OFFSET: u8 = 100;

/// Default for the retries per window that do not count against the retry ratio.
const RETRY_SLACK: u32 = 60;

static CLUSTERS: AtomicU16 = AtomicU16::new(0);

/// Options of a simulated cluster.
pub struct ClusterBuilder {
    retry_slack: u32,
    is_configured: bool,
    is_relayed: bool,
    warm_up_target: Option<&'static str>,
    has_region_per_zone: bool,
    gateways: usize,
}

impl ClusterBuilder {
    /// Sets the number of gateways.
    pub fn gateways(mut self, gateways: usize) -> Self {
        assert!(gateways <= MAX_GATEWAYS, "{gateways} gateways");
        self.gateways = gateways;
        self
    }

    /// Sets `retry_slack` of all daemons: the retries per window that do not count against the retry ratio.
    pub fn retry_slack(mut self, retry_slack: u32) -> Self {
        self.retry_slack = retry_slack;
        self
    }

    /// Makes each zone a region with the zone's name.
    pub fn region_per_zone(mut self) -> Self {
        self.has_region_per_zone = true;
        self
    }

    /// Connects daemons through relays, which can partition them.
    pub fn relayed(mut self) -> Self {
        self.is_relayed = true;
        self
    }

    /// Applies the first configuration and waits until every gateway is ready.
    pub fn configured(mut self) -> Self {
        self.is_configured = true;
        self
    }

    /// Applies the first configuration and waits until every gateway has returned a 200 for this target.
    pub fn warmed_up(mut self, target: &'static str) -> Self {
        self.warm_up_target = Some(target);
        self.configured()
    }

    fn regions(&self) -> BTreeMap<&'static str, &'static str> {
        let zones = ZONES.into_iter();
        let with_regions = zones.map(|zone| match self.has_region_per_zone {
            true => (zone, zone),
            false => (zone, REGION),
        });
        with_regions.collect()
    }

    pub fn start(self) -> SimulatedCluster {
        let cluster = SimulatedCluster::start(&self);
        if self.is_configured {
            assert_eq!(cluster.replace(0, &configuration(1)).0, 200);
            cluster.wait_ready();
        }
        if let Some(target) = self.warm_up_target {
            for index in 0..cluster.gateways.len() {
                cluster.get_until_good(index, target);
            }
        }
        cluster
    }
}

/// Three controllers with data folders in three zones, gateways (four by default), and the platform.
pub struct SimulatedCluster {
    pub platform: Arc<Platform>,
    pub controllers: Vec<Daemon>,
    pub gateways: Vec<Daemon>,
    pub shared_settings: ClusterSettings,
    /// State of the relays between the daemons, if there are relays.
    pub network: Arc<Network>,
    /// API key of requests sent with [`get`](Self::get), if the configuration has tenants.
    pub key: Option<&'static str>,
    net: [u8; 3],
    folder: PathBuf,
    /// Whether the data and logs are kept after the run.
    keeps_folder: bool,
    next_request_number: AtomicUsize,
    _api: Server,
    _net: TcpListener,
}

/// Reserves an unused loopback network until the returned listener is dropped. Each machine of a cluster has its own address in
/// it and uses the same ports.
fn free_net() -> ([u8; 3], TcpListener) {
    let own = std::process::id() as u16 & 0x3ff;
    for _ in 0..200 {
        let cluster = CLUSTERS.fetch_add(1, Ordering::SeqCst);
        let [high, low] = (own << 6).wrapping_add(cluster).to_be_bytes();
        let net = [127, high.max(1), low];
        if let Ok(held) = TcpListener::bind((ip(net, 254), PLATFORM_PORT)) {
            return (net, held);
        }
    }
    panic!("no loopback network is free");
}

fn ip(net: [u8; 3], machine: u8) -> IpAddr {
    Ipv4Addr::new(net[0], net[1], net[2], machine).into()
}

impl SimulatedCluster {
    pub fn builder() -> ClusterBuilder {
        ClusterBuilder {
            retry_slack: RETRY_SLACK,
            is_configured: false,
            is_relayed: false,
            warm_up_target: None,
            has_region_per_zone: false,
            gateways: DEFAULT_GATEWAYS,
        }
    }

    fn start(builder: &ClusterBuilder) -> Self {
        let (net, held) = free_net();
        let name = format!("cluster-{}-{}-{}", std::process::id(), net[1], net[2]);
        let folder = scratch().join(name);
        let workers = ZONES.iter().flat_map(|zone| {
            (1..=2).map(move |number| Worker {
                name: format!("w-{zone}-{number}"),
                zone: zone.to_string(),
                memory_mb: WORKER_MB,
            })
        });
        let list_lag = std::time::Duration::from_millis(200);
        let platform = Platform::new(ip(net, 200), list_lag, workers.collect());
        let address = SocketAddr::new(ip(net, 1), PLATFORM_PORT);
        let api = platform.open(address);
        let machine = |kind: &str, index: usize, first: u8| {
            let name = format!("{kind}-{}", index + 1);
            let zone = ZONES[index % ZONES.len()];
            let ip = ip(net, first + index as u8);
            Daemon::new(&folder, &name, zone, ip, kind == "control")
        };
        let controllers: Vec<Daemon> = (0..3).map(|index| machine("control", index, 11)).collect();
        let gateways = (0..builder.gateways).map(|index| machine("edge", index, 21));
        let gateways = gateways.collect();
        let shared_settings = ClusterSettings {
            platform: address,
            seeds: controllers.iter().map(|one| one.ip).collect(),
            retry_slack: builder.retry_slack,
            regions: builder.regions(),
        };
        let mut cluster = Self {
            platform,
            controllers,
            gateways,
            shared_settings,
            network: Arc::default(),
            key: None,
            net,
            folder,
            keeps_folder: false,
            next_request_number: AtomicUsize::new(0),
            _api: api,
            _net: held,
        };
        if builder.is_relayed {
            cluster.open_relays();
        }
        let daemons = cluster.controllers.iter_mut().chain(&mut cluster.gateways);
        daemons.for_each(|daemon| daemon.start(&cluster.shared_settings, true));
        cluster
    }

    /// Opens a relay on each internal port of each daemon and makes the daemons listen behind them.
    fn open_relays(&mut self) {
        for daemon in self.controllers.iter_mut().chain(&mut self.gateways) {
            let IpAddr::V4(own) = daemon.ip else {
                continue;
            };
            let [.., machine] = own.octets();
            let behind = ip(self.net, machine + BEHIND_RELAY_OFFSET);
            daemon.listen_behind_relay(behind);
            for port in INTERNAL_PORTS {
                let address = daemon.at(port);
                let target = SocketAddr::new(behind, port);
                relay::open(&self.network, &daemon.name, address, target);
                self.network.identify(&address.to_string(), &daemon.name);
            }
            self.network.identify(&daemon.name, &daemon.name);
        }
    }

    /// Keeps the data and logs after the run.
    pub fn keep_folder(&mut self) {
        self.keeps_folder = true;
    }

    /// Folder with the data and logs of the daemons.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    pub fn wait_ready(&self) {
        for gateway in &self.gateways {
            wait_until(&format!("{} ready", gateway.name), seconds(10), || {
                (self.readiness(gateway) == Some(200)).then_some(())
            });
        }
    }

    pub fn readiness(&self, gateway: &Daemon) -> Option<u16> {
        let request = ClientRequest {
            host: "platform".into(),
            ..ClientRequest::get("/v1/readiness", "")
        };
        send_request(gateway.at(READINESS), &request).map(|response| response.status)
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|one| one.at(CONTROL)).collect()
    }

    pub fn replace(&self, base: u64, document: &Value) -> (u16, Vec<u8>) {
        let services = document["services"].as_array().into_iter().flatten();
        let services = services.filter_map(|one| {
            let service = Service {
                memory_mb: one["memory_mb"].as_u64()?,
                boot_ms: one["boot_time_ms"].as_u64()?,
                concurrency: one["concurrency"].as_u64()? as usize,
            };
            Some((one["name"].as_str()?.to_string(), service))
        });
        self.platform.add_services(services);
        let body = document.to_string();
        send_command(
            &self.control(),
            ("POST", "/v1/Config.Replace"),
            Some(base),
            body.as_bytes(),
        )
    }

    pub fn evacuate(&self, verb: &str, zone: &str) {
        let target = format!("/v1/Evacuation.{verb}/{zone}");
        let (status, _) = send_command(&self.control(), ("POST", &target), None, b"");
        assert_eq!(status, 200, "{target}");
    }

    pub fn read_configuration(&self) -> Value {
        let (status, body) = send_command(&self.control(), ("GET", "/v1/Config.Read"), None, b"");
        assert_eq!(status, 200);
        serde_json::from_slice(&body).unwrap()
    }

    /// The configuration in force according to one controller; `None` if it does not return one.
    pub fn read_at(&self, index: usize) -> Option<Value> {
        let address = self.controllers[index].at(CONTROL);
        let (status, body) = call(address, "GET", "/v1/Config.Read", None, b"")?;
        serde_json::from_slice(&body).ok().filter(|_| status == 200)
    }

    pub fn public(&self, index: usize) -> SocketAddr {
        self.gateways[index].at(PUBLIC)
    }

    pub fn new_request_id(&self) -> String {
        format!(
            "q-{:05}",
            self.next_request_number.fetch_add(1, Ordering::SeqCst)
        )
    }

    /// Sends a request with a new id to a gateway.
    pub fn get(&self, index: usize, target: &str) -> (ClientRequest, Option<Response>) {
        let mut request = ClientRequest::get(target, &self.new_request_id());
        if let Some(key) = self.key {
            request = request.with(CREDENTIAL, key);
        }
        let response = send_request(self.public(index), &request);
        (request, response)
    }

    /// Sends requests with new ids until one gets a 200.
    pub fn get_until_good(&self, index: usize, target: &str) -> (ClientRequest, Response) {
        wait_until(&format!("a good response to {target}"), seconds(10), || {
            let (request, response) = self.get(index, target);
            response
                .filter(|one| one.status == 200)
                .map(|one| (request, one))
        })
    }

    /// Adds a controller at an address that is not among the seeds.
    pub fn add_controller(&mut self, zone: &str) -> &mut Daemon {
        let index = self.controllers.len() as u8;
        let name = format!("control-{}", index + 1);
        let mut daemon = Daemon::new(&self.folder, &name, zone, ip(self.net, 11 + index), true);
        daemon.start(&self.shared_settings, false);
        self.controllers.push(daemon);
        self.controllers.last_mut().unwrap()
    }

    /// Starts another control plane machine without a disk whose only seed is the given controller.
    pub fn add_diskless_controller(&self, seed: usize) -> Daemon {
        let (zone, ip) = (ZONES[0], ip(self.net, 31));
        let mut daemon = Daemon::new(&self.folder, "diskless-1", zone, ip, true);
        daemon.lose_disk();
        daemon.start(&self.settings_with_seed(seed), false);
        daemon
    }

    /// The shared settings with one controller as the only seed.
    pub fn settings_with_seed(&self, seed: usize) -> ClusterSettings {
        ClusterSettings {
            seeds: vec![self.controllers[seed].ip],
            ..self.shared_settings.clone()
        }
    }
}

impl Drop for SimulatedCluster {
    fn drop(&mut self) {
        self.network.close();
        self.controllers.clear();
        self.gateways.clear();
        self.platform.close();
        if !std::thread::panicking() && !self.keeps_folder {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
