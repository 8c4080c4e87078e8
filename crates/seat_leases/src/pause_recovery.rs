//! Decides which state an owner may use for leases after its process was paused.
//!
//! During the pause the scaler may have assigned functions to other gateways and told only those which runners are
//! draining. Nothing known from before the pause is used until the scaler confirms it by answering a question asked after
//! the pause, over the link on which it sends all changes in order. If that link was opened after the pause, an ownership
//! table received over it confirms only the owners, and the runner lists are requested again. A runner list that the scaler
//! sent after the pause may be used at once. If no scaler answers, the known state is used: either no scaler exists that
//! could remove this gateway or drain a runner, or this gateway is partitioned from it and stays so.

use process_pause::{PauseDetector, ProcessPause};

/// Milliseconds to wait for the scaler's answer. A running scaler answers within a round trip. If it closed the link, the
/// answer takes one heartbeat interval, in which the link is reopened, and two round trips.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Whether state from before the last process pause has been confirmed.
#[derive(Clone, Debug, Default)]
pub(crate) struct PauseRecovery {
    /// `None` until the first tick, after which the owner ticks regularly.
    detector: Option<PauseDetector>,
    /// End of the pause that is not confirmed yet. Runner lists received before this time are not used.
    awaited_since: Option<u64>,
    /// Time at which the wait for confirmation ends.
    expires_at: u64,
}

impl PauseRecovery {
    /// Advances the clock on the owner's regular tick.
    pub fn tick(&mut self, now: u64) {
        self.detector.get_or_insert_default();
        self.observe(now);
    }

    /// Observes the current time, which may reveal a pause since the owner's last call.
    pub fn observe(&mut self, now: u64) {
        let pause = self
            .detector
            .as_mut()
            .and_then(|detector| detector.observe(now));
        if let Some(pause) = pause {
            self.begin(pause);
        }
    }

    /// Starts waiting for confirmation after a pause.
    pub fn begin(&mut self, pause: ProcessPause) {
        self.awaited_since = Some(pause.ended_at);
        self.expires_at = pause.ended_at + ANSWER_TIMEOUT_MS;
    }

    /// Records that the scaler confirmed the ownership table and the runner lists. Returns whether this was awaited.
    pub fn confirm(&mut self) -> bool {
        self.awaited_since.take().is_some()
    }

    /// Records that the scaler confirmed only the ownership table, and continues to wait for the runner lists. Returns whether
    /// this was awaited.
    pub fn await_lists(&mut self, now: u64) -> bool {
        self.expires_at = now + ANSWER_TIMEOUT_MS;
        self.awaited_since.is_some()
    }

    /// Stops waiting if no scaler has answered in time. Returns true once per pause.
    pub fn take_expired(&mut self, now: u64) -> bool {
        let is_over = now >= self.expires_at;
        self.awaited_since.take_if(|_| is_over).is_some()
    }

    /// Whether a runner list received at this time may be used, as far as process pauses are concerned.
    pub fn allows_list_received_at(&self, received_at: Option<u64>) -> bool {
        self.awaited_since
            .is_none_or(|since| received_at.is_some_and(|received_at| received_at >= since))
    }
}
