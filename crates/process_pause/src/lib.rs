//! Detects pauses of this process.
//!
//! A process may be paused by a signal, a machine that swaps or is overcommitted, a blocking system call, or a long iteration of
//! its own event loop. When it resumes, its view of the cluster is as old as the pause: peers seem silent although they
//! responded all the time, and others may have taken over its role. A daemon reads its clock at least once per iteration of the
//! event loop, whose waits are bounded, so a long step between two readings indicates a pause. Every state machine that detects
//! failures by timeouts, or acts on information from others, is given the [`ProcessPause`] before it handles anything else.

/// Minimum step in milliseconds between two readings of the clock that counts as a pause. Other gateways take over from a
/// silent one after 450 ms at the earliest, and a wait of the event loop lasts at most 200 ms.
pub const PAUSE_MIN_MS: u64 = 400;

/// A period in which this process did not run, in milliseconds of its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessPause {
    /// Last reading of the clock before the pause.
    pub began_at: u64,
    /// First reading of the clock after the pause.
    pub ended_at: u64,
}

impl ProcessPause {
    /// Duration of the pause in milliseconds.
    #[must_use]
    pub fn duration_ms(&self) -> u64 {
        self.ended_at - self.began_at
    }

    /// Returns the new start of a wait that began at `since`: the end of the pause, unless the wait began later. Messages that
    /// arrived during the pause have not been read yet, so the time until then must not count towards a timeout.
    #[must_use]
    pub fn restart_wait(&self, since: u64) -> u64 {
        since.max(self.ended_at)
    }
}

/// Detects pauses by comparing successive readings of the clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    observed_at: Option<u64>,
}

impl PauseDetector {
    /// Records a reading of the clock. Returns the pause that ends with it, if there was one.
    pub fn observe(&mut self, now: u64) -> Option<ProcessPause> {
        let began_at = self.observed_at.replace(now)?;
        (now >= began_at + PAUSE_MIN_MS).then_some(ProcessPause {
            began_at,
            ended_at: now,
        })
    }
}
