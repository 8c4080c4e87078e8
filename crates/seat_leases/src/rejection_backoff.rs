//! How many requests a runner gets at once after it rejected one as over its concurrency.
//!
//! A rejection says that another owner leases seats of the same runner, or that the runner holds what this owner takes
//! for ended. Which of the two cannot be known here, so the window shrinks below what was in flight at the rejection,
//! stays so for a time that doubles with each further rejection, and grows again by one request a step.

/// Milliseconds for which the window stays small after a first rejection.
const HOLD_MS: u64 = 1_000;
/// Most doublings of that time.
const HOLD_DOUBLINGS_MAX: u32 = 2;
/// Milliseconds for which a runner gets nothing after a rejection.
const BACKOFF_MS: u64 = 25;
/// Most doublings of that time, where it has nothing from here.
const BACKOFF_DOUBLINGS_MAX: u32 = 5;
/// Milliseconds after which the window grows by one more request.
const GROWTH_STEP_MS: u64 = 1_000;
/// Milliseconds without a rejection after which the next one counts as a first.
const RESET_AFTER_MS: u64 = 6_000;

/// The window of one runner. It is open to the whole quota until the first rejection.
#[derive(Clone, Debug, Default)]
pub(crate) struct RejectionBackoff {
    window: Option<Window>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    /// Most requests at once while the window is held small.
    requests: u32,
    /// No request at all before this.
    backoff_until: u64,
    rejected_at: u64,
    held_until: u64,
    /// Rejections in a row; 0 where only other runners of the function have rejected requests.
    rejections: u32,
}

impl RejectionBackoff {
    /// The runner rejected a request beside so many that it still holds. Rejections of one moment count once.
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

    /// Whether the runner rejected a request lately.
    pub fn has_rejected_lately(&self, now: u64) -> bool {
        self.window
            .is_some_and(|window| window.rejections > 0 && now < window.rejected_at + HOLD_MS)
    }

    /// Other runners of the function reject requests: this one gets no more than it has for a while.
    pub fn limit_to_current(&mut self, now: u64, in_flight: u32) {
        if self.window.is_none_or(|window| now >= window.held_until) {
            let mut window = Window::after_rejection(now, in_flight, 1);
            window.rejections = 0;
            window.backoff_until = now;
            self.window = Some(window);
        }
    }

    /// Most requests that the runner gets at once now, of its quota.
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

/// Milliseconds for which a runner gets nothing. One that rejects a request while it has nothing from here is full of
/// requests of others; asking again at once would only be rejected again.
fn backoff_ms(in_flight: u32, rejections: u32) -> u64 {
    let doublings = if in_flight == 0 { rejections - 1 } else { 0 };
    BACKOFF_MS << doublings.min(BACKOFF_DOUBLINGS_MAX)
}
