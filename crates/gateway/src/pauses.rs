//! Detection of process pauses, and the order of work after one.

use crate::pause_confirmation::PauseConfirmation;
use process_pause::{PauseDetector, ProcessPause};

/// Number of polls after a pause before timers run. Each poll returns up to 256 connection events.
const POLLS_BEFORE_TIMERS: u32 = 4;

/// State about the pauses of the process.
#[derive(Default)]
pub(crate) struct Pauses {
    detector: PauseDetector,
    /// Number of polls left before timers run again.
    polls_before_timers: u32,
    /// What has been confirmed since the last pause.
    pub confirmation: PauseConfirmation,
}

impl Pauses {
    /// Reads the clock. Returns the pause that ends with this reading, if any; events are then handled before timers.
    pub fn observe(&mut self, now: u64) -> Option<ProcessPause> {
        let pause = self.detector.observe(now)?;
        self.polls_before_timers = POLLS_BEFORE_TIMERS;
        Some(pause)
    }

    /// Whether events are handled before timers in this turn, so that messages received during a pause are handled
    /// before their senders are considered silent.
    pub fn takes_events_first(&mut self) -> bool {
        let takes_events_first = self.polls_before_timers > 0;
        self.polls_before_timers = self.polls_before_timers.saturating_sub(1);
        takes_events_first
    }
}
