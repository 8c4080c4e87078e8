//! A simulated platform with runners, clients and an operator around the real daemons `hallkeel-gateway` and
//! `hallkeel-controller`, which run as processes on loopback. The tests of the package `platform` and the soak are made of it.
//!
//! What a run is judged by stands outside of the daemons: the runners' log of what they received ([`request_log`]) and what the
//! clients and the operator were answered.

pub mod client;
pub mod daemon;
pub mod disk_probe;
pub mod metrics;
pub mod operator;
pub mod paths;
pub mod platform;
pub mod process_state;
pub mod relay;
pub mod request_log;
pub mod runner;
pub mod runner_script;
pub mod server;
pub mod simulated_cluster;
pub mod soak;
pub mod tenants;
pub mod wire;

use disk_probe::Deadline;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Looks again and again until something is there, or fails the test after so long. While the disk beside a soak stalls the time stands still.
pub fn wait_until<T>(what: &str, within: Duration, mut condition: impl FnMut() -> Option<T>) -> T {
    let deadline = Deadline::after(within);
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(!deadline.is_over(), "{what}: not within {within:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}
