//! Limits the concurrent requests of a runner after it rejected a request because its concurrency was exceeded.
//!
//! A rejection means that another owner leases seats of the same runner, or that the runner still holds a request that this
//! owner considers ended. The owner cannot tell which. It shrinks the window below the number of requests in flight at the
//! rejection, holds it for a time that doubles with each further rejection, and then grows it by one request per step.

/// Milliseconds for which the window is held after a first rejection.
const HOLD_MS: u64 = 1_000;
/// Maximum number of doublings of the hold time.
const HOLD_DOUBLINGS_MAX: u32 = 2;
/// Milliseconds without new requests after a rejection.
const BACKOFF_MS: u64 = 25;
/// Maximum number of doublings of the backoff of a runner that holds no requests of this owner.
const BACKOFF_DOUBLINGS_MAX: u32 = 5;
/// Milliseconds after which the window grows by one request.
const GROWTH_STEP_MS: u64 = 1_000;
/// Milliseconds without a rejection, counted from the end of the hold, after which the next rejection counts as a first
/// one.
const RESET_AFTER_MS: u64 = 6_000;

/// The request window of one runner. Until the first rejection it is the whole quota.
#[derive(Clone, Debug, Default)]
pub(crate) struct RejectionBackoff {
    window: Option<Window>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    /// Maximum number of concurrent requests during the hold.
    requests: u32,
    /// Time before which the runner gets no requests.
    backoff_until: u64,
    rejected_at: u64,
    held_until: u64,
    /// Consecutive rejections; 0 if only other runners of the function have rejected requests.
    rejections: u32,
}

impl RejectionBackoff {
    /// Records a rejection by a runner that still holds `in_flight` other requests. Rejections within one backoff interval
    /// count as one.
    pub fn record_rejection(&mut self, now: u64, in_flight: u32) {
        let Some(window) = self.window.as_mut() else {
            self.window = Some(Window::after_rejection(now, in_flight, 1));
            return;
        };
        if now < window.rejected_at + BACKOFF_MS {
            window.requests = window.requests.min(in_flight.max(1));
            return;
        }
        let is_reset = now >= window.held_until + RESET_AFTER_MS;
        let rejections = if is_reset { 1 } else { window.rejections + 1 };
        *window = Window::after_rejection(now, in_flight, rejections);
    }

    /// Whether the runner has rejected a request recently.
    pub fn has_rejected_recently(&self, now: u64) -> bool {
        self.window
            .is_some_and(|window| window.rejections > 0 && now < window.rejected_at + HOLD_MS)
    }

    /// Limits the runner to its current number of requests for a while, because other runners of the function are rejecting
    /// requests.
    pub fn limit_to_current(&mut self, now: u64, in_flight: u32) {
        if self.window.is_none_or(|window| now >= window.held_until) {
            let mut window = Window::after_rejection(now, in_flight, 1);
            window.rejections = 0;
            window.backoff_until = now;
            self.window = Some(window);
        }
    }

    /// Maximum number of concurrent requests at this time.
    pub fn limit(&self, now: u64, quota: u32) -> u32 {
        let Some(window) = self.window else {
            return quota;
        };
        if now < window.backoff_until {
            return 0;
        }
        if now < window.held_until {
            return quota.min(window.requests);
        }
        let steps = (now - window.held_until) / GROWTH_STEP_MS + 1;
        let grown = u64::from(window.requests) + steps;
        quota.min(u32::try_from(grown).unwrap_or(u32::MAX))
    }
}

impl Window {
    fn after_rejection(now: u64, in_flight: u32, rejections: u32) -> Self {
        let doublings = (rejections - 1).min(HOLD_DOUBLINGS_MAX);
        Self {
            requests: in_flight.max(1),
            backoff_until: now + backoff_ms(in_flight, rejections),
            rejected_at: now,
            held_until: now + (HOLD_MS << doublings),
            rejections,
        }
    }
}

/// Milliseconds without new requests after a rejection. A runner that rejects a request while it holds none of this owner
/// is full of other owners' requests, and an immediate retry would be rejected again.
fn backoff_ms(in_flight: u32, rejections: u32) -> u64 {
    let doublings = if in_flight == 0 { rejections - 1 } else { 0 };
    BACKOFF_MS << doublings.min(BACKOFF_DOUBLINGS_MAX)
}
