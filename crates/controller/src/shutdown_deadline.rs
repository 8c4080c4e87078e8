//! The end by force of a process that was asked to stop and does not.
//!
//! The loop that stops a daemon may be held up: by a call of the system that does not return, or by a defect. The platform
//! would kill the process at the end of the grace period; ending it before is no worse, since whatever was told to others is on
//! the disk by then, and the log says where it stood.

use std::time::Duration;

/// Part of the grace period after which the process ends, whatever holds it up.
const GRACE_DIVISOR: u64 = 2;

/// After how long a process with this grace period ends by force.
pub(crate) fn within(grace_period_ms: u64) -> Duration {
    Duration::from_millis(grace_period_ms / GRACE_DIVISOR)
}

/// Calls a function once the deadline has passed. Where the process ends before, it is not called.
pub(crate) fn enforce(deadline: Duration, on_expiry: impl FnOnce() + Send + 'static) {
    std::thread::spawn(move || {
        std::thread::sleep(deadline);
        on_expiry();
    });
}

/// Ends the process.
pub(crate) fn end_process(deadline: Duration) {
    let after_ms = deadline.as_millis();
    log::warn!("controller: shutdown forced after_ms={after_ms}");
    std::process::exit(0);
}
