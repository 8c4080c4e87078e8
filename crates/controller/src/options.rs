//! Settings of a controller.

use crate::codec::{OperatorCodec, PlatformCodec};
use consensus::ConsensusOptions;
use locality::Topology;
use policy::Policy;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// Rereads the addresses of controllers from the settings; none if they have not changed or cannot be read.
pub type SeedReloader = Box<dyn Fn() -> Option<Vec<SocketAddr>>>;

/// Settings of a controller, which stores the configuration on its disk.
pub struct ControllerOptions {
    /// Name of the controller, unique in the deployment.
    pub name: String,
    /// Zone in which the controller runs.
    pub zone: String,
    /// All zones of the system.
    pub zones: Vec<String>,
    /// The zones with their regions.
    pub topology: Topology,
    /// Policy options, of which a controller uses those for scaling.
    pub policy: Policy,
    /// Address on which it listens for operators.
    pub operator_address: SocketAddr,
    /// Address on which it listens for gateways.
    pub gateway_address: SocketAddr,
    /// Address on which it listens for other controllers.
    pub consensus_address: SocketAddr,
    /// IP address to bind for gateways and other controllers, if it differs from the one that they connect to.
    pub internal_listen_ip: Option<IpAddr>,
    /// Address of the metrics endpoint; none disables it.
    pub metrics_address: Option<SocketAddr>,
    /// Consensus addresses of the controllers that are known at the start.
    pub seeds: Vec<SocketAddr>,
    /// Port on which every controller listens for gateways.
    pub gateway_port: u16,
    /// Whether the whole system starts for the first time, with empty disks.
    pub is_first_start: bool,
    /// Folder for all data that must survive a restart.
    pub data_dir: PathBuf,
    /// Address of the platform's API.
    pub platform_address: Option<SocketAddr>,
    /// Milliseconds by which the platform's lists may lag behind.
    pub list_lag_ms: u64,
    /// Starts and stops that the platform accepts per second.
    pub platform_commands_per_s: f64,
    /// Milliseconds for which a draining runner may still receive requests.
    pub drain_ms: u64,
    /// Milliseconds within which an acknowledged change must be in force everywhere: the propagation bound.
    pub propagation_timeout_ms: u64,
    /// Milliseconds within which a restored machine must have resynchronized all state.
    pub resync_ms: u64,
    /// Milliseconds from the stop signal until the process is killed.
    pub grace_period_ms: u64,
    /// Minimum retention of a job in milliseconds.
    pub job_retention_ms: u64,
    /// Number of voters to maintain, if there are enough controllers.
    pub target_voter_count: usize,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open connections.
    pub connections_max: usize,
    /// Format of the operators' API.
    pub operator_codec: Box<dyn OperatorCodec>,
    /// Format of the platform's API.
    pub platform_codec: Box<dyn PlatformCodec>,
    /// Rereads the other controllers' consensus addresses.
    pub reload_seeds: SeedReloader,
}

impl ControllerOptions {
    /// The address to bind for peers that connect to an internal address.
    pub(crate) fn listen_address(&self, internal: SocketAddr) -> SocketAddr {
        let ip = self.internal_listen_ip.unwrap_or(internal.ip());
        SocketAddr::new(ip, internal.port())
    }

    /// Milliseconds between consensus heartbeats: a twentieth of the propagation bound.
    pub(crate) fn heartbeat_ms(&self) -> u64 {
        self.propagation_timeout_ms / 20
    }

    /// Milliseconds between heartbeats to gateways while this controller is the scaler.
    pub(crate) fn gateway_heartbeat_ms(&self) -> u64 {
        self.heartbeat_ms() * 2
    }

    /// Milliseconds between heartbeats to gateways while this controller is not the scaler. Changes are sent immediately
    /// anyway.
    pub(crate) fn idle_heartbeat_ms(&self) -> u64 {
        self.gateway_heartbeat_ms() * 2
    }

    /// Duration of the scaler's role lease in milliseconds: two fifths of the propagation bound.
    pub(crate) fn lease_ms(&self) -> u64 {
        self.propagation_timeout_ms * 2 / 5
    }

    /// Milliseconds without a message after which a gateway is considered gone: a third of the propagation bound.
    pub(crate) fn gateway_timeout_ms(&self) -> u64 {
        self.propagation_timeout_ms / 3
    }

    /// Milliseconds between requests for the platform's lists: a quarter of the drain time of a runner.
    pub(crate) fn list_interval_ms(&self) -> u64 {
        self.drain_ms / 4
    }

    /// Timeout of a request to the platform in milliseconds: a third of the propagation bound.
    pub(crate) fn platform_timeout_ms(&self) -> u64 {
        self.propagation_timeout_ms / 3
    }

    /// Settings of the consensus, for a voter with this disk identity.
    pub(crate) fn consensus_options(&self, disk_id: u64) -> ConsensusOptions {
        ConsensusOptions {
            name: self.name.clone(),
            address: self.consensus_address.to_string(),
            seeds: self.seeds.iter().map(ToString::to_string).collect(),
            is_first_start: self.is_first_start,
            disk_id,
            lease_ms: self.lease_ms(),
            heartbeat_interval_ms: self.heartbeat_ms(),
            // A voter that is absent for longer could not resynchronize within the allowed time.
            replacement_timeout_ms: self.resync_ms * 3 / 5,
            seed: rand::random(),
            target_voter_count: self.target_voter_count,
        }
    }
}
