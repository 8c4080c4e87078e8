//! How many requests a runner is trusted with after it refused one as over its concurrency.
//!
//! A refusal says that another keeper lends seats of the same runner, or that the runner holds what this keeper takes
//! for ended. Which of the two cannot be told here, so the window shrinks below what was in flight at the refusal,
//! stays so for a time that doubles with each further refusal, and grows again by one request a step.

/// Milliseconds for which the window stays small after a first refusal.
const HOLD_MS: u64 = 1_000;
/// Most doublings of that time.
const DOUBLINGS_MAX: u32 = 2;
/// Milliseconds for which a runner rests after a refusal.
const REST_MS: u64 = 25;
/// Most doublings of that time, where it has nothing from here.
const REST_DOUBLINGS_MAX: u32 = 5;
/// Milliseconds after which the window grows by one more request.
const STEP_MS: u64 = 1_000;
/// Milliseconds without a refusal after which the next one counts as a first.
const CALM_MS: u64 = 6_000;

/// The window of one runner. It is open to the whole quota until the first refusal.
#[derive(Debug, Default)]
pub(crate) struct RefusalBackoff {
    window: Option<Window>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    requests: u32,
    /// No request at all before this.
    rests_until: u64,
    refused_at: u64,
    held_until: u64,
    refusals: u32,
}

impl RefusalBackoff {
    /// The runner refused a request beside so many that are still at it. Refusals of one moment count once.
    pub fn refused(&mut self, now: u64, beside: u32) {
        let Some(window) = self.window.as_mut() else {
            self.window = Some(Window::after(now, beside, 1));
            return;
        };
        if now < window.refused_at + REST_MS {
            window.requests = window.requests.min(beside.max(1));
            return;
        }
        let is_calm = now >= window.held_until + CALM_MS;
        let refusals = if is_calm { 1 } else { window.refusals + 1 };
        *window = Window::after(now, beside, refusals);
    }

    /// Whether the runner refused a request lately.
    pub fn has_refused_lately(&self, now: u64) -> bool {
        self.window
            .is_some_and(|window| window.refusals > 0 && now < window.refused_at + HOLD_MS)
    }

    /// Other runners of the function refuse: this one gets no more than it has for a while.
    pub fn be_cautious(&mut self, now: u64, in_use: u32) {
        if self.window.is_none_or(|window| now >= window.held_until) {
            let mut window = Window::after(now, in_use, 1);
            window.refusals = 0;
            window.rests_until = now;
            self.window = Some(window);
        }
    }

    /// Most requests that the runner gets at once now, of its quota.
    pub fn limit(&self, now: u64, quota: u32) -> u32 {
        let Some(window) = self.window else {
            return quota;
        };
        if now < window.rests_until {
            return 0;
        }
        if now < window.held_until {
            return quota.min(window.requests);
        }
        let steps = (now - window.held_until) / STEP_MS + 1;
        let grown = u64::from(window.requests) + steps;
        quota.min(u32::try_from(grown).unwrap_or(u32::MAX))
    }
}

/// Milliseconds for which a runner gets nothing. One that refuses while it has nothing from here is full of requests
/// of others; asking again at once would only be refused again.
fn rest_ms(beside: u32, refusals: u32) -> u64 {
    let doublings = if beside == 0 { refusals - 1 } else { 0 };
    REST_MS << doublings.min(REST_DOUBLINGS_MAX)
}

impl Window {
    fn after(now: u64, beside: u32, refusals: u32) -> Self {
        let doublings = (refusals - 1).min(DOUBLINGS_MAX);
        Self {
            requests: beside.max(1),
            rests_until: now + rest_ms(beside, refusals),
            refused_at: now,
            held_until: now + (HOLD_MS << doublings),
            refusals,
        }
    }
}
