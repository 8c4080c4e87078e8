//! What an owner may lease by after its process stood still.
//!
//! Meanwhile the scaler may have given its functions to others, and told them alone which runners leave. So nothing is leased by what was
//! known before the pause until the scaler has confirmed that it holds: by an answer to a question that was asked after the pause, over the
//! link on which it tells all changes in order. A table of owners over a link that was opened after it confirms who owns what, and the lists
//! are told anew. A list of runners that the scaler told after the pause may be used at once. Where no scaler answers, service goes on by
//! what is known: nobody is there to remove this gateway or to let a runner leave, or this gateway is cut off from them and stays so.

use process_pause::{PauseDetector, ProcessPause};

/// Milliseconds for which the scaler's answer is awaited. A scaler that is there answers within a round trip; where it has closed the link,
/// within a heartbeat's interval, in which the link is opened anew, and two round trips.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Whether what was known before the last pause of the process was confirmed since.
#[derive(Clone, Debug, Default)]
pub(crate) struct PauseRecovery {
    /// None until the owner ticks regularly.
    detector: Option<PauseDetector>,
    /// End of the pause whose confirmation is awaited, and lists from before which are not used.
    awaited_since: Option<u64>,
    /// When what is awaited is waited for no more.
    expires_at: u64,
}

impl PauseRecovery {
    /// The owner ticks, from now on regularly.
    pub fn tick(&mut self, now: u64) {
        self.detector.get_or_insert_default();
        self.observe(now);
    }

    /// The clock shows `now`, which may end a pause between two calls of the owner.
    pub fn observe(&mut self, now: u64) {
        let pause = self
            .detector
            .as_mut()
            .and_then(|detector| detector.observe(now));
        if let Some(pause) = pause {
            self.begin(pause);
        }
    }

    /// The process stood still.
    pub fn begin(&mut self, pause: ProcessPause) {
        self.awaited_since = Some(pause.ended_at);
        self.expires_at = pause.ended_at + ANSWER_TIMEOUT_MS;
    }

    /// The scaler has said that table and lists hold; whether that was awaited.
    pub fn confirm(&mut self) -> bool {
        self.awaited_since.take().is_some()
    }

    /// The scaler has said that the table holds, and lists are asked for; whether that was awaited.
    pub fn await_lists(&mut self, now: u64) -> bool {
        self.expires_at = now + ANSWER_TIMEOUT_MS;
        self.awaited_since.is_some()
    }

    /// Whether no scaler has answered in time, so that nothing is awaited any more. Told once for each pause.
    pub fn take_expired(&mut self, now: u64) -> bool {
        let is_over = now >= self.expires_at;
        self.awaited_since.take_if(|_| is_over).is_some()
    }

    /// Whether a list may be used that the scaler told at this time, as far as pauses are concerned.
    pub fn allows_list_received_at(&self, received_at: Option<u64>) -> bool {
        self.awaited_since
            .is_none_or(|since| received_at.is_some_and(|received_at| received_at >= since))
    }
}
