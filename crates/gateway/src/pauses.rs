//! Pauses of the gateway's process: when one has ended, and what comes first then.

use crate::pause_confirmation::PauseConfirmation;
use process_pause::{PauseDetector, ProcessPause};

/// Polls after a pause before timers run. One takes up to 256 events of connections.
const POLLS_BEFORE_TIMERS: u32 = 4;

/// Pauses of the process so far.
#[derive(Default)]
pub(crate) struct Pauses {
    detector: PauseDetector,
    /// Polls that come before the next timers.
    polls_before_timers: u32,
    /// What has been confirmed since the last one.
    pub confirmation: PauseConfirmation,
}

impl Pauses {
    /// The clock shows `now`. Returns the pause that ends with this reading, if there was one; events come first then.
    pub fn observe(&mut self, now: u64) -> Option<ProcessPause> {
        let pause = self.detector.observe(now)?;
        self.polls_before_timers = POLLS_BEFORE_TIMERS;
        Some(pause)
    }

    /// Whether events come before timers in this turn: what others have sent during a pause is heard before they are taken for silent.
    pub fn takes_events_first(&mut self) -> bool {
        let takes_events_first = self.polls_before_timers > 0;
        self.polls_before_timers = self.polls_before_timers.saturating_sub(1);
        takes_events_first
    }
}
