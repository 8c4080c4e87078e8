//! Progress of a daemon's loop, recorded by the loop for the watchdog.

use parking_lot::Mutex;
use std::fmt;

/// Step of a daemon whose loop has not started.
const STARTING: &str = "starting";
/// Step of a loop that waits for events.
const WAITING: &str = "waiting";
/// Step of a daemon that has left its loop.
const ENDING: &str = "ending";

/// Written by the loop at each step, read by the watchdog. The lock is only held for a few instructions.
#[derive(Debug, Default)]
pub struct TurnRecord(Mutex<TurnSnapshot>);

/// State of the loop at one point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnSnapshot {
    /// Number of the turn; 0 before the first.
    pub turn: u64,
    /// Current step of the turn.
    pub step: &'static str,
    /// Number of steps in this turn so far: it increases while a loop spins, and stays the same while it is blocked.
    pub steps: u64,
    /// Number of requests or other operations in progress when the turn began.
    pub in_flight: usize,
}

impl TurnRecord {
    /// Records the start of a turn and the number of operations in progress.
    pub fn begin_turn(&self, in_flight: usize) {
        let mut record = self.0.lock();
        record.turn += 1;
        record.steps = 0;
        record.in_flight = in_flight;
        record.step = "begin";
    }

    /// Records the start of a step.
    pub fn begin_step(&self, step: &'static str) {
        let mut record = self.0.lock();
        record.step = step;
        record.steps += 1;
    }

    /// Records that the loop waits for events.
    pub fn wait(&self) {
        self.0.lock().step = WAITING;
    }

    /// Records that the loop has ended normally; the process then closes its connections and files.
    pub fn end_loop(&self) {
        self.0.lock().step = ENDING;
    }

    /// Returns a copy of the current state.
    #[must_use]
    pub fn snapshot(&self) -> TurnSnapshot {
        self.0.lock().clone()
    }
}

impl TurnSnapshot {
    /// Whether the loop waits for events, so that no turn is in progress.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.step == WAITING
    }

    /// Whether the loop has ended.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.step == ENDING
    }
}

impl Default for TurnSnapshot {
    fn default() -> Self {
        Self {
            turn: 0,
            step: STARTING,
            steps: 0,
            in_flight: 0,
        }
    }
}

impl fmt::Display for TurnSnapshot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "step={} steps={} in_flight={}",
            self.step.replace(' ', "-"),
            self.steps,
            self.in_flight
        )
    }
}
