//! Forced exit of a process that received a stop signal and does not stop in time.
//!
//! The main loop, which stops a daemon, may be blocked by a system call or a defect. The platform would kill the process at the
//! end of the grace period. Exiting earlier is no worse, since all acknowledged state is already on the disk, and the
//! forced exit is logged.

use std::time::Duration;

/// The process exits after the grace period divided by this, whatever blocks it.
const GRACE_DIVISOR: u64 = 2;

/// Time after the stop signal at which a process with this grace period is forced to exit.
pub(crate) fn for_grace_period(grace_period_ms: u64) -> Duration {
    Duration::from_millis(grace_period_ms / GRACE_DIVISOR)
}

/// Calls a function once the deadline has passed, unless the process exits before.
pub(crate) fn enforce(deadline: Duration, on_expiry: impl FnOnce() + Send + 'static) {
    std::thread::spawn(move || {
        std::thread::sleep(deadline);
        on_expiry();
    });
}

/// Logs the forced exit, and ends the process.
pub(crate) fn end_process(deadline: Duration) {
    let after_ms = deadline.as_millis();
    log::warn!("controller: shutdown forced after_ms={after_ms}");
    std::process::exit(0);
}
