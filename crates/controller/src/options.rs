//! Settings of a controller.

use crate::codec::{OperatorCodec, PlatformCodec};
use consensus::ConsensusOptions;
use locality::Topology;
use policy::Policy;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Reads the addresses of controllers anew; none where the settings have not changed or cannot be read.
pub type SeedReloader = Box<dyn Fn() -> Option<Vec<SocketAddr>>>;

/// Settings of a controller that stores the configuration on its disk.
pub struct ControllerOptions {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Zone that it stands in.
    pub zone: String,
    /// All zones of the system.
    pub zones: Vec<String>,
    /// These zones with their regions.
    pub topology: Topology,
    /// Options of the policies by which it decides.
    pub policy: Policy,
    /// Address at which it listens for operators.
    pub operator_address: SocketAddr,
    /// Address at which it listens for gateways.
    pub gateway_address: SocketAddr,
    /// Address at which it listens for the other controllers.
    pub consensus_address: SocketAddr,
    /// The ip at which it listens for gateways and other controllers, where that is not the one by which they know it.
    pub internal_listen_ip: Option<IpAddr>,
    /// Address at which it tells its figures; none where it tells none.
    pub metrics_address: Option<SocketAddr>,
    /// Consensus addresses of controllers, as far as they are known at the start.
    pub seeds: Vec<SocketAddr>,
    /// Port at which every controller listens for gateways.
    pub gateway_port: u16,
    /// The whole system starts for the first time, on empty disks.
    pub is_first_start: bool,
    /// Folder for all that must survive a restart.
    pub data_dir: PathBuf,
    /// Address of the platform's API.
    pub platform_address: Option<SocketAddr>,
    /// Milliseconds by which the platform's lists lag.
    pub list_lag_ms: u64,
    /// Starts and stops that the platform takes in a second.
    pub platform_commands_per_s: f64,
    /// Milliseconds for which a draining runner may get requests.
    pub drain_ms: u64,
    /// Milliseconds within which an acknowledged change holds everywhere.
    pub propagation_timeout_ms: u64,
    /// Milliseconds after which a machine that came back holds everything again.
    pub resync_ms: u64,
    /// Milliseconds from the request to stop until the process is killed.
    pub grace_period_ms: u64,
    /// Milliseconds for which a job is remembered, at least.
    pub job_retention_ms: u64,
    /// Controllers that vote where there are enough of them.
    pub target_voter_count: usize,
    /// Memory that the process may take, in bytes.
    pub memory_bytes: u64,
    /// Most open connections.
    pub connections_max: usize,
    /// Forms of the operators' API.
    pub operator_codec: Box<dyn OperatorCodec>,
    /// Forms of the platform's API.
    pub platform_codec: Box<dyn PlatformCodec>,
    /// Reads the other controllers' consensus addresses anew.
    pub reload_seeds: SeedReloader,
}

impl ControllerOptions {
    /// Where it listens for those that know it by an internal address.
    pub(crate) fn listen_address(&self, internal: SocketAddr) -> SocketAddr {
        let ip = self.internal_listen_ip.unwrap_or(internal.ip());
        SocketAddr::new(ip, internal.port())
    }

    /// Milliseconds between heartbeats of the consensus: a twentieth of the bound on changes.
    pub(crate) fn heartbeat_ms(&self) -> u64 {
        self.propagation_timeout_ms / 20
    }

    /// Milliseconds between heartbeats to gateways.
    pub(crate) fn gateway_heartbeat_ms(&self) -> u64 {
        self.heartbeat_ms() * 2
    }

    /// Milliseconds between heartbeats to gateways while this controller does not scale. What changes is told at once in any
    /// case.
    pub(crate) fn idle_heartbeat_ms(&self) -> u64 {
        self.gateway_heartbeat_ms() * 2
    }

    /// Milliseconds of the scaler's role lease: two fifths of the bound on changes.
    pub(crate) fn lease_ms(&self) -> u64 {
        self.propagation_timeout_ms * 2 / 5
    }

    /// Milliseconds of silence after which a gateway is considered gone: a third of the bound on changes.
    pub(crate) fn gateway_timeout_ms(&self) -> u64 {
        self.propagation_timeout_ms / 3
    }

    /// Milliseconds between requests for the platform's lists: a quarter of the time that a runner drains.
    pub(crate) fn list_interval_ms(&self) -> u64 {
        self.drain_ms / 4
    }

    /// Milliseconds that a request to the platform may take: a third of the bound on changes.
    pub(crate) fn platform_timeout_ms(&self) -> u64 {
        self.propagation_timeout_ms / 3
    }

    /// Settings of the consensus, with the identity of the voter's disk.
    pub(crate) fn consensus_options(&self, disk_id: u64) -> ConsensusOptions {
        ConsensusOptions {
            name: self.name.clone(),
            address: self.consensus_address.to_string(),
            seeds: self.seeds.iter().map(ToString::to_string).collect(),
            is_first_start: self.is_first_start,
            disk_id,
            lease_ms: self.lease_ms(),
            heartbeat_interval_ms: self.heartbeat_ms(),
            // A voter that is away for longer cannot hold everything again within the time that is allowed for it.
            replacement_timeout_ms: self.resync_ms * 3 / 5,
            seed: rand::random(),
            target_voter_count: self.target_voter_count,
        }
    }
}
