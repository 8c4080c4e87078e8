//! Stand-ins for the second review: a small deployment of the project's daemons on loopback, with a platform, runners,
//! clients and an operator. They follow the users' pages; a case adds its one disruption.

pub mod client;
pub mod daemon;
pub mod deployment;
pub mod operator;
pub mod platform;
pub mod record;
pub mod runner;

use std::time::{Duration, Instant};

/// Milliseconds as a duration.
pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Whether the disruption is switched on: `TROUBLE=0` switches it off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Polls a condition until it holds; false if it does not within the time.
pub fn wait_until(within: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(ms(10));
    }
    false
}

/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;
