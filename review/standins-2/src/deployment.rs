//! A small deployment: three or six machines in three zones, each with a controller and a gateway, and the platform.

use crate::daemon::{Daemon, Kind, Role, Shared};
use crate::platform::{Platform, Worker};
use crate::{client, ms, operator, wait_until};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The processes of the project, and the platform.
pub struct Deployment {
    pub platform: Arc<Platform>,
    pub controllers: Vec<Daemon>,
    pub gateways: Vec<Daemon>,
    pub shared: Shared,
    pub folder: PathBuf,
    _reserved: TcpListener,
}

fn free_net() -> Option<(u8, u8, TcpListener)> {
    let own = std::process::id();
    (0..400u32).find_map(|attempt| {
        let number = own.wrapping_mul(7).wrapping_add(attempt);
        let (high, low) = (64 + (number >> 8) as u8 % 128, number as u8);
        let reserved = TcpListener::bind((Ipv4Addr::new(127, high, low, 250), 8029)).ok()?;
        let ports = [8020, 8022, 8026, 7300, 7301, 7302, 7303, 7304];
        let is_free = (11..17).all(|machine| {
            let ip = Ipv4Addr::new(127, high, low, machine);
            ports
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        is_free.then_some((high, low, reserved))
    })
}

impl Deployment {
    /// Starts all processes in a temporary folder. The programs are those of the deploy file's build.
    pub fn start() -> Option<Self> {
        Self::start_as(Kind::Small)
    }

    /// Starts a deployment of this kind.
    pub fn start_as(kind: Kind) -> Option<Self> {
        let machines = match kind {
            Kind::Small => 3,
            Kind::Duties => 6,
        };
        let root = PathBuf::from(std::env::var_os("PROJECT_ROOT")?);
        let (high, low, reserved) = free_net()?;
        let ip = |machine: u8| Ipv4Addr::new(127, high, low, machine);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        let workers = (0..12).map(|index| Worker {
            name: format!("w-{index}"),
            zone: ZONES[index % 3].into(),
            memory_mb: 8_974,
        });
        let address = SocketAddr::new(ip(200).into(), 8029);
        let platform = Platform::open(address, ip(201), workers.collect()).ok()?;
        let shared = Shared {
            programs: root.join("target/release"),
            seeds: (11..14).map(ip).collect(),
            zones: ZONES.map(String::from).to_vec(),
            platform: address.to_string(),
            kind,
        };
        let machine = |index: usize, role| {
            let zone = ZONES[index % 3];
            let name = format!("edge-{zone}-{}", index / 3 + 1);
            Daemon::new(&folder, &name, zone, ip(11 + index as u8), role)
        };
        let mut deployment = Self {
            platform,
            controllers: (0..machines)
                .map(|index| machine(index, Role::Controller))
                .collect(),
            gateways: (0..machines)
                .map(|index| machine(index, Role::Gateway))
                .collect(),
            shared,
            folder,
            _reserved: reserved,
        };
        let shared = &deployment.shared;
        for daemon in deployment
            .controllers
            .iter_mut()
            .chain(&mut deployment.gateways)
        {
            daemon.start(shared, true).ok()?;
        }
        Some(deployment)
    }

    /// Addresses for the operator.
    pub fn control(&self) -> Vec<SocketAddr> {
        let controllers = self.controllers.iter();
        controllers
            .map(|one| SocketAddr::new(one.ip.into(), 8026))
            .collect()
    }

    /// The address of a gateway for clients.
    pub fn public(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.gateways[index].ip.into(), 8020)
    }

    /// Sends a configuration until it is answered; its status.
    pub fn replace(&self, base: u64, document: &Value) -> Option<u16> {
        let body = document.to_string();
        let target = "/v1/Config.Replace";
        operator::order(
            &self.control(),
            target,
            Some(base),
            body.as_bytes(),
            ms(15_000),
        )
    }

    /// Waits until every gateway calls itself ready.
    pub fn wait_ready(&self) -> bool {
        self.gateways.iter().all(|gateway| {
            let address = SocketAddr::new(gateway.ip.into(), 8022);
            wait_until(ms(15_000), || {
                let headers = [("Host", "platform")];
                let answer = client::send(address, "GET", "/v1/readiness", &headers, b"", ms(900));
                answer.is_some_and(|answer| answer.status == 200)
            })
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for daemon in self.controllers.iter_mut().chain(&mut self.gateways) {
            daemon.kill();
        }
        for runner in self.platform.runners() {
            runner.crash();
        }
        if std::env::var_os("KEEP_FOLDER").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
