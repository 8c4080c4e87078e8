//! Notices that this process stood still.
//!
//! A process may be stopped by a signal, by a machine that swaps or is overcommitted, by a blocked system call or by a turn of its own that
//! takes long. As it goes on, all that it believes about others is as old as the pause: peers seem silent to it that were answering all the
//! time, and others may have taken its place. A daemon reads its clock at least once in each turn of its loop, whose waits are bounded, so a
//! long step between two readings is a pause. Each state machine that judges others by their silence, or acts by what it was told, is given
//! the [`ProcessPause`] before anything else happens.

/// Milliseconds between two readings of the clock from which on they count as a pause. Others take a silent gateway's place after 450 ms at
/// the earliest; a wait of the loop lasts 200 ms at the most.
pub const PAUSE_MIN_MS: u64 = 400;

/// A span in which this process did nothing, in milliseconds of its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessPause {
    /// The last reading of the clock before it.
    pub began_at: u64,
    /// The first reading after it.
    pub ended_at: u64,
}

impl ProcessPause {
    /// How long it lasted, in milliseconds.
    #[must_use]
    pub fn duration_ms(&self) -> u64 {
        self.ended_at - self.began_at
    }

    /// A time of the clock from which something is waited for, as if it were waited for since the end of the pause: what came meanwhile was
    /// not read yet.
    #[must_use]
    pub fn restart_wait(&self, since: u64) -> u64 {
        since.max(self.ended_at)
    }
}

/// Compares successive readings of the clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    observed_at: Option<u64>,
}

impl PauseDetector {
    /// The clock shows `now`. Returns the pause that ends with this reading, if there was one.
    pub fn observe(&mut self, now: u64) -> Option<ProcessPause> {
        let began_at = self.observed_at.replace(now)?;
        (now >= began_at + PAUSE_MIN_MS).then_some(ProcessPause {
            began_at,
            ended_at: now,
        })
    }
}
