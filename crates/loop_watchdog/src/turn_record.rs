//! What a loop notes of its turns.

use parking_lot::Mutex;
use std::fmt;

/// Step of a daemon whose loop has not begun.
const STARTING: &str = "starting";
/// Step of a loop that waits for events.
const WAITING: &str = "waiting";
/// Step of a daemon that has left its loop.
const ENDING: &str = "ending";

/// Written by the loop at each step, read by the watchdog. The lock is held for a few instructions.
#[derive(Debug, Default)]
pub struct TurnRecord(Mutex<TurnSnapshot>);

/// The loop at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnSnapshot {
    /// Number of the turn; 0 before the first.
    pub turn: u64,
    /// What it does.
    pub step: &'static str,
    /// Steps in this turn so far: it rises while a loop spins, and stands still while it is blocked.
    pub steps: u64,
    /// Requests or other work in progress as the turn began.
    pub in_flight: usize,
}

impl TurnRecord {
    /// A turn begins with so much work in progress.
    pub fn begin_turn(&self, in_flight: usize) {
        let mut record = self.0.lock();
        record.turn += 1;
        record.steps = 0;
        record.in_flight = in_flight;
        record.step = "begin";
    }

    /// The loop does something else.
    pub fn begin_step(&self, step: &'static str) {
        let mut record = self.0.lock();
        record.step = step;
        record.steps += 1;
    }

    /// The loop waits for events.
    pub fn wait(&self) {
        self.0.lock().step = WAITING;
    }

    /// The loop has ended as it should; the process closes what it has open.
    pub fn end_loop(&self) {
        self.0.lock().step = ENDING;
    }

    /// What the loop does now.
    #[must_use]
    pub fn snapshot(&self) -> TurnSnapshot {
        self.0.lock().clone()
    }
}

impl TurnSnapshot {
    /// Whether the loop waits for events, which is no turn in progress.
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
