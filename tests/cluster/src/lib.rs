//! A simulated platform with runners, clients and an operator around the real daemons `hallkeel-gateway` and
//! `hallkeel-controller`, which run as processes on loopback. The tests of the package `platform` and the soak are made of it.
//!
//! What a run is judged by stands outside of the daemons: the runners' log of what they received ([`request_log`]) and what the
//! clients and the operator were answered.

pub mod client;
pub mod daemon;
pub mod figures;
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

use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Looks again and again until something is there, or fails the test after so long.
pub fn wait_until<T>(what: &str, within: Duration, mut condition: impl FnMut() -> Option<T>) -> T {
    let ends_at = Instant::now() + within;
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(Instant::now() < ends_at, "{what}: not within {within:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}
